package capacity

import (
	"context"
	"runtime"
	"strings"
	"time"
)

// Units of measured values.
const (
	Bytes          = "B"
	Nanoseconds    = "ns"
	BytesPerSecond = "B/s"
	Calls          = "calls"
)

// Experiment measures one value at several sizes.
type Experiment struct {
	Name      string // unique, as in docs/CAPACITY.md
	Unit      string // of the value
	Per       string // what the size counts
	Sizes     []int  // of the full measurement
	TinySizes []int  // of a check that takes milliseconds
	Measure   func(m *Meter, size int) Point
}

// Series is the result of one experiment.
type Series struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	Line
	// SlopeRatio is the slope, and InterceptRatio the intercept, in units of the reference
	// loop. Both are 0 if the value is not a time.
	SlopeRatio     float64 `json:"ratio,omitempty"`
	InterceptRatio float64 `json:"base_ratio,omitempty"`
}

// Report is the result of a run.
type Report struct {
	Machine     string   `json:"machine"`
	ReferenceNS float64  `json:"reference_ns"` // one encoding of a heartbeat with 32 updates
	Series      []Series `json:"series"`
}

// Options sets up a run.
type Options struct {
	// Only runs the experiments whose name starts with it.
	NamePrefix string
	// Tiny runs the small sizes with short loops. Its figures mean nothing.
	Tiny bool
}

// DefaultMinLoopTime is the least time of one timing loop of a full measurement.
const DefaultMinLoopTime = 200 * time.Millisecond

const (
	tinyLoopTime = 100 * time.Microsecond
	heapRounds   = 2
)

// tinyHeapSizes are the sizes of a memory measurement in a tiny run. Other parts
// of the process free or take a few kilobytes between two readings of the heap,
// as much as 40 small objects need; 1,600 need tens of kilobytes.
func tinyHeapSizes() []int { return []int{100, 400, 1_600} }

// Run measures the experiments one after the other. It returns ctx's error when
// ctx ends between two points.
func Run(ctx context.Context, o Options) (*Report, error) {
	m := &Meter{MinLoopTime: DefaultMinLoopTime, HeapSamples: heapRounds}
	if o.Tiny {
		m.MinLoopTime = tinyLoopTime
	}
	reference, err := m.reference()
	if err != nil {
		return nil, err
	}
	report := &Report{Machine: machine(), ReferenceNS: reference}
	for _, e := range Experiments() {
		if !strings.HasPrefix(e.Name, o.NamePrefix) {
			continue
		}
		s, err := e.run(ctx, m, o.Tiny)
		if err != nil {
			return nil, err
		}
		s.compare(reference)
		report.Series = append(report.Series, s)
	}
	return report, nil
}

func machine() string {
	return runtime.GOOS + "/" + runtime.GOARCH + " " + runtime.Version()
}

func (e *Experiment) run(ctx context.Context, m *Meter, tiny bool) (Series, error) {
	s := Series{Name: e.Name, Unit: e.Unit, Per: e.Per}
	sizes := e.Sizes
	if tiny {
		sizes = e.TinySizes
	}
	for _, size := range sizes {
		if err := ctx.Err(); err != nil {
			return s, err
		}
		s.Points = append(s.Points, e.Measure(m, size))
	}
	s.Line = Fit(s.Points)
	return s, nil
}

func (s *Series) compare(reference float64) {
	if s.Unit != Nanoseconds || reference <= 0 {
		return
	}
	s.SlopeRatio = s.Slope / reference
	s.InterceptRatio = s.Intercept / reference
}

// at makes a point of a size that is known before.
func at(size int, value float64) Point {
	return Point{Size: float64(size), Value: value}
}

// Experiments returns all experiments in the order of a run.
func Experiments() []Experiment {
	var all []Experiment
	all = append(all, tableExperiments()...)
	all = append(all, memberExperiments()...)
	all = append(all, ownerExperiments()...)
	all = append(all, vmExperiments()...)
	all = append(all, flowExperiments()...)
	all = append(all, datagramExperiments()...)
	all = append(all, handoverExperiments()...)
	all = append(all, controlExperiments()...)
	all = append(all, storeExperiments()...)
	return all
}
