package retry

import (
	"math/rand/v2"
	"time"
)

// Defaults of BackoffConfig.
const (
	// DefaultBase is the range of the first delay. It is of the order of a request's
	// service time, so that a brief shortage of slots ends after one or two retries.
	DefaultBase = 50 * time.Millisecond
	// DefaultMax is the largest range. It is below the 3 s in which a failed VM is
	// replaced.
	DefaultMax = 2 * time.Second
	// MaxDelayTerm bounds the range and the minimum of every delay, so that their sum
	// can't overflow.
	MaxDelayTerm = 24 * time.Hour
)

// BackoffConfig configures a Backoff. Values of 0 or less select the defaults.
type BackoffConfig struct {
	Base time.Duration // range of the first delay; doubles with each retry
	Max  time.Duration // largest range, at most MaxDelayTerm
}

// Backoff draws exponential delays with full jitter: each delay is uniform
// between 0 and its range.
type Backoff struct {
	base   time.Duration
	max    time.Duration
	random *rand.Rand
}

// NewBackoff returns a Backoff whose delays depend only on c, seed and the calls made.
// Callers must use different seeds, since equal ones retry at the same moments.
func NewBackoff(c BackoffConfig, seed uint64) *Backoff {
	const stream = 0x726574727964656c // PCG needs a second word; any constant works
	return &Backoff{
		base:   positive(c.Base, DefaultBase),
		max:    min(positive(c.Max, DefaultMax), MaxDelayTerm),
		random: rand.New(rand.NewPCG(seed, stream)),
	}
}

// Delay returns how long to wait before the given retry, counted from 1: minimum, which is
// the retry delay of a refusal, plus a random jitter. The jitter is added even to a large
// minimum, so that callers refused at the same moment do not retry together. minimum is
// clamped to MaxDelayTerm.
func (b *Backoff) Delay(retry int, minimum time.Duration) time.Duration {
	jitter := time.Duration(b.random.Int64N(int64(b.jitterRange(retry)) + 1))
	return min(max(minimum, 0), MaxDelayTerm) + jitter
}

// jitterRange returns the range of the given retry without overflow.
func (b *Backoff) jitterRange(retry int) time.Duration {
	jitterRange := min(b.base, b.max)
	for range retry - 1 {
		if jitterRange > b.max/2 {
			return b.max
		}
		jitterRange *= 2
	}
	return jitterRange
}
