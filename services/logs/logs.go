// Package logs is the service "logs": it writes log events on a duty of its
// own, so that a slow reader of the log delays no other duty.
package logs

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
)

// Name is the service's name.
const Name = "logs"

const (
	// ringCapacity is the number of lines that may wait.
	ringCapacity = 1024
	// batchSize is the number of lines written in one step.
	batchSize = 64
)

// Log takes events. Other services look it up under Name.
type Log interface {
	// Log never waits. Lines above the event's rate limit and lines that find
	// the ring full are counted and reported by later lines.
	Log(e *events.Event, fields ...events.Field)
}

// Service is the service "logs".
type Service struct {
	logger   *events.Logger
	gate     *kernel.Gate
	lines    *kernel.Ring[events.Line]
	reported uint64 // drops that were reported, used by the duty only

	flush   chan struct{} // closed by Stop
	flushed chan struct{} // closed by the duty
	once    sync.Once
}

// New returns the service that writes through logger.
func New(logger *events.Logger) *Service {
	return &Service{logger: logger, flush: make(chan struct{}), flushed: make(chan struct{})}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Setup implements kernel.Service.
func (s *Service) Setup(k *kernel.Kernel) error {
	s.gate = kernel.NewGate()
	s.lines = kernel.NewRing[events.Line](k, "logs.lines", ringCapacity, kernel.DropNewest, s.gate)
	return nil
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	k.AddDuty(kernel.Duty{Name: "logs", Gate: s.gate, Step: s.step})
	return nil
}

// Log implements Log.
func (s *Service) Log(e *events.Event, fields ...events.Field) {
	line, ok := s.logger.Admit(e, fields)
	if ok {
		// A full ring drops the line; step reports the count.
		_ = s.lines.Put(line)
	}
}

func (s *Service) step(now time.Duration) time.Duration {
	s.reportDrops()
	for range batchSize {
		line, ok := s.lines.Take()
		if !ok {
			s.noteFlushed()
			return kernel.Idle
		}
		s.logger.Write(line)
	}
	return now
}

func (s *Service) reportDrops() {
	drops := s.lines.Stats().Drops
	if drops == s.reported {
		return
	}
	s.logger.Log(events.LinesDropped, events.F("dropped", drops-s.reported))
	s.reported = drops
}

func (s *Service) noteFlushed() {
	select {
	case <-s.flush:
		s.once.Do(func() { close(s.flushed) })
	default:
	}
}

// Drain writes the waiting lines on the calling goroutine. It is for use after
// the kernel has stopped, since a stop at once leaves lines in the ring.
func (s *Service) Drain() {
	for {
		line, ok := s.lines.Take()
		if !ok {
			return
		}
		s.logger.Write(line)
	}
}

// Stop implements kernel.Stopper: it writes the waiting lines.
func (s *Service) Stop(ctx context.Context) error {
	close(s.flush)
	s.gate.Signal()
	select {
	case <-s.flushed:
	case <-ctx.Done():
	}
	return nil
}
