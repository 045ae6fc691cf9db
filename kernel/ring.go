package kernel

import (
	"context"
	"fmt"
	"sync"
)

// OverflowPolicy says what Put does on a full ring.
type OverflowPolicy int

const (
	// Block waits until there is room. In a stepped kernel Put returns
	// ErrRingFull instead, and a duty must list the ring in Duty.Outputs.
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

// RingStats is a reading of one ring.
type RingStats struct {
	Name     string
	Capacity int    // items
	Depth    int    // items waiting now
	Puts     uint64 // items accepted since start
	Drops    uint64 // items dropped or refused since start
}

// Output is the producer's view of a ring's free room.
type Output interface {
	// Available returns the number of items that can be put without waiting or loss.
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

// NewRing returns a ring of capacity items that signals gate on every Put. The
// kernel lists it in its metrics under name.
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

// Put appends v. On a full ring it acts by the ring's policy. It returns
// ErrRingFull (policy Refuse) or ErrRingClosed; dropped items are only counted.
func (r *Ring[T]) Put(v T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.makeRoom(); err != nil {
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

// makeRoom applies the policy for a full ring. A ring that is still full
// afterwards drops the new item.
func (r *Ring[T]) makeRoom() error {
	for r.count == len(r.items) && !r.closed {
		switch {
		case r.policy == DropNewest:
			return nil
		case r.policy == DropOldest:
			r.take()
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

// Take removes and returns the oldest item. It never waits; ok is false when
// the ring is empty.
func (r *Ring[T]) Take() (v T, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		return v, false
	}
	v = r.take()
	r.notFull.Signal()
	return v, true
}

func (r *Ring[T]) take() T {
	var zero T
	v := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	return v
}

// Wait returns the oldest item, and waits for one on the ring's gate while it is
// empty. ok is false when ctx ends first. It is for blockers that are the only
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

// Len returns the number of waiting items.
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

// Stats returns a reading of the ring.
func (r *Ring[T]) Stats() RingStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RingStats{Name: r.name, Capacity: len(r.items), Depth: r.count, Puts: r.puts, Drops: r.drops}
}

// Close makes every later and every waiting Put fail with ErrRingClosed. Items
// in the ring can still be taken.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.notFull.Broadcast()
}
