// Package certwatch is the service "certs": it reads the certificates again when
// their files change, and warns before they run out.
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
	// DefaultInterval is the time between two looks at the files. A look reads
	// a few kilobytes.
	DefaultInterval = 10 * time.Second
	// ExpiryWarningPeriod is the time before the end of a certificate from which on there
	// are warnings. It leaves a week's end and a holiday for the rotation.
	ExpiryWarningPeriod = 7 * 24 * time.Hour
	// warnInterval is the time between two warnings.
	warnInterval = time.Hour
)

// Certificates is the interface under which other services find this one.
type Certificates interface {
	Source() *certs.Source
	Stats() Stats
}

// Stats counts since start, apart from Expires.
type Stats struct {
	Expires  time.Time // end of the certificate in use
	Reloads  uint64
	Failures uint64 // looks at files that can't be used
}

// Service is the service "certs".
type Service struct {
	name     string
	source   *certs.Source
	interval time.Duration
	log      logs.Log
	gate     *kernel.Gate
	next     time.Duration // of the next look
	warnAt   time.Duration // no warning is written before
	reloads  atomic.Uint64
	failures atomic.Uint64
}

// New returns the service for a source. An interval of 0 is DefaultInterval.
func New(source *certs.Source, interval time.Duration) *Service {
	return NewNamed(Name, source, interval)
}

// NewNamed returns a service under another name than Name, for further files.
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

// step looks at the files once in each interval.
func (s *Service) step(now time.Duration) time.Duration {
	if now < s.next {
		return s.next
	}
	s.next = now + s.interval
	changed, err := s.source.Reload()
	switch {
	case err != nil:
		s.failures.Add(1)
		s.log.Log(events.CertificatesUnusable, events.F("service", s.name), events.F("error", err))
	case changed:
		s.reloads.Add(1)
		s.warnAt = now
		s.log.Log(events.CertificatesReloaded, events.F("service", s.name), events.F("expires", s.source.Current().Expires()))
	}
	s.warn(now)
	return s.next
}

// warn writes that the certificate runs out, at most once in warnInterval.
func (s *Service) warn(now time.Duration) {
	expires := s.source.Current().Expires()
	left := expires.Sub(s.source.Now())
	if expires.IsZero() || left > ExpiryWarningPeriod || now < s.warnAt {
		return
	}
	s.warnAt = now + warnInterval
	if left <= 0 {
		s.log.Log(events.CertificateExpired, events.F("service", s.name), events.F("expires", expires))
		return
	}
	s.log.Log(events.CertificateExpires, events.F("service", s.name), events.F("expires", expires), events.F("left", left.Round(time.Second)))
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
