package flowd

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/settings"
	"github.com/gypsumspan/gypsumspan/settings/flowset"
)

// Exit codes of gypsumflowd.
const (
	ExitOK       = 0 // the planned stop is complete, or the command succeeded
	ExitFailed   = 1 // a service failed, for example because an address is in use
	ExitSettings = 2 // the settings have faults, or the command line is wrong
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
		fmt.Fprintf(o.Stderr, "gypsumflowd: %v\n", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, settings.ErrInvalid), errors.Is(err, settings.ErrFile), errors.Is(err, errUsage):
		return ExitSettings
	default:
		return ExitFailed
	}
}

func command(o Options) *cobra.Command {
	root := &cobra.Command{
		Use:   "gypsumflowd",
		Short: "Forwards packets of opaque flows: one VM of the load balancer",
		Long: "Forwards packets of opaque flows: one VM of the load balancer.\n\n" +
			"Exit codes: 0 success or complete planned stop, 1 a service failed, " +
			"2 faulty settings or wrong usage.",
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

// fileFlags name the settings file.
type fileFlags struct {
	file string
	env  string
}

func addFileFlags(cmd *cobra.Command) *fileFlags {
	var f fileFlags
	cmd.Flags().StringVar(&f.file, "config", "", "settings file")
	cmd.Flags().StringVar(&f.env, "config-env", "", "name of the environment variable that holds the path of the settings file")
	cmd.MarkFlagsMutuallyExclusive("config", "config-env")
	return &f
}

func (f *fileFlags) load() (string, *flowset.Settings, error) {
	file := f.file
	if f.env != "" {
		file = os.Getenv(f.env)
	}
	if file == "" {
		return "", nil, fmt.Errorf("%w: --config FILE or --config-env NAME of a variable that is set is required", errUsage)
	}
	s, err := flowset.Load(file)
	return file, s, err
}

func runCommand(o Options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run the VM. SIGTERM or SIGINT starts the planned stop, SIGHUP reads the settings again",
		Args:  noArgs,
	}
	flags := addFileFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		file, s, err := flags.load()
		if err != nil {
			return err
		}
		return Run(cmd.Context(), file, s, o)
	}
	return cmd
}

func checkCommand(o Options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check a settings file and print all faults",
		Args:  noArgs,
	}
	flags := addFileFlags(cmd)
	cmd.RunE = func(*cobra.Command, []string) error {
		file, _, err := flags.load()
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(o.Stdout, "%s: settings are valid\n", file)
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
			_, err := fmt.Fprint(o.Stdout, flowset.Example())
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
			_, err := fmt.Fprintln(o.Stdout, "gypsumflowd", o.Version)
			return err
		},
	}
}
