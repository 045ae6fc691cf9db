// Package evidence judges from the packets of callers whether a target answers.
// A VM sees no packet of a target, but the acknowledgements of callers show when
// the target has sent something, and repeated packets show when it has not.
package evidence

import "time"

const (
	// aliveFor is the time after a sign of life in which repeated packets are taken
	// as losses on the network: callers repeat after 200 ms.
	aliveFor = 250 * time.Millisecond
	// firstAvoid and maxAvoid bound the time for which a silent target gets no new
	// flows. It doubles with each further unanswered flow.
	firstAvoid = 500 * time.Millisecond
	maxAvoid   = 4 * time.Second
	// suspiciousRepeats is the number of repeated packets of open flows without a
	// sign of life that make a target silent. A lone one is often a lost datagram.
	suspiciousRepeats = 2
	// probation is how long after the end of an avoidance a sign of life is awaited
	// before the next flow.
	probation = 300 * time.Millisecond
)

// Tracker judges one target. The zero value is a target without evidence.
type Tracker struct {
	lastAlive  time.Duration
	everAlive  bool
	repeats    int           // since the last sign of life
	firstNoted time.Duration // first repeat since the last sign of life
	avoid      time.Duration // last avoidance
	avoidTill  time.Duration
	probeAt    time.Duration // last flow that was sent after an avoidance
}

// Alive notes a sign of life.
func (t *Tracker) Alive(now time.Duration) {
	*t = Tracker{lastAlive: now, everAlive: true}
}

// LastAlive returns the time of the last sign of life; ok is false without one.
func (t *Tracker) LastAlive() (at time.Duration, ok bool) {
	return t.lastAlive, t.everAlive
}

// Unanswered notes that the target did not answer the first packet of a flow,
// which was sent at sentAt. A sign of life since then outweighs it.
func (t *Tracker) Unanswered(now, sentAt time.Duration) {
	if t.everAlive && t.lastAlive >= sentAt {
		return
	}
	t.lengthen(now)
}

// Repeated notes that a caller repeated a packet on an open flow.
func (t *Tracker) Repeated(now time.Duration) {
	if t.everAlive && now-t.lastAlive < aliveFor {
		return
	}
	if t.repeats == 0 {
		t.firstNoted = now
	}
	t.repeats++
	if t.repeats >= suspiciousRepeats {
		t.lengthen(now)
	}
}

func (t *Tracker) lengthen(now time.Duration) {
	if now < t.avoidTill {
		return
	}
	t.avoid = min(max(2*t.avoid, firstAvoid), maxAvoid)
	t.avoidTill = now + t.avoid
}

// Silent reports whether new flows shall avoid the target.
func (t *Tracker) Silent(now time.Duration) bool {
	if t.avoid == 0 {
		return false
	}
	return now < t.avoidTill || now < t.probeAt+probation
}

// Chosen notes that a new flow was sent to the target. After an avoidance one
// flow probes it, and others wait for a sign of life.
func (t *Tracker) Chosen(now time.Duration) {
	if t.avoid > 0 && now >= t.avoidTill {
		t.probeAt = now
	}
}

// SilentSince returns the time since which the target is silent and has been
// asked in vain; ok is false when there is no such evidence.
func (t *Tracker) SilentSince() (since time.Duration, ok bool) {
	return t.firstNoted, t.repeats >= suspiciousRepeats
}
