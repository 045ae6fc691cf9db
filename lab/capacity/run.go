package capacity

import (
	"context"
	"runtime"
	"strings"
	"time"
)

// Units of values.
const (
	Bytes          = "B"
	Nanoseconds    = "ns"
	BytesPerSecond = "B/s"
	Calls          = "calls"
)

// Experiment measures a value at several sizes.
type Experiment struct {
	Name      string // unique, as in docs/CAPACITY.md
	Unit      string // of the value
	Per       string // what the size counts
	Sizes     []int  // of the full measurement
	TinySizes []int  // of a tiny run, which takes milliseconds
	Measure   func(m *Meter, size int) Point
}

// Series is the result of one experiment.
type Series struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	Line
	// SlopeRatio and InterceptRatio are the slope and the intercept divided by the duration
	// of the reference loop. Both are 0 if the value is not a time.
	SlopeRatio     float64 `json:"ratio,omitempty"`
	InterceptRatio float64 `json:"base_ratio,omitempty"`
}

// Report is the result of a run.
type Report struct {
	Machine     string   `json:"machine"`
	ReferenceNS float64  `json:"reference_ns"` // one encoding of a heartbeat with 32 updates
	Series      []Series `json:"series"`
}

// Options selects what Run measures.
type Options struct {
	// NamePrefix selects the experiments whose name starts with it; empty selects all.
	NamePrefix string
	// Tiny selects small sizes and short timing loops, to check that the experiments run.
	// Its figures are meaningless.
	Tiny bool
}

// DefaultMinLoopTime is the minimum duration of a timing loop, except in a tiny run.
const DefaultMinLoopTime = 200 * time.Millisecond

const (
	tinyMinLoopTime = 100 * time.Microsecond
	heapSamples     = 2
)

// tinyHeapSizes returns the sizes of a memory measurement in a tiny run. Other parts of the
// process allocate or free a few kilobytes between two readings of the heap, as much as 40
// small objects occupy; 1,600 occupy tens of kilobytes.
func tinyHeapSizes() []int { return []int{100, 400, 1_600} }

// Run runs the selected experiments one after the other. It returns ctx's error if ctx ends
// before the last point.
func Run(ctx context.Context, o Options) (*Report, error) {
	m := &Meter{MinLoopTime: DefaultMinLoopTime, HeapSamples: heapSamples}
	if o.Tiny {
		m.MinLoopTime = tinyMinLoopTime
	}
	reference, err := m.referenceTime()
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
		s.setRatios(reference)
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

func (s *Series) setRatios(reference float64) {
	if s.Unit != Nanoseconds || reference <= 0 {
		return
	}
	s.SlopeRatio = s.Slope / reference
	s.InterceptRatio = s.Intercept / reference
}

// newPoint returns the point of a value at a size.
func newPoint(size int, value float64) Point {
	return Point{Size: float64(size), Value: value}
}

// Experiments returns all experiments in the order in which Run runs them.
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
