package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteJSON writes the report as one JSON document. It returns the writer's error.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("write capacity report: %w", err)
	}
	return nil
}

// WriteTable writes a table with one line for each series. Times are in nanoseconds on this
// machine; the columns "x ref" give them as multiples of the reference loop. It returns the
// writer's error.
func (r *Report) WriteTable(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "machine %s, reference loop %.0f ns\n", r.Machine, r.ReferenceNS)
	fmt.Fprintln(out, "series\tunit\tper\tslope\tx ref\tintercept\tx ref\tresidual\tpoints")
	for i := range r.Series {
		s := &r.Series[i]
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Name, s.Unit, s.Per,
			formatNumber(s.Slope), formatRatio(s, s.SlopeRatio), formatNumber(s.Intercept), formatRatio(s, s.InterceptRatio),
			formatNumber(s.Residual), formatPoints(s.Points))
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("write capacity report: %w", err)
	}
	return nil
}

func formatNumber(x float64) string {
	return fmt.Sprintf("%.4g", x)
}

func formatRatio(s *Series, x float64) string {
	if s.Unit != Nanoseconds {
		return "-"
	}
	return fmt.Sprintf("%.3g", x)
}

func formatPoints(points []Point) string {
	text := ""
	for i, p := range points {
		if i > 0 {
			text += " "
		}
		text += fmt.Sprintf("%.6g:%.4g", p.Size, p.Value)
	}
	return text
}
