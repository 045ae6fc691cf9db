package store

import (
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/store"
)

type loss int

const (
	notLost    loss = iota
	lostBefore      // the write is not made
	lostAfter       // the write is made
)

// faults are the faults in force.
type faults struct {
	outage bool
	delay  time.Duration
	losses []loss // of the next writes
}

func (f *faults) nextLoss() loss {
	if len(f.losses) == 0 {
		return notLost
	}
	next := f.losses[0]
	f.losses = f.losses[1:]
	return next
}

// SetOutage starts or ends an outage. Calls fail with store.ErrUnavailable and
// waiting watches end.
func (e *Engine) SetOutage(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.outage = on
	if on {
		e.endWatches()
	}
}

// DropWatches ends all waiting watches, as a restart of the store does.
func (e *Engine) DropWatches() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endWatches()
}

func (e *Engine) endWatches() {
	for s := range e.watches {
		s.end(fmt.Errorf("watch was dropped: %w", store.ErrUnavailable))
	}
}

// SetDelay makes clients wait before each call is made.
func (e *Engine) SetDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.delay = d
}

func (e *Engine) delay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.delay
}

// LoseAnswer makes the next write (after those of earlier LoseAnswer calls)
// fail with store.ErrUncertain. With effect the write is made nevertheless.
func (e *Engine) LoseAnswer(effect bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := lostBefore
	if effect {
		next = lostAfter
	}
	e.faults.losses = append(e.faults.losses, next)
}

// PassAnswer lets one write pass between those of LoseAnswer.
func (e *Engine) PassAnswer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.losses = append(e.faults.losses, notLost)
}

// ExpireLease ends a lease at once, as when its holder was paused.
func (e *Engine) ExpireLease(id store.LeaseID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drop(id)
}

// Compact drops the revisions below oldest.
func (e *Engine) Compact(oldest int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history.compact(oldest)
}
