package vm

import (
	"maps"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/admission"
	"github.com/gypsumspan/gypsumspan/decide/flowtable"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/notice"
	"github.com/gypsumspan/gypsumspan/decide/ownership"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

const (
	// moveBatch is the number of flows that leave a target in one tick of 10 ms.
	// 4,500 flows are gone in half a second.
	moveBatch = 100
	// moveRetention is how long the old owner passes packets of a moved flow on.
	moveRetention = 10 * time.Minute
)

// movedFlow is where a flow of a leaving target is now.
type movedFlow struct {
	to    message.TargetID
	until time.Duration
}

// move is a group of flows on the way to another target.
type move struct {
	source   message.TargetID
	to       message.TargetID
	receiver message.VMID
	handover *message.Handover
	started  time.Duration
	resend   time.Duration
	kept     []*message.Forward
}

// keep stores a message of a moving flow until the move is confirmed. When too
// many wait, the caller's retransmission replaces the dropped one.
func (m *move) keep(f *message.Forward) {
	if len(m.kept) < keptMessages {
		m.kept = append(m.kept, f)
	}
}

// moveFlows moves flows away from a leaving target. A flow with a request in
// flight waits for its end; requests that were not dispatched move with it.
func (v *VM) moveFlows(t *target) {
	if t.row.State != table.Leaving {
		t.departing = false
		return
	}
	v.noteMoves(t)
	s := v.table.Service(t.service)
	if s == nil {
		return
	}
	// What is drained stays pending, and is dispatched by no one until its flow moves.
	t.queue.Drain(func(admission.Item) {})
	waiting, busy := t.pendingByFlow()
	groups := make(map[message.TargetID][]*flowtable.Flow)
	n := 0
	for _, f := range sortedFlows(t.flows) {
		if n == moveBatch {
			break
		}
		if t.moving[f.ID] != nil || busy[f.ID] {
			continue
		}
		if to, ok := v.moveTarget(t, s, f.ID); ok {
			groups[to] = append(groups[to], f)
			n++
		}
	}
	for _, to := range slices.Sorted(maps.Keys(groups)) {
		v.startMove(t, to, groups[to], waiting)
	}
}

// pendingByFlow returns the whole requests that wait, by flow, and the flows that
// have a request in flight or in parts.
func (t *target) pendingByFlow() (waiting map[message.FlowID][]*pending, busy map[message.FlowID]bool) {
	waiting = make(map[message.FlowID][]*pending)
	busy = make(map[message.FlowID]bool)
	for _, p := range t.sortedPending() {
		if p.dispatched || p.missing > 0 {
			busy[p.key.Flow] = true
			continue
		}
		waiting[p.key.Flow] = append(waiting[p.key.Flow], p)
	}
	return waiting, busy
}

// moveTarget returns the target that a flow of a leaving target goes to: the
// first of its ranking that takes new flows and has a known owner.
func (v *VM) moveTarget(t *target, s *table.Service, flow message.FlowID) (message.TargetID, bool) {
	var ranks [maxRanked]rendezvous.Ranked
	for _, r := range rank(ranks[:], s, flow, takesNewFlows) {
		row := &s.Targets[r.Index]
		if row.ID == t.id || v.loads[t.service][row.ID].ejected {
			continue
		}
		if _, ok := v.ownerOf(row.ID, row.DomainID); ok {
			return row.ID, true
		}
	}
	return 0, false
}

// startMove hands flows over to the owner of another target. The receiver accepts
// the old stamps for these flows only.
func (v *VM) startMove(t *target, to message.TargetID, flows []*flowtable.Flow, waiting map[message.FlowID][]*pending) {
	row, _ := v.table.Target(to)
	receiver, ok := v.ownerOf(row.ID, row.DomainID)
	if !ok {
		return
	}
	h := &message.Handover{Target: to, Source: t.id, Reply: v.config.Self.Control, Transfer: v.rng.Uint64(), Last: true}
	m := &move{
		source:   t.id,
		to:       to,
		receiver: receiver,
		handover: h,
		started:  v.now,
		resend:   v.now + ownership.ResendInterval,
	}
	for _, f := range flows {
		record := f.Export(v.now, stampsOf(t, f))
		record.Floor = t.log.Floor(f.ID)
		record.Fresh = true
		h.Flows = append(h.Flows, record)
		for _, p := range waiting[f.ID] {
			h.Queue = append(h.Queue, queuedRequest(v.now, p))
		}
		t.moving[f.ID] = m
		if len(h.Queue) >= chunkRequests {
			// The other flows follow in the next tick.
			break
		}
	}
	h.Log = t.log.Export(v.now, func(id message.FlowID) bool { return t.moving[id] == m })
	v.moves[h.Transfer] = m
	v.sendMove(m)
}

// stampsOf returns the stamps that callers may still use for a flow.
func stampsOf(t *target, f *flowtable.Flow) []message.Epoch {
	stamps := slices.Clone(f.Epochs)
	newest := t.epochs[:min(len(t.epochs), flowtable.MaxEpochs)]
	for i := len(newest) - 1; i >= 0; i-- {
		stamps = append(stamps, newest[i])
	}
	return stamps
}

func (v *VM) sendMove(m *move) {
	if m.receiver != v.config.Self.ID {
		v.sendControl(m.receiver, m.handover)
		return
	}
	t := v.receivingTarget(m.handover)
	if t == nil {
		v.moveAck(m, false)
		return
	}
	// The answers that moveAck passes on find the imported entries here.
	v.importFlows(t, m.handover)
	v.moveAck(m, true)
	v.importQueue(t, m.handover)
}

// receiveFlows takes flows of another target. The flows and their log come in
// one message, so a repeated one changes nothing.
func (v *VM) receiveFlows(t *target, from message.VMID, m *message.Handover) {
	v.importFlows(t, m)
	v.importQueue(t, m)
	v.counters.FlowsMoved += uint64(len(m.Flows))
	v.acknowledge(from, m, true)
}

// moveAck ends a move: its flows belong to the other target, or stay.
func (v *VM) moveAck(m *move, accepted bool) {
	delete(v.moves, m.handover.Transfer)
	t := v.targets[m.source]
	if t == nil {
		return
	}
	if accepted {
		v.passOnAnswers(t, m.receiver, m.to, func(id message.FlowID) bool { return t.moving[id] == m })
	}
	for i := range m.handover.Flows {
		id := m.handover.Flows[i].Flow
		delete(t.moving, id)
		if accepted {
			v.forgetMoved(t, id, m.to)
		}
	}
	for _, f := range m.kept {
		v.handle(f)
	}
}

func (v *VM) forgetMoved(t *target, id message.FlowID, to message.TargetID) {
	t.departed++
	t.flows.Remove(id)
	t.log.RemoveFlow(id)
	for key := range t.pending {
		if key.Flow == id {
			delete(t.pending, key)
		}
	}
	t.moved[id] = movedFlow{to: to, until: v.now + moveRetention}
	v.send(message.TargetAddress(t.id, t.row.Addr), &message.FlowEnd{Target: t.id, Flow: id})
}

// tickMoves sends unconfirmed moves again. A move whose receiver is gone may have
// been accepted, so its flows are given up: no stamp may be accepted twice.
func (v *VM) tickMoves() {
	for _, transfer := range slices.Sorted(maps.Keys(v.moves)) {
		m := v.moves[transfer]
		member, ok := v.members.Member(m.receiver)
		dead := !ok || member.State == message.MemberDead
		switch {
		case dead || v.now-m.started >= ownership.TransferTimeout:
			v.abandonMove(m)
		case v.now >= m.resend:
			m.resend = v.now + ownership.ResendInterval
			v.sendMove(m)
		}
	}
}

// abandonMove sends the packets of the flows to the new target's owner, which
// knows them or adopts none of their old stamps.
func (v *VM) abandonMove(m *move) {
	v.counters.MovesAbandoned++
	if t := v.targets[m.source]; t != nil {
		v.noteTarget(notice.MoveAbandoned, t, m.receiver, len(m.handover.Flows))
	}
	v.moveAck(m, true)
}
