package ctl

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/ops"
)

func (a *app) auditCommand() *cobra.Command {
	var filter ops.Filter
	var since string
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "List who changed which cells, oldest first",
		Example: `  gypsumctl audit --service live --since 24h
  gypsumctl audit --who ann --limit 10 --output json
  gypsumctl audit --change 0f3a5c`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if filter.Since, err = parseSince(since, time.Now()); err != nil {
				return err
			}
			o, err := a.newOperations(true)
			if err != nil {
				return err
			}
			records, err := o.Audit(cmd.Context(), filter)
			if err != nil {
				return err
			}
			return a.printRecords(records)
		},
	}
	cmd.Flags().StringVar(&filter.Who, "who", "", "only changes of this operator")
	cmd.Flags().StringVar(&filter.Service, "service", "", "only changes of this service")
	cmd.Flags().StringVar(&filter.Change, "change", "", "only the change with this id")
	cmd.Flags().StringVar(&since, "since", "", "only changes since a time (2026-12-04T11:00:00Z) or for a duration (24h)")
	cmd.Flags().IntVar(&filter.Limit, "limit", ops.DefaultAuditLimit, "at most this many changes, the newest")
	return cmd
}

func parseSince(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("%w: --since %q is neither a duration (24h) nor a time (2026-12-04T11:00:00Z)", ErrUsage, text)
	}
	return at, nil
}

func (a *app) printRecords(records []ops.Record) error {
	if a.output == outputJSON {
		if records == nil {
			records = []ops.Record{}
		}
		return a.printJSON(records)
	}
	var rows [][]string
	for _, r := range records {
		for _, c := range r.Changes {
			head := []string{r.When.Format(time.RFC3339), r.Who, strconv.FormatInt(r.Revision, 10), r.Change}
			rows = append(rows, append(head, changeCells(c)...))
		}
	}
	return a.printTable(append([]string{"when", "who", "revision", "change"}, changeHeader...), rows)
}

func (a *app) adminAddresses() ([]string, error) {
	if len(a.settings.Admin) == 0 {
		return nil, fmt.Errorf("no admin address of a VM (--admin, or admin in the settings file): %w", ErrSettings)
	}
	return a.settings.Admin, nil
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "List the entry VMs with the table revision that is in force on each",
		Example: `  gypsumctl status
  gypsumctl status --admin 10.0.1.1:7400 --output json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			admins, err := a.adminAddresses()
			if err != nil {
				return err
			}
			o, err := a.newOperations(false)
			if err != nil {
				return err
			}
			return a.printStatuses(o.Status(cmd.Context(), admins))
		},
	}
}

func (a *app) printStatuses(statuses []ops.VMStatus) error {
	var rows [][]string
	failed := 0
	for _, s := range statuses {
		if s.Error != "" {
			failed++
			rows = append(rows, []string{s.Admin, "-", "-", "-", s.Error})
			continue
		}
		rows = append(rows, []string{s.Admin, s.VM, s.Domain, strconv.FormatInt(s.TableRevision, 10), "-"})
	}
	var err error
	if a.output == outputJSON {
		err = a.printJSON(statuses)
	} else {
		err = a.printTable([]string{"admin", "vm", "domain", "table revision", "error"}, rows)
	}
	if err == nil && failed > 0 {
		err = fmt.Errorf("%d of %d VMs did not answer: %w", failed, len(statuses), ErrNoAnswer)
	}
	return err
}

func (a *app) explainCommand() *cobra.Command {
	var vm string
	var request uint64
	cmd := &cobra.Command{
		Use:     "explain FLOW",
		Short:   "Show how a VM routes a flow (32 hexadecimal digits)",
		Example: `  gypsumctl explain 00112233445566778899aabbccddeeff --vm 10.0.1.1:7400`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			const flowBytes = 16
			flow := strings.ToLower(args[0])
			if id, err := hex.DecodeString(flow); err != nil || len(id) != flowBytes {
				return fmt.Errorf("%w: flow %q does not have 32 hexadecimal digits", ErrUsage, args[0])
			}
			if vm == "" {
				return fmt.Errorf("%w: name the VM to ask with --vm ADDRESS", ErrUsage)
			}
			o, err := a.newOperations(false)
			if err != nil {
				return err
			}
			response, err := o.Explain(cmd.Context(), vm, flow, request)
			if err != nil {
				return err
			}
			return a.printResponse(response)
		},
	}
	cmd.Flags().StringVar(&vm, "vm", "", "admin address of the VM that is asked (required)")
	cmd.Flags().Uint64Var(&request, "request", 0, "id of one request of the flow (0: all)")
	return cmd
}

// printResponse prints the JSON response of a VM as JSON, or as a table of paths and
// values.
func (a *app) printResponse(response json.RawMessage) error {
	if a.output == outputJSON {
		return a.printJSON(response)
	}
	decoder := json.NewDecoder(strings.NewReader(string(response)))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return fmt.Errorf("answer of the VM: %w", err)
	}
	return a.printTable([]string{"field", "value"}, flatten("", value))
}
