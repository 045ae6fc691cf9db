package measure

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

const (
	// controlBound is the most control traffic of one VM, in bytes per second.
	controlBound = 4 << 10
	// controlTime is the time over which control traffic at rest is averaged.
	controlTime = 10 * time.Second
	// churnTime is the time over which it is averaged while flows are opened.
	churnTime = 3 * time.Second
	// newFlows is the number of flows opened per second and VM.
	newFlows = 3000
)

// controlTraffic measures the encoded control messages that the busiest VM sends,
// without the headers of TCP and yamux.
func controlTraffic(r *run) {
	r.begin("at rest")
	t := newTrial(r.Site, r.Seed, r.Site.VMs)
	t.fill(floodFlows)
	rest := t.control(func() { t.fleet.Advance(controlTime) })
	r.add("control traffic of the busiest VM", rest, "B/s", atMost(controlBound))
	r.check(t)
	r.begin("3,000 new flows a second a VM")
	rate := float64(newFlows * r.Site.VMs)
	group := newTallies()
	var opened, bound int
	busy := t.control(func() { opened, bound = t.churn(rate, group) })
	r.add("control traffic of the busiest VM", busy, "B/s", atMost(controlBound))
	r.add("flows opened", float64(opened), "", nil)
	r.add("flows bound", float64(bound), "", nil)
	r.check(t)
}

// churn opens flows to all services by their number of targets for churnTime. It
// returns how many were opened, and how many of them are bound at the end.
func (t *trial) churn(rate float64, group *tallies) (opened, bound int) {
	targets := 0
	for i := range t.site.Services {
		targets += t.site.Services[i].Targets
	}
	callers := t.callers(callersPerService, group)
	var flows []flow
	steps := int(churnTime / step)
	credit := make([]float64, len(t.site.Services))
	for range steps {
		for i := range t.site.Services {
			credit[i] += rate * step.Seconds() * float64(t.site.Services[i].Targets) / float64(targets)
			for ; credit[i] >= 1; credit[i]-- {
				c := callers[len(flows)%len(callers)]
				flows = append(flows, flow{caller: c, id: c.OpenFlow(t.site.Services[i].Name)})
			}
		}
		t.fleet.Advance(step)
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

// control returns the bytes per second of the VM that sends most while load runs.
func (t *trial) control(load func()) float64 {
	before := make(map[string]uint64)
	for _, name := range t.fleet.VMs() {
		before[name] = t.fleet.ControlBytes(name)
	}
	start := t.fleet.Now()
	load()
	most := uint64(0)
	for _, name := range t.fleet.VMs() {
		most = max(most, t.fleet.ControlBytes(name)-before[name])
	}
	return float64(most) / (t.fleet.Now() - start).Seconds()
}
