package admission

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// slotGrace is how long after its deadline a request may still hold a slot. It
// covers an answer or a cancellation on its way. Afterwards the target is
// assumed to have given the request up.
const slotGrace = 500 * time.Millisecond

// occupied is the kind of a slot that a previous owner uses.
const occupied = -1

// flight is one slot in use.
type flight struct {
	key   message.RequestKey
	kind  int // index, or occupied
	until time.Duration
}

// start gives a slot to item and charges its kind.
func (q *Queue) start(now time.Duration, k *kind, item Item) {
	q.charge(k)
	k.served.add(now, k.service)
	k.usual.fresh += k.service
	k.inFlight++
	q.addFlight(flight{key: item.Key, kind: int(item.Kind), until: item.Deadline})
}

func (q *Queue) addFlight(f flight) {
	q.flights = append(q.flights, f)
	q.known[f.key] = ref(-len(q.flights))
}

// Finish frees the slot of a request that ended and feeds its service time into
// the estimate of its kind. Unknown keys are ignored.
func (q *Queue) Finish(now time.Duration, key message.RequestKey, took time.Duration) {
	i := q.flight(key)
	if i == none {
		return
	}
	if kind := q.flights[i].kind; kind != occupied {
		q.kinds[kind].sample(now, took)
	}
	q.endFlight(i)
}

// Release frees the slot of a request that was shed or whose deadline passed.
// The estimates stay. Unknown keys are ignored.
func (q *Queue) Release(key message.RequestKey) {
	if i := q.flight(key); i != none {
		q.endFlight(i)
	}
}

// Occupy takes a slot for a request that a previous owner has at the target,
// for at most the grace time after until. It may exceed the limit; nothing is
// dispatched before enough slots are free. A waiting item with the key is left alone.
func (q *Queue) Occupy(key message.RequestKey, until time.Duration) {
	if _, ok := q.known[key]; ok {
		return
	}
	q.addFlight(flight{key: key, kind: occupied, until: until})
}

// Expire frees the slots whose deadline passed more than 500 ms ago and reports
// their keys. report must not call the queue.
func (q *Queue) Expire(now time.Duration, report func(key message.RequestKey)) {
	for i := len(q.flights) - 1; i >= 0; i-- {
		f := q.flights[i]
		if f.until+slotGrace > now {
			continue
		}
		q.endFlight(i)
		report(f.key)
	}
}

// flight returns the index of the slot that key holds, or none.
func (q *Queue) flight(key message.RequestKey) int {
	r, ok := q.known[key]
	if !ok || r >= 0 {
		return none
	}
	return int(-r) - 1
}

// endFlight frees slot i and moves the last one into its place.
func (q *Queue) endFlight(i int) {
	f := q.flights[i]
	if f.kind != occupied {
		q.kinds[f.kind].inFlight--
	}
	last := len(q.flights) - 1
	delete(q.known, f.key)
	if i != last {
		q.flights[i] = q.flights[last]
		q.known[q.flights[i].key] = ref(-i - 1)
	}
	q.flights = q.flights[:last]
}
