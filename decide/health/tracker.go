package health

import "time"

// State is the health of a target.
type State uint8

// The states of a target.
const (
	// Unknown: there are no outcomes or reports yet. The target gets its full
	// concurrency, since a new owner usually takes over a target that is warm.
	Unknown State = iota
	// Cold: the target started or recovered recently and warms up.
	Cold
	// Healthy: the target gets its full concurrency.
	Healthy
	// Ejected: requests fail. The target gets only probes; its established flows stay.
	Ejected
	// Lost: the target crashed. Its flows no longer exist.
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
	Shed                           // the target refused the request without starting it
	Timeout                        // no answer before the deadline
	Unreachable                    // the network reported the destination unreachable
)

// Weights of failures in Config.FailureThreshold.
const (
	timeoutWeight     = 1
	unreachableWeight = 2
)

// A target is ejected if historyFailures of its last historySize outcomes failed, so
// that intermittent failures over a long time eject it as well.
const (
	historySize     = 20
	historyFailures = 10
)

// phase is the stored part of the state. State derives the rest from the time.
type phase uint8

const (
	phaseUnknown phase = iota
	phaseWarming       // cold until Config.WarmUp has passed, then healthy
	phaseHealthy
	phaseOutOfService // ejected or lost; probes are allowed from Tracker.probeAt on, or if retained
)

// Tracker tracks the health of one target. It is not safe for concurrent use.
type Tracker struct {
	config    Config
	phase     phase
	since     time.Duration // start of the phase
	lost      bool          // the target crashed; only in phaseOutOfService
	lostCount uint64
	retain    bool // see SetRetained

	probeInterval  time.Duration // time from the last ejection or failed probe to probeAt
	probeAt        time.Duration
	probeSuccesses int // answers since the last ejection or failed probe

	failureScore     int           // sum of the weights of consecutive failures
	firstFailureAt   time.Duration // time of the first of the consecutive failures
	crashSuspectedAt time.Duration // time of the last failure that directly followed another
	crashSuspected   bool
	history          history
	lastOutcome      time.Duration
	hasOutcome       bool

	reports reports

	shedFactor float64 // shedMultiplier at shedAt
	shedAt     time.Duration
}

// New returns a tracker of a target in state Unknown.
func New(cfg Config, now time.Duration) *Tracker {
	return &Tracker{config: cfg.withDefaults(), since: now, shedFactor: 1}
}

// RecordOutcome records how a request to the target ended at now.
func (t *Tracker) RecordOutcome(now time.Duration, kind Outcome) {
	switch kind {
	case Success:
		t.recordAnswer(now)
	case Shed:
		t.decreaseConcurrency(now)
		t.recordAnswer(now)
	case Timeout:
		t.recordFailure(now, timeoutWeight)
	case Unreachable:
		t.recordFailure(now, unreachableWeight)
	}
}

// State returns the health of the target at now.
func (t *Tracker) State(now time.Duration) State {
	switch {
	case t.phase == phaseOutOfService && t.lost:
		return Lost
	case t.phase == phaseOutOfService:
		return Ejected
	case t.phase == phaseUnknown:
		return Unknown
	case t.phase == phaseWarming && now-t.since < t.config.WarmUp:
		return Cold
	default:
		return Healthy
	}
}

// LostCount returns how often the target entered state Lost. A change shows a crash
// between two calls of State.
func (t *Tracker) LostCount() uint64 {
	return t.lostCount
}

// SetRetained sets whether the target stays in service although its state is Ejected
// or Lost, because MayEject allows no further ejection. Its concurrency is then 1
// instead of 0.
func (t *Tracker) SetRetained(retained bool) {
	t.retain = retained
}

// MayEject reports whether one more of a service's targets may be ejected when
// ejected of them are already. At most a third may be ejected, so that wrong health
// data on all targets cannot stop the service. Of two targets one may be ejected:
// the other takes over its work, and half of all work would fail otherwise. A single
// target is never ejected, since then all requests would fail instead of some.
func MayEject(targets, ejected int) bool {
	if targets == 2 {
		return ejected == 0
	}
	return (ejected+1)*3 <= targets
}

// recordAnswer handles a request that the target answered or shed. Out of service, any
// answer counts as a probe and allows further probes at once.
func (t *Tracker) recordAnswer(now time.Duration) {
	t.recordActivity(now)
	t.failureScore = 0
	t.history.add(false)
	switch t.phase {
	case phaseUnknown:
		t.enter(now, phaseHealthy)
	case phaseOutOfService:
		t.probeAt = min(t.probeAt, now)
		t.probeSuccesses++
		if t.probeSuccesses >= t.config.ProbeSuccesses {
			t.restore(now)
		}
	}
}

// recordFailure handles a request that the target did not answer. Out of service, only a
// failure at or after probeAt counts as a failed probe; earlier ones are of requests that
// were in progress at the ejection.
func (t *Tracker) recordFailure(now time.Duration, weight int) {
	t.recordActivity(now)
	if t.failureScore == 0 {
		t.firstFailureAt = now
	} else {
		t.crashSuspected = true
		t.crashSuspectedAt = now
	}
	t.failureScore += weight
	if t.failureScore <= t.config.FailureThreshold {
		t.history.add(true) // bounds the effect of one stall of many slots
	}
	switch {
	case t.phase == phaseOutOfService && now >= t.probeAt:
		t.scheduleProbe(now, t.probeInterval*2)
	case t.phase != phaseOutOfService && t.shouldEject(now):
		t.eject(now)
	}
	t.checkLost(now)
}

func (t *Tracker) recordActivity(now time.Duration) {
	t.lastOutcome = now
	t.hasOutcome = true
}

// shouldEject reports whether consecutive failures, the history of outcomes, or failures
// together with reports suffice for an ejection.
func (t *Tracker) shouldEject(now time.Duration) bool {
	return t.failingFor(now, t.config.FailureSpan) || t.history.failing() || t.failuresMatchReports()
}

// failingFor reports whether consecutive failures reached FailureThreshold and began
// at least span ago.
func (t *Tracker) failingFor(now, span time.Duration) bool {
	return t.failureScore >= t.config.FailureThreshold && now-t.firstFailureAt >= span
}

// failuresMatchReports reports whether failures and the last ReportThreshold reports agree
// that a target that is not draining is bad. Half the FailureThreshold suffices then.
func (t *Tracker) failuresMatchReports() bool {
	return t.failureScore >= t.config.FailureThreshold/2 && t.reports.bad >= t.config.ReportThreshold && !t.reports.draining
}

// idle reports whether there was no outcome within IdleTimeout.
func (t *Tracker) idle(now time.Duration) bool {
	return !t.hasOutcome || now-t.lastOutcome >= t.config.IdleTimeout
}

func (t *Tracker) enter(now time.Duration, p phase) {
	t.phase = p
	t.since = now
}

// eject takes the target out of service. The probe interval is doubled if the target
// was ejected before and its current phase has lasted for less than BackoffResetTime.
func (t *Tracker) eject(now time.Duration) {
	probeInterval := t.config.ProbeInterval
	if t.probeInterval > 0 && now-t.since < t.config.BackoffResetTime {
		probeInterval = t.probeInterval * 2
	}
	t.enter(now, phaseOutOfService)
	t.scheduleProbe(now, probeInterval)
}

func (t *Tracker) scheduleProbe(now, probeInterval time.Duration) {
	t.probeInterval = min(probeInterval, t.config.MaxProbeInterval)
	t.probeAt = now + t.probeInterval
	t.probeSuccesses = 0
}

// restore returns the target to service in phaseWarming.
func (t *Tracker) restore(now time.Duration) {
	t.lost = false
	t.failureScore = 0
	t.crashSuspected = false
	t.history = history{}
	t.enter(now, phaseWarming)
}

// history holds the last historySize outcomes, one bit each, set for failures.
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
