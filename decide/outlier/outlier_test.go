package outlier

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func group(bad ...float64) []Target {
	list := make([]Target, len(bad))
	for i := range bad {
		list[i].Count = Count{Asked: 20, Bad: bad[i]}
	}
	return list
}

func aside(list []Target) []int {
	var which []int
	for i, t := range list {
		if t.Ejected {
			which = append(which, i)
		}
	}
	return which
}

// Guards against a target that fails part of its requests and is used on, and
// against one that is put aside by chance or though all serve alike.
func TestFind(t *testing.T) {
	cases := []struct {
		name string
		bad  []float64
		want []int
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
			list := group(c.bad...)
			Detect(list)
			is.Equal(aside(list), c.want)
		})
	}
}

// Guards against a target with many requests of which a usual part is bad.
func TestBusyTargetIsNoOutlier(t *testing.T) {
	is := is.New(t)
	list := group(0, 0, 0, 0)
	list[0].Count = Count{Asked: 100, Bad: 8}
	Detect(list)
	is.Equal(aside(list), nil)
}

// Guards against an outlier that comes and goes at its limit, and one that stays
// aside after it serves well again.
func TestOutlierStaysAndReturns(t *testing.T) {
	is := is.New(t)
	var c Counter
	for range 6 {
		c.Record(0, true)
	}
	list := group(0, 0, 0, 0)
	find := func(now time.Duration) bool {
		list[0].Count = c.Read(now)
		Detect(list)
		return list[0].Ejected
	}
	is.True(find(0))
	is.True(find(halfLife)) // 3 bad: below the limit of entry, above that of return
	is.True(!find(4 * halfLife))
}

// Guards against counts that do not decay or that lose requests.
func TestCounterDecays(t *testing.T) {
	is := is.New(t)
	var c Counter
	c.Record(0, true)
	c.Record(0, false)
	is.Equal(c.Read(0), Count{Asked: 2, Bad: 1})
	is.Equal(c.Read(halfLife), Count{Asked: 1, Bad: 0.5})
	c.Record(halfLife, true)
	is.Equal(c.Read(halfLife), Count{Asked: 2, Bad: 1.5})
}

// Guards against a share above the bound, whatever the counts: too many targets put
// aside would overload the others.
func TestFindKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := group(rapid.SliceOfN(rapid.Float64Range(0, 100), 0, 20).Draw(t, "bad")...)
		for i := range list {
			list[i].Ejected = rapid.Bool().Draw(t, "aside")
		}
		Detect(list)
		if 5*len(aside(list)) > 2*len(list) {
			t.Fatalf("%d of %d are put aside", len(aside(list)), len(list))
		}
	})
}

// Guards against a usual value that is taken from a few requests, or that does not
// follow a change.
func TestUsual(t *testing.T) {
	is := is.New(t)
	var u Baseline
	for range learned - 1 {
		u.Record(100)
	}
	_, ok := u.Value()
	is.True(!ok)
	u.Record(100)
	v, ok := u.Value()
	is.True(ok)
	is.Equal(v, 100.0)
	for range 200 {
		u.Record(200)
	}
	v, _ = u.Value()
	is.True(v > 190)
}
