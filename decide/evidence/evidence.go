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
	// sign of life that make new flows avoid a target. A lone one is often a lost
	// datagram or a request that takes longer than 200 ms.
	suspiciousRepeats = 2
	// stuckFlows is the number of flows that must be stuck, and stuckFor the time
	// without a sign of life, before a target counts as dead for its open flows. A
	// live target acknowledges the first copy of a packet, so that a flow is stuck
	// only when both copies, or their acknowledgements, are lost.
	stuckFlows = 2
	stuckFor   = 500 * time.Millisecond
	// probation is how long after the end of an avoidance a sign of life is awaited
	// before the next flow.
	probation = 300 * time.Millisecond
)

// Tracker judges one target. The zero value is a target without evidence.
type Tracker struct {
	lastAlive  time.Duration
	everAlive  bool
	repeats    int           // since the last sign of life
	stuck      int           // flows that got stuck since the last sign of life
	firstStuck time.Duration // time of the first of them
	declared   bool          // DeclareDead has returned true since the last sign of life
	avoid      time.Duration // last avoidance
	avoidTill  time.Duration
	probeAt    time.Duration // last flow that was sent after an avoidance
}

// RecordAlive notes a sign of life.
func (t *Tracker) RecordAlive(now time.Duration) {
	*t = Tracker{lastAlive: now, everAlive: true}
}

// LastAlive returns the time of the last sign of life; ok is false without one.
func (t *Tracker) LastAlive() (at time.Duration, ok bool) {
	return t.lastAlive, t.everAlive
}

// RecordUnanswered notes that the target did not answer the first packet of a flow,
// which was sent at sentAt. A sign of life since then outweighs it.
func (t *Tracker) RecordUnanswered(now, sentAt time.Duration) {
	if t.everAlive && t.lastAlive >= sentAt {
		return
	}
	t.lengthen(now)
}

// RecordRetransmission notes that a caller repeated a packet on an open flow.
func (t *Tracker) RecordRetransmission(now time.Duration) {
	if t.everAlive && now-t.lastAlive < aliveFor {
		return
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

// Suspected reports whether the target has left something unanswered since its
// last sign of life.
func (t *Tracker) Suspected() bool { return t.avoid > 0 }

// RecordPlacement notes that a new flow was sent to the target. After an avoidance one
// flow probes it, and others wait for a sign of life.
func (t *Tracker) RecordPlacement(now time.Duration) {
	if t.avoid > 0 && now >= t.avoidTill {
		t.probeAt = now
	}
}

// RecordStuckFlow notes that the caller of a flow has repeated the same packet twice in
// vain. It is called once for each such flow.
func (t *Tracker) RecordStuckFlow(now time.Duration) {
	if t.stuck == 0 {
		t.firstStuck = now
	}
	t.stuck++
	t.lengthen(now)
}

// StuckFlows returns the flows that got stuck since the last sign of life.
func (t *Tracker) StuckFlows() int { return t.stuck }

// Dead reports whether several flows are stuck and nothing has shown life for a
// while, so that waiting is in vain.
func (t *Tracker) Dead(now time.Duration) bool {
	if t.stuck < stuckFlows {
		return false
	}
	return now-t.lastSign() >= stuckFor
}

// DeclareDead returns true the first time that the target is found dead since its
// last sign of life.
func (t *Tracker) DeclareDead(now time.Duration) bool {
	if t.declared || !t.Dead(now) {
		return false
	}
	t.declared = true
	return true
}

// lastSign returns the last sign of life or, without one, the first stuck flow.
func (t *Tracker) lastSign() time.Duration {
	if t.everAlive {
		return t.lastAlive
	}
	return t.firstStuck
}
