package admission

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// slotGracePeriod is how long after its deadline a request may still occupy a slot.
// It covers an answer or a cancellation in transit. Afterwards the target is
// assumed to have abandoned the request.
const slotGracePeriod = 500 * time.Millisecond

// previousOwnerKind is the kind of a slot whose request was dispatched by a previous owner.
const previousOwnerKind = -1

// busySlot is a slot in use.
type busySlot struct {
	key      message.RequestKey
	kind     int // index into Queue.kinds, or previousOwnerKind
	deadline time.Duration
}

// dispatch assigns a slot to item and charges its kind.
func (q *Queue) dispatch(now time.Duration, k *kind, item Item) {
	q.charge(k)
	k.served.add(now, k.service)
	k.usage.pending += k.service
	k.inFlight++
	q.addBusySlot(busySlot{key: item.Key, kind: int(item.Kind), deadline: item.Deadline})
}

func (q *Queue) addBusySlot(s busySlot) {
	q.busySlots = append(q.busySlots, s)
	q.refs[s.key] = itemRef(-len(q.busySlots))
}

// Finish frees the slot of a request that ended and adds its service time to the
// estimate of its kind. Unknown keys are ignored.
func (q *Queue) Finish(now time.Duration, key message.RequestKey, serviceTime time.Duration) {
	i := q.busySlotIndex(key)
	if i == none {
		return
	}
	if kind := q.busySlots[i].kind; kind != previousOwnerKind {
		q.kinds[kind].recordServiceTime(now, serviceTime)
	}
	q.freeSlot(i)
}

// Release frees the slot of a request that was shed or whose deadline passed. It
// does not change the estimates. Unknown keys are ignored.
func (q *Queue) Release(key message.RequestKey) {
	if i := q.busySlotIndex(key); i != none {
		q.freeSlot(i)
	}
}

// Occupy marks a slot as used by a request that a previous owner dispatched to the
// target, until 500 ms after the deadline at most. It may exceed the limit; nothing
// is dispatched before enough slots are free. It has no effect if the key is known.
func (q *Queue) Occupy(key message.RequestKey, deadline time.Duration) {
	if _, ok := q.refs[key]; ok {
		return
	}
	q.addBusySlot(busySlot{key: key, kind: previousOwnerKind, deadline: deadline})
}

// Expire frees the slots whose deadline passed 500 ms ago or earlier and reports
// their keys. report must not call the queue.
func (q *Queue) Expire(now time.Duration, report func(key message.RequestKey)) {
	for i := len(q.busySlots) - 1; i >= 0; i-- {
		s := q.busySlots[i]
		if s.deadline+slotGracePeriod > now {
			continue
		}
		q.freeSlot(i)
		report(s.key)
	}
}

// busySlotIndex returns the index of the slot that key occupies, or none.
func (q *Queue) busySlotIndex(key message.RequestKey) int {
	r, ok := q.refs[key]
	if !ok || r >= 0 {
		return none
	}
	return int(-r) - 1
}

// freeSlot frees slot i and moves the last one into its place.
func (q *Queue) freeSlot(i int) {
	s := q.busySlots[i]
	if s.kind != previousOwnerKind {
		q.kinds[s.kind].inFlight--
	}
	last := len(q.busySlots) - 1
	delete(q.refs, s.key)
	if i != last {
		q.busySlots[i] = q.busySlots[last]
		q.refs[q.busySlots[i].key] = itemRef(-i - 1)
	}
	q.busySlots = q.busySlots[:last]
}
