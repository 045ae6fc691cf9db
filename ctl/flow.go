package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/logtrace"
)

// flowRequestTimeout is the timeout of one request to a VM that forwards opaque flows.
const flowRequestTimeout = 5 * time.Second

// timeOfDay is the format of times in tables.
const timeOfDay = "15:04:05.000"

// maxFlowResponseBytes limits how much of such a VM's response is read.
const maxFlowResponseBytes = 64 << 20

func (a *app) flowCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "flow",
		Short: "Ask VMs that forward opaque flows (gypsumflowd), and read their logs",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return fmt.Errorf("%w: flow needs a command, see --help", ErrUsage)
		},
	}
	cmd.AddCommand(a.flowStatusCommand(), a.flowExplainCommand(), a.flowTraceCommand(), a.flowChangesCommand())
	return cmd
}

func (a *app) flowStatusCommand() *cobra.Command {
	var vm string
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show routes, targets with the evidence for them, and the age of the catalog of a VM",
		Example: `  gypsumctl flow status --vm 10.0.1.1:9464`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.queryFlowVM(cmd, vm, "/v1/status", nil)
		},
	}
	cmd.Flags().StringVar(&vm, "vm", "", "control address of the VM (required)")
	return cmd
}

func (a *app) flowExplainCommand() *cobra.Command {
	var vm, caller, address string
	cmd := &cobra.Command{
		Use:     "explain",
		Short:   "Show what a VM knows of a flow, and where its first packet would go",
		Example: `  gypsumctl flow explain --vm 10.0.1.1:9464 --caller 100.64.0.7:40001 --address 198.18.0.1:443`,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, text := range []string{caller, address} {
				if _, err := netip.ParseAddrPort(text); err != nil {
					return fmt.Errorf("%w: --caller and --address must be ip:port", ErrUsage)
				}
			}
			return a.queryFlowVM(cmd, vm, "/v1/explain", url.Values{"caller": {caller}, "address": {address}})
		},
	}
	cmd.Flags().StringVar(&vm, "vm", "", "control address of the VM (required)")
	cmd.Flags().StringVar(&caller, "caller", "", "the caller's end of the flow, ip:port (required)")
	cmd.Flags().StringVar(&address, "address", "", "the address that the flow was opened to, ip:port (required)")
	return cmd
}

// queryFlowVM sends a request to the control address of a VM and prints the response.
func (a *app) queryFlowVM(cmd *cobra.Command, vm, path string, query url.Values) error {
	if _, err := netip.ParseAddrPort(vm); err != nil {
		return fmt.Errorf("%w: name the VM to ask with --vm ip:port", ErrUsage)
	}
	request, err := http.NewRequestWithContext(cmd.Context(), http.MethodGet, "http://"+vm+path+"?"+query.Encode(), nil)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUsage, err)
	}
	client := http.Client{Timeout: flowRequestTimeout}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("%s: %w: %w", vm, ErrNoAnswer, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxFlowResponseBytes))
	if err != nil {
		return fmt.Errorf("%s: %w: %w", vm, ErrNoAnswer, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s: %w", vm, strings.TrimSpace(string(body)), ErrNoAnswer)
	}
	return a.printResponse(json.RawMessage(body))
}

func (a *app) flowTraceCommand() *cobra.Command {
	var q logtrace.Query
	var around string
	cmd := &cobra.Command{
		Use:   "trace FILE...",
		Short: "Find the log lines that explain what happened to a flow, a caller or a target",
		Example: `  gypsumctl flow trace logs/*.log --caller 100.64.0.7:40001 --address 198.18.0.1:443 --beliefs
  gypsumctl flow trace logs/*.log --target i-7f3a91c2 --around 2026-12-04T10:00:03Z --within 5s`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if around != "" {
				var err error
				if q.Around, err = time.Parse(time.RFC3339Nano, around); err != nil {
					return fmt.Errorf("%w: --around must be a time such as 2026-12-04T10:00:03Z", ErrUsage)
				}
			}
			if q.Caller == "" && q.Address == "" && q.Target == "" && around == "" {
				return fmt.Errorf("%w: say what to look for: --caller, --address, --target or --around", ErrUsage)
			}
			lines, err := readLogs(args)
			if err != nil {
				return err
			}
			return a.printTrace(logtrace.Select(lines, q))
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&q.Caller, "caller", "", "the caller: ip, or ip:port for one flow")
	flags.StringVar(&q.Address, "address", "", "the address that the flow was opened to, ip:port")
	flags.StringVar(&q.Target, "target", "", "id of a target")
	flags.StringVar(&around, "around", "", "only lines near this time (RFC 3339)")
	flags.DurationVar(&q.Within, "within", 10*time.Second, "how near, before and after")
	flags.BoolVar(&q.Related, "beliefs", false, "also lines on the store and on the targets of these flows")
	return cmd
}

func (a *app) flowChangesCommand() *cobra.Command {
	var revision string
	var slowest int
	cmd := &cobra.Command{
		Use:   "changes FILE...",
		Short: "Show when changes of the store came into force at the VMs, and by which way they came",
		Example: `  gypsumctl flow changes logs/*.log
  gypsumctl flow changes logs/*.log --slowest 10
  gypsumctl flow changes logs/*.log --revision 311`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := readLogs(args)
			if err != nil {
				return err
			}
			changes := logtrace.Changes(lines)
			if revision != "" {
				return a.printArrivals(changes, revision)
			}
			if slowest > 0 {
				changes = logtrace.Slowest(changes, slowest)
			}
			return a.printStoreChanges(changes)
		},
	}
	cmd.Flags().StringVar(&revision, "revision", "", "all VMs for the changes at this revision")
	cmd.Flags().IntVar(&slowest, "slowest", 0, "only this many changes, those that took longest to reach the last VM")
	return cmd
}

// printChanges prints a row for each change, with the VM that had it last.
func (a *app) printStoreChanges(changes []logtrace.Change) error {
	if a.output == outputJSON {
		return a.printJSON(append([]logtrace.Change{}, changes...))
	}
	var rows [][]string
	for _, c := range changes {
		first, last := c.Arrivals[0], c.Arrivals[len(c.Arrivals)-1]
		rows = append(rows, append([]string{
			c.Revision, c.What, strconv.Itoa(len(c.Arrivals)), first.At.Format(timeOfDay),
			c.Arrivals[len(c.Arrivals)/2].At.Sub(first.At).String(), last.At.Sub(first.At).String(),
		}, arrivalCells(last)...))
	}
	return a.printTable([]string{"revision", "change", "vms", "first", "median", "last", "last vm", "way", "before"}, rows)
}

// printArrivals prints a row for each VM that the change at a revision has reached.
func (a *app) printArrivals(changes []logtrace.Change, revision string) error {
	var rows [][]string
	for _, c := range changes {
		if c.Revision != revision {
			continue
		}
		if a.output == outputJSON {
			return a.printJSON(c)
		}
		for _, arrival := range c.Arrivals {
			rows = append(rows, append([]string{arrival.At.Format(timeOfDay), c.What}, arrivalCells(arrival)...))
		}
	}
	return a.printTable([]string{"time", "change", "vm", "way", "before"}, rows)
}

func arrivalCells(arrival logtrace.Arrival) []string {
	var fields []string
	for _, row := range flatten("", anyMap(arrival.Before)) {
		fields = append(fields, row[0]+"="+row[1])
	}
	return []string{arrival.VM, orDash(arrival.Way), strings.Join(fields, " ")}
}

func readLogs(files []string) ([]logtrace.Line, error) {
	var lines []logtrace.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", logtrace.ErrLog, err)
		}
		base := filepath.Base(name)
		read, err := logtrace.Read(file, strings.TrimSuffix(base, filepath.Ext(base)))
		file.Close()
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func (a *app) printTrace(lines []logtrace.Line) error {
	if a.output == outputJSON {
		return a.printJSON(append([]logtrace.Line{}, lines...))
	}
	var rows [][]string
	for _, line := range lines {
		var fields []string
		for _, row := range flatten("", anyMap(line.Fields)) {
			fields = append(fields, row[0]+"="+row[1])
		}
		rows = append(rows, []string{line.Time.Format(timeOfDay), line.VM, line.Event, line.Name, strings.Join(fields, " ")})
	}
	return a.printTable([]string{"time", "vm", "event", "name", "fields"}, rows)
}

func anyMap(m map[string]any) any { return m }
