package admission

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

const (
	// minClosed and maxClosed bound how long a kind is closed at the ingress VMs
	// and the retry delay of a refusal. The owner repeats the notice while the
	// kind stays closed, so a long time would only delay its reopening.
	minClosed = 10 * time.Millisecond
	maxClosed = time.Second
	// concentration: a queue of which one bucket holds this part or more (1/n)
	// comes from one or two callers.
	concentration = 3
)

// retryAfter estimates when the present queue of k is served.
func (q *Queue) retryAfter(k *kind) time.Duration {
	return clampClosed(q.waitFor(k, k.len+1))
}

func clampClosed(d time.Duration) time.Duration {
	return min(max(d, minClosed), maxClosed)
}

// ClosedFor returns how long ingress VMs shall refuse new requests of a kind, or
// 0 if the kind is open. A kind closes when its items would be refused: the
// queue is nearly full and the kind is over its share of it, or the wait exceeds
// the longest time that its callers gave recently. It opens again at half of both. A
// queue filled by one or two callers does not close the kind, since the ingress
// VMs would refuse all of its callers, while Offer refuses only these.
func (q *Queue) ClosedFor(now time.Duration, id message.KindID) time.Duration {
	k := q.kind(id)
	if k == nil {
		return 0
	}
	k.closed = q.overloaded(now, k)
	if !k.closed {
		return 0
	}
	return clampClosed(q.waitFor(k, (k.len+1)/2))
}

// overloaded reports whether k closes, or stays closed.
func (q *Queue) overloaded(now time.Duration, k *kind) bool {
	if k.len == 0 || k.concentrated() {
		return false
	}
	scale := 1.0
	if k.closed {
		scale = 0.5
	}
	room := float64(q.capacity) * k.part() / max(q.recentShares(now), k.part())
	full := float64(q.waiting) >= scale*float64(q.capacity)*7/8
	if full && float64(k.len) >= scale*room*7/8 {
		return true
	}
	wait := q.waitFor(k, k.len) + k.expected()
	return wait.Seconds() > scale*k.budget
}

// concentrated reports whether one or two callers fill the queue of the kind.
func (k *kind) concentrated() bool {
	longest := k.all[k.longest(none)].len
	return longest*concentration >= k.len
}
