package session

import "time"

// estimator computes a retransmission time-out as in RFC 6298, section 2. The
// doubling after a time-out is kept per call, not here, since many calls of one
// kind are in flight at once.
type estimator struct {
	initial, lowest, highest time.Duration
	smoothed, variation      time.Duration
	hasSample                bool
}

// sample adds a round-trip time of an exchange that was not retransmitted
// (Karn's algorithm, RFC 6298, section 3).
func (e *estimator) sample(rtt time.Duration) {
	if !e.hasSample {
		e.hasSample = true
		e.smoothed = rtt
		e.variation = rtt / 2
		return
	}
	e.variation = (3*e.variation + (e.smoothed - rtt).Abs()) / 4
	e.smoothed = (7*e.smoothed + rtt) / 8
}

// timeout returns the time-out of a first transmission.
func (e *estimator) timeout() time.Duration {
	if !e.hasSample {
		return e.initial
	}
	return min(max(e.smoothed+4*e.variation, e.lowest), e.highest)
}

// rateLimit is a token bucket over one second.
type rateLimit struct {
	perSecond float64
	tokens    float64
	last      time.Duration
}

// take takes n tokens. The bucket may go into debt, so that an attempt of many
// parts is sent whole. If there is no token, it returns the time until one.
func (l *rateLimit) take(now time.Duration, n int) (wait time.Duration) {
	l.tokens = min(l.tokens+(now-l.last).Seconds()*l.perSecond, l.perSecond)
	l.last = now
	if l.tokens >= 1 {
		l.tokens -= float64(n)
		return 0
	}
	missing := (1 - l.tokens) / l.perSecond
	return time.Duration(missing*float64(time.Second)) + time.Millisecond
}
