package measure

import (
	"fmt"
	"math"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

const (
	// floodFactor is the rate of a flood divided by the capacity of all slots of the service.
	floodFactor = 10
	// floodTime is the duration of a flood. Only calls that start during it are counted.
	floodTime = 4 * time.Second
	// fewFlowsPerTarget is the number of flows per target in experiments that do not depend
	// on it.
	fewFlowsPerTarget = 50
	// floodingCallers is the number of callers that flood, except in the case of one caller.
	floodingCallers = 32
	// floodingFlows is the number of flows of all flooding callers.
	floodingFlows = 640
	// loadWithinShare is the load of each kind as a fraction of its share of the slots, in
	// the cases "within shares".
	loadWithinShare = 0.6
	// minCompletedPercent and maxLatencyRatio bound the completed calls and the p99 latency
	// of kinds that do not flood, compared with the run without a flood.
	minCompletedPercent = 95
	maxLatencyRatio     = 2
)

// floodCase is a flood of some kinds of a service.
type floodCase struct {
	name    string
	service int
	kinds   []int
	callers int
}

// floodCases returns a flood of each kind, of one caller, and of all kinds of one service.
func floodCases(site *Site) []floodCase {
	var all []floodCase
	for i := range site.Services {
		for k := range site.Services[i].Kinds {
			name := fmt.Sprintf("%s/%s floods", site.Services[i].Name, site.Services[i].Kinds[k].Name)
			all = append(all, floodCase{name: name, service: i, kinds: []int{k}, callers: floodingCallers})
		}
	}
	first := &site.Services[0]
	one := fmt.Sprintf("one caller floods %s/%s", first.Name, first.Kinds[1].Name)
	all = append(all, floodCase{name: one, kinds: []int{1}, callers: 1})
	whole := floodCase{name: "all kinds of " + first.Name + " flood", callers: floodingCallers}
	for k := range first.Kinds {
		whole.kinds = append(whole.kinds, k)
	}
	return append(all, whole)
}

// baseLoad is the load besides the flood.
type baseLoad struct {
	name  string
	rates func(s *Service) []float64
}

// baseLoads returns the site's rates, with which some kinds exceed their share of the slots,
// and rates with which every kind stays within its share.
func baseLoads() []baseLoad {
	return []baseLoad{
		{name: "site rates", rates: func(s *Service) []float64 { return s.Rates }},
		{name: "within shares", rates: ratesWithinShares},
	}
}

// ratesWithinShares returns rates at which each kind uses loadWithinShare of its share.
func ratesWithinShares(s *Service) []float64 {
	sum := 0.0
	for i := range s.Kinds {
		sum += float64(s.Kinds[i].Share)
	}
	rates := make([]float64, len(s.Kinds))
	for i := range s.Kinds {
		rates[i] = loadWithinShare * s.capacity(i) * float64(s.Kinds[i].Share) / sum
	}
	return rates
}

// floods compares the calls of each kind with and without floods of other kinds.
func floods(r *run) {
	site := r.Site.shrink(r.Scale)
	vms := max(len(site.Domains), int(math.Round(float64(site.VMs)*r.Scale)))
	for _, base := range baseLoads() {
		r.beginCase("no flood, " + base.name)
		calm := r.runFlood(site, vms, base, nil)
		for _, c := range floodCases(&site) {
			r.beginCase(c.name + ", " + base.name)
			during := r.runFlood(site, vms, base, &c)
			r.compareKinds(&site, &c, calm, during)
		}
	}
	admissionBaselines(r, site, vms)
}

// runFlood runs the base load, with a flood unless c is nil, and returns the counts of the
// calls that started during floodTime. Calls of the flood itself are not counted.
func (r *run) runFlood(site Site, vms int, base baseLoad, c *floodCase) *tallies {
	t := newTrial(site, r.Seed, vms)
	group := t.fill(fewFlowsPerTarget)
	for i := range site.Services {
		for k, rate := range base.rates(&site.Services[i]) {
			t.addStream(i, message.KindID(k), rate, t.flows[i])
		}
	}
	flooding := t.openFlood(c)
	t.run(2 * time.Second)
	// Calls that ended before now must not be counted: the calls at the start of the load,
	// which arrive all at once, would determine the p99 of both runs.
	group.restrict(t.fleet.Now(), floodTime)
	t.startFlood(c, flooding)
	t.run(floodTime)
	t.stopLoad()
	r.addPeakRequests(t)
	r.checkPromises(t)
	return group
}

// openFlood opens the flows of a flood. If c is nil it opens the same number of unused flows,
// so that runs with and without a flood start their load at the same times.
func (t *trial) openFlood(c *floodCase) []flow {
	service, n := 0, floodingCallers
	if c != nil {
		service, n = c.service, c.callers
	}
	return t.open(service, floodingFlows, openRate, t.callers(n, newTallies()))
}

func (t *trial) startFlood(c *floodCase, flows []flow) {
	if c == nil {
		return
	}
	for _, k := range c.kinds {
		rate := floodFactor * t.site.Services[c.service].capacity(k)
		t.addStream(c.service, message.KindID(k), rate, flows)
	}
}

// compareKinds adds the completed calls and the latency of each kind relative to the run
// without a flood. Only kinds that do not flood have bounds. The figures of the others are
// those of callers that do not take part in the flood.
func (r *run) compareKinds(site *Site, c *floodCase, calm, during *tallies) {
	for i := range site.Services {
		s := &site.Services[i]
		for k := range s.Kinds {
			id := message.ServiceIDOf(s.Name)
			before, after := calm.kind(id, message.KindID(k)), during.kind(id, message.KindID(k))
			r.compareKind(s.Name+"/"+s.Kinds[k].Name, !c.floods(i, k), before, after)
		}
	}
}

func (c *floodCase) floods(service, kind int) bool {
	for _, k := range c.kinds {
		if service == c.service && kind == k {
			return true
		}
	}
	return false
}

func (r *run) compareKind(name string, bounded bool, before, after *tally) {
	var completedBound, latencyBound *Bound
	if bounded {
		completedBound, latencyBound = atLeast(minCompletedPercent), atMost(maxLatencyRatio)
	}
	completedPercent := 100 * float64(after.completed) / float64(max(before.completed, 1))
	r.add(name+" completed", completedPercent, "% of calm", completedBound)
	ratio := math.Inf(1)
	if after.completed > 0 {
		ratio = float64(after.p99()) / float64(before.p99())
	}
	if !math.IsInf(ratio, 0) {
		r.add(name+" p99", ratio, "of calm", latencyBound)
	}
}
