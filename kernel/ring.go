package kernel

import (
	"context"
	"fmt"
	"sync"
)

// OverflowPolicy determines what Put does on a full ring.
type OverflowPolicy int

const (
	// Block waits for a free slot. In a stepped kernel Put returns ErrRingFull
	// instead, and a duty must list the ring in Duty.Outputs.
	Block OverflowPolicy = iota
	// DropNewest discards the value passed to Put.
	DropNewest
	// DropOldest discards the oldest value in the ring.
	DropOldest
	// Refuse returns ErrRingFull.
	Refuse
)

// String returns the policy's name as it appears in metrics and logs.
func (p OverflowPolicy) String() string {
	switch p {
	case Block:
		return "block"
	case DropNewest:
		return "drop_newest"
	case DropOldest:
		return "drop_oldest"
	case Refuse:
		return "refuse"
	default:
		return fmt.Sprintf("policy(%d)", int(p))
	}
}

// RingStats holds the metrics of one ring.
type RingStats struct {
	Name     string
	Capacity int    // items
	Depth    int    // items queued now
	Puts     uint64 // items accepted since start
	Drops    uint64 // items dropped or refused since start
}

// Output is the producer's view of a ring's free slots.
type Output interface {
	// Available returns the number of items that Put accepts without blocking or loss.
	Available() int
}

// Ring is a bounded FIFO queue between two duties. All methods are safe for
// concurrent use.
type Ring[T any] struct {
	name    string
	policy  OverflowPolicy
	gate    *Gate
	stepped bool

	mu      sync.Mutex
	notFull *sync.Cond
	items   []T
	head    int
	count   int
	puts    uint64
	drops   uint64
	closed  bool
}

// NewRing returns a ring of capacity items that signals gate when Put has added an item.
// Its metrics appear under name in k.Rings. It panics if capacity is below 1.
func NewRing[T any](k *Kernel, name string, capacity int, policy OverflowPolicy, gate *Gate) *Ring[T] {
	if capacity < 1 {
		panic(fmt.Sprintf("ring %s: capacity %d is below 1", name, capacity))
	}
	r := &Ring[T]{
		name:    name,
		policy:  policy,
		gate:    gate,
		stepped: k.stepped,
		items:   make([]T, capacity),
	}
	r.notFull = sync.NewCond(&r.mu)
	k.addRing(r)
	return r
}

// Put appends v. On a full ring it applies the ring's overflow policy. It returns
// ErrRingFull (policy Refuse, or policy Block in a stepped kernel) or ErrRingClosed. A
// dropped item is counted, but is not an error.
func (r *Ring[T]) Put(v T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.applyPolicy(); err != nil {
		return err
	}
	if r.count == len(r.items) {
		r.drops++
		return nil
	}
	r.items[(r.head+r.count)%len(r.items)] = v
	r.count++
	r.puts++
	r.gate.Signal()
	return nil
}

// applyPolicy applies the overflow policy if the ring is full. If it returns nil and the
// ring is still full (DropNewest), the caller drops the new item.
func (r *Ring[T]) applyPolicy() error {
	for r.count == len(r.items) && !r.closed {
		switch {
		case r.policy == DropNewest:
			return nil
		case r.policy == DropOldest:
			r.pop()
			r.drops++
		case r.policy == Refuse || r.stepped:
			r.drops++
			return fmt.Errorf("ring %s: %w", r.name, ErrRingFull)
		default:
			r.notFull.Wait()
		}
	}
	if r.closed {
		return fmt.Errorf("ring %s: %w", r.name, ErrRingClosed)
	}
	return nil
}

// Take removes and returns the oldest item. It never blocks; ok is false if the
// ring is empty.
func (r *Ring[T]) Take() (v T, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		return v, false
	}
	v = r.pop()
	r.notFull.Signal()
	return v, true
}

// pop removes and returns the oldest item of a ring that is not empty.
func (r *Ring[T]) pop() T {
	var zero T
	v := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	return v
}

// Wait removes and returns the oldest item; it blocks on the ring's gate while the ring
// is empty. ok is false if ctx ends first. It is for blockers that are the only
// reader of the gate.
func (r *Ring[T]) Wait(ctx context.Context) (v T, ok bool) {
	for {
		if v, ok = r.Take(); ok {
			return v, true
		}
		select {
		case <-r.gate.C():
		case <-ctx.Done():
			return v, false
		}
	}
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Available implements Output.
func (r *Ring[T]) Available() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.items) - r.count
}

// Stats returns the ring's metrics.
func (r *Ring[T]) Stats() RingStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RingStats{Name: r.name, Capacity: len(r.items), Depth: r.count, Puts: r.puts, Drops: r.drops}
}

// Close makes every later and every blocked Put fail with ErrRingClosed. Take still
// returns the queued items.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.notFull.Broadcast()
}
