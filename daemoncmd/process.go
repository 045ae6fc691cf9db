package daemoncmd

import (
	"errors"
	"io"
	"os"
	"os/signal"

	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/settings"
)

// Exit codes of all daemons.
const (
	ExitOK       = 0 // the planned stop is complete, or the command succeeded
	ExitFailed   = 1 // a service failed, for example because an address is in use
	ExitSettings = 2 // the settings are invalid, or the command line is wrong
)

// ExitCode returns the exit code of an error; nil is success.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, settings.ErrInvalid), errors.Is(err, settings.ErrFile), errors.Is(err, ErrUsage):
		return ExitSettings
	default:
		return ExitFailed
	}
}

// signalBufferSize is the number of signals that are buffered until the daemon receives
// them.
const signalBufferSize = 4

// ProcessOptions replaces the process's signals, logger and output, for example in tests.
// The zero value selects those of the process.
type ProcessOptions struct {
	// Version appears in logs and in the output of the command "version".
	Version string
	// Signals delivers signals; nil means those of the process.
	Signals <-chan os.Signal
	// Logger replaces the logger that the settings configure; it may be nil.
	Logger *events.Logger
	// Stdout and Stderr default to those of the process.
	Stdout io.Writer
	Stderr io.Writer
}

// SetDefaults sets Version, Stdout and Stderr if they are not set.
func (p *ProcessOptions) SetDefaults() {
	if p.Version == "" {
		p.Version = BuildVersion()
	}
	if p.Stdout == nil {
		p.Stdout = os.Stdout
	}
	if p.Stderr == nil {
		p.Stderr = os.Stderr
	}
}

// Notify returns a channel that delivers the given signals of the process, and a function
// that ends the delivery. It returns Signals instead if that is set.
func (p *ProcessOptions) Notify(signals ...os.Signal) (<-chan os.Signal, func()) {
	if p.Signals != nil {
		return p.Signals, func() {}
	}
	ch := make(chan os.Signal, signalBufferSize)
	signal.Notify(ch, signals...)
	return ch, func() { signal.Stop(ch) }
}
