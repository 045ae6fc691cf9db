package measure

import (
	"math"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

const (
	// maxShareDeviation is the bound on a target's deviation from its share, in percent.
	maxShareDeviation = 5
	// minFlowsForBound is the number of flows per target from which on maxShareDeviation
	// applies.
	minFlowsForBound = 4300
)

// imbalance compares the numbers of flows of targets with their weights in the table.
func imbalance(r *run) {
	site := r.Site
	for i := range site.Services {
		site.Services[i].Weight = func(n int) uint32 { return uint32(1 + n%3) }
	}
	flows := r.Scale * float64(site.FlowsPerTarget)
	cases := []struct {
		name   string
		change func(t *trial)
	}{
		{"steady", func(*trial) {}},
		{"a target added", addTargets},
		{"a weight edited", editOneWeight},
		{"a VM killed", func(t *trial) { killVMs(t, 1) }},
		{"a target drained", drainTargets},
	}
	for _, c := range cases {
		r.beginCase(c.name)
		t := newTrial(site, r.Seed, site.VMs)
		t.fill(flows)
		t.addLoad(changeLoad)
		t.run(time.Second)
		c.change(t)
		r.addImbalance(t, "at once", flows, c.name == "steady" || c.name == "a VM killed")
		t.renew()
		r.addImbalance(t, "after every flow was renewed", flows, true)
		t.stopLoad()
		r.addPeakRequests(t)
		r.checkPromises(t)
	}
	placementImbalance(r, site, int(flows))
}

func addTargets(t *trial) {
	for i := range t.site.Services {
		spec := t.site.Services[i].ServiceSpec
		t.fleet.AddTarget(spec, spec.Targets)
	}
	t.run(4 * time.Second)
}

func editOneWeight(t *trial) {
	for i := range t.site.Services {
		t.fleet.SetWeight(t.site.Services[i].Name, targetName(0), 3)
	}
	t.run(4 * time.Second)
}

func drainTargets(t *trial) {
	for i := range t.site.Services {
		drainTarget(t, t.site.Services[i].Name, targetName(1))
	}
	t.run(4 * time.Second)
}

// renew replaces every flow by a new one, at openRate and under load, since only new flows
// follow a changed table: established flows stay at their targets.
func (t *trial) renew() {
	for i := range t.flows {
		name := t.site.Services[i].Name
		flows := t.flows[i]
		perStep := max(1, int(openRate*stepInterval.Seconds()))
		for n := 0; n < len(flows); n += perStep {
			for m := n; m < min(n+perStep, len(flows)); m++ {
				old := flows[m]
				flows[m].id = old.caller.OpenFlow(name)
				old.caller.CloseFlow(old.id)
			}
			t.run(stepInterval)
		}
	}
	t.run(4 * time.Second)
}

// addImbalance adds the largest deviation of a target of each service from its share.
func (r *run) addImbalance(t *trial, when string, flows float64, bounded bool) {
	for i := range t.site.Services {
		name := t.site.Services[i].Name
		var bound *Bound
		if bounded && flows >= minFlowsForBound {
			bound = atMost(maxShareDeviation)
		}
		r.add("worst target of "+name+", "+when, t.worstDeviation(name), "%", bound)
	}
}

// worstDeviation returns the largest deviation of an active target's number of flows from its
// share, in percent. The flows are counted in the flow tables of the owners. After a VM was
// killed, a new owner learns of a flow only by its next packet, so the bindings of callers
// are counted if there are more.
func (t *trial) worstDeviation(service string) float64 {
	s := t.fleet.Service(service)
	bound := t.boundFlowsByTarget(service)
	var flows, weight []float64
	for _, row := range s.Targets {
		if row.State == table.Active {
			flows = append(flows, float64(max(t.fleet.FlowsAt(service, row.Name), bound[row.ID])))
			weight = append(weight, float64(row.Weight))
		}
	}
	return deviation(flows, weight)
}

// boundFlowsByTarget returns the number of flows by target according to the bindings of the
// callers. It returns no counts unless a VM was killed.
func (t *trial) boundFlowsByTarget(service string) map[message.TargetID]int {
	bound := make(map[message.TargetID]int)
	if !t.vmKilled {
		return bound
	}
	for i := range t.site.Services {
		if t.site.Services[i].Name != service {
			continue
		}
		for _, f := range t.flows[i] {
			if b, ok := f.caller.Binding(f.id); ok {
				bound[b.Target]++
			}
		}
	}
	return bound
}

// deviation returns the largest deviation of a part from its weighted share of the sum, in
// percent.
func deviation(parts, weights []float64) float64 {
	var sum, weight, worst float64
	for i := range parts {
		sum += parts[i]
		weight += weights[i]
	}
	for i := range parts {
		share := sum * weights[i] / weight
		worst = max(worst, 100*math.Abs(parts[i]/share-1))
	}
	return worst
}

// addPeakRequests adds the largest number of requests at any target, running or waiting there, as a
// fraction of the target's limit.
func (r *run) addPeakRequests(t *trial) {
	r.add("most requests at a target, by its limit", t.peakRequestRatio(), "of the limit", atMost(1))
}

// peakRequestRatio returns the largest number of requests that were at a target at the same
// time, divided by its limit.
func (t *trial) peakRequestRatio() float64 {
	worst := 0.0
	for i := range t.site.Services {
		spec := &t.site.Services[i]
		for n := range 2*spec.Targets + 1 {
			node := t.fleet.Target(spec.Name, targetName(n))
			if node == nil {
				continue
			}
			worst = max(worst, float64(node.Machine().Stats().PeakInFlight)/float64(spec.Slots))
		}
	}
	return worst
}
