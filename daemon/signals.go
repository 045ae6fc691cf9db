package daemon

import (
	"context"
	"fmt"
	"os"

	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/logs"
	"github.com/gypsumspan/gypsumspan/settings"
)

// signalService is the service "signals". The first signal starts the planned
// leave. On the second one the service fails, which stops all services immediately.
type signalService struct {
	settings *settings.Settings
	signals  <-chan os.Signal
	leave    func()
	log      logs.Log
}

func newSignalService(s *settings.Settings, signals <-chan os.Signal, leave func()) *signalService {
	return &signalService{settings: s, signals: signals, leave: leave}
}

// Name implements kernel.Service.
func (s *signalService) Name() string { return "signals" }

// Dependencies implements kernel.Service.
func (s *signalService) Dependencies() []string { return []string{logs.Name} }

// Setup implements kernel.Service.
func (s *signalService) Setup(*kernel.Kernel) error { return nil }

// Connect implements kernel.Service.
func (s *signalService) Connect(k *kernel.Kernel) error {
	var err error
	if s.log, err = kernel.Lookup[logs.Log](k, logs.Name); err != nil {
		return err
	}
	k.AddBlocker(kernel.Blocker{Name: "signals", Run: s.run})
	return nil
}

func (s *signalService) run(ctx context.Context) error {
	first, ok := s.receive(ctx)
	if !ok {
		return nil
	}
	s.log.Log(events.LeaveStarted,
		events.F("vm", s.settings.VM.Name),
		events.F("signal", first),
		events.F("grace", s.settings.Timings.StopGrace))
	s.leave()
	second, ok := s.receive(ctx)
	if !ok {
		return nil
	}
	s.log.Log(events.StopForced, events.F("vm", s.settings.VM.Name), events.F("signal", second))
	return fmt.Errorf("signal %s: %w", second, ErrForcedStop)
}

// receive waits for a signal. It returns false if ctx ends first.
func (s *signalService) receive(ctx context.Context) (os.Signal, bool) {
	select {
	case sig := <-s.signals:
		return sig, true
	case <-ctx.Done():
		return nil, false
	}
}
