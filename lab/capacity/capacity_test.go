package capacity

import (
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against wrong slopes, intercepts and residuals.
func TestFit(t *testing.T) {
	is := is.New(t)
	line := Fit([]Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 4, Value: 11}})
	is.True(math.Abs(line.Slope-2) < 1e-9)
	is.True(math.Abs(line.Intercept-3) < 1e-9)
	is.True(line.Residual < 1e-9)
	line = Fit([]Point{{Size: 0, Value: 0}, {Size: 1, Value: 3}, {Size: 2, Value: 0}})
	is.Equal(line.Slope, 0.0)
	is.True(math.Abs(line.Residual-math.Sqrt2) < 1e-9)
	is.Equal(Fit([]Point{{Size: 3, Value: 4}}), Line{Intercept: 4})
	is.Equal(Fit(nil), Line{})
}

// Guards against an experiment that no longer runs or has fewer than three sizes, and against
// counted bytes and calls that do not grow with the size.
func TestTinyRunGivesASlopeForEveryExperiment(t *testing.T) {
	is := is.New(t)
	report, err := Run(context.Background(), Options{Tiny: true})
	is.NoErr(err)
	is.Equal(len(report.Series), len(Experiments()))
	for _, s := range report.Series {
		if len(s.Points) < 3 {
			t.Errorf("%s has %d points", s.Name, len(s.Points))
		}
		if math.IsNaN(s.Slope) || math.IsNaN(s.Residual) {
			t.Errorf("%s has no slope", s.Name)
		}
		// The times of a tiny run are noise. Counts and bytes are not.
		if s.Unit != Nanoseconds && s.Slope <= 0 {
			t.Errorf("%s has slope %g %s", s.Name, s.Slope, s.Unit)
		}
	}
}

// Guards against a series that is missing in the table or in the JSON document.
func TestReportOutputs(t *testing.T) {
	is := is.New(t)
	report, err := Run(context.Background(), Options{Tiny: true, NamePrefix: "handover.flow"})
	is.NoErr(err)
	is.Equal(len(report.Series), 1)
	var text, doc strings.Builder
	is.NoErr(report.WriteTable(&text))
	is.True(strings.Contains(text.String(), "handover.flow.bytes"))
	is.NoErr(report.WriteJSON(&doc))
	var decoded Report
	is.NoErr(json.Unmarshal([]byte(doc.String()), &decoded))
	is.Equal(decoded, *report)
}

// Guards against a run that continues after its context has been cancelled.
func TestRunEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := Run(ctx, Options{Tiny: true})
	is.Equal(err, context.Canceled)
}
