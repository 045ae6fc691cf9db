// Package evidence is a passive health check: it judges from the packets of callers
// whether a target responds. A VM sees no packets of targets, but new acknowledgements of
// a caller show that the target has sent data, and retransmissions that it has not.
//
// Evidence against a target ends with its next response. A VM that gets no more flows of
// the target sees none, whatever has become of the target, so that evidence also expires,
// and a newer sign of life from elsewhere contradicts it.
package evidence

import "time"

const (
	// lossWindow is the time after a response in which retransmissions are attributed to
	// packet loss. Callers retransmit after 200 ms.
	lossWindow = 250 * time.Millisecond
	// minAvoidance and maxAvoidance bound how long a silent target gets no new flows. The
	// time doubles with each avoidance until the target responds.
	minAvoidance = 500 * time.Millisecond
	maxAvoidance = 4 * time.Second
	// minRetransmits is the number of retransmissions on open flows without a response
	// from which new flows avoid a target. A single one is often due to a lost datagram
	// or to a request that takes longer than 200 ms.
	minRetransmits = 2
	// minUnanswered is the number of unanswered SYNs of different flows from which further ones
	// show that the target is silent.
	minUnanswered = 2
	// elsewhereAge is the age of an unanswered SYN that another VM tells of: callers retransmit after
	// 200 ms. elsewhereTTL is how long it is evidence beside one of this VM.
	elsewhereAge = 200 * time.Millisecond
	elsewhereTTL = time.Second
	// A target counts as dead for its open flows when flows of two callers are stuck and it has
	// not responded for deadSilence; without any response that time counts from the first stuck
	// flow. A live target acknowledges the first retransmission, so that its flow gets stuck only
	// when both retransmissions or their acknowledgements are lost, as on a full link to one caller.
	deadSilence = 500 * time.Millisecond
	// stuckTTL is how long a stuck flow is evidence. It is half of the shortest time after
	// the end of a network fault (4 s) for which resets of flows of live targets are excused;
	// the rest is for the last retransmissions that the fault has caused.
	stuckTTL = 2 * time.Second
	// suspicionTTL is how long a target without a response stays suspected after the last
	// evidence against it. New flows avoid it meanwhile, so that there is little further
	// evidence if it is partitioned from this VM.
	suspicionTTL = 10 * time.Second
	// probeTimeout is how long other flows wait for the response to a flow that probes
	// the target after an avoidance.
	probeTimeout = 300 * time.Millisecond
)

// Caller is the IPv4 address of a caller.
type Caller [4]byte

// Tracker holds the evidence about one target. The zero value has none.
type Tracker struct {
	lastAlive      time.Duration // time of the last response
	everAlive      bool          // there was one
	lastEvidence   time.Duration // time of the last evidence against the target
	unanswered     int           // SYNs without an answer since the last response or expiry
	elsewhereAt    time.Duration // last time at which another VM told of an unanswered SYN, valid if elsewhere
	elsewhere      bool          // another VM has, since the last response
	elsewhereVM    string        // name of that VM
	retransmits    int           // since the last response or expiry
	stuck          int           // flows that got stuck since the last response or expiry
	firstStuck     time.Duration // time of the first of them
	lastStuck      time.Duration // time of the last of them
	stuckCaller    Caller        // of the last of them
	priorStuck     time.Duration // time of the last one of another caller, valid if stuckCallers
	stuckCallers   bool          // flows of two callers got stuck
	severalStuck   bool          // that was within stuckTTL since the last response or expiry
	severalStuckAt time.Duration // last time of that, valid if severalStuck
	declared       bool          // DeclareDead has returned true; see there
	avoidance      time.Duration // length of the last avoidance; 0: none since the last response or expiry
	avoidUntil     time.Duration // end of the last avoidance
	probedAt       time.Duration // time of the last placement after an avoidance
}

// RecordAlive records a response and discards all earlier evidence.
func (t *Tracker) RecordAlive(now time.Duration) {
	*t = Tracker{lastAlive: now, everAlive: true}
}

// RecordEntry records that the target has written its entry in the store. Its process lives,
// so that its flows are not to be reset for earlier evidence. New flows still avoid it: it
// may be partitioned from this VM.
func (t *Tracker) RecordEntry() {
	t.stuck, t.stuckCallers = 0, false
	t.severalStuck = false
	t.declared = false
}

// expire discards all evidence against the target once the last is older than suspicionTTL.
func (t *Tracker) expire(now time.Duration) {
	if now-t.lastEvidence >= suspicionTTL && now >= t.avoidUntil {
		*t = Tracker{lastAlive: t.lastAlive, everAlive: t.everAlive, elsewhere: t.elsewhere, elsewhereAt: t.elsewhereAt, elsewhereVM: t.elsewhereVM}
	}
}

// LastAlive returns the time of the last response; ok is false if there was none.
func (t *Tracker) LastAlive() (at time.Duration, ok bool) {
	return t.lastAlive, t.everAlive
}

// RecordUnanswered records that the target did not answer a SYN that was sent at sentAt.
// It has no effect if the target has responded to another flow since.
func (t *Tracker) RecordUnanswered(now, sentAt time.Duration) {
	if t.everAlive && t.lastAlive >= sentAt {
		return
	}
	t.expire(now)
	t.lastEvidence = now
	t.unanswered++
	t.startAvoidance(now)
}

// RecordUnansweredElsewhere records that the target did not answer a SYN of another VM. It has no
// effect if the target has responded to this VM since the SYN was sent. New flows avoid the target
// when two other VMs tell of it, so that one VM with a bad link changes nothing.
func (t *Tracker) RecordUnansweredElsewhere(now time.Duration, vm string) {
	if t.everAlive && now-t.lastAlive < elsewhereAge {
		return
	}
	if t.elsewhere && now-t.elsewhereAt < elsewhereTTL && t.elsewhereVM != vm {
		t.expire(now)
		t.lastEvidence = now
		t.startAvoidance(now)
	}
	t.elsewhere, t.elsewhereAt, t.elsewhereVM = true, now, vm
}

// SeveralUnanswered reports whether more than one flow, of this VM or another one, shows that the
// target does not respond. A single unanswered SYN is often due to a lost datagram.
func (t *Tracker) SeveralUnanswered(now time.Duration) bool {
	if t.elsewhere && now-t.elsewhereAt < elsewhereTTL && t.unanswered > 0 {
		return true
	}
	if now-t.lastEvidence >= suspicionTTL {
		return false
	}
	return t.unanswered >= minUnanswered || t.retransmits >= minRetransmits || t.stuck > 0
}

// RecordRetransmission records a retransmission on an open flow.
func (t *Tracker) RecordRetransmission(now time.Duration) {
	if t.everAlive && now-t.lastAlive < lossWindow {
		return
	}
	t.expire(now)
	t.lastEvidence = now
	t.retransmits++
	if t.retransmits >= minRetransmits {
		t.startAvoidance(now)
	}
}

// startAvoidance starts an avoidance of twice the previous length, unless one is active.
func (t *Tracker) startAvoidance(now time.Duration) {
	if now < t.avoidUntil {
		return
	}
	t.avoidance = min(max(2*t.avoidance, minAvoidance), maxAvoidance)
	t.avoidUntil = now + t.avoidance
}

// Silent reports whether new flows should avoid the target.
func (t *Tracker) Silent(now time.Duration) bool {
	if t.avoidance == 0 {
		return false
	}
	return now < t.avoidUntil || now < t.probedAt+probeTimeout
}

// Suspected reports whether an avoidance has started since the last response, even if it
// has ended, and the last evidence is younger than suspicionTTL.
func (t *Tracker) Suspected(now time.Duration) bool {
	return t.avoidance > 0 && now-t.lastEvidence < suspicionTTL
}

// RecordPlacement records that a new flow was placed at the target. After an avoidance
// the flow is a probe: the target stays silent for others until it responds, or for
// probeTimeout.
func (t *Tracker) RecordPlacement(now time.Duration) {
	if t.avoidance > 0 && now >= t.avoidUntil {
		t.probedAt = now
	}
}

// RecordStuckFlow records that a caller has retransmitted the same packet twice without
// progress. It is called once for each such flow.
func (t *Tracker) RecordStuckFlow(now time.Duration, caller Caller) {
	t.expire(now)
	t.lastEvidence = now
	if t.declared && !t.Dead(now) {
		t.declared = false
	}
	if t.stuck == 0 || now-t.lastStuck >= stuckTTL {
		t.stuck, t.stuckCallers = 0, false
		t.firstStuck = now
	}
	if t.stuck > 0 && caller != t.stuckCaller {
		t.priorStuck, t.stuckCallers = t.lastStuck, true
	}
	t.stuck++
	t.lastStuck, t.stuckCaller = now, caller
	if t.hasSeveralStuck(now) {
		t.severalStuck, t.severalStuckAt = true, now
	}
	t.startAvoidance(now)
}

// StuckFlows returns the number of flows that got stuck since the last response, the last
// of them less than stuckTTL ago.
func (t *Tracker) StuckFlows(now time.Duration) int {
	if now-t.lastStuck >= stuckTTL {
		return 0
	}
	return t.stuck
}

// Dead reports whether flows of at least two callers got stuck within stuckTTL and the target
// has been silent for deadSilence, so that its flows should be reset.
func (t *Tracker) Dead(now time.Duration) bool {
	return t.hasSeveralStuck(now) && now-t.silentSince() >= deadSilence
}

// hasSeveralStuck reports whether flows of at least two callers got stuck within stuckTTL.
func (t *Tracker) hasSeveralStuck(now time.Duration) bool {
	return t.stuck > 0 && t.stuckCallers && now-t.priorStuck < stuckTTL
}

// Unresponsive reports whether the target was dead within suspicionTTL and has not responded
// since. It does not suffice to reset flows.
func (t *Tracker) Unresponsive(now time.Duration) bool {
	return t.severalStuck && now-t.severalStuckAt < suspicionTTL && now-t.silentSince() >= deadSilence
}

// DeclareDead reports whether the target is dead, once: further calls return false until
// the target responds or the evidence expires.
func (t *Tracker) DeclareDead(now time.Duration) bool {
	if t.declared || !t.Dead(now) {
		return false
	}
	t.declared = true
	return true
}

// Declared reports whether the target is dead and DeclareDead has returned true.
func (t *Tracker) Declared(now time.Duration) bool { return t.declared && t.Dead(now) }

// silentSince returns the time of the last response or, without one, of the first stuck
// flow.
func (t *Tracker) silentSince() time.Duration {
	if t.everAlive {
		return t.lastAlive
	}
	return t.firstStuck
}
