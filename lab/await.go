package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/gypsumspan/gypsumspan/decide/ownership"
)

// pollInterval is the time between two rounds of status requests.
const pollInterval = 100 * time.Millisecond

// Condition is the state that Await waits for. Zero fields are not checked.
type Condition struct {
	Admins        []string // admin addresses of the VMs; all must respond
	Members       int      // number of live VMs in each VM's member list
	Targets       int      // number of targets that have exactly one owner, none of them in handover
	MinFlows      int      // sum of the flows of all targets
	DrainedTarget string   // "service/target" that must have no flows
	URLs          []string // must respond with status 200
	MinRevision   int64    // lowest table revision that each VM must have
}

// vmStatus is the part of a VM's /v1/status response that Await uses.
type vmStatus struct {
	VM            string   `json:"vm"`
	TableRevision int64    `json:"table_revision"`
	Members       []string `json:"members"`
	Owned         []struct {
		Target string `json:"target"`
		Phase  string `json:"phase"`
		Flows  int    `json:"flows"`
	} `json:"owned"`
}

// Await polls the VMs and URLs until the condition holds. If ctx ends first, it
// returns ErrNotReached with the part of the condition that does not hold.
func Await(ctx context.Context, c Condition) error {
	for {
		unmet := c.unmet(ctx)
		if unmet == "" {
			return nil
		}
		timer := time.NewTimer(pollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("%s: %w", unmet, ErrNotReached)
		}
	}
}

// unmet requests the current state and returns the first part of the condition
// that does not hold, or "".
func (c *Condition) unmet(ctx context.Context) string {
	for _, url := range c.URLs {
		if _, err := Request(ctx, "GET", url, ""); err != nil {
			return err.Error()
		}
	}
	statuses, err := readStatuses(ctx, c.Admins)
	if err != nil {
		return err.Error()
	}
	return c.unmetIn(statuses)
}

// readStatuses requests the status of all VMs in parallel. It returns ErrHTTP.
func readStatuses(ctx context.Context, admins []string) ([]vmStatus, error) {
	statuses := make([]vmStatus, len(admins))
	var group errgroup.Group
	for i, admin := range admins {
		group.Go(func() error {
			data, err := requestVM(ctx, admin, "/v1/status")
			if err != nil {
				return err
			}
			if err := json.Unmarshal(data, &statuses[i]); err != nil {
				return fmt.Errorf("%s: %w: %w", admin, ErrHTTP, err)
			}
			return nil
		})
	}
	return statuses, group.Wait()
}

// OwnerOf returns the name of the VM that owns a target ("service/target"). It
// returns ErrHTTP, or ErrNotReached if no VM owns it.
func OwnerOf(ctx context.Context, admins []string, target string) (string, error) {
	statuses, err := readStatuses(ctx, admins)
	if err != nil {
		return "", err
	}
	for _, s := range statuses {
		for _, o := range s.Owned {
			if o.Target == target && o.Phase == ownership.Active.String() {
				return s.VM, nil
			}
		}
	}
	return "", fmt.Errorf("target %s has no owner: %w", target, ErrNotReached)
}

func ownerCommand() *cobra.Command {
	var admins []string
	cmd := &cobra.Command{
		Use:   "owner SERVICE/TARGET",
		Short: "Print the name of the VM that owns a target",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			owner, err := OwnerOf(cmd.Context(), admins, args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), owner)
			return err
		},
	}
	cmd.Flags().StringSliceVar(&admins, "admin", nil, "admin addresses of all VMs")
	return cmd
}

// unmetIn returns the first part of the condition that does not hold in the
// statuses, or "".
func (c *Condition) unmetIn(statuses []vmStatus) string {
	owners := make(map[string][]string)
	flows, drainedFlows := 0, 0
	for _, s := range statuses {
		if s.TableRevision < c.MinRevision {
			return fmt.Sprintf("%s has table revision %d instead of %d", s.VM, s.TableRevision, c.MinRevision)
		}
		if c.Members > 0 && len(s.Members) != c.Members {
			return fmt.Sprintf("%s lists %d live VMs instead of %d: %s", s.VM, len(s.Members), c.Members, strings.Join(s.Members, " "))
		}
		for _, o := range s.Owned {
			flows += o.Flows
			if o.Target == c.DrainedTarget {
				drainedFlows += o.Flows
			}
			if o.Phase == ownership.Idle.String() {
				continue
			}
			if o.Phase != ownership.Active.String() && c.Targets > 0 {
				return fmt.Sprintf("%s has %s in phase %s", s.VM, o.Target, o.Phase)
			}
			owners[o.Target] = append(owners[o.Target], s.VM)
		}
	}
	if c.Targets > 0 && len(owners) != c.Targets {
		return fmt.Sprintf("%d targets have an owner instead of %d", len(owners), c.Targets)
	}
	for target, vms := range owners {
		if c.Targets > 0 && len(vms) > 1 {
			slices.Sort(vms)
			return fmt.Sprintf("target %s has the owners %s", target, strings.Join(vms, " "))
		}
	}
	if flows < c.MinFlows {
		return fmt.Sprintf("%d flows instead of %d", flows, c.MinFlows)
	}
	if c.DrainedTarget != "" && drainedFlows > 0 {
		return fmt.Sprintf("target %s still has %d flows", c.DrainedTarget, drainedFlows)
	}
	return ""
}

func awaitCommand() *cobra.Command {
	const defaultTimeout = 30 * time.Second
	var c Condition
	var timeout time.Duration
	var workload string
	var scale float64
	cmd := &cobra.Command{
		Use:   "await",
		Short: "Wait until VMs and stand-ins are in the wanted state, by asking them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			if workload != "" {
				w, err := LoadWorkload(workload)
				if err != nil {
					return err
				}
				w.Scale *= scale
				c.MinFlows = w.minOpenFlows()
			}
			return Await(ctx, c)
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&c.Admins, "admin", nil, "admin addresses of VMs that must answer")
	flags.IntVar(&c.Members, "members", 0, "number of live VMs that each of them must know")
	flags.IntVar(&c.Targets, "targets", 0, "number of targets that must have exactly one owner, without a running handover")
	flags.Int64Var(&c.MinRevision, "revision", 0, "lowest table revision that each of them must have")
	flags.IntVar(&c.MinFlows, "flows", 0, "number of flows that the targets must have together")
	flags.StringVar(&workload, "open", "", "workload file whose flows must be open")
	flags.Float64Var(&scale, "scale", 1, "factor of that workload's scale")
	flags.StringVar(&c.DrainedTarget, "no-flows", "", "SERVICE/TARGET that must have no flows")
	flags.StringSliceVar(&c.URLs, "url", nil, "URLs that must answer")
	flags.DurationVar(&timeout, "timeout", defaultTimeout, "time until the command fails")
	return cmd
}
