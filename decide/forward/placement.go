package forward

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/balance"
	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

// receiveSYN returns the verdict on a SYN or its retransmission.
func (f *Forwarder) receiveSYN(now time.Duration, p flow.Packet) Verdict {
	if isOutdated(p) {
		return Verdict{Action: Drop, Reason: Outdated, NewDecision: true}
	}
	if !f.view.Ready(now) {
		return Verdict{Action: Drop, Reason: NotReady}
	}
	route := f.view.Route(p.Flow.Address)
	if route == nil {
		f.forget(p.Flow)
		return f.refuseUnknownRoute()
	}
	r := f.flows.get(p.Flow)
	if r == nil && f.isKnownOpen(now, p) {
		return Verdict{Action: Drop, Reason: Continued, Route: route}
	}
	if r != nil && r.phase != opening {
		if r.phase == open && p.Ack > 0 || r.tries > 0 && r.synSeq == p.Seq {
			// A delayed retransmission or duplicate; the flow is open, or has been, by now.
			return Verdict{Action: Drop, Reason: Continued, Target: r.target, Route: route}
		}
		// The caller reuses the port for a new flow.
		f.forget(p.Flow)
		r = nil
	}
	if r != nil && r.tries > 0 && now-r.synAt < minResponseTime && !r.target.Gone(now) {
		return f.receiveDuplicateSYN(now, r, route)
	}
	if r == nil && !f.admit(now, p, route) {
		return Verdict{Action: Reset, Reason: Shed, Route: route, NewDecision: true}
	}
	if r == nil && f.isTooLate(now, p, route) {
		return Verdict{Action: Reset, Reason: TooLate, Route: route, NewDecision: true}
	}
	if r == nil && f.shouldDefer(now, p, route) {
		return Verdict{Action: Drop, Reason: Deferred, Route: route, NewDecision: true}
	}
	if r == nil {
		r = f.flows.add(p.Flow, now)
		r.synSeq, r.copied, r.firstSYNAt = p.Seq, p.Ack > 0, now
	} else if r.target != nil {
		f.evidence[r.target.Slot].RecordUnanswered(now, r.synAt)
		f.cold.recordSilence(now, r.synAt, r.target)
		f.recordUnansweredBy(now, r.synAt, r.target)
		if action := f.retryOf(now, p, r, route); action != tryAnother {
			return f.retrySame(now, r, route, action)
		}
	}
	t := f.choose(now, p.Flow, route, r)
	if t == nil && r.target != nil && f.cold.isLimited(now, r.target, &f.evidence[r.target.Slot]) {
		// The cold target may still answer; after a reset it would be late, and the request of a
		// flow that has opened meanwhile would be lost.
		return Verdict{Action: Drop, Reason: ColdLimit, Target: r.target, Route: route, NewDecision: true}
	}
	if t == nil {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: f.noTargetReason(now, p.Flow, route), Route: route, NewDecision: true}
	}
	reason := Placed
	if r.tries > 0 || p.Ack > 0 {
		reason = PlacedAgain
	}
	return f.forwardTo(now, r, route, t, reason, true)
}

// refuseUnknownRoute returns the verdict on a SYN whose route the catalog lacks. While the VM knows
// that the catalog may be old it does not refuse what a newer configuration may allow: the caller
// sends the SYN again.
func (f *Forwarder) refuseUnknownRoute() Verdict {
	if f.lacksChanges || f.view.StoreIsLost() {
		return Verdict{Action: Drop, Reason: UnknownRoute, NewDecision: true}
	}
	return Verdict{Action: Reset, Reason: NoRoute, NewDecision: true}
}

// forwardTo returns the verdict that forwards a SYN to t. A new decision is recorded in
// r and in the evidence of t.
func (f *Forwarder) forwardTo(now time.Duration, r *record, route *catalog.Route, t *catalog.Target, reason Reason, newDecision bool) Verdict {
	r.lastSeen = now
	if newDecision {
		r.addTried(triedTarget{t, t.Born})
		f.assign(r, t)
		r.synAt = now
		r.repeated, r.leftOut = false, false
		f.evidence[t.Slot].RecordPlacement(now)
		f.cold.recordPlacement(now, t)
		f.recordPlaced(now, t.Service)
	}
	return Verdict{Action: Forward, Reason: reason, Target: t, Cookie: t.Cookie, Route: route, NewDecision: newDecision}
}

// choose returns the target of a new flow, or nil. It prefers targets that were not yet
// tried for this flow, of these the healthy ones, and of these the failure domain that
// domainFor returns, then the local domain, unless they are depleted. The constants of the ranks
// give the full order.
func (f *Forwarder) choose(now time.Duration, k flow.Key, route *catalog.Route, r *record) *catalog.Target {
	hash := k.Hash()
	service := serviceOf(route, hash)
	targets := f.view.Service(service)
	f.preferredDomain = f.domainFor(now, service, route.Kind, hash)
	f.cold.beginChoice()
	f.preferredDepleted, f.localDepleted = false, false
	if f.cold.limited {
		f.preferredDepleted = f.isDepleted(now, targets, route, f.preferredDomain)
		f.localDepleted = f.isDepleted(now, targets, route, f.config.Domain)
	}
	for rank := range ranks {
		f.collectCandidates(now, targets, route, r, rank)
		if i := balance.ChooseBy(f.choice(now, service, hash), f.candidates); i >= 0 {
			return f.candidateTargets[i]
		}
	}
	return nil
}

// The ranks of candidates, best first.
const (
	preferredHealthy = iota // in the domain that domainFor returned
	localHealthy            // in the VM's own domain
	anyHealthy
	localUnhealthy
	anyUnhealthy
	anyTried // also those already tried for this flow
	ranks
)

// collectCandidates sets candidates and candidateTargets to those of one rank.
func (f *Forwarder) collectCandidates(now time.Duration, targets []*catalog.Target, route *catalog.Route, r *record, rank int) {
	f.candidates, f.candidateTargets = f.candidates[:0], f.candidateTargets[:0]
	responseTime := f.meanResponseTime(route)
	for _, t := range targets {
		if e := f.exclusion(now, t, route); e != notExcluded || !f.inRank(now, t, r, rank) {
			f.cold.countExclusion(e)
			continue
		}
		f.candidates = append(f.candidates, f.candidate(now, t, responseTime))
		f.candidateTargets = append(f.candidateTargets, t)
	}
}

func (f *Forwarder) inRank(now time.Duration, t *catalog.Target, r *record, rank int) bool {
	if rank == anyTried {
		// A SYN that is sent again to a cold target counts as another flow.
		return !r.wasTried(t) || !f.cold.isLimited(now, t, &f.evidence[t.Slot])
	}
	if r.wasTried(t) {
		return false
	}
	if !t.Listed && f.evidence[t.Slot].Suspected(now) {
		// Its entry has lapsed, and it has left packets unanswered.
		return false
	}
	switch rank {
	case preferredHealthy:
		return t.Domain == f.preferredDomain && !f.preferredDepleted && f.isHealthy(now, t)
	case localHealthy:
		return t.Domain == f.config.Domain && !f.localDepleted && f.isHealthy(now, t)
	case anyHealthy:
		return f.isHealthy(now, t)
	case localUnhealthy:
		return t.Domain == f.config.Domain
	default:
		return true
	}
}

// isHealthy reports whether t is neither silent, nor an outlier, nor unreachable.
func (f *Forwarder) isHealthy(now time.Duration, t *catalog.Target) bool {
	return !f.evidence[t.Slot].Silent(now) && !f.outlierStates[t.Slot].ejected && !f.isDomainUnreachable(now, t)
}

func (r *record) wasTried(t *catalog.Target) bool {
	for _, tried := range r.tried[:r.tries] {
		if tried.Target == t {
			return true
		}
	}
	return false
}

// serviceOf returns the service of a flow, drawn by the weights of the route's shares.
// The draw depends only on the flow's hash, so that every VM chooses the same service
// for a retransmitted SYN.
func serviceOf(route *catalog.Route, hash uint64) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	var total uint64
	for _, share := range route.Shares {
		total += uint64(share.Weight)
	}
	const salt = 0x5be0cd19137e2179 // decorrelates the draw from the choice of the target
	draw := rendezvous.Mix(hash, salt) % total
	for _, share := range route.Shares {
		if draw < uint64(share.Weight) {
			return share.Service
		}
		draw -= uint64(share.Weight)
	}
	return route.Shares[0].Service
}
