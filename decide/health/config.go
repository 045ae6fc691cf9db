// Package health determines the health of one target from the outcomes of requests
// and from health reports, at the VM that owns the target.
//
// Outcomes of requests take precedence over the reports of the target's health
// endpoint, which may lag or be wrong. A target whose requests fail is ejected and
// probed by single requests with exponential backoff, like a half-open circuit
// breaker (M. Nygard, "Release It!", 2007). A target that sheds load is not
// unhealthy: its concurrency is lowered by multiplicative decrease and grows
// back over time (D. Chiu, R. Jain, "Analysis of the increase and decrease
// algorithms for congestion avoidance in computer networks", 1989).
//
// The package has no clock, randomness, I/O or goroutines. Times are durations
// since the start of the VM.
package health

import "time"

// Config holds the parameters of a Tracker. Values of 0 or less select the defaults.
type Config struct {
	// WarmUp is the time over which a cold target's concurrency and share of new
	// flows grow to the full value. Default 10 s.
	WarmUp time.Duration
	// FailureThreshold is the score of consecutive failures that ejects a target: a
	// timeout counts 1, an unreachable target 2. Half of it suffices if the reports agree.
	// Default 4.
	FailureThreshold int
	// FailureSpan is the minimum time between the first and the last of the
	// consecutive failures for an ejection by FailureThreshold. A single stall of the target times out
	// the requests of all its slots at once and must not eject it. Default 500 ms.
	FailureSpan time.Duration
	// ReportThreshold is the number of consecutive equal reports that take effect.
	// Default 3.
	ReportThreshold int
	// IdleTimeout is the time without outcomes after which reports alone determine
	// the health. Default 5 s.
	IdleTimeout time.Duration
	// LostTimeout is how long requests must fail until the target counts as crashed, if
	// the last ReportThreshold reports did not reach it. Default 3 s.
	LostTimeout time.Duration
	// RestartWindow is the maximum time from consecutive failures to the first report of
	// a cold start for both to count as one crash. Failures that follow that report count
	// as well. Later than RestartWindow after it, reports of this cold start are ignored.
	// Default 10 s.
	RestartWindow time.Duration
	// ProbeInterval is the time from the first ejection to the first probe. The
	// interval doubles with every ejection and failed probe until BackoffResetTime.
	// Default 2 s.
	ProbeInterval time.Duration
	// MaxProbeInterval bounds the probe interval. Default 60 s.
	MaxProbeInterval time.Duration
	// BackoffResetTime is the time in service after which the probe interval is reset
	// to ProbeInterval. A target that flaps faster is out of service for a longer time
	// with each ejection. Default 60 s.
	BackoffResetTime time.Duration
	// ProbeSuccesses is the number of answered probes that end an ejection, since the
	// last failed probe. Late answers to other requests count too. Default 2.
	ProbeSuccesses int
	// ShedRecovery is the time in which the concurrency would grow from 0 to the full
	// value after shedding. Default 10 s.
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
