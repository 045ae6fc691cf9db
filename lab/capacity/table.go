package capacity

import (
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// fixedServices is the number of services while the number of targets grows, and
// fixedTargets the reverse.
const (
	fixedServices = 1_800
	fixedTargets  = 18_000
	// tinyTargets replaces fixedTargets in a tiny run.
	tinyTargets = 100
)

func tableExperiments() []Experiment {
	targets := []int{1_800, 18_000, fleetTargets}
	return []Experiment{
		{
			Name: "table.memory.target", Unit: Bytes, Per: "target", Sizes: targets, TinySizes: tinyHeapSizes(),
			Measure: func(m *Meter, n int) Point { return newPoint(n, replicaHeap(m, min(fixedServices, n), n, false)) },
		},
		{
			Name: "table.memory.service", Unit: Bytes, Per: "service",
			Sizes: []int{1_800, 6_000, fleetServices}, TinySizes: []int{25, 50, 99},
			Measure: func(m *Meter, n int) Point { return newPoint(n, replicaHeap(m, n, targetsFor(n), false)) },
		},
		{
			Name: "table.memory.expanded", Unit: Bytes, Per: "target in use",
			Sizes: []int{1_800, 9_000, 18_000}, TinySizes: tinyHeapSizes(),
			Measure: func(m *Meter, n int) Point { return newPoint(n, replicaHeap(m, servicesFor(n), n, true)) },
		},
		{
			Name: "table.lookup.cpu", Unit: Nanoseconds, Per: "target in the table", Sizes: targets, TinySizes: []int{20, 40, 80},
			Measure: func(m *Meter, n int) Point { return newPoint(n, lookupTime(m, n)) },
		},
		{
			Name: "table.transfer.bytes", Unit: Bytes, Per: "target", Sizes: targets, TinySizes: []int{20, 40, 80},
			Measure: func(_ *Meter, n int) Point { return newPoint(n, transferBytes(n)) },
		},
		{
			Name: "table.transfer.cpu", Unit: Nanoseconds, Per: "target", Sizes: targets, TinySizes: []int{20, 40, 80},
			Measure: func(m *Meter, n int) Point { return newPoint(n, transferTime(m, n)) },
		},
		{
			Name: "table.change.bytes", Unit: Bytes, Per: "row of the changed service",
			Sizes: []int{9, 90, 450}, TinySizes: []int{2, 4, 8},
			Measure: func(_ *Meter, n int) Point { return newPoint(n, changeBytes(n)) },
		},
	}
}

// targetsFor returns the fixed number of targets in a measurement with a number of services.
func targetsFor(services int) int {
	if services < tinyTargets {
		return tinyTargets
	}
	return fixedTargets
}

func replica(services, targets int) *table.Replica {
	r := table.NewReplica()
	eachDelta(services, targets, func(d *message.TableDelta) { r.Merge(d.Entries) })
	return r
}

// replicaHeap measures a replica, with expand after each target has been looked up once.
func replicaHeap(m *Meter, services, targets int, expand bool) float64 {
	return m.Heap(func() any {
		r := replica(services, targets)
		if expand {
			lookupAll(r, services, targets)
		}
		return r
	})
}

func lookupAll(r *table.Replica, services, targets int) {
	for n := range services {
		for _, t := range service(n, services, targets).Targets {
			r.Table().Target(t.ID)
		}
	}
}

// lookupTime measures the lookup of targets of different services, spread over the table, so
// that services that are not cached have to be decoded.
func lookupTime(m *Meter, targets int) float64 {
	services := servicesFor(targets)
	r := replica(services, targets)
	ids := make([]message.TargetID, services)
	for n := range ids {
		ids[n] = service(n, services, targets).Targets[0].ID
	}
	i := 0
	return m.Time(func() {
		r.Table().Target(ids[i%len(ids)])
		i++
	})
}

func transferBytes(targets int) float64 {
	total := 0.0
	r := replica(servicesFor(targets), targets)
	r.Since(0, func(e message.TableEntry) bool {
		total += bytesOf(&message.TableDelta{Entries: []message.TableEntry{e}})
		return true
	})
	return total
}

// transferTime measures how long a sender takes to collect the whole table for a pull,
// without the wire codec.
func transferTime(m *Meter, targets int) float64 {
	r := replica(servicesFor(targets), targets)
	return m.Time(func() {
		r.Since(0, func(message.TableEntry) bool { return true })
	})
}

// changeBytes returns the size of the delta for one changed cell: the shard of its row.
func changeBytes(rows int) float64 {
	entries := entriesOf(service(0, 1, rows), 1)
	return bytesOf(&message.TableDelta{Entries: entries[len(entries)-1:]})
}
