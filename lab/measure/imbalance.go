package measure

import (
	"math"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

const (
	// shareBound is the largest deviation of a target from its share, in percent.
	shareBound = 5
	// boundFlows is the number of flows a target at which shareBound holds.
	boundFlows = 4300
)

// imbalance compares flows a target with the weights of the table.
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
		r.begin(c.name)
		t := newTrial(site, r.Seed, site.VMs)
		t.fill(flows)
		t.load(brokenLoad)
		t.run(time.Second)
		c.change(t)
		r.addImbalance(t, "at once", flows, c.name == "steady" || c.name == "a VM killed")
		t.renew()
		r.addImbalance(t, "after every flow was renewed", flows, true)
		t.stop()
		r.addLimits(t)
		r.check(t)
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

// renew opens a new flow in place of every flow, at openRate and under load, since
// only new flows follow a changed table: established ones must stay.
func (t *trial) renew() {
	for i := range t.flows {
		name := t.site.Services[i].Name
		flows := t.flows[i]
		perStep := max(1, int(openRate*step.Seconds()))
		for n := 0; n < len(flows); n += perStep {
			for m := n; m < min(n+perStep, len(flows)); m++ {
				old := flows[m]
				flows[m].id = old.caller.OpenFlow(name)
				old.caller.CloseFlow(old.id)
			}
			t.run(step)
		}
	}
	t.run(4 * time.Second)
}

// addImbalance adds the worst deviation of any target from its share.
func (r *run) addImbalance(t *trial, when string, flows float64, bounded bool) {
	for i := range t.site.Services {
		name := t.site.Services[i].Name
		var bound *Bound
		if bounded && flows >= boundFlows {
			bound = atMost(shareBound)
		}
		r.add("worst target of "+name+", "+when, t.worstDeviation(name), "%", bound)
	}
}

// worstDeviation returns the largest deviation of an active target's flows from
// its share, in percent. The flows are those that owners hold. After a kill the
// new owners learn of a flow by its next packet only; callers' bindings count then.
func (t *trial) worstDeviation(service string) float64 {
	s := t.fleet.Service(service)
	bound := t.boundFlows(service)
	var flows, weight []float64
	for _, row := range s.Targets {
		if row.State == table.Active {
			flows = append(flows, float64(max(t.fleet.FlowsAt(service, row.Name), bound[row.ID])))
			weight = append(weight, float64(row.Weight))
		}
	}
	return deviation(flows, weight)
}

// boundFlows returns the number of flows by target, as callers see it.
func (t *trial) boundFlows(service string) map[message.TargetID]int {
	bound := make(map[message.TargetID]int)
	if !t.killed {
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

// deviation returns the largest deviation of a part from its weighted share, in
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

// addLimits adds the largest number of requests at any target, running or
// waiting there, as a part of the target's limit.
func (r *run) addLimits(t *trial) {
	r.add("most requests at a target, by its limit", t.peak(), "of the limit", atMost(1))
}

// peak returns the largest number of requests that were at a target at once,
// divided by its limit.
func (t *trial) peak() float64 {
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
