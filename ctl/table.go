package ctl

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/decide/sheet"
	"github.com/gypsumspan/gypsumspan/ops"
)

// defaultWaitTimeout is the default timeout of --wait. A change is in force within
// seconds unless VMs are unreachable.
const defaultWaitTimeout = 30 * time.Second

func (a *app) tableCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "table", Short: "Export and change the table"}
	cmd.AddCommand(a.exportCommand(), a.applyCommand(), a.setCommand())
	return cmd
}

func (a *app) exportCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "export",
		Short: "Write the table as CSV, for a spreadsheet",
		Long: `Write the table as CSV. The first row holds the revision of the table; leave it
in the file, so that "table apply" can tell your edits from those of others.`,
		Example: `  gypsumctl table export --file table.csv
  gypsumctl table export --output json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.export(cmd.Context(), file)
		},
	}
	cmd.Flags().StringVarP(&file, "file", "f", "", "write to this file instead of the standard output")
	return cmd
}

func (a *app) export(ctx context.Context, file string) error {
	o, err := a.newOperations(true)
	if err != nil {
		return err
	}
	snapshot, err := o.Export(ctx)
	if err != nil {
		return err
	}
	for _, rejected := range snapshot.Rejected {
		fmt.Fprintf(a.env.Stderr, "warning: %v: no VM uses this entry\n", rejected)
	}
	switch {
	case file != "":
		const mode = 0o644
		if err := os.WriteFile(file, sheet.FormatCSV(snapshot.Sheet), mode); err != nil {
			return fmt.Errorf("write the export: %w", err)
		}
		fmt.Fprintf(a.env.Stderr, "revision %d: %d targets written to %s\n", snapshot.Revision, len(snapshot.Sheet.Targets), file)
		return nil
	case a.output == outputJSON:
		return a.printJSON(snapshot.Sheet)
	case a.output == outputTable:
		return a.printSheet(snapshot.Sheet)
	default:
		_, err := a.env.Stdout.Write(sheet.FormatCSV(snapshot.Sheet))
		return err
	}
}

func (a *app) printSheet(s sheet.Sheet) error {
	var rows [][]string
	for _, k := range s.Kinds {
		rows = append(rows, []string{k.Service, k.Address, k.Kind, k.Urgency, k.Share})
	}
	if err := a.printTable([]string{"service", "address", "kind", "urgency", "share"}, rows); err != nil {
		return err
	}
	fmt.Fprintln(a.env.Stdout)
	rows = nil
	for _, t := range s.Targets {
		rows = append(rows, []string{t.Service, t.Target, t.Domain, t.Address, t.Health, t.Weight, t.Limit, t.State})
	}
	return a.printTable([]string{"service", "target", "domain", "address", "health", "weight", "limit", "state"}, rows)
}

// changeFlags are the flags of the commands that change the table.
type changeFlags struct {
	yes     bool
	dryRun  bool
	wait    bool
	timeout time.Duration
}

func (f *changeFlags) register(cmd *cobra.Command) {
	cmd.Flags().BoolVarP(&f.yes, "yes", "y", false, "do not ask before the change is made")
	cmd.Flags().BoolVar(&f.dryRun, "dry-run", false, "show the difference and stop")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "wait until the change is in force on all entry VMs")
	cmd.Flags().DurationVar(&f.timeout, "wait-timeout", defaultWaitTimeout, "longest time for --wait")
}

func (a *app) applyCommand() *cobra.Command {
	var flags changeFlags
	var base string
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Check an edited CSV file, show the difference and apply it",
		Long: `Check every cell of an edited export, show the difference to the table in force
and apply it after a question. Changes that others made since the export are
kept; if you and another operator changed the same cell, nothing is changed.
A file without the revision row adds rows and changes none.`,
		Example: `  gypsumctl table apply table.csv --dry-run
  gypsumctl table apply table.csv --wait`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.apply(cmd.Context(), args[0], base, flags)
		},
	}
	flags.register(cmd)
	cmd.Flags().StringVar(&base, "base", "", "the file as it was exported, if the store no longer keeps that revision")
	return cmd
}

func (a *app) apply(ctx context.Context, file, base string, flags changeFlags) error {
	mine, err := readSheet(file)
	if err != nil {
		return err
	}
	var exported *sheet.Sheet
	if base != "" {
		s, err := readSheet(base)
		if err != nil {
			return err
		}
		exported = &s
	}
	o, err := a.newOperations(true)
	if err != nil {
		return err
	}
	plan, err := o.Plan(ctx, mine, exported)
	if err != nil {
		return err
	}
	return a.executePlan(ctx, o, plan, flags)
}

func readSheet(file string) (sheet.Sheet, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return sheet.Sheet{}, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	s, faults := sheet.ParseCSV(data)
	if len(faults) == 0 {
		// Plan validates the cells too, but only with access to the store.
		faults = s.Validate()
	}
	if len(faults) > 0 {
		return sheet.Sheet{}, fmt.Errorf("%s: %w: %w", file, ops.ErrInvalid, &sheet.InvalidError{Faults: faults})
	}
	return s, nil
}

func (a *app) setCommand() *cobra.Command {
	var flags changeFlags
	var kind bool
	cmd := &cobra.Command{
		Use:   "set SERVICE TARGET COLUMN VALUE",
		Short: "Change one cell",
		Long: `Change one cell of a target: domain, address, health, weight, limit or state.
With --kind, TARGET names a kind of work and COLUMN is urgency or share.`,
		Example: `  gypsumctl table set live t3 state draining --wait
  gypsumctl table set live t3 weight 2
  gypsumctl table set live check-in share 8 --kind`,
		Args: cobra.ExactArgs(4),
		RunE: func(cmd *cobra.Command, args []string) error {
			cell := sheet.Cell{Service: args[0], Target: args[1], Column: args[2]}
			if kind {
				cell.Kind, cell.Target = cell.Target, ""
			}
			return a.set(cmd.Context(), cell, args[3], flags)
		},
	}
	flags.register(cmd)
	cmd.Flags().BoolVar(&kind, "kind", false, "TARGET names a kind of work")
	return cmd
}

func (a *app) set(ctx context.Context, cell sheet.Cell, value string, flags changeFlags) error {
	o, err := a.newOperations(true)
	if err != nil {
		return err
	}
	plan, err := o.PlanCell(ctx, cell, value)
	if err != nil {
		return err
	}
	flags.yes = true
	return a.executePlan(ctx, o, plan, flags)
}

// changeOutput is the JSON output of a command that changes the table.
type changeOutput struct {
	Changes  []sheet.CellChange `json:"changes"`
	Applied  bool               `json:"applied"`
	ChangeID string             `json:"change_id,omitempty"`
	Revision int64              `json:"revision,omitempty"`
	Domains  []ops.DomainStatus `json:"domains,omitempty"`
}

// executePlan prints the changes of a plan, asks for confirmation, applies the plan and
// waits until it is in force, depending on the flags.
func (a *app) executePlan(ctx context.Context, o *ops.Operations, plan *ops.Plan, flags changeFlags) error {
	if flags.wait && len(a.settings.Admin) == 0 {
		return fmt.Errorf("--wait needs the admin addresses of the VMs (--admin, or admin in the settings file): %w", ErrSettings)
	}
	out := changeOutput{Changes: plan.Changes}
	if err := a.printChanges(plan.Changes); err != nil {
		return err
	}
	if len(plan.Changes) == 0 || flags.dryRun || !a.confirm(flags.yes) {
		return a.printOutcome(out, nil)
	}
	result, err := o.Apply(ctx, plan)
	if err != nil {
		return err
	}
	out.Applied, out.ChangeID, out.Revision = true, result.ChangeID, result.Revision
	a.printProgress("change %s is stored at revision %d", result.ChangeID, result.Revision)
	if flags.wait && result.Revision > 0 {
		out.Domains, err = a.waitInForce(ctx, o, result.Revision, flags.timeout)
	}
	return a.printOutcome(out, err)
}

// printProgress prints a line if the output is a table.
func (a *app) printProgress(format string, args ...any) {
	if a.output == outputTable {
		fmt.Fprintf(a.env.Stdout, format+"\n", args...)
	}
}

func (a *app) printChanges(changes []sheet.CellChange) error {
	if a.output == outputJSON {
		return nil
	}
	if len(changes) == 0 {
		a.printProgress("the table is like this already")
		return nil
	}
	var rows [][]string
	for _, c := range changes {
		rows = append(rows, changeCells(c))
	}
	return a.printTable(changeHeader, rows)
}

// confirm asks whether to apply the changes, unless yes is set. The question is written
// to the standard error, so that the standard output remains valid JSON.
func (a *app) confirm(yes bool) bool {
	if yes {
		return true
	}
	fmt.Fprint(a.env.Stderr, "Apply these changes? [y/N] ")
	line, _ := bufio.NewReader(a.env.Stdin).ReadString('\n')
	answer := strings.ToLower(strings.TrimSpace(line))
	if answer == "y" || answer == "yes" {
		return true
	}
	fmt.Fprintln(a.env.Stderr, "nothing was changed")
	return false
}

func (a *app) printOutcome(out changeOutput, err error) error {
	if a.output == outputJSON {
		if printErr := a.printJSON(out); printErr != nil {
			return printErr
		}
	}
	return err
}

func (a *app) waitInForce(ctx context.Context, o *ops.Operations, revision int64, timeout time.Duration) ([]ops.DomainStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	domains, err := o.Wait(ctx, ops.WaitRequest{Revision: revision, Admins: a.settings.Admin, Report: func(d ops.DomainStatus) {
		a.printProgress("in force in failure domain %s after %s on %d VMs", d.Domain, d.InForceAfter.Round(time.Millisecond), d.VMs)
	}})
	if err != nil && a.output == outputTable {
		a.printMissing(domains)
	}
	return domains, err
}

func (a *app) printMissing(domains []ops.DomainStatus) {
	var rows [][]string
	for _, d := range domains {
		if !d.Done() {
			rows = append(rows, []string{d.Domain, strconv.Itoa(d.InForce) + " of " + strconv.Itoa(d.VMs), strings.Join(d.Missing, " ")})
		}
	}
	// A failed write is ignored, since the caller reports the error of the wait.
	_ = a.printTable([]string{"domain", "in force", "missing"}, rows)
}
