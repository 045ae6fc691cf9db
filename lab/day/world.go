package day

import (
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/balance"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
)

const (
	// loadDelay is the time from the start of the VMs to the start of the load.
	loadDelay = 6 * time.Second
	// cooldown is the time after the end of the load in which pending requests finish.
	cooldown = 6 * time.Second
)

// world is the state of one run: the emulator's services on one kernel. The VMs have
// kernels of their own on the same stepper.
type world struct {
	day     *Day
	seed    uint64
	stepper *kernel.Stepper
	kernel  *kernel.Kernel

	timeline  *timeline
	network   *network
	store     *store
	targets   *targets
	fleet     *fleet
	callers   *callers
	operator  *operator
	disruptor *disruptor
	oracle    *oracle
	tally     *tally
}

// lookup stores the service called name in to.
func lookup[T kernel.Service](k *kernel.Kernel, name string, to *T) error {
	found, err := kernel.Lookup[T](k, name)
	if err == nil {
		*to = found
	}
	return err
}

// connect looks up services of the emulator and stores them in deps, which are
// pointers to pointers of the services' types.
func connect(k *kernel.Kernel, deps ...any) error {
	for _, dep := range deps {
		var err error
		switch to := dep.(type) {
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
			err = fmt.Errorf("%T: %w", dep, kernel.ErrUnknownService)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Options are the parameters of one run.
type Options struct {
	Seed   uint64
	Policy Policy
	// Balance is how VMs choose among targets with reports of other VMs.
	Balance balance.Policy
	// KnowledgeAge, if not 0, replaces the reports that VMs exchange: the VMs of a failure
	// domain know each other's loads as of this time ago on average.
	KnowledgeAge time.Duration
	// Trace is called with every log event of the VMs; it may be nil.
	Trace func(now time.Duration, vm string, e *events.Event, fields []events.Field)
}

func newWorld(d *Day, o Options) (*world, error) {
	stepper := kernel.NewStepper(o.Seed)
	w := &world{day: d, seed: o.Seed, stepper: stepper, kernel: kernel.NewStepped(stepper)}
	site := d.Site
	w.tally = newTally(site, loadDelay)
	w.timeline = newTimeline(stepper, o.Seed)
	w.network = newNetwork(site)
	w.store = newStore(site)
	w.targets = newTargets(site)
	w.fleet = newFleet(site, stepper, o.Policy)
	w.fleet.balance, w.fleet.knowledgeAge = o.Balance, o.KnowledgeAge
	w.callers = newCallers(site)
	w.operator = newOperator(site)
	w.disruptor = newDisruptor(site)
	w.oracle = newOracle(site, w.tally)
	w.oracle.trace = o.Trace
	for _, s := range []kernel.Service{w.timeline, w.network, w.store, w.targets, w.fleet, w.callers, w.operator, w.disruptor, w.oracle} {
		if err := w.kernel.Register(s); err != nil {
			return nil, err
		}
	}
	if err := stepper.Add(w.kernel); err != nil {
		return nil, err
	}
	return w, nil
}

// Run plays a day. It returns an error if the emulator can't be set up. Broken promises
// are no error: they are in the report.
func Run(d *Day, o Options) (*Report, error) {
	w, err := newWorld(d, o)
	if err != nil {
		return nil, err
	}
	w.play()
	return w.report(), nil
}

// play starts all services and advances the clock to the end of the day.
func (w *world) play() {
	w.operator.start()
	w.targets.start()
	w.fleet.start()
	w.fleet.shareReports()
	w.timeline.at(loadDelay, func() {
		for _, t := range w.targets.all {
			t.startedRequests, t.peakRequests = 0, 0
		}
		w.targets.waits.begin(loadDelay + w.day.Length.D())
		w.callers.start(loadDelay + w.day.Length.D())
	})
	w.disruptor.schedule(loadDelay, w.day.Disruptions)
	w.stepper.Advance(loadDelay + w.day.Length.D() + cooldown)
	w.oracle.checkVersions()
	if w.tally.total.Requests > 0 && w.tally.total.InGoal+w.tally.total.Late == 0 {
		w.oracle.recordFault("no request was served")
	}
}
