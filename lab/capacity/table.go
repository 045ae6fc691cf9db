package capacity

import (
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// fixedServices and fixedTargets are held while the other one grows.
const (
	fixedServices = 1_800
	fixedTargets  = 18_000
	// tinyTargets takes the place of fixedTargets in a tiny run.
	tinyTargets = 100
)

func tableExperiments() []Experiment {
	targets := []int{1_800, 18_000, fleetTargets}
	return []Experiment{
		{
			Name: "table.memory.target", Unit: Bytes, Per: "target", Sizes: targets, TinySizes: tinyHeapSizes(),
			Measure: func(m *Meter, n int) Point { return at(n, replicaHeap(m, min(fixedServices, n), n, false)) },
		},
		{
			Name: "table.memory.service", Unit: Bytes, Per: "service",
			Sizes: []int{1_800, 6_000, fleetServices}, TinySizes: []int{25, 50, 99},
			Measure: func(m *Meter, n int) Point { return at(n, replicaHeap(m, n, targetsBehind(n), false)) },
		},
		{
			Name: "table.memory.expanded", Unit: Bytes, Per: "target in use",
			Sizes: []int{1_800, 9_000, 18_000}, TinySizes: tinyHeapSizes(),
			Measure: func(m *Meter, n int) Point { return at(n, replicaHeap(m, servicesFor(n), n, true)) },
		},
		{
			Name: "table.lookup.cpu", Unit: Nanoseconds, Per: "target in the table", Sizes: targets, TinySizes: []int{20, 40, 80},
			Measure: func(m *Meter, n int) Point { return at(n, lookupTime(m, n)) },
		},
		{
			Name: "table.transfer.bytes", Unit: Bytes, Per: "target", Sizes: targets, TinySizes: []int{20, 40, 80},
			Measure: func(_ *Meter, n int) Point { return at(n, transferBytes(n)) },
		},
		{
			Name: "table.transfer.cpu", Unit: Nanoseconds, Per: "target", Sizes: targets, TinySizes: []int{20, 40, 80},
			Measure: func(m *Meter, n int) Point { return at(n, transferTime(m, n)) },
		},
		{
			Name: "table.change.bytes", Unit: Bytes, Per: "row of the changed service",
			Sizes: []int{9, 90, 450}, TinySizes: []int{2, 4, 8},
			Measure: func(_ *Meter, n int) Point { return at(n, changeBytes(n)) },
		},
	}
}

// targetsBehind returns the number of targets behind a measured number of services.
func targetsBehind(services int) int {
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

// replicaHeap measures a replica; with expand set each target was looked up once.
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

// lookupTime measures the lookup of targets spread over the table, each of
// another service, so that services beyond the cache are decoded.
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

// transferTime measures what an answer to a pull of the whole table costs its
// sender, without the wire codec.
func transferTime(m *Meter, targets int) float64 {
	r := replica(servicesFor(targets), targets)
	return m.Time(func() {
		r.Since(0, func(message.TableEntry) bool { return true })
	})
}

// changeBytes is the delta of one changed cell: the shard of its row.
func changeBytes(rows int) float64 {
	entries := entriesOf(service(0, 1, rows), 1)
	return bytesOf(&message.TableDelta{Entries: entries[len(entries)-1:]})
}
