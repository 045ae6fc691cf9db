// Package forward decides what a VM does with each packet of a caller: forward it to
// a target, reset the flow, or drop the packet.
//
// Any VM may receive any packet. The cookie in the header identifies the target of an
// open flow, so that a VM without a record of the flow can forward the packet.
package forward

import (
	"cmp"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/balance"
	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/estimate"
	"github.com/gypsumspan/gypsumspan/decide/evidence"
	"github.com/gypsumspan/gypsumspan/decide/flood"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

const (
	// MaxFlows is the maximum number of flow records of a VM, of about 250 bytes each.
	MaxFlows = 32768
	// defaultApplyWithin is the default of Config.ApplyWithin.
	defaultApplyWithin = 3 * time.Second
	// openingRetention is how long the record of an unanswered SYN is kept. Callers time
	// out after 1.4 s.
	openingRetention = 2 * time.Second
	// closingRetention is how long the record of a closed flow is kept to forward
	// retransmitted packets.
	closingRetention = 3 * time.Second
	// defaultIdleTimeout is used when the configuration has no idle timeout.
	defaultIdleTimeout = 30 * time.Second
	// stuckRetransmits is the number of retransmissions of the same packet after which a
	// flow counts as stuck. Callers retransmit after 200 ms and another 400 ms.
	stuckRetransmits = 2
	// minResponseTime is the shortest time between a packet and its retransmission that
	// shows that the target did not respond. Callers retransmit after 200 ms; packets
	// closer together were queued at this VM.
	minResponseTime = 150 * time.Millisecond
	// holdTime is how long all further data of a held request is held too. The caller
	// retransmits after 200 ms.
	holdTime = 150 * time.Millisecond
	// defaultRequestTimeout is used for routes without a timeout.
	defaultRequestTimeout = 5 * time.Second
	// stallRecovery is how long a VM does not judge targets after a stall. It exceeds
	// the time in which callers send all retransmissions of a packet.
	stallRecovery = 2 * time.Second
	// maxSilence is the minimum time without a packet of its flow from which a request
	// without an answer no longer counts as load of its service. While the service is
	// limited, a request takes about twice its processing time, and a caller whose data was
	// not acknowledged sends copies. One that is silent for this long was answered through
	// another VM, after the routers moved its flow, or its caller has given up: targets
	// answer callers directly, so that a VM sees neither.
	maxSilence = time.Second
	// aliveWindow is how long a target counts as alive after its last response. Open
	// flows of a target without an entry continue for this time.
	aliveWindow = time.Second
)

// Config configures a forwarder.
type Config struct {
	Domain string // failure domain of the VM
	Seed   uint64 // random, breaks ties between equally loaded targets
	// ApplyWithin is the time in which a catalog change reaches every VM; 0 means 3 s. A
	// cookie that stays unknown for longer in a fresh catalog belongs to a target that
	// is gone.
	ApplyWithin time.Duration
	// Regions holds the region of each failure domain. Routes that are limited to regions get
	// no targets of a domain that it lacks.
	Regions map[string]string
	// Policy is how targets are chosen among those with reports of other VMs.
	Policy balance.Policy
}

// Forwarder decides on the packets of callers. It is not safe for concurrent use.
type Forwarder struct {
	config Config
	view   *catalog.View
	flows  *flowTable
	loads  []balance.Load // by slot of the target

	// recentRequests is the number of requests in progress by slot of the target, without
	// those that expired; see maxSilence.
	recentRequests       []int
	serviceLoads         map[string]*balance.Load // by service; sums of Flows and recentRequests
	loaded               map[*catalog.Target]bool // targets with flows in loads
	reachability         map[serviceDomain]reachabilityCheck
	evidence             []evidence.Tracker // by slot of the target
	outlierStates        []outlierState     // by slot of the target
	estimates            estimates
	baselines            map[string]*baseline     // by name of the route
	failedRequestTargets map[*catalog.Target]bool // targets to report in Samples
	ejected              []*catalog.Target        // targets ejected as outliers, sorted by id

	candidates       []balance.Candidate // reused by choose
	candidateTargets []*catalog.Target   // parallel to candidates
	preferredDomain  string              // failure domain preferred for the current flow
	// preferredDepleted and localDepleted are the results of isDepleted for the current flow.
	preferredDepleted, localDepleted bool

	stalledAt   time.Duration // end of the last stall of this VM
	everStalled bool
	overloaded  bool // see SetOverloaded
	fleetSize   int  // see SetFleetSize; 0: not known

	removedTargets []*catalog.Target // candidates for resetGone
	resets         []FlowReset       // not yet returned by TakeFlowResets

	deferredChanges []DeferredChange // not yet returned by TakeDeferredChanges

	deaths        map[*catalog.Target]Judgement // of the targets that are judged dead
	newJudgements []Judgement                   // not yet returned by TakeJudgements

	domains       map[string][]balance.Domain // by service, as of domainsAt
	domainsAt     time.Duration
	averageActive map[serviceDomain]float64 // moving average of requests in progress
	flood         *flood.Limiter
	cold          coldLimiter
	reports       domainReports

	activeByDomain map[serviceDomain]int     // requests in progress, as in serviceLoads
	usable         capacity                  // as of domainsAt
	pressures      map[string]float64        // requests in progress per slot by service, as of domainsAt
	latenesses     map[string]*routeLateness // by name of the route
	lateRoutes     []LateRoute

	lacksChanges bool     // see SetLacksChanges
	unansweredBy []uint32 // not yet returned by TakeUnanswered

	halfOpen halfOpenFlows
	leaving  bool // see StartLeaving

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

		serviceLoads:         make(map[string]*balance.Load),
		loaded:               make(map[*catalog.Target]bool),
		reachability:         make(map[serviceDomain]reachabilityCheck),
		baselines:            make(map[string]*baseline),
		failedRequestTargets: make(map[*catalog.Target]bool),
		estimates:            newEstimates(),
		deaths:               make(map[*catalog.Target]Judgement),
		flood:                flood.New(),
		activeByDomain:       make(map[serviceDomain]int),
		pressures:            make(map[string]float64),
		latenesses:           make(map[string]*routeLateness),
		halfOpen:             newHalfOpenFlows(),
	}
}

// View returns the catalog, for reading.
func (f *Forwarder) View() *catalog.View { return f.view }

// Flows returns the number of flow records.
func (f *Forwarder) Flows() int { return len(f.flows.records) }

// Apply applies a catalog change and returns its effect.
func (f *Forwarder) Apply(now time.Duration, c catalog.Change) catalog.Effect {
	f.cold.beforeChange(now, f.view, c)
	effect := f.view.Apply(now, c)
	f.growSlots()
	f.cold.apply(now, f.view, c, effect)
	if effect == catalog.ConfigurationApplied {
		f.forgetRemovedRoutes(c.Configuration)
	}
	if effect == catalog.TargetRemoved {
		f.removedTargets = append(f.removedTargets, f.view.Target(cmp.Or(c.RemovedTarget, c.InvalidTarget)))
	}
	switch effect {
	case catalog.TargetAdded:
		// The slot may have been that of a removed target.
		slot := f.view.Target(c.Target.ID).Slot
		f.loads[slot] = balance.Load{}
		f.recentRequests[slot] = 0
		f.evidence[slot] = evidence.Tracker{}
		f.outlierStates[slot] = outlierState{}
		f.estimates.targets[slot] = estimate.Target{}
	case catalog.TargetRestarted:
		// What is known is of the process before.
		slot := f.view.Target(c.Target.ID).Slot
		f.evidence[slot] = evidence.Tracker{}
		f.outlierStates[slot] = outlierState{}
		f.estimates.targets[slot].ForgetSpeed()
	case catalog.TargetChanged:
		f.evidence[f.view.Target(c.Target.ID).Slot].RecordEntry()
	}
	return effect
}

// growSlots extends the slices that are indexed by the slot of a target.
func (f *Forwarder) growSlots() {
	for len(f.loads) < f.view.Slots() {
		f.loads = append(f.loads, balance.Load{})
		f.recentRequests = append(f.recentRequests, 0)
		f.evidence = append(f.evidence, evidence.Tracker{})
		f.outlierStates = append(f.outlierStates, outlierState{})
		f.estimates.targets = append(f.estimates.targets, estimate.Target{})
	}
}

// MarkStalled records that the VM was paused or slow until now. Packets of callers may
// still be queued at this VM, so that live targets would look silent.
func (f *Forwarder) MarkStalled(now time.Duration) {
	f.stalledAt = now
	f.everStalled = true
}

// SetOverloaded sets whether the VM has so much other work, or traffic on its link, that
// it must not judge targets by missing responses.
func (f *Forwarder) SetOverloaded(overloaded bool) { f.overloaded = overloaded }

// canJudgeTargets reports whether missing or late responses at this VM are evidence
// against a target: the VM is neither overloaded nor recovering from a stall.
func (f *Forwarder) canJudgeTargets(now time.Duration) bool {
	return !f.overloaded && (!f.everStalled || now >= f.stalledAt+stallRecovery)
}

// DeferredChange is a change of an older copy of the store that contradicted what the VM knew and
// was applied later.
type DeferredChange struct {
	Change catalog.Change
	Effect catalog.Effect
}

// TakeDeferredChanges returns the changes that Tick has applied since the last call. The slice
// is valid until the next call of any method.
func (f *Forwarder) TakeDeferredChanges() []DeferredChange {
	taken := f.deferredChanges
	f.deferredChanges = f.deferredChanges[:0]
	return taken
}

// StoreLost records that the store has become unreachable.
func (f *Forwarder) StoreLost() { f.view.StoreLost() }

// SetLacksChanges sets whether other VMs have changes of the catalog that this one lacks.
func (f *Forwarder) SetLacksChanges(lacks bool) { f.lacksChanges = lacks }

// StoreRegained records that an outage of the store has ended at the given time.
func (f *Forwarder) StoreRegained(at time.Duration) { f.view.StoreRegained(at) }

// Receive returns the verdict on one packet of a caller.
func (f *Forwarder) Receive(now time.Duration, p flow.Packet) Verdict {
	f.cold.settle(now)
	if p.Flags.Has(flow.SYN) {
		return f.receiveSYN(now, p)
	}
	return f.receiveOpenFlow(now, p)
}

// assign sets the target of a flow and moves its load from the previous target.
func (f *Forwarder) assign(r *record, t *catalog.Target) {
	if r.target == t {
		return
	}
	f.release(r)
	r.target = t
	if r.untracked {
		return
	}
	f.addLoad(t, r.load())
}

// loadChange is a change of the load of a target.
type loadChange struct {
	flows          int
	activeRequests int
	recentRequests int // those of activeRequests that have not expired
}

// load returns what the flow adds to the load of its target.
func (r *record) load() loadChange {
	c := loadChange{flows: 1}
	if r.active {
		c.activeRequests = 1
	}
	if r.active && !r.expired {
		c.recentRequests = 1
	}
	return c
}

// minus returns the change from other to c.
func (c loadChange) minus(other loadChange) loadChange {
	return loadChange{
		flows:          c.flows - other.flows,
		activeRequests: c.activeRequests - other.activeRequests,
		recentRequests: c.recentRequests - other.recentRequests,
	}
}

// addLoad changes the load of a target and its service.
func (f *Forwarder) addLoad(t *catalog.Target, c loadChange) {
	load := &f.loads[t.Slot]
	load.Flows += c.flows
	load.ActiveRequests += c.activeRequests
	f.recentRequests[t.Slot] += c.recentRequests
	if c.flows > 0 && load.Flows == c.flows {
		f.loaded[t] = true
	}
	if c.flows < 0 && load.Flows == 0 {
		delete(f.loaded, t)
	}
	service := f.serviceLoad(t.Service)
	service.Flows += c.flows
	service.ActiveRequests += c.recentRequests
	if c.recentRequests != 0 {
		f.addActive(serviceDomain{t.Service, t.Domain}, c.recentRequests)
	}
}

// serviceLoad returns the load of this VM at a service.
func (f *Forwarder) serviceLoad(service string) *balance.Load {
	load := f.serviceLoads[service]
	if load == nil {
		load = &balance.Load{}
		f.serviceLoads[service] = load
	}
	return load
}

// release removes a flow from the load of its target, and the target from the flow.
func (f *Forwarder) release(r *record) {
	if r.target == nil || r.untracked {
		return
	}
	f.addLoad(r.target, loadChange{}.minus(r.load()))
	r.target = nil
}

func (f *Forwarder) forget(k flow.Key) {
	if r := f.flows.get(k); r != nil {
		f.release(r)
		f.flows.remove(k)
	}
}

// setActive records whether a request of the flow is in progress.
func (f *Forwarder) setActive(r *record, t *catalog.Target, active bool) {
	if r.active == active {
		return
	}
	previous := r.load()
	r.active, r.expired = active, false
	if r.untracked {
		return
	}
	f.addLoad(t, r.load().minus(previous))
}

// expireRequest stops counting the request in progress as load of its service once its flow
// was silent for maxSilence and for as long as a slow response of its route takes.
func (f *Forwarder) expireRequest(now time.Duration, k flow.Key, r *record) {
	silence := now - r.lastSeen
	if r.expired || r.target == nil || silence < maxSilence {
		return
	}
	if route := f.view.Route(k.Address); route != nil {
		if slow, known := f.flowBaseline(r, route).slowThreshold(); known && silence < slow {
			return
		}
	}
	previous := r.load()
	r.expired = true
	f.addLoad(r.target, r.load().minus(previous))
}

// Tick expires flows, requests and targets, counts overdue requests as failed, and resets the
// flows of targets that are gone. It returns the time of the next call.
func (f *Forwarder) Tick(now time.Duration) time.Duration {
	const interval, leavingInterval = 500 * time.Millisecond, 100 * time.Millisecond
	settled := f.cold.settle(now)
	f.sweepContested(now)
	if now < f.nextSweep {
		return min(f.nextSweep, settled)
	}
	f.nextSweep = now + interval
	if f.leaving {
		f.nextSweep = now + leavingInterval
	}
	f.cold.forget(now, f.view)
	idle := f.idleTimeout()
	for _, c := range f.view.TakeHeld(now) {
		f.deferredChanges = append(f.deferredChanges, DeferredChange{Change: c, Effect: f.Apply(now, c)})
	}
	f.resetGone(now)
	f.endJudgements(now)
	for k, r := range f.flows.records {
		if now-r.lastSeen >= retention(r.phase, idle) {
			f.forget(k)
			continue
		}
		f.recordUnopened(now, k, r)
		if r.active {
			f.recordOverdue(now, k, r)
			f.expireRequest(now, k, r)
		}
		if r.active && now-r.requestAt >= f.requestTimeout(k) {
			// The caller has timed out, and may have abandoned the flow.
			f.setActive(r, r.target, false)
		}
	}
	f.sweepUnopened(now)
	f.sweepHints(now)
	f.view.Tick(now, func(t *catalog.Target) bool { return f.loads[t.Slot].Flows > 0 })
	return min(f.nextSweep, settled)
}

// idleTimeout returns the time after which a flow without packets may be discarded.
func (f *Forwarder) idleTimeout() time.Duration {
	return cmp.Or(f.view.IdleTimeout(), defaultIdleTimeout)
}

// requestTimeout returns the time after which a request of flow k no longer counts as
// in progress.
func (f *Forwarder) requestTimeout(k flow.Key) time.Duration {
	if route := f.view.Route(k.Address); route != nil && route.Timeout > 0 {
		return route.Timeout
	}
	return defaultRequestTimeout
}

// retention returns how long a record is kept after the last packet of its flow.
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
