package coldstart

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/relay"
)

// Claim asks the store to write permits in one transaction: each on condition that its key was
// last written at Item.Revision, or does not exist if that is 0.
type Claim struct {
	ID    uint64
	Era   uint32 // of the store in which the conditions hold
	Items []relay.Item
}

// Answer is the outcome of a claim.
type Answer struct {
	ID  uint64
	Era uint32 // of the store that answered
	// Succeeded is set if the store has written the permits, and Failed if there was no answer
	// to rely on. Otherwise a condition did not hold.
	Succeeded, Failed bool
}

// Outcome is what an answer or a write to the store has decided.
type Outcome struct {
	Held    []string // targets whose permit this process holds now
	Refused []string // targets whose permit it does not get
	Tokens  int      // of the targets in Held
}

// claim is a claim that was sent.
type claim struct {
	era    uint32
	starts map[string]Start // by id of the target
	sentAt time.Duration
	ended  bool // it was answered, or has waited for answerTimeout
}

// HandleAnswer handles the outcome of a claim. An answer in another era than that of the claim's
// conditions is no permit: its conditions did not hold where the store answered.
func (h *Holder) HandleAnswer(now time.Duration, a Answer) Outcome {
	c := h.claims[a.ID]
	if c == nil {
		return Outcome{}
	}
	h.endClaim(now, a.ID, c)
	switch {
	case a.Failed:
		return Outcome{}
	case a.Succeeded && a.Era == c.era:
		return h.hold(now, c.starts)
	case a.Succeeded:
		return h.refuse(c)
	case len(c.starts) == 1:
		delete(h.claims, a.ID)
		return h.refuse(c)
	default:
		delete(h.claims, a.ID)
		for id, start := range c.starts {
			if t := h.targets[id]; t != nil && t.start == start {
				t.batch = max(1, len(c.starts)/batchDivisor)
			}
		}
		return Outcome{}
	}
}

// endClaim allows the targets of a claim to be claimed again after retryDelay.
func (h *Holder) endClaim(now time.Duration, id uint64, c *claim) {
	if c.ended {
		return
	}
	c.ended = true
	h.nextClaim = max(h.nextClaim, now+retryDelay)
	for targetID := range c.starts {
		if t := h.targets[targetID]; t != nil && t.claimed == id {
			t.claimed = 0
		}
	}
}

// hold makes this process the holder of permits.
func (h *Holder) hold(now time.Duration, starts map[string]Start) (o Outcome) {
	h.nextClaim = min(h.nextClaim, now)
	for _, id := range slices.Sorted(maps.Keys(starts)) {
		start, t := starts[id], h.targets[id]
		if h.pools[start] != nil || t == nil || t.start != start {
			// Held already, or the target is warm or has started again.
			continue
		}
		p := &pool{
			id: id, total: h.config.Limit.tokens(h.services[t.service]), assigned: make(map[relay.Process]int),
			at: now, until: t.coldUntil, unawareUntil: t.unawareUntil, permit: true,
		}
		h.pools[start] = p
		o.Held = append(o.Held, id)
		o.Tokens += p.total
	}
	return o
}

func (h *Holder) refuse(c *claim) (o Outcome) {
	for _, id := range slices.Sorted(maps.Keys(c.starts)) {
		if t := h.targets[id]; t != nil && t.start == c.starts[id] && h.pools[t.start] == nil {
			t.refused = true
			o.Refused = append(o.Refused, id)
		}
	}
	return o
}

// claimable returns the ids of the targets whose permits can be claimed: first those that were
// not part of a refused claim, and of these the ones that stay cold for the longest time.
func (h *Holder) claimable(now time.Duration) []string {
	var ids []string
	for id, t := range h.targets {
		if h.isClaimable(now, id, t) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		x, y := h.targets[a], h.targets[b]
		return cmp.Or(cmp.Compare(y.batch, x.batch), cmp.Compare(y.coldUntil, x.coldUntil), cmp.Compare(a, b))
	})
	return ids
}

func (h *Holder) isClaimable(now time.Duration, id string, t *target) bool {
	switch {
	case !t.listed || t.refused || t.claimed != 0 || t.start.Born == 0 || h.pools[t.start] != nil:
		return false
	case h.config.Limit.tokens(h.services[t.service]) == 0:
		return false
	case t.started && t.startedAfter >= h.cautiousFrom:
		// It has started since permits may be missing.
	case now < h.cautiousFrom+max(h.services[t.service].Duration, t.longest)+warmMargin:
		return false
	}
	// A permit of an earlier start or cold time is replaced. One that was read in another era has
	// no revision that a condition could name.
	p, exists := h.permits[id]
	earlier := p.born < t.start.Born || p.born == t.start.Born && p.revision < t.coldAgain
	return !exists || !p.malformed && earlier && p.revision.Era() == h.era
}

// deletions returns permits of the own domain that are no longer needed: the target is warm or
// gone, and was not cold for so long that no VM can take it for cold.
func (h *Holder) deletions(now time.Duration) []relay.Item {
	if now < h.nextDelete {
		return nil
	}
	h.nextDelete = now + deleteInterval
	age := max(minPermitAge, h.longest+warmMargin)
	var items []relay.Item
	for _, id := range slices.Sorted(maps.Keys(h.permits)) {
		p := h.permits[id]
		if p.malformed || p.domain != h.config.Domain || now-p.seenAt < age || h.targets[id] != nil || p.revision.Era() != h.era {
			continue
		}
		items = append(items, relay.Item{Key: h.config.Prefix + id, Revision: p.revision, Deleted: true})
		if len(items) == maxBatch {
			break
		}
	}
	return items
}
