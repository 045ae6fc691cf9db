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

// awaitInterval is the time between two rounds of questions.
const awaitInterval = 100 * time.Millisecond

// Condition says what Await waits for. Zero fields are not checked.
type Condition struct {
	Admins        []string // admin addresses; all must answer
	Members       int      // live VMs that each VM knows
	Targets       int      // targets that exactly one VM owns, none of them in handover
	MinFlows      int      // flows of all targets together
	DrainedTarget string   // "service/target" that must have no flows any more
	URLs          []string // must answer 200
	MinRevision   int64    // lowest table revision that each VM must have
}

// vmStatus is what Await reads of a VM's answer.
type vmStatus struct {
	VM      string   `json:"vm"`
	Table   int64    `json:"table_revision"`
	Members []string `json:"members"`
	Owned   []struct {
		Target string `json:"target"`
		Phase  string `json:"phase"`
		Flows  int    `json:"flows"`
	} `json:"owned"`
}

// Await asks until the condition holds. It returns ErrNotReached, with what is
// missing, when ctx ends first.
func Await(ctx context.Context, c Condition) error {
	for {
		missing := c.missing(ctx)
		if missing == "" {
			return nil
		}
		timer := time.NewTimer(awaitInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("%s: %w", missing, ErrNotReached)
		}
	}
}

// missing returns what does not hold yet, or "".
func (c *Condition) missing(ctx context.Context) string {
	for _, url := range c.URLs {
		if _, err := Request(ctx, "GET", url, ""); err != nil {
			return err.Error()
		}
	}
	statuses, err := readStatuses(ctx, c.Admins)
	if err != nil {
		return err.Error()
	}
	return c.compare(statuses)
}

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

func (c *Condition) compare(statuses []vmStatus) string {
	owners := make(map[string][]string)
	flows, leavingFlows := 0, 0
	for _, s := range statuses {
		if s.Table < c.MinRevision {
			return fmt.Sprintf("%s has table revision %d instead of %d", s.VM, s.Table, c.MinRevision)
		}
		if c.Members > 0 && len(s.Members) != c.Members {
			return fmt.Sprintf("%s knows %d live VMs instead of %d: %s", s.VM, len(s.Members), c.Members, strings.Join(s.Members, " "))
		}
		for _, o := range s.Owned {
			flows += o.Flows
			if o.Target == c.DrainedTarget {
				leavingFlows += o.Flows
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
	if c.DrainedTarget != "" && leavingFlows > 0 {
		return fmt.Sprintf("target %s still has %d flows", c.DrainedTarget, leavingFlows)
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
				c.MinFlows = w.openFlows()
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
