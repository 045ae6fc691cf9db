package lab

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/lab/capacity"
)

func capacityCommand() *cobra.Command {
	var o capacity.Options
	var output string
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure how memory, CPU time and traffic grow with the size of the fleet",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runCapacity(cmd, o, output)
		},
	}
	cmd.Flags().StringVar(&output, "output", "table", "table or json")
	cmd.Flags().StringVar(&o.NamePrefix, "only", "", "measure only the series whose name starts with this")
	cmd.Flags().BoolVar(&o.Tiny, "tiny", false, "small sizes and short loops, to try the command; the figures mean nothing")
	return cmd
}

func runCapacity(cmd *cobra.Command, o capacity.Options, output string) error {
	if output != "table" && output != "json" {
		return fmt.Errorf("output %q is neither table nor json: %w", output, ErrInvalidOption)
	}
	report, err := capacity.Run(cmd.Context(), o)
	if err != nil {
		return err
	}
	if output == "json" {
		return report.WriteJSON(cmd.OutOrStdout())
	}
	return report.WriteTable(cmd.OutOrStdout())
}
