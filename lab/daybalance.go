package lab

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/decide/balance"
	"github.com/gypsumspan/gypsumspan/lab/day"
)

func dayBalanceCommand() *cobra.Command {
	var seeds, jobs int
	var length time.Duration
	var ages []time.Duration
	var names []string
	cmd := &cobra.Command{
		Use:   "balance SITE",
		Short: "Compare the choices of targets, by the age of what VMs know of each other; age 0s: by heartbeats",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			site, err := day.LoadSite(args[0])
			if err != nil {
				return err
			}
			d := &day.Day{Name: args[0], Length: day.Duration(length), Site: site}
			return compareBalance(cmd.OutOrStdout(), d, names, ages, seeds, jobs)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&seeds, "seeds", 3, "number of seeds, from 1 on")
	flags.IntVar(&jobs, "jobs", 2, "days played at a time")
	flags.DurationVar(&length, "length", defaultDayLength, "length of each day")
	flags.DurationSliceVar(&ages, "ages", []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second}, "mean ages of knowledge")
	flags.StringSliceVar(&names, "choices", policyNames(), "policies to compare")
	return cmd
}

func policyNames() (names []string) {
	for _, p := range balance.Policies() {
		names = append(names, p.String())
	}
	return names
}

func policyOf(name string) (balance.Policy, error) {
	for _, p := range balance.Policies() {
		if p.String() == name {
			return p, nil
		}
	}
	return 0, fmt.Errorf("choice %q is none of %v: %w", name, policyNames(), ErrInvalidOption)
}

// balanceCase is one combination of parameters, with a report for each seed.
type balanceCase struct {
	policy  balance.Policy
	age     time.Duration
	reports []*day.Report
	errs    []error
}

// compareBalance plays a day with every combination of policy and age and prints a line
// for each, with means over the seeds.
func compareBalance(w io.Writer, d *day.Day, names []string, ages []time.Duration, seeds, jobs int) error {
	var cases []*balanceCase
	for _, name := range names {
		policy, err := policyOf(name)
		if err != nil {
			return err
		}
		for _, age := range ages {
			cases = append(cases, &balanceCase{policy: policy, age: age, reports: make([]*day.Report, seeds), errs: make([]error, seeds)})
			if policy == balance.LeastOwn {
				break // uses no reports
			}
		}
	}
	workers, err := ants.NewPool(jobs)
	if err != nil {
		return fmt.Errorf("jobs: %w: %w", ErrInvalidOption, err)
	}
	defer workers.Release()
	done := make(chan struct{}, len(cases)*seeds)
	for _, c := range cases {
		for i := range seeds {
			err := workers.Submit(func() {
				defer func() { done <- struct{}{} }()
				c.reports[i], c.errs[i] = day.Run(d, day.Options{Seed: uint64(i + 1), Policy: day.Gypsumspan, Balance: c.policy, KnowledgeAge: c.age})
			})
			if err != nil {
				return fmt.Errorf("jobs: %w: %w", ErrInvalidOption, err)
			}
		}
	}
	for range len(cases) * seeds {
		<-done
	}
	return writeBalance(w, d, cases)
}

func writeBalance(w io.Writer, d *day.Day, cases []*balanceCase) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "choice\tage\twaiting %\tservice\tworst 2 s\tbeats B/s")
	for _, k := range d.Site.Kinds {
		fmt.Fprintf(t, "\t%s in time\tmean ms\t99%% ms", k.Name)
	}
	fmt.Fprintln(t)
	for _, c := range cases {
		if err := errors.Join(c.errs...); err != nil {
			return err
		}
		mean := func(value func(r *day.Report) float64) float64 {
			sum := 0.0
			for _, r := range c.reports {
				sum += value(r)
			}
			return sum / float64(len(c.reports))
		}
		const percent = 100
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%.4f\t%.3f\t%.0f", c.policy, c.age,
			percent*mean(func(r *day.Report) float64 { return r.Waiting.Avoidable }),
			mean(func(r *day.Report) float64 { return r.ServiceLevel }),
			mean(func(r *day.Report) float64 { return r.WorstWindow }),
			mean(func(r *day.Report) float64 { return r.HeartbeatBytes }))
		for i := range d.Site.Kinds {
			fmt.Fprintf(t, "\t%.4f\t%.1f\t%.1f",
				mean(func(r *day.Report) float64 { return float64(r.Kinds[i].InGoal) / float64(max(r.Kinds[i].Requests, 1)) }),
				mean(func(r *day.Report) float64 { return r.Kinds[i].MeanMS }),
				mean(func(r *day.Report) float64 { return r.Kinds[i].P99MS }))
		}
		fmt.Fprintln(t)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}
