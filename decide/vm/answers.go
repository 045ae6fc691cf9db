package vm

import (
	"math/bits"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/health"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/notice"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// handedOverRequest is a request that was in flight when this VM handed its target over.
// The target still sends its answer, or a Shed, to this VM. It is forwarded to the receiver
// of the handover, which may in turn have handed the target over.
type handedOverRequest struct {
	target         message.TargetID
	to             message.VMID
	addr           netip.AddrPort
	until          time.Duration
	partsForwarded uint64 // bit i: part i of the answer was forwarded
}

// shedRetryDelay is the RetryAfter of a request that its target shed.
const shedRetryDelay = 100 * time.Millisecond

// handleAnswer handles one part of an answer from a target. Parts from another address
// than the target's are dropped.
func (v *VM) handleAnswer(from message.Address, m *message.Answer) {
	key := m.Key()
	if t := v.inFlight[key]; t != nil {
		if from.Addr == t.row.Addr {
			v.processAnswerPart(t, m)
		}
		return
	}
	r, ok := v.handedOverInFlight[key]
	if !ok || from.Addr != r.addr {
		v.counters.StrayAnswers++
		return
	}
	v.forwardAnswerPart(r, m)
}

// forwardAnswerPart forwards one part of an answer to the new owner of the target and
// removes the request after the last part.
func (v *VM) forwardAnswerPart(r handedOverRequest, part *message.Answer) {
	v.sendReleased(r, &message.Released{Target: r.target, Answer: part})
	r.partsForwarded |= 1 << part.Part
	if bits.OnesCount64(r.partsForwarded) >= int(part.Parts) {
		delete(v.handedOverInFlight, part.Key())
		return
	}
	v.handedOverInFlight[part.Key()] = r
}

// sendReleased sends a target's Answer or Shed to the VM that took the target over.
func (v *VM) sendReleased(r handedOverRequest, m *message.Released) {
	v.sendControl(r.to, m)
}

// handleReleased handles a target's Answer or Shed that a previous owner forwarded.
func (v *VM) handleReleased(m *message.Released) {
	key, ok := releasedKey(m)
	if !ok {
		return
	}
	if r, ok := v.handedOverInFlight[key]; ok && v.inFlight[key] == nil {
		v.forwardReleased(r, m)
		return
	}
	t := v.inFlight[key]
	if t == nil {
		v.restoreAnswerPart(m)
		return
	}
	if t.id != m.Target {
		return
	}
	if m.Answer != nil {
		v.processAnswerPart(t, m.Answer)
		return
	}
	v.processShed(t, m.Shed)
}

// restoreAnswerPart adds a part of an answer that a previous owner had recorded to the
// request log, or forwards it if the target was handed over since.
func (v *VM) restoreAnswerPart(m *message.Released) {
	if m.Answer == nil {
		return
	}
	if t := v.targets[m.Target]; t != nil {
		t.log.RestorePart(m.Answer)
		return
	}
	if h, ok := v.handedOver[m.Target]; ok {
		v.sendControl(h.to, m)
	}
}

// forwardReleased forwards a message from a previous owner to the next one.
func (v *VM) forwardReleased(r handedOverRequest, m *message.Released) {
	if m.Answer != nil {
		v.forwardAnswerPart(r, m.Answer)
		return
	}
	v.sendReleased(r, m)
}

// releasedKey returns the key of the request that m concerns, or false for an empty m.
func releasedKey(m *message.Released) (message.RequestKey, bool) {
	switch {
	case m.Answer != nil:
		return m.Answer.Key(), true
	case m.Shed != nil:
		return message.RequestKey{Flow: m.Shed.Flow, ID: m.Shed.ID}, true
	default:
		return message.RequestKey{}, false
	}
}

// processAnswerPart records a part, sends it to the caller and frees the slot after the
// last part.
func (v *VM) processAnswerPart(t *target, m *message.Answer) {
	p := t.pending[m.Key()]
	if p == nil || p.attempt != m.Attempt {
		v.counters.StrayAnswers++
		return
	}
	v.markReached(t)
	t.lastAnswerAt = v.now
	complete := t.log.RecordPart(v.now, p.key, m.Attempt, m)
	v.sendAnswerPart(t, p.caller, m)
	if !complete {
		return
	}
	delete(t.pending, p.key)
	delete(v.inFlight, p.key)
	t.queue.Finish(v.now, p.key, v.now-p.dispatchedAt)
	t.health.RecordOutcome(v.now, health.Success)
	v.countCompleted(t, p)
	v.dispatchQueued(t)
}

func (v *VM) sendAnswerPart(t *target, caller netip.AddrPort, m *message.Answer) {
	part := *m
	part.Binding = t.binding()
	v.send(message.CallerAddress(caller), &part)
}

// replayAnswer sends a recorded answer again.
func (v *VM) replayAnswer(t *target, caller netip.AddrPort, key message.RequestKey) {
	v.counters.Replays++
	for _, part := range t.log.Answer(key) {
		v.sendAnswerPart(t, caller, part)
	}
}

// handleShed handles a message of a target that it did not start a request, or stopped it
// after a cancellation.
func (v *VM) handleShed(m *message.Shed) {
	key := message.RequestKey{Flow: m.Flow, ID: m.ID}
	if t := v.inFlight[key]; t != nil {
		v.processShed(t, m)
		return
	}
	if r, ok := v.handedOverInFlight[key]; ok {
		v.sendReleased(r, &message.Released{Target: r.target, Shed: m})
	}
}

func (v *VM) processShed(t *target, m *message.Shed) {
	key := message.RequestKey{Flow: m.Flow, ID: m.ID}
	p := t.pending[key]
	if p == nil || !p.dispatched || p.attempt != m.Attempt {
		return
	}
	if m.Started {
		v.finishCancelled(t, p)
		return
	}
	if !t.log.RecordShed(v.now, key, m.Attempt) {
		return
	}
	t.queue.Release(key)
	if !p.cancelled {
		t.health.RecordOutcome(v.now, health.Shed)
	}
	v.countShed(t, p)
	v.refuse(t, p, message.CauseTargetLost, shedRetryDelay)
	v.setLimit(t)
}

// finishCancelled ends a request that the target stopped after a cancellation. The caller
// no longer waits, so it gets no answer.
func (v *VM) finishCancelled(t *target, p *pending) {
	t.log.Abandon(v.now, p.key)
	delete(t.pending, p.key)
	delete(v.inFlight, p.key)
	t.queue.Release(p.key)
	v.dispatchQueued(t)
}

// timeOutRequest ends a dispatched request whose answer was not complete when its slot
// expired, 500 ms after its deadline.
func (v *VM) timeOutRequest(t *target, key message.RequestKey) {
	p := t.pending[key]
	t.log.Abandon(v.now, key)
	delete(t.pending, key)
	delete(v.inFlight, key)
	if p != nil && p.cancelled {
		// A target that stops cancelled work without a message is not unhealthy.
		return
	}
	t.health.RecordOutcome(v.now, health.Timeout)
	v.counters.Lapsed++
}

// handleTargetReport applies the result of a health check of a target.
func (v *VM) handleTargetReport(m *message.TargetReport) {
	t := v.targets[m.Target]
	if t == nil {
		return
	}
	if m.Reached {
		v.markReached(t)
	}
	if !m.Reached && v.silent(t) {
		t.health.RecordOutcome(v.now, health.Unreachable)
	}
	t.health.RecordReport(v.now, m)
}

// silentAfter is the time without an answer after which a target with requests in flight
// counts as silent. Their deadlines would reveal it only seconds later.
const silentAfter = time.Second

// silent reports whether a target has a request in flight for at least silentAfter and has
// sent no part of any answer during that time.
func (v *VM) silent(t *target) bool {
	if v.now-t.lastAnswerAt < silentAfter {
		return false
	}
	for _, p := range t.pending {
		if p.dispatched && v.now-p.dispatchedAt >= silentAfter {
			return true
		}
	}
	return false
}

// tickHealth applies the health state of a target: lost, ejected or in service.
func (v *VM) tickHealth(t *target) {
	switch t.health.State(v.now) {
	case health.Lost:
		if v.members.Isolated(v.now) {
			// This VM is isolated from the others, so the target itself may be healthy.
			return
		}
		v.handleTargetLoss(t)
	case health.Ejected:
		v.eject(t)
	default:
		if t.ejected {
			v.addTargetNotice(notice.TargetRestored, t, 0, 0)
		}
		t.ejected = false
		t.health.SetRetained(false)
	}
}

// eject takes a target out of service for new flows, unless too many targets of its
// service are ejected already.
func (v *VM) eject(t *target) {
	if t.ejected {
		return
	}
	s := v.table.Service(t.service)
	if s == nil {
		return
	}
	ejectedCount := 0
	for id, l := range v.loads[t.service] {
		if id != t.id && l.ejected && v.now-l.at <= loadRetention {
			ejectedCount++
		}
	}
	allowed := health.MayEject(activeTargets(s), ejectedCount)
	t.health.SetRetained(!allowed)
	if allowed {
		t.ejected = true
		v.counters.Ejections++
		v.addTargetNotice(notice.TargetEjected, t, 0, 0)
		v.trace.add(v, decision{action: actionEject, target: t.id})
	}
}

func activeTargets(s *table.Service) int {
	n := 0
	for i := range s.Targets {
		if s.Targets[i].State == table.Active {
			n++
		}
	}
	return n
}

// handleTargetLoss handles a crash of the target, which has lost its flows. If it had any,
// its epochs move to lostEpochs, so that packets with them are answered "flow unknown".
func (v *VM) handleTargetLoss(t *target) {
	if !t.ejected || t.flows.Len() > 0 {
		v.addTargetNotice(notice.TargetLost, t, 0, t.flows.Len())
	}
	t.ejected = true
	if t.flows.Len() == 0 {
		return
	}
	v.counters.FlowsLost += uint64(t.flows.Len())
	v.counters.TargetsLost++
	v.trace.add(v, decision{action: actionLost, target: t.id})
	v.refuseUndispatched(t)
	for _, p := range t.sortedPending() {
		t.queue.Release(p.key)
		v.refuse(t, p, message.CauseTargetLost, 0)
	}
	t.flows.Clear()
	t.lostEpochs = append(t.lostEpochs, t.epochs...)
	if extra := len(t.lostEpochs) - 2*maxEpochs; extra > 0 {
		t.lostEpochs = t.lostEpochs[extra:]
	}
	t.epochs = []message.Epoch{v.newEpoch()}
}
