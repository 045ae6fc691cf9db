package vm

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/ownership"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Delays after which a caller tries again.
const (
	// busyRetry follows a passing obstacle, such as an owner that is not known.
	busyRetry = 200 * time.Millisecond
	// tableRetry follows a service that this VM's table does not have yet.
	tableRetry = time.Second
)

// maxRanked is the number of ranks that a packet can reach: the first and one
// for each hop.
const maxRanked = message.MaxHops + 1

// kindAt is one kind of work of one target, which an ingress may refuse.
type kindAt struct {
	target message.TargetID
	kind   message.KindID
}

// fromCaller routes a caller's message: this VM is its ingress.
func (v *VM) fromCaller(from message.Address, body message.Body) {
	v.route(&message.Forward{Ingress: v.config.Self.ID, Caller: from.Addr, Inner: body})
}

// forwarded handles a datagram that another VM passed on.
func (v *VM) forwarded(f *message.Forward) {
	if v.table.Service(message.ServiceOf(f.Inner)) == nil {
		v.busy(f, message.CauseUnknownTable, tableRetry)
		return
	}
	v.handle(f)
}

// route chooses the target of a caller's message and delivers it to its owner.
func (v *VM) route(f *message.Forward) {
	s := v.table.Service(message.ServiceOf(f.Inner))
	if s == nil {
		v.busy(f, message.CauseUnknownTable, tableRetry)
		return
	}
	choice, ok := v.choose(s, f.Inner)
	if !ok {
		v.busy(f, message.CauseNoTarget, tableRetry)
		return
	}
	f.Target = choice.target
	f.Hinted = choice.hinted
	f.RowUnknown = f.Hops == 0 && !choice.hinted && !message.BindingOf(f.Inner).IsZero()
	if wait := v.kindClosedFor(f); wait > 0 {
		v.busy(f, message.CauseKindClosed, wait)
		return
	}
	v.deliver(f)
}

// choice is the result of a routing decision.
type choice struct {
	target message.TargetID
	domain message.DomainID
	hinted bool // from the binding
}

// choose decides which target's owner gets a message. It allocates nothing.
func (v *VM) choose(s *table.Service, body message.Body) (choice, bool) {
	if b := message.BindingOf(body); !b.IsZero() {
		if row, ok := v.row(s.ID, b.Target); ok {
			return choice{target: row.ID, domain: row.DomainID, hinted: true}, true
		}
	}
	var ranks [maxRanked]rendezvous.Ranked
	if open, ok := body.(*message.Open); ok && !open.Refresh {
		return v.place(s, rank(ranks[:], s, open.Flow, takesNewFlows))
	}
	return v.firstRanked(s, message.FlowOf(body), isRanked)
}

// firstRanked returns the first target of a flow's ranking that use accepts.
func (v *VM) firstRanked(s *table.Service, flow message.FlowID, use func(*table.Target) bool) (choice, bool) {
	var ranks [1]rendezvous.Ranked
	ranking := rank(ranks[:], s, flow, use)
	if len(ranking) == 0 {
		return choice{}, false
	}
	row := &s.Targets[ranking[0].Index]
	return choice{target: row.ID, domain: row.DomainID}, true
}

// place chooses the target of a new flow: the first of the ranking whose owner is
// known.
func (v *VM) place(s *table.Service, ranking []rendezvous.Ranked) (choice, bool) {
	for _, r := range ranking {
		row := &s.Targets[r.Index]
		if _, ok := v.ownerOf(row.ID, row.DomainID); ok {
			return choice{target: row.ID, domain: row.DomainID}, true
		}
	}
	return choice{}, false
}

// rank returns the best targets of a service for a flow, among those that use accepts.
func rank(dst []rendezvous.Ranked, s *table.Service, flow message.FlowID, use func(*table.Target) bool) []rendezvous.Ranked {
	key := rendezvous.Mix(flow.Hi, flow.Lo)
	return rendezvous.Top(dst, key, len(s.Targets), func(i int) (uint64, uint32) {
		row := &s.Targets[i]
		if !use(row) {
			return 0, 0
		}
		return uint64(row.ID), row.Weight
	})
}

// takesNewFlows reports whether the table lets a target take new flows.
func takesNewFlows(row *table.Target) bool {
	return row.State == table.Active
}

// isRanked accepts every row: established flows may be at any of them.
func isRanked(*table.Target) bool {
	return true
}

// kindClosedFor returns for how long the owner wants no more requests of this kind.
func (v *VM) kindClosedFor(f *message.Forward) time.Duration {
	r, ok := f.Inner.(*message.Request)
	if !ok {
		return 0
	}
	until, ok := v.closedKinds[kindAt{target: f.Target, kind: r.Kind}]
	if !ok {
		return 0
	}
	return until - v.now
}

// closeKind notes an owner's back-pressure.
func (v *VM) closeKind(m *message.KindClosed) {
	v.closedKinds[kindAt{target: m.Target, kind: m.Kind}] = v.now + m.ClosedFor
}

// deliver brings a message to the owner of its target, here or at another VM.
func (v *VM) deliver(f *message.Forward) {
	owner, ok := v.ownerOf(f.Target, v.domainOf(f))
	switch {
	case !ok:
		v.busy(f, message.CauseUnreachable, busyRetry)
	case owner == v.config.Self.ID:
		v.handle(f)
	default:
		v.forward(f, owner)
	}
}

// domainOf returns the failure domain of a message's target.
func (v *VM) domainOf(f *message.Forward) message.DomainID {
	row, _ := v.row(message.ServiceOf(f.Inner), f.Target)
	return row.DomainID
}

// forward passes a message to another VM. The hop limit ends loops between VMs
// whose views differ.
func (v *VM) forward(f *message.Forward, to message.VMID) {
	if f.Hops >= message.MaxHops {
		v.busy(f, message.CauseUnreachable, busyRetry)
		return
	}
	next := *f
	next.Hops++
	if to == v.config.Self.ID {
		v.handle(&next)
		return
	}
	if !v.sendData(to, &next) {
		v.busy(f, message.CauseUnreachable, busyRetry)
		return
	}
	v.counters.Forwarded++
	v.trace.add(v, decision{action: actionForward, flow: message.FlowOf(f.Inner), target: f.Target, vm: to})
}

// handle serves a message if this VM owns its target, or passes it on.
func (v *VM) handle(f *message.Forward) {
	if f.RowUnknown {
		f = v.resolve(f)
	}
	row, ok := v.row(message.ServiceOf(f.Inner), f.Target)
	if !ok {
		// The target is gone, or belongs to another service: choose anew.
		v.reroute(f)
		return
	}
	t := v.targets[f.Target]
	owner, known := v.ownerOf(row.ID, row.DomainID)
	if t == nil {
		if h, ok := v.handed[f.Target]; ok {
			v.forward(f, h.to)
			return
		}
		if !known || owner != v.config.Self.ID {
			v.passToOwner(f, owner, known)
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
		v.passBack(t, f)
	default:
		v.passToOwner(f, owner, known)
	}
}

// resolve follows the binding of a message whose ingress did not know the
// target's row, if this VM knows it and the flow is not here.
func (v *VM) resolve(f *message.Forward) *message.Forward {
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

// reroute chooses the target of a message again, after its target has left the table.
func (v *VM) reroute(f *message.Forward) {
	if f.Hinted && v.tableIsYoung() {
		// Another VM knows the row, so that this one will learn of it.
		v.busy(f, message.CauseUnknownTable, busyRetry)
		return
	}
	if f.Hops >= message.MaxHops {
		v.busy(f, message.CauseUnreachable, busyRetry)
		return
	}
	next := *f
	next.Hops++
	v.route(&next)
}

func (v *VM) passToOwner(f *message.Forward, owner message.VMID, known bool) {
	if !known || owner == v.config.Self.ID {
		v.busy(f, message.CauseUnreachable, busyRetry)
		return
	}
	v.forward(f, owner)
}

// passBack passes a message to the VM that presumably owned the target before,
// while this VM waits for its handover.
func (v *VM) passBack(t *target, f *message.Forward) {
	if t.incoming != nil && t.incoming.keep(f) {
		return
	}
	if earlier, ok := v.earlierLeaving(t); ok {
		v.forward(f, earlier)
		return
	}
	if previous, ok := v.owners.OwnerExcluding(t.id, t.row.DomainID, v.config.Self.ID); ok {
		v.forward(f, previous)
		return
	}
	v.busy(f, message.CauseUnreachable, busyRetry)
}

// searchNext passes a message of an unknown flow to the owner of the next target
// of the ranking. It returns false at the end of the ranking.
func (v *VM) searchNext(f *message.Forward, use func(*table.Target) bool) bool {
	s := v.table.Service(message.ServiceOf(f.Inner))
	if s == nil || f.Hops >= message.MaxHops {
		return false
	}
	var ranks [maxRanked]rendezvous.Ranked
	ranking := rank(ranks[:], s, message.FlowOf(f.Inner), use)
	for i, r := range ranking {
		if s.Targets[r.Index].ID != f.Target || i+1 == len(ranking) {
			continue
		}
		v.passAlong(f, s.Targets[ranking[i+1].Index].ID, false)
		return true
	}
	return false
}

// passAlong brings a message to the owner of another target of its service. It counts
// as one hop, whether or not this VM is that owner.
func (v *VM) passAlong(f *message.Forward, to message.TargetID, hinted bool) {
	next := *f
	next.Target = to
	next.Hinted = hinted
	if owner, ok := v.ownerOf(to, v.domainOf(&next)); ok && owner == v.config.Self.ID {
		next.Hops++
	}
	v.deliver(&next)
}

// busy answers that this copy of a message was dropped. It is not final.
func (v *VM) busy(f *message.Forward, cause message.Cause, retryAfter time.Duration) {
	v.reply(f, message.Refusal{Reason: message.Busy, Cause: cause, RetryAfter: retryAfter})
}

// reply sends a refusal of the message in f to its caller.
func (v *VM) reply(f *message.Forward, r message.Refusal) {
	r.Flow = message.FlowOf(f.Inner)
	switch m := f.Inner.(type) {
	case *message.Request:
		r.ID = m.ID
		r.Attempt = m.Attempt
	case *message.Open:
	default:
		return
	}
	v.refusal(f.Caller, &r, f.Target, v.workOf(message.ServiceOf(f.Inner), kindOf(f.Inner)))
}
