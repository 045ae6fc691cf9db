package daemoncmd

import (
	"errors"
	"io"
	"os"
	"os/signal"

	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/settings"
)

// Exit codes that the daemons share.
const (
	ExitOK       = 0 // the planned stop is complete, or the command succeeded
	ExitFailed   = 1 // a service failed, for example because an address is in use
	ExitSettings = 2 // the settings have faults, or the command line is wrong
)

// ExitCode returns the exit code that an error stands for; nil is success.
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

// signalCapacity holds the signals that arrive before the daemon takes them.
const signalCapacity = 4

// ProcessOptions is what a daemon uses of its process. The zero value is the process itself.
type ProcessOptions struct {
	// Version appears in logs and in the output of the command "version".
	Version string
	// Signals delivers signals. nil means those of the process.
	Signals <-chan os.Signal
	// Logger replaces the logger that the settings describe; it may be nil.
	Logger *events.Logger
	// Stdout and Stderr default to those of the process.
	Stdout io.Writer
	Stderr io.Writer
}

// SetDefaults fills in what was left out.
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

// Notify returns the channel of signals, which gets the listed ones of the process
// unless Signals is set, and a function that releases it.
func (p *ProcessOptions) Notify(list ...os.Signal) (<-chan os.Signal, func()) {
	if p.Signals != nil {
		return p.Signals, func() {}
	}
	ch := make(chan os.Signal, signalCapacity)
	signal.Notify(ch, list...)
	return ch, func() { signal.Stop(ch) }
}
