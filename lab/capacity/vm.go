package capacity

import (
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/ownership"
	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/decide/vm"
)

func vmExperiments() []Experiment {
	return []Experiment{
		{
			Name: "vm.change.cpu", Unit: Nanoseconds, Per: "target in the table",
			Sizes: []int{1_800, 18_000, fleetTargets}, TinySizes: []int{20, 40, 80},
			Measure: func(m *Meter, n int) Point { return at(n, vmChangeTime(m, fleetFor(n), n)) },
		},
		{
			Name: "vm.tick.cpu", Unit: Nanoseconds, Per: "owned target",
			Sizes: []int{4, 16, 40}, TinySizes: []int{1, 2, 3},
			Measure: func(m *Meter, n int) Point { return at(n, vmTickTime(m, n)) },
		},
		{
			Name: "vm.target.memory", Unit: Bytes, Per: "owned target without flows",
			Sizes: []int{4, 16, 40}, TinySizes: []int{1, 2, 3},
			Measure: func(m *Meter, n int) Point { return at(n, ownedHeap(m, n)) },
		},
		{
			Name: "vm.pull.cpu", Unit: Nanoseconds, Per: "target in the table",
			Sizes: []int{1_800, 18_000, fleetTargets}, TinySizes: []int{20, 40, 80},
			Measure: func(m *Meter, n int) Point { return at(n, vmPullTime(m, n)) },
		},
		{
			Name: "vm.tablechange.cpu", Unit: Nanoseconds, Per: "target in the table",
			Sizes: []int{1_800, 18_000, fleetTargets}, TinySizes: []int{20, 40, 80},
			Measure: func(m *Meter, n int) Point { return at(n, vmTableChangeTime(m, n)) },
		},
	}
}

// fleetFor returns the number of VMs of a measurement: the size in two years
// unless the table is that of a tiny run.
func fleetFor(targets int) int {
	if targets < 1_000 {
		return 2 * domainCount
	}
	return fleetVMs
}

// vmChangeTime measures what one membership change of another failure domain
// costs a whole VM: the gossip, the owners and the search for targets to own.
func vmChangeTime(m *Meter, vms, targets int) float64 {
	all := members(vms)
	r := newRig(all, vm.Config{})
	r.load(servicesFor(targets), targets)
	r.settle()
	t := newToggle(all)
	return m.Time(func() {
		r.receive(t.next())
		r.step(10 * tick)
	})
}

// ownedRows returns n rows that the first VM of a fleet owns.
func ownedRows(all []message.Member, n int) []table.Target {
	o := ownersOf(all)
	name := serviceName(0)
	var rows []table.Target
	for i := 0; len(rows) < n; i += domainCount {
		t := row(name, i)
		if owner, ok := o.Owner(0, t.ID, t.DomainID); ok && owner == all[0].ID {
			rows = append(rows, t)
		}
	}
	return rows
}

// tickFleetScale makes the sizes of vm.tick.cpu comparable with those of tables:
// 4 owned targets and more are measured in the whole fleet, the tiny sizes are not.
const tickFleetScale = 300

// vmTickTime measures one tick in a quiet fleet at a VM with n owned targets
// without flows.
func vmTickTime(m *Meter, n int) float64 {
	all := members(fleetFor(n * tickFleetScale))
	r := newRig(all, vm.Config{})
	s := service(0, 1, 0)
	s.Targets = ownedRows(all, n)
	r.loadService(s)
	r.settle()
	return m.Time(func() { r.step(tick) })
}

// ownedHeap measures a VM alone with n owned targets.
func ownedHeap(m *Meter, n int) float64 {
	return m.Heap(func() any {
		r := newRig(members(1), vm.Config{})
		r.loadService(oneService(n, 0))
		r.settle()
		return r
	})
}

// vmPullTime measures the answer to a VM that asks for the whole table.
func vmPullTime(m *Meter, targets int) float64 {
	pair := members(2)
	r := newRig(pair, vm.Config{})
	r.load(servicesFor(targets), targets)
	pull := message.Message{From: memberAddress(pair[1]), Body: &message.TablePull{}}
	return m.Time(func() { r.receive(pull) })
}

// vmTableChangeTime measures what one changed service of 9 targets costs a VM
// that holds a table.
func vmTableChangeTime(m *Meter, targets int) float64 {
	r := newRig(members(fleetFor(targets)), vm.Config{})
	services := servicesFor(targets)
	r.load(services, targets)
	r.settle()
	changed := service(0, services, targets)
	revision := int64(services)
	return m.Time(func() {
		revision++
		changed.Targets[0].Weight = uint32(1 + revision%2)
		r.receive(platform(&message.TableDelta{Entries: entriesOf(changed, revision)}))
		r.step(tick)
	})
}

// before reports whether VM a owns a target if only a and b are live.
func before(id message.TargetID, a, b message.Member) bool {
	return ownership.Before(id, a.ID, b.ID)
}
