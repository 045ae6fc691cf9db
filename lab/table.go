package lab

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/gypsumspan/gypsumspan/decide/sheet"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Sheet returns the operators' table of a workload with the given targets. It returns
// ErrInvalidWorkload for values that the table does not accept.
func Sheet(w *Workload, targets []Target) (sheet.Sheet, error) {
	var s sheet.Sheet
	for i := range w.Services {
		service := &w.Services[i]
		for _, k := range service.Kinds {
			s.Kinds = append(s.Kinds, sheet.KindRow{
				Service: service.Name,
				Address: service.Address,
				Kind:    k.Name,
				Urgency: k.Urgency,
				Share:   strconv.FormatUint(uint64(k.Share), 10),
			})
		}
	}
	for _, t := range targets {
		s.Targets = append(s.Targets, sheet.TargetRow{
			Service: w.Services[t.Service].Name,
			Target:  t.Name,
			Domain:  t.Domain,
			Address: t.Requests.String(),
			Health:  t.Addresses.Health.String(),
			Weight:  strconv.FormatUint(uint64(t.Weight), 10),
			Limit:   strconv.Itoa(t.Slots),
			State:   table.Active.String(),
		})
	}
	if faults := s.Validate(); len(faults) > 0 {
		return sheet.Sheet{}, fmt.Errorf("%w: %w", ErrInvalidWorkload, &sheet.InvalidError{Faults: faults})
	}
	return s, nil
}

func tableCommand() *cobra.Command {
	var addressing targetAddressing
	var workload string
	cmd := &cobra.Command{
		Use:   "table --workload FILE",
		Short: "Print a workload's services and targets as the operators' CSV",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			w, err := LoadWorkload(workload)
			if err != nil {
				return err
			}
			targets, err := addressing.workloadTargets(w)
			if err != nil {
				return err
			}
			s, err := Sheet(w, targets)
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(sheet.FormatCSV(s))
			return err
		},
	}
	addressing.addFlags(cmd)
	cmd.Flags().StringVar(&workload, "workload", "", "workload file (required)")
	_ = cmd.MarkFlagRequired("workload") // fails only for a flag that does not exist
	return cmd
}
