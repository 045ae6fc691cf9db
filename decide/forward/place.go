package forward

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/balance"
	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

// first decides on the first packet of a flow or a copy of it.
func (f *Forwarder) first(now time.Duration, p flow.Packet) Verdict {
	if !f.view.Ready(now) {
		return Verdict{Action: Drop, Reason: NotReady}
	}
	route := f.view.Route(p.Flow.Address)
	if route == nil {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: NoRoute, NewDecision: true}
	}
	r := f.flows.get(p.Flow)
	if r != nil && r.phase != opening {
		if r.phase == open && p.Ack > 0 {
			// A delayed copy of a flow that has opened meanwhile.
			return Verdict{Action: Drop, Reason: Continued, Target: r.target, Route: route}
		}
		// The caller uses the port again.
		f.forget(p.Flow)
		r = nil
	}
	if r != nil && r.tries > 0 && now-r.sentAt < answerTime && !r.target.Gone(now) {
		// A duplicate, or a copy that has waited at this VM with its predecessor.
		return f.place(now, r, route, r.target, Placed, false)
	}
	if r == nil && !f.admit(now, p, route) {
		return Verdict{Action: Reset, Reason: Shed, Route: route, NewDecision: true}
	}
	if r == nil {
		r = f.flows.add(p.Flow, now)
	} else if r.target != nil {
		f.evidence[r.target.Slot].RecordUnanswered(now, r.sentAt)
	}
	t := f.choose(now, p.Flow, route, r)
	if t == nil {
		f.forget(p.Flow)
		return Verdict{Action: Reset, Reason: NoTarget, Route: route, NewDecision: true}
	}
	reason := Placed
	if r.tries > 0 || p.Ack > 0 {
		reason = PlacedAgain
	}
	return f.place(now, r, route, t, reason, true)
}

func (f *Forwarder) place(now time.Duration, r *record, route *catalog.Route, t *catalog.Target, reason Reason, decided bool) Verdict {
	r.seen = now
	if decided {
		if r.tries < maxTried {
			r.tried[r.tries] = t
			r.tries++
		}
		f.assign(r, t)
		r.sentAt = now
		f.evidence[t.Slot].RecordPlacement(now)
	}
	return Verdict{Action: Forward, Reason: reason, Target: t, Cookie: t.Cookie, Route: route, NewDecision: decided}
}

// choose returns the target of a new flow, or nil. It prefers targets that
// answer to silent ones, the own failure domain to others, and targets that were
// not tried for this flow to those that were.
func (f *Forwarder) choose(now time.Duration, k flow.Key, route *catalog.Route, r *record) *catalog.Target {
	hash := k.Hash()
	service := serviceOf(route, hash)
	targets := f.view.Service(service)
	f.preferred = f.domainFor(now, service, route.Kind, hash)
	for rank := range ranks {
		f.collect(now, targets, r, rank)
		if i := balance.Choose(hash^f.config.Seed, f.choices); i >= 0 {
			return f.chosen[i]
		}
	}
	return nil
}

// The ranks of candidates, the best first.
const (
	preferredAnswering = iota
	localAnswering
	anyAnswering
	localSilent
	anySilent
	anyTried
	ranks
)

// collect fills choices with the candidates of one rank.
func (f *Forwarder) collect(now time.Duration, targets []*catalog.Target, r *record, rank int) {
	f.choices, f.chosen = f.choices[:0], f.chosen[:0]
	for _, t := range targets {
		if !t.AcceptsFlows(now) || !f.inRank(now, t, r, rank) {
			continue
		}
		f.choices = append(f.choices, balance.Candidate{
			ID:    t.Number,
			Slots: t.Slots,
			Cold:  now < t.ColdUntil,
			Load:  f.loads[t.Slot],
		})
		f.chosen = append(f.chosen, t)
	}
}

func (f *Forwarder) inRank(now time.Duration, t *catalog.Target, r *record, rank int) bool {
	if rank == anyTried {
		return true
	}
	if r.wasTried(t) {
		return false
	}
	if !t.Listed && f.evidence[t.Slot].Suspected() {
		// Its entry has lapsed, and it does not answer either.
		return false
	}
	switch rank {
	case preferredAnswering:
		return t.Domain == f.preferred && f.answers(now, t)
	case localAnswering:
		return t.Domain == f.config.Domain && f.answers(now, t)
	case anyAnswering:
		return f.answers(now, t)
	case localSilent:
		return t.Domain == f.config.Domain
	default:
		return true
	}
}

// answers reports whether nothing speaks against a target.
func (f *Forwarder) answers(now time.Duration, t *catalog.Target) bool {
	return !f.evidence[t.Slot].Silent(now) && !f.conduct[t.Slot].aside && !f.isCutOff(now, t)
}

func (r *record) wasTried(t *catalog.Target) bool {
	for _, tried := range r.tried[:r.tries] {
		if tried == t {
			return true
		}
	}
	return false
}

// serviceOf draws the service of a flow by the route's weights. Copies of the
// first packet draw the same on every VM.
func serviceOf(route *catalog.Route, hash uint64) string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	var total uint64
	for _, share := range route.Shares {
		total += uint64(share.Weight)
	}
	const salt = 0x5be0cd19137e2179 // makes the draw independent of the choice of the target
	draw := rendezvous.Mix(hash, salt) % total
	for _, share := range route.Shares {
		if draw < uint64(share.Weight) {
			return share.Service
		}
		draw -= uint64(share.Weight)
	}
	return route.Shares[0].Service
}
