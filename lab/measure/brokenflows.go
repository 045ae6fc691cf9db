package measure

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/table"
)

// changeLoad is the fraction of the site's rates at which calls are sent during changes:
// enough that calls are in progress at each change, and little enough that slots are free for
// moved flows.
const changeLoad = 0.25

// probeRate is the number of probes per second after the changes.
const probeRate = 500

// changeCase is a change during which flows and calls are observed.
type changeCase struct {
	name string
	run  func(t *trial)
	// planned is set for changes that must not fail any call either.
	planned bool
}

// changeCases returns all cases of the experiment.
func changeCases() []changeCase {
	return []changeCase{
		{name: "every VM replaced in turn", planned: true, run: replaceVMs},
		{name: "every target replaced in turn", planned: true, run: replaceTargets},
		{name: "weights edited", planned: true, run: editWeights},
		{name: "one VM killed", run: func(t *trial) { killVMs(t, 1) }},
		{name: "two VMs killed at once", run: func(t *trial) { killVMs(t, 2) }},
		{name: "a domain cut for 60 s and healed", run: partitionDomain},
	}
}

// brokenFlows counts broken flows and failed calls during and after changes.
func brokenFlows(r *run) {
	for _, c := range changeCases() {
		r.runChange(c)
	}
	placementBaselines(r)
}

// runChange runs one case. After the change every flow is probed.
func (r *run) runChange(c changeCase) {
	r.beginCase(c.name)
	t := newTrial(r.Site, r.Seed, r.Site.VMs)
	group := t.fill(r.Scale * float64(r.Site.FlowsPerTarget))
	t.addLoad(changeLoad)
	t.run(time.Second)
	c.run(t)
	t.stopLoad()
	during := group.sum()
	t.probe(probeRate)
	t.stopLoad()
	r.reportBroken(t, c, during, group.sum())
}

// reportBroken adds the figures of one case: during are the calls of the change, whole those
// together with the probes.
func (r *run) reportBroken(t *trial, c changeCase, during, whole *tally) {
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
	r.checkPromises(t)
}

// addFailures adds the number of failed calls by error, without those in before. They must be
// 0 if bounded.
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

// replaceVMs replaces every VM: it starts a new one and lets the old one leave.
func replaceVMs(t *trial) {
	for _, name := range slices.Clone(t.fleet.VMs()) {
		t.fleet.StartVM(name+"n", t.fleet.Domain(name))
		t.run(4 * time.Second)
		t.fleet.LeaveVM(name)
		gone := func() bool { return len(t.fleet.Reap()) > 0 }
		t.runUntil(time.Minute, gone)
	}
}

// replaceTargets replaces every target: it adds a new one, sets the old one to leaving, and
// removes its row when it has no flow left.
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

// drainTarget sets a target to leaving and waits until it has no flow left.
func drainTarget(t *trial, service, name string) {
	t.fleet.SetState(service, name, table.Leaving)
	t.runUntil(time.Minute, func() bool { return t.fleet.FlowsAt(service, name) == 0 })
}

// targetName returns the name of a service's i-th target.
func targetName(i int) string {
	return fmt.Sprintf("t%02d", i)
}

// editWeights changes the weight of each target in turn.
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

// killVMs kills the n VMs that own the most targets at the same time.
func killVMs(t *trial, n int) {
	t.vmKilled = true
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

// partitionDomain partitions a failure domain from the others for 60 s.
func partitionDomain(t *trial) {
	domain := t.site.Domains[1]
	t.fleet.SetPartitioned(domain, true)
	t.run(time.Minute)
	t.fleet.SetPartitioned(domain, false)
	t.run(15 * time.Second)
}
