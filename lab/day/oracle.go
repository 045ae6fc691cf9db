package day

import (
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
)

const (
	oracleName = "oracle"
	// maxBreaks is the number of broken promises that are described.
	maxBreaks = 20
	// strayPackets is the number of packets of a flow at other targets, with none at
	// its own for Bounds.Misroute, that break a promise.
	strayPackets = 3
)

// disturbance says until when something was in trouble.
type disturbance struct {
	present int
	last    time.Duration
	ever    bool
}

// begin notes the start of a trouble.
func (d *disturbance) begin() { d.present++; d.ever = true }

// end notes the end of a trouble at now.
func (d *disturbance) end(now time.Duration) { d.present--; d.last = now }

// calm reports whether there was no trouble from window before now on.
func (d *disturbance) calm(now, window time.Duration) bool {
	return d.present == 0 && (!d.ever || now-d.last >= window)
}

// strays counts the packets of a flow at other targets than its own.
type strays struct {
	since time.Duration
	n     int
}

// Promise names a promise of the system.
type Promise string

// The promises.
const (
	FlowReset  Promise = "flow_reset"    // an open flow is never reset while its target lives
	FlowStray  Promise = "flow_stray"    // packets of an open flow reach its target
	Foreign    Promise = "foreign"       // no flow is opened at a target of another service
	RanTwice   Promise = "ran_twice"     // a request that may run once does not run twice
	FalseNoRun Promise = "false_not_run" // what callers take as not run has not run
	Drained    Promise = "drained"       // a leaving target gets no new flow after the bound
	Stale      Promise = "stale"         // a change is in force at every VM after the bound
	Fault      Promise = "fault"         // nothing in a VM fails
)

// Violation is one broken promise.
type Violation struct {
	At      time.Duration `json:"at_ns"`
	Promise Promise       `json:"promise"`
	Text    string        `json:"text"`
}

// oracle is the service "oracle": it sees everything, and checks the promises.
type oracle struct {
	part
	site     *Site
	timeline *timeline
	fleet    *fleet
	operator *operator
	tally    *tally

	storeTrouble disturbance
	domainCuts   []disturbance
	breaks       []Violation
	broken       int
	events       map[string]int // of VMs' logs, by number
	trace        func(now time.Duration, vm string, e *events.Event, fields []events.Field)

	// brokenFlows counts open flows that ended though their target lived and kept
	// them, whatever the trouble.
	brokenFlows int
}

func newOracle(site *Site, t *tally) *oracle {
	return &oracle{
		part:       part{oracleName},
		site:       site,
		tally:      t,
		domainCuts: make([]disturbance, len(site.Domains)),
		events:     make(map[string]int),
	}
}

// Connect implements kernel.Service.
func (o *oracle) Connect(k *kernel.Kernel) error {
	return connect(k, &o.timeline, &o.fleet, &o.operator)
}

func (o *oracle) now() time.Duration { return o.timeline.now() }

func (o *oracle) note(p Promise, format string, values ...any) {
	o.broken++
	if len(o.breaks) < maxBreaks {
		o.breaks = append(o.breaks, Violation{At: o.now(), Promise: p, Text: fmt.Sprintf(format, values...)})
	}
}

// fault notes that something failed inside a VM.
func (o *oracle) fault(format string, values ...any) { o.note(Fault, format, values...) }

// calmVM reports whether bounds hold for a VM now.
func (o *oracle) calmVM(v *vm) bool {
	window := o.site.Bounds.SettleTime.D()
	return v.trouble.calm(o.now(), window) && o.domainCuts[v.end.domain].calm(o.now(), window)
}

// calmTarget reports whether a target and its paths are without trouble.
func (o *oracle) calmTarget(t *target) bool {
	window := o.site.Bounds.SettleTime.D()
	return t.trouble.calm(o.now(), window) && o.domainCuts[t.end.domain].calm(o.now(), window)
}

// calmStore reports whether the store was without trouble for long enough.
func (o *oracle) calmStore() bool {
	return o.storeTrouble.calm(o.now(), o.site.Bounds.SettleTime.D())
}

// asked notes a request.
func (o *oracle) asked(r *request) { o.tally.asked(r) }

// ended notes the end of a request.
func (o *oracle) ended(r *request, answered bool) { o.tally.ended(o.now(), r, answered) }

// executed notes that a target began to work on a request.
func (o *oracle) executed(t *target, r *request) {
	r.ran++
	if r.ran > 1 && r.kind.kind() == catalog.NonIdempotent {
		o.note(RanTwice, "request of %s ran again, at %s", r.kind.Name, t.id)
	}
}

// notRun notes that a caller takes a request as not run.
func (o *oracle) notRun(r *request) {
	if r.ran > 0 && !r.mayRun {
		o.note(FalseNoRun, "request of %s has run, its caller was told otherwise", r.kind.Name)
	}
}

// opened checks the first packet of a flow at a target.
func (o *oracle) opened(t *target, p flow.Packet, from sender) {
	if !o.operator.allows(p.Flow.Address, t.service.Name) {
		o.note(Foreign, "flow %s was opened at %s of service %s", p.Flow, t.id, t.service.Name)
	}
	if t.draining && t.leavingSince > 0 && o.now()-t.leavingSince > o.site.Bounds.DrainWithin.D() && o.calmVM(from.vm) && o.calmStore() {
		o.note(Drained, "%s sent flow %s to %s, which leaves since %s", from.vm.name, p.Flow, t.id, t.leavingSince)
	}
}

// handshake notes that a target knows that a flow is open.
func (o *oracle) handshake(t *target, k flow.Key) {
	if f := o.fleet.callers.flows[k]; f != nil && f.target == t {
		f.handshake = true
	}
}

// packetAt notes a packet at a target.
func (o *oracle) packetAt(t *target, p flow.Packet) {
	f := o.fleet.callers.flows[p.Flow]
	if f == nil || !f.open || !f.handshake || p.Flags.Has(flow.SYN) {
		return
	}
	if f.target == t {
		f.strays = strays{}
		return
	}
	if f.strays.n == 0 {
		f.strays.since = o.now()
	}
	f.strays.n++
	if f.strays.n >= strayPackets && o.now()-f.strays.since >= o.site.Bounds.MaxMisroute.D() && o.holds(f) && o.calmTarget(f.target) {
		o.note(FlowStray, "%d packets of flow %s reach %s instead of %s", f.strays.n, p.Flow, t.id, f.target.id)
		f.strays = strays{}
	}
}

// holds reports whether the flow's target lives and has it.
func (o *oracle) holds(f *flowState) bool {
	return f.target != nil && f.target.up && f.target.conns[f.key] != nil
}

// resetByVM checks a reset of an open flow by a VM.
func (o *oracle) resetByVM(v *vm, f *flowState) {
	if !f.handshake || !o.holds(f) {
		return
	}
	o.brokenFlows++
	now := o.now()
	aged := now-f.startedAt > o.site.Bounds.MaxFlowAge.D() || now-f.usedAt > o.site.Bounds.IdleTimeout.D()
	if aged || !o.operator.exists(f.key.Address) {
		return
	}
	if o.calmTarget(f.target) && o.calmVM(v) {
		o.note(FlowReset, "%s reset flow %s, which %s has", v.name, f.key, f.target.id)
	}
}

// strayReset notes a reset by a target that does not have the flow.
func (o *oracle) strayReset(f *flowState) {
	if f.handshake && o.holds(f) {
		o.brokenFlows++
	}
}

// timedOut notes a flow that its caller gives up since a request had no answer.
func (o *oracle) timedOut(f *flowState) {
	if f.open && f.handshake && o.holds(f) && f.strays.n > 0 {
		o.brokenFlows++
	}
}

// probeOpened checks a flow that was opened only to see which configuration is in
// force.
func (o *oracle) probeOpened(f *flowState) {
	if o.judges(f) && !o.operator.couldExist(f.key.Address, f.startedAt) {
		o.note(Stale, "%s opened a flow to %s, whose route was removed", f.direct.name, f.key.Address)
	}
}

// probeRefused checks a probe that did not open a flow. Silence says nothing, since
// a target may be out of reach; callers can't tell it from a reset here.
func (o *oracle) probeRefused(f *flowState) {
	refusedAtOnce := o.now()-f.startedAt < firstCopy
	if refusedAtOnce && o.judges(f) && !o.operator.couldBeMissing(f.key.Address, f.startedAt) {
		o.note(Stale, "%s refused a flow to %s, whose route exists", f.direct.name, f.key.Address)
	}
}

// judges reports whether the bound of changes holds for the VM of a probe.
func (o *oracle) judges(f *flowState) bool { return o.calmVM(f.direct) && o.calmStore() }
