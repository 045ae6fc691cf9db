package day

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against reports that change when they are written to a file and read again, and
// against a comparison of different days or seeds.
func TestReportsCompare(t *testing.T) {
	is := is.New(t)
	d := newDay(smallSite(t), 4*time.Second, Disruption{Kind: "target_crash", At: seconds(1)})
	own := playDay(t, d, Options{Seed: 2})
	other := playDay(t, d, Options{Seed: 2, Policy: Modulo})
	file := filepath.Join(t.TempDir(), "report.json")
	is.NoErr(own.WriteFile(file))
	read, err := ReadReport(file)
	is.NoErr(err)
	is.Equal(read, own)

	var out bytes.Buffer
	is.NoErr(Compare(&out, own, other))
	is.True(strings.Contains(out.String(), "service"))
	other.Seed++
	is.True(errors.Is(Compare(&out, own, other), ErrReport))

	out.Reset()
	is.NoErr(own.WriteTable(&out))
	is.True(strings.Contains(out.String(), "tracker-checkin"))
}

// Guards against a plot that can't be written.
func TestPlot(t *testing.T) {
	is := is.New(t)
	r := &Report{Day: "test", Policy: Gypsumspan, Windows: []float64{1, 0.5, 1}}
	file := filepath.Join(t.TempDir(), "plot.svg")
	is.NoErr(Plot(file, r, r))
	data, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(bytes.Contains(data, []byte("<svg")))
	is.True(errors.Is(Plot(filepath.Join(t.TempDir(), "plot.bad"), r), ErrReport))
}

// Guards against a count or a value that is added to the wrong sum.
func TestTally(t *testing.T) {
	is := is.New(t)
	site := smallSite(t)
	tally := newTally(site, 10*time.Second)
	checkin := &site.Kinds[1]
	goal := checkin.LatencyGoal.D()
	for i, c := range []struct {
		took     time.Duration
		answered bool
	}{{goal, true}, {goal + 1, true}, {goal, false}} {
		r := &request{kind: checkin, domain: i, startedAt: 10*time.Second + time.Duration(i)*windowLength}
		tally.requestStarted(r)
		tally.requestEnded(r.startedAt+c.took, r, c.answered)
	}
	is.Equal(*tally.kind(checkin), counts{Requests: 3, InGoal: 1, Late: 1, Failed: 1})
	is.Equal(tally.total.Attainable, 3*checkin.Value)
	is.Equal(tally.total.Earned, checkin.Value+checkin.LateValue)
	is.Equal(tally.windows[0].serviceLevel(), 1.0)
	is.Equal(tally.windows[1].serviceLevel(), checkin.LateValue/checkin.Value)
	is.Equal(tally.domains[2].serviceLevel(), 0.0)
}

// Guards against missing figures, broken flows of the policy gypsumspan, and a table
// without a row for each measure.
func TestMeasure(t *testing.T) {
	is := is.New(t)
	site := smallSite(t)
	figures, err := Measure(site, 10*time.Second, 1)
	is.NoErr(err)
	is.Equal(len(figures), len(measures(site))*len(Policies()))
	for _, f := range figures {
		if f.Policy == Gypsumspan && strings.HasPrefix(f.Measure, "broken flows") {
			is.Equal(f.Value, 0.0)
		}
	}
	var out bytes.Buffer
	is.NoErr(WriteFigures(&out, figures))
	is.Equal(strings.Count(out.String(), "\n"), 1+len(measures(site)))
}
