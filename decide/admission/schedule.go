package admission

import (
	"math"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// floodFactor is how far the offered work of a kind must exceed its share before
// its slots are limited. It is above 1 because the meter of a kind of long items
// jumps by a large part of its share with each item.
const floodFactor = 1.5

// catchUp is the part of its share below which a flooding kind may hold one more
// slot. At 1, the noise of the meter grants that slot too often and the others
// wait longer; at 0.9, the callers of a flooding kind that do not flood lose more work.
const catchUp = 0.95

// pick returns the kind that may take a slot now, or nil. Kinds with waiting
// items are considered, and candidate as if it had one.
func (q *Queue) pick(now time.Duration, candidate *kind) *kind {
	if len(q.flights) >= q.limit {
		return nil
	}
	q.classify(now)
	return q.earliest(candidate)
}

// classify compares the offered work of each kind with its configured and its
// effective share of the slots among the kinds with recent demand.
//
// Kinds within both shares are served first, then those above one of them, then
// the others. The first two offer less than all slots unless kinds have grown
// within their configured shares, so a kind above its share still gets its
// effective one. By start tags alone, a kind of long items waits after each item
// until the flood has caught up in virtual time, even while its own demand is low.
//
// A kind that floods may also hold no more slots than its effective share,
// rounded up, and must leave at least one slot to the others. Without this, an
// item that arrives finds all slots taken by the flood and waits for the rest of
// a service time of the flooding kind, which may be many times its own. A
// flooding kind that was served much less than its share, since the others had
// all slots for a while, may hold one more.
func (q *Queue) classify(now time.Duration) {
	q.updateBaselines(now)
	shares := q.recentShares(now)
	q.setWeights(now, shares)
	for i := range q.kinds {
		k := &q.kinds[i]
		slots := float64(q.limit) / max(shares, k.share) // by share
		demand := k.demand.slots(now)
		k.fair = k.weight * slots
		granted := max(k.weight, k.share) * slots
		k.class = withinShare
		k.slots = q.limit
		if demand > min(k.weight, k.share)*slots {
			k.class = withinUsual
		}
		held := now < k.held
		if (held || demand > granted) && !q.starved(now, k) {
			k.class = aboveShare
		}
		if (held || demand > floodFactor*granted) && k.share < shares {
			k.slots = q.floodSlots(now, k)
		}
		if !q.protect {
			k.class, k.slots = withinShare, q.limit
		}
	}
}

// starved reports whether a kind that gave up a part of its share gets less than
// its usual work. The other kinds can take that part twice, once by their
// effective shares and once by growth within their configured ones.
func (q *Queue) starved(now time.Duration, k *kind) bool {
	usual, ok := k.usual.slots()
	return ok && k.weight < k.share && k.served.slots(now) < usual
}

// floodSlots returns how many slots the flooding kind k may hold.
func (q *Queue) floodSlots(now time.Duration, k *kind) int {
	slots := math.Ceil(k.fair)
	if k.served.slots(now) < catchUp*k.fair {
		slots++
	}
	return max(min(int(slots), q.limit-1), 1)
}

// earliest returns the kind to be served next among those that may take another
// slot, or nil.
func (q *Queue) earliest(candidate *kind) *kind {
	var best *kind
	for i := range q.kinds {
		k := &q.kinds[i]
		if k.len == 0 && k != candidate {
			continue
		}
		if k.inFlight >= k.slots {
			continue
		}
		if best == nil || q.before(k, best) {
			best = k
		}
	}
	return best
}

// before reports whether a is served before b: by class, then by start tag, then
// by urgency.
func (q *Queue) before(a, b *kind) bool {
	if a.class != b.class {
		return a.class < b.class
	}
	ta, tb := q.tag(a), q.tag(b)
	if ta != tb {
		return ta < tb
	}
	return a.urgency < b.urgency
}

// tag returns the start tag of the next item of k. It is never in the past, so
// that a kind gains no credit while it is idle or held back.
func (q *Queue) tag(k *kind) float64 {
	return max(k.start, q.virtual)
}

// charge advances virtual time to the start tag of k's next item and sets the
// tag of the item after it.
func (q *Queue) charge(k *kind) {
	q.virtual = q.tag(k)
	k.start = q.virtual + k.cost()
}

// recentShares returns the sum of the shares of the kinds with recent demand.
func (q *Queue) recentShares(now time.Duration) float64 {
	sum := 0.0
	for i := range q.kinds {
		if q.kinds[i].recent(now) {
			sum += q.kinds[i].share
		}
	}
	return sum
}

// tooLate reports whether a new item of bucket i is not expected to finish
// before its deadline.
func (q *Queue) tooLate(now time.Duration, k *kind, i int32, deadline time.Duration) bool {
	wait := q.waitFor(k, k.ahead(i))
	return now+wait+k.needed(now) > deadline
}

// waitFor returns the time in which k's present part of the slots serves the
// given number of items. With no slots it is 0, since nothing is known then.
func (q *Queue) waitFor(k *kind, items int32) time.Duration {
	slots := float64(q.limit) * k.part() / q.busyParts(k)
	if slots == 0 {
		return 0
	}
	return seconds(float64(items) * k.service / slots)
}

// busyParts returns the sum of the shares in force of k and of all kinds that
// wait or run.
func (q *Queue) busyParts(k *kind) float64 {
	sum := 0.0
	for i := range q.kinds {
		o := &q.kinds[i]
		if o == k || o.len > 0 || o.inFlight > 0 {
			sum += o.part()
		}
	}
	return sum
}

// overflow makes room in the full queue for an item of kind k and bucket i, or
// refuses it. The longest bucket of the kind most over its share gives way.
func (q *Queue) overflow(now time.Duration, item Item, k *kind, i int32) Verdict {
	over := q.mostOver(k)
	extra := int32(none)
	if over == k {
		extra = i
	}
	longest := over.longest(extra)
	if over == k && longest == i {
		return q.refuse(now, k, message.CauseQueueFull)
	}
	n := over.all[longest].tail
	v := q.refuse(now, over, message.CauseQueueFull)
	v.Outcome = Queued
	v.Victim = q.nodes[n].item
	v.HasVictim = true
	q.unqueue(n)
	q.enqueue(item, k, i)
	return v
}

// mostOver returns the kind with the most waiting items for its share, counting
// one more item of kind extra. Among equals the less urgent kind is returned.
func (q *Queue) mostOver(extra *kind) *kind {
	best, bestLoad := extra, float64(extra.len+1)/extra.part()
	for i := range q.kinds {
		k := &q.kinds[i]
		if k == extra || k.len == 0 {
			continue
		}
		load := float64(k.len) / k.part()
		if load > bestLoad || (load == bestLoad && k.urgency > best.urgency) {
			best, bestLoad = k, load
		}
	}
	return best
}
