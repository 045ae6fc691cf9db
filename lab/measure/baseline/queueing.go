package baseline

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// Request is a request of a simulation.
type Request struct {
	Arrival     time.Duration // since the start of the simulation
	ServiceTime time.Duration // time for which it occupies a slot
	Timeout     time.Duration
	Kind        int // for the code that evaluates the outcomes; not used here
	Flood       bool
}

// Outcome is the outcome of a request.
type Outcome struct {
	Completed bool
	Latency   time.Duration // from arrival to completion
}

// RoundRobin simulates requests, sorted by arrival, that are assigned to the targets in turn.
// Each target executes at most slots requests at a time, first in, first out. A request is
// refused if queueCapacity requests wait at its target already, and dropped if its timeout
// expires before it has a slot. The outcomes are in the order of the requests.
func RoundRobin(requests []Request, targets, slots, queueCapacity int) []Outcome {
	queues := make([]fifo, targets)
	for i := range queues {
		queues[i].slotFreeAt = make([]time.Duration, slots)
	}
	outcomes := make([]Outcome, len(requests))
	for i := range requests {
		outcomes[i] = queues[i%targets].serve(&requests[i], queueCapacity)
	}
	return outcomes
}

// fifo is a target with its queue.
type fifo struct {
	slotFreeAt    []time.Duration // by slot: the time from which on it is free
	waitingStarts []time.Duration // start times of the waiting requests, in order
}

func (q *fifo) serve(r *Request, queueCapacity int) Outcome {
	for len(q.waitingStarts) > 0 && q.waitingStarts[0] <= r.Arrival {
		q.waitingStarts = q.waitingStarts[1:]
	}
	if len(q.waitingStarts) >= queueCapacity {
		return Outcome{}
	}
	slot := indexOfEarliest(q.slotFreeAt)
	start := max(r.Arrival, q.slotFreeAt[slot])
	if start > r.Arrival {
		q.waitingStarts = append(q.waitingStarts, start)
	}
	if start >= r.Arrival+r.Timeout {
		return Outcome{}
	}
	end := start + r.ServiceTime
	q.slotFreeAt[slot] = end
	return Outcome{Completed: end <= r.Arrival+r.Timeout, Latency: end - r.Arrival}
}

// indexOfEarliest returns the index of the earliest time.
func indexOfEarliest(times []time.Duration) int {
	return slices.Index(times, slices.Min(times))
}

// PeakWithoutOwner simulates VMs that each apply a target's limit to their own requests only.
// Requests, sorted by arrival, arrive at random VMs and wait there. It returns the largest
// number of requests that were at the target at the same time.
func PeakWithoutOwner(requests []Request, vms, limit int, seed uint64) int {
	s := &sharedTarget{
		rng:        rand.New(rand.NewPCG(seed, 3)),
		limit:      limit,
		inFlight:   make([]int, vms),
		waiting:    make([][]*Request, vms),
		slotFreeAt: make([]time.Duration, limit),
	}
	for i := range requests {
		s.finishUntil(requests[i].Arrival)
		vm := s.rng.IntN(vms)
		s.waiting[vm] = append(s.waiting[vm], &requests[i])
		s.send(requests[i].Arrival, vm)
	}
	return s.peak
}

// sharedTarget is a target to which several VMs send requests.
type sharedTarget struct {
	rng             *rand.Rand
	limit           int
	inFlight        []int        // by VM
	waiting         [][]*Request // by VM
	slotFreeAt      []time.Duration
	runningRequests completionHeap
	peak            int
}

// send sends a VM's waiting requests to the target until the VM has limit requests there.
func (s *sharedTarget) send(now time.Duration, vm int) {
	for len(s.waiting[vm]) > 0 && s.inFlight[vm] < s.limit {
		r := s.waiting[vm][0]
		s.waiting[vm] = s.waiting[vm][1:]
		if now >= r.Arrival+r.Timeout {
			continue
		}
		slot := indexOfEarliest(s.slotFreeAt)
		s.slotFreeAt[slot] = max(now, s.slotFreeAt[slot]) + r.ServiceTime
		s.inFlight[vm]++
		heap.Push(&s.runningRequests, completion{at: s.slotFreeAt[slot], vm: vm})
		s.peak = max(s.peak, s.runningRequests.Len())
	}
}

func (s *sharedTarget) finishUntil(now time.Duration) {
	for s.runningRequests.Len() > 0 && s.runningRequests[0].at <= now {
		e := heap.Pop(&s.runningRequests).(completion)
		s.inFlight[e.vm]--
		s.send(e.at, e.vm)
	}
}

// completion is the completion of a request of a VM at the target.
type completion struct {
	at time.Duration
	vm int
}

// completionHeap is a min-heap by time.
type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *completionHeap) Push(x any) { *e = append(*e, x.(completion)) }

// Pop implements heap.Interface.
func (e *completionHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
