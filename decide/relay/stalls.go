package relay

import "time"

const (
	// minStall is the shortest delay of a step after which the process counts as stalled. It exceeds
	// the delays of a loaded machine.
	minStall = 300 * time.Millisecond
	// backlogTime is the time after a stall within which the process has read what arrived during it.
	backlogTime = 500 * time.Millisecond
)

// Stalls estimates how long messages have waited at a process that may have stood still: a message
// that arrived meanwhile is read after it, and says what was true before. The zero value has seen no
// stall.
type Stalls struct {
	due      time.Duration // of the next step
	lastAt   time.Duration // of the last step, by the monotonic clock
	lastTime time.Time     // of the last step, by the time of day
	stepped  bool
	endedAt  time.Duration
	length   time.Duration // of the last stall; 0: there was none
}

// Step records a step at a time, whose time of day is given, and returns for how long the machine
// was suspended before it. The monotonic clock does not run then; a time of day that was set forward
// looks the same.
func (s *Stalls) Step(now time.Duration, timeOfDay time.Time) (suspended time.Duration) {
	late := now - s.due
	hidden := timeOfDay.Sub(s.lastTime) - (now - s.lastAt)
	wasStepped := s.stepped
	s.lastAt, s.lastTime, s.stepped = now, timeOfDay, true
	if !wasStepped {
		return 0
	}
	if hidden < minStall {
		hidden = 0
	}
	if late < minStall {
		late = 0
	}
	if late+hidden > 0 {
		s.endedAt, s.length = now, late+hidden
	}
	return hidden
}

// SetDue records when the next step is due.
func (s *Stalls) SetDue(due time.Duration) { s.due = due }

// Waited returns the longest time that a message may have waited which was queued at a time.
func (s *Stalls) Waited(now, queuedAt time.Duration) time.Duration {
	waited := now - queuedAt
	if s.length > 0 && queuedAt < s.endedAt+backlogTime {
		waited += s.length
	}
	return waited
}

// RecordSuspension makes what the VM knows older by the time for which the machine was suspended,
// which the clock of the other methods does not show.
func (m *Machine) RecordSuspension(length time.Duration) { m.confirmedAt -= length }

// olderBy returns a confirmation that has waited.
func (c Confirmation) olderBy(waited time.Duration) Confirmation {
	c.Age += waited
	c.SinceRegained += waited
	return c
}
