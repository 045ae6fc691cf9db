package measure

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

const (
	// maxControlRate is the bound on the control traffic of a VM, in bytes per second.
	maxControlRate = 4 << 10
	// controlWindow is the time over which control traffic is averaged while nothing changes.
	controlWindow = 10 * time.Second
	// churnWindow is the time over which it is averaged while flows are opened.
	churnWindow = 3 * time.Second
	// newFlowsPerVM is the number of flows opened per second and VM.
	newFlowsPerVM = 3000
)

// controlTraffic measures the encoded size of the control messages that the busiest VM sends,
// without the headers of TCP and yamux.
func controlTraffic(r *run) {
	r.beginCase("at rest")
	t := newTrial(r.Site, r.Seed, r.Site.VMs)
	t.fill(fewFlowsPerTarget)
	rest := t.peakControlRate(func() { t.fleet.Advance(controlWindow) })
	r.add("control traffic of the busiest VM", rest, "B/s", atMost(maxControlRate))
	r.checkPromises(t)
	r.beginCase("3,000 new flows a second a VM")
	rate := float64(newFlowsPerVM * r.Site.VMs)
	group := newTallies()
	var opened, bound int
	busy := t.peakControlRate(func() { opened, bound = t.churn(rate, group) })
	r.add("control traffic of the busiest VM", busy, "B/s", atMost(maxControlRate))
	r.add("flows opened", float64(opened), "", nil)
	r.add("flows bound", float64(bound), "", nil)
	r.checkPromises(t)
}

// churn opens flows for churnWindow at a rate per second, spread over the services in
// proportion to their targets. It returns how many flows were opened, and how many of them
// are bound at the end.
func (t *trial) churn(rate float64, group *tallies) (opened, bound int) {
	targets := 0
	for i := range t.site.Services {
		targets += t.site.Services[i].Targets
	}
	callers := t.callers(callersPerService, group)
	var flows []flow
	steps := int(churnWindow / stepInterval)
	credit := make([]float64, len(t.site.Services))
	for range steps {
		for i := range t.site.Services {
			credit[i] += rate * stepInterval.Seconds() * float64(t.site.Services[i].Targets) / float64(targets)
			for ; credit[i] >= 1; credit[i]-- {
				c := callers[len(flows)%len(callers)]
				flows = append(flows, flow{caller: c, id: c.OpenFlow(t.site.Services[i].Name)})
			}
		}
		t.fleet.Advance(stepInterval)
	}
	return len(flows), countBound(flows)
}

func countBound(flows []flow) int {
	bound := 0
	for _, f := range flows {
		if b, ok := f.caller.Binding(f.id); ok && b != (message.Binding{}) {
			bound++
		}
	}
	return bound
}

// peakControlRate runs load and returns the control bytes per second of the VM that sends the
// most meanwhile.
func (t *trial) peakControlRate(load func()) float64 {
	before := make(map[string]uint64)
	for _, name := range t.fleet.VMs() {
		before[name] = t.fleet.ControlBytes(name)
	}
	start := t.fleet.Now()
	load()
	maxBytes := uint64(0)
	for _, name := range t.fleet.VMs() {
		maxBytes = max(maxBytes, t.fleet.ControlBytes(name)-before[name])
	}
	return float64(maxBytes) / (t.fleet.Now() - start).Seconds()
}
