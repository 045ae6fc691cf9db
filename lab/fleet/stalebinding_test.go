package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// callEachFlow sends a request of a kind on each flow and fails the test unless all are
// answered and no flow has broken.
func callEachFlow(t *testing.T, f *Fleet, l *Load, kind message.KindID, gap time.Duration) {
	t.Helper()
	for range l.Flows {
		l.Send(kind)
		f.Advance(gap)
	}
	f.FinishCalls(10 * time.Second)
	checkOracle(t, f)
	ok, failed := countOutcomes(f)
	if ok != len(l.Flows) || f.BrokenFlows() > 0 {
		t.Errorf("%d of %d calls answered, failed: %v, broken flows: %d", ok, len(l.Flows), failed, f.BrokenFlows())
	}
}

// Guards against losing an idle flow while all targets are replaced one after the other, so
// that its binding names a target that was removed long ago.
func TestIdleFlowIsFoundAfterAllTargetsWereReplaced(t *testing.T) {
	t.Parallel()
	f := New(walesOptions(3))
	spec := trackingService(8)
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
	callEachFlow(t, f, l, 1, 5*time.Millisecond)
}

// Guards against losing a flow that moved to another target, when the owner of its old
// target leaves and then the row of its new target is removed.
func TestMovedFlowIsFoundAfterItsOldOwnerLeft(t *testing.T) {
	t.Parallel()
	f := New(walesOptions(4))
	spec := trackingService(8)
	f.AddService(spec)
	f.StartVMs(12)
	f.Advance(6 * time.Second)
	l := f.NewLoad(spec, 800)
	f.Advance(time.Second)
	owner, first := f.busiestOwner(spec.Name)
	f.SetState(spec.Name, first, table.Leaving)
	f.Advance(2 * time.Second)
	f.LeaveVM(owner)
	f.Advance(2 * time.Second)
	f.Reap()
	_, second := f.busiestOwner(spec.Name)
	f.RemoveRow(spec.Name, second)
	callEachFlow(t, f, l, 1, 100*time.Microsecond)
}

// Guards against requests that are refused as busy until their deadline, because every VM
// started after the row in the flow's binding was removed.
func TestNewVMsFindFlowsOfARemovedRow(t *testing.T) {
	t.Parallel()
	f := New(walesOptions(6))
	spec := trackingService(8)
	f.AddService(spec)
	f.StartVMs(6)
	f.Advance(6 * time.Second)
	l := f.NewLoad(spec, 200)
	f.Advance(time.Second)
	f.RemoveRow(spec.Name, "t00")
	f.Advance(time.Second)
	old := append([]string(nil), f.VMs()...)
	for _, name := range old {
		f.StartVM(name+"n", f.Domain(name))
	}
	f.Advance(3500 * time.Millisecond)
	for _, name := range old {
		f.LeaveVM(name)
	}
	f.Advance(1500 * time.Millisecond)
	f.Reap()
	callEachFlow(t, f, l, 0, time.Millisecond)
}
