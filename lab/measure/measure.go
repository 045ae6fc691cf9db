// Package measure runs the experiments behind the project's goals for broken flows,
// imbalance, the effect of floods, the time of table changes and control traffic. Every
// experiment runs fleets of lab/fleet under a virtual clock, so the figures of a run are a
// function of its seed, site and scale. Each case has its own fleet.
//
// The baselines of lab/measure/baseline run with the same seed.
package measure

import (
	"errors"
	"fmt"
	"slices"
)

// Errors of this package.
var (
	// ErrInvalidOption means that an option or the name of an experiment is invalid.
	ErrInvalidOption = errors.New("invalid option")
	// ErrBoundMissed means that a figure missed its bound, or that a promise was broken.
	ErrBoundMissed = errors.New("a bound was missed")
)

// Options selects what Run runs.
type Options struct {
	Site Site
	Seed uint64
	// Scale is the fraction of the site's flows per target, above 0 and at most 1. In the
	// flood experiment it is the fraction of the targets and VMs instead, since a flood must
	// fill every slot.
	Scale       float64
	Experiments []string // empty: all
	// Progress, if set, is called before each case.
	Progress func(experiment, name string)
}

// experiment is an experiment with its name.
type experiment struct {
	name string
	run  func(r *run)
}

// experiments returns all experiments in the order in which Run runs them.
func experiments() []experiment {
	return []experiment{
		{name: "broken", run: brokenFlows},
		{name: "imbalance", run: imbalance},
		{name: "flood", run: floods},
		{name: "table", run: tableTimes},
		{name: "control", run: controlTraffic},
	}
}

// Experiments returns the names of all experiments.
func Experiments() []string {
	var names []string
	for _, e := range experiments() {
		names = append(names, e.name)
	}
	return names
}

// run is a run of experiments with the figures that it has so far.
type run struct {
	Options
	report     *Report
	experiment string
	caseName   string
}

// Run runs the selected experiments and returns their figures. It returns ErrInvalidOption
// without a report, or ErrBoundMissed together with the report.
func Run(o Options) (*Report, error) {
	if o.Scale <= 0 || o.Scale > 1 {
		return nil, fmt.Errorf("scale %g is not above 0 and at most 1: %w", o.Scale, ErrInvalidOption)
	}
	for _, name := range o.Experiments {
		if !slices.Contains(Experiments(), name) {
			return nil, fmt.Errorf("experiment %q is none of %v: %w", name, Experiments(), ErrInvalidOption)
		}
	}
	r := &run{Options: o, report: &Report{Site: o.Site.Name, Seed: o.Seed, Scale: o.Scale}}
	for _, e := range experiments() {
		if len(o.Experiments) > 0 && !slices.Contains(o.Experiments, e.name) {
			continue
		}
		r.experiment = e.name
		e.run(r)
	}
	return r.report, r.report.verdict()
}

// verdict returns ErrBoundMissed if a figure missed its bound or a promise was broken.
func (r *Report) verdict() error {
	missed := len(r.Missed())
	if missed == 0 && len(r.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("%d figures, %d violations: %w", missed, len(r.Violations), ErrBoundMissed)
}

// beginCase starts a case of the experiment.
func (r *run) beginCase(name string) {
	r.caseName = name
	if r.Progress != nil {
		r.Progress(r.experiment, name)
	}
}

// add adds a figure of the case to the report.
func (r *run) add(name string, value float64, unit string, bound *Bound) {
	r.report.Figures = append(r.report.Figures, Figure{
		Experiment: r.experiment, Case: r.caseName, Name: name, Value: value, Unit: unit, Bound: bound,
	})
}

// checkPromises adds the promises that a fleet has broken to the report, and their number as
// a figure.
func (r *run) checkPromises(t *trial) {
	violations := t.fleet.Oracle().Violations()
	for _, v := range violations {
		r.report.Violations = append(r.report.Violations, fmt.Sprintf("%s, %s: %s", r.experiment, r.caseName, v))
	}
	r.add("promises broken", float64(len(violations)), "", atMost(0))
}
