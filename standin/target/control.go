package target

import (
	"errors"
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// ErrControl means that a Control has an unknown or out-of-range value.
var ErrControl = errors.New("invalid control")

// The lies of a health endpoint.
const (
	LieNone      = ""
	LieHealthy   = "healthy"   // healthy and idle, whatever the truth
	LieUnhealthy = "unhealthy" // unhealthy and full, whatever the truth
)

// Control changes a target's behaviour. Nil fields change nothing.
type Control struct {
	Drain   *bool    `json:"drain,omitempty"`
	Slow    *float64 `json:"slow,omitempty"`    // factor of service times, above 0
	Crash   *bool    `json:"crash,omitempty"`   // true: lose all state and stop; false: start again, cold
	Lie     *string  `json:"lie,omitempty"`     // LieNone, LieHealthy or LieUnhealthy
	LagMS   *int     `json:"lag_ms,omitempty"`  // age of what the health endpoint says
	Backlog *int     `json:"backlog,omitempty"` // see Config.Backlog
}

// Health is what the health endpoint says.
type Health struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
	Cold     bool `json:"cold"`
	InFlight int  `json:"in_flight"` // requests running and waiting
}

// Apply changes the target's behaviour at now. It returns ErrControl, and then
// nothing is changed.
func (m *Machine) Apply(now time.Duration, c Control) error {
	if err := c.validate(); err != nil {
		return err
	}
	set(&m.draining, c.Drain)
	set(&m.slow, c.Slow)
	set(&m.health.lie, c.Lie)
	set(&m.config.Backlog, c.Backlog)
	if c.LagMS != nil {
		m.health.lag = time.Duration(*c.LagMS) * time.Millisecond
	}
	if c.Crash != nil {
		m.setCrashed(now, *c.Crash)
	}
	m.note(now)
	return nil
}

func set[T any](to *T, value *T) {
	if value != nil {
		*to = *value
	}
}

func (c Control) validate() error {
	if c.Slow != nil && *c.Slow <= 0 {
		return fmt.Errorf("slow factor %v is not above 0: %w", *c.Slow, ErrControl)
	}
	if c.LagMS != nil && *c.LagMS < 0 {
		return fmt.Errorf("lag of %d ms: %w", *c.LagMS, ErrControl)
	}
	if c.Backlog != nil && *c.Backlog < 0 {
		return fmt.Errorf("backlog %d: %w", *c.Backlog, ErrControl)
	}
	if c.Lie != nil && *c.Lie != LieNone && *c.Lie != LieHealthy && *c.Lie != LieUnhealthy {
		return fmt.Errorf("lie %q: %w", *c.Lie, ErrControl)
	}
	return nil
}

func (m *Machine) setCrashed(now time.Duration, crashed bool) {
	if crashed == m.crashed {
		return
	}
	m.crashed = crashed
	if crashed {
		m.stats.Crashes++
		m.forget()
		return
	}
	m.startedAt = now
}

// Crashed reports whether the target is down.
func (m *Machine) Crashed() bool {
	return m.crashed
}

// Health returns what the endpoint says at now. It reports false while the
// target is down, unless it lies.
func (m *Machine) Health(now time.Duration) (Health, bool) {
	m.note(now)
	switch m.health.lie {
	case LieHealthy:
		return Health{Healthy: true}, true
	case LieUnhealthy:
		return Health{InFlight: m.config.Slots + m.config.Backlog}, true
	default:
		return m.health.at(now), !m.crashed
	}
}

// Report returns what the endpoint says at now as the message that a VM makes of it.
func (m *Machine) Report(now time.Duration) *message.TargetReport {
	h, reached := m.Health(now)
	if !reached {
		return &message.TargetReport{Target: m.config.ID}
	}
	return &message.TargetReport{
		Target: m.config.ID, Reached: true,
		Healthy: h.Healthy, Draining: h.Draining, Cold: h.Cold, InFlight: h.InFlight,
	}
}

// note records the truth for a health endpoint that lags.
func (m *Machine) note(now time.Duration) {
	m.health.record(now, Health{
		Healthy:  !m.crashed,
		Draining: m.draining,
		Cold:     m.cold(now),
		InFlight: m.inFlight(),
	})
}

// healthView keeps as much history as the endpoint lags.
type healthView struct {
	lie     string
	lag     time.Duration
	history []healthAt
}

type healthAt struct {
	at     time.Duration
	health Health
}

// maxHistory bounds the memory for history; a longer lag is cut short.
const maxHistory = 1 << 16

func (v *healthView) record(now time.Duration, h Health) {
	if len(v.history) == 0 || v.history[len(v.history)-1].health != h {
		v.history = append(v.history, healthAt{at: now, health: h})
	}
	drop := 0
	for drop+1 < len(v.history) && (v.history[drop+1].at <= now-v.lag || len(v.history)-drop > maxHistory) {
		drop++
	}
	v.history = v.history[drop:]
}

// at returns the latest record that is at least as old as the lag, or the oldest.
func (v *healthView) at(now time.Duration) Health {
	found := v.history[0].health
	for _, h := range v.history {
		if h.at > now-v.lag {
			break
		}
		found = h.health
	}
	return found
}
