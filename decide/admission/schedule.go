package admission

import (
	"math"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// floodThreshold is the ratio of offered work to the larger of a kind's two shares
// above which its slots are limited. It is above 1 because each item of a kind with
// long items raises the meter by a large part of the kind's share.
const floodThreshold = 1.5

// catchUpThreshold is a fraction of the effective share: a flooding kind that is
// served less than that may use one more slot. At 1, the noise of the meter grants
// that slot too often and other kinds wait longer; at 0.9, the callers of a flooding
// kind that do not flood lose more work.
const catchUpThreshold = 0.95

// pick returns the kind that gets the next free slot, or nil. It considers kinds
// with waiting items, and candidate as if it had one.
func (q *Queue) pick(now time.Duration, candidate *kind) *kind {
	if len(q.busySlots) >= q.limit {
		return nil
	}
	q.classify(now)
	return q.earliest(candidate)
}

// classify compares the offered work of each kind with its configured and its
// effective share of the slots among the kinds with recent demand.
//
// Kinds within both shares are served first, then those above one of them, then
// the others. The first two classes offer less work than all slots can take,
// unless kinds have grown within their configured shares, so a kind above both
// shares still gets its effective share. A kind counts as above both for
// floodHoldTime after a refusal in a flood, and never while it is starved. By
// start tags alone, a kind of long items waits after each item until the flood
// has caught up in virtual time, even while its own demand is low.
//
// While other kinds have recent demand, a kind that offers more than
// floodThreshold times its share, or is within floodHoldTime, may also use no
// more slots than its effective share, rounded up, and must leave at least one
// slot to the others. Without this limit, an item of another kind finds all slots
// busy and waits for the rest of a service time of the flooding kind, which may
// be many times its own. A flooding kind that was served much less than its
// share, since other kinds used all slots for a while, may use one more slot.
func (q *Queue) classify(now time.Duration) {
	q.updateBaselines(now)
	shares := q.recentShares(now)
	q.setEffectiveShares(now, shares)
	for i := range q.kinds {
		k := &q.kinds[i]
		slots := float64(q.limit) / max(shares, k.share) // per unit of share
		demand := k.demand.slots(now)
		k.fairSlots = k.effectiveShare * slots
		granted := max(k.effectiveShare, k.share) * slots
		k.class = withinBothShares
		k.slotLimit = q.limit
		if demand > min(k.effectiveShare, k.share)*slots {
			k.class = aboveOneShare
		}
		recentFlood := now < k.floodingUntil
		if (recentFlood || demand > granted) && !q.starved(now, k) {
			k.class = aboveBothShares
		}
		if (recentFlood || demand > floodThreshold*granted) && k.share < shares {
			k.slotLimit = q.floodSlotLimit(now, k)
		}
		if !q.classifyEnabled {
			k.class, k.slotLimit = withinBothShares, q.limit
		}
	}
}

// starved reports whether a kind that ceded a part of its share is served less than
// its baseline. Other kinds can use that part twice: by their effective shares and
// by growth within their configured ones.
func (q *Queue) starved(now time.Duration, k *kind) bool {
	usage, ok := k.usage.slots()
	return ok && k.effectiveShare < k.share && k.served.slots(now) < usage
}

// floodSlotLimit returns how many slots the flooding kind k may use.
func (q *Queue) floodSlotLimit(now time.Duration, k *kind) int {
	slots := math.Ceil(k.fairSlots)
	if k.served.slots(now) < catchUpThreshold*k.fairSlots {
		slots++
	}
	return max(min(int(slots), q.limit-1), 1)
}

// earliest returns the kind to be served next among those below their slot limit,
// or nil. It treats candidate as if it had a waiting item.
func (q *Queue) earliest(candidate *kind) *kind {
	var best *kind
	for i := range q.kinds {
		k := &q.kinds[i]
		if k.len == 0 && k != candidate {
			continue
		}
		if k.inFlight >= k.slotLimit {
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

// tag returns the start tag of the next item of k. It is never below the virtual
// time, so that a kind accumulates no credit while it is idle or limited.
func (q *Queue) tag(k *kind) float64 {
	return max(k.startTag, q.virtualTime)
}

// charge advances virtual time to the start tag of k's next item and sets the
// tag of the item after it.
func (q *Queue) charge(k *kind) {
	q.virtualTime = q.tag(k)
	k.startTag = q.virtualTime + k.cost()
}

// recentShares returns the sum of the shares of the kinds with recent demand.
func (q *Queue) recentShares(now time.Duration) float64 {
	sum := 0.0
	for i := range q.kinds {
		if q.kinds[i].hasRecentDemand(now) {
			sum += q.kinds[i].share
		}
	}
	return sum
}

// missesDeadline reports whether a new item of bucket i is expected to finish after
// its deadline.
func (q *Queue) missesDeadline(now time.Duration, k *kind, i int32, deadline time.Duration) bool {
	wait := q.expectedWait(k, k.itemsAhead(i))
	return now+wait+k.minTimeLeft(now) > deadline
}

// expectedWait returns the time in which k's present portion of the slots serves the
// given number of items. It is 0 if the target has no slots: no estimate exists then.
func (q *Queue) expectedWait(k *kind, items int32) time.Duration {
	slots := float64(q.limit) * k.servingShare() / q.activeShares(k)
	if slots == 0 {
		return 0
	}
	return seconds(float64(items) * k.service / slots)
}

// activeShares returns the sum of the serving shares of k and of all kinds with
// waiting or dispatched items.
func (q *Queue) activeShares(k *kind) float64 {
	sum := 0.0
	for i := range q.kinds {
		o := &q.kinds[i]
		if o == k || o.len > 0 || o.inFlight > 0 {
			sum += o.servingShare()
		}
	}
	return sum
}

// offerToFullQueue evicts a waiting item for an item of kind k and bucket i. The
// victim is the newest item in the longest bucket of the kind that exceeds its share
// most. If that bucket is i itself, the new item is refused instead.
func (q *Queue) offerToFullQueue(now time.Duration, item Item, k *kind, i int32) Verdict {
	over := q.mostOverShare(k)
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
	q.removeWaiting(n)
	q.enqueue(item, k, i)
	return v
}

// mostOverShare returns the kind with the most waiting items relative to its share,
// counting one more item of kind extra. Ties go to the less urgent kind.
func (q *Queue) mostOverShare(extra *kind) *kind {
	best, bestLoad := extra, float64(extra.len+1)/extra.servingShare()
	for i := range q.kinds {
		k := &q.kinds[i]
		if k == extra || k.len == 0 {
			continue
		}
		load := float64(k.len) / k.servingShare()
		if load > bestLoad || (load == bestLoad && k.urgency > best.urgency) {
			best, bestLoad = k, load
		}
	}
	return best
}
