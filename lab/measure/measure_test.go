package measure

import (
	"errors"
	"testing"
)

// smallSite returns a site whose cases take seconds, also under the race detector.
func smallSite() Site {
	site := Wales().shrink(0.15)
	site.VMs = 3
	return site
}

// Guards against experiments that no longer run or miss a bound at a small size: the time of
// table changes, requests at a leaving target, and the promises that the oracle checks.
func TestLeavingTargetGetsNoMoreWork(t *testing.T) {
	r := &run{Options: Options{Site: smallSite(), Seed: 1, Scale: 0.01}, report: &Report{}}
	r.lastDispatch()
	r.changesInForce(0)
	if err := r.report.verdict(); err != nil {
		t.Errorf("%v: %+v %v", err, r.report.Missed(), r.report.Violations)
	}
}

// Guards against broken flows and failed calls while targets are replaced.
func TestReplacedTargetsBreakNoFlow(t *testing.T) {
	r := &run{Options: Options{Site: smallSite(), Seed: 1, Scale: 0.01}, report: &Report{}}
	r.runChange(changeCase{name: "every target replaced in turn", planned: true, run: replaceTargets})
	if err := r.report.verdict(); err != nil {
		t.Errorf("%v: %+v %v", err, r.report.Missed(), r.report.Violations)
	}
}

// Guards against a bound that accepts a figure outside it, and against a run that does not
// return an error for it.
func TestMissedBoundIsAnError(t *testing.T) {
	cases := []struct {
		bound  *Bound
		value  float64
		missed bool
	}{
		{atMost(3), 3, false},
		{atMost(3), 3.1, true},
		{below(3), 3, true},
		{below(3), 2.9, false},
		{atLeast(95), 95, false},
		{atLeast(95), 94.9, true},
		{nil, 1e9, false},
	}
	for _, c := range cases {
		r := &Report{Figures: []Figure{{Value: c.value, Bound: c.bound}}}
		if missed := errors.Is(r.verdict(), ErrBoundMissed); missed != c.missed {
			t.Errorf("%v with bound %v: missed is %v", c.value, c.bound, missed)
		}
	}
	r := &Report{Violations: []string{"a promise"}}
	if !errors.Is(r.verdict(), ErrBoundMissed) {
		t.Error("a broken promise is not an error")
	}
}

// Guards against invalid options that are accepted.
func TestInvalidOptionsAreRefused(t *testing.T) {
	for _, o := range []Options{
		{Site: Wales(), Scale: 0},
		{Site: Wales(), Scale: 2},
		{Site: Wales(), Scale: 1, Experiments: []string{"nothing"}},
	} {
		if _, err := Run(o); !errors.Is(err, ErrInvalidOption) {
			t.Errorf("scale %v, experiments %v: %v", o.Scale, o.Experiments, err)
		}
	}
	if _, err := SiteByName("nowhere"); !errors.Is(err, ErrInvalidOption) {
		t.Errorf("unknown site: %v", err)
	}
}
