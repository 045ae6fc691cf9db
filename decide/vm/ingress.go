package vm

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/ownership"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Values of RetryAfter in refusals.
const (
	// busyRetryDelay is for a temporary condition, such as an unknown owner.
	busyRetryDelay = 200 * time.Millisecond
	// tableRetryDelay is for a service or kind that is missing in this VM's table, or a
	// service without a target for the flow.
	tableRetryDelay = time.Second
)

// maxRanked is the number of ranks that a packet can reach: the first, and one more with
// each hop.
const maxRanked = message.MaxHops + 1

// targetKind identifies one kind of requests to one target, which an ingress may refuse.
type targetKind struct {
	target message.TargetID
	kind   message.KindID
}

// handleCallerMessage routes a message that came from a caller; this VM is its ingress.
func (v *VM) handleCallerMessage(from message.Address, body message.Body) {
	v.route(&message.Forward{Ingress: v.config.Self.ID, Caller: from.Addr, Inner: body})
}

// handleForward handles a datagram that another VM forwarded.
func (v *VM) handleForward(f *message.Forward) {
	if v.table.Service(message.ServiceOf(f.Inner)) == nil {
		v.replyBusy(f, message.CauseUnknownTable, tableRetryDelay)
		return
	}
	v.serveOrForward(f)
}

// route chooses the target of a caller's message and delivers the message to its owner,
// unless that owner has closed the kind of the request.
func (v *VM) route(f *message.Forward) {
	s := v.table.Service(message.ServiceOf(f.Inner))
	if s == nil {
		v.replyBusy(f, message.CauseUnknownTable, tableRetryDelay)
		return
	}
	choice, ok := v.chooseTarget(s, f.Inner)
	if !ok {
		v.replyBusy(f, message.CauseNoTarget, tableRetryDelay)
		return
	}
	f.Target = choice.target
	f.Hinted = choice.hinted
	f.RowUnknown = f.Hops == 0 && !choice.hinted && !message.BindingOf(f.Inner).IsZero()
	if wait := v.remainingKindClosure(f); wait > 0 {
		v.replyBusy(f, message.CauseKindClosed, wait)
		return
	}
	v.deliver(f)
}

// choice is the result of a routing decision.
type choice struct {
	target message.TargetID
	domain message.DomainID
	hinted bool // target taken from the binding
}

// chooseTarget returns the target whose owner gets a message. It does not allocate.
func (v *VM) chooseTarget(s *table.Service, body message.Body) (choice, bool) {
	if b := message.BindingOf(body); !b.IsZero() {
		if row, ok := v.row(s.ID, b.Target); ok {
			return choice{target: row.ID, domain: row.DomainID, hinted: true}, true
		}
	}
	var ranks [maxRanked]rendezvous.Ranked
	if open, ok := body.(*message.Open); ok && !open.Refresh {
		return v.firstWithOwner(s, rankTargets(ranks[:], s, open.Flow, acceptsNewFlows))
	}
	return v.firstRanked(s, message.FlowOf(body), acceptAny)
}

// firstRanked returns the first target of a flow's ranking that accept reports true for.
func (v *VM) firstRanked(s *table.Service, flow message.FlowID, accept func(*table.Target) bool) (choice, bool) {
	var ranks [1]rendezvous.Ranked
	ranking := rankTargets(ranks[:], s, flow, accept)
	if len(ranking) == 0 {
		return choice{}, false
	}
	row := &s.Targets[ranking[0].Index]
	return choice{target: row.ID, domain: row.DomainID}, true
}

// firstWithOwner returns the first target of a ranking whose owner is known.
func (v *VM) firstWithOwner(s *table.Service, ranking []rendezvous.Ranked) (choice, bool) {
	for _, r := range ranking {
		row := &s.Targets[r.Index]
		if _, ok := v.ownerOf(row.ID, row.DomainID); ok {
			return choice{target: row.ID, domain: row.DomainID}, true
		}
	}
	return choice{}, false
}

// rankTargets returns the best targets of a service for a flow, among those that accept
// reports true for. The result uses the space of dst.
func rankTargets(dst []rendezvous.Ranked, s *table.Service, flow message.FlowID, accept func(*table.Target) bool) []rendezvous.Ranked {
	key := rendezvous.Mix(flow.Hi, flow.Lo)
	return rendezvous.Top(dst, key, len(s.Targets), func(i int) (uint64, uint32) {
		row := &s.Targets[i]
		if !accept(row) {
			return 0, 0
		}
		return uint64(row.ID), row.Weight
	})
}

// acceptsNewFlows reports whether the table allows new flows at a target.
func acceptsNewFlows(row *table.Target) bool {
	return row.State == table.Active
}

// acceptAny accepts every row: established flows may be at any target.
func acceptAny(*table.Target) bool {
	return true
}

// remainingKindClosure returns how much longer the owner of the target refuses requests of
// this kind. It is 0 or less if the owner accepts them.
func (v *VM) remainingKindClosure(f *message.Forward) time.Duration {
	r, ok := f.Inner.(*message.Request)
	if !ok {
		return 0
	}
	until, ok := v.closedKinds[targetKind{target: f.Target, kind: r.Kind}]
	if !ok {
		return 0
	}
	return until - v.now
}

// recordKindClosed records the back-pressure of an owner.
func (v *VM) recordKindClosed(m *message.KindClosed) {
	v.closedKinds[targetKind{target: m.Target, kind: m.Kind}] = v.now + m.ClosedFor
}

// deliver passes a message to the owner of its target, at this VM or another.
func (v *VM) deliver(f *message.Forward) {
	owner, ok := v.ownerOf(f.Target, v.domainOf(f))
	switch {
	case !ok:
		v.replyBusy(f, message.CauseUnreachable, busyRetryDelay)
	case owner == v.config.Self.ID:
		v.serveOrForward(f)
	default:
		v.forward(f, owner)
	}
}

// domainOf returns the failure domain of a message's target.
func (v *VM) domainOf(f *message.Forward) message.DomainID {
	row, _ := v.row(message.ServiceOf(f.Inner), f.Target)
	return row.DomainID
}

// forward sends a message to another VM, or serves it if to is this VM; either counts as
// one hop. The hop limit ends loops between VMs whose views differ.
func (v *VM) forward(f *message.Forward, to message.VMID) {
	if f.Hops >= message.MaxHops {
		v.replyBusy(f, message.CauseUnreachable, busyRetryDelay)
		return
	}
	next := *f
	next.Hops++
	if to == v.config.Self.ID {
		v.serveOrForward(&next)
		return
	}
	if !v.sendData(to, &next) {
		v.replyBusy(f, message.CauseUnreachable, busyRetryDelay)
		return
	}
	v.counters.Forwarded++
	v.trace.add(v, decision{action: actionForward, flow: message.FlowOf(f.Inner), target: f.Target, vm: to})
}

// serveOrForward serves a message if this VM owns its target, and forwards it otherwise.
func (v *VM) serveOrForward(f *message.Forward) {
	if f.RowUnknown {
		f = v.resolveBinding(f)
	}
	row, ok := v.row(message.ServiceOf(f.Inner), f.Target)
	if !ok {
		// The target left the table, or belongs to another service.
		v.reroute(f)
		return
	}
	t := v.targets[f.Target]
	owner, known := v.ownerOf(row.ID, row.DomainID)
	if t == nil {
		if h, ok := v.handedOver[f.Target]; ok {
			v.forward(f, h.to)
			return
		}
		if !known || owner != v.config.Self.ID {
			v.forwardToOwner(f, owner, known)
			return
		}
		t = v.addTarget(v.table.Service(message.ServiceOf(f.Inner)), row)
		v.tickOwnership(t)
	}
	switch t.machine.Phase() {
	case ownership.Active:
		v.serve(t, f)
	case ownership.Sending:
		v.forward(f, t.machine.Receiver())
	case ownership.Waiting:
		v.awaitHandover(t, f)
	default:
		v.forwardToOwner(f, owner, known)
	}
}

// resolveBinding sets the target of a message from its binding. It applies if the ingress
// did not have the row of that target, this VM has it, and the flow is not at the chosen
// target.
func (v *VM) resolveBinding(f *message.Forward) *message.Forward {
	b := message.BindingOf(f.Inner)
	if t := v.targets[f.Target]; t != nil && t.flows.Get(message.FlowOf(f.Inner)) != nil {
		return f
	}
	if _, ok := v.row(message.ServiceOf(f.Inner), b.Target); !ok {
		return f
	}
	next := *f
	next.Target = b.Target
	next.Hinted = true
	next.RowUnknown = false
	return &next
}

// reroute chooses another target for a message whose target left the table.
func (v *VM) reroute(f *message.Forward) {
	if f.Hinted && v.tableIsSettling() {
		// Another VM has the row, so this VM's table will get it too.
		v.replyBusy(f, message.CauseUnknownTable, busyRetryDelay)
		return
	}
	if f.Hops >= message.MaxHops {
		v.replyBusy(f, message.CauseUnreachable, busyRetryDelay)
		return
	}
	next := *f
	next.Hops++
	v.route(&next)
}

func (v *VM) forwardToOwner(f *message.Forward, owner message.VMID, known bool) {
	if !known || owner == v.config.Self.ID {
		v.replyBusy(f, message.CauseUnreachable, busyRetryDelay)
		return
	}
	v.forward(f, owner)
}

// awaitHandover buffers a message while this VM waits for a handover. If none of it has
// arrived yet, or the buffer is full, it forwards the message to the VM that presumably
// owned the target before.
func (v *VM) awaitHandover(t *target, f *message.Forward) {
	if t.incoming != nil && t.incoming.buffer(f) {
		return
	}
	if predecessor, ok := v.leavingPredecessor(t); ok {
		v.forward(f, predecessor)
		return
	}
	if previous, ok := v.owners.OwnerExcluding(t.id, t.row.DomainID, v.config.Self.ID); ok {
		v.forward(f, previous)
		return
	}
	v.replyBusy(f, message.CauseUnreachable, busyRetryDelay)
}

// forwardToNextRanked passes a message to the owner of the next target of its flow's
// ranking: in the search for an unknown flow, or for a new one that f.Target does not
// accept. It returns false at the end of the ranking or of the hops.
func (v *VM) forwardToNextRanked(f *message.Forward, accept func(*table.Target) bool) bool {
	s := v.table.Service(message.ServiceOf(f.Inner))
	if s == nil || f.Hops >= message.MaxHops {
		return false
	}
	var ranks [maxRanked]rendezvous.Ranked
	ranking := rankTargets(ranks[:], s, message.FlowOf(f.Inner), accept)
	for i, r := range ranking {
		if s.Targets[r.Index].ID != f.Target || i+1 == len(ranking) {
			continue
		}
		v.retarget(f, s.Targets[ranking[i+1].Index].ID, false)
		return true
	}
	return false
}

// retarget passes a message to the owner of another target of its service. This counts as
// one hop even if this VM is that owner.
func (v *VM) retarget(f *message.Forward, to message.TargetID, hinted bool) {
	next := *f
	next.Target = to
	next.Hinted = hinted
	if owner, ok := v.ownerOf(to, v.domainOf(&next)); ok && owner == v.config.Self.ID {
		next.Hops++
	}
	v.deliver(&next)
}

// replyBusy refuses this datagram of a message. The caller may retry the same attempt.
func (v *VM) replyBusy(f *message.Forward, cause message.Cause, retryAfter time.Duration) {
	v.replyRefusal(f, message.Refusal{Reason: message.Busy, Cause: cause, RetryAfter: retryAfter})
}

// replyRefusal sends a refusal of the Request or Open in f to its caller. Other messages
// get no reply.
func (v *VM) replyRefusal(f *message.Forward, r message.Refusal) {
	r.Flow = message.FlowOf(f.Inner)
	switch m := f.Inner.(type) {
	case *message.Request:
		r.ID = m.ID
		r.Attempt = m.Attempt
	case *message.Open:
	default:
		return
	}
	v.sendRefusal(f.Caller, &r, f.Target, v.kindCountersOf(message.ServiceOf(f.Inner), kindOf(f.Inner)))
}
