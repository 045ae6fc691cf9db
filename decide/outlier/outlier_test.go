package outlier

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// group returns targets with 20 requests each, of which the given numbers failed.
func group(failures ...float64) []Target {
	list := make([]Target, len(failures))
	for i := range failures {
		list[i].Count = Count{Requests: 20, Failures: failures[i]}
	}
	return list
}

// ejected returns the indexes of the ejected targets.
func ejected(list []Target) []int {
	var which []int
	for i, t := range list {
		if t.Ejected {
			which = append(which, i)
		}
	}
	return which
}

// Guards against a failing target that is not ejected, and against one that is ejected
// by chance or although all perform alike.
func TestDetect(t *testing.T) {
	cases := []struct {
		name     string
		failures []float64
		want     []int
	}{
		{"calm", []float64{0, 0, 1, 0, 2}, nil},
		{"one fails", []float64{0, 9, 1, 0, 2}, []int{1}},
		{"few by chance", []float64{0, 3, 0, 0, 0}, nil},
		{"all slow", []float64{10, 12, 9, 11, 14}, nil},
		{"two of five", []float64{0, 10, 0, 11, 1}, []int{1, 3}},
		{"three of seven, the worst two", []float64{0, 10, 0, 11, 0, 12, 0}, []int{3, 5}},
		{"half fail", []float64{10, 10, 10, 0, 0, 0}, nil},
		{"alone", []float64{20}, nil},
		{"two targets", []float64{20, 0}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			list := group(c.failures...)
			Detect(list)
			is.Equal(ejected(list), c.want)
		})
	}
}

// Guards against ejecting a target whose many failures are a normal fraction of its
// requests.
func TestBusyTargetIsNoOutlier(t *testing.T) {
	is := is.New(t)
	list := group(0, 0, 0, 0)
	list[0].Count = Count{Requests: 100, Failures: 8}
	Detect(list)
	is.Equal(ejected(list), nil)
}

// Guards against an outlier that is ejected and restored repeatedly around the limit, and
// against one that stays ejected after it has recovered.
func TestEjectionHysteresis(t *testing.T) {
	is := is.New(t)
	var c Counter
	for range 6 {
		c.Record(0, true)
	}
	list := group(0, 0, 0, 0)
	detect := func(now time.Duration) bool {
		list[0].Count = c.Read(now)
		Detect(list)
		return list[0].Ejected
	}
	is.True(detect(0))
	is.True(detect(halfLife)) // 3 failures: below the limit for ejection, above the one for restoring
	is.True(!detect(4 * halfLife))
}

// Guards against counts that do not decay or that lose requests.
func TestCounterDecays(t *testing.T) {
	is := is.New(t)
	var c Counter
	c.Record(0, true)
	c.Record(0, false)
	is.Equal(c.Read(0), Count{Requests: 2, Failures: 1})
	is.Equal(c.Read(halfLife), Count{Requests: 1, Failures: 0.5})
	c.Record(halfLife, true)
	is.Equal(c.Read(halfLife), Count{Requests: 2, Failures: 1.5})
}

// Guards against ejecting more than maxEjectedRatio of the targets, which would overload
// the others.
func TestDetectLimitsEjections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := group(rapid.SliceOfN(rapid.Float64Range(0, 100), 0, 20).Draw(t, "bad")...)
		for i := range list {
			list[i].Ejected = rapid.Bool().Draw(t, "aside")
		}
		Detect(list)
		if 5*len(ejected(list)) > 2*len(list) {
			t.Fatalf("%d of %d targets are ejected", len(ejected(list)), len(list))
		}
	})
}

// Guards against a baseline that is used after too few samples, or that does not follow
// a change.
func TestBaseline(t *testing.T) {
	is := is.New(t)
	var b Baseline
	for range minSamples - 1 {
		b.Record(100)
	}
	_, ok := b.Value()
	is.True(!ok)
	b.Record(100)
	v, ok := b.Value()
	is.True(ok)
	is.Equal(v, 100.0)
	for range 200 {
		b.Record(200)
	}
	v, _ = b.Value()
	is.True(v > 190)
}
