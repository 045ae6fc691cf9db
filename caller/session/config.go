package session

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/retry"
)

// Defaults of Config.
const (
	// DefaultInitialRTO is below the second of RFC 6298, since the round trip to
	// the fleet takes milliseconds.
	DefaultInitialRTO = 300 * time.Millisecond
	// DefaultMinRTO keeps scheduling noise from causing retransmissions.
	DefaultMinRTO = 50 * time.Millisecond
	// DefaultMaxRTO bounds the exponential back-off.
	DefaultMaxRTO = 2 * time.Second
	// DefaultIdleRefresh is the age from which a binding is refreshed before a
	// non-idempotent request. A request that is sent to an owner that crashed
	// since then ends as "may have run", so the age bounds that window.
	DefaultIdleRefresh = 200 * time.Millisecond
	// DefaultRetransmitRate is the number of retransmitted datagrams per second
	// for each kind of a service.
	DefaultRetransmitRate = 500
)

// minPause is the shortest delay before a retry or after a busy refusal. It
// keeps a refusal without a retry delay from causing a tight loop.
const minPause = 5 * time.Millisecond

// freeRedirects is the number of new attempts of one call that are not charged
// to the retry budget, if the refusal named another binding. Such refusals are
// bounded by the number of takeovers, and the request reached no target.
const freeRedirects = 3

// Config holds the settings of a session. Zero fields take the defaults.
type Config struct {
	InitialRTO     time.Duration // retransmission time-out before the first sample
	MinRTO         time.Duration // lower bound of the time-out
	MaxRTO         time.Duration // upper bound of the time-out and its back-off
	IdleRefresh    time.Duration // see DefaultIdleRefresh
	RetransmitRate int           // datagrams per second and kind
	// Budget is the retry budget of each kind of a service.
	Budget retry.BudgetConfig
	// Backoff sets the delays before retries.
	Backoff retry.BackoffConfig
}

// Defaults of Config.Budget and Config.Backoff.
const (
	// budgetReserve allows retries before the first requests have earned them.
	budgetReserve = 10
	// budgetCapacity bounds the burst of retries after a long quiet time.
	budgetCapacity = 100
	// backoffBase is the range of the first delay.
	backoffBase = 20 * time.Millisecond
	// backoffMax is the largest range of a delay.
	backoffMax = time.Second
)

// withDefaults returns c with defaults in place of zero fields.
func (c Config) withDefaults() Config {
	c.InitialRTO = orDefault(c.InitialRTO, DefaultInitialRTO)
	c.MinRTO = orDefault(c.MinRTO, DefaultMinRTO)
	c.MaxRTO = orDefault(c.MaxRTO, DefaultMaxRTO)
	c.IdleRefresh = orDefault(c.IdleRefresh, DefaultIdleRefresh)
	c.RetransmitRate = orDefault(c.RetransmitRate, DefaultRetransmitRate)
	c.Budget.InitialRetries = orDefault(c.Budget.InitialRetries, budgetReserve)
	c.Budget.Capacity = orDefault(c.Budget.Capacity, budgetCapacity)
	c.Backoff.Base = orDefault(c.Backoff.Base, backoffBase)
	c.Backoff.Max = orDefault(c.Backoff.Max, backoffMax)
	return c
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
