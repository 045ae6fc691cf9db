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

// handedRequest is a request that was in flight when this VM handed its target over. What
// the target says about it goes to the receiver of the handover, which may have
// handed the target on.
type handedRequest struct {
	target message.TargetID
	to     message.VMID
	addr   netip.AddrPort
	until  time.Duration
	seen   uint64 // parts of the answer that have passed
}

// shedRetry is the delay after which a caller repeats a request that its target shed.
const shedRetry = 100 * time.Millisecond

// targetAnswer handles one part of an answer from a target.
func (v *VM) targetAnswer(from message.Address, m *message.Answer) {
	key := m.Key()
	if t := v.inFlight[key]; t != nil {
		if from.Addr == t.row.Addr {
			v.answer(t, m)
		}
		return
	}
	r, ok := v.handedInFlight[key]
	if !ok || from.Addr != r.addr {
		v.counters.StrayAnswers++
		return
	}
	v.passOnPart(r, m)
}

// passOnPart passes one part of an answer on and forgets the request after the last.
func (v *VM) passOnPart(r handedRequest, part *message.Answer) {
	v.passOn(r, &message.Released{Target: r.target, Answer: part})
	r.seen |= 1 << part.Part
	if bits.OnesCount64(r.seen) >= int(part.Parts) {
		delete(v.handedInFlight, part.Key())
		return
	}
	v.handedInFlight[part.Key()] = r
}

// passOn sends a target's words to the VM that took the target over.
func (v *VM) passOn(r handedRequest, m *message.Released) {
	v.sendControl(r.to, m)
}

// released handles what a target said to a previous owner.
func (v *VM) released(m *message.Released) {
	key, ok := releasedKey(m)
	if !ok {
		return
	}
	if r, ok := v.handedInFlight[key]; ok && v.inFlight[key] == nil {
		v.passOnReleased(r, m)
		return
	}
	t := v.inFlight[key]
	if t == nil {
		v.restore(m)
		return
	}
	if t.id != m.Target {
		return
	}
	if m.Answer != nil {
		v.answer(t, m.Answer)
		return
	}
	v.shed(t, m.Shed)
}

// restore keeps a part of an answer that a previous owner had recorded.
func (v *VM) restore(m *message.Released) {
	if m.Answer == nil {
		return
	}
	if t := v.targets[m.Target]; t != nil {
		t.log.RestorePart(m.Answer)
		return
	}
	if h, ok := v.handed[m.Target]; ok {
		v.sendControl(h.to, m)
	}
}

// passOnReleased passes on what came from a previous owner.
func (v *VM) passOnReleased(r handedRequest, m *message.Released) {
	if m.Answer != nil {
		v.passOnPart(r, m.Answer)
		return
	}
	v.passOn(r, m)
}

// releasedKey returns the key of the request that a message is about.
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

// answer records a part, passes it to the caller and frees the slot after the last.
func (v *VM) answer(t *target, m *message.Answer) {
	p := t.pending[m.Key()]
	if p == nil || p.attempt != m.Attempt {
		v.counters.StrayAnswers++
		return
	}
	v.noteReached(t)
	t.answered = v.now
	complete := t.log.RecordPart(v.now, p.key, m.Attempt, m)
	v.sendAnswer(t, p.caller, m)
	if !complete {
		return
	}
	delete(t.pending, p.key)
	delete(v.inFlight, p.key)
	t.queue.Finish(v.now, p.key, v.now-p.sentAt)
	t.health.RecordOutcome(v.now, health.Success)
	v.noteCompleted(t, p)
	v.pump(t)
}

func (v *VM) sendAnswer(t *target, caller netip.AddrPort, m *message.Answer) {
	part := *m
	part.Binding = t.binding()
	v.send(message.CallerAddress(caller), &part)
}

// replay sends a recorded answer again.
func (v *VM) replay(t *target, caller netip.AddrPort, key message.RequestKey) {
	v.counters.Replays++
	for _, part := range t.log.Answer(key) {
		v.sendAnswer(t, caller, part)
	}
}

// targetShed handles a target's refusal of a request that it did not start.
func (v *VM) targetShed(m *message.Shed) {
	key := message.RequestKey{Flow: m.Flow, ID: m.ID}
	if t := v.inFlight[key]; t != nil {
		v.shed(t, m)
		return
	}
	if r, ok := v.handedInFlight[key]; ok {
		v.passOn(r, &message.Released{Target: r.target, Shed: m})
	}
}

func (v *VM) shed(t *target, m *message.Shed) {
	key := message.RequestKey{Flow: m.Flow, ID: m.ID}
	p := t.pending[key]
	if p == nil || !p.dispatched || p.attempt != m.Attempt {
		return
	}
	if m.Started {
		v.stopped(t, p)
		return
	}
	if !t.log.RecordShed(v.now, key, m.Attempt) {
		return
	}
	t.queue.Release(key)
	if !p.cancelled {
		t.health.RecordOutcome(v.now, health.Shed)
	}
	v.noteShed(t, p)
	v.refuse(t, p, message.CauseTargetLost, shedRetry)
	v.setLimit(t)
}

// stopped ends a request that the target has stopped after a cancellation. The
// caller has given it up, so it gets no answer.
func (v *VM) stopped(t *target, p *pending) {
	t.log.Abandon(v.now, p.key)
	delete(t.pending, p.key)
	delete(v.inFlight, p.key)
	t.queue.Release(p.key)
	v.pump(t)
}

// lapse ends a dispatched request whose deadline passed without a whole answer.
func (v *VM) lapse(t *target, key message.RequestKey) {
	p := t.pending[key]
	t.log.Abandon(v.now, key)
	delete(t.pending, key)
	delete(v.inFlight, key)
	if p != nil && p.cancelled {
		// A target that stops cancelled work without a word is not unhealthy.
		return
	}
	t.health.RecordOutcome(v.now, health.Timeout)
	v.counters.Lapsed++
}

// targetReport handles what a target's health endpoint says.
func (v *VM) targetReport(m *message.TargetReport) {
	t := v.targets[m.Target]
	if t == nil {
		return
	}
	if m.Reached {
		v.noteReached(t)
	}
	if !m.Reached && v.silent(t) {
		t.health.RecordOutcome(v.now, health.Unreachable)
	}
	t.health.RecordReport(v.now, m)
}

// silentAfter is the time without an answer after which a target with requests in
// flight counts as silent. Their deadlines would tell only seconds later.
const silentAfter = time.Second

// silent reports whether a target has answered nothing for a while although it
// has requests in flight.
func (v *VM) silent(t *target) bool {
	if v.now-t.answered < silentAfter {
		return false
	}
	for _, p := range t.pending {
		if p.dispatched && v.now-p.sentAt >= silentAfter {
			return true
		}
	}
	return false
}

// tickHealth follows the target's health.
func (v *VM) tickHealth(t *target) {
	switch t.health.State(v.now) {
	case health.Lost:
		if v.members.Isolated(v.now) {
			// This VM is cut off, not the target that has crashed.
			return
		}
		v.loseTarget(t)
	case health.Ejected:
		v.eject(t)
	default:
		if t.ejected {
			v.noteTarget(notice.Restored, t, 0, 0)
		}
		t.ejected = false
		t.health.SetRetained(false)
	}
}

// eject takes a target out of service for new flows, unless too many targets of
// its service are out already.
func (v *VM) eject(t *target) {
	if t.ejected {
		return
	}
	s := v.table.Service(t.service)
	if s == nil {
		return
	}
	out := 0
	for id, l := range v.loads[t.service] {
		if id != t.id && l.ejected && v.now-l.at <= loadRetention {
			out++
		}
	}
	allowed := health.MayEject(activeTargets(s), out)
	t.health.SetRetained(!allowed)
	if allowed {
		t.ejected = true
		v.counters.Ejections++
		v.noteTarget(notice.Ejected, t, 0, 0)
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

// loseTarget handles a crash of the target: its flows are gone. Their stamps are
// given up and kept, so that their packets are answered "flow unknown".
func (v *VM) loseTarget(t *target) {
	if !t.ejected || t.flows.Len() > 0 {
		v.noteTarget(notice.TargetLost, t, 0, t.flows.Len())
	}
	t.ejected = true
	if t.flows.Len() == 0 {
		return
	}
	v.counters.FlowsLost += uint64(t.flows.Len())
	v.counters.TargetsLost++
	v.trace.add(v, decision{action: actionLost, target: t.id})
	v.refuseQueued(t)
	for _, p := range t.sortedPending() {
		t.queue.Release(p.key)
		v.refuse(t, p, message.CauseTargetLost, 0)
	}
	t.flows.Clear()
	t.lost = append(t.lost, t.epochs...)
	if extra := len(t.lost) - 2*maxEpochs; extra > 0 {
		t.lost = t.lost[extra:]
	}
	t.epochs = []message.Epoch{v.newEpoch()}
}
