package store

import (
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/store"
)

// writeFault is the fault injected into one write.
type writeFault int

const (
	noWriteFault   writeFault = iota
	lostNotApplied            // no response; the write is not applied
	lostApplied               // no response; the write is applied
)

// faults are the faults being injected.
type faults struct {
	outage      bool
	delay       time.Duration
	writeFaults []writeFault // of the next writes, in order
}

// nextWriteFault removes and returns the fault of the next write.
func (f *faults) nextWriteFault() writeFault {
	if len(f.writeFaults) == 0 {
		return noWriteFault
	}
	next := f.writeFaults[0]
	f.writeFaults = f.writeFaults[1:]
	return next
}

// SetOutage starts or ends an outage. During it calls fail with store.ErrUnavailable; its
// start terminates all open watches.
func (e *Engine) SetOutage(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.outage = on
	if on {
		e.endWatches()
	}
}

// DropWatches terminates all open watches, as a restart of the store does.
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

// SetDelay sets the delay before each call of a client is executed.
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

// LoseAnswer queues a fault: the next write that has no queued fault yet fails with
// store.ErrUncertain. If applied is true, the write takes effect nevertheless.
func (e *Engine) LoseAnswer(applied bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := lostNotApplied
	if applied {
		next = lostApplied
	}
	e.faults.writeFaults = append(e.faults.writeFaults, next)
}

// PassAnswer queues a write without a fault between those of LoseAnswer.
func (e *Engine) PassAnswer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.writeFaults = append(e.faults.writeFaults, noWriteFault)
}

// ExpireLease revokes a lease immediately, as if its holder had been paused for longer
// than the TTL.
func (e *Engine) ExpireLease(id store.LeaseID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revokeLease(id)
}

// Compact discards the history before revision oldest.
func (e *Engine) Compact(oldest int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history.compact(oldest)
}
