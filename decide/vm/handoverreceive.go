package vm

import (
	"slices"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/notice"
	"github.com/gypsumspan/gypsumspan/decide/ownership"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// handleHandover collects the chunks of a handover and merges them when all have arrived.
// Flows that move from another target (Source is set) arrive in one message.
func (v *VM) handleHandover(from message.Address, m *message.Handover) {
	t := v.receivingTarget(m)
	if t == nil {
		v.sendHandoverAck(from.VM, m, false)
		return
	}
	if t.machine.Phase() == ownership.Sending && !v.resolveCrossingHandovers(t, from.VM, m) {
		// The sender retries, with this VM or with the next owner.
		return
	}
	if t.lastTransfer == m.Transfer {
		// The sender did not get the confirmation.
		v.sendHandoverAck(from.VM, m, true)
		return
	}
	if m.Source != 0 {
		v.receiveFlows(t, from.VM, m)
		return
	}
	if t.incoming == nil || t.incoming.transfer != m.Transfer {
		t.incoming = &incoming{
			from:     from.VM,
			transfer: m.Transfer,
			chunks:   make(map[uint32]*message.Handover),
			buffered: t.bufferedMessages(),
		}
	}
	in := t.incoming
	in.chunks[m.Chunk] = m
	if m.Last {
		in.count = int(m.Chunk) + 1
	}
	if in.count == 0 || len(in.chunks) < in.count {
		return
	}
	v.mergeHandover(t, in)
	v.sendHandoverAck(from.VM, m, true)
	v.addTargetNotice(notice.HandoverReceived, t, from.VM, t.flows.Len())
	v.trace.add(v, decision{action: actionActivate, target: t.id, vm: from.VM})
	v.serveBuffered(t)
	v.dispatchQueued(t)
}

// resolveCrossingHandovers ends this VM's own handover if its receiver sends the target
// back before confirming it. It reports whether the other handover may be merged.
func (v *VM) resolveCrossingHandovers(t *target, from message.VMID, m *message.Handover) bool {
	if from != t.machine.Receiver() || m.Source != 0 {
		return false
	}
	if slices.Contains(m.Epochs, t.epochs[0]) {
		// Only a VM that has merged this VM's transfer has its epoch. Requests that waited
		// here come back in the other handover.
		v.dropUndispatched(t)
		t.outgoing = nil
		t.machine.Confirmed(v.now)
		return true
	}
	if v.config.Self.ID > from {
		return false
	}
	// Both VMs send at the same time. The one with the lower id replaces its epochs,
	// because a duplicate of its transfer may still be merged, and merges the other's state.
	v.revoke(t)
	t.machine.Confirmed(v.now)
	return true
}

// dropUndispatched removes the requests that were not dispatched.
func (v *VM) dropUndispatched(t *target) {
	for key, p := range t.pending {
		if !p.dispatched {
			delete(t.pending, key)
		}
	}
}

// bufferedMessages returns the messages buffered during the current or an earlier attempt
// of the handover.
func (t *target) bufferedMessages() []*message.Forward {
	if t.incoming == nil {
		return nil
	}
	return t.incoming.buffered
}

// receivingTarget returns the target state that a handover is merged into, or nil if this
// VM can't accept it now.
func (v *VM) receivingTarget(m *message.Handover) *target {
	t := v.targets[m.Target]
	if m.Source != 0 {
		// Only an active owner accepts flows of another target.
		if t == nil || t.machine.Phase() != ownership.Active || t.row.State == table.Leaving {
			return nil
		}
		return t
	}
	if t != nil {
		return t
	}
	if row, s := v.table.Target(m.Target); row != nil {
		return v.addTarget(s, *row)
	}
	s := v.table.Service(m.Service)
	if s == nil {
		return nil
	}
	row := table.Target{ID: m.Target, DomainID: m.Domain, Addr: m.Addr, Limit: m.Limit, State: table.Leaving}
	v.removedTargets[row.ID] = removedTarget{row: row, service: s.ID, until: v.now + removedRetention}
	return v.addTarget(s, row)
}

func (v *VM) sendHandoverAck(to message.VMID, m *message.Handover, accepted bool) {
	v.send(message.VMAddress(to, m.Reply), &message.HandoverAck{Target: m.Target, Transfer: m.Transfer, Accepted: accepted})
}

// mergeHandover adds the state of another owner: its epochs with their log, its flows and
// the destinations of moved ones, its queue and its used slots.
func (v *VM) mergeHandover(t *target, in *incoming) {
	v.counters.HandoversReceived++
	t.lastTransfer = in.transfer
	for i := range in.count {
		c := in.chunks[uint32(i)]
		t.addEpochs(c.Epochs)
		v.importFlows(t, c)
	}
	for i := range in.count {
		c := in.chunks[uint32(i)]
		for _, r := range c.InFlight {
			v.importInFlight(t, r)
		}
	}
	for i := range in.count {
		v.importMoved(t, in.chunks[uint32(i)].Moved)
	}
	t.machine.Received(v.now, in.from)
	v.suspendDispatchForOwner(t, in.from)
	for i := range in.count {
		v.importQueue(t, in.chunks[uint32(i)])
	}
}

// suspendDispatchForOwner suspends dispatch until the next tick hands the target over, if
// neither this VM nor the sender owns it. After a partition has healed, an owner in
// another failure domain hands over to the first VM that it finds, while the target's
// owner dispatches.
func (v *VM) suspendDispatchForOwner(t *target, from message.VMID) {
	owner, known := v.ownerOf(t.id, t.row.DomainID)
	if known && owner != v.config.Self.ID && owner != from {
		t.queue.SetLimit(0)
	}
}

func (v *VM) importQueue(t *target, c *message.Handover) {
	for i := range c.Queue {
		v.importQueued(t, &c.Queue[i])
	}
}

// importFlows adds flows with their floors and log entries.
func (v *VM) importFlows(t *target, c *message.Handover) {
	for _, r := range c.Flows {
		delete(t.moved, r.Flow)
		if t.flows.Import(v.now, r) == nil {
			// The target may still hold the flow for its previous owner.
			v.send(message.TargetAddress(t.id, t.row.Addr), &message.FlowEnd{Target: t.id, Flow: r.Flow})
			continue
		}
		t.log.RaiseFloor(r.Flow, r.Floor)
	}
	t.log.Import(v.now, c.Log)
}

// importMoved adds the destinations of moved flows, so that their packets are still
// forwarded after the target's owner has changed.
func (v *VM) importMoved(t *target, records []message.MovedRecord) {
	for _, r := range records {
		if t.flows.Get(r.Flow) != nil {
			continue
		}
		if known, ok := t.moved[r.Flow]; ok && known.until >= v.now+r.EndsIn {
			continue
		}
		t.moved[r.Flow] = movedFlow{to: r.To, until: v.now + r.EndsIn}
	}
}

// importInFlight adds a request that the previous owner has dispatched.
func (v *VM) importInFlight(t *target, r message.InFlightRecord) {
	if t.pending[r.Key] != nil {
		return
	}
	deadline := v.now + r.EndsIn
	t.queue.Occupy(r.Key, deadline)
	t.pending[r.Key] = &pending{
		key:          r.Key,
		attempt:      r.Attempt,
		kind:         noKind,
		caller:       r.Caller,
		deadline:     deadline,
		dispatched:   true,
		dispatchedAt: v.now,
	}
	v.inFlight[r.Key] = t
}

// importQueued offers a request that waited at the previous owner to the queue. Its log
// entry came with the handover.
func (v *VM) importQueued(t *target, q *message.QueuedRequest) {
	if len(q.Parts) == 0 {
		return
	}
	first := &q.Parts[0]
	if t.pending[first.Key()] != nil {
		return
	}
	p := &pending{
		key:      first.Key(),
		attempt:  first.Attempt,
		kind:     first.Kind,
		caller:   q.Caller,
		ingress:  q.Ingress,
		deadline: v.now + first.Deadline,
	}
	for i := range q.Parts {
		p.parts = append(p.parts, &q.Parts[i])
	}
	t.pending[p.key] = p
	v.offer(t, p)
}

// serveBuffered serves or forwards the messages that were buffered for a handover.
func (v *VM) serveBuffered(t *target) {
	messages := t.bufferedMessages()
	t.incoming = nil
	for _, f := range messages {
		v.serveOrForward(f)
	}
}
