package vm

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/admission"
	"github.com/gypsumspan/gypsumspan/decide/flowtable"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/decide/requestlog"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// serveRequest handles one part of a request at the active owner of its target.
func (v *VM) serveRequest(t *target, f *message.Forward, m *message.Request) {
	flow := t.flows.Get(m.Flow)
	if flow == nil {
		if flow = v.adoptOrRedirect(t, f); flow == nil {
			return
		}
	}
	t.flows.Touch(v.now, flow)
	if !v.checkEpoch(t, f, flow, m) {
		return
	}
	switch t.log.Begin(v.now, m.Key(), m.Attempt, v.now+m.Deadline, m.Idempotent) {
	case requestlog.Fresh:
		v.admit(t, v.newPending(t, f, m), m)
	case requestlog.Pending:
		v.joinPending(t, f, m)
	case requestlog.Replay:
		v.replayAnswer(t, f.Caller, m.Key())
	case requestlog.RefusedBefore:
		cause := t.log.Cause(m.Key())
		v.replyRefusal(f, message.Refusal{Reason: message.NotRun, Cause: cause, Binding: t.binding()})
	case requestlog.Evicted:
		v.handleEvicted(t, f, m)
	}
}

// checkEpoch refuses requests whose epoch belongs to another request log or to none. It
// reports whether the target's log decides on the request.
func (v *VM) checkEpoch(t *target, f *message.Forward, flow *flowtable.Flow, m *message.Request) bool {
	switch epoch := m.Binding.Epoch; {
	case epoch == 0:
		// No owner dispatches a request without an epoch.
		v.replyRefusal(f, message.Refusal{Reason: message.NotRun, Cause: message.CauseNoEpoch, Binding: t.binding()})
		return false
	case t.acceptsEpoch(epoch) || flow.Accepts(epoch):
		return true
	default:
		v.replyRefusal(f, message.Refusal{Reason: message.MayHaveRun, Cause: message.CauseStaleEpoch, Binding: t.binding()})
		return false
	}
}

// handleEvicted answers a request that may have run and whose answer is not available
// here. A new attempt of an idempotent request runs again.
func (v *VM) handleEvicted(t *target, f *message.Forward, m *message.Request) {
	if t.log.PendingAtPreviousOwner(m.Key()) {
		// The previous owner forwards the answer when it arrives.
		return
	}
	if m.Idempotent && t.log.Restart(v.now, m.Key(), m.Attempt, v.now+m.Deadline) {
		v.admit(t, v.newPending(t, f, m), m)
		return
	}
	v.replyRefusal(f, message.Refusal{Reason: message.MayHaveRun, Cause: message.CauseLogEvicted, Binding: t.binding()})
}

func (v *VM) newPending(t *target, f *message.Forward, m *message.Request) *pending {
	p := &pending{
		key:          m.Key(),
		attempt:      m.Attempt,
		kind:         m.Kind,
		caller:       f.Caller,
		ingress:      f.Ingress,
		deadline:     v.now + m.Deadline,
		parts:        make([]*message.Request, m.Parts),
		missingParts: int(m.Parts),
	}
	t.pending[p.key] = p
	return p
}

// admit handles the first part of a new request or of a restarted attempt. It refuses a
// kind that is not in the table.
func (v *VM) admit(t *target, p *pending, m *message.Request) {
	s := v.table.Service(t.service)
	if s == nil || int(p.kind) >= len(s.Kinds) {
		v.refuse(t, p, message.CauseUnknownTable, tableRetryDelay)
		return
	}
	v.addRequestPart(t, p, m)
}

// joinPending handles a further part or a duplicate of a request that is not answered yet.
func (v *VM) joinPending(t *target, f *message.Forward, m *message.Request) {
	p := t.pending[m.Key()]
	if p == nil {
		// The entry was imported before all parts had arrived. The log still decides on
		// the dispatch.
		p = v.newPending(t, f, m)
	}
	p.caller = f.Caller
	if p.missingParts > 0 && p.attempt == m.Attempt && len(p.parts) == int(m.Parts) {
		v.addRequestPart(t, p, m)
	}
}

// addRequestPart stores a part and offers the request to the queue when it is complete. At
// a leaving target the request waits for the move of its flow instead.
func (v *VM) addRequestPart(t *target, p *pending, m *message.Request) {
	if p.parts[m.Part] != nil {
		return
	}
	p.parts[m.Part] = m
	p.missingParts--
	if p.missingParts == 0 && t.row.State != table.Leaving {
		v.offer(t, p)
	}
}

func (v *VM) offer(t *target, p *pending) {
	p.offeredAt = v.now
	verdict := t.queue.Offer(v.now, admission.Item{
		Key:      p.key,
		Attempt:  p.attempt,
		Kind:     p.kind,
		Caller:   callerHash(p.caller),
		Deadline: p.deadline,
	})
	if verdict.HasVictim {
		v.refuseKey(t, verdict.Victim.Key, message.CauseQueueFull, verdict.RetryAfter)
	}
	switch verdict.Outcome {
	case admission.Dispatch:
		v.dispatch(t, p)
	case admission.Refused:
		v.refuse(t, p, verdict.Cause, verdict.RetryAfter)
	}
}

// callerHash identifies a caller for fair queueing by its address and port.
func callerHash(addr netip.AddrPort) uint64 {
	b := addr.Addr().As16()
	h := uint64(addr.Port())
	for _, x := range b {
		h = rendezvous.Mix(h, uint64(x))
	}
	return h
}

// dispatch sends a request to the target, if the log still allows it.
func (v *VM) dispatch(t *target, p *pending) {
	if !t.log.Dispatch(v.now, p.key, p.attempt) {
		t.queue.Release(p.key)
		delete(t.pending, p.key)
		return
	}
	open := false
	if flow := t.flows.Get(p.key.Flow); flow != nil {
		open = flow.Fresh
		flow.Fresh = false
	}
	p.dispatched = true
	p.dispatchedAt = v.now
	v.inFlight[p.key] = t
	v.countDispatch(t, p)
	v.trace.add(v, decision{action: actionDispatch, flow: p.key.Flow, request: p.key.ID, target: t.id})
	for _, part := range p.parts {
		v.send(message.TargetAddress(t.id, t.row.Addr), &message.Dispatch{
			Service:  t.service,
			Target:   t.id,
			Flow:     part.Flow,
			ID:       part.ID,
			Attempt:  part.Attempt,
			Open:     open,
			Kind:     part.Kind,
			Deadline: p.deadline - v.now,
			Part:     part.Part,
			Parts:    part.Parts,
			Payload:  part.Payload,
		})
	}
	p.parts = nil
}

// dispatchQueued dispatches or refuses the requests that the queue releases.
func (v *VM) dispatchQueued(t *target) {
	for {
		item, verdict, ok := t.queue.Next(v.now)
		if !ok {
			return
		}
		p := t.pending[item.Key]
		if p == nil {
			t.queue.Release(item.Key)
			continue
		}
		if verdict.Outcome == admission.Dispatch {
			v.dispatch(t, p)
			continue
		}
		v.refuse(t, p, verdict.Cause, verdict.RetryAfter)
	}
}

func (v *VM) refuseKey(t *target, key message.RequestKey, cause message.Cause, retryAfter time.Duration) {
	if p := t.pending[key]; p != nil {
		v.refuse(t, p, cause, retryAfter)
	}
}

// refuse ends an unanswered request. The log decides whether it is certain that the
// request did not run.
func (v *VM) refuse(t *target, p *pending, cause message.Cause, retryAfter time.Duration) {
	reason := message.MayHaveRun
	if t.log.Refuse(v.now, p.key, p.attempt, cause) {
		reason = message.NotRun
	}
	delete(t.pending, p.key)
	delete(v.inFlight, p.key)
	v.sendRefusal(p.caller, &message.Refusal{
		Flow:       p.key.Flow,
		ID:         p.key.ID,
		Attempt:    p.attempt,
		Reason:     reason,
		Cause:      cause,
		RetryAfter: retryAfter,
		Binding:    t.binding(),
	}, t.id, v.kindCountersOf(t.service, p.kind))
	v.sendKindClosed(t, p)
}

// sendKindClosed notifies the ingress of a refused request that the owner refuses its
// kind for now.
func (v *VM) sendKindClosed(t *target, p *pending) {
	if p.ingress == 0 {
		// The request came with a handover; its ingress is unknown.
		return
	}
	wait := t.queue.ClosedFor(v.now, p.kind)
	if wait <= 0 {
		return
	}
	closed := &message.KindClosed{Service: t.service, Target: t.id, Kind: p.kind, ClosedFor: wait}
	if p.ingress == v.config.Self.ID {
		v.recordKindClosed(closed)
		return
	}
	v.sendData(p.ingress, closed)
}

// sendRefusal sends a refusal to a caller and counts it by kind.
func (v *VM) sendRefusal(caller netip.AddrPort, r *message.Refusal, target message.TargetID, counters *kindCounters) {
	counters.refused[r.Reason][r.Cause]++
	v.trace.add(v, decision{
		action: actionRefuse, flow: r.Flow, request: r.ID, target: target, reason: r.Reason, cause: r.Cause,
	})
	v.send(message.CallerAddress(caller), r)
}

// refuseUndispatched refuses all requests that were not dispatched. They are certain not
// to run, since no other owner accepts their epoch.
func (v *VM) refuseUndispatched(t *target) {
	t.queue.Drain(func(item admission.Item) {
		v.refuseKey(t, item.Key, message.CauseOwnerMoved, busyRetryDelay)
	})
	for _, p := range t.sortedPending() {
		if !p.dispatched {
			v.refuse(t, p, message.CauseOwnerMoved, busyRetryDelay)
		}
	}
}

// sortedPending returns the pending requests in an order that does not depend on the map,
// so that runs are reproducible.
func (t *target) sortedPending() []*pending {
	list := make([]*pending, 0, len(t.pending))
	for _, p := range t.pending {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *pending) int { return compareKeys(a.key, b.key) })
	return list
}

func compareKeys(a, b message.RequestKey) int {
	return cmp.Or(compareFlows(a.Flow, b.Flow), cmp.Compare(a.ID, b.ID))
}

func compareFlows(a, b message.FlowID) int {
	return cmp.Or(cmp.Compare(a.Hi, b.Hi), cmp.Compare(a.Lo, b.Lo))
}

// serveCancel cancels a request in the queue, or asks the target to cancel it.
func (v *VM) serveCancel(t *target, m *message.Cancel) {
	key := message.RequestKey{Flow: m.Flow, ID: m.ID}
	p := t.pending[key]
	if p == nil {
		return
	}
	if p.dispatched {
		p.cancelled = true
		v.send(message.TargetAddress(t.id, t.row.Addr), &message.TargetCancel{Target: t.id, Flow: m.Flow, ID: m.ID})
		return
	}
	t.queue.Cancel(key)
	v.refuse(t, p, message.CauseCancelled, 0)
}
