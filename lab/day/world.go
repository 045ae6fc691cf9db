package day

import (
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
)

const (
	// loadAfter is the time between the start of the VMs and that of the load.
	loadAfter = 6 * time.Second
	// clearance is the time after the end of the load in which requests end.
	clearance = 6 * time.Second
)

// world is all parts of a day on one kernel, and the kernels of the VMs.
type world struct {
	day     *Day
	seed    uint64
	stepper *kernel.Stepper
	kernel  *kernel.Kernel

	timeline *timeline
	network  *network
	store    *store
	targets  *targets
	fleet    *fleet
	callers  *callers
	operator *operator
	troubles *troubles
	oracle   *oracle
	tally    *tally
}

// lookup finds one service of the emulator by its name.
func lookup[T kernel.Service](k *kernel.Kernel, name string, to *T) error {
	found, err := kernel.Lookup[T](k, name)
	if err == nil {
		*to = found
	}
	return err
}

// connect finds the parts that a service of the emulator needs.
func connect(k *kernel.Kernel, parts ...any) error {
	for _, p := range parts {
		var err error
		switch to := p.(type) {
		case **timeline:
			err = lookup(k, timelineName, to)
		case **network:
			err = lookup(k, networkName, to)
		case **store:
			err = lookup(k, storeName, to)
		case **targets:
			err = lookup(k, targetsName, to)
		case **fleet:
			err = lookup(k, fleetName, to)
		case **callers:
			err = lookup(k, callersName, to)
		case **operator:
			err = lookup(k, operatorName, to)
		case **oracle:
			err = lookup(k, oracleName, to)
		default:
			err = fmt.Errorf("%T: %w", p, kernel.ErrUnknownService)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Options are the choices of one run.
type Options struct {
	Seed   uint64
	Policy Policy
	// Trace gets every log event of the VMs; it may be nil.
	Trace func(now time.Duration, vm string, e *events.Event, fields []events.Field)
}

func newWorld(d *Day, o Options) (*world, error) {
	stepper := kernel.NewStepper(o.Seed)
	w := &world{day: d, seed: o.Seed, stepper: stepper, kernel: kernel.NewStepped(stepper)}
	site := d.Site
	w.tally = newTally(site, loadAfter)
	w.timeline = newTimeline(stepper, o.Seed)
	w.network = newNetwork(site)
	w.store = newStore(site)
	w.targets = newTargets(site)
	w.fleet = newFleet(site, stepper, o.Policy)
	w.callers = newCallers(site)
	w.operator = newOperator(site)
	w.troubles = newTroubles(site)
	w.oracle = newOracle(site, w.tally)
	w.oracle.trace = o.Trace
	for _, s := range []kernel.Service{w.timeline, w.network, w.store, w.targets, w.fleet, w.callers, w.operator, w.troubles, w.oracle} {
		if err := w.kernel.Register(s); err != nil {
			return nil, err
		}
	}
	if err := stepper.Add(w.kernel); err != nil {
		return nil, err
	}
	return w, nil
}

// Run plays a day. It returns an error when the day can't be played; broken promises
// are in the report.
func Run(d *Day, o Options) (*Report, error) {
	w, err := newWorld(d, o)
	if err != nil {
		return nil, err
	}
	w.play()
	return w.report(), nil
}

// play starts everything and lets the day pass.
func (w *world) play() {
	w.operator.start()
	w.targets.start()
	w.fleet.start()
	w.timeline.at(loadAfter, func() {
		for _, t := range w.targets.all {
			t.worked, t.peak = 0, 0
		}
		w.callers.start(loadAfter + w.day.Length.D())
	})
	w.troubles.plan(loadAfter, w.day.Disruptions)
	w.stepper.Advance(loadAfter + w.day.Length.D() + clearance)
	if w.tally.total.Asked > 0 && w.tally.total.InGoal+w.tally.total.Late == 0 {
		w.oracle.fault("no request was served")
	}
}
