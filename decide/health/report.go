package health

import (
	"math/bits"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// coldReports is the number of consistent reports of a cold start that count
// when the target was warm before.
const coldReports = 2

// reports counts consistent reports in a row.
type reports struct {
	good      int // reached and healthy
	bad       int // not reached or unhealthy
	missed    int // not reached
	cold      int
	steady    int // reached and not draining
	draining  bool
	coldSince time.Duration // first report of those counted by cold
	warmSeen  bool          // a warm report came before, and no drain
}

// RecordReport records a report from the target's endpoints at now.
func (t *Tracker) RecordReport(now time.Duration, r *message.TargetReport) {
	if r.Reached {
		t.reports.noteReached(now, r, t.config.ReportThreshold)
	} else {
		t.reports.noteMissed()
	}
	switch t.phase {
	case phaseUnknown:
		t.reportUnknown(now, r)
	case phaseOut:
		t.reportOut(now)
	}
	if t.phase != phaseOut {
		t.reportInService(now)
	}
	t.checkRestart(now)
	t.checkLost(now)
}

func (r *reports) noteMissed() {
	r.missed++
	r.bad++
	r.good = 0
	r.cold = 0
	r.steady = 0
}

func (r *reports) noteReached(now time.Duration, m *message.TargetReport, enough int) {
	r.missed = 0
	if m.Healthy {
		r.good++
		r.bad = 0
	} else {
		r.bad++
		r.good = 0
	}
	r.noteDrain(m.Draining, enough)
	r.noteCold(now, m)
}

// noteDrain believes a drain at once, since new work must end within seconds,
// and its end only after several reports.
func (r *reports) noteDrain(draining bool, enough int) {
	if draining {
		r.draining = true
		r.steady = 0
		return
	}
	r.steady++
	if r.steady >= enough {
		r.draining = false
	}
}

// noteCold tells a restart, which is a cold report after warm ones, from a
// planned one, which has a drain in between.
func (r *reports) noteCold(now time.Duration, m *message.TargetReport) {
	if m.Draining {
		r.warmSeen = false
	}
	if m.Cold {
		if r.cold == 0 {
			r.coldSince = now
		}
		r.cold++
		return
	}
	r.cold = 0
	r.warmSeen = r.warmSeen || m.Healthy && !m.Draining
}

// reportUnknown takes the first report of a target as it is.
func (t *Tracker) reportUnknown(now time.Duration, r *message.TargetReport) {
	switch {
	case r.Reached && r.Cold:
		t.enter(now, phaseWarming)
	case r.Reached && r.Healthy:
		t.enter(now, phaseHealthy)
	}
}

// reportInService ejects a target that several reports call bad, if there is no
// traffic to judge it by. A target that drains may call itself unhealthy; that
// must not stop its established flows.
func (t *Tracker) reportInService(now time.Duration) {
	drains := t.reports.draining && t.reports.missed == 0
	if drains || t.reports.bad < t.config.ReportThreshold {
		return
	}
	if t.idle(now) || t.failsAsReported() {
		t.eject(now)
	}
}

// reportOut takes a target back without a probe when there is no traffic to
// probe it with and several reports call it healthy.
func (t *Tracker) reportOut(now time.Duration) {
	if t.reports.good < t.config.ReportThreshold {
		return
	}
	if now >= t.probeAt+t.config.IdleTimeout && t.idle(now) {
		t.recover(now)
	}
}

// checkRestart handles reports of a cold start of a target that was warm and did
// not drain. With failures in a row shortly before, it crashed; without traffic
// it only warms up; while requests succeed, the reports are wrong.
func (t *Tracker) checkRestart(now time.Duration) {
	r := &t.reports
	if !r.warmSeen || r.cold < coldReports {
		return
	}
	if now-r.coldSince > t.config.RestartWindow {
		r.warmSeen = false
		return
	}
	crashed := t.crashSeen && r.coldSince-t.crashAt <= t.config.RestartWindow
	switch {
	case crashed:
		t.lose(now)
		t.probeAt = now // it has restarted
	case t.idle(now) && t.State(now) == Healthy:
		t.enter(now, phaseWarming)
	default:
		return
	}
	r.warmSeen = false
}

// checkLost declares the target crashed when requests fail and its endpoints
// are not reached, both for some time.
func (t *Tracker) checkLost(now time.Duration) {
	if t.lost || t.reports.missed < t.config.ReportThreshold {
		return
	}
	if t.failsInARow(now, t.config.LostTimeout) {
		t.lose(now)
	}
}

func (t *Tracker) lose(now time.Duration) {
	if t.phase != phaseOut {
		t.eject(now)
	}
	t.lost = true
	t.losses++
	t.crashSeen = false
	t.reports.warmSeen = false
}

// bad reports whether too many of the last outcomes failed.
func (h *history) bad() bool {
	return h.count == historySize && bits.OnesCount32(h.bits) >= historyFailures
}

// Draining reports whether the target itself says that it drains. It is believed
// at once; its end is believed after several reports.
func (t *Tracker) Draining(now time.Duration) bool {
	return t.reports.draining
}
