package catalogwatch

import (
	"context"
	"time"
)

// Waits is how the blocker "catalogwatch.read" has spent time between two successful results, apart
// from the call that was answered.
type Waits struct {
	Pauses      time.Duration // after batches of a watch
	RetryDelays time.Duration // after failed calls
	FailedCalls time.Duration // until calls failed
	Pages       int           // pages read, of which the result has those of its own read
}

// Add returns the sum of two spans of time.
func (w Waits) Add(other Waits) Waits {
	return Waits{
		Pauses:      w.Pauses + other.Pauses,
		RetryDelays: w.RetryDelays + other.RetryDelays,
		FailedCalls: w.FailedCalls + other.FailedCalls,
		Pages:       w.Pages + other.Pages,
	}
}

// RetryNow ends the delay before a failed call is repeated. During a call it ends the delay that
// follows if the call fails.
func (s *Service) RetryNow() { signal(s.retryNow) }

// discardRetryNow forgets calls of RetryNow that came before the present call to the store.
func (s *Service) discardRetryNow() {
	select {
	case <-s.retryNow:
	default:
	}
}

// signal sends to a channel of capacity 1 unless it is full.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// delayRetry waits for d, until RetryNow is called or until ctx ends, and returns how long that was.
func (s *Service) delayRetry(ctx context.Context, d time.Duration) time.Duration {
	started := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.retryNow:
	case <-ctx.Done():
	}
	return time.Since(started)
}
