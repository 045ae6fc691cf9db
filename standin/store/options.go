// Package store is a stand-in for an etcd key-value store: an in-memory engine with an
// in-process client, an HTTP handler for the JSON mapping of the etcd v3 API, rate limits
// and fault injection. It is for tests and trials only.
package store

import (
	"context"
	"time"

	"github.com/gypsumspan/gypsumspan/kernel"
)

// Defaults of Options, as the platform specifies its store.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
	// DefaultMaxValue is the largest value, in bytes.
	DefaultMaxValue = 1 << 20
	// DefaultMaxTxn is the largest total size of the keys and values of a transaction,
	// in bytes (etcd's --max-request-bytes).
	DefaultMaxTxn = 1536 << 10
	// DefaultMaxOps is the largest number of comparisons, and also of writes, in a
	// transaction (etcd's --max-txn-ops).
	DefaultMaxOps = 128
	// DefaultRetainedRevisions is the number of revisions that stay available to watches
	// and reads of earlier revisions.
	DefaultRetainedRevisions = 10_000
)

// Options configure an Engine. Zero fields mean the defaults.
type Options struct {
	// Clock is the clock of rate limits and leases; nil is the real clock.
	Clock kernel.Clock
	// Sleep implements the delay set by Engine.SetDelay; nil sleeps in real time.
	Sleep func(ctx context.Context, d time.Duration) error
	// WritesPerSecond and ReadsPerSecond limit the rates of calls; below 0: no limit.
	WritesPerSecond   float64
	ReadsPerSecond    float64
	MaxValue          int // bytes
	MaxTxn            int // bytes
	MaxOps            int
	RetainedRevisions int
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = kernel.NewClock()
	}
	if o.Sleep == nil {
		o.Sleep = sleep
	}
	o.WritesPerSecond = orDefault(o.WritesPerSecond, DefaultWritesPerSecond)
	o.ReadsPerSecond = orDefault(o.ReadsPerSecond, DefaultReadsPerSecond)
	o.MaxValue = orDefault(o.MaxValue, DefaultMaxValue)
	o.MaxTxn = orDefault(o.MaxTxn, DefaultMaxTxn)
	o.MaxOps = orDefault(o.MaxOps, DefaultMaxOps)
	o.RetainedRevisions = orDefault(o.RetainedRevisions, DefaultRetainedRevisions)
	return o
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tokenBucket is a token bucket whose burst is the number of calls of one second.
type tokenBucket struct {
	refillRate float64 // calls per second; below 0: no limit
	tokens     float64
	lastRefill time.Duration
}

func newTokenBucket(rate float64, now time.Duration) tokenBucket {
	return tokenBucket{refillRate: rate, tokens: rate, lastRefill: now}
}

// allow takes a token and reports whether there was one.
func (b *tokenBucket) allow(now time.Duration) bool {
	if b.refillRate < 0 {
		return true
	}
	b.tokens = min(b.refillRate, b.tokens+(now-b.lastRefill).Seconds()*b.refillRate)
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
