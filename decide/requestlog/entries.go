package requestlog

import (
	"container/heap"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// add creates an entry without a state.
func (l *Log) add(key message.RequestKey, expires time.Duration) *entry {
	e := l.take()
	e.key = key
	e.expires = expires
	e.flow = l.flowOf(key.Flow)
	e.next = e.flow.first
	if e.next != nil {
		e.next.prev = e
	}
	e.flow.first = e
	l.entries[key] = e
	heap.Push(&l.expiry, e)
	return e
}

// take returns an empty entry, a reused one if possible.
func (l *Log) take() *entry {
	e := l.free
	if e == nil {
		return &entry{}
	}
	l.free = e.next
	e.next = nil
	return e
}

func (l *Log) flowOf(id message.FlowID) *flow {
	f := l.flows[id]
	if f == nil {
		f = &flow{}
		l.flows[id] = f
	}
	return f
}

// remove deletes an entry that is no longer in the heap.
func (l *Log) remove(e *entry) {
	if e.active() {
		e.flow.active--
	}
	l.answers.drop(e)
	e.unlink()
	delete(l.entries, e.key)
	parts := e.answer.parts[:0]
	*e = entry{next: l.free}
	e.answer.parts = parts
	l.free = e
}

// unlink takes e out of its flow's list.
func (e *entry) unlink() {
	if e.next != nil {
		e.next.prev = e.prev
	}
	if e.prev != nil {
		e.prev.next = e.next
		return
	}
	e.flow.first = e.next
}

// extend moves the expiry of e to a later time.
func (l *Log) extend(e *entry, expires time.Duration) {
	if expires <= e.expires {
		return
	}
	e.expires = expires
	heap.Fix(&l.expiry, e.heapIndex)
}

// Expire removes the entries whose deadline and retention have passed at now,
// raises the floor of their flows and reports each key, oldest first. The cost
// is logarithmic in the number of entries for each removed one. report must not
// call the log.
func (l *Log) Expire(now time.Duration, report func(key message.RequestKey)) {
	for len(l.expiry) > 0 && l.expiry[0].expires <= now {
		e := heap.Pop(&l.expiry).(*entry)
		key := e.key
		e.flow.floor = max(e.flow.floor, key.ID)
		l.remove(e)
		report(key)
	}
}

// Floor returns the highest id of a flow's expired requests, or 0.
func (l *Log) Floor(id message.FlowID) message.RequestID {
	f := l.flows[id]
	if f == nil {
		return 0
	}
	return f.floor
}

// RaiseFloor tells the log the floor of a flow that was handed over. Requests
// at or below it that have no entry are never dispatched.
func (l *Log) RaiseFloor(id message.FlowID, floor message.RequestID) {
	f := l.flowOf(id)
	f.floor = max(f.floor, floor)
}

// RemoveFlow forgets a flow with its entries and its floor. The caller must not
// accept requests of the flow under the same epoch afterwards, since the log
// can no longer tell whether they ran.
func (l *Log) RemoveFlow(id message.FlowID) {
	f := l.flows[id]
	if f == nil {
		return
	}
	for f.first != nil {
		e := f.first
		heap.Remove(&l.expiry, e.heapIndex)
		l.remove(e)
	}
	delete(l.flows, id)
}

// expiryHeap orders the entries by expiry; it implements heap.Interface.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push adds an *entry; container/heap calls it.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop removes the last *entry; container/heap calls it.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
