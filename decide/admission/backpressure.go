package admission

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

const (
	// minClosed and maxClosed bound how long a kind is closed at the ingress VMs,
	// and the retry delay of a refusal. The owner resends the notice while the kind
	// stays closed, so a longer time would only delay its reopening.
	minClosed = 10 * time.Millisecond
	maxClosed = time.Second
	// concentrationFactor is n: if one bucket holds 1/n of a kind's items or more, they
	// are assumed to come from one or two callers. A single caller fills its two buckets
	// evenly.
	concentrationFactor = 3
	// pairBuckets is the number of buckets that two callers fill. If so many hold
	// pairShare of a kind's items, and one of them more than one item, the items are
	// assumed to come from two callers, or three.
	pairBuckets = 4
	pairShare   = 2.0 / 3
)

// retryAfter estimates how long it takes to serve the present queue of k, within
// minClosed and maxClosed.
func (q *Queue) retryAfter(k *kind) time.Duration {
	return clampClosed(q.expectedWait(k, k.len+1))
}

func clampClosed(d time.Duration) time.Duration {
	return min(max(d, minClosed), maxClosed)
}

// ClosedFor returns how long ingress VMs shall refuse new requests of a kind, or
// 0 if the kind is open or unknown. A kind closes when its items would be refused:
// the queue and the kind's share of it are 7/8 full, or the expected wait plus service
// time exceeds the longest recent time from request to deadline. It opens again at
// half of these bounds. Concentrated items, as of one or two callers that fill the queue,
// do not close the kind, since the ingress VMs would refuse all of its callers, and Offer
// only these; see concentrationFactor. The time returned is that in which half of
// the kind's waiting items are served, from 10 ms to 1 s.
func (q *Queue) ClosedFor(now time.Duration, id message.KindID) time.Duration {
	k := q.kind(id)
	if k == nil {
		return 0
	}
	k.closed = q.overloaded(now, k)
	if !k.closed {
		return 0
	}
	return clampClosed(q.expectedWait(k, (k.len+1)/2))
}

// overloaded reports whether k closes or stays closed; see ClosedFor.
func (q *Queue) overloaded(now time.Duration, k *kind) bool {
	if k.len == 0 || k.concentrated() {
		return false
	}
	scale := 1.0
	if k.closed {
		scale = 0.5
	}
	room := float64(q.capacity) * k.servingShare() / max(q.recentShares(now), k.servingShare())
	full := float64(q.waiting) >= scale*float64(q.capacity)*7/8
	if full && float64(k.len) >= scale*room*7/8 {
		return true
	}
	wait := q.expectedWait(k, k.len) + k.expectedService()
	return wait.Seconds() > scale*k.budget
}

// concentrated reports whether a few buckets hold so many of the waiting items that they
// are assumed to come from one to three callers; see concentrationFactor and pairShare.
func (k *kind) concentrated() bool {
	longest := k.longestLengths()
	if longest[0]*concentrationFactor >= k.len {
		return true
	}
	var pair int32
	for _, n := range longest {
		pair += n
	}
	return longest[0] > 1 && float64(pair) >= pairShare*float64(k.len)
}

// longestLengths returns the lengths of the longest buckets, in descending order.
func (b *buckets) longestLengths() [pairBuckets]int32 {
	var longest [pairBuckets]int32
	for i := range b.all {
		n := b.all[i].len
		for j := range longest {
			if n > longest[j] {
				n, longest[j] = longest[j], n
			}
		}
	}
	return longest
}
