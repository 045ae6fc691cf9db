package vm

import (
	"math"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flowtable"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// maxPasses is how often a new flow may be passed to the next rank because a
// target has more than its share. Then the owner accepts it.
const maxPasses = 3

// serve handles a message at the active owner of its target.
func (v *VM) serve(t *target, f *message.Forward) {
	if m := t.moving[flowOf(f.Inner)]; m != nil {
		m.keep(f)
		return
	}
	if !t.reached && !isNewOpen(f.Inner) {
		// The target's failure domain is cut off. VMs on its side go on serving the
		// flow, so this side must not adopt it.
		v.busy(f, message.CauseUnreachable, busyRetry)
		return
	}
	switch m := f.Inner.(type) {
	case *message.Open:
		v.serveOpen(t, f, m)
	case *message.Request:
		v.serveRequest(t, f, m)
	case *message.Cancel:
		v.serveCancel(t, m)
	case *message.Close:
		v.serveClose(t, m)
	}
}

// isNewOpen reports whether a message starts a flow, which may go to any target.
func isNewOpen(body message.Body) bool {
	open, ok := body.(*message.Open)
	return ok && !open.Refresh
}

func (v *VM) serveOpen(t *target, f *message.Forward, m *message.Open) {
	if flow := t.flows.Get(m.Flow); flow != nil {
		t.flows.Touch(v.now, flow)
		v.bound(t, f, m.Flow)
		return
	}
	if m.Refresh {
		if v.findFlow(t, f) != nil {
			v.bound(t, f, m.Flow)
		}
		return
	}
	if !v.takesFlow(t, f) {
		if !v.searchNext(f, takesNewFlows) {
			v.busy(f, message.CauseNoTarget, tableRetry)
		}
		return
	}
	if t.flows.Open(v.now, t.service, m.Flow, true) == nil {
		v.flowUnknown(f, message.CauseUnknownFlow)
		return
	}
	v.counters.FlowsOpened++
	v.trace.add(v, decision{action: actionOpen, flow: m.Flow, target: t.id})
	v.bound(t, f, m.Flow)
}

func (v *VM) bound(t *target, f *message.Forward, flow message.FlowID) {
	v.send(message.CallerAddress(f.Caller), &message.Bound{Flow: flow, Binding: t.binding()})
}

// takesFlow reports whether a target takes a new flow now.
func (v *VM) takesFlow(t *target, f *message.Forward) bool {
	if t.row.State != table.Active || t.ejected || t.health.Draining(v.now) || !t.reached {
		return false
	}
	if f.Hops > maxPasses {
		return true
	}
	return v.withinShare(t)
}

// findFlow returns the flow of a message whose flow is not in the target's
// table. If it returns nil, the message was passed on or answered.
func (v *VM) findFlow(t *target, f *message.Forward) *flowtable.Flow {
	id := flowOf(f.Inner)
	if moved, ok := t.moved[id]; ok {
		v.passToTarget(f, v.placeOfMoved(t, f, moved))
		return nil
	}
	if v.adoptable(t, f) {
		if flow := t.flows.Open(v.now, t.service, id, false); flow != nil {
			v.counters.FlowsAdopted++
			v.trace.add(v, decision{action: actionAdopt, flow: id, target: t.id})
			return flow
		}
		v.flowUnknown(f, message.CauseUnknownFlow)
		return nil
	}
	if f.Hinted && slices.Contains(t.lost, bindingOf(f.Inner).Epoch) {
		v.flowUnknown(f, message.CauseTargetLost)
		return nil
	}
	if f.Hinted {
		v.searchFromFirst(f)
		return nil
	}
	if !v.searchNext(f, isRanked) {
		v.flowUnknown(f, message.CauseUnknownFlow)
	}
	return nil
}

// adoptable reports whether the binding proves that an unknown flow belongs to
// the target: an earlier owner's state is gone, or the flow was idle for long.
func (v *VM) adoptable(t *target, f *message.Forward) bool {
	b := bindingOf(f.Inner)
	if !f.Hinted || b.Target != t.id || b.Epoch == 0 {
		return false
	}
	return t.row.State != table.Leaving && !slices.Contains(t.lost, b.Epoch)
}

// searchFromFirst searches for a flow along the ranking of the other targets,
// because the target in its binding is leaving and may have handed it over.
func (v *VM) searchFromFirst(f *message.Forward) {
	elsewhere := func(row *table.Target) bool { return row.ID != f.Target }
	first, ok := v.firstRanked(v.table.Service(serviceOf(f.Inner)), flowOf(f.Inner), elsewhere)
	if !ok {
		v.flowUnknown(f, message.CauseUnknownFlow)
		return
	}
	v.passToTarget(f, first.target)
}

// passToTarget passes a message to the owner of another target of the service.
func (v *VM) passToTarget(f *message.Forward, to message.TargetID) {
	if f.Hops >= message.MaxHops {
		v.busy(f, message.CauseUnreachable, busyRetry)
		return
	}
	v.passAlong(f, to)
}

// maxMoves is the number of hops after which a packet no longer follows a flow
// from one earlier target to the next. The other hops are left for the search.
const maxMoves = message.MaxHops / 2

// placeOfMoved returns where to look for a flow that has left a target: at the
// target it went to or, after several of them, at the first of the ranking. A
// flow that was idle while many targets were replaced would else use up all hops.
func (v *VM) placeOfMoved(t *target, f *message.Forward, moved movedFlow) message.TargetID {
	s := v.table.Service(t.service)
	if f.Hops < maxMoves || s == nil {
		return moved.to
	}
	first, ok := v.moveTarget(t, s, flowOf(f.Inner))
	if !ok {
		return moved.to
	}
	return first
}

func (v *VM) flowUnknown(f *message.Forward, cause message.Cause) {
	v.counters.FlowsUnknown++
	v.reply(f, message.Refusal{Reason: message.FlowUnknown, Cause: cause})
}

func (v *VM) serveClose(t *target, m *message.Close) {
	if !t.flows.Close(v.now, m.Flow) {
		return
	}
	v.counters.FlowsClosed++
	v.send(message.TargetAddress(t.id, t.row.Addr), &message.FlowEnd{Target: t.id, Flow: m.Flow})
}

// load is what another owner said about its target.
type load struct {
	flows   uint32
	weight  uint32
	ejected bool
	at      time.Duration
	growth  float64 // flows per second between the last two reports; negative when flows end
}

// expected returns the number of flows at now, if they go on to rise as between
// the last two reports, and by what began after them.
func (l *load) expected(now time.Duration, r rise) float64 {
	age := now - l.at
	flows := float64(l.flows) + l.growth*age.Seconds()
	if r.since > 0 {
		flows += r.flows * float64(l.weight) * min(maxRise, float64(age)/float64(r.since))
	}
	return flows
}

// rise is what a target has gained since its own last report, in flows per weight.
// Other targets can't have reported such a gain yet.
type rise struct {
	flows float64
	since time.Duration
}

// maxRise bounds the part of a rise that is added to a report older than the
// own one, since a rise over a short time is mostly chance.
const maxRise = 2

const (
	// reportInterval is the time between two load reports of a target.
	reportInterval = time.Second
	// reportReceivers bounds the owners that get one report, so that the cost
	// does not grow with the square of a large service. They change every time.
	reportReceivers = 16
	// loadRetention is how long a report counts.
	loadRetention = 20 * time.Second
	// shareExcess is the part of its share by which a target may exceed it before
	// new flows are passed on. It leaves room to the bound of 5%.
	shareExcess = 0.03
	// shareSlack is the number of flows that a target may have beyond its share
	// in any case, so that few flows don't travel along the ranking.
	shareSlack = 4
)

// withinShare reports whether a target may take one more flow by its weight,
// compared with the service's other targets (bounded loads: Mirrokni, Thorup,
// Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018).
func (v *VM) withinShare(t *target) bool {
	flows, weight := v.expectedLoad(t)
	if weight == 0 {
		return true
	}
	share := (flows + 1) * float64(t.row.Weight) / float64(weight)
	bound := (share*(1+shareExcess) + shareSlack) * v.coldShare(t)
	return float64(t.flows.Len()) < bound
}

// expectedLoad returns the flows and weights of a service's targets now, with the
// target's own. Reports are up to a second old: compared with them as they are, a
// target that gets its share of a fast rise would seem to be above it.
func (v *VM) expectedLoad(t *target) (flows float64, weight uint64) {
	if v.declines(t.service) {
		reported, weight := v.serviceLoad(t)
		return float64(reported), weight
	}
	r := v.riseOf(t)
	flows = float64(t.flows.Len())
	weight = uint64(t.row.Weight)
	for id, l := range v.loads[t.service] {
		if id == t.id || l.ejected || v.now-l.at > loadRetention {
			continue
		}
		flows += l.expected(v.now, r)
		weight += uint64(l.weight)
	}
	return flows, weight
}

// riseOf returns the rise at a target. It is 0 unless the service was at rest:
// while flows move between targets, the gain of one says nothing of the others.
func (v *VM) riseOf(t *target) rise {
	own, ok := v.loads[t.service][t.id]
	if !ok || v.now <= own.at || t.row.Weight == 0 || !v.wasAtRest(t.service) {
		return rise{}
	}
	gained := float64(t.flows.Len()) - float64(own.flows)
	return rise{flows: max(0, gained) / float64(t.row.Weight), since: v.now - own.at}
}

// declines reports whether a target of a service had fewer flows at its last
// report than before. Flows then move between targets, or end, and what a target
// gained in the last second does not go on: such targets overshoot if it is
// carried forward.
func (v *VM) declines(service message.ServiceID) bool {
	for _, l := range v.loads[service] {
		fall := -l.growth * reportInterval.Seconds()
		if v.now-l.at <= loadRetention && fall > shareSlack {
			return true
		}
	}
	return false
}

// wasAtRest reports whether the flows of all targets of a service changed little
// between their last two reports.
func (v *VM) wasAtRest(service message.ServiceID) bool {
	var flows, change float64
	for _, l := range v.loads[service] {
		if v.now-l.at > loadRetention {
			continue
		}
		flows += float64(l.flows)
		change += math.Abs(l.growth) * reportInterval.Seconds()
	}
	return change <= shareExcess*flows+shareSlack
}

// serviceLoad returns the flows and weights of a service's targets as far as
// they are known, with the target's own.
func (v *VM) serviceLoad(t *target) (flows, weight uint64) {
	flows = uint64(t.flows.Len())
	weight = uint64(t.row.Weight)
	for id, l := range v.loads[t.service] {
		if id == t.id || l.ejected || v.now-l.at > loadRetention {
			continue
		}
		flows += uint64(l.flows)
		weight += uint64(l.weight)
	}
	return flows, weight
}

// coldShare is the part of its share that a target takes during slow start.
func (v *VM) coldShare(t *target) float64 {
	return t.health.Share(v.now)
}

// sendLoadReports tells the other owners of each service about owned targets.
func (v *VM) sendLoadReports() {
	if v.now < v.reports {
		return
	}
	v.reports = v.now + reportInterval
	for _, t := range v.order {
		if len(t.epochs) == 0 || t.row.State == table.Leaving {
			continue
		}
		v.reportLoad(t)
	}
}

func (v *VM) reportLoad(t *target) {
	s := v.table.Service(t.service)
	if s == nil {
		return
	}
	report := &message.LoadReport{
		Service: t.service,
		Target:  t.id,
		Flows:   uint32(t.flows.Len()),
		Weight:  t.row.Weight,
		Ejected: t.ejected,
	}
	v.loadReport(report)
	var receivers []message.VMID
	start := v.rng.IntN(len(s.Targets))
	for i := range s.Targets {
		row := &s.Targets[(start+i)%len(s.Targets)]
		owner, ok := v.ownerOf(row.ID, row.DomainID)
		if !ok || owner == v.config.Self.ID || slices.Contains(receivers, owner) {
			continue
		}
		receivers = append(receivers, owner)
		v.sendControl(owner, report)
		if len(receivers) == reportReceivers {
			return
		}
	}
}

func (v *VM) loadReport(m *message.LoadReport) {
	if _, ok := v.row(m.Service, m.Target); !ok {
		return
	}
	loads := v.loads[m.Service]
	if loads == nil {
		loads = make(map[message.TargetID]load)
		v.loads[m.Service] = loads
	}
	next := load{flows: m.Flows, weight: m.Weight, ejected: m.Ejected, at: v.now}
	if last, ok := loads[m.Target]; ok && v.now > last.at {
		gained := float64(m.Flows) - float64(last.flows)
		next.growth = gained / (v.now - last.at).Seconds()
	}
	loads[m.Target] = next
}
