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
	// maxMovesPerTick is the number of flows that leave a target in one tick of 10 ms.
	// 4,500 flows take half a second.
	maxMovesPerTick = 100
	// movedFlowRetention is how long the old owner forwards the packets of a moved flow.
	movedFlowRetention = 10 * time.Minute
)

// movedFlow is the destination of a flow that moved away from a leaving target.
type movedFlow struct {
	to    message.TargetID
	until time.Duration
}

// flowMove is a group of flows that is being moved to another target.
type flowMove struct {
	source    message.TargetID
	to        message.TargetID
	receiver  message.VMID
	handover  *message.Handover
	startedAt time.Duration
	resendAt  time.Duration
	buffered  []*message.Forward
}

// buffer stores a message of a moving flow until the move is confirmed. When the buffer is
// full the message is dropped; the caller retransmits it.
func (m *flowMove) buffer(f *message.Forward) {
	if len(m.buffered) < maxBufferedMessages {
		m.buffered = append(m.buffered, f)
	}
}

// moveFlows moves flows away from a leaving target. A flow with a request in flight moves
// after that request; requests that were not dispatched move with their flow.
func (v *VM) moveFlows(t *target) {
	if t.row.State != table.Leaving {
		t.movesNoticed = false
		return
	}
	v.addMoveNotices(t)
	s := v.table.Service(t.service)
	if s == nil {
		return
	}
	// Drained requests stay pending, and no one dispatches them before their flow moves.
	t.queue.Drain(func(admission.Item) {})
	waiting, busy := t.pendingByFlow()
	groups := make(map[message.TargetID][]*flowtable.Flow)
	n := 0
	for _, f := range sortedFlows(t.flows) {
		if n == maxMovesPerTick {
			break
		}
		if t.movesByFlow[f.ID] != nil || busy[f.ID] {
			continue
		}
		if to, ok := v.moveDestination(t, s, f.ID); ok {
			groups[to] = append(groups[to], f)
			n++
		}
	}
	for _, to := range slices.Sorted(maps.Keys(groups)) {
		v.startMove(t, to, groups[to], waiting)
	}
}

// pendingByFlow returns the complete waiting requests by flow, and the flows that have a
// request in flight or incomplete.
func (t *target) pendingByFlow() (waiting map[message.FlowID][]*pending, busy map[message.FlowID]bool) {
	waiting = make(map[message.FlowID][]*pending)
	busy = make(map[message.FlowID]bool)
	for _, p := range t.sortedPending() {
		if p.dispatched || p.missingParts > 0 {
			busy[p.key.Flow] = true
			continue
		}
		waiting[p.key.Flow] = append(waiting[p.key.Flow], p)
	}
	return waiting, busy
}

// moveDestination returns the target that a flow of a leaving target moves to: the first
// of its ranking that accepts new flows and has a known owner.
func (v *VM) moveDestination(t *target, s *table.Service, flow message.FlowID) (message.TargetID, bool) {
	var ranks [maxRanked]rendezvous.Ranked
	for _, r := range rankTargets(ranks[:], s, flow, acceptsNewFlows) {
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

// startMove hands flows over to the owner of another target. The receiver accepts the old
// epochs for these flows only.
func (v *VM) startMove(t *target, to message.TargetID, flows []*flowtable.Flow, waiting map[message.FlowID][]*pending) {
	row, _ := v.table.Target(to)
	receiver, ok := v.ownerOf(row.ID, row.DomainID)
	if !ok {
		return
	}
	h := &message.Handover{Target: to, Source: t.id, Reply: v.config.Self.Control, Transfer: v.rng.Uint64(), Last: true}
	m := &flowMove{
		source:    t.id,
		to:        to,
		receiver:  receiver,
		handover:  h,
		startedAt: v.now,
		resendAt:  v.now + ownership.ResendInterval,
	}
	for _, f := range flows {
		record := f.Export(v.now, acceptedEpochs(t, f))
		record.Floor = t.log.Floor(f.ID)
		record.Fresh = true
		h.Flows = append(h.Flows, record)
		for _, p := range waiting[f.ID] {
			h.Queue = append(h.Queue, queuedRequest(v.now, p))
		}
		t.movesByFlow[f.ID] = m
		if len(h.Queue) >= maxChunkRequests {
			// The other flows follow in a later tick.
			break
		}
	}
	h.Log = t.log.Export(v.now, func(id message.FlowID) bool { return t.movesByFlow[id] == m })
	v.movesByTransfer[h.Transfer] = m
	v.sendMove(m)
}

// acceptedEpochs returns the epochs that callers may still use for a flow, the newest
// last.
func acceptedEpochs(t *target, f *flowtable.Flow) []message.Epoch {
	accepted := slices.Clone(f.Epochs)
	newest := t.epochs[:min(len(t.epochs), flowtable.MaxEpochs)]
	for i := len(newest) - 1; i >= 0; i-- {
		accepted = append(accepted, newest[i])
	}
	return accepted
}

func (v *VM) sendMove(m *flowMove) {
	if m.receiver != v.config.Self.ID {
		v.sendControl(m.receiver, m.handover)
		return
	}
	t := v.receivingTarget(m.handover)
	if t == nil {
		v.finishMove(m, false)
		return
	}
	// The import comes first, so that the answers that finishMove forwards find their log
	// entries.
	v.importFlows(t, m.handover)
	v.finishMove(m, true)
	v.importQueue(t, m.handover)
}

// receiveFlows merges flows of another target. The flows and their log entries arrive in
// one message, so a retransmitted one allows no second dispatch.
func (v *VM) receiveFlows(t *target, from message.VMID, m *message.Handover) {
	v.importFlows(t, m)
	v.importQueue(t, m)
	v.counters.FlowsMoved += uint64(len(m.Flows))
	v.sendHandoverAck(from, m, true)
}

// finishMove ends a move: its flows now belong to the other target, or stay if it was not
// accepted.
func (v *VM) finishMove(m *flowMove, accepted bool) {
	delete(v.movesByTransfer, m.handover.Transfer)
	t := v.targets[m.source]
	if t == nil {
		return
	}
	if accepted {
		v.forwardCompleteAnswers(t, m.receiver, m.to, func(id message.FlowID) bool { return t.movesByFlow[id] == m })
	}
	for i := range m.handover.Flows {
		id := m.handover.Flows[i].Flow
		delete(t.movesByFlow, id)
		if accepted {
			v.removeMovedFlow(t, id, m.to)
		}
	}
	for _, f := range m.buffered {
		v.serveOrForward(f)
	}
}

func (v *VM) removeMovedFlow(t *target, id message.FlowID, to message.TargetID) {
	t.movedCount++
	t.flows.Remove(id)
	t.log.RemoveFlow(id)
	for key := range t.pending {
		if key.Flow == id {
			delete(t.pending, key)
		}
	}
	t.moved[id] = movedFlow{to: to, until: v.now + movedFlowRetention}
	v.send(message.TargetAddress(t.id, t.row.Addr), &message.FlowEnd{Target: t.id, Flow: id})
}

// tickMoves retransmits unconfirmed moves. A move whose receiver is dead, or has not confirmed
// within ownership.TransferTimeout, may have been accepted, so its flows are abandoned: no
// epoch may be accepted by two owners.
func (v *VM) tickMoves() {
	for _, transfer := range slices.Sorted(maps.Keys(v.movesByTransfer)) {
		m := v.movesByTransfer[transfer]
		member, ok := v.members.Member(m.receiver)
		dead := !ok || member.State == message.MemberDead
		switch {
		case dead || v.now-m.startedAt >= ownership.TransferTimeout:
			v.abandonMove(m)
		case v.now >= m.resendAt:
			m.resendAt = v.now + ownership.ResendInterval
			v.sendMove(m)
		}
	}
}

// abandonMove removes the flows of an unconfirmed move. Their packets go to the owner of
// the other target, which has merged the flows or refuses their old epochs.
func (v *VM) abandonMove(m *flowMove) {
	v.counters.MovesAbandoned++
	if t := v.targets[m.source]; t != nil {
		v.addTargetNotice(notice.MoveAbandoned, t, m.receiver, len(m.handover.Flows))
	}
	v.finishMove(m, true)
}
