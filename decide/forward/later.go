package forward

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/evidence"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// later decides on a packet of a flow that its caller takes as open.
func (f *Forwarder) later(now time.Duration, p flow.Packet) Verdict {
	route := f.view.Route(p.Flow.Address)
	if route == nil && f.view.RouteRemoved(p.Flow.Address) {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: RouteRemoved, NewDecision: true}
	}
	r := f.flows.get(p.Flow)
	t := f.targetOf(now, p, route, r)
	if t == nil {
		return f.withoutTarget(now, p, route, r)
	}
	if f.isLost(now, t) {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: TargetGone, Target: t, Route: route, NewDecision: true}
	}
	if r == nil {
		// The flow was opened at another VM: its present state says nothing of the
		// target.
		r = f.flows.add(p.Flow, now)
		r.phase = open
		r.ack = p.Ack
	}
	f.assign(r, t)
	if f.isHeld(now, r, p, route) {
		r.seen = now
		return Verdict{Action: Drop, Reason: Held, Target: t, Route: route}
	}
	opened, answered := f.note(now, r, t, p)
	f.judge(now, r, t, route, p, answered)
	f.noteDead(now, t)
	if r.busy && f.isStuck(now, r, t, route) {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: TargetSilent, Target: t, Route: route, NewDecision: true}
	}
	if p.Flags.Has(flow.RST) {
		f.forget(p.Flow)
	}
	return Verdict{Action: Forward, Reason: Continued, Target: t, Cookie: t.Cookie, Route: route, Opened: opened, Answered: answered}
}

// targetOf returns the target of an open flow: the one that this VM has seen
// first while it exists, else the one that the cookie names, else nil.
func (f *Forwarder) targetOf(now time.Duration, p flow.Packet, route *catalog.Route, r *record) *catalog.Target {
	var named *catalog.Target
	if p.Cookie != 0 {
		named = f.view.ByCookie(p.Cookie, route)
	}
	if r == nil || r.phase == opening || r.target == nil {
		return named
	}
	if r.target.Gone(now) && named != nil && !named.Gone(now) {
		return named
	}
	return r.target
}

// withoutTarget decides on a packet whose target is not known.
func (f *Forwarder) withoutTarget(now time.Duration, p flow.Packet, route *catalog.Route, r *record) Verdict {
	if p.Cookie == 0 {
		return Verdict{Action: Drop, Reason: NoCookie, Route: route}
	}
	if r == nil {
		r = f.flows.add(p.Flow, now)
		r.phase = open
	}
	r.seen = now
	first := r.unknown == 0
	if first {
		r.unknown = now
	}
	if f.view.Ready(now) && f.view.Fresh(now) && now >= r.unknown+f.config.ApplyWithin {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: UnknownForLong, Route: route, NewDecision: true}
	}
	return Verdict{Action: Drop, Reason: UnknownCookie, Route: route, NewDecision: first}
}

// isLost reports whether the flows of t can't go on: its entry is gone and
// nothing shows that it still answers.
func (f *Forwarder) isLost(now time.Duration, t *catalog.Target) bool {
	if !t.Gone(now) {
		return false
	}
	alive, ok := f.evidence[t.Slot].LastAlive()
	return !ok || now-alive >= lifeSigns
}

// isStuck reports whether a flow shall be reset because its target is dead by all
// that this VM sees, and other targets of the service answer. A request that may
// run at most once is left alone: its caller would not repeat it, and a target
// behind a partition may still run it.
func (f *Forwarder) isStuck(now time.Duration, r *record, t *catalog.Target, route *catalog.Route) bool {
	if route == nil || route.Kind == catalog.NonIdempotent || !f.judges(now) {
		return false
	}
	if r.repeats >= stuckRepeats && f.isCutOff(now, t) {
		return true
	}
	return f.evidence[t.Slot].Dead(now) && f.othersAnswer(now, t)
}

// othersAnswer reports whether most other targets of t's service answer. If they
// do not, this VM is more likely cut off than they are dead.
func (f *Forwarder) othersAnswer(now time.Duration, t *catalog.Target) bool {
	answering, silent := 0, 0
	for _, other := range f.view.Service(t.Service) {
		if other == t || !other.Listed {
			continue
		}
		alive, ok := f.evidence[other.Slot].LastAlive()
		switch {
		case ok && now-alive < lifeSigns:
			answering++
		case f.evidence[other.Slot].Dead(now):
			silent++
		}
	}
	return answering > silent
}

// shortest is reported for what happened within one step, whose packets have the
// same time.
const shortest = time.Nanosecond

// note learns from a packet of an open flow. It returns how long the target took
// to accept the flow and to answer a request, when the packet shows it.
func (f *Forwarder) note(now time.Duration, r *record, t *catalog.Target, p flow.Packet) (opened, answered time.Duration) {
	seen := &f.evidence[t.Slot]
	progress := r.phase == opening || newer(p.Ack, r.ack)
	if r.phase == opening {
		r.phase = open
		r.ack = p.Ack
		opened = max(now-r.sentAt, shortest)
	}
	r.seen = now
	if progress {
		seen.RecordAlive(now)
		r.ack = p.Ack
		r.repeats = 0
		if r.busy {
			answered = max(now-r.askedAt, shortest)
		}
		f.setBusy(r, t, false)
	}
	end := p.Seq + uint32(p.Len)
	if p.Len > 0 && r.sent && !newer(end, r.seqTo) {
		f.noteRepeat(now, r, seen)
	} else if p.Len > 0 {
		r.sent = true
		r.seqTo = end
		r.dataAt = now
		if !r.busy {
			r.askedAt = now
		}
		f.setBusy(r, t, true)
	}
	if p.Flags.Has(flow.FIN) {
		r.phase = closing
	}
	return opened, answered
}

// noteRepeat notes a packet that was seen before. A copy that comes right after
// its predecessor has waited with it at this VM, which was paused or slow: the
// target had no time to answer.
func (f *Forwarder) noteRepeat(now time.Duration, r *record, target *evidence.Tracker) {
	if now-r.dataAt < answerTime {
		return
	}
	r.dataAt = now
	r.repeats++
	target.RecordRetransmission(now)
	if r.repeats == stuckRepeats {
		target.RecordStuckFlow(now)
	}
}
