package retry

import (
	"math/rand/v2"
	"time"
)

// Defaults of BackoffConfig.
const (
	// DefaultBase is the range of the first delay. It is of the order of a request's
	// service time, so a short shortage of slots has passed after one or two retries.
	DefaultBase = 50 * time.Millisecond
	// DefaultMax is the range of late delays. It stays below the 3 s in which a
	// failed VM is replaced.
	DefaultMax = 2 * time.Second
	// MaxDelayTerm bounds the range and the minimum of every delay, so that their sum
	// cannot overflow.
	MaxDelayTerm = 24 * time.Hour
)

// BackoffConfig sets up a Backoff. Values of 0 or less select the defaults.
type BackoffConfig struct {
	Base time.Duration // range of the first delay; doubles with each retry
	Max  time.Duration // largest range
}

// Backoff draws exponential delays with full jitter: each delay is uniform
// between 0 and its range.
type Backoff struct {
	base   time.Duration
	max    time.Duration
	random *rand.Rand
}

// NewBackoff returns a Backoff whose delays depend only on c, seed and the calls
// made. Callers need different seeds, since equal ones retry at the same moments.
func NewBackoff(c BackoffConfig, seed uint64) *Backoff {
	const stream = 0x726574727964656c // any constant; PCG needs a second word
	return &Backoff{
		base:   positive(c.Base, DefaultBase),
		max:    min(positive(c.Max, DefaultMax), MaxDelayTerm),
		random: rand.New(rand.NewPCG(seed, stream)),
	}
}

// Delay returns how long to wait before the given retry, from 1. The delay is
// never shorter than minimum (at most MaxDelayTerm), the retry delay of a refusal.
// The jitter is added to minimum, not replaced by it, so that callers refused at
// the same moment do not come back together.
func (b *Backoff) Delay(retry int, minimum time.Duration) time.Duration {
	jitter := time.Duration(b.random.Int64N(int64(b.limit(retry)) + 1))
	return min(max(minimum, 0), MaxDelayTerm) + jitter
}

// limit returns the range of the given retry without overflow.
func (b *Backoff) limit(retry int) time.Duration {
	limit := min(b.base, b.max)
	for range retry - 1 {
		if limit > b.max/2 {
			return b.max
		}
		limit *= 2
	}
	return limit
}
