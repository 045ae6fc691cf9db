package measure

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/table"
)

const (
	// tableBound is the time in which a saved change must be in force, in seconds.
	tableBound = 3
	// tableChanges is the number of changes of which the slowest counts.
	tableChanges = 10
	// slowStore is how late a slow store's watch reports a change.
	slowStore = time.Second
	// tableLimit ends the wait for a change that does not come into force.
	tableLimit = time.Minute
)

// tableTimes measures how long changes of the table take.
func tableTimes(r *run) {
	r.begin("store as usual")
	r.changesInForce(0)
	r.begin("store slow by 1 s")
	r.changesInForce(slowStore)
	r.begin("a domain cut and healed")
	r.changeDuringCut()
	r.begin("a target leaving")
	r.lastWork()
}

// quiet returns a fleet with few flows and brokenLoad of the site's calls.
func (r *run) quiet() *trial {
	t := newTrial(r.Site, r.Seed, r.Site.VMs)
	t.fill(floodFlows)
	t.load(brokenLoad)
	return t
}

// changesInForce measures the slowest of several changes.
func (r *run) changesInForce(delay time.Duration) {
	t := r.quiet()
	t.fleet.SetStoreDelay(delay)
	slowest := time.Duration(0)
	for i := range tableChanges {
		t.run(time.Duration(i) * 137 * time.Millisecond)
		t.fleet.SetWeight(t.site.Services[0].Name, targetName(i%2), uint32(2+i%3))
		slowest = max(slowest, t.runUntil(tableLimit, t.fleet.TableInForce))
	}
	t.stop()
	r.add("slowest of 10 changes in force at every VM", slowest.Seconds(), "s", below(tableBound))
	r.check(t)
}

// changeDuringCut measures a change at the VMs that reach the store, and at the
// others after the cut has healed.
func (r *run) changeDuringCut() {
	t := r.quiet()
	domain := t.site.Domains[1]
	t.fleet.SetPartitioned(domain, true)
	t.run(10 * time.Second)
	t.fleet.SetWeight(t.site.Services[0].Name, targetName(0), 2)
	reached := func() bool { return t.inForceOutside(domain) }
	r.add("in force at every VM outside the cut domain", t.runUntil(tableLimit, reached).Seconds(), "s", below(tableBound))
	t.run(10 * time.Second)
	t.fleet.SetPartitioned(domain, false)
	r.add("in force at every VM after the cut healed", t.runUntil(tableLimit, t.fleet.TableInForce).Seconds(), "s", below(tableBound))
	t.run(10 * time.Second)
	t.stop()
	r.check(t)
}

func (t *trial) inForceOutside(domain string) bool {
	for _, name := range t.fleet.VMs() {
		if t.fleet.Domain(name) != domain && !t.fleet.HasLatestTable(name) {
			return false
		}
	}
	return true
}

// lastWork measures how long a leaving target still gets work.
func (r *run) lastWork() {
	t := r.quiet()
	t.run(time.Second)
	slowest := time.Duration(0)
	for i := range t.site.Services {
		name := t.site.Services[i].Name
		drainStart := t.fleet.Now()
		last := drainStart
		node := t.fleet.Target(name, targetName(0)).Machine()
		seen := node.Stats().Dispatches
		t.fleet.SetState(name, targetName(0), table.Leaving)
		t.runUntil(10*time.Second, func() bool {
			if n := node.Stats().Dispatches; n != seen {
				seen, last = n, t.fleet.Now()
			}
			return false
		})
		slowest = max(slowest, last-drainStart)
	}
	t.stop()
	r.add("time until the target got no more work", slowest.Seconds(), "s", atMost(tableBound))
	r.check(t)
}
