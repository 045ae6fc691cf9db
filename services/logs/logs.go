// Package logs is the service "logs": it writes log lines on a separate duty, so that a
// slow log writer does not delay other duties.
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
	// ringCapacity is the number of lines that may be queued.
	ringCapacity = 1024
	// batchSize bounds the lines written in one step.
	batchSize = 64
)

// Log accepts log events. Other services look it up under Name.
type Log interface {
	// Log queues a line and never blocks. Lines above the event's rate limit, and lines
	// that are dropped because the ring is full, are counted and reported by later lines.
	Log(e *events.Event, fields ...events.Field)
}

// Service is the service "logs".
type Service struct {
	logger        *events.Logger
	gate          *kernel.Gate
	lines         *kernel.Ring[events.Line]
	reportedDrops uint64 // dropped lines that were reported; used by the duty only

	flush   chan struct{} // closed by Stop
	flushed chan struct{} // closed by the duty when the ring is empty after that
	once    sync.Once
}

// New returns the service that writes through logger.
func New(logger *events.Logger) *Service {
	return &Service{logger: logger, flush: make(chan struct{}), flushed: make(chan struct{})}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

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
		// A full ring drops the line; step reports the number of dropped lines.
		_ = s.lines.Put(line)
	}
}

func (s *Service) step(now time.Duration) time.Duration {
	s.reportDrops()
	for range batchSize {
		line, ok := s.lines.Take()
		if !ok {
			s.signalFlushed()
			return kernel.Idle
		}
		s.logger.Write(line)
	}
	return now
}

func (s *Service) reportDrops() {
	drops := s.lines.Stats().Drops
	if drops == s.reportedDrops {
		return
	}
	s.logger.Log(events.LinesDropped, events.F("dropped", drops-s.reportedDrops))
	s.reportedDrops = drops
}

func (s *Service) signalFlushed() {
	select {
	case <-s.flush:
		s.once.Do(func() { close(s.flushed) })
	default:
	}
}

// Drain writes the queued lines on the calling goroutine. It must be called only after
// the kernel has stopped; a forced stop leaves lines in the ring.
func (s *Service) Drain() {
	for {
		line, ok := s.lines.Take()
		if !ok {
			return
		}
		s.logger.Write(line)
	}
}

// Stop implements kernel.Stopper: it waits until the queued lines are written.
func (s *Service) Stop(ctx context.Context) error {
	close(s.flush)
	s.gate.Signal()
	select {
	case <-s.flushed:
	case <-ctx.Done():
	}
	return nil
}
