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
	// DefaultMinRTO avoids retransmissions caused by scheduling delays.
	DefaultMinRTO = 50 * time.Millisecond
	// DefaultMaxRTO limits the exponential backoff.
	DefaultMaxRTO = 2 * time.Second
	// DefaultIdleRefresh is the age above which a binding is refreshed before a
	// non-idempotent request is sent. A request sent to an owner that has crashed
	// since the last confirmation fails with ErrMayHaveRun; the age limits that
	// window.
	DefaultIdleRefresh = 200 * time.Millisecond
	// DefaultRetransmitRate is the maximum number of retransmitted datagrams per
	// second for each kind of a service.
	DefaultRetransmitRate = 500
)

// minRetryDelay is the minimum delay before a retry or after a busy refusal. It
// prevents a tight loop when a refusal has no retry delay.
const minRetryDelay = 5 * time.Millisecond

// maxUnchargedRedirects is the number of attempts of one call that are not charged
// to the retry budget because the flow's binding has changed since the refused attempt,
// usually by the refusal itself. Such refusals are limited by the number of takeovers,
// and the request reached no target.
const maxUnchargedRedirects = 3

// Config holds the settings of a session. Zero fields mean the defaults.
type Config struct {
	InitialRTO     time.Duration // retransmission timeout before the first sample
	MinRTO         time.Duration // lower bound of the timeout
	MaxRTO         time.Duration // upper bound of the timeout and its backoff
	IdleRefresh    time.Duration // see DefaultIdleRefresh
	RetransmitRate int           // retransmitted datagrams per second and kind
	// Budget is the retry budget of each kind of a service.
	Budget retry.BudgetConfig
	// Backoff configures the delays before retries.
	Backoff retry.BackoffConfig
}

// Defaults of Config.Budget and Config.Backoff.
const (
	// defaultInitialRetries allows retries before the first requests have added to
	// the budget.
	defaultInitialRetries = 10
	// defaultBudgetCapacity limits the burst of retries after an idle period.
	defaultBudgetCapacity = 100
	// defaultBackoffBase is the range of the first delay.
	defaultBackoffBase = 20 * time.Millisecond
	// defaultBackoffMax is the largest range of a delay.
	defaultBackoffMax = time.Second
)

// withDefaults returns c with zero fields replaced by their defaults.
func (c Config) withDefaults() Config {
	c.InitialRTO = orDefault(c.InitialRTO, DefaultInitialRTO)
	c.MinRTO = orDefault(c.MinRTO, DefaultMinRTO)
	c.MaxRTO = orDefault(c.MaxRTO, DefaultMaxRTO)
	c.IdleRefresh = orDefault(c.IdleRefresh, DefaultIdleRefresh)
	c.RetransmitRate = orDefault(c.RetransmitRate, DefaultRetransmitRate)
	c.Budget.InitialRetries = orDefault(c.Budget.InitialRetries, defaultInitialRetries)
	c.Budget.Capacity = orDefault(c.Budget.Capacity, defaultBudgetCapacity)
	c.Backoff.Base = orDefault(c.Backoff.Base, defaultBackoffBase)
	c.Backoff.Max = orDefault(c.Backoff.Max, defaultBackoffMax)
	return c
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
