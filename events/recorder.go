package events

import (
	"sync"
	"time"
)

// Recorder stores lines in memory. It is a fake log for tests.
type Recorder struct {
	mu     sync.Mutex
	lines  []Line
	notify chan struct{}
}

// NewRecorder returns a recorder and a logger that writes events of all levels to it.
// now is the logger's clock; nil means the system clock. The logger panics if the
// fields differ from the event's declaration, so that tests fail.
func NewRecorder(now func() time.Time) (*Recorder, *Logger) {
	if now == nil {
		now = time.Now
	}
	r := &Recorder{notify: make(chan struct{}, 1)}
	return r, newLogger(Debug, r.record, now)
}

func (r *Recorder) record(line Line) {
	if err := line.Event.Check(line.Fields); err != nil {
		panic(err)
	}
	r.mu.Lock()
	r.lines = append(r.lines, line)
	r.mu.Unlock()
	select {
	case r.notify <- struct{}{}:
	default:
	}
}

// Lines returns a copy of all recorded lines.
func (r *Recorder) Lines() []Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Line(nil), r.lines...)
}

// Count returns the number of recorded lines of event e.
func (r *Recorder) Count(e *Event) int {
	n := 0
	for _, line := range r.Lines() {
		if line.Event == e {
			n++
		}
	}
	return n
}

// Wait blocks until a line of event e is recorded and returns true. It returns false if
// done is closed first. Only one goroutine may call it at a time.
func (r *Recorder) Wait(e *Event, done <-chan struct{}) bool {
	for r.Count(e) == 0 {
		select {
		case <-r.notify:
		case <-done:
			return false
		}
	}
	return true
}
