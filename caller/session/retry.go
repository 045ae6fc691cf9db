package session

import "time"

// Budget limits retries to a share of requests.
type Budget interface {
	// OnRequest notes a first attempt at now.
	OnRequest(now time.Duration)
	// TryRetry takes the right to one retry at now and reports whether there was one.
	TryRetry(now time.Duration) bool
}

// Backoff computes delays before retries.
type Backoff interface {
	// Delay returns the delay before retry number n (from 1). The server's wish
	// is hint (0: none); random is uniform in [0, 1).
	Delay(n int, hint time.Duration, random float64) time.Duration
}

const (
	// budgetPerRequest is the budget that one request adds, in retries.
	budgetPerRequest = 0.1
	// budgetStart allows retries before the first requests have earned them.
	budgetStart = 10
	// budgetMax bounds the burst of retries after a long quiet time.
	budgetMax = 100
)

// tokenBudget is a retry budget without a time window.
type tokenBudget struct {
	tokens float64
}

func newTokenBudget() Budget {
	return &tokenBudget{tokens: budgetStart}
}

// OnRequest implements Budget.
func (b *tokenBudget) OnRequest(time.Duration) {
	b.tokens = min(b.tokens+budgetPerRequest, budgetMax)
}

// TryRetry implements Budget.
func (b *tokenBudget) TryRetry(time.Duration) bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = time.Second
)

// jitteredBackoff waits for the hint or an exponential delay, plus up to half
// of it at random.
type jitteredBackoff struct{}

// Delay implements Backoff.
func (jitteredBackoff) Delay(n int, hint time.Duration, random float64) time.Duration {
	delay := hint
	if delay <= 0 {
		delay = min(backoffBase<<min(n, 10), backoffMax)
	}
	return delay + time.Duration(random*float64(delay)/2)
}
