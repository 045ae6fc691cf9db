// Package forward decides what a VM does with each packet of a caller: to which
// target it goes, whether the flow is reset, or whether the packet is dropped.
//
// Any VM may receive any packet. The cookie in the header names the target of an
// open flow, so that a VM without memory of the flow forwards it as well.
package forward

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/balance"
	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/evidence"
	"github.com/gypsumspan/gypsumspan/decide/flood"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

const (
	// MaxFlows bounds the flows that a VM remembers; about 250 bytes each.
	MaxFlows = 32768
	// defaultApplyWithin replaces Config.ApplyWithin when it is 0.
	defaultApplyWithin = 3 * time.Second
	// openingRetention is how long an unanswered opening is remembered; a caller
	// gives up after 1.4 s.
	openingRetention = 2 * time.Second
	// closingRetention is how long a closed flow is remembered for repeated packets.
	closingRetention = 3 * time.Second
	// defaultIdle is the age of a flow without packets at which it is forgotten when
	// the configuration states none.
	defaultIdle = 30 * time.Second
	// stuckRepeats is the number of repeats of the same packet, after 200 ms and
	// another 400 ms, that make a flow stuck.
	stuckRepeats = 2
	// answerTime is the time that a target must have had before a copy of a packet
	// says that it has not answered. Callers send copies after 200 ms.
	answerTime = 150 * time.Millisecond
	// heldFor is how long further data of a held request is held as well. Its caller
	// repeats it after 200 ms.
	heldFor = 150 * time.Millisecond
	// defaultTimeLimit is the time limit of requests whose route states none.
	defaultTimeLimit = 5 * time.Second
	// lateFor is how long a VM that was slow does not judge targets: longer than the
	// copies of a packet take.
	lateFor = 2 * time.Second
	// lifeSigns is how long after the last sign of life a target without an entry is
	// still taken as alive for its open flows.
	lifeSigns = time.Second
)

// Config is what a forwarder knows of its own VM.
type Config struct {
	Domain string // failure domain of the VM
	Seed   uint64 // random, for choices among equals
	// ApplyWithin is the time in which changes reach every VM; 0 is 3 s. A cookie that
	// a fresh catalog does not know for longer names a target that is gone.
	ApplyWithin time.Duration
}

// Forwarder decides on packets. It is not safe for concurrent use.
type Forwarder struct {
	config Config
	view   *catalog.View
	flows  *flowTable
	loads  []balance.Load // by slot of the target

	serviceLoads map[string]*balance.Load // sums of loads
	loaded       map[*catalog.Target]bool // targets with flows of this VM
	cuts         map[place]cut
	evidence     []evidence.Tracker       // by slot of the target
	conduct      []conduct                // by slot of the target
	usual        map[string]*usual        // by name of the route
	suspects     map[*catalog.Target]bool // those with bad requests lately
	aside        []*catalog.Target        // those that are put aside

	choices   []balance.Candidate // reused
	chosen    []*catalog.Target   // parallel to choices
	preferred string              // failure domain of the flow that is being placed

	lateAt   time.Duration // when the VM was last too slow to judge targets
	wasLate  bool
	burdened bool // the VM has so much other work that it doesn't judge targets

	ending []*catalog.Target // whose flows are to be reset once they are lost
	resets []FlowReset       // flows that ended without a packet of theirs

	domains   map[string][]balance.Domain // by service, from reports at domainsAt
	domainsAt time.Duration
	busyAt    map[place]float64 // averages behind domains
	flood     *flood.Limiter
	nextSweep time.Duration
}

// New returns a forwarder with an empty catalog.
func New(config Config) *Forwarder {
	if config.ApplyWithin == 0 {
		config.ApplyWithin = defaultApplyWithin
	}
	return &Forwarder{
		config: config,
		view:   catalog.NewView(),
		flows:  newFlowTable(MaxFlows),

		serviceLoads: make(map[string]*balance.Load),
		loaded:       make(map[*catalog.Target]bool),
		cuts:         make(map[place]cut),
		usual:        make(map[string]*usual),
		suspects:     make(map[*catalog.Target]bool),
		flood:        flood.New(),
	}
}

// View returns the catalog, for reading.
func (f *Forwarder) View() *catalog.View { return f.view }

// Flows returns the number of remembered flows.
func (f *Forwarder) Flows() int { return len(f.flows.records) }

// Apply merges a change of the catalog.
func (f *Forwarder) Apply(now time.Duration, c catalog.Change) catalog.Effect {
	effect := f.view.Apply(now, c)
	f.grow()
	if effect == catalog.ConfigurationApplied {
		f.forgetKinds(c.Configuration)
	}
	if effect == catalog.TargetRemoved {
		f.ending = append(f.ending, f.view.Target(c.Gone))
	}
	if effect == catalog.TargetAdded {
		t := f.view.Target(c.Target.ID)
		f.loads[t.Slot] = balance.Load{}
		f.evidence[t.Slot] = evidence.Tracker{}
		f.conduct[t.Slot] = conduct{}
	}
	return effect
}

// grow makes room for the slots of new targets.
func (f *Forwarder) grow() {
	for len(f.loads) < f.view.Slots() {
		f.loads = append(f.loads, balance.Load{})
		f.evidence = append(f.evidence, evidence.Tracker{})
		f.conduct = append(f.conduct, conduct{})
	}
}

// MarkStalled notes that the VM was paused or slow: what callers have sent since then
// may still wait at this VM, so that targets look silent that are not.
func (f *Forwarder) MarkStalled(now time.Duration) {
	f.lateAt = now
	f.wasLate = true
}

// SetOverloaded says whether the VM has so much other work, or traffic on its link,
// that it doesn't judge targets by their silence.
func (f *Forwarder) SetOverloaded(burdened bool) { f.burdened = burdened }

// judges reports whether silence at this VM says something of a target.
func (f *Forwarder) judges(now time.Duration) bool {
	return !f.burdened && (!f.wasLate || now >= f.lateAt+lateFor)
}

// StoreLost notes that the store can't be reached.
func (f *Forwarder) StoreLost() { f.view.StoreLost() }

// StoreRegained notes that the store answers again.
func (f *Forwarder) StoreRegained(now time.Duration) { f.view.StoreRegained(now) }

// Receive decides on one packet of a caller.
func (f *Forwarder) Receive(now time.Duration, p flow.Packet) Verdict {
	if p.Flags.Has(flow.SYN) {
		return f.first(now, p)
	}
	return f.later(now, p)
}

// assign counts a flow at t and no longer at its former target.
func (f *Forwarder) assign(r *record, t *catalog.Target) {
	if r.target == t {
		return
	}
	f.release(r)
	r.target = t
	if r.transient {
		return
	}
	f.count(t, 1, 0)
	if r.busy {
		f.count(t, 0, 1)
	}
}

// count adds flows and requests in progress to the loads of a target and its service.
func (f *Forwarder) count(t *catalog.Target, flows, busy int) {
	load := &f.loads[t.Slot]
	load.Flows += flows
	load.Busy += busy
	if flows > 0 && load.Flows == flows {
		f.loaded[t] = true
	}
	if flows < 0 && load.Flows == 0 {
		delete(f.loaded, t)
	}
	service := f.loadOf(t.Service)
	service.Flows += flows
	service.Busy += busy
}

// loadOf returns the load that this VM causes at a service.
func (f *Forwarder) loadOf(service string) *balance.Load {
	load := f.serviceLoads[service]
	if load == nil {
		load = &balance.Load{}
		f.serviceLoads[service] = load
	}
	return load
}

// release removes a flow from the load of its target.
func (f *Forwarder) release(r *record) {
	if r.target == nil || r.transient {
		return
	}
	f.count(r.target, -1, 0)
	if r.busy {
		f.count(r.target, 0, -1)
	}
	r.target = nil
}

func (f *Forwarder) forget(k flow.Key) {
	if r := f.flows.get(k); r != nil {
		f.release(r)
		f.flows.remove(k)
	}
}

func (f *Forwarder) setBusy(r *record, t *catalog.Target, busy bool) {
	if r.busy == busy {
		return
	}
	r.busy = busy
	if r.transient {
		return
	}
	if busy {
		f.count(t, 0, 1)
	} else {
		f.count(t, 0, -1)
	}
}

// Tick forgets old flows and targets. It returns the time of the next call.
func (f *Forwarder) Tick(now time.Duration) time.Duration {
	const interval = 500 * time.Millisecond
	if now < f.nextSweep {
		return f.nextSweep
	}
	f.nextSweep = now + interval
	idle := f.view.IdleTimeout()
	if idle == 0 {
		idle = defaultIdle
	}
	f.resetLost(now)
	for k, r := range f.flows.records {
		if now-r.seen >= retention(r.phase, idle) {
			f.forget(k)
			continue
		}
		if r.busy {
			f.judgeWaiting(now, k, r)
		}
		if r.busy && now-r.askedAt >= f.timeLimit(k) {
			// The caller has given up, perhaps with the whole flow.
			f.setBusy(r, r.target, false)
		}
	}
	f.view.Tick(now, func(t *catalog.Target) bool { return f.loads[t.Slot].Flows > 0 })
	return f.nextSweep
}

// timeLimit returns the time after which a request of a flow is no longer in
// progress.
func (f *Forwarder) timeLimit(k flow.Key) time.Duration {
	if route := f.view.Route(k.Address); route != nil && route.Timeout > 0 {
		return route.Timeout
	}
	return defaultTimeLimit
}

func retention(p phase, idle time.Duration) time.Duration {
	switch p {
	case opening:
		return openingRetention
	case closing:
		return closingRetention
	default:
		return idle
	}
}
