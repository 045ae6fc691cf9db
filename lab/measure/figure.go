package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Bound is a limit on a figure: a maximum unless AtLeast is set.
type Bound struct {
	Limit   float64 `json:"limit"`
	AtLeast bool    `json:"least"` // the limit is a minimum
	// Below excludes the limit itself.
	Below bool `json:"below"`
}

// atMost returns a bound that a figure must not exceed.
func atMost(limit float64) *Bound { return &Bound{Limit: limit} }

// below returns a bound that a figure must be below.
func below(limit float64) *Bound { return &Bound{Limit: limit, Below: true} }

// atLeast returns a bound that a figure must reach.
func atLeast(limit float64) *Bound { return &Bound{Limit: limit, AtLeast: true} }

// holds reports whether value is within the bound.
func (b *Bound) holds(value float64) bool {
	switch {
	case b.AtLeast:
		return value >= b.Limit
	case b.Below:
		return value < b.Limit
	default:
		return value <= b.Limit
	}
}

// String returns the bound as a comparison, or "" for nil.
func (b *Bound) String() string {
	switch {
	case b == nil:
		return ""
	case b.AtLeast:
		return fmt.Sprintf(">= %g", b.Limit)
	case b.Below:
		return fmt.Sprintf("< %g", b.Limit)
	default:
		return fmt.Sprintf("<= %g", b.Limit)
	}
}

// Figure is a measured value of a case of an experiment.
type Figure struct {
	Experiment string  `json:"experiment"`
	Case       string  `json:"case"`
	Name       string  `json:"name"`
	Value      float64 `json:"value"`
	Unit       string  `json:"unit"`
	Bound      *Bound  `json:"bound,omitempty"`
}

// Missed reports whether the figure has a bound and misses it.
func (f *Figure) Missed() bool {
	return f.Bound != nil && !f.Bound.holds(f.Value)
}

// Report has the figures of a run.
type Report struct {
	Site    string   `json:"site"`
	Seed    uint64   `json:"seed"`
	Scale   float64  `json:"scale"`
	Figures []Figure `json:"figures"`
	// Violations describes the promises that the oracle of lab/fleet found broken.
	Violations []string `json:"violations"`
}

// Missed returns the figures that miss their bounds.
func (r *Report) Missed() []Figure {
	var missed []Figure
	for _, f := range r.Figures {
		if f.Missed() {
			missed = append(missed, f)
		}
	}
	return missed
}

// WriteJSON writes the report as a JSON document. It returns the writer's error.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteTable writes the report as a text table. It returns the writer's error.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s, seed %d, scale %g\n", r.Site, r.Seed, r.Scale)
	fmt.Fprintln(t, "experiment\tcase\tfigure\tvalue\tunit\tbound\tverdict")
	for i := range r.Figures {
		f := &r.Figures[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t%s\t%s\t%s\n", f.Experiment, f.Case, f.Name, f.Value, f.Unit, f.Bound, f.verdict())
	}
	for _, v := range r.Violations {
		fmt.Fprintln(t, v)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func (f *Figure) verdict() string {
	switch {
	case f.Bound == nil:
		return ""
	case f.Missed():
		return "MISSED"
	default:
		return "kept"
	}
}
