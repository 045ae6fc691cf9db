// Package store is a stand-in for the platform's key-value store: one engine in
// memory with an in-process client, an HTTP handler for the JSON form of the
// etcd v3 API, rate limits and faults. It is for tests and trials only.
package store

import (
	"context"
	"time"

	"github.com/gypsumspan/gypsumspan/kernel"
)

// Defaults of Options, as the platform describes its store.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
	// DefaultMaxValue is the largest value, in bytes.
	DefaultMaxValue = 1 << 20
	// DefaultMaxTxn is the largest sum of keys and values of a transaction, in
	// bytes (etcd's --max-request-bytes).
	DefaultMaxTxn = 1536 << 10
	// DefaultMaxOps is the largest number of comparisons, and of writes, of a
	// transaction (etcd's --max-txn-ops).
	DefaultMaxOps = 128
	// DefaultRetainedRevisions is the number of revisions that are kept for watches
	// and reads of the past.
	DefaultRetainedRevisions = 10_000
)

// Options configure an Engine. Zero fields take the defaults.
type Options struct {
	// Clock gives the time of rate limits and leases; nil is real time.
	Clock kernel.Clock
	// Sleep delays the answers of a slow store; nil is real time.
	Sleep func(ctx context.Context, d time.Duration) error
	// WritesPerSecond and ReadsPerSecond are the rates of calls; below 0 is no limit.
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

// bucket is a token bucket that holds the calls of one second.
type bucket struct {
	rate   float64 // calls per second; below 0 is no limit
	tokens float64
	last   time.Duration
}

func newBucket(rate float64, now time.Duration) bucket {
	return bucket{rate: rate, tokens: rate, last: now}
}

func (b *bucket) take(now time.Duration) bool {
	if b.rate < 0 {
		return true
	}
	b.tokens = min(b.rate, b.tokens+(now-b.last).Seconds()*b.rate)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
