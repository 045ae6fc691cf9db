package ops

import (
	"errors"
	"testing"

	"github.com/gypsumspan/gypsumspan/decide/sheet"
	standin "github.com/gypsumspan/gypsumspan/standin/store"
)

// Guards against the change of one cell that reads the whole table, and against
// an address that two services get because only one was read.
func TestPlanCell(t *testing.T) {
	r := newRig(t, standin.Options{})
	cell := sheet.Cell{Service: "live", Target: "t1", Column: sheet.ColumnState}
	plan, err := r.ops.PlanCell(t.Context(), cell, "leaving")
	r.NoErr(err)
	r.Equal(len(plan.Current.keys), 2)
	r.onTxn(1, func() { r.apply(r.other, r.weight("t1", "9")) })
	_, err = r.ops.Apply(t.Context(), plan)
	r.NoErr(err)
	r.Equal(r.weights(), "9 2")
	snapshot, err := r.ops.Export(t.Context())
	r.NoErr(err)
	r.Equal(snapshot.Sheet.Targets[1].State, "leaving")
	r.Equal(len(snapshot.Sheet.Targets), 3)
	cell.Column = sheet.ColumnAddress
	for _, value := range []string{"10.0.0.3:7300", "10.0.0.3"} {
		_, err = r.ops.PlanCell(t.Context(), cell, value)
		r.True(errors.Is(err, ErrInvalid))
	}
	cell.Target = "t9"
	_, err = r.ops.PlanCell(t.Context(), cell, "10.0.0.9:7300")
	r.True(errors.Is(err, ErrInvalid))
}
