package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/ownership"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Guards against duplicate datagrams whose requests run again because the owner that
// dispatched the first one is gone, is paused, or has handed over its target or the flow.
// Every datagram between callers and VMs arrives twice, the second time after the ownership
// has changed.
func TestDelayedDuplicatesRunOnce(t *testing.T) {
	t.Parallel()
	changes := []struct {
		name   string
		change func(f *Fleet, owner string, target string)
	}{
		{"owner killed", func(f *Fleet, owner, _ string) { f.KillVM(owner) }},
		{"owner leaves", func(f *Fleet, owner, _ string) { f.LeaveVM(owner) }},
		{"owner paused and resumed", func(f *Fleet, owner, _ string) {
			f.SetPaused(owner, true)
			f.Advance(5 * time.Second)
			f.SetPaused(owner, false)
		}},
		{"target leaves", func(f *Fleet, _, target string) { f.SetState("tracking", target, table.Leaving) }},
		{"target leaves, then its old owner is killed", func(f *Fleet, owner, target string) {
			f.SetState("tracking", target, table.Leaving)
			f.Advance(time.Second)
			f.KillVM(owner)
		}},
		{"owner leaves, successor killed before its handover ack", func(f *Fleet, owner, target string) {
			successor := f.successor(owner, target)
			f.LeaveVM(owner)
			f.Advance(30 * time.Millisecond)
			f.KillVM(successor)
		}},
		{"owner leaves after the log entries have expired", func(f *Fleet, owner, _ string) {
			f.Advance(16 * time.Second)
			f.LeaveVM(owner)
			f.Advance(2 * time.Second)
		}},
		{"target leaves after the log entries have expired", func(f *Fleet, _, target string) {
			f.Advance(16 * time.Second)
			f.SetState("tracking", target, table.Leaving)
			f.Advance(2 * time.Second)
		}},
		{"a higher-ranked VM joins, its handover acks are lost, it is killed", func(f *Fleet, owner, target string) {
			f.net.drop = func(m message.Message) bool {
				_, ok := m.Body.(*message.HandoverAck)
				return ok
			}
			name := f.nameRankedBefore(owner, target)
			f.StartVM(name, f.Domain(owner))
			f.Advance(4 * time.Second)
			sendCheckins(f, f.loads[0], 200)
			f.KillVM(name)
			f.net.drop = nil
			f.Advance(5 * time.Second)
		}},
		{"owner leaves, paused before the confirmation", func(f *Fleet, owner, target string) {
			f.LeaveVM(owner)
			f.Advance(10 * time.Millisecond)
			f.SetPaused(owner, true)
			f.Advance(4 * time.Second)
			f.SetPaused(owner, false)
		}},
	}
	delays := []time.Duration{500 * time.Millisecond, 4 * time.Second, 12 * time.Second, 19 * time.Second}
	for _, c := range changes {
		for _, delay := range delays {
			t.Run(fmt.Sprintf("%s, duplicates after %v", c.name, delay), func(t *testing.T) {
				t.Parallel()
				o := walesOptions(3)
				o.Duplicate = 1
				o.DuplicateDelay = delay
				f := New(o)
				spec := trackingService(4)
				f.AddService(spec)
				f.StartVMs(9)
				f.Advance(6 * time.Second)
				l := f.NewLoad(spec, 40)
				f.Advance(time.Second)
				sendCheckins(f, l, 200)
				owner, target := f.busiestOwner("tracking")
				c.change(f, owner, target)
				sendCheckins(f, l, 100)
				f.Advance(delay)
				f.FinishCalls(30 * time.Second)
				f.Advance(delay)
				checkOracle(t, f)
				ok, failed := countOutcomes(f)
				t.Logf("%d calls answered, failed: %v, broken flows: %d", ok, failed, f.BrokenFlows())
				if f.BrokenFlows() > 0 {
					t.Errorf("%d flows broke, but no target crashed", f.BrokenFlows())
				}
			})
		}
	}
}

func sendCheckins(f *Fleet, l *Load, n int) {
	for range n {
		l.Send(0)
		f.Advance(2 * time.Millisecond)
	}
}

// busiestOwner returns the service's target with the most flows and its active owner.
func (f *Fleet) busiestOwner(service string) (vm, target string) {
	most := -1
	s := f.services[service]
	for _, name := range f.vmNames {
		for i := range s.Targets {
			row := &s.Targets[i]
			m := f.vms[name].machine
			if m.Owns(row.ID) && m.Flows(row.ID) > most {
				most = m.Flows(row.ID)
				vm, target = name, row.Name
			}
		}
	}
	return vm, target
}

// nameRankedBefore returns the name of a VM that would rank before the owner in the target's
// rendezvous order.
func (f *Fleet) nameRankedBefore(owner, target string) string {
	id := message.TargetIDOf("tracking", target)
	for i := 0; ; i++ {
		name := fmt.Sprintf("new%d", i)
		if ownership.Before(id, message.VMIDOf(name), message.VMIDOf(owner)) {
			return name
		}
	}
}

// successor returns the VM that will own the target once its owner is gone, or "".
func (f *Fleet) successor(owner, target string) string {
	row, _ := f.vms[owner].machine.Table().Target(message.TargetIDOf("tracking", target))
	var live []message.Member
	for _, name := range f.vmNames {
		if name != owner {
			live = append(live, f.vms[name].member)
		}
	}
	owners := ownership.NewOwners(0)
	owners.Update(0, live)
	id, _ := owners.Owner(0, row.ID, row.DomainID)
	for _, name := range f.vmNames {
		if f.vms[name].member.ID == id {
			return name
		}
	}
	return ""
}
