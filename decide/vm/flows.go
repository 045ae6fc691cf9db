package vm

import (
	"slices"

	"github.com/gypsumspan/gypsumspan/decide/flowtable"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// maxPasses is how often a new flow may be passed to the next rank because a
// target has more than its share. Then the owner accepts it.
const maxPasses = 3

// serve handles a message at the active owner of its target.
func (v *VM) serve(t *target, f *message.Forward) {
	if m := t.moving[message.FlowOf(f.Inner)]; m != nil {
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
	if f.Hops > maxPasses || v.hasEmptyDomain() {
		return true
	}
	s := v.table.Service(t.service)
	if s != nil && !v.knowsLoads(t, s) {
		// A new owner can't judge shares yet. It takes the flows that are placed
		// here, and none that other targets pass on.
		first, ok := v.firstRanked(s, message.FlowOf(f.Inner), takesNewFlows)
		return ok && first.target == t.id
	}
	return v.withinShare(t)
}

// hasEmptyDomain reports whether a failure domain with targets has no live VM. Its
// targets may be cut off, so that the others get all new flows. They would seem to
// be above their share, compared with the last reports of those targets, and would
// pass new flows on to targets that are not reached.
func (v *VM) hasEmptyDomain() bool {
	for domain, targets := range v.places {
		if len(targets) > 0 && !v.owners.DomainIsLive(domain) {
			return true
		}
	}
	return false
}

// findFlow returns the flow of a message whose flow is not in the target's
// table. If it returns nil, the message was passed on or answered.
func (v *VM) findFlow(t *target, f *message.Forward) *flowtable.Flow {
	id := message.FlowOf(f.Inner)
	if moved, ok := t.moved[id]; ok {
		to := v.placeOfMoved(t, f, moved)
		v.passToTarget(f, to, to != message.BindingOf(f.Inner).Target)
		return nil
	}
	if v.adoptable(t, f) {
		if flow := t.flows.Open(v.now, t.service, id, false); flow != nil {
			v.counters.FlowsAdopted++
			t.inherited = max(0, t.inherited-1)
			v.trace.add(v, decision{action: actionAdopt, flow: id, target: t.id})
			return flow
		}
		v.flowUnknown(f, message.CauseUnknownFlow)
		return nil
	}
	if f.Hinted && slices.Contains(t.lost, message.BindingOf(f.Inner).Epoch) {
		v.flowUnknown(f, message.CauseTargetLost)
		return nil
	}
	if f.Hinted {
		v.searchFromFirst(f)
		return nil
	}
	if !v.searchNext(f, isRanked) {
		v.notFound(f)
	}
	return nil
}

// notFound answers a message after the search for its flow has ended. If no VM on
// the way knew the target in its binding, the flow may still be on the move from
// a row that was removed before this VM got its table.
func (v *VM) notFound(f *message.Forward) {
	if f.RowUnknown && v.tableIsYoung() {
		v.busy(f, message.CauseUnknownTable, busyRetry)
		return
	}
	v.flowUnknown(f, message.CauseUnknownFlow)
}

// adoptable reports whether the binding proves that an unknown flow belongs to
// the target: an earlier owner's state is gone, or the flow was idle for long.
func (v *VM) adoptable(t *target, f *message.Forward) bool {
	b := message.BindingOf(f.Inner)
	if !f.Hinted || b.Target != t.id || b.Epoch == 0 {
		return false
	}
	return t.row.State != table.Leaving && !slices.Contains(t.lost, b.Epoch)
}

// searchFromFirst searches for a flow along the ranking of the other targets,
// because the target in its binding is leaving and may have handed it over.
func (v *VM) searchFromFirst(f *message.Forward) {
	elsewhere := func(row *table.Target) bool { return row.ID != f.Target }
	first, ok := v.firstRanked(v.table.Service(message.ServiceOf(f.Inner)), message.FlowOf(f.Inner), elsewhere)
	if !ok {
		v.notFound(f)
		return
	}
	v.passToTarget(f, first.target, false)
}

// passToTarget passes a message to the owner of another target of the service.
// If hinted is set and the flow is not there, the search starts at the first rank:
// the target may have left too, and its new owner not know where the flow went.
func (v *VM) passToTarget(f *message.Forward, to message.TargetID, hinted bool) {
	if f.Hops >= message.MaxHops {
		v.busy(f, message.CauseUnreachable, busyRetry)
		return
	}
	v.passAlong(f, to, hinted)
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
	first, ok := v.moveTarget(t, s, message.FlowOf(f.Inner))
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
	closedBefore := t.flows.RecentlyClosed(m.Flow)
	if !t.flows.Close(v.now, m.Flow) {
		if !closedBefore && m.Binding.Target == t.id {
			// A flow of a crashed owner ends before it was adopted.
			t.inherited = max(0, t.inherited-1)
		}
		return
	}
	v.counters.FlowsClosed++
	v.send(message.TargetAddress(t.id, t.row.Addr), &message.FlowEnd{Target: t.id, Flow: m.Flow})
}
