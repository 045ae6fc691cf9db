// Package ctl implements the operators' command gypsumctl. It edits the table, lists the
// audit trail, and shows the state of VMs and the logs of flows.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/ops"
	"github.com/gypsumspan/gypsumspan/store"
)

// Exit codes.
const (
	ExitOK        = 0
	ExitFailure   = 1 // the command failed for another reason
	ExitUsage     = 2 // wrong command line, settings or table
	ExitConflict  = 3 // another operator changed the same cell
	ExitUncertain = 4 // the store is unavailable, or it is not known whether a change was made
)

// Errors of the package.
var (
	// ErrUsage means that the command line is invalid.
	ErrUsage = errors.New("wrong usage")
	// ErrSettings means that a setting is missing or invalid.
	ErrSettings = errors.New("wrong settings")
	// ErrNoAnswer means that one or more VMs did not respond or returned an error.
	ErrNoAnswer = errors.New("not every VM answered")
)

// Environment holds the parts of the process that the command uses.
type Environment struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Getenv func(string) string
	// OpenStore returns a client for the store's endpoints; nil means the HTTP client.
	OpenStore func(endpoints []string) (store.Store, error)
}

const longHelp = `gypsumctl edits the table of services and targets, lists who changed it, and
asks the entry VMs about their state.

Settings come from flags, or from a TOML file: --config, $GYPSUMCTL_CONFIG or
gypsumspan/gypsumctl.toml in the user's configuration folder.

    operator = "ann"                       # your name in the audit trail
    store    = ["http://10.0.0.5:2379"]    # endpoints of the platform's store
    admin    = ["10.0.1.1:7400"]           # admin addresses of the entry VMs
    ca       = "/etc/gypsumspan/ca.pem"    # with cert and key: HTTPS to the VMs, and the
    cert     = "/home/ann/ann.pem"         # operator is the one that the certificate names
    key      = "/home/ann/ann.key"         # (gypsumspan-operator://ann)
    store_ca = "/etc/gypsumspan/store.pem" # CA of https endpoints of the store (default: ca)

Exit codes:
  0  done
  1  failure
  2  wrong usage, settings or table; nothing was changed
  3  another operator changed the same cell; nothing was changed
  4  the store is unavailable, or it is not known whether the change was made`

// Run executes a command line (without the program's name) and returns the exit code.
func Run(ctx context.Context, args []string, env Environment) int {
	app := &app{env: env}
	root := app.rootCommand()
	root.SetArgs(args)
	root.SetIn(env.Stdin)
	root.SetOut(env.Stdout)
	root.SetErr(env.Stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	if !app.commandLineValid {
		err = fmt.Errorf("%w: %w", ErrUsage, err)
	}
	code, advice := classify(err)
	fmt.Fprintf(env.Stderr, "gypsumctl: %v\n", err)
	if changedNothing(err) {
		fmt.Fprintln(env.Stderr, "Nothing was changed.")
	}
	if advice != "" {
		fmt.Fprintf(env.Stderr, "%s\n", advice)
	}
	return code
}

// classify returns the exit code of an error and advice for the operator.
func classify(err error) (int, string) {
	switch {
	case errors.Is(err, ErrUsage):
		return ExitUsage, "See gypsumctl --help."
	case errors.Is(err, ErrSettings):
		return ExitUsage, "Set it by a flag or in the settings file; see gypsumctl --help."
	case errors.Is(err, ops.ErrInvalid):
		return ExitUsage, "Correct the cells above and run the command again."
	case errors.Is(err, ops.ErrConflict):
		return ExitConflict, "Export the table again, decide on the cells above, and apply your other edits to the new export."
	case errors.Is(err, ops.ErrUncertain):
		return ExitUncertain, "When the store answers again, look for the change id with gypsumctl audit --change ID. If it is missing, run the command again."
	case errors.Is(err, ops.ErrUnavailable):
		return ExitUncertain, "Entry VMs continue with the table they have. Run the command again when the store answers."
	case errors.Is(err, ops.ErrBaseCompacted):
		return ExitUsage, "Pass the file as it was exported with --base FILE, or export the table again and repeat the edits."
	case errors.Is(err, ops.ErrTooLarge):
		return ExitFailure, "Change fewer targets at once, or split the service."
	case errors.Is(err, ops.ErrContended):
		return ExitFailure, "Run the command again."
	case errors.Is(err, ops.ErrNotInForce):
		return ExitFailure, "The change is made and is not lost. Check the VMs above with gypsumctl status."
	case errors.Is(err, ops.ErrAdmin), errors.Is(err, ErrNoAnswer):
		return ExitFailure, "Check that the VM runs and that its admin address is right."
	default:
		return ExitFailure, ""
	}
}

// changedNothing reports whether an error means that the table was not changed.
func changedNothing(err error) bool {
	var partial *ops.PartialError
	if errors.As(err, &partial) {
		return false
	}
	for _, refusal := range []error{ops.ErrInvalid, ops.ErrConflict, ops.ErrUnavailable, ops.ErrContended, ops.ErrTooLarge, ops.ErrBaseCompacted} {
		if errors.Is(err, refusal) && !errors.Is(err, ops.ErrUncertain) {
			return true
		}
	}
	return false
}

// app is the state of one run of the command.
type app struct {
	env              Environment
	commandLineValid bool // set by prepare; an error before it is an ErrUsage
	flags            settings
	configPath       string
	output           string
	settings         settings
}

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputCSV   = "csv"
)

func (a *app) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:               "gypsumctl",
		Short:             "Edit the table of services and targets",
		Long:              longHelp,
		SilenceUsage:      true,
		SilenceErrors:     true,
		PersistentPreRunE: a.prepare,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&a.configPath, "config", "", "settings file (TOML)")
	flags.StringSliceVar(&a.flags.Store, "store", nil, "endpoint of the platform's store, such as http://10.0.0.5:2379 (may be repeated)")
	flags.StringSliceVar(&a.flags.Admin, "admin", nil, "admin address of an entry VM, such as 10.0.1.1:7400 (may be repeated)")
	flags.StringVar(&a.flags.Operator, "operator", "", "your name in the audit trail (default: the certificate's or the user's name)")
	flags.StringVarP(&a.output, "output", "o", "", "format of lists: table or json (table export: also csv, its default)")
	fixed := cobra.FixedCompletions([]string{outputTable, outputJSON, outputCSV}, cobra.ShellCompDirectiveNoFileComp)
	// It fails only for a flag that does not exist.
	_ = root.RegisterFlagCompletionFunc("output", fixed)
	root.AddCommand(a.tableCommand(), a.auditCommand(), a.statusCommand(), a.explainCommand(), a.flowCommand())
	return root
}

// prepare validates --output, which cobra does not, and reads the settings.
func (a *app) prepare(cmd *cobra.Command, _ []string) error {
	export := cmd.Name() == "export"
	switch {
	case a.output == "" && export:
		a.output = outputCSV
	case a.output == "":
		a.output = outputTable
	case a.output == outputTable, a.output == outputJSON, a.output == outputCSV && export:
	default:
		return fmt.Errorf("--output %s is not known here", a.output)
	}
	a.commandLineValid = true
	var err error
	a.settings, err = a.loadSettings()
	return err
}

// newOperations returns the operators' library, with a client of the store if withStore
// is set.
func (a *app) newOperations(withStore bool) (*ops.Operations, error) {
	config := ops.Config{Operator: a.settings.Operator}
	if a.settings.certSource != nil {
		config.TLS = a.settings.certSource.VMClient()
	}
	if withStore {
		if len(a.settings.Store) == 0 {
			return nil, fmt.Errorf("no endpoint of the store (--store, or store in the settings file): %w", ErrSettings)
		}
		var err error
		if config.Store, err = a.openStore(a.settings.Store); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrSettings, err)
		}
	}
	return ops.New(config), nil
}

func (a *app) openStore(endpoints []string) (store.Store, error) {
	if a.env.OpenStore != nil {
		return a.env.OpenStore(endpoints)
	}
	config := store.HTTPConfig{Endpoints: endpoints}
	if a.settings.storeCertSource != nil {
		config.TLS = a.settings.storeCertSource.HostClient
	}
	return store.NewHTTP(config)
}
