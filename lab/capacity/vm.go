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
			Measure: func(m *Meter, n int) Point { return newPoint(n, vmChangeTime(m, fleetSizeFor(n), n)) },
		},
		{
			Name: "vm.tick.cpu", Unit: Nanoseconds, Per: "owned target",
			Sizes: []int{4, 16, 40}, TinySizes: []int{1, 2, 3},
			Measure: func(m *Meter, n int) Point { return newPoint(n, vmTickTime(m, n)) },
		},
		{
			Name: "vm.target.memory", Unit: Bytes, Per: "owned target without flows",
			Sizes: []int{4, 16, 40}, TinySizes: []int{1, 2, 3},
			Measure: func(m *Meter, n int) Point { return newPoint(n, ownedHeap(m, n)) },
		},
		{
			Name: "vm.pull.cpu", Unit: Nanoseconds, Per: "target in the table",
			Sizes: []int{1_800, 18_000, fleetTargets}, TinySizes: []int{20, 40, 80},
			Measure: func(m *Meter, n int) Point { return newPoint(n, vmPullTime(m, n)) },
		},
		{
			Name: "vm.tablechange.cpu", Unit: Nanoseconds, Per: "target in the table",
			Sizes: []int{1_800, 18_000, fleetTargets}, TinySizes: []int{20, 40, 80},
			Measure: func(m *Meter, n int) Point { return newPoint(n, vmTableChangeTime(m, n)) },
		},
	}
}

// fleetSizeFor returns the number of VMs in a measurement with a number of targets: the
// design size, unless the table is that of a tiny run.
func fleetSizeFor(targets int) int {
	if targets < 1_000 {
		return 2 * domainCount
	}
	return fleetVMs
}

// vmChangeTime measures the CPU time of a VM for a membership change in another failure
// domain: gossip, the update of owners and the search for targets to own.
func vmChangeTime(m *Meter, vms, targets int) float64 {
	all := members(vms)
	r := newHarness(all, vm.Config{})
	r.mergeTable(servicesFor(targets), targets)
	r.settle()
	t := newToggle(all)
	return m.Time(func() {
		r.receive(t.next())
		r.step(10 * tick)
	})
}

// ownedRows returns the rows of n targets that the first VM of a fleet owns.
func ownedRows(all []message.Member, n int) []table.Target {
	o := ownersOf(all)
	name := serviceName(0)
	var rows []table.Target
	for i := 0; len(rows) < n; i += domainCount {
		t := targetRow(name, i)
		if owner, ok := o.Owner(0, t.ID, t.DomainID); ok && owner == all[0].ID {
			rows = append(rows, t)
		}
	}
	return rows
}

// tickFleetScale converts the sizes of vm.tick.cpu, in owned targets, to table sizes for
// fleetSizeFor: from 4 owned targets on the whole fleet is used, for tiny sizes a small one.
const tickFleetScale = 300

// vmTickTime measures one tick, without membership changes, of a VM that owns n targets
// without flows.
func vmTickTime(m *Meter, n int) float64 {
	all := members(fleetSizeFor(n * tickFleetScale))
	r := newHarness(all, vm.Config{})
	s := service(0, 1, 0)
	s.Targets = ownedRows(all, n)
	r.mergeService(s)
	r.settle()
	return m.Time(func() { r.step(tick) })
}

// ownedHeap measures a VM that is alone in its fleet and owns n targets.
func ownedHeap(m *Meter, n int) float64 {
	return m.Heap(func() any {
		r := newHarness(members(1), vm.Config{})
		r.mergeService(oneService(n, 0))
		r.settle()
		return r
	})
}

// vmPullTime measures the answer to a pull of the whole table by another VM.
func vmPullTime(m *Meter, targets int) float64 {
	pair := members(2)
	r := newHarness(pair, vm.Config{})
	r.mergeTable(servicesFor(targets), targets)
	pull := message.Message{From: memberAddress(pair[1]), Body: &message.TablePull{}}
	return m.Time(func() { r.receive(pull) })
}

// vmTableChangeTime measures the CPU time of a VM for a change of one service of 9 targets.
func vmTableChangeTime(m *Meter, targets int) float64 {
	r := newHarness(members(fleetSizeFor(targets)), vm.Config{})
	services := servicesFor(targets)
	r.mergeTable(services, targets)
	r.settle()
	changed := service(0, services, targets)
	revision := int64(services)
	return m.Time(func() {
		revision++
		changed.Targets[0].Weight = uint32(1 + revision%2)
		r.receive(platformMessage(&message.TableDelta{Entries: entriesOf(changed, revision)}))
		r.step(tick)
	})
}

// ranksBefore reports whether VM a owns a target if only a and b are live.
func ranksBefore(id message.TargetID, a, b message.Member) bool {
	return ownership.Before(id, a.ID, b.ID)
}
