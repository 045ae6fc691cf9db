package flowd

import (
	"context"

	"github.com/gypsumspan/gypsumspan/daemoncmd"
	"github.com/gypsumspan/gypsumspan/settings/flowsettings"
)

// Main runs the command line args and returns the exit code.
func Main(args []string, o Options) int {
	o.SetDefaults()
	return daemoncmd.Program{
		Name:          "gypsumflowd",
		Short:         "Forwards packets of opaque flows: one VM of the load balancer",
		ExitCodesHelp: "Exit codes: 0 success or complete planned stop, 1 a service failed, 2 faulty settings or wrong usage.",
		RunHelp:       "Run the VM. SIGTERM or SIGINT starts the planned stop, SIGHUP reads the settings again",
		Version:       o.Version,
		Example:       flowsettings.Example,
		Check: func(file string) error {
			_, err := flowsettings.Load(file)
			return err
		},
		Run: func(ctx context.Context, file string) error {
			s, err := flowsettings.Load(file)
			if err != nil {
				return err
			}
			return Run(ctx, file, s, o)
		},
		ExitCode: daemoncmd.ExitCode,
		Stdout:   o.Stdout,
		Stderr:   o.Stderr,
	}.Main(args)
}
