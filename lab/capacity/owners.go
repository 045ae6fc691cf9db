package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/ownership"
)

func ownerExperiments() []Experiment {
	targets := []int{225, 2_250, 20_000}
	tiny := []int{10, 20, 40}
	return []Experiment{
		{
			Name: "owners.update.cpu", Unit: Nanoseconds, Per: "member",
			Sizes: []int{16, 1_000, fleetVMs}, TinySizes: []int{8, 16, 32},
			Measure: func(m *Meter, n int) Point { return newPoint(n, ownersUpdateTime(m, n)) },
		},
		{
			Name: "owners.first.cpu", Unit: Nanoseconds, Per: "VM of the failure domain",
			Sizes: []int{2, 125, 1_875}, TinySizes: []int{2, 4, 8},
			Measure: func(m *Meter, n int) Point { return newPoint(n, firstOwnerTime(m, n)) },
		},
		{
			Name: "owners.elsewhere.cpu", Unit: Nanoseconds, Per: "VM of the fleet",
			Sizes: []int{16, 1_000, fleetVMs}, TinySizes: []int{16, 32, 64},
			Measure: func(m *Meter, n int) Point { return newPoint(n, elsewhereTime(m, n)) },
		},
		{
			Name: "owners.catchup.cpu", Unit: Nanoseconds, Per: "cached target", Sizes: targets, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point { return newPoint(n, catchUpTime(m, n)) },
		},
		{
			Name: "owners.memory", Unit: Bytes, Per: "cached target", Sizes: []int{1_800, 18_000, fleetTargets}, TinySizes: tinyHeapSizes(),
			Measure: func(m *Meter, n int) Point { return newPoint(n, ownersHeap(m, n)) },
		},
	}
}

func ownersOf(live []message.Member) *ownership.Owners {
	o := ownership.NewOwners(domainID(0))
	o.Update(0, live)
	return o
}

// ownersUpdateTime measures the update to a live set that has lost or regained one member.
// The set is sorted by id, as package membership returns it.
func ownersUpdateTime(m *Meter, n int) float64 {
	all := members(n)
	slices.SortFunc(all, func(a, b message.Member) int { return cmp.Compare(a.ID, b.ID) })
	o := ownersOf(all)
	without := all[:len(all)-1]
	fewer := true
	return m.Time(func() {
		live := all
		if fewer {
			live = without
		}
		fewer = !fewer
		o.Update(0, live)
	})
}

func domainMembers(n int) []message.Member {
	all := members(n)
	for i := range all {
		all[i].Domain = domainID(0)
	}
	return all
}

// firstOwnerTime measures the lookup of an owner that is not cached.
func firstOwnerTime(m *Meter, vms int) float64 {
	o := ownersOf(domainMembers(vms))
	i := uint64(0)
	return m.Time(func() {
		i++
		id := message.TargetID(i)
		o.Owner(time.Minute, id, domainID(0))
		o.Forget(id)
	})
}

// elsewhereTime measures the lookup of an owner that is not cached, for a target whose
// failure domain has no live VM.
func elsewhereTime(m *Meter, vms int) float64 {
	all := members(vms)
	o := ownersOf(all)
	var live []message.Member
	for _, vm := range all {
		if vm.Domain != domainID(0) {
			live = append(live, vm)
		}
	}
	o.Update(0, live)
	i := uint64(0)
	return m.Time(func() {
		i++
		id := message.TargetID(i)
		o.Owner(time.Minute, id, domainID(0))
		o.Forget(id)
	})
}

func targetIDs(n int) []message.TargetID {
	ids := make([]message.TargetID, n)
	for i := range ids {
		ids[i] = targetRow(serviceName(i/9), i).ID
	}
	return ids
}

// catchUpTime measures the lookup of all cached targets after one membership change.
func catchUpTime(m *Meter, targets int) float64 {
	all := domainMembers(64)
	o := ownersOf(all)
	ids := targetIDs(targets)
	fewer := true
	return m.TimeWithSetup(func() func() {
		live := all
		if fewer {
			live = all[:len(all)-1]
		}
		fewer = !fewer
		o.Update(0, live)
		return func() { lookupOwners(o, ids) }
	})
}

func lookupOwners(o *ownership.Owners, ids []message.TargetID) {
	for _, id := range ids {
		o.Owner(time.Minute, id, domainID(0))
	}
}

// ownersHeap measures the cached owners of targets of all failure domains.
func ownersHeap(m *Meter, targets int) float64 {
	all := members(2 * domainCount)
	ids := targetIDs(targets)
	return m.Heap(func() any {
		o := ownersOf(all)
		for i, id := range ids {
			o.Owner(time.Minute, id, domainID(i))
		}
		return o
	})
}
