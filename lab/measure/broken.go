package measure

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/table"
)

// brokenLoad is the part of the site's rates at which calls are sent during
// changes: enough calls to hit each change, and free slots for moved flows.
const brokenLoad = 0.25

// probeRate is the number of probes per second after the changes.
const probeRate = 500

// change is one case of the experiment.
type change struct {
	name string
	run  func(t *trial)
	// planned changes must not fail any call either.
	planned bool
}

// changes returns all cases.
func changes() []change {
	return []change{
		{name: "every VM replaced in turn", planned: true, run: replaceVMs},
		{name: "every target replaced in turn", planned: true, run: replaceTargets},
		{name: "weights edited", planned: true, run: editWeights},
		{name: "one VM killed", run: func(t *trial) { killVMs(t, 1) }},
		{name: "two VMs killed at once", run: func(t *trial) { killVMs(t, 2) }},
		{name: "a domain cut for 60 s and healed", run: cutDomain},
	}
}

// brokenFlows counts broken flows and failed calls during changes.
func brokenFlows(r *run) {
	for _, c := range changes() {
		r.brokenByChange(c)
	}
	placementBaselines(r)
}

// brokenByChange runs one case. After the change every flow is probed.
func (r *run) brokenByChange(c change) {
	r.begin(c.name)
	t := newTrial(r.Site, r.Seed, r.Site.VMs)
	group := t.fill(r.Scale * float64(r.Site.FlowsPerTarget))
	t.load(brokenLoad)
	t.run(time.Second)
	c.run(t)
	t.stop()
	during := group.sum()
	t.probe(probeRate)
	t.stop()
	r.reportBroken(t, c, during, group.sum())
}

// reportBroken adds the figures of one case. The calls after the change are
// probes of every flow.
func (r *run) reportBroken(t *trial, c change, during, whole *tally) {
	flows := 0
	for _, f := range t.flows {
		flows += len(f)
	}
	r.add("flows", float64(flows), "", nil)
	r.add("broken flows", float64(t.fleet.BrokenFlows()), "", atMost(0))
	r.add("calls completed during the change", float64(during.completed), "", nil)
	r.addFailures("failed: ", during, &tally{}, c.planned)
	r.add("probes completed after it", float64(whole.completed-during.completed), "", atLeast(float64(flows)))
	r.addFailures("probe failed: ", whole, during, true)
	r.check(t)
}

// addFailures adds the numbers of failed calls by error, without those before.
func (r *run) addFailures(prefix string, t, before *tally, bounded bool) {
	var bound *Bound
	if bounded {
		bound = atMost(0)
	}
	for _, text := range slices.Sorted(maps.Keys(t.failed)) {
		if n := t.failed[text] - before.failed[text]; n > 0 {
			r.add(prefix+text, float64(n), "", bound)
		}
	}
}

// replaceVMs starts a new VM for every VM and lets the old one leave.
func replaceVMs(t *trial) {
	for _, name := range slices.Clone(t.fleet.VMs()) {
		t.fleet.StartVM(name+"n", t.fleet.Domain(name))
		t.run(4 * time.Second)
		t.fleet.LeaveVM(name)
		gone := func() bool { return len(t.fleet.Reap()) > 0 }
		t.runUntil(time.Minute, gone)
	}
}

// replaceTargets adds a target for every target, lets the old one leave until it
// holds no flow, and then removes its row.
func replaceTargets(t *trial) {
	for i := range t.site.Services {
		spec := t.site.Services[i].ServiceSpec
		for n := range spec.Targets {
			t.fleet.AddTarget(spec, spec.Targets+n)
			t.run(2 * time.Second)
			drainTarget(t, spec.Name, targetName(n))
			t.fleet.RemoveRow(spec.Name, targetName(n))
			t.run(time.Second)
		}
	}
}

// drainTarget sets a target to leaving and waits until it holds no flow.
func drainTarget(t *trial, service, name string) {
	t.fleet.SetState(service, name, table.Leaving)
	t.runUntil(time.Minute, func() bool { return t.fleet.FlowsAt(service, name) == 0 })
}

// targetName returns the name of a service's i-th target.
func targetName(i int) string {
	return fmt.Sprintf("t%02d", i)
}

// editWeights changes the weight of every target, one after the other.
func editWeights(t *trial) {
	for i := range t.site.Services {
		spec := &t.site.Services[i]
		for n := range spec.Targets {
			t.fleet.SetWeight(spec.Name, targetName(n), uint32(1+(n+1)%3))
			t.run(500 * time.Millisecond)
		}
	}
	t.run(3 * time.Second)
}

// killVMs ends the VMs that own the most targets at once.
func killVMs(t *trial, n int) {
	t.killed = true
	owned := t.targetsOwned()
	victims := slices.Clone(t.fleet.VMs())
	slices.SortStableFunc(victims, func(a, b string) int { return owned[b] - owned[a] })
	for _, name := range victims[:n] {
		t.fleet.KillVM(name)
	}
	t.run(10 * time.Second)
}

// targetsOwned returns the number of targets that each VM owns.
func (t *trial) targetsOwned() map[string]int {
	owned := make(map[string]int)
	for _, vm := range t.fleet.VMs() {
		for i := range t.site.Services {
			for _, row := range t.fleet.Service(t.site.Services[i].Name).Targets {
				if t.fleet.Machine(vm).Owns(row.ID) {
					owned[vm]++
				}
			}
		}
	}
	return owned
}

// cutDomain cuts a failure domain off for 60 s.
func cutDomain(t *trial) {
	domain := t.site.Domains[1]
	t.fleet.SetPartitioned(domain, true)
	t.run(time.Minute)
	t.fleet.SetPartitioned(domain, false)
	t.run(15 * time.Second)
}
