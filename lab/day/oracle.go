package day

import (
	"fmt"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
)

const (
	oracleName = "oracle"
	// maxDescribedViolations is the number of violations that a report describes; all are
	// counted.
	maxDescribedViolations = 20
	// minMisroutedPackets is the number of packets of a flow at other targets, with none
	// at its own for Bounds.MaxMisroute, that violate FlowStray.
	minMisroutedPackets = 3
)

// disruptionState records whether something is disrupted, and when that ended.
type disruptionState struct {
	active   int // disruptions in progress
	lastEnd  time.Duration
	occurred bool
}

// begin records the start of a disruption.
func (d *disruptionState) begin() { d.active++; d.occurred = true }

// end records the end of a disruption at now.
func (d *disruptionState) end(now time.Duration) { d.active--; d.lastEnd = now }

// settled reports whether there was no disruption within settleTime before now.
func (d *disruptionState) settled(now, settleTime time.Duration) bool {
	return d.active == 0 && (!d.occurred || now-d.lastEnd >= settleTime)
}

// misrouteCount counts the packets of a flow at other targets since the last one at its
// own.
type misrouteCount struct {
	since   time.Duration
	packets int
}

// Promise is the name of a promise of the system: an invariant that the oracle checks.
type Promise string

// The promises.
const (
	FlowReset      Promise = "flow_reset"      // a VM never resets an open flow whose target is up and has it
	FlowStray      Promise = "flow_stray"      // packets of an open flow reach its target
	Foreign        Promise = "foreign"         // no flow is opened at a target of a service that its route never had
	RanTwice       Promise = "ran_twice"       // no non-idempotent request is executed twice
	FalseNoRun     Promise = "false_not_run"   // a request that its caller sees as not executed was not executed
	Drained        Promise = "drained"         // a draining target gets no new flow after Bounds.DrainWithin
	ColdLimit      Promise = "cold_limit"      // a cold target gets no more new flows in a second than its limit
	Evacuated      Promise = "evacuated"       // targets of an evacuated domain get no new flow after Bounds.EvacuateWithin
	ConfigReverted Promise = "config_reverted" // no process of a VM goes to an older configuration
	Stale          Promise = "stale"           // a change is in force at every VM after Bounds.ApplyWithin
	Fault          Promise = "fault"           // no VM has an internal failure, and some request is answered
)

// Violation is one broken promise.
type Violation struct {
	At      time.Duration `json:"at_ns"`
	Promise Promise       `json:"promise"`
	Text    string        `json:"text"`
}

// oracle is the service "oracle": it observes all other services and checks the
// promises.
type oracle struct {
	baseService
	site     *Site
	timeline *timeline
	fleet    *fleet
	operator *operator
	tally    *tally

	storeDisruption  disruptionState
	domainPartitions []disruptionState
	violations       []Violation
	violationCount   int
	events           map[string]int // log events of all VMs, by number
	trace            func(now time.Duration, vm string, e *events.Event, fields []events.Field)

	// brokenFlows counts open flows that ended although their target was up and had
	// them, disrupted or not.
	brokenFlows int
	deadFlows   deadFlowTally
	openTimes   openTimeTally
}

func newOracle(site *Site, t *tally) *oracle {
	return &oracle{
		baseService:      baseService{oracleName},
		site:             site,
		tally:            t,
		domainPartitions: make([]disruptionState, len(site.Domains)),
		events:           make(map[string]int),
	}
}

// Connect implements kernel.Service.
func (o *oracle) Connect(k *kernel.Kernel) error {
	return connect(k, &o.timeline, &o.fleet, &o.operator)
}

func (o *oracle) now() time.Duration { return o.timeline.now() }

func (o *oracle) recordViolation(p Promise, format string, values ...any) {
	o.violationCount++
	if len(o.violations) < maxDescribedViolations {
		o.violations = append(o.violations, Violation{At: o.now(), Promise: p, Text: fmt.Sprintf(format, values...)})
	}
}

// recordFault records an internal failure of a VM.
func (o *oracle) recordFault(format string, values ...any) {
	o.recordViolation(Fault, format, values...)
}

// vmSettled reports whether a VM and its failure domain have settled, so that bounds
// hold for it.
func (o *oracle) vmSettled(v *vm) bool {
	settleTime := o.site.Bounds.SettleTime.D()
	return v.disruption.settled(o.now(), settleTime) && o.domainPartitions[v.node.domain].settled(o.now(), settleTime)
}

// targetSettled reports whether a target and its failure domain have settled.
func (o *oracle) targetSettled(t *target) bool {
	settleTime := o.site.Bounds.SettleTime.D()
	return t.disruption.settled(o.now(), settleTime) && o.domainPartitions[t.node.domain].settled(o.now(), settleTime)
}

// storeSettled reports whether the store has settled.
func (o *oracle) storeSettled() bool {
	return o.storeDisruption.settled(o.now(), o.site.Bounds.SettleTime.D())
}

// requestStarted records the start of a request.
func (o *oracle) requestStarted(r *request) { o.tally.requestStarted(r) }

// requestEnded records the end of a request.
func (o *oracle) requestEnded(r *request, answered bool) { o.tally.requestEnded(o.now(), r, answered) }

// requestExecuted records that a target began to execute a request.
func (o *oracle) requestExecuted(t *target, r *request) {
	r.executions++
	if r.executions > 1 && r.kind.catalogKind() == catalog.NonIdempotent {
		o.recordViolation(RanTwice, "request of %s ran again, at %s", r.kind.Name, t.id)
	}
}

// requestNotExecuted checks a request that its caller sees as not executed.
func (o *oracle) requestNotExecuted(r *request) {
	if r.executions > 0 && !r.mayBeExecuted {
		o.recordViolation(FalseNoRun, "request of %s has run, its caller was told otherwise", r.kind.Name)
	}
}

// flowOpened checks the first SYN of a flow at a target.
func (o *oracle) flowOpened(t *target, p flow.Packet, from sender) {
	if !o.operator.allows(p.Flow.Address, t.service.Name) {
		o.recordViolation(Foreign, "flow %s was opened at %s of service %s", p.Flow, t.id, t.service.Name)
	}
	o.evacuatedTarget(t, from, p.Flow.String())
	o.checkColdLimit(t, p)
	if t.draining && t.drainStoredAt > 0 && o.now()-t.drainStoredAt > o.site.Bounds.DrainWithin.D() && o.vmSettled(from.vm) && o.storeSettled() {
		o.recordViolation(Drained, "%s sent flow %s to %s, which leaves since %s", from.vm.name, p.Flow, t.id, t.drainStoredAt)
	}
}

// handshakeDone records that a target has received the ACK of its SYN-ACK.
func (o *oracle) handshakeDone(t *target, k flow.Key) {
	if f := o.fleet.callers.flows[k]; f != nil && f.target == t {
		f.handshakeDone = true
	}
}

// packetReceived checks a packet at a target for misrouting.
func (o *oracle) packetReceived(t *target, p flow.Packet) {
	f := o.fleet.callers.flows[p.Flow]
	if f == nil || !f.open || !f.handshakeDone || p.Flags.Has(flow.SYN) {
		return
	}
	if f.target == t {
		f.misroutes = misrouteCount{}
		return
	}
	if f.misroutes.packets == 0 {
		f.misroutes.since = o.now()
	}
	f.misroutes.packets++
	if f.misroutes.packets >= minMisroutedPackets && o.now()-f.misroutes.since >= o.site.Bounds.MaxMisroute.D() && o.targetHasFlow(f) && o.targetSettled(f.target) {
		o.recordViolation(FlowStray, "%d packets of flow %s reach %s instead of %s", f.misroutes.packets, p.Flow, t.id, f.target.id)
		f.misroutes = misrouteCount{}
	}
}

// targetHasFlow reports whether the flow's target is up and has it.
func (o *oracle) targetHasFlow(f *flowState) bool {
	return f.target != nil && f.target.up && f.target.conns[f.key] != nil
}

// resetByVM checks a reset of an open flow by a VM.
func (o *oracle) resetByVM(v *vm, f *flowState) {
	if o.isBrokenByReset(f) && o.targetSettled(f.target) && o.vmSettled(v) {
		o.recordViolation(FlowReset, "%s reset flow %s, which %s has", v.name, f.key, f.target.id)
	}
}

// resetByOtherTarget checks a reset of an open flow by a target other than its own, to which a VM has
// forwarded a packet of the flow.
func (o *oracle) resetByOtherTarget(t *target, f *flowState) {
	if !o.isBrokenByReset(f) || !o.targetSettled(f.target) {
		return
	}
	if f.lastVM == nil || o.vmSettled(f.lastVM) {
		o.recordViolation(FlowReset, "%s reset flow %s, which %s has", t.id, f.key, f.target.id)
	}
}

// isBrokenByReset counts a reset of an open flow, unless its target does not have it, and reports
// whether the flow must not be reset. Flows that have exceeded their age or idle timeout, or whose
// route was removed, may be.
func (o *oracle) isBrokenByReset(f *flowState) bool {
	if !f.handshakeDone || !o.targetHasFlow(f) {
		return false
	}
	o.brokenFlows++
	now := o.now()
	expired := now-f.startedAt > o.site.Bounds.MaxFlowAge.D() || now-f.lastUsedAt > o.site.Bounds.IdleTimeout.D()
	return !expired && o.operator.exists(f.key.Address)
}

// flowTimedOut records that a caller abandons a flow because of a request timeout.
func (o *oracle) flowTimedOut(f *flowState) {
	if f.open && f.handshakeDone && o.targetHasFlow(f) && f.misroutes.packets > 0 {
		o.brokenFlows++
	}
}

// probeOpened checks a probe that opened a flow. Stale is violated if the route has not
// existed for Bounds.ApplyWithin.
func (o *oracle) probeOpened(f *flowState) {
	if o.changeBoundApplies(f) && !o.operator.mayExist(f.key.Address, f.startedAt) {
		o.recordViolation(Stale, "%s opened a flow to %s, whose route was removed", f.viaVM.name, f.key.Address)
	}
}

// probeRefused checks a probe that did not open a flow. Only a reset before the first
// retransmission counts as refused: without an answer, the target may be unreachable,
// and the caller can't distinguish this from a reset. Without a target that may get the flow, VMs have to
// refuse it.
func (o *oracle) probeRefused(f *flowState) {
	refusedAtOnce := o.now()-f.startedAt < firstSYNRetransmit && o.hasUsableTarget(f.key.Address)
	if refusedAtOnce && o.changeBoundApplies(f) && !o.operator.mayBeMissing(f.key.Address, f.startedAt) {
		o.recordViolation(Stale, "%s refused a flow to %s, whose route exists", f.viaVM.name, f.key.Address)
	}
}

// hasUsableTarget reports whether a service of the route of an address has a target that may get new
// flows: it does not leave, the store has its entry, and its failure domain is not evacuated.
func (o *oracle) hasUsableTarget(address flow.Endpoint) bool {
	return slices.ContainsFunc(o.fleet.targets.all, func(t *target) bool {
		e := o.operator.evacuations[o.site.Domains[t.node.domain]]
		evacuated := e != nil && e.accepted
		return !t.draining && !evacuated && o.fleet.store.has(t.id) && o.operator.allows(address, t.service.Name)
	})
}

// checkVersions checks at the end of a day that the last configuration is in force at all settled VMs.
func (o *oracle) checkVersions() {
	if !o.storeSettled() || o.now()-o.operator.writtenAt <= o.site.Bounds.ApplyWithin.D() {
		return
	}
	for _, v := range o.fleet.vms {
		if v.baseline == nil && v.isReady() && o.vmSettled(v) && v.appliedVersion != o.operator.config.Version {
			o.recordViolation(Stale, "%s ends with version %d, the last one is %d", v.name, v.appliedVersion, o.operator.config.Version)
		}
	}
}

// changeBoundApplies reports whether Bounds.ApplyWithin holds for the VM of a probe.
func (o *oracle) changeBoundApplies(f *flowState) bool {
	return o.vmSettled(f.viaVM) && o.storeSettled()
}
