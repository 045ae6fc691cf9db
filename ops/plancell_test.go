package ops

import (
	"errors"
	"testing"

	"github.com/gypsumspan/gypsumspan/decide/sheet"
	standin "github.com/gypsumspan/gypsumspan/standin/store"
)

// Guards against a change of one cell that reads the whole table, and against a duplicate
// address that is accepted because only one of two services was read.
func TestPlanCell(t *testing.T) {
	f := newFixture(t, standin.Options{})
	cell := sheet.Cell{Service: "live", Target: "t1", Column: sheet.ColumnState}
	plan, err := f.ops.PlanCell(t.Context(), cell, "leaving")
	f.NoErr(err)
	f.Equal(len(plan.Current.keys), 2)
	f.onTxn(1, func() { f.apply(f.otherOps, f.withWeight("t1", "9")) })
	_, err = f.ops.Apply(t.Context(), plan)
	f.NoErr(err)
	f.Equal(f.weights(), "9 2")
	snapshot, err := f.ops.Export(t.Context())
	f.NoErr(err)
	f.Equal(snapshot.Sheet.Targets[1].State, "leaving")
	f.Equal(len(snapshot.Sheet.Targets), 3)
	cell.Column = sheet.ColumnAddress
	for _, value := range []string{"10.0.0.3:7300", "10.0.0.3"} {
		_, err = f.ops.PlanCell(t.Context(), cell, value)
		f.True(errors.Is(err, ErrInvalid))
	}
	cell.Target = "t9"
	_, err = f.ops.PlanCell(t.Context(), cell, "10.0.0.9:7300")
	f.True(errors.Is(err, ErrInvalid))
}
