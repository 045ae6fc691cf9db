package lab

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/lab/measure"
)

// defaultMeasureScale is the scale at which all experiments together take minutes.
const defaultMeasureScale = 0.1

func measureCommand() *cobra.Command {
	var o measure.Options
	var site, output string
	cmd := &cobra.Command{
		Use:       "measure [EXPERIMENT...]",
		Short:     "Run the measures on stepped fleets; fails if a bound is missed",
		ValidArgs: measure.Experiments(),
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if o.Site, err = measure.SiteByName(site); err != nil {
				return err
			}
			o.Experiments = args
			o.Progress = func(experiment, name string) {
				fmt.Fprintf(cmd.ErrOrStderr(), "%s: %s\n", experiment, name)
			}
			return runMeasureCommand(cmd, o, output)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&site, "site", "wales", "wales or tasmania")
	flags.StringVar(&output, "output", "table", "table or json")
	flags.Float64Var(&o.Scale, "scale", defaultMeasureScale, "part of the flows a target; in floods, of targets and VMs")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the fleets and of the load")
	return cmd
}

// runMeasureCommand runs the experiments and prints the report, also if a bound is
// missed.
func runMeasureCommand(cmd *cobra.Command, o measure.Options, output string) error {
	if output != "table" && output != "json" {
		return fmt.Errorf("output %q is neither table nor json: %w", output, ErrInvalidOption)
	}
	report, verdict := measure.Run(o)
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
