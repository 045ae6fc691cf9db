package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Guards against a flow that is lost because its targets were replaced one after
// the other while it was idle, so that its binding names a target of long ago.
func TestIdleFlowIsFoundAfterAllTargetsWereReplaced(t *testing.T) {
	t.Parallel()
	f := New(wales(3))
	spec := tracking(8)
	f.AddService(spec)
	f.StartVMs(9)
	f.Advance(6 * time.Second)
	l := f.NewLoad(spec, 400)
	f.Advance(time.Second)
	for i := range spec.Targets {
		old := fmt.Sprintf("t%02d", i)
		f.AddTarget(spec, spec.Targets+i)
		f.Advance(2 * time.Second)
		f.SetState(spec.Name, old, table.Leaving)
		f.Advance(2 * time.Second)
		if n := f.FlowsAt(spec.Name, old); n > 0 {
			t.Fatalf("leaving target %s still has %d flows", old, n)
		}
		f.RemoveRow(spec.Name, old)
		f.Advance(time.Second)
	}
	for range l.Flows {
		l.Send(1)
		f.Advance(5 * time.Millisecond)
	}
	f.Drain(10 * time.Second)
	check(t, f)
	ok, failed := failures(f)
	if ok != len(l.Flows) || f.Broken() > 0 {
		t.Errorf("%d of %d calls answered, failed: %v, broken flows: %d", ok, len(l.Flows), failed, f.Broken())
	}
}
