package health

import "time"

const (
	// probeConcurrency is the number of concurrent requests to a target that is
	// probed or retained.
	probeConcurrency = 1
	// minShare is the share of new flows at the start of the warm-up and for
	// probes. It is above 0, since only a target with flows produces outcomes.
	minShare = 0.05
	// shedDecreaseFactor is the factor by which shedding lowers the concurrency.
	shedDecreaseFactor = 0.75
	// minShedFactor bounds how far shedding lowers the concurrency.
	minShedFactor = 1.0 / 16
	// minShedInterval is the minimum time between two decreases. Requests that were
	// in progress when the target began to shed must not cause several decreases.
	minShedInterval = 200 * time.Millisecond
)

// Concurrency returns the number of concurrent requests allowed to the target, up to
// limit: 0 while it is out of service, 1 for probes, a growing number while it warms
// up, and fewer after it shed requests. It is at least 1 while the target is in
// service, and 0 if limit is 0 or less.
func (t *Tracker) Concurrency(now time.Duration, limit int) int {
	switch {
	case limit <= 0:
		return 0
	case t.phase == phaseOutOfService && !t.probeAllowed(now):
		return 0
	case t.phase == phaseOutOfService:
		return probeConcurrency
	}
	warm := 1 + float64(limit-1)*t.warmUpFraction(now)
	return max(1, int(warm*t.shedMultiplier(now)))
}

// Share returns the fraction of its weighted share of new flows that the target
// gets, from 0 to 1.
func (t *Tracker) Share(now time.Duration) float64 {
	switch {
	case t.phase == phaseOutOfService && !t.probeAllowed(now):
		return 0
	case t.phase == phaseOutOfService:
		return minShare
	default:
		return minShare + (1-minShare)*t.warmUpFraction(now)
	}
}

func (t *Tracker) probeAllowed(now time.Duration) bool {
	return t.retain || now >= t.probeAt
}

// warmUpFraction returns the elapsed fraction of the warm-up time, from 0 to 1.
func (t *Tracker) warmUpFraction(now time.Duration) float64 {
	if t.phase != phaseWarming {
		return 1
	}
	part := float64(now-t.since) / float64(t.config.WarmUp)
	return min(max(part, 0), 1)
}

// shedMultiplier returns the factor that shedding applies to the concurrency, from
// minShedFactor to 1. It grows linearly after a decrease.
func (t *Tracker) shedMultiplier(now time.Duration) float64 {
	grown := float64(now-t.shedAt) / float64(t.config.ShedRecovery)
	return min(t.shedFactor+max(grown, 0), 1)
}

func (t *Tracker) decreaseConcurrency(now time.Duration) {
	multiplier := t.shedMultiplier(now)
	if t.shedFactor < 1 && now-t.shedAt < minShedInterval {
		return
	}
	t.shedFactor = max(multiplier*shedDecreaseFactor, minShedFactor)
	t.shedAt = now
}
