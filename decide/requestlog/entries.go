package requestlog

import (
	"container/heap"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// addEntry creates an entry without a state.
func (l *Log) addEntry(key message.RequestKey, expires time.Duration) *entry {
	e := l.newEntry()
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

// newEntry returns an empty entry, from the free list if possible.
func (l *Log) newEntry() *entry {
	e := l.freeList
	if e == nil {
		return &entry{}
	}
	l.freeList = e.next
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

// removeEntry deletes an entry that is no longer in the heap and adds it to the free list.
func (l *Log) removeEntry(e *entry) {
	if e.active() {
		e.flow.active--
	}
	l.answers.release(e)
	e.unlink()
	delete(l.entries, e.key)
	parts := e.answer.parts[:0]
	*e = entry{next: l.freeList}
	e.answer.parts = parts
	l.freeList = e
}

// unlink removes e from its flow's list.
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

// extendExpiry postpones the expiry of e.
func (l *Log) extendExpiry(e *entry, expires time.Duration) {
	if expires <= e.expires {
		return
	}
	e.expires = expires
	heap.Fix(&l.expiry, e.heapIndex)
}

// Expire removes the entries whose deadline and retention have passed, raises the floor of
// their flows and calls report with each key, in order of expiry. Removing an entry takes
// logarithmic time in the number of entries. report must not call the log.
func (l *Log) Expire(now time.Duration, report func(key message.RequestKey)) {
	for len(l.expiry) > 0 && l.expiry[0].expires <= now {
		e := heap.Pop(&l.expiry).(*entry)
		key := e.key
		e.flow.floor = max(e.flow.floor, key.ID)
		l.removeEntry(e)
		report(key)
	}
}

// Floor returns the highest id of a flow's expired requests, including those at previous
// owners (see RaiseFloor), or 0.
func (l *Log) Floor(id message.FlowID) message.RequestID {
	f := l.flows[id]
	if f == nil {
		return 0
	}
	return f.floor
}

// RaiseFloor raises the floor of a flow that was handed over. Requests with this id or a
// lower one that have no entry are never dispatched.
func (l *Log) RaiseFloor(id message.FlowID, floor message.RequestID) {
	f := l.flowOf(id)
	f.floor = max(f.floor, floor)
}

// RemoveFlow removes a flow with its entries and its floor. The caller must not accept
// requests of the flow under the same epoch afterwards, since the log can no longer
// determine whether they ran.
func (l *Log) RemoveFlow(id message.FlowID) {
	f := l.flows[id]
	if f == nil {
		return
	}
	for f.first != nil {
		e := f.first
		heap.Remove(&l.expiry, e.heapIndex)
		l.removeEntry(e)
	}
	delete(l.flows, id)
}

// expiryHeap is a min-heap of entries by expiry; it implements heap.Interface.
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
