package health

import (
	"math/bits"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// coldReportThreshold is the number of consecutive reports of a cold start that
// indicate a restart of a target that was warm before.
const coldReportThreshold = 2

// reports counts consecutive reports of each type.
type reports struct {
	good        int // reached and healthy
	bad         int // not reached or unhealthy
	missed      int // not reached
	cold        int // reached and cold
	notDraining int // reached and not draining
	draining    bool
	coldSince   time.Duration // time of the first report counted by cold
	warmSeen    bool          // reported healthy and warm, and neither drain nor restart since
}

// RecordReport records a report from the target's endpoints at now.
func (t *Tracker) RecordReport(now time.Duration, r *message.TargetReport) {
	if r.Reached {
		t.reports.recordReached(now, r, t.config.ReportThreshold)
	} else {
		t.reports.recordMissed()
	}
	switch t.phase {
	case phaseUnknown:
		t.reportUnknown(now, r)
	case phaseOutOfService:
		t.reportOutOfService(now)
	}
	if t.phase != phaseOutOfService {
		t.reportInService(now)
	}
	t.checkRestart(now)
	t.checkLost(now)
}

func (r *reports) recordMissed() {
	r.missed++
	r.bad++
	r.good = 0
	r.cold = 0
	r.notDraining = 0
}

func (r *reports) recordReached(now time.Duration, m *message.TargetReport, threshold int) {
	r.missed = 0
	if m.Healthy {
		r.good++
		r.bad = 0
	} else {
		r.bad++
		r.good = 0
	}
	r.recordDrain(m.Draining, threshold)
	r.recordCold(now, m)
}

// recordDrain applies the start of a drain at once, since new work must stop within
// seconds, and its end only after threshold reports.
func (r *reports) recordDrain(draining bool, threshold int) {
	if draining {
		r.draining = true
		r.notDraining = 0
		return
	}
	r.notDraining++
	if r.notDraining >= threshold {
		r.draining = false
	}
}

// recordCold distinguishes an unplanned restart, a cold report after warm ones, from
// a planned one, which has a drain in between.
func (r *reports) recordCold(now time.Duration, m *message.TargetReport) {
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

// reportUnknown applies the first report that reaches a cold or healthy target without
// further confirmation.
func (t *Tracker) reportUnknown(now time.Duration, r *message.TargetReport) {
	switch {
	case r.Reached && r.Cold:
		t.enter(now, phaseWarming)
	case r.Reached && r.Healthy:
		t.enter(now, phaseHealthy)
	}
}

// reportInService ejects a target after ReportThreshold bad reports, if there is no
// traffic or if failures of requests agree with the reports. A draining target that is
// reached may report itself unhealthy; that must not stop its established flows.
func (t *Tracker) reportInService(now time.Duration) {
	drains := t.reports.draining && t.reports.missed == 0
	if drains || t.reports.bad < t.config.ReportThreshold {
		return
	}
	if t.idle(now) || t.failuresMatchReports() {
		t.eject(now)
	}
}

// reportOutOfService returns a target to service without a probe after
// ReportThreshold healthy reports, if there is no traffic to probe it with: there was
// none for IdleTimeout, and probes have been allowed for that long.
func (t *Tracker) reportOutOfService(now time.Duration) {
	if t.reports.good < t.config.ReportThreshold {
		return
	}
	if now >= t.probeAt+t.config.IdleTimeout && t.idle(now) {
		t.restore(now)
	}
}

// checkRestart handles reports of a cold start of a target that was warm and did
// not drain. With consecutive failures within RestartWindow the target counts as crashed;
// a healthy target without traffic only warms up. Otherwise one of these may still apply
// until RestartWindow has passed; then the reports count as false.
func (t *Tracker) checkRestart(now time.Duration) {
	r := &t.reports
	if !r.warmSeen || r.cold < coldReportThreshold {
		return
	}
	if now-r.coldSince > t.config.RestartWindow {
		r.warmSeen = false
		return
	}
	crashed := t.crashSuspected && r.coldSince-t.crashSuspectedAt <= t.config.RestartWindow
	switch {
	case crashed:
		t.markLost(now)
		t.probeAt = now // it has restarted: probe at once
	case t.idle(now) && t.State(now) == Healthy:
		t.enter(now, phaseWarming)
	default:
		return
	}
	r.warmSeen = false
}

// checkLost marks the target as crashed when requests fail for LostTimeout and the
// last ReportThreshold reports did not reach its endpoints.
func (t *Tracker) checkLost(now time.Duration) {
	if t.lost || t.reports.missed < t.config.ReportThreshold {
		return
	}
	if t.failingFor(now, t.config.LostTimeout) {
		t.markLost(now)
	}
}

func (t *Tracker) markLost(now time.Duration) {
	if t.phase != phaseOutOfService {
		t.eject(now)
	}
	t.lost = true
	t.lostCount++
	t.crashSuspected = false
	t.reports.warmSeen = false
}

// failing reports whether at least historyFailures of the last historySize outcomes
// failed.
func (h *history) failing() bool {
	return h.count == historySize && bits.OnesCount32(h.bits) >= historyFailures
}

// Draining reports whether the target reports that it drains. The start of a drain
// takes effect at once, its end after ReportThreshold reports.
func (t *Tracker) Draining(now time.Duration) bool {
	return t.reports.draining
}
