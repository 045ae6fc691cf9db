// Package daemoncmd implements the command line of the project's daemons: the commands
// run, check, settings and version.
package daemoncmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// ErrUsage means that the command line is wrong.
var ErrUsage = errors.New("wrong usage")

// Program describes the command line of one daemon.
type Program struct {
	Name          string
	Short         string // one line of help on the daemon
	ExitCodesHelp string // one sentence of help on the exit codes
	RunHelp       string // one line of help on the command "run"
	Version       string
	Example       func() string // returns an example of a settings file
	// Check reads a settings file and returns all its faults.
	Check func(file string) error
	// Run runs the daemon with the settings of file until it ends.
	Run func(ctx context.Context, file string) error
	// ExitCode returns the exit code of an error; nil is success.
	ExitCode func(err error) int
	Stdout   io.Writer
	Stderr   io.Writer
}

// Main runs the command line args and returns the exit code.
func (p Program) Main(args []string) int {
	cmd := p.root()
	cmd.SetArgs(args)
	cmd.SetOut(p.Stdout)
	cmd.SetErr(p.Stderr)
	err := cmd.Execute()
	if err != nil {
		fmt.Fprintf(p.Stderr, "%s: %v\n", p.Name, err)
	}
	return p.ExitCode(err)
}

func (p Program) root() *cobra.Command {
	root := &cobra.Command{
		Use:           p.Name,
		Short:         p.Short,
		Long:          p.Short + ".\n\n" + p.ExitCodesHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          noArgs,
		RunE: func(*cobra.Command, []string) error {
			return fmt.Errorf("%w: a command is required, see --help", ErrUsage)
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	})
	root.AddCommand(p.runCommand(), p.checkCommand(), p.settingsCommand(), p.versionCommand())
	return root
}

func noArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return fmt.Errorf("%w: unexpected argument %q", ErrUsage, args[0])
	}
	return nil
}

// fileFlags are the flags that name the settings file.
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

// path returns the path of the settings file, or ErrUsage if no flag gives one.
func (f *fileFlags) path() (string, error) {
	file := f.file
	if f.env != "" {
		file = os.Getenv(f.env)
	}
	if file == "" {
		return "", fmt.Errorf("%w: --config FILE is required, or --config-env NAME of a variable that is set", ErrUsage)
	}
	return file, nil
}

func (p Program) runCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "run", Short: p.RunHelp, Args: noArgs}
	flags := addFileFlags(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		file, err := flags.path()
		if err != nil {
			return err
		}
		return p.Run(cmd.Context(), file)
	}
	return cmd
}

func (p Program) checkCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "check", Short: "Check a settings file and print all faults", Args: noArgs}
	flags := addFileFlags(cmd)
	cmd.RunE = func(*cobra.Command, []string) error {
		file, err := flags.path()
		if err != nil {
			return err
		}
		if err := p.Check(file); err != nil {
			return err
		}
		_, err = fmt.Fprintf(p.Stdout, "%s: settings are valid\n", file)
		return err
	}
	return cmd
}

func (p Program) settingsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "settings",
		Short: "Print an example of a settings file",
		Args:  noArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprint(p.Stdout, p.Example())
			return err
		},
	}
}

func (p Program) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  noArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(p.Stdout, p.Name, p.Version)
			return err
		},
	}
}

// BuildVersion returns the module version in the build info, or "unknown".
func BuildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}
