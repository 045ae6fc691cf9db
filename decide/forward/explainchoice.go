package forward

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// CandidateStatus is what a VM would consider of one target for a new flow.
type CandidateStatus struct {
	ID             string `json:"id"`
	Domain         string `json:"domain"`
	Slots          int    `json:"slots"`
	Cold           bool   `json:"cold"`
	Flows          int    `json:"flows"` // of this VM
	ActiveRequests int    `json:"busy"`  // of this VM, at most one per flow
	// Excluded is why the target gets no flow of the route whatever else is available; empty:
	// it is not excluded, and Rank is its rank: targets of a better rank are preferred.
	Excluded string `json:"excluded,omitempty"`
	Rank     string `json:"rank,omitempty"`
	Chosen   bool   `json:"chosen,omitempty"`
}

// rankNames are the ranks as they appear in explanations, best first.
var rankNames = [ranks]string{"preferred_healthy", "local_healthy", "any_healthy", "local_unhealthy", "any_unhealthy", "any_tried"}

// triedWhileCold is the exclusion of a cold target that has got a SYN of the flow: it gets no copy, which
// would count as another flow.
const triedWhileCold = "tried_while_cold"

// rankOf returns the best rank of a target for a flow. ok is false if it has none.
func (f *Forwarder) rankOf(now time.Duration, t *catalog.Target, r *record) (rank int, ok bool) {
	for rank := range ranks {
		if f.inRank(now, t, r, rank) {
			return rank, true
		}
	}
	return 0, false
}

// nextChoice returns the target that the next SYN of a flow gets, or nil and why it gets none.
func (f *Forwarder) nextChoice(now time.Duration, k flow.Key, route *catalog.Route, r *record) (*catalog.Target, Reason) {
	if r.target != nil {
		switch f.retryOf(now, flow.Packet{Flow: k, Ack: 1}, r, route) {
		case tryAgain:
			return r.target, Repeated
		case leaveOut:
			return nil, f.leaveOutReason(now, r.target)
		}
	}
	t := f.choose(now, k, route, r)
	switch {
	case t != nil:
		return t, Placed
	case r.target != nil && f.cold.isLimited(now, r.target, &f.evidence[r.target.Slot]):
		return nil, ColdLimit
	default:
		return nil, f.noTargetReason(now, k, route)
	}
}

// scratchCopy returns a forwarder that chooses as f does. What a choice modifies is copied: the
// reused lists of candidates and the cache of the reachability of domains.
func (f *Forwarder) scratchCopy() *Forwarder {
	scratch := *f
	scratch.candidates, scratch.candidateTargets = nil, nil
	scratch.reachability = maps.Clone(f.reachability)
	return &scratch
}

// explainChoice adds the candidates for a SYN of flow k and the target that it would get, or why
// none. It is called on a scratch copy, since it chooses.
func (f *Forwarder) explainChoice(now time.Duration, k flow.Key, route *catalog.Route, e *Explanation) {
	if !f.view.Ready(now) {
		e.Refusal = NotReady.String()
		return
	}
	r := &record{}
	if known := f.flows.get(k); known != nil && known.phase == opening {
		*r = *known
	}
	chosen, refusal := f.nextChoice(now, k, route, r)
	if chosen == nil {
		e.Refusal = refusal.String()
	}
	for _, t := range f.view.Service(serviceOf(route, k.Hash())) {
		c := CandidateStatus{
			ID: t.ID, Domain: t.Domain, Slots: t.Slots, Cold: now < t.ColdUntil,
			Flows: f.loads[t.Slot].Flows, ActiveRequests: f.loads[t.Slot].ActiveRequests, Chosen: t == chosen,
		}
		if reason := f.exclusion(now, t, route); reason != notExcluded {
			c.Excluded = reason.String()
		} else if rank, ok := f.rankOf(now, t, r); ok {
			c.Rank = rankNames[rank]
		} else {
			c.Excluded = triedWhileCold
		}
		e.Candidates = append(e.Candidates, c)
	}
	slices.SortFunc(e.Candidates, func(a, b CandidateStatus) int { return cmp.Compare(a.ID, b.ID) })
}
