// Package certwatch is the service "certs": it reloads the certificates when their
// files change, and logs warnings before they expire.
package certwatch

import (
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/certs"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/logs"
)

// Name is the service's name.
const Name = "certs"

const (
	// DefaultInterval is the time between two checks of the files. A check reads
	// a few kilobytes.
	DefaultInterval = 10 * time.Second
	// ExpiryWarningPeriod is the time before a certificate's expiry at which warnings
	// start. It leaves time for a rotation after a weekend and a holiday.
	ExpiryWarningPeriod = 7 * 24 * time.Hour
	// warnInterval is the time between two warnings of expiry.
	warnInterval = time.Hour
)

// Certificates is the interface of the service for other services.
type Certificates interface {
	// Source returns the source of the certificates. Only this service calls its Reload.
	Source() *certs.Source
	// Stats returns the counters and the expiry. It is safe for concurrent use.
	Stats() Stats
}

// Stats holds counters since start and the expiry of the certificate in use.
type Stats struct {
	Expires  time.Time // expiry of the certificate in use; zero if there is none
	Reloads  uint64    // checks that found changed files and loaded them
	Failures uint64    // checks that found unusable files
}

// Service is the service "certs".
type Service struct {
	name        string
	source      *certs.Source
	interval    time.Duration
	log         logs.Log
	gate        *kernel.Gate
	nextCheck   time.Duration // time of the next check
	nextWarning time.Duration // earliest time of the next warning of expiry
	reloads     atomic.Uint64
	failures    atomic.Uint64
}

// New returns the service for a source. An interval of 0 means DefaultInterval.
func New(source *certs.Source, interval time.Duration) *Service {
	return NewNamed(Name, source, interval)
}

// NewNamed is like New for a service with another name than Name, for additional files.
func NewNamed(name string, source *certs.Source, interval time.Duration) *Service {
	if interval == 0 {
		interval = DefaultInterval
	}
	return &Service{name: name, source: source, interval: interval}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return s.name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return []string{logs.Name} }

// Setup implements kernel.Service.
func (s *Service) Setup(*kernel.Kernel) error {
	s.gate = kernel.NewGate()
	return nil
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	var err error
	if s.log, err = kernel.Lookup[logs.Log](k, logs.Name); err != nil {
		return err
	}
	k.AddDuty(kernel.Duty{Name: s.name, Gate: s.gate, Step: s.step})
	return nil
}

// step checks the files once in each interval.
func (s *Service) step(now time.Duration) time.Duration {
	if now < s.nextCheck {
		return s.nextCheck
	}
	s.nextCheck = now + s.interval
	changed, err := s.source.Reload()
	switch {
	case err != nil:
		s.failures.Add(1)
		s.log.Log(events.CertificatesUnusable, events.F("service", s.name), events.F("error", err))
	case changed:
		s.reloads.Add(1)
		s.nextWarning = now // a new certificate that expires soon is logged at once
		s.log.Log(events.CertificatesReloaded, events.F("service", s.name), events.F("expires", s.source.Current().Expires()))
	}
	s.logExpiry(now)
	return s.nextCheck
}

// logExpiry logs that the certificate has expired or expires soon, at most once in
// warnInterval.
func (s *Service) logExpiry(now time.Duration) {
	expires := s.source.Current().Expires()
	remaining := expires.Sub(s.source.Now())
	if expires.IsZero() || remaining > ExpiryWarningPeriod || now < s.nextWarning {
		return
	}
	s.nextWarning = now + warnInterval
	if remaining <= 0 {
		s.log.Log(events.CertificateExpired, events.F("service", s.name), events.F("expires", expires))
		return
	}
	s.log.Log(events.CertificateExpires, events.F("service", s.name), events.F("expires", expires), events.F("left", remaining.Round(time.Second)))
}

// Source implements Certificates.
func (s *Service) Source() *certs.Source { return s.source }

// Stats implements Certificates.
func (s *Service) Stats() Stats {
	return Stats{
		Expires:  s.source.Current().Expires(),
		Reloads:  s.reloads.Load(),
		Failures: s.failures.Load(),
	}
}
