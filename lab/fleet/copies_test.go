package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/ownership"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Guards against copies that run again because the owner that ran the first one
// is gone, paused, or has handed its target or the flow over. Every datagram of
// callers and VMs arrives a second time, after the ownership has changed.
func TestDelayedCopiesRunOnce(t *testing.T) {
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
		{"owner leaves, successor killed before it confirms", func(f *Fleet, owner, target string) {
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
		{"a better VM joins, its confirmations are lost, it is killed", func(f *Fleet, owner, target string) {
			f.net.drop = func(m message.Message) bool {
				_, ok := m.Body.(*message.HandoverAck)
				return ok
			}
			name := f.betterVM(owner, target)
			f.StartVM(name, f.Domain(owner))
			f.Advance(4 * time.Second)
			sendCheckins(f, f.loads[0], 200)
			f.KillVM(name)
			f.net.drop = nil
			f.Advance(5 * time.Second)
		}},
		{"owner leaves, cut off before the confirmation", func(f *Fleet, owner, target string) {
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
			t.Run(fmt.Sprintf("%s, copies after %v", c.name, delay), func(t *testing.T) {
				t.Parallel()
				o := wales(3)
				o.Duplicate = 1
				o.DuplicateDelay = delay
				f := New(o)
				spec := tracking(4)
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
				check(t, f)
				ok, failed := failures(f)
				t.Logf("%d calls answered, failed: %v, broken flows: %d", ok, failed, f.BrokenFlows())
				if f.BrokenFlows() > 0 {
					t.Errorf("%d flows broke although no target crashed", f.BrokenFlows())
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

// busiestOwner returns the active owner of the service's target with most flows.
func (f *Fleet) busiestOwner(service string) (vm, target string) {
	most := -1
	s := f.services[service]
	for _, name := range f.order {
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

// betterVM returns the name of a VM that comes before the owner in the order of
// the target.
func (f *Fleet) betterVM(owner, target string) string {
	id := message.TargetIDOf("tracking", target)
	for i := 0; ; i++ {
		name := fmt.Sprintf("new%d", i)
		if ownership.Before(id, message.VMIDOf(name), message.VMIDOf(owner)) {
			return name
		}
	}
}

// successor returns the VM that will own the target when its owner is gone.
func (f *Fleet) successor(owner, target string) string {
	row, _ := f.vms[owner].machine.Table().Target(message.TargetIDOf("tracking", target))
	var live []message.Member
	for _, name := range f.order {
		if name != owner {
			live = append(live, f.vms[name].member)
		}
	}
	owners := ownership.NewOwners(0)
	owners.Update(0, live)
	id, _ := owners.Owner(0, row.ID, row.DomainID)
	for _, name := range f.order {
		if f.vms[name].member.ID == id {
			return name
		}
	}
	return ""
}
