package daemon

import (
	"errors"
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/settings"
)

// Exit codes of gypsumspand.
const (
	ExitOK       = 0 // the planned leave is complete, or the command succeeded
	ExitFailed   = 1 // a service failed, for example because an address is in use
	ExitSettings = 2 // the settings have faults, or the command line is wrong
	ExitAtOnce   = 3 // a second signal cut the planned leave short
	ExitOverran  = 4 // the planned leave did not end within the stop grace
)

// errUsage marks errors of the command line.
var errUsage = errors.New("wrong usage")

// Main runs the command line args and returns the exit code.
func Main(args []string, o Options) int {
	o.setDefaults()
	cmd := command(o)
	cmd.SetArgs(args)
	cmd.SetOut(o.Stdout)
	cmd.SetErr(o.Stderr)
	err := cmd.Execute()
	if err != nil {
		fmt.Fprintf(o.Stderr, "gypsumspand: %v\n", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, settings.ErrInvalid), errors.Is(err, settings.ErrFile), errors.Is(err, errUsage):
		return ExitSettings
	case errors.Is(err, ErrStoppedAtOnce):
		return ExitAtOnce
	case errors.Is(err, ErrLeaveOverran):
		return ExitOverran
	default:
		return ExitFailed
	}
}

func command(o Options) *cobra.Command {
	root := &cobra.Command{
		Use:   "gypsumspand",
		Short: "Entry daemon: one VM of the load balancer",
		Long: "Entry daemon: one VM of the load balancer.\n\n" +
			"Exit codes: 0 success or complete planned leave, 1 a service failed, " +
			"2 faulty settings or wrong usage, 3 stopped at once by a second signal, " +
			"4 the planned leave did not end within the stop grace.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          noArgs,
		RunE: func(*cobra.Command, []string) error {
			return fmt.Errorf("%w: a command is required, see --help", errUsage)
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return fmt.Errorf("%w: %w", errUsage, err)
	})
	root.AddCommand(runCommand(o), checkCommand(o), settingsCommand(o), versionCommand(o))
	return root
}

func noArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("%w: unexpected argument %q", errUsage, args[0])
	}
	return nil
}

// configFlag adds the flag --config and returns its value.
func configFlag(cmd *cobra.Command) *string {
	return cmd.Flags().String("config", "", "settings file (required)")
}

func load(file string) (*settings.Settings, error) {
	if file == "" {
		return nil, fmt.Errorf("%w: --config FILE is required", errUsage)
	}
	return settings.Load(file)
}

func runCommand(o Options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "run --config FILE",
		Short: "Run the VM. SIGTERM or SIGINT starts the planned leave, a second one stops at once",
		Args:  noArgs,
	}
	file := configFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		s, err := load(*file)
		if err != nil {
			return err
		}
		return Run(cmd.Context(), s, o)
	}
	return cmd
}

func checkCommand(o Options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check --config FILE",
		Short: "Check a settings file and print all faults",
		Args:  noArgs,
	}
	file := configFlag(cmd)
	cmd.RunE = func(*cobra.Command, []string) error {
		if _, err := load(*file); err != nil {
			return err
		}
		_, err := fmt.Fprintf(o.Stdout, "%s: settings are valid\n", *file)
		return err
	}
	return cmd
}

func settingsCommand(o Options) *cobra.Command {
	return &cobra.Command{
		Use:   "settings",
		Short: "Print an example of a settings file",
		Args:  noArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprint(o.Stdout, settings.Example())
			return err
		},
	}
}

func versionCommand(o Options) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  noArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(o.Stdout, "gypsumspand", o.Version)
			return err
		},
	}
}

// buildVersion returns the version that the Go tool recorded.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
