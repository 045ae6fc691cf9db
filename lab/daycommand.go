package lab

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/lab/day"
)

// defaultDayLength is the default length of random days and of measured days.
const defaultDayLength = 20 * time.Second

func dayCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "day",
		Short: "Play days of a deployment on a virtual clock",
	}
	cmd.AddCommand(dayRunCommand(), dayHuntCommand(), dayMeasureCommand(), dayBalanceCommand(), dayCompareCommand(), dayKindsCommand())
	return cmd
}

func dayRunCommand() *cobra.Command {
	var seed uint64
	var policy, output, file, plot, log string
	cmd := &cobra.Command{
		Use:   "run DAY",
		Short: "Play the day of a file; fails if a promise is broken",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := day.LoadDay(args[0])
			if err != nil {
				return err
			}
			o := day.Options{Seed: seed, Policy: day.Policy(policy)}
			if !slices.Contains(day.Policies(), o.Policy) {
				return fmt.Errorf("policy %q is none of %v: %w", policy, day.Policies(), ErrInvalidOption)
			}
			if log != "" {
				o.Trace = traceOf(cmd.OutOrStdout(), log)
			}
			r, err := day.Run(d, o)
			if err != nil {
				return err
			}
			return errors.Join(writeDay(cmd.OutOrStdout(), r, output, file, plot), r.Verdict())
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&seed, "seed", 1, "seed of the day")
	flags.StringVar(&policy, "policy", string(day.Gypsumspan), "gypsumspan, or a baseline: modulo, rendezvous, round_robin")
	flags.StringVar(&output, "output", "table", "table or json")
	flags.StringVar(&file, "report", "", "file for the report in JSON")
	flags.StringVar(&plot, "plot", "", "file for a plot of service over time: svg, png or pdf")
	flags.StringVar(&log, "log", "", "print the log events of this VM, or of all")
	return cmd
}

// traceOf returns a trace function that prints the log events of one VM, or of all VMs
// if vm is "all".
func traceOf(w io.Writer, vm string) func(time.Duration, string, *events.Event, []events.Field) {
	return func(now time.Duration, name string, e *events.Event, fields []events.Field) {
		if vm == "all" || vm == name {
			fmt.Fprintln(w, now, name, e.Number, e.Name, fields)
		}
	}
}

// writeDay writes the report to w and, if their names are set, the report file and the
// plot.
func writeDay(w io.Writer, r *day.Report, output, file, plot string) error {
	if file != "" {
		if err := r.WriteFile(file); err != nil {
			return err
		}
	}
	if plot != "" {
		if err := day.Plot(plot, r); err != nil {
			return err
		}
	}
	switch output {
	case "json":
		return r.WriteJSON(w)
	case "table":
		return r.WriteTable(w)
	default:
		return fmt.Errorf("output %q is neither table nor json: %w", output, ErrInvalidOption)
	}
}

func dayHuntCommand() *cobra.Command {
	var firstSeed uint64
	var days, jobs int
	var length time.Duration
	cmd := &cobra.Command{
		Use:   "hunt SITE",
		Short: "Play days of random troubles at a site; fails if a promise is broken",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			site, err := day.LoadSite(args[0])
			if err != nil {
				return err
			}
			return playRandomDays(cmd.OutOrStdout(), site, length, firstSeed, days, jobs)
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&firstSeed, "first", 1, "seed of the first day; the others follow it")
	flags.IntVar(&days, "days", 100, "number of days")
	flags.IntVar(&jobs, "jobs", 2, "days played at a time")
	flags.DurationVar(&length, "length", defaultDayLength, "length of a day")
	return cmd
}

// playRandomDays runs a random day for each seed, jobs of them at a time, and prints
// the violations and the day with the lowest service level.
func playRandomDays(w io.Writer, site *day.Site, length time.Duration, firstSeed uint64, days, jobs int) error {
	reports := make([]*day.Report, days)
	failures := make([]error, days)
	workers, err := ants.NewPool(jobs)
	if err != nil {
		return fmt.Errorf("jobs: %w: %w", ErrInvalidOption, err)
	}
	defer workers.Release()
	done := make(chan struct{}, days)
	for i := range days {
		seed := firstSeed + uint64(i)
		err := workers.Submit(func() {
			defer func() { done <- struct{}{} }()
			reports[i], failures[i] = day.Run(day.RandomDay(site, length, seed), day.Options{Seed: seed, Policy: day.Gypsumspan})
		})
		if err != nil {
			return fmt.Errorf("jobs: %w: %w", ErrInvalidOption, err)
		}
	}
	for range days {
		<-done
	}
	if err := errors.Join(failures...); err != nil {
		return err
	}
	return writeRandomDays(w, reports)
}

func writeRandomDays(w io.Writer, reports []*day.Report) error {
	var verdicts []error
	sum := 0.0
	worst := reports[0]
	for _, r := range reports {
		sum += r.ServiceLevel
		if r.ServiceLevel < worst.ServiceLevel {
			worst = r
		}
		if r.Verdict() == nil {
			continue
		}
		verdicts = append(verdicts, r.Verdict())
		for _, v := range r.Violations {
			fmt.Fprintf(w, "seed %d at %s: %s: %s\n", r.Seed, v.At.Round(time.Millisecond), v.Promise, v.Text)
		}
	}
	fmt.Fprintf(w, "%d days, %d with a broken promise; mean service %.4f, least %.4f with seed %d\n",
		len(reports), len(verdicts), sum/float64(len(reports)), worst.ServiceLevel, worst.Seed)
	return errors.Join(verdicts...)
}

func dayMeasureCommand() *cobra.Command {
	var seeds int
	var length time.Duration
	cmd := &cobra.Command{
		Use:   "measure SITE",
		Short: "Broken flows, imbalance and flood effect of gypsumspan and of the baselines",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			site, err := day.LoadSite(args[0])
			if err != nil {
				return err
			}
			figures, err := day.Measure(site, length, seeds)
			if err != nil {
				return err
			}
			return day.WriteFigures(cmd.OutOrStdout(), figures)
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 3, "number of seeds, from 1 on")
	cmd.Flags().DurationVar(&length, "length", defaultDayLength, "length of each day")
	return cmd
}

func dayCompareCommand() *cobra.Command {
	var plot string
	cmd := &cobra.Command{
		Use:   "compare BEFORE AFTER",
		Short: "Compare two reports of the same day and seed, as run --report writes them",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			before, err := day.ReadReport(args[0])
			if err != nil {
				return err
			}
			after, err := day.ReadReport(args[1])
			if err != nil {
				return err
			}
			if err := day.Compare(cmd.OutOrStdout(), before, after); err != nil {
				return err
			}
			if plot == "" {
				return nil
			}
			return day.Plot(plot, before, after)
		},
	}
	cmd.Flags().StringVar(&plot, "plot", "", "file for a plot of both: svg, png or pdf")
	return cmd
}

func dayKindsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "kinds",
		Short: "The troubles that a day file may hold",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			names, text := day.DisruptionKinds()
			for _, name := range names {
				fmt.Fprintf(cmd.OutOrStdout(), "%-16s %s\n", name, text(name))
			}
			return nil
		},
	}
}
