package measure

import (
	"fmt"
	"math"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

const (
	// floodFactor is the flood's rate by what all slots of the service execute.
	floodFactor = 10
	// floodTime is the time of flood; calls that start in it are counted.
	floodTime = 4 * time.Second
	// floodFlows is the number of flows a target.
	floodFlows = 50
	// floodCallers is the number of callers that flood, unless it is one.
	floodCallers = 32
	// allFloodFlows is the number of their flows.
	allFloodFlows = 640
	// shareLoad is the part of its own share that each kind asks for in the cases
	// "within shares".
	shareLoad = 0.6
	// leastWork and mostDelay are the bounds on other kinds, in percent and as a ratio.
	leastWork = 95
	mostDelay = 2
)

// flood is one case of the experiment.
type flood struct {
	name    string
	service int
	kinds   []int
	callers int
}

// floodCases returns every kind in turn, one caller, and one whole service.
func floodCases(site *Site) []flood {
	var all []flood
	for i := range site.Services {
		for k := range site.Services[i].Kinds {
			name := fmt.Sprintf("%s/%s floods", site.Services[i].Name, site.Services[i].Kinds[k].Name)
			all = append(all, flood{name: name, service: i, kinds: []int{k}, callers: floodCallers})
		}
	}
	first := &site.Services[0]
	one := fmt.Sprintf("one caller floods %s/%s", first.Name, first.Kinds[1].Name)
	all = append(all, flood{name: one, kinds: []int{1}, callers: 1})
	whole := flood{name: "all kinds of " + first.Name + " flood", callers: floodCallers}
	for k := range first.Kinds {
		whole.kinds = append(whole.kinds, k)
	}
	return append(all, whole)
}

// baseLoad is the load beside the flood.
type baseLoad struct {
	name  string
	rates func(s *Service) []float64
}

// baseLoads returns the site's rates, which ask for more than a fair share of the
// slots in some kinds, and rates with which every kind stays within its share.
func baseLoads() []baseLoad {
	return []baseLoad{
		{name: "site rates", rates: func(s *Service) []float64 { return s.Rates }},
		{name: "within shares", rates: ratesWithinShares},
	}
}

// ratesWithinShares returns rates that fill shareLoad of each kind's share.
func ratesWithinShares(s *Service) []float64 {
	sum := 0.0
	for i := range s.Kinds {
		sum += float64(s.Kinds[i].Share)
	}
	rates := make([]float64, len(s.Kinds))
	for i := range s.Kinds {
		rates[i] = shareLoad * s.capacity(i) * float64(s.Kinds[i].Share) / sum
	}
	return rates
}

// floods compares the work of each kind with and without a flood of another.
func floods(r *run) {
	site := r.Site.shrink(r.Scale)
	vms := max(len(site.Domains), int(math.Round(float64(site.VMs)*r.Scale)))
	for _, base := range baseLoads() {
		r.begin("no flood, " + base.name)
		calm := r.flooded(site, vms, base, nil)
		for _, c := range floodCases(&site) {
			r.begin(c.name + ", " + base.name)
			during := r.flooded(site, vms, base, &c)
			r.compareKinds(&site, &c, calm, during)
		}
	}
	admissionBaselines(r, site, vms)
}

// flooded runs the base load, with a flood if there is one, and returns the
// calls that started during it. Calls of the flood are not counted.
func (r *run) flooded(site Site, vms int, base baseLoad, c *flood) *tallies {
	t := newTrial(site, r.Seed, vms)
	group := t.fill(floodFlows)
	for i := range site.Services {
		for k, rate := range base.rates(&site.Services[i]) {
			t.addStream(i, message.KindID(k), rate, t.flows[i])
		}
	}
	flooding := t.openFlood(c)
	t.run(2 * time.Second)
	// Calls that ended by now must not count: those after the start of the load,
	// which come at once, would set the p99 of both runs.
	group.reset(t.fleet.Now(), floodTime)
	t.startFlood(c, flooding)
	t.run(floodTime)
	t.stop()
	r.addLimits(t)
	r.check(t)
	return group
}

// openFlood opens the flows of a flood. Without a flood it opens the flows of one
// that does not come, so that both runs start their load at the same times.
func (t *trial) openFlood(c *flood) []flow {
	service, n := 0, floodCallers
	if c != nil {
		service, n = c.service, c.callers
	}
	return t.open(service, allFloodFlows, openRate, t.callers(n, newTallies()))
}

func (t *trial) startFlood(c *flood, flows []flow) {
	if c == nil {
		return
	}
	for _, k := range c.kinds {
		rate := floodFactor * t.site.Services[c.service].capacity(k)
		t.addStream(c.service, message.KindID(k), rate, flows)
	}
}

// compareKinds adds the work and the delay that each kind kept. The bounds hold
// for the kinds that do not flood. For the others the figures are those of
// callers that don't take part in the flood.
func (r *run) compareKinds(site *Site, c *flood, calm, during *tallies) {
	for i := range site.Services {
		s := &site.Services[i]
		for k := range s.Kinds {
			id := message.ServiceIDOf(s.Name)
			before, after := calm.kind(id, message.KindID(k)), during.kind(id, message.KindID(k))
			r.compareKind(s.Name+"/"+s.Kinds[k].Name, !c.floods(i, k), before, after)
		}
	}
}

func (c *flood) floods(service, kind int) bool {
	for _, k := range c.kinds {
		if service == c.service && kind == k {
			return true
		}
	}
	return false
}

func (r *run) compareKind(name string, bounded bool, before, after *tally) {
	var work, delay *Bound
	if bounded {
		work, delay = atLeast(leastWork), atMost(mostDelay)
	}
	kept := 100 * float64(after.completed) / float64(max(before.completed, 1))
	r.add(name+" completed", kept, "% of calm", work)
	ratio := math.Inf(1)
	if after.completed > 0 {
		ratio = float64(after.p99()) / float64(before.p99())
	}
	if !math.IsInf(ratio, 0) {
		r.add(name+" p99", ratio, "of calm", delay)
	}
}
