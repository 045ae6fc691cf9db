package vm

import (
	"slices"

	"github.com/gypsumspan/gypsumspan/decide/flowtable"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// maxOverflowHops is the number of hops up to which an owner whose target exceeds its
// share forwards a new flow to the next rank. With more hops the owner accepts it.
const maxOverflowHops = 3

// serve handles a message at the active owner of its target.
func (v *VM) serve(t *target, f *message.Forward) {
	if m := t.movesByFlow[message.FlowOf(f.Inner)]; m != nil {
		m.buffer(f)
		return
	}
	if !t.reached && !opensNewFlow(f.Inner) {
		// The target's failure domain is partitioned from this VM. VMs on the other side
		// still serve the flow, so this side must not adopt it.
		v.replyBusy(f, message.CauseUnreachable, busyRetryDelay)
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

// opensNewFlow reports whether a message starts a flow, which may go to any target.
func opensNewFlow(body message.Body) bool {
	open, ok := body.(*message.Open)
	return ok && !open.Refresh
}

func (v *VM) serveOpen(t *target, f *message.Forward, m *message.Open) {
	if flow := t.flows.Get(m.Flow); flow != nil {
		t.flows.Touch(v.now, flow)
		v.sendBound(t, f, m.Flow)
		return
	}
	if m.Refresh {
		if v.adoptOrRedirect(t, f) != nil {
			v.sendBound(t, f, m.Flow)
		}
		return
	}
	if !v.acceptsFlow(t, f) {
		if !v.forwardToNextRanked(f, acceptsNewFlows) {
			v.replyBusy(f, message.CauseNoTarget, tableRetryDelay)
		}
		return
	}
	if t.flows.Open(v.now, t.service, m.Flow, true) == nil {
		v.replyFlowUnknown(f, message.CauseUnknownFlow)
		return
	}
	v.counters.FlowsOpened++
	v.trace.add(v, decision{action: actionOpen, flow: m.Flow, target: t.id})
	v.sendBound(t, f, m.Flow)
}

func (v *VM) sendBound(t *target, f *message.Forward, flow message.FlowID) {
	v.send(message.CallerAddress(f.Caller), &message.Bound{Flow: flow, Binding: t.binding()})
}

// acceptsFlow reports whether a target accepts a new flow now, by its state, health and
// share.
func (v *VM) acceptsFlow(t *target, f *message.Forward) bool {
	if t.row.State != table.Active || t.ejected || t.health.Draining(v.now) || !t.reached {
		return false
	}
	if f.Hops > maxOverflowHops || v.hasEmptyDomain() {
		return true
	}
	s := v.table.Service(t.service)
	if s != nil && !v.hasEnoughLoads(t, s) {
		// Without load reports a new owner can't compute the target's share. It accepts
		// the flows that rank this target first, and none that overflow from others.
		first, ok := v.firstRanked(s, message.FlowOf(f.Inner), acceptsNewFlows)
		return ok && first.target == t.id
	}
	return v.withinShare(t)
}

// hasEmptyDomain reports whether a failure domain with targets has no live VM. If its
// targets are unreachable, all new flows go to the others. These would seem to exceed
// their share, compared with the last reports of the unreachable targets, and would
// forward new flows to targets that can't be reached.
func (v *VM) hasEmptyDomain() bool {
	for domain, targets := range v.targetsByDomain {
		if len(targets) > 0 && !v.owners.DomainIsLive(domain) {
			return true
		}
	}
	return false
}

// adoptOrRedirect handles a message whose flow is not in the target's flow table. It returns
// the flow if the target adopts it, or nil after it has forwarded or answered the message.
func (v *VM) adoptOrRedirect(t *target, f *message.Forward) *flowtable.Flow {
	id := message.FlowOf(f.Inner)
	if moved, ok := t.moved[id]; ok {
		to := v.redirectTargetOf(t, f, moved)
		v.forwardToTarget(f, to, to != message.BindingOf(f.Inner).Target)
		return nil
	}
	if v.canAdopt(t, f) {
		if flow := t.flows.Open(v.now, t.service, id, false); flow != nil {
			v.counters.FlowsAdopted++
			t.inheritedFlows = max(0, t.inheritedFlows-1)
			v.trace.add(v, decision{action: actionAdopt, flow: id, target: t.id})
			return flow
		}
		v.replyFlowUnknown(f, message.CauseUnknownFlow)
		return nil
	}
	if f.Hinted && slices.Contains(t.lostEpochs, message.BindingOf(f.Inner).Epoch) {
		v.replyFlowUnknown(f, message.CauseTargetLost)
		return nil
	}
	if f.Hinted {
		v.restartSearch(f)
		return nil
	}
	if !v.forwardToNextRanked(f, acceptAny) {
		v.replyFlowNotFound(f)
	}
	return nil
}

// replyFlowNotFound answers a message after the search for its flow has ended. If no VM on
// the path had the row of the target in the binding, the flow may be in a move from a row
// that was removed before this VM got its table. The caller then retries.
func (v *VM) replyFlowNotFound(f *message.Forward) {
	if f.RowUnknown && v.tableIsSettling() {
		v.replyBusy(f, message.CauseUnknownTable, busyRetryDelay)
		return
	}
	v.replyFlowUnknown(f, message.CauseUnknownFlow)
}

// canAdopt reports whether the binding proves that an unknown flow belongs to the target.
// Its state was lost with an earlier owner, or the flow expired as idle.
func (v *VM) canAdopt(t *target, f *message.Forward) bool {
	b := message.BindingOf(f.Inner)
	if !f.Hinted || b.Target != t.id || b.Epoch == 0 {
		return false
	}
	return t.row.State != table.Leaving && !slices.Contains(t.lostEpochs, b.Epoch)
}

// restartSearch searches for a flow from the first rank of the other targets. f.Target was
// named by the binding, or by a target that the flow has left, but does not have the flow;
// usually it is leaving and may have moved it.
func (v *VM) restartSearch(f *message.Forward) {
	elsewhere := func(row *table.Target) bool { return row.ID != f.Target }
	first, ok := v.firstRanked(v.table.Service(message.ServiceOf(f.Inner)), message.FlowOf(f.Inner), elsewhere)
	if !ok {
		v.replyFlowNotFound(f)
		return
	}
	v.forwardToTarget(f, first.target, false)
}

// forwardToTarget forwards a message to the owner of another target of the service. With
// hinted set, that owner searches from the first rank if it does not have the flow: its
// target may have left too, and that target's new owner may not know where the flow
// moved.
func (v *VM) forwardToTarget(f *message.Forward, to message.TargetID, hinted bool) {
	if f.Hops >= message.MaxHops {
		v.replyBusy(f, message.CauseUnreachable, busyRetryDelay)
		return
	}
	v.retarget(f, to, hinted)
}

// maxRedirectHops is the number of hops after which a packet no longer follows the moves
// of its flow from target to target. The remaining hops are for the search.
const maxRedirectHops = message.MaxHops / 2

// redirectTargetOf returns the target at which to look for a flow that moved away: its
// destination or, after maxRedirectHops hops, the first of the ranking. Otherwise a flow
// that was idle while many targets were replaced would use up all hops.
func (v *VM) redirectTargetOf(t *target, f *message.Forward, moved movedFlow) message.TargetID {
	s := v.table.Service(t.service)
	if f.Hops < maxRedirectHops || s == nil {
		return moved.to
	}
	first, ok := v.moveDestination(t, s, message.FlowOf(f.Inner))
	if !ok {
		return moved.to
	}
	return first
}

func (v *VM) replyFlowUnknown(f *message.Forward, cause message.Cause) {
	v.counters.FlowsUnknown++
	v.replyRefusal(f, message.Refusal{Reason: message.FlowUnknown, Cause: cause})
}

func (v *VM) serveClose(t *target, m *message.Close) {
	closedBefore := t.flows.RecentlyClosed(m.Flow)
	if !t.flows.Close(v.now, m.Flow) {
		if !closedBefore && m.Binding.Target == t.id {
			// The flow of a crashed owner was closed before it was adopted.
			t.inheritedFlows = max(0, t.inheritedFlows-1)
		}
		return
	}
	v.counters.FlowsClosed++
	v.send(message.TargetAddress(t.id, t.row.Addr), &message.FlowEnd{Target: t.id, Flow: m.Flow})
}
