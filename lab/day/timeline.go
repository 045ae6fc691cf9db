package day

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumspan/gypsumspan/kernel"
)

// part is a service of the emulator without rings of its own.
type part struct{ name string }

// Name implements kernel.Service.
func (p part) Name() string { return p.name }

// Dependencies implements kernel.Service.
func (part) Dependencies() []string { return nil }

// Setup implements kernel.Service.
func (part) Setup(*kernel.Kernel) error { return nil }

// Connect implements kernel.Service.
func (part) Connect(*kernel.Kernel) error { return nil }

// event is work that is due at a time.
type event struct {
	at     time.Duration
	number uint64 // order among events of the same time
	run    func()
}

// timeline is the service "timeline": it runs events in the order of their times,
// on one duty. It also hands out the day's sources of randomness.
type timeline struct {
	part
	clock  kernel.Clock
	gate   *kernel.Gate
	queue  eventQueue
	number uint64
	seed   uint64
}

const timelineName = "timeline"

func newTimeline(clock kernel.Clock, seed uint64) *timeline {
	return &timeline{part: part{timelineName}, clock: clock, gate: kernel.NewGate(), seed: seed}
}

// Connect implements kernel.Service.
func (t *timeline) Connect(k *kernel.Kernel) error {
	k.AddDuty(kernel.Duty{Name: timelineName, Gate: t.gate, Step: t.step})
	return nil
}

// now returns the time since the start of the day.
func (t *timeline) now() time.Duration { return t.clock.Now() }

// after runs work once d has passed.
func (t *timeline) after(d time.Duration, run func()) { t.at(t.now()+d, run) }

// at runs work at a time.
func (t *timeline) at(at time.Duration, run func()) {
	t.number++
	heap.Push(&t.queue, event{at: at, number: t.number, run: run})
	t.gate.Signal()
}

// every runs work now and then at each interval while it returns true.
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

// stream returns a source of randomness of its own for a part of the day, so that
// what one part draws does not change what another gets: with two policies the same
// requests come, and the same targets are in trouble.
func (t *timeline) stream(name string) *rand.Rand {
	return rand.New(rand.NewPCG(t.seed, xxhash.Sum64String(name)))
}

// uniform returns a random time between low and high.
func uniform(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Float64()*float64(high-low))
}

// exponential returns a random time of the given mean.
func exponential(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}

// eventQueue is a heap, the earliest first.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].number < e[j].number
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
