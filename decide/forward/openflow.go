package forward

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/evidence"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// receiveOpenFlow returns the verdict on any packet but a SYN.
func (f *Forwarder) receiveOpenFlow(now time.Duration, p flow.Packet) Verdict {
	route := f.view.Route(p.Flow.Address)
	if route == nil && f.view.RouteRemoved(p.Flow.Address) {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: RouteRemoved, NewDecision: true}
	}
	r := f.flows.get(p.Flow)
	t := f.targetOf(now, p, route, r)
	if t == nil {
		return f.receiveUnknownTarget(now, p, route, r)
	}
	if f.isConfirmedGone(now, t) {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: TargetGone, Target: t, Route: route, NewDecision: true}
	}
	adopted := NotAdopted
	if r == nil {
		adopted = adoptedBy(p, t)
		// The flow was opened at another VM, so that its first acknowledgement seen here
		// is no evidence that the target responds.
		r = f.flows.add(p.Flow, now)
		r.phase = open
		r.ack = p.Ack
		f.recordAdopted(p, r, t)
	}
	f.assign(r, t)
	if f.shouldHold(now, r, p, route) {
		r.lastSeen = now
		return Verdict{Action: Drop, Reason: Held, Target: t, Route: route}
	}
	superseded := f.supersededTargets(now, p, r, t, route)
	connectTime, responseTime := f.updateFlow(now, r, t, p)
	f.recordOutcome(now, r, t, route, p, responseTime)
	f.resetDead(now, t)
	if reason, reset := f.shouldReset(now, r, t, route); reset {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: reason, Target: t, Route: route, NewDecision: true}
	}
	if p.Flags.Has(flow.RST) {
		f.forget(p.Flow)
	}
	return Verdict{
		Action: Forward, Reason: Continued, Target: t, Cookie: t.Cookie, Route: route,
		ConnectTime: connectTime, ResponseTime: responseTime, Superseded: superseded, Adopted: adopted,
	}
}

// supersededTargets returns the targets other than t that hold a flow half-open, as a packet of the flow
// shows: those that got its SYN, when it opens at t, and later the one whose cookie it carries.
func (f *Forwarder) supersededTargets(now time.Duration, p flow.Packet, r *record, t *catalog.Target, route *catalog.Route) (list []*catalog.Target) {
	if r.phase != opening {
		return f.foreignCookie(now, p, r, t, route)
	}
	if r.isContested(now) {
		f.contest(now, p.Flow, r)
	}
	return f.holders(now, r.tried[:r.tries], t, route)
}

// holders returns those of the targets that got a SYN of a flow which may hold it half-open, while it is
// open at t. One that has started again since holds nothing, and would take the SYN for a new flow.
// Targets that would get no new flow of the route are left out.
func (f *Forwarder) holders(now time.Duration, tried []triedTarget, t *catalog.Target, route *catalog.Route) (list []*catalog.Target) {
	for _, other := range tried {
		restarted := other.born != 0 && other.born != other.Born
		if other.Target != t && !restarted && f.mayGetSYN(now, other.Target, route) {
			list = append(list, other.Target)
		}
	}
	return list
}

// mayGetSYN reports whether t may get the SYN of a flow again that has opened elsewhere. The limit of
// cold targets does not count: the SYN opens no flow at a target that has got it before.
func (f *Forwarder) mayGetSYN(now time.Duration, t *catalog.Target, route *catalog.Route) bool {
	if route == nil || t.Gone(now) {
		return false
	}
	e := f.exclusion(now, t, route)
	return e == notExcluded || e == coldLimit
}

// targetOf returns the target of an open flow: the recorded one, unless it is gone and
// the target of the cookie is not; without a recorded one the target that another VM has told of, or
// that of the cookie, or nil. The recorded one takes precedence, since the caller returns the cookie
// that it received last: with two answers to its SYNs it may be that of another target. While the
// flow is opening here only the cookie and other VMs show which target has answered.
func (f *Forwarder) targetOf(now time.Duration, p flow.Packet, route *catalog.Route, r *record) *catalog.Target {
	var fromCookie *catalog.Target
	if p.Cookie != 0 {
		fromCookie = f.view.ByCookie(p.Cookie, route)
	}
	if r == nil || r.phase == opening || r.target == nil {
		if hinted := f.hintedTarget(now, p, route); hinted != nil {
			return hinted
		}
		return fromCookie
	}
	if r.target.Gone(now) && fromCookie != nil && !fromCookie.Gone(now) {
		return fromCookie
	}
	return r.target
}

// adoptedBy returns what names t as the target of the first packet of a flow without a record.
func adoptedBy(p flow.Packet, t *catalog.Target) Adoption {
	if p.Cookie == t.Cookie {
		return AdoptedByCookie
	}
	return AdoptedByHint
}

// receiveUnknownTarget returns the verdict on a packet whose target is unknown.
func (f *Forwarder) receiveUnknownTarget(now time.Duration, p flow.Packet, route *catalog.Route, r *record) Verdict {
	if p.Cookie == 0 {
		return Verdict{Action: Drop, Reason: NoCookie, Route: route}
	}
	if r == nil {
		r = f.flows.add(p.Flow, now)
		r.phase = open
	}
	r.lastSeen = now
	firstPacket := r.unknownSince == 0
	if firstPacket {
		r.unknownSince = now
	}
	if f.view.Ready(now) && f.view.Fresh(now) && now >= r.unknownSince+f.config.ApplyWithin {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: UnknownForLong, Route: route, NewDecision: true}
	}
	return Verdict{Action: Drop, Reason: UnknownCookie, Route: route, NewDecision: firstPacket}
}

// isConfirmedGone reports whether t is gone from the catalog and has not responded
// lately, so that its flows can't continue. While the catalog is not fresh, this holds only
// for targets that have announced their end: the entry of another one may have expired
// because the target could not reach the store, and can't be written again yet. After a rewind of
// the store it holds for none, since the older copy may lack the entry of any.
func (f *Forwarder) isConfirmedGone(now time.Duration, t *catalog.Target) bool {
	mayReturn := t.State == catalog.Ready || f.view.Rewound(now)
	if !t.Gone(now) || mayReturn && !f.view.Fresh(now) {
		return false
	}
	alive, ok := f.evidence[t.Slot].LastAlive()
	return !ok || now-alive >= aliveWindow
}

// shouldReset reports whether a flow with a request in progress is reset, and why: it is
// stuck and its target's domain is unreachable, or the target is dead and more others of
// the service respond than are dead. A flow with a non-idempotent request is not reset for
// this: the caller would not retry, and a target behind a partition may still run the request.
func (f *Forwarder) shouldReset(now time.Duration, r *record, t *catalog.Target, route *catalog.Route) (reason Reason, reset bool) {
	if !r.active || route == nil || route.Kind == catalog.NonIdempotent || !f.canJudgeTargets(now) {
		return 0, false
	}
	if r.retransmits >= stuckRetransmits && f.isDomainUnreachable(now, t) {
		return DomainUnreachable, true
	}
	return TargetSilent, f.evidence[t.Slot].Dead(now) && f.othersRespond(now, t)
}

// othersRespond reports whether more of the other targets of t's service respond than
// are unresponsive. If not, this VM is more likely partitioned from them.
func (f *Forwarder) othersRespond(now time.Duration, t *catalog.Target) bool {
	responding, unresponsive := 0, 0
	for _, other := range f.view.Service(t.Service) {
		if other == t || !other.Listed {
			continue
		}
		alive, ok := f.evidence[other.Slot].LastAlive()
		switch {
		case ok && now-alive < aliveWindow:
			responding++
		case f.evidence[other.Slot].Unresponsive(now):
			unresponsive++
		}
	}
	return responding > unresponsive
}

// minElapsed is the duration reported for events within one step, which have the same
// time. Verdicts use 0 for a duration that was not measured.
const minElapsed = time.Nanosecond

// updateFlow updates the flow's record and the target's evidence from a packet of an
// open flow. It returns how long the target took to accept the flow and to answer a
// request; 0 when the packet does not acknowledge either.
func (f *Forwarder) updateFlow(now time.Duration, r *record, t *catalog.Target, p flow.Packet) (connectTime, responseTime time.Duration) {
	tracker := &f.evidence[t.Slot]
	progress := r.phase == opening || newer(p.Ack, r.ack)
	if r.phase == opening {
		r.phase = open
		r.ack = p.Ack
		connectTime = max(now-r.synAt, minElapsed)
	}
	r.lastSeen = now
	if progress {
		tracker.RecordAlive(now)
		f.cold.recordResponse(now, t)
		r.ack = p.Ack
		r.retransmits = 0
		r.stuck = false
		if r.active {
			responseTime = max(now-r.requestAt, minElapsed)
		}
		f.setActive(r, t, false)
	}
	end := p.Seq + uint32(p.Len)
	if p.Len > 0 && r.hasData && !newer(end, r.seqEnd) {
		f.recordRetransmission(now, p.Flow.Caller, r, tracker)
	} else if p.Len > 0 {
		r.hasData = true
		r.seqEnd = end
		r.lastDataAt = now
		if !r.active {
			r.requestAt = now
		}
		f.setActive(r, t, true)
	}
	if p.Flags.Has(flow.FIN) {
		r.phase = closing
	}
	return connectTime, responseTime
}

// recordRetransmission records retransmitted data. One that closely follows the
// previous data is ignored: both were queued at this VM while it was paused or slow,
// so that the target had no time to respond.
func (f *Forwarder) recordRetransmission(now time.Duration, caller flow.Endpoint, r *record, tracker *evidence.Tracker) {
	if now-r.lastDataAt < minResponseTime {
		return
	}
	f.cold.recordSilence(now, r.lastDataAt, r.target)
	r.lastDataAt = now
	r.retransmits++
	tracker.RecordRetransmission(now)
	if r.retransmits >= stuckRetransmits && !r.stuck && f.canJudgeTargets(now) {
		r.stuck = true
		tracker.RecordStuckFlow(now, evidence.Caller(caller.IP))
	}
}
