package catalogwatch

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/retry"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay before a failed call is retried. A
	// VM must be up to date within a few seconds after the store is available again.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// minSlowRetryDelay and maxSlowRetryDelay bound the delay at a VM that leaves
	// frequent retries to other VMs of its failure domain.
	minSlowRetryDelay = 2 * time.Second
	maxSlowRetryDelay = 6 * time.Second
)

// Pacing decides how long a VM waits before it calls the store again after a failed call.
// It is not safe for concurrent use.
type Pacing struct {
	backoff     *retry.Backoff
	slowBackoff *retry.Backoff
	retries     int
	historyLost bool // the last call failed since the store had dropped its history
}

// NewPacing returns a pacing whose jitter is drawn from seed.
func NewPacing(seed uint64) *Pacing {
	return &Pacing{
		backoff:     retry.NewBackoff(retry.BackoffConfig{Base: minRetryDelay, Max: maxRetryDelay}, seed),
		slowBackoff: retry.NewBackoff(retry.BackoffConfig{Base: minSlowRetryDelay, Max: maxSlowRetryDelay}, seed),
	}
}

// Succeeded records a call that was answered.
func (p *Pacing) Succeeded() {
	p.retries = 0
	p.historyLost = false
}

// Failed records a failed call and returns the delay before the next one. slow selects the
// longer delays. A call that failed since the store had dropped its history was answered: the
// VM reads the store at once, since the answer shows that it misses changes, unless that
// happened to the call before as well.
func (p *Pacing) Failed(historyLost, slow bool) time.Duration {
	readAtOnce := historyLost && !p.historyLost
	p.historyLost = historyLost
	if readAtOnce {
		return 0
	}
	p.retries++
	if slow {
		return p.slowBackoff.Delay(p.retries, minSlowRetryDelay)
	}
	return p.backoff.Delay(p.retries, minRetryDelay)
}

// minBatchPause is the shortest pause of a watch after a batch.
const minBatchPause = 5 * time.Millisecond

// BatchPacing decides how long a watch pauses after a batch with events. Changes come in groups, and
// each batch costs a call, so that a pause collects more of them in a batch. It is not safe for
// concurrent use.
type BatchPacing struct {
	longest time.Duration
	next    time.Duration
}

// NewBatchPacing returns a pacing whose pauses have the given length, unless ShortenPauses is called.
func NewBatchPacing(pause time.Duration) *BatchPacing {
	return &BatchPacing{longest: pause, next: pause}
}

// ShortenPauses shortens the next pauses: they start at minBatchPause and double up to the usual length. It
// costs a few calls, and a change is delayed by little more than the time from the call to it.
func (p *BatchPacing) ShortenPauses() { p.next = min(minBatchPause, p.longest) }

// Pause returns the length of the next pause.
func (p *BatchPacing) Pause() time.Duration {
	pause := p.next
	p.next = min(2*p.next, p.longest)
	return pause
}
