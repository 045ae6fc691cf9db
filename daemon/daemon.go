// Package daemon assembles and runs one entry VM: the kernel, the services and the
// state machine. cmd/gypsumspand is a thin main package over it.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/gypsumspan/gypsumspan/daemoncmd"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/services/logs"
	"github.com/gypsumspan/gypsumspan/settings"
)

// Errors of Run.
var (
	// ErrForcedStop means that a second signal aborted the planned leave.
	ErrForcedStop = errors.New("stopped at once by a second signal")
	// ErrLeaveTimeout means that the planned leave did not end within the stop grace.
	ErrLeaveTimeout = errors.New("planned leave did not end within the stop grace")
	// ErrAssemble means that a component of the daemon could not be created.
	ErrAssemble = errors.New("daemon can't be assembled")
)

// MachineConfig configures the state machine.
type MachineConfig struct {
	Self     message.Member
	Seeds    []message.Member // ID, Name and Control are set
	Seed     uint64           // of the state machine's random numbers
	Settings *settings.Settings
}

// MachineFactory creates the VM's state machine.
type MachineFactory func(c MachineConfig) (core.Machine, error)

// ServiceFactory creates additional services, such as the watch of the store.
type ServiceFactory func(c MachineConfig) ([]kernel.Service, error)

// Options configure what the settings file does not.
type Options struct {
	// NewMachine creates the state machine. It is required.
	NewMachine MachineFactory
	// NewServices creates additional services, which may depend on "core". It may be nil.
	NewServices ServiceFactory
	// ProcessOptions configures signals, logger and output.
	daemoncmd.ProcessOptions
}

// Run runs one entry VM until the first signal or the end of ctx, then performs
// the planned leave. It returns nil after a complete leave, ErrForcedStop,
// ErrLeaveTimeout, ErrAssemble, or the error of the service that failed.
func Run(ctx context.Context, s *settings.Settings, o Options) error {
	o.SetDefaults()
	logger := o.Logger
	if logger == nil {
		logger = events.New(o.Stderr, s.Log.Format, s.Log.Level)
	}
	err := run(ctx, s, o, logger)
	logEnd(logger, s, err)
	return err
}

func run(ctx context.Context, s *settings.Settings, o Options, logger *events.Logger) error {
	signals, stopSignals := o.Notify(syscall.SIGTERM, syscall.SIGINT)
	defer stopSignals()
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	log := logs.New(logger)
	k, err := assemble(s, o, log, newSignalService(s, signals, leave))
	if err != nil {
		return err
	}
	logStart(logger, s, o.Version)
	err = k.Run(ctx, s.Timings.StopGrace)
	log.Drain()
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrLeaveTimeout, err)
	}
	return err
}

// machineConfig returns the state machine's configuration. The incarnation is the start
// time in milliseconds, so that it increases with each restart although a VM has no
// state on disk.
func machineConfig(s *settings.Settings) MachineConfig {
	c := MachineConfig{
		Self: message.Member{
			ID:          message.VMIDOf(s.VM.Name),
			Name:        s.VM.Name,
			Domain:      message.DomainIDOf(s.VM.Domain),
			Data:        s.Advertise.Data,
			Control:     s.Advertise.Control,
			Incarnation: uint64(time.Now().UnixMilli()),
			State:       message.MemberAlive,
		},
		Seed:     rand.Uint64(),
		Settings: s,
	}
	for _, seed := range s.Seeds {
		c.Seeds = append(c.Seeds, message.Member{
			ID:      message.VMIDOf(seed.Name),
			Name:    seed.Name,
			Control: seed.Control,
			State:   message.MemberAlive,
		})
	}
	return c
}

// logStart logs the start, and a warning if authentication is off.
func logStart(logger *events.Logger, s *settings.Settings, version string) {
	logger.Log(events.DaemonStarted,
		events.F("vm", s.VM.Name),
		events.F("domain", s.VM.Domain),
		events.F("callers", s.Listen.Callers),
		events.F("data", s.Listen.Data),
		events.F("control", s.Listen.Control),
		events.F("admin", s.Listen.Admin),
		events.F("version", version))
	if !s.TLS.Enabled() {
		logger.Log(events.TLSOff, events.F("vm", s.VM.Name))
	}
	if s.Datagrams.Keys == "" {
		logger.Log(events.DatagramKeysOff, events.F("vm", s.VM.Name))
	}
}

// logEnd logs the result of Run.
func logEnd(logger *events.Logger, s *settings.Settings, err error) {
	vm := events.F("vm", s.VM.Name)
	switch {
	case err == nil:
		logger.Log(events.DaemonStopped, vm)
	case errors.Is(err, ErrForcedStop):
		// The service "signals" has logged the event.
	case errors.Is(err, ErrLeaveTimeout):
		logger.Log(events.LeaveOverran, vm, events.F("grace", s.Timings.StopGrace))
	default:
		logger.Log(events.DaemonFailed, vm, events.F("error", err))
	}
}
