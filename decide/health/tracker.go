package health

import "time"

// State is the health of a target.
type State uint8

// The states of a target.
const (
	// Unknown: nothing was observed or reported yet. The target gets its full
	// concurrency, since a new owner usually takes over a target that is warm.
	Unknown State = iota
	// Cold: the target started or came back a short time ago and warms up.
	Cold
	// Healthy: the target takes its full concurrency.
	Healthy
	// Ejected: requests fail. The target is out of service but for probes; its
	// flows stay.
	Ejected
	// Lost: the target crashed. Its flows are gone.
	Lost
)

// String returns the state as it appears in logs and metrics.
func (s State) String() string {
	switch s {
	case Cold:
		return "cold"
	case Healthy:
		return "healthy"
	case Ejected:
		return "ejected"
	case Lost:
		return "lost"
	default:
		return "unknown"
	}
}

// Outcome is how a dispatched request ended.
type Outcome uint8

// The outcomes of requests.
const (
	Success     Outcome = iota + 1 // the target answered
	Shed                           // the target refused the request before it started it
	Timeout                        // no answer before the deadline
	Unreachable                    // the network reports that nothing receives there
)

// Weights of failures in Config.FailureThreshold.
const (
	timeoutWeight     = 1
	unreachableWeight = 2
)

// The last historySize outcomes eject the target if historyFailures of them
// failed, so that one that fails now and then all the time is ejected as well.
const (
	historySize     = 20
	historyFailures = 10
)

// phase is the part of the state that does not depend on the time.
type phase uint8

const (
	phaseUnknown phase = iota
	phaseWarming       // cold until Config.WarmUp has passed, then healthy
	phaseHealthy
	phaseOut // ejected or lost; probes are allowed from Tracker.probeAt on
)

// Tracker judges one target. It is not safe for concurrent use.
type Tracker struct {
	config Config
	phase  phase
	since  time.Duration // start of the phase
	lost   bool          // with phaseOut
	losses uint64
	retain bool

	interval time.Duration // time from the last ejection or failed probe to probeAt
	probeAt  time.Duration
	probes   int // answered probes

	score       int           // of failures in a row
	failedSince time.Duration // first failure in a row
	crashAt     time.Duration // last time with two failures in a row
	crashSeen   bool
	history     history
	lastOutcome time.Duration
	anyOutcome  bool

	reports reports

	shedFactor float64 // at shedAt
	shedAt     time.Duration
}

// New returns the tracker of a target that nothing is known of at now.
func New(cfg Config, now time.Duration) *Tracker {
	return &Tracker{config: cfg.withDefaults(), since: now, shedFactor: 1}
}

// RecordOutcome records how a request to the target ended at now.
func (t *Tracker) RecordOutcome(now time.Duration, kind Outcome) {
	switch kind {
	case Success:
		t.answered(now)
	case Shed:
		t.cutConcurrency(now)
		t.answered(now)
	case Timeout:
		t.failed(now, timeoutWeight)
	case Unreachable:
		t.failed(now, unreachableWeight)
	}
}

// State returns the health of the target at now.
func (t *Tracker) State(now time.Duration) State {
	switch {
	case t.phase == phaseOut && t.lost:
		return Lost
	case t.phase == phaseOut:
		return Ejected
	case t.phase == phaseUnknown:
		return Unknown
	case t.phase == phaseWarming && now-t.since < t.config.WarmUp:
		return Cold
	default:
		return Healthy
	}
}

// LostCount returns how often the target entered state Lost. Its owner compares it
// with the last value, so that a loss between two calls of State is not missed.
func (t *Tracker) LostCount() uint64 {
	return t.losses
}

// SetRetained sets whether the target stays in service while it is ejected, because
// MayEject allows no further ejection. Its concurrency is then 1 instead of 0.
func (t *Tracker) SetRetained(retained bool) {
	t.retain = retained
}

// MayEject reports whether one more of a service's targets may be taken out of
// service for health when ejected of them are out. At most a third may be out,
// so that a wrong judgement of all targets can't stop the service. Of two
// targets one may be out: the other takes its work, while half of all work would
// fail otherwise. A single target is never taken out: that would turn requests
// that may fail into requests that do.
func MayEject(targets, ejected int) bool {
	if targets == 2 {
		return ejected == 0
	}
	return (ejected+1)*3 <= targets
}

// answered handles a sign that the target works.
func (t *Tracker) answered(now time.Duration) {
	t.noteOutcome(now)
	t.score = 0
	t.history.add(false)
	switch t.phase {
	case phaseUnknown:
		t.enter(now, phaseHealthy)
	case phaseOut:
		t.probeAt = min(t.probeAt, now)
		t.probes++
		if t.probes >= t.config.ProbeSuccesses {
			t.recover(now)
		}
	}
}

// failed handles a request that the target did not answer.
func (t *Tracker) failed(now time.Duration, weight int) {
	t.noteOutcome(now)
	if t.score == 0 {
		t.failedSince = now
	} else {
		t.crashSeen = true
		t.crashAt = now
	}
	t.score += weight
	if t.score <= t.config.FailureThreshold {
		t.history.add(true) // a stall of many slots at once counts once
	}
	switch {
	case t.phase == phaseOut && now >= t.probeAt:
		t.putOut(now, t.interval*2)
	case t.phase != phaseOut && t.mustEject(now):
		t.eject(now)
	}
	t.checkLost(now)
}

func (t *Tracker) noteOutcome(now time.Duration) {
	t.lastOutcome = now
	t.anyOutcome = true
}

func (t *Tracker) mustEject(now time.Duration) bool {
	return t.failsInARow(now, t.config.FailureSpan) || t.history.bad() || t.failsAsReported()
}

// failsInARow reports whether enough requests failed in a row, over a time of at
// least span.
func (t *Tracker) failsInARow(now, span time.Duration) bool {
	return t.score >= t.config.FailureThreshold && now-t.failedSince >= span
}

// failsAsReported reports whether failures and reports agree. Fewer failures
// are enough then.
func (t *Tracker) failsAsReported() bool {
	return t.score >= t.config.FailureThreshold/2 && t.reports.bad >= t.config.ReportThreshold && !t.reports.draining
}

// idle reports whether there was no outcome for so long that reports count.
func (t *Tracker) idle(now time.Duration) bool {
	return !t.anyOutcome || now-t.lastOutcome >= t.config.IdleTimeout
}

func (t *Tracker) enter(now time.Duration, p phase) {
	t.phase = p
	t.since = now
}

// eject takes the target out of service. The time to the first probe is doubled
// if the target was out a short time ago.
func (t *Tracker) eject(now time.Duration) {
	interval := t.config.ProbeInterval
	if t.interval > 0 && now-t.since < t.config.BackoffResetTime {
		interval = t.interval * 2
	}
	t.enter(now, phaseOut)
	t.putOut(now, interval)
}

func (t *Tracker) putOut(now, interval time.Duration) {
	t.interval = min(interval, t.config.MaxProbeInterval)
	t.probeAt = now + t.interval
	t.probes = 0
}

// recover puts the target back into service, cold.
func (t *Tracker) recover(now time.Duration) {
	t.lost = false
	t.score = 0
	t.crashSeen = false
	t.history = history{}
	t.enter(now, phaseWarming)
}

// history holds the last outcomes, one bit each, set for failures.
type history struct {
	bits  uint32
	count int
}

func (h *history) add(failure bool) {
	h.bits <<= 1
	if failure {
		h.bits |= 1
	}
	h.bits &= 1<<historySize - 1
	h.count = min(h.count+1, historySize)
}
