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
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

// Action is what happens to a packet.
type Action uint8

// The actions.
const (
	Drop    Action = iota
	Forward        // to Verdict.Target
	Reset          // the caller gets a reset of the flow
)

// String returns the action as it appears in logs and metrics.
func (a Action) String() string {
	switch a {
	case Forward:
		return "forward"
	case Reset:
		return "reset"
	default:
		return "drop"
	}
}

// Reason says why an action was taken.
type Reason uint8

// The reasons.
const (
	Placed         Reason = iota // new flow, sent to a target
	PlacedAgain                  // repeated first packet, sent to another target
	Continued                    // packet of an open flow
	NotReady                     // this VM has no catalog yet
	NoRoute                      // no route has this address
	RouteRemoved                 // the operators have removed the route
	NoTarget                     // no target of the service takes new flows
	TargetGone                   // the flow's target has left or died
	TargetSilent                 // the flow's target does not answer, others do
	UnknownCookie                // the catalog has no target with this cookie yet
	UnknownForLong               // and has had none for longer than news take
	NoCookie                     // the packet names no target
	Shed                         // the flow's kind yields while targets have too much work
	Held                         // a request of such a kind; its caller repeats it soon
	reasons
)

// Reasons is the number of reasons.
const Reasons = int(reasons)

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string {
	names := [Reasons]string{"placed", "placed_again", "continued", "not_ready", "no_route",
		"route_removed", "no_target", "target_gone", "target_silent", "unknown_cookie",
		"unknown_for_long", "no_cookie", "shed", "held"}
	return names[r]
}

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	Reason Reason
	Target *catalog.Target // of Forward and, where known, of Reset
	Cookie flow.Cookie     // of Forward: to write into the packet
	Route  *catalog.Route  // nil without one
	// Opened and Answered are the times from the first packet of the flow, and from
	// the data of a request, to the packet that shows the target's answer; 0 when
	// this packet shows none.
	Opened   time.Duration
	Answered time.Duration
	// Decided means that the verdict is the first of its kind for this flow and is
	// worth a log line.
	Decided bool
}

const (
	// MaxFlows bounds the flows that a VM remembers; about 250 bytes each.
	MaxFlows = 32768
	// unknownTolerance is how long a cookie may be unknown to a fresh catalog before
	// its target counts as gone. Changes reach every VM within three seconds.
	unknownTolerance = 3 * time.Second
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
	// lifeSigns is how long after the last sign of life a target without an entry is
	// still taken as alive for its open flows.
	lifeSigns = time.Second
)

// Config is what a forwarder knows of its own VM.
type Config struct {
	Domain string // failure domain of the VM
	Seed   uint64 // random, for choices among equals
}

// Forwarder decides on packets. It is not safe for concurrent use.
type Forwarder struct {
	config Config
	view   *catalog.View
	flows  *flowTable
	loads  []balance.Load // by slot of the target

	serviceLoads map[string]*balance.Load // sums of loads
	cuts         map[place]cut
	evidence     []evidence.Tracker // by slot of the target

	choices   []balance.Candidate // reused
	chosen    []*catalog.Target   // parallel to choices
	preferred string              // failure domain of the flow that is being placed

	ending []*catalog.Target // whose flows are to be reset once they are lost
	resets []Ended           // flows that ended without a packet of theirs

	domains   map[string][]balance.Domain // by service, from reports at domainsAt
	domainsAt time.Duration
	busyAt    map[place]float64 // averages behind domains
	flood     *flood.Limiter
	nextSweep time.Duration
}

// New returns a forwarder with an empty catalog.
func New(config Config) *Forwarder {
	return &Forwarder{
		config: config,
		view:   catalog.NewView(),
		flows:  newFlowTable(MaxFlows),

		serviceLoads: make(map[string]*balance.Load),
		cuts:         make(map[place]cut),
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
	}
	return effect
}

// grow makes room for the slots of new targets.
func (f *Forwarder) grow() {
	for len(f.loads) < f.view.Slots() {
		f.loads = append(f.loads, balance.Load{})
		f.evidence = append(f.evidence, evidence.Tracker{})
	}
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

// first decides on the first packet of a flow or a copy of it.
func (f *Forwarder) first(now time.Duration, p flow.Packet) Verdict {
	if !f.view.Ready(now) {
		return Verdict{Action: Drop, Reason: NotReady}
	}
	route := f.view.Route(p.Flow.Address)
	if route == nil {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: NoRoute, Decided: true}
	}
	r := f.flows.get(p.Flow)
	if r != nil && r.phase != opening {
		if r.phase == open && p.Ack > 0 {
			// A delayed copy of a flow that has opened meanwhile.
			return Verdict{Action: Drop, Reason: Continued, Target: r.target, Route: route}
		}
		// The caller uses the port again.
		f.forget(p.Flow)
		r = nil
	}
	if r != nil && r.tries > 0 && now-r.sentAt < answerTime && !r.target.Gone(now) {
		// A duplicate, or a copy that has waited at this VM with its predecessor.
		return f.place(now, r, route, r.target, Placed, false)
	}
	if r == nil && !f.admit(now, p, route) {
		return Verdict{Action: Reset, Reason: Shed, Route: route, Decided: true}
	}
	if r == nil {
		r = f.flows.add(p.Flow, now)
	} else if r.target != nil {
		f.evidence[r.target.Slot].Unanswered(now, r.sentAt)
	}
	t := f.choose(now, p.Flow, route, r)
	if t == nil {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: NoTarget, Route: route, Decided: true}
	}
	reason := Placed
	if r.tries > 0 || p.Ack > 0 {
		reason = PlacedAgain
	}
	return f.place(now, r, route, t, reason, true)
}

func (f *Forwarder) place(now time.Duration, r *record, route *catalog.Route, t *catalog.Target, reason Reason, decided bool) Verdict {
	r.seen = now
	if decided {
		if r.tries < maxTried {
			r.tried[r.tries] = t
			r.tries++
		}
		f.assign(r, t)
		r.sentAt = now
		f.evidence[t.Slot].Chosen(now)
	}
	return Verdict{Action: Forward, Reason: reason, Target: t, Cookie: t.Cookie, Route: route, Decided: decided}
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
	f.loads[t.Slot].Flows += flows
	f.loads[t.Slot].Busy += busy
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

// choose returns the target of a new flow, or nil. It prefers targets that
// answer to silent ones, the own failure domain to others, and targets that were
// not tried for this flow to those that were.
func (f *Forwarder) choose(now time.Duration, k flow.Key, route *catalog.Route, r *record) *catalog.Target {
	hash := k.Hash()
	service := serviceOf(route, hash)
	targets := f.view.Service(service)
	f.preferred = f.domainFor(now, service, route.Kind, hash)
	for rank := range ranks {
		f.collect(now, targets, r, rank)
		if i := balance.Choose(hash^f.config.Seed, f.choices); i >= 0 {
			return f.chosen[i]
		}
	}
	return nil
}

// The ranks of candidates, the best first.
const (
	preferredAnswering = iota
	localAnswering
	anyAnswering
	localSilent
	anySilent
	anyTried
	ranks
)

// collect fills choices with the candidates of one rank.
func (f *Forwarder) collect(now time.Duration, targets []*catalog.Target, r *record, rank int) {
	f.choices, f.chosen = f.choices[:0], f.chosen[:0]
	for _, t := range targets {
		if !t.TakesFlows(now) || !f.inRank(now, t, r, rank) {
			continue
		}
		f.choices = append(f.choices, balance.Candidate{
			ID:    t.Number,
			Slots: t.Slots,
			Cold:  now < t.ColdTill,
			Load:  f.loads[t.Slot],
		})
		f.chosen = append(f.chosen, t)
	}
}

func (f *Forwarder) inRank(now time.Duration, t *catalog.Target, r *record, rank int) bool {
	if rank == anyTried {
		return true
	}
	if r.wasTried(t) {
		return false
	}
	if !t.Listed && f.evidence[t.Slot].Suspected() {
		// Its entry has lapsed, and it does not answer either.
		return false
	}
	switch rank {
	case preferredAnswering:
		return t.Domain == f.preferred && f.answers(now, t)
	case localAnswering:
		return t.Domain == f.config.Domain && f.answers(now, t)
	case anyAnswering:
		return f.answers(now, t)
	case localSilent:
		return t.Domain == f.config.Domain
	default:
		return true
	}
}

// answers reports whether nothing speaks against a target.
func (f *Forwarder) answers(now time.Duration, t *catalog.Target) bool {
	return !f.evidence[t.Slot].Silent(now) && !f.isCutOff(now, t)
}

func (r *record) wasTried(t *catalog.Target) bool {
	for _, tried := range r.tried[:r.tries] {
		if tried == t {
			return true
		}
	}
	return false
}

// serviceOf draws the service of a flow by the route's weights. Copies of the
// first packet draw the same on every VM.
func serviceOf(route *catalog.Route, hash uint64) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	var total uint64
	for _, share := range route.Shares {
		total += uint64(share.Weight)
	}
	const salt = 0x5be0cd19137e2179 // makes the draw independent of the choice of the target
	draw := rendezvous.Mix(hash, salt) % total
	for _, share := range route.Shares {
		if draw < uint64(share.Weight) {
			return share.Service
		}
		draw -= uint64(share.Weight)
	}
	return route.Shares[0].Service
}

// later decides on a packet of a flow that its caller takes as open.
func (f *Forwarder) later(now time.Duration, p flow.Packet) Verdict {
	route := f.view.Route(p.Flow.Address)
	if route == nil && f.view.RouteRemoved(p.Flow.Address) {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: RouteRemoved, Decided: true}
	}
	r := f.flows.get(p.Flow)
	t := f.targetOf(now, p, route, r)
	if t == nil {
		return f.withoutTarget(now, p, route, r)
	}
	if f.isLost(now, t) {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: TargetGone, Target: t, Route: route, Decided: true}
	}
	if r == nil {
		// The flow was opened at another VM: its present state says nothing of the
		// target.
		r = f.flows.add(p.Flow, now)
		r.phase = open
		r.ack = p.Ack
	}
	f.assign(r, t)
	if f.isHeld(now, r, p, route) {
		r.seen = now
		return Verdict{Action: Drop, Reason: Held, Target: t, Route: route}
	}
	opened, answered := f.note(now, r, t, p)
	f.noteDead(now, t)
	if r.busy && f.isStuck(now, r, t, route) {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: TargetSilent, Target: t, Route: route, Decided: true}
	}
	if p.Flags.Has(flow.RST) {
		f.forget(p.Flow)
	}
	return Verdict{Action: Forward, Reason: Continued, Target: t, Cookie: t.Cookie, Route: route, Opened: opened, Answered: answered}
}

// targetOf returns the target of an open flow: the one that this VM has seen
// first while it exists, else the one that the cookie names, else nil.
func (f *Forwarder) targetOf(now time.Duration, p flow.Packet, route *catalog.Route, r *record) *catalog.Target {
	var named *catalog.Target
	if p.Cookie != 0 {
		named = f.view.ByCookie(p.Cookie, route)
	}
	if r == nil || r.phase == opening || r.target == nil {
		return named
	}
	if r.target.Gone(now) && named != nil && !named.Gone(now) {
		return named
	}
	return r.target
}

// withoutTarget decides on a packet whose target is not known.
func (f *Forwarder) withoutTarget(now time.Duration, p flow.Packet, route *catalog.Route, r *record) Verdict {
	if p.Cookie == 0 {
		return Verdict{Action: Drop, Reason: NoCookie, Route: route}
	}
	if r == nil {
		r = f.flows.add(p.Flow, now)
		r.phase = open
	}
	r.seen = now
	first := r.unknown == 0
	if first {
		r.unknown = now
	}
	if f.view.Ready(now) && f.view.Fresh(now) && now >= r.unknown+unknownTolerance {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: UnknownForLong, Route: route, Decided: true}
	}
	return Verdict{Action: Drop, Reason: UnknownCookie, Route: route, Decided: first}
}

// isLost reports whether the flows of t can't go on: its entry is gone and
// nothing shows that it still answers.
func (f *Forwarder) isLost(now time.Duration, t *catalog.Target) bool {
	if !t.Gone(now) {
		return false
	}
	alive, ok := f.evidence[t.Slot].LastAlive()
	return !ok || now-alive >= lifeSigns
}

// isStuck reports whether a flow shall be reset because its target is dead by all
// that this VM sees, and other targets of the service answer. A request that may
// run at most once is left alone: its caller would not repeat it, and a target
// behind a partition may still run it.
func (f *Forwarder) isStuck(now time.Duration, r *record, t *catalog.Target, route *catalog.Route) bool {
	if route == nil || route.Kind == catalog.NonIdempotent {
		return false
	}
	if r.repeats >= stuckRepeats && f.isCutOff(now, t) {
		return true
	}
	return f.evidence[t.Slot].Dead(now) && f.othersAnswer(now, t)
}

// othersAnswer reports whether most other targets of t's service answer. If they
// do not, this VM is more likely cut off than they are dead.
func (f *Forwarder) othersAnswer(now time.Duration, t *catalog.Target) bool {
	answering, silent := 0, 0
	for _, other := range f.view.Service(t.Service) {
		if other == t || !other.Listed {
			continue
		}
		alive, ok := f.evidence[other.Slot].LastAlive()
		switch {
		case ok && now-alive < lifeSigns:
			answering++
		case f.evidence[other.Slot].Dead(now):
			silent++
		}
	}
	return answering > silent
}

// note learns from a packet of an open flow. It returns how long the target took
// to accept the flow and to answer a request, when the packet shows it.
func (f *Forwarder) note(now time.Duration, r *record, t *catalog.Target, p flow.Packet) (opened, answered time.Duration) {
	seen := &f.evidence[t.Slot]
	progress := r.phase == opening || newer(p.Ack, r.ack)
	if r.phase == opening {
		r.phase = open
		r.ack = p.Ack
		opened = now - r.sentAt
	}
	r.seen = now
	if progress {
		seen.Alive(now)
		r.ack = p.Ack
		r.repeats = 0
		if r.busy {
			answered = now - r.askedAt
		}
		f.setBusy(r, t, false)
	}
	end := p.Seq + uint32(p.Len)
	if p.Len > 0 && r.sent && !newer(end, r.seqTo) {
		f.noteRepeat(now, r, seen)
	} else if p.Len > 0 {
		r.sent = true
		r.seqTo = end
		r.dataAt = now
		if !r.busy {
			r.askedAt = now
		}
		f.setBusy(r, t, true)
	}
	if p.Flags.Has(flow.FIN) {
		r.phase = closing
	}
	return opened, answered
}

// noteRepeat notes a packet that was seen before. A copy that comes right after
// its predecessor has waited with it at this VM, which was paused or slow: the
// target had no time to answer.
func (f *Forwarder) noteRepeat(now time.Duration, r *record, target *evidence.Tracker) {
	if now-r.dataAt < answerTime {
		return
	}
	r.dataAt = now
	r.repeats++
	target.Repeated(now)
	if r.repeats == stuckRepeats {
		target.Stuck(now)
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
