package session

import (
	"container/heap"
	"time"
)

// timer is the timer of a call or a flow. It is one-shot and may be set again.
type timer struct {
	at       time.Duration
	sequence uint64 // order of creation; breaks ties between equal times
	index    int    // in the heap; -1: not set
	onExpiry func()
}

// timerQueue is a priority queue of the timers that are set, by expiry time.
type timerQueue struct {
	heap    timerHeap
	created uint64
}

func (q *timerQueue) newTimer(onExpiry func()) *timer {
	q.created++
	return &timer{sequence: q.created, index: -1, onExpiry: onExpiry}
}

func (q *timerQueue) set(t *timer, at time.Duration) {
	t.at = at
	if t.index < 0 {
		heap.Push(&q.heap, t)
		return
	}
	heap.Fix(&q.heap, t.index)
}

func (q *timerQueue) stop(t *timer) {
	if t.index >= 0 {
		heap.Remove(&q.heap, t.index)
	}
}

// popDue removes and returns the earliest timer that has expired at now, or nil.
func (q *timerQueue) popDue(now time.Duration) *timer {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return nil
	}
	return heap.Pop(&q.heap).(*timer)
}

// next returns the earliest expiry time, or fallback if no timer is set.
func (q *timerQueue) next(fallback time.Duration) time.Duration {
	if len(q.heap) == 0 {
		return fallback
	}
	return q.heap[0].at
}

// timerHeap implements heap.Interface.
type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
