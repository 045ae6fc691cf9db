package baseline

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// Request is one request of a simulation.
type Request struct {
	Arrival     time.Duration // arrival
	ServiceTime time.Duration // time in a slot
	Timeout     time.Duration
	Kind        int // any number that the caller of the simulation gave
	Flood       bool
}

// Outcome is what became of a request.
type Outcome struct {
	Completed bool
	Latency   time.Duration // from arrival to the end
}

// RoundRobin serves requests, sorted by arrival, with a static limit of slots a
// target, first in first out, the targets in turn. A request that finds capacity
// waiting at its target is refused; one whose time-out has passed at its turn is
// dropped. The outcomes are in the order of the requests.
func RoundRobin(requests []Request, targets, slots, capacity int) []Outcome {
	queues := make([]fifo, targets)
	for i := range queues {
		queues[i].ends = make([]time.Duration, slots)
	}
	outcomes := make([]Outcome, len(requests))
	for i := range requests {
		outcomes[i] = queues[i%targets].serve(&requests[i], capacity)
	}
	return outcomes
}

// fifo is one target with its queue.
type fifo struct {
	ends   []time.Duration // when each slot is free
	starts []time.Duration // of the requests that wait
}

func (q *fifo) serve(r *Request, capacity int) Outcome {
	for len(q.starts) > 0 && q.starts[0] <= r.Arrival {
		q.starts = q.starts[1:]
	}
	if len(q.starts) >= capacity {
		return Outcome{}
	}
	slot := first(q.ends)
	start := max(r.Arrival, q.ends[slot])
	if start > r.Arrival {
		q.starts = append(q.starts, start)
	}
	if start >= r.Arrival+r.Timeout {
		return Outcome{}
	}
	end := start + r.ServiceTime
	q.ends[slot] = end
	return Outcome{Completed: end <= r.Arrival+r.Timeout, Latency: end - r.Arrival}
}

// first returns the index of the earliest time.
func first(times []time.Duration) int {
	return slices.Index(times, slices.Min(times))
}

// PeakWithoutOwner lets each of the VMs limit one target's requests by itself to the
// target's limit. Requests, sorted by arrival, come to random VMs and wait there.
// It returns the largest number of requests that were at the target at once.
func PeakWithoutOwner(requests []Request, vms, limit int, seed uint64) int {
	s := &shared{
		rng:      rand.New(rand.NewPCG(seed, 3)),
		limit:    limit,
		inFlight: make([]int, vms),
		waiting:  make([][]*Request, vms),
		ends:     make([]time.Duration, limit),
	}
	for i := range requests {
		s.finishUntil(requests[i].Arrival)
		vm := s.rng.IntN(vms)
		s.waiting[vm] = append(s.waiting[vm], &requests[i])
		s.send(requests[i].Arrival, vm)
	}
	return s.peak
}

// shared is one target that several VMs send to.
type shared struct {
	rng      *rand.Rand
	limit    int
	inFlight []int        // by VM
	waiting  [][]*Request // by VM
	ends     []time.Duration
	running  ends
	peak     int
}

// send passes a VM's waiting requests to the target as its own limit allows.
func (s *shared) send(now time.Duration, vm int) {
	for len(s.waiting[vm]) > 0 && s.inFlight[vm] < s.limit {
		r := s.waiting[vm][0]
		s.waiting[vm] = s.waiting[vm][1:]
		if now >= r.Arrival+r.Timeout {
			continue
		}
		slot := first(s.ends)
		s.ends[slot] = max(now, s.ends[slot]) + r.ServiceTime
		s.inFlight[vm]++
		heap.Push(&s.running, end{at: s.ends[slot], vm: vm})
		s.peak = max(s.peak, s.running.Len())
	}
}

func (s *shared) finishUntil(now time.Duration) {
	for s.running.Len() > 0 && s.running[0].at <= now {
		e := heap.Pop(&s.running).(end)
		s.inFlight[e.vm]--
		s.send(e.at, e.vm)
	}
}

// end is the end of a request at the target.
type end struct {
	at time.Duration
	vm int
}

// ends is a heap by time.
type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *ends) Push(x any) { *e = append(*e, x.(end)) }

// Pop implements heap.Interface.
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
