// Package health judges the health of one target as its owner sees it.
//
// Outcomes of requests take precedence over what the target's health endpoint
// reports, which may lag or mislead. A target whose requests fail is ejected and
// probed by single requests at growing intervals, like a circuit breaker that is
// half open (M. Nygard, "Release It!", 2007). A target that sheds load is not
// unhealthy: its concurrency is lowered by multiplicative decrease and grows
// back over time (D. Chiu, R. Jain, "Analysis of the increase and decrease
// algorithms for congestion avoidance in computer networks", 1989).
//
// The package has no clock, randomness, I/O or goroutines. Times are durations
// since start.
package health

import "time"

// Config holds the parameters of a Tracker. Zero values stand for the defaults.
type Config struct {
	// WarmUp is the time over which a cold target's concurrency and share of new
	// flows grow to the full value. Default 10 s.
	WarmUp time.Duration
	// FailureThreshold is the score of failures in a row that ejects a target: a
	// time-out counts 1, an unreachable target 2. Default 4.
	FailureThreshold int
	// FailureSpan is the least time between the first and the last failure in a row
	// for an ejection. One stall of the target times out all its slots at once
	// and must not eject it. Default 500 ms.
	FailureSpan time.Duration
	// ReportThreshold is the number of consistent reports that count. Default 3.
	ReportThreshold int
	// IdleTimeout is the time without outcomes after which reports alone count.
	// Default 5 s.
	IdleTimeout time.Duration
	// LostTimeout is the time for which requests fail and reports do not arrive
	// until the target counts as crashed. Default 3 s.
	LostTimeout time.Duration
	// RestartWindow is the time between failures in a row and a report of a cold
	// start within which both count as one crash. Default 10 s.
	RestartWindow time.Duration
	// ProbeInterval is the time from the first ejection to the first probe. It
	// doubles with every ejection and failed probe. Default 2 s.
	ProbeInterval time.Duration
	// MaxProbeInterval bounds the time between probes. Default 60 s.
	MaxProbeInterval time.Duration
	// BackoffResetTime is the time in service after which ProbeInterval starts anew,
	// so that a flapping target stays out for longer and longer. Default 60 s.
	BackoffResetTime time.Duration
	// ProbeSuccesses is the number of answered probes that end an ejection.
	// Default 2.
	ProbeSuccesses int
	// ShedRecovery is the time in which the concurrency grows back from nothing
	// to the full value after shedding. Default 10 s.
	ShedRecovery time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.WarmUp, 10*time.Second)
	setDefault(&c.FailureThreshold, 4)
	setDefault(&c.FailureSpan, 500*time.Millisecond)
	setDefault(&c.ReportThreshold, 3)
	setDefault(&c.IdleTimeout, 5*time.Second)
	setDefault(&c.LostTimeout, 3*time.Second)
	setDefault(&c.RestartWindow, 10*time.Second)
	setDefault(&c.ProbeInterval, 2*time.Second)
	setDefault(&c.MaxProbeInterval, time.Minute)
	setDefault(&c.BackoffResetTime, time.Minute)
	setDefault(&c.ProbeSuccesses, 2)
	setDefault(&c.ShedRecovery, 10*time.Second)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
