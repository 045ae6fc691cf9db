// Package datagramage estimates how long a datagram has waited at a process before it is handled.
// A socket keeps what arrives while its process is paused, suspended or starting, and most systems
// do not say when that was.
package datagramage

import "time"

const (
	// minStall is the shortest time without a step after which the process counts as stalled. It
	// exceeds MaxStepInterval by the delays of a loaded machine.
	minStall = MaxStepInterval + 100*time.Millisecond
	// MaxStepInterval is the longest time between two steps of a process that runs.
	MaxStepInterval = 200 * time.Millisecond
	// backlogTime is the time after a stall within which the process has read what arrived during
	// it. A socket's buffer holds about a thousand datagrams.
	backlogTime = time.Second
	// BlockedRead is the shortest duration of a read that has waited for a datagram.
	BlockedRead = 300 * time.Microsecond
)

// Clocks is a reading of the clocks of a machine. The monotonic clock does not run while the
// machine is suspended; the time of day does, but may be set.
type Clocks struct {
	Monotonic time.Duration // since the start of the process
	TimeOfDay time.Time
}

// since returns the time between two readings, that of the clock which shows more.
func (c Clocks) since(earlier Clocks) time.Duration {
	return max(c.Monotonic-earlier.Monotonic, c.TimeOfDay.Sub(earlier.TimeOfDay))
}

// Arrival is what is known of the receipt of one datagram. Times are those of the monotonic clock.
type Arrival struct {
	ReadAt time.Duration // it was read from the socket
	// EmptyAt is the last time before ReadAt at which the socket is known to have been empty.
	EmptyAt time.Duration
	// ReceivedAt is the time of day at which the system received it; zero if that is not known.
	ReceivedAt time.Time
}

// Estimator estimates the ages of datagrams. The zero value has seen no stall.
type Estimator struct {
	lastStep Clocks
	stepped  bool

	stallEnd    time.Duration
	stallLength time.Duration // 0: there was no stall
}

// Step records a step of the process, which handles datagrams.
func (e *Estimator) Step(now Clocks) {
	if gap := now.since(e.lastStep); e.stepped && gap >= minStall {
		e.RecordStall(now.Monotonic, gap)
	}
	e.lastStep, e.stepped = now, true
}

// RecordStall records that until now the process has read nothing from the socket for a time.
func (e *Estimator) RecordStall(now, length time.Duration) {
	e.stallEnd, e.stallLength = now, length
}

// Age returns the age of a datagram: exactly if its receive time is known, and otherwise the longest
// possible one, if it may have arrived during a stall.
func (e *Estimator) Age(now Clocks, a Arrival) time.Duration {
	age := now.Monotonic - a.ReadAt
	if !a.ReceivedAt.IsZero() {
		return max(age, now.TimeOfDay.Sub(a.ReceivedAt))
	}
	sinceStall := now.Monotonic - e.stallEnd
	if e.stallLength > 0 && a.EmptyAt < e.stallEnd && sinceStall < backlogTime {
		age = max(age, e.stallLength+sinceStall)
	}
	return age
}
