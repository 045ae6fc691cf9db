package events

import (
	"sync"
	"time"
)

// Recorder keeps lines in memory. It is the fake of a log file for tests.
type Recorder struct {
	mu    sync.Mutex
	lines []Line
	seen  chan struct{}
}

// NewRecorder returns a recorder and a logger that writes every event to it.
// now is the logger's clock; nil means the system's clock. The logger panics
// when fields differ from the event's declaration, so that tests show it.
func NewRecorder(now func() time.Time) (*Recorder, *Logger) {
	if now == nil {
		now = time.Now
	}
	r := &Recorder{seen: make(chan struct{}, 1)}
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
	case r.seen <- struct{}{}:
	default:
	}
}

// Lines returns a copy of the lines so far.
func (r *Recorder) Lines() []Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Line(nil), r.lines...)
}

// Count returns the number of lines of event e.
func (r *Recorder) Count(e *Event) int {
	n := 0
	for _, line := range r.Lines() {
		if line.Event == e {
			n++
		}
	}
	return n
}

// Wait returns true once there is a line of event e, or false when done is closed first.
func (r *Recorder) Wait(e *Event, done <-chan struct{}) bool {
	for r.Count(e) == 0 {
		select {
		case <-r.seen:
		case <-done:
			return false
		}
	}
	return true
}
