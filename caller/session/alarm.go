package session

import (
	"container/heap"
	"time"
)

// alarm is the next time at which a call or a flow needs work.
type alarm struct {
	at    time.Duration
	order uint64 // of creation; makes equal times deterministic
	index int    // in the heap; -1: not set
	fire  func()
}

// alarms is a heap of set alarms by time.
type alarms struct {
	heap  alarmHeap
	count uint64
}

func (a *alarms) create(fire func()) *alarm {
	a.count++
	return &alarm{order: a.count, index: -1, fire: fire}
}

func (a *alarms) set(al *alarm, at time.Duration) {
	al.at = at
	if al.index < 0 {
		heap.Push(&a.heap, al)
		return
	}
	heap.Fix(&a.heap, al.index)
}

func (a *alarms) stop(al *alarm) {
	if al.index >= 0 {
		heap.Remove(&a.heap, al.index)
	}
}

// due takes the earliest alarm at or before now, or nil.
func (a *alarms) due(now time.Duration) *alarm {
	if len(a.heap) == 0 || a.heap[0].at > now {
		return nil
	}
	return heap.Pop(&a.heap).(*alarm)
}

// next returns the earliest time, or fallback if no alarm is set.
func (a *alarms) next(fallback time.Duration) time.Duration {
	if len(a.heap) == 0 {
		return fallback
	}
	return a.heap[0].at
}

// alarmHeap implements heap.Interface.
type alarmHeap []*alarm

func (h alarmHeap) Len() int { return len(h) }

func (h alarmHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h alarmHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *alarmHeap) Push(x any) {
	al := x.(*alarm)
	al.index = len(*h)
	*h = append(*h, al)
}

func (h *alarmHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = -1
	return last
}
