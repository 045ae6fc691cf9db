package lab

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/standin/fabric"
	"github.com/gypsumspan/gypsumspan/standin/target"
)

// defaultBasePort is the first port of a workload's targets.
const defaultBasePort = 21000

// Command returns the command line of gypsumlab.
func Command() *cobra.Command {
	root := &cobra.Command{
		Use:           "gypsumlab",
		Short:         "Stand-ins, callers and load for trials on one machine",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			ctx, err := withCerts(cmd.Context(), os.Getenv(certsVariable))
			if err == nil {
				cmd.SetContext(ctx)
			}
			return err
		},
	}
	root.AddCommand(targetCommand(), vmListCommand(), storeCommand(), tableCommand())
	root.AddCommand(callCommand(), loadCommand(), httpCommand(), awaitCommand(), ownerCommand())
	root.AddCommand(measureCommand(), capacityCommand(), relayCommand(), certsCommand(), dayCommand(), soakCommand())
	return root
}

// targetAddressing is the IP address and the first port of a workload's targets.
type targetAddressing struct {
	host     string
	basePort uint16
}

func (a *targetAddressing) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&a.host, "host", "127.0.0.1", "IP address of the workload's targets")
	cmd.Flags().Uint16Var(&a.basePort, "base-port", defaultBasePort, "first port of the workload's targets; each takes two")
}

// workloadTargets returns the targets of w with their addresses. It returns
// ErrInvalidOption.
func (a *targetAddressing) workloadTargets(w *Workload) ([]Target, error) {
	host, err := netip.ParseAddr(a.host)
	if err != nil {
		return nil, fmt.Errorf("host: %w: %w", ErrInvalidOption, err)
	}
	return w.Targets(host, a.basePort), nil
}

func targetCommand() *cobra.Command {
	var addressing targetAddressing
	var options TargetOptions
	var workload, domain, health string
	cmd := &cobra.Command{
		Use:   "target [ADDRESS]",
		Short: "Run one target at ADDRESS, or the targets of a workload",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 1 {
				return runOneTarget(cmd.Context(), args[0], health, options)
			}
			w, err := LoadWorkload(workload)
			if err != nil {
				return err
			}
			targets, err := addressing.workloadTargets(w)
			if err != nil {
				return err
			}
			return ServeTargets(cmd.Context(), w, targets, domain, options)
		},
	}
	addressing.addFlags(cmd)
	cmd.Flags().StringVar(&workload, "workload", "", "workload file whose targets to run")
	cmd.Flags().StringVar(&domain, "domain", "", "run only the targets of this failure domain")
	cmd.Flags().StringVar(&health, "health", "127.0.0.1:0", "HTTP address of the one target")
	cmd.Flags().DurationVar(&options.ColdFor, "cold", 0, "time after start in which the target is cold")
	cmd.Flags().IntVar(&options.Backlog, "backlog", target.DefaultBacklog, "requests that may wait for a slot")
	cmd.Flags().BoolVar(&options.RequireOpen, "require-open", false, "shed requests of unknown flows without the open marker")
	cmd.Flags().Uint64Var(&options.Seed, "seed", 1, "seed of service times")
	return cmd
}

func runOneTarget(ctx context.Context, requests, health string, options TargetOptions) error {
	var addresses target.Addresses
	var err error
	if addresses.Requests, err = parseAddr(requests); err != nil {
		return err
	}
	if addresses.Health, err = parseAddr(health); err != nil {
		return err
	}
	return ServeTarget(ctx, addresses, options)
}

func parseAddr(s string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(s)
	if err != nil {
		return addr, fmt.Errorf("address %q: %w: %w", s, ErrInvalidOption, err)
	}
	return addr, nil
}

func vmListCommand() *cobra.Command {
	var path string
	var lag time.Duration
	cmd := &cobra.Command{
		Use:   "vmlist ADDRESS",
		Short: "Run the stand-in of the platform's VM list",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			addr, err := parseAddr(args[0])
			if err != nil {
				return err
			}
			return ServeVMList(cmd.Context(), addr, path, lag)
		},
	}
	cmd.Flags().StringVar(&path, "file", "", "JSON file with the initial list")
	cmd.Flags().DurationVar(&lag, "lag", 0, "age of the list that is returned")
	return cmd
}

func callCommand() *cobra.Command {
	const defaultTimeout = 5 * time.Second
	var service string
	var timeout time.Duration
	var showFlow bool
	cmd := &cobra.Command{
		Use:   "call ADDRESS[,ADDRESS...] PAYLOAD",
		Short: "Send one request through the VMs and print what the target echoes",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			vms, err := parseVMs(args[0])
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			addrs := make([]netip.AddrPort, 0, len(vms))
			for _, vm := range vms {
				addrs = append(addrs, vm.Addr)
			}
			result, err := Call(ctx, addrs, service, []byte(args[1]))
			if err != nil {
				return err
			}
			if showFlow {
				fmt.Fprintln(cmd.OutOrStdout(), "flow", result.Flow)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), string(result.Echo))
			return err
		},
	}
	cmd.Flags().StringVar(&service, "service", "echo", "name of the service")
	cmd.Flags().DurationVar(&timeout, "timeout", defaultTimeout, "time until the call fails")
	cmd.Flags().BoolVar(&showFlow, "show-flow", false, "print the id of the flow too, for gypsumctl explain")
	return cmd
}

// parseVMs parses a list of the form "ADDRESS[@DOMAIN],...".
func parseVMs(list string) ([]fabric.VM, error) {
	var vms []fabric.VM
	for entry := range strings.SplitSeq(list, ",") {
		addrText, domain, _ := strings.Cut(entry, "@")
		addr, err := parseAddr(addrText)
		if err != nil {
			return nil, err
		}
		vms = append(vms, fabric.VM{Addr: addr, Domain: domain})
	}
	return vms, nil
}

func loadCommand() *cobra.Command {
	var addressing targetAddressing
	var o LoadOptions
	var vms, output string
	var scale float64
	var floods []string
	cmd := &cobra.Command{
		Use:   "load WORKLOAD",
		Short: "Run a workload against the VMs; fails if a promise is broken",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if o.Workload, err = LoadWorkload(args[0]); err != nil {
				return err
			}
			o.Workload.Scale *= scale
			if o.Targets, err = addressing.workloadTargets(o.Workload); err != nil {
				return err
			}
			if o.Fabric.VMs, err = parseVMs(vms); err != nil {
				return err
			}
			if o.Floods, err = parseFloods(floods); err != nil {
				return err
			}
			return runLoadCommand(cmd, o, output)
		},
	}
	addressing.addFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&vms, "vms", "127.0.0.1:7100", "callers' addresses of the VMs: ADDRESS[@DOMAIN],...")
	flags.StringVar(&output, "output", "table", "table or json")
	flags.Float64Var(&scale, "scale", 1, "factor of the workload's scale")
	flags.StringSliceVar(&floods, "flood", nil, "SERVICE/KIND=FACTOR of a kind's rate; repeatable")
	flags.DurationVar(&o.Duration, "duration", 30*time.Second, "time of load after all flows are open")
	flags.DurationVar(&o.OpenTimeout, "open-timeout", DefaultOpenTimeout, "time until all flows must be open")
	flags.IntVar(&o.Sockets, "sockets", 4, "number of UDP sockets")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of arrivals and network faults")
	flags.Float64Var(&o.Fabric.Loss, "loss", 0, "probability that a datagram is lost, each way")
	flags.Float64Var(&o.Fabric.Duplicate, "duplicate", 0, "probability that a datagram is doubled, each way")
	flags.Float64Var(&o.Fabric.Reorder, "reorder", 0, "probability that a datagram is held back, each way")
	flags.StringSliceVar(&o.Fabric.PartitionedDomains, "cut", nil, "failure domains that are cut off from callers")
	flags.Float64Var(&o.OpenRate, "open-rate", 0, "flows per second while flows are opened; 0: that of the workload, scaled")
	flags.BoolVar(&o.NoBrokenFlows, "no-broken-flows", false, "fail if a flow breaks")
	flags.BoolVar(&o.NoInterruptedCalls, "no-cut-calls", false, "fail if a call ends as may have run, at its deadline or cancelled, as in a run of planned changes only")
	flags.BoolVar(&o.NoUntypedFailures, "typed-failures", false, "fail if a call ends without an answer, a typed refusal or its deadline")
	flags.BoolVar(&o.AllowMissingRecords, "allow-missing", false, "accept targets whose records can't be read")
	return cmd
}

// runLoadCommand runs the load and prints the report, also if the verdict is an error.
func runLoadCommand(cmd *cobra.Command, o LoadOptions, output string) error {
	if output != "table" && output != "json" {
		return fmt.Errorf("output %q is neither table nor json: %w", output, ErrInvalidOption)
	}
	report, verdict := Load(cmd.Context(), o)
	if report == nil {
		return verdict
	}
	write := report.WriteTable
	if output == "json" {
		write = report.WriteJSON
	}
	if err := write(cmd.OutOrStdout()); err != nil {
		return err
	}
	return verdict
}

// parseFloods parses entries of the form "SERVICE/KIND=FACTOR".
func parseFloods(list []string) (map[string]float64, error) {
	floods := make(map[string]float64, len(list))
	for _, entry := range list {
		name, text, _ := strings.Cut(entry, "=")
		factor, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, fmt.Errorf("flood %q: %w: %w", entry, ErrInvalidOption, err)
		}
		floods[name] = factor
	}
	return floods, nil
}
