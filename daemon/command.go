package daemon

import (
	"context"
	"errors"

	"github.com/gypsumspan/gypsumspan/daemoncmd"
	"github.com/gypsumspan/gypsumspan/settings"
)

// Exit codes of gypsumspand in addition to the common ones of package daemoncmd.
const (
	ExitForcedStop   = 3 // a second signal aborted the planned leave
	ExitLeaveTimeout = 4 // the planned leave did not end within the stop grace
)

// Main runs the command line args and returns the exit code.
func Main(args []string, o Options) int {
	o.SetDefaults()
	return daemoncmd.Program{
		Name:  "gypsumspand",
		Short: "Entry daemon: one VM of the load balancer",
		ExitCodesHelp: "Exit codes: 0 success or complete planned leave, 1 a service failed, " +
			"2 faulty settings or wrong usage, 3 stopped at once by a second signal, " +
			"4 the planned leave did not end within the stop grace.",
		RunHelp: "Run the VM. SIGTERM or SIGINT starts the planned leave, a second one stops at once",
		Version: o.Version,
		Example: settings.Example,
		Check: func(file string) error {
			_, err := settings.Load(file)
			return err
		},
		Run: func(ctx context.Context, file string) error {
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			return Run(ctx, s, o)
		},
		ExitCode: exitCode,
		Stdout:   o.Stdout,
		Stderr:   o.Stderr,
	}.Main(args)
}

// exitCode returns the exit code of an error; nil is success.
func exitCode(err error) int {
	switch {
	case errors.Is(err, ErrForcedStop):
		return ExitForcedStop
	case errors.Is(err, ErrLeaveTimeout):
		return ExitLeaveTimeout
	default:
		return daemoncmd.ExitCode(err)
	}
}
