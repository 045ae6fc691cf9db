package day

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumspan/gypsumspan/kernel"
)

// baseService implements kernel.Service with no dependencies and no rings; services of
// the emulator embed it.
type baseService struct{ name string }

// Name implements kernel.Service.
func (s baseService) Name() string { return s.name }

// Dependencies implements kernel.Service.
func (baseService) Dependencies() []string { return nil }

// Setup implements kernel.Service.
func (baseService) Setup(*kernel.Kernel) error { return nil }

// Connect implements kernel.Service.
func (baseService) Connect(*kernel.Kernel) error { return nil }

// event is a callback that is due at a time.
type event struct {
	at  time.Duration
	seq uint64 // insertion order, which orders events of the same time
	run func()
}

// timeline is the service "timeline": the event queue of the emulator. One duty runs
// all events in the order of their times. It also provides the random number streams.
type timeline struct {
	baseService
	clock   kernel.Clock
	gate    *kernel.Gate
	queue   eventQueue
	lastSeq uint64
	seed    uint64
}

const timelineName = "timeline"

func newTimeline(clock kernel.Clock, seed uint64) *timeline {
	return &timeline{baseService: baseService{timelineName}, clock: clock, gate: kernel.NewGate(), seed: seed}
}

// Connect implements kernel.Service.
func (t *timeline) Connect(k *kernel.Kernel) error {
	k.AddDuty(kernel.Duty{Name: timelineName, Gate: t.gate, Step: t.step})
	return nil
}

// now returns the time since the start of the run.
func (t *timeline) now() time.Duration { return t.clock.Now() }

// after schedules run in d from now.
func (t *timeline) after(d time.Duration, run func()) { t.at(t.now()+d, run) }

// at schedules run for a time since the start of the run.
func (t *timeline) at(at time.Duration, run func()) {
	t.lastSeq++
	heap.Push(&t.queue, event{at: at, seq: t.lastSeq, run: run})
	t.gate.Signal()
}

// every runs work now, and again after each interval until it returns false.
func (t *timeline) every(interval time.Duration, work func() bool) {
	if work() {
		t.after(interval, func() { t.every(interval, work) })
	}
}

func (t *timeline) step(now time.Duration) time.Duration {
	for len(t.queue) > 0 && t.queue[0].at <= now {
		heap.Pop(&t.queue).(event).run()
	}
	if len(t.queue) == 0 {
		return kernel.Idle
	}
	return t.queue[0].at
}

// stream returns a random number generator that is seeded by the run's seed and name.
// With a stream for each service, draws of one do not affect another: runs with
// different policies see the same requests, and the same targets are disrupted.
func (t *timeline) stream(name string) *rand.Rand {
	return rand.New(rand.NewPCG(t.seed, xxhash.Sum64String(name)))
}

// uniform returns a uniformly distributed duration in [low, high).
func uniform(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Float64()*float64(high-low))
}

// exponential returns an exponentially distributed duration of the given mean.
func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}

// eventQueue is a min-heap of events by time, then insertion order.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
