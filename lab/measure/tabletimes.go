package measure

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/table"
)

const (
	// maxTableSeconds is the time within which a saved change must be in force, in seconds.
	maxTableSeconds = 3
	// tableChanges is the number of changes whose slowest is reported.
	tableChanges = 10
	// slowStoreDelay is the delay with which the watches of a slow store report a change.
	slowStoreDelay = time.Second
	// maxTableWait limits the wait for a change that does not come into force.
	maxTableWait = time.Minute
)

// tableTimes measures the time until changes of the table are in force.
func tableTimes(r *run) {
	r.beginCase("store as usual")
	r.changesInForce(0)
	r.beginCase("store slow by 1 s")
	r.changesInForce(slowStoreDelay)
	r.beginCase("a domain cut and healed")
	r.changeDuringPartition()
	r.beginCase("a target leaving")
	r.lastDispatch()
}

// newQuietTrial returns a fleet with few flows and changeLoad of the site's calls.
func (r *run) newQuietTrial() *trial {
	t := newTrial(r.Site, r.Seed, r.Site.VMs)
	t.fill(fewFlowsPerTarget)
	t.addLoad(changeLoad)
	return t
}

// changesInForce measures the slowest of tableChanges changes with a delay of the store.
func (r *run) changesInForce(delay time.Duration) {
	t := r.newQuietTrial()
	t.fleet.SetStoreDelay(delay)
	slowest := time.Duration(0)
	for i := range tableChanges {
		t.run(time.Duration(i) * 137 * time.Millisecond)
		t.fleet.SetWeight(t.site.Services[0].Name, targetName(i%2), uint32(2+i%3))
		slowest = max(slowest, t.runUntil(maxTableWait, t.fleet.TableInForce))
	}
	t.stopLoad()
	r.add("slowest of 10 changes in force at every VM", slowest.Seconds(), "s", below(maxTableSeconds))
	r.checkPromises(t)
}

// changeDuringPartition measures a change during a partition: at the VMs that reach the store, and
// at the others after the partition has ended.
func (r *run) changeDuringPartition() {
	t := r.newQuietTrial()
	domain := t.site.Domains[1]
	t.fleet.SetPartitioned(domain, true)
	t.run(10 * time.Second)
	t.fleet.SetWeight(t.site.Services[0].Name, targetName(0), 2)
	reached := func() bool { return t.inForceExceptDomain(domain) }
	r.add("in force at every VM outside the cut domain", t.runUntil(maxTableWait, reached).Seconds(), "s", below(maxTableSeconds))
	t.run(10 * time.Second)
	t.fleet.SetPartitioned(domain, false)
	r.add("in force at every VM after the cut healed", t.runUntil(maxTableWait, t.fleet.TableInForce).Seconds(), "s", below(maxTableSeconds))
	t.run(10 * time.Second)
	t.stopLoad()
	r.checkPromises(t)
}

func (t *trial) inForceExceptDomain(domain string) bool {
	for _, name := range t.fleet.VMs() {
		if t.fleet.Domain(name) != domain && !t.fleet.HasLatestTable(name) {
			return false
		}
	}
	return true
}

// lastDispatch measures how long a leaving target still receives requests.
func (r *run) lastDispatch() {
	t := r.newQuietTrial()
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
	t.stopLoad()
	r.add("time until the target got no more work", slowest.Seconds(), "s", atMost(maxTableSeconds))
	r.checkPromises(t)
}
