package target

import (
	"errors"
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// ErrControl means that a Control has an unknown or out-of-range value.
var ErrControl = errors.New("invalid control")

// Values of Control.Lie: false states that the health endpoint reports.
const (
	LieNone      = ""
	LieHealthy   = "healthy"   // always healthy and idle
	LieUnhealthy = "unhealthy" // always unhealthy and fully loaded
)

// Control changes a target's behaviour, to inject faults. Nil fields change nothing.
type Control struct {
	Drain   *bool    `json:"drain,omitempty"`
	Slow    *float64 `json:"slow,omitempty"`    // factor of service times, greater than 0
	Crash   *bool    `json:"crash,omitempty"`   // true: lose all state and stop; false: restart, cold
	Lie     *string  `json:"lie,omitempty"`     // LieNone, LieHealthy or LieUnhealthy
	LagMS   *int     `json:"lag_ms,omitempty"`  // age of the state that the health endpoint reports, in milliseconds
	Backlog *int     `json:"backlog,omitempty"` // see Config.Backlog
}

// Health is the response of the health endpoint.
type Health struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
	Cold     bool `json:"cold"`
	InFlight int  `json:"in_flight"` // running and queued requests
}

// Apply changes the target's behaviour at now. If it returns ErrControl, nothing has changed.
func (m *Machine) Apply(now time.Duration, c Control) error {
	if err := c.validate(); err != nil {
		return err
	}
	setIfPresent(&m.draining, c.Drain)
	setIfPresent(&m.slowFactor, c.Slow)
	setIfPresent(&m.health.lie, c.Lie)
	setIfPresent(&m.config.Backlog, c.Backlog)
	if c.LagMS != nil {
		m.health.lag = time.Duration(*c.LagMS) * time.Millisecond
	}
	if c.Crash != nil {
		m.setCrashed(now, *c.Crash)
	}
	m.recordHealth(now)
	return nil
}

func setIfPresent[T any](to *T, value *T) {
	if value != nil {
		*to = *value
	}
}

func (c Control) validate() error {
	if c.Slow != nil && *c.Slow <= 0 {
		return fmt.Errorf("slow factor %v is not greater than 0: %w", *c.Slow, ErrControl)
	}
	if c.LagMS != nil && *c.LagMS < 0 {
		return fmt.Errorf("negative lag of %d ms: %w", *c.LagMS, ErrControl)
	}
	if c.Backlog != nil && *c.Backlog < 0 {
		return fmt.Errorf("negative backlog %d: %w", *c.Backlog, ErrControl)
	}
	if c.Lie != nil && *c.Lie != LieNone && *c.Lie != LieHealthy && *c.Lie != LieUnhealthy {
		return fmt.Errorf("unknown lie %q: %w", *c.Lie, ErrControl)
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
		m.resetState()
		return
	}
	m.startedAt = now
}

// Crashed reports whether the target has crashed and not been restarted.
func (m *Machine) Crashed() bool {
	return m.crashed
}

// Health returns the response of the health endpoint at now. It returns false while the
// target is down, unless a false state is set by Control.Lie.
func (m *Machine) Health(now time.Duration) (Health, bool) {
	m.recordHealth(now)
	switch m.health.lie {
	case LieHealthy:
		return Health{Healthy: true}, true
	case LieUnhealthy:
		return Health{InFlight: m.config.Slots + m.config.Backlog}, true
	default:
		return m.health.at(now), !m.crashed
	}
}

// Report returns the response of the health endpoint at now as the TargetReport that a VM
// derives from it.
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

// recordHealth records the current state, which the health endpoint reports after its lag.
func (m *Machine) recordHealth(now time.Duration) {
	m.health.record(now, Health{
		Healthy:  !m.crashed,
		Draining: m.draining,
		Cold:     m.isCold(now),
		InFlight: m.inFlight(),
	})
}

// healthHistory has the states of the target that the health endpoint may still report.
type healthHistory struct {
	lie     string
	lag     time.Duration
	records []healthRecord
}

// healthRecord is the state of the target from a time on.
type healthRecord struct {
	at     time.Duration
	health Health
}

// maxHealthRecords limits the memory for records. If more changes occur within the lag, the
// effective lag is shorter.
const maxHealthRecords = 1 << 16

func (v *healthHistory) record(now time.Duration, h Health) {
	if len(v.records) == 0 || v.records[len(v.records)-1].health != h {
		v.records = append(v.records, healthRecord{at: now, health: h})
	}
	drop := 0
	for drop+1 < len(v.records) && (v.records[drop+1].at <= now-v.lag || len(v.records)-drop > maxHealthRecords) {
		drop++
	}
	v.records = v.records[drop:]
}

// at returns the state of the newest record that is at least as old as the lag, or else of
// the oldest record.
func (v *healthHistory) at(now time.Duration) Health {
	found := v.records[0].health
	for _, h := range v.records {
		if h.at > now-v.lag {
			break
		}
		found = h.health
	}
	return found
}
