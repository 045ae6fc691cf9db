package session

import "time"

// rtoEstimator computes the retransmission timeout of RFC 6298, section 2. The
// exponential backoff after a timeout is state of each call, since many calls of one
// kind are in flight at once.
type rtoEstimator struct {
	initialRTO, minRTO, maxRTO time.Duration
	srtt, rttvar               time.Duration
	hasSample                  bool
}

// addSample adds the round-trip time of an exchange that was not retransmitted
// (Karn's algorithm, RFC 6298, section 3).
func (e *rtoEstimator) addSample(rtt time.Duration) {
	if !e.hasSample {
		e.hasSample = true
		e.srtt = rtt
		e.rttvar = rtt / 2
		return
	}
	e.rttvar = (3*e.rttvar + (e.srtt - rtt).Abs()) / 4
	e.srtt = (7*e.srtt + rtt) / 8
}

// timeout returns the retransmission timeout of a first transmission.
func (e *rtoEstimator) timeout() time.Duration {
	if !e.hasSample {
		return e.initialRTO
	}
	return min(max(e.srtt+4*e.rttvar, e.minRTO), e.maxRTO)
}

// tokenBucket is a token bucket whose capacity is the tokens of one second.
type tokenBucket struct {
	tokensPerSecond float64
	tokens          float64
	refilledAt      time.Duration
}

// take removes n tokens if the bucket holds at least one; the balance may become
// negative, so that all parts of an attempt are sent together. Otherwise it removes
// none and returns the time until there is one.
func (b *tokenBucket) take(now time.Duration, n int) (wait time.Duration) {
	b.tokens = min(b.tokens+(now-b.refilledAt).Seconds()*b.tokensPerSecond, b.tokensPerSecond)
	b.refilledAt = now
	if b.tokens >= 1 {
		b.tokens -= float64(n)
		return 0
	}
	seconds := (1 - b.tokens) / b.tokensPerSecond
	return time.Duration(seconds*float64(time.Second)) + time.Millisecond
}
