package health

import "time"

const (
	// probeConcurrency is the number of requests at once to a target that is
	// probed or retained.
	probeConcurrency = 1
	// minShare is the share of new flows at the start of the warm-up and for
	// probes. It is above 0, since a target without flows can't show that it works.
	minShare = 0.05
	// shedCut is the factor by which shedding lowers the concurrency.
	shedCut = 0.75
	// minShedFactor bounds how far shedding lowers the concurrency.
	minShedFactor = 1.0 / 16
	// shedSpacing is the least time between two cuts. Requests that were under
	// way when the target began to shed must not cut it several times.
	shedSpacing = 200 * time.Millisecond
)

// Concurrency returns how many requests the target may have at once, of limit:
// none while it is out of service, 1 for probes, a growing number while it warms
// up, and fewer after it shed requests. It is at least 1 while in service. With
// a limit of 0 or less it is 0.
func (t *Tracker) Concurrency(now time.Duration, limit int) int {
	switch {
	case limit <= 0:
		return 0
	case t.phase == phaseOut && !t.takesProbes(now):
		return 0
	case t.phase == phaseOut:
		return probeConcurrency
	}
	warm := 1 + float64(limit-1)*t.warmth(now)
	return max(1, int(warm*t.shedAllowance(now)))
}

// Share returns the target's share of the new flows that its weight entitles it
// to, from 0 to 1.
func (t *Tracker) Share(now time.Duration) float64 {
	switch {
	case t.phase == phaseOut && !t.takesProbes(now):
		return 0
	case t.phase == phaseOut:
		return minShare
	default:
		return minShare + (1-minShare)*t.warmth(now)
	}
}

func (t *Tracker) takesProbes(now time.Duration) bool {
	return t.retain || now >= t.probeAt
}

// warmth returns the passed part of the warm-up time, from 0 to 1.
func (t *Tracker) warmth(now time.Duration) float64 {
	if t.phase != phaseWarming {
		return 1
	}
	part := float64(now-t.since) / float64(t.config.WarmUp)
	return min(max(part, 0), 1)
}

// shedAllowance returns the part of the concurrency that shedding leaves, from
// minShedFactor to 1.
func (t *Tracker) shedAllowance(now time.Duration) float64 {
	grown := float64(now-t.shedAt) / float64(t.config.ShedRecovery)
	return min(t.shedFactor+max(grown, 0), 1)
}

func (t *Tracker) cutConcurrency(now time.Duration) {
	allowance := t.shedAllowance(now)
	if t.shedFactor < 1 && now-t.shedAt < shedSpacing {
		return
	}
	t.shedFactor = max(allowance*shedCut, minShedFactor)
	t.shedAt = now
}
