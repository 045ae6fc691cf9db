package measure

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/lab/measure/baseline"
)

// placements are the baselines for the placement of flows.
var placements = []struct {
	name   string
	choose baseline.Placement
}{
	{"baseline hash modulo", baseline.Modulo},
	{"baseline rendezvous", baseline.Rendezvous},
}

// randomFlows returns n random flow identifiers, which depend on the seed only.
func randomFlows(seed uint64, n int) []uint64 {
	rng := rand.New(rand.NewPCG(seed, 4))
	flows := make([]uint64, n)
	for i := range flows {
		flows[i] = rng.Uint64()
	}
	return flows
}

// rows returns the table rows of a service's targets from (inclusive) to (exclusive).
func (s *Site) rows(service *Service, from, to int) []table.Target {
	var rows []table.Target
	for i := from; i < to; i++ {
		weight := uint32(1)
		if service.Weight != nil {
			weight = service.Weight(i)
		}
		rows = append(rows, table.Target{
			ID:     message.TargetIDOf(service.Name, targetName(i)),
			Domain: s.Domains[i%len(s.Domains)],
			Weight: weight,
		})
	}
	return rows
}

// placementBaselines adds the fraction of flows that the baselines break in the planned
// changes and in the partition. The cases themselves have the fleet's broken flows.
func placementBaselines(r *run) {
	cases := []struct {
		name  string
		views func(s *Site, service *Service) [][]table.Target
	}{
		{"every target replaced in turn", replacementViews},
		{"weights edited", weightEditViews},
		{"a domain cut for 60 s and healed", partitionViews},
	}
	for _, c := range cases {
		r.beginCase(c.name)
		for _, p := range placements {
			flows, moved := 0, 0
			for i := range r.Site.Services {
				s := &r.Site.Services[i]
				all := randomFlows(r.Seed, int(r.Scale*float64(r.Site.FlowsPerTarget*s.Targets)))
				flows += len(all)
				moved += baseline.CountMoved(p.choose, all, r.Site.rows(s, 0, s.Targets), c.views(&r.Site, s)...)
			}
			r.add(p.name+": broken flows", float64(moved)/float64(flows), "of all", nil)
		}
	}
}

// replacementViews returns the live targets after each step of the replacement.
func replacementViews(s *Site, service *Service) [][]table.Target {
	var views [][]table.Target
	for n := range service.Targets {
		views = append(views, s.rows(service, n, service.Targets+n+1), s.rows(service, n+1, service.Targets+n+1))
	}
	return views
}

// weightEditViews returns the table's rows after each edit of a weight.
func weightEditViews(s *Site, service *Service) [][]table.Target {
	var views [][]table.Target
	rows := s.rows(service, 0, service.Targets)
	for n := range rows {
		rows[n].Weight = uint32(1 + (n+1)%3)
		views = append(views, slices.Clone(rows))
	}
	return views
}

// partitionViews returns the live targets on each side of the partition.
func partitionViews(s *Site, service *Service) [][]table.Target {
	var inside, outside []table.Target
	for _, row := range s.rows(service, 0, service.Targets) {
		if row.Domain == s.Domains[1] {
			inside = append(inside, row)
		} else {
			outside = append(outside, row)
		}
	}
	return [][]table.Target{inside, outside}
}

// placementImbalance adds the imbalance of the baselines in the steady case, and its ratio to
// that of the fleet.
func placementImbalance(r *run, site Site, flowsPerTarget int) {
	r.beginCase("steady")
	for i := range site.Services {
		s := &site.Services[i]
		rows := site.rows(s, 0, s.Targets)
		fleetValue := r.earlierValue("steady", "worst target of "+s.Name+", at once")
		for _, p := range placements {
			worst := placedDeviation(p.choose, rows, randomFlows(r.Seed, flowsPerTarget*s.Targets))
			r.add(p.name+": worst target of "+s.Name, worst, "%", nil)
			r.add(p.name+": worst target of "+s.Name+" by the fleet's", worst/fleetValue, "ratio", nil)
		}
	}
}

func placedDeviation(choose baseline.Placement, rows []table.Target, flows []uint64) float64 {
	counts := make(map[message.TargetID]int)
	for _, flow := range flows {
		counts[choose(flow, rows)]++
	}
	var parts, weights []float64
	for _, row := range rows {
		parts = append(parts, float64(counts[row.ID]))
		weights = append(weights, float64(row.Weight))
	}
	return deviation(parts, weights)
}

// earlierValue returns the value of an earlier figure of the experiment, or NaN.
func (r *run) earlierValue(name, figure string) float64 {
	for _, f := range r.report.Figures {
		if f.Experiment == r.experiment && f.Case == name && f.Name == figure {
			return f.Value
		}
	}
	return math.NaN()
}

// queueCapacity is the number of requests that may wait at a target of the baseline, the
// same as in the fleet (vm.DefaultQueueCapacity).
const queueCapacity = 256

// warmUp is the virtual time before the flood.
const warmUp = 2 * time.Second

// admissionBaselines adds the completed calls and the latency of the other kinds of the first
// service, and by how much limits are exceeded, while each of its kinds floods in turn.
func admissionBaselines(r *run, site Site, vms int) {
	s := &site.Services[0]
	for k := range s.Kinds {
		r.beginCase(s.Name + "/" + s.Kinds[k].Name + " floods, within shares")
		calm, flooded := r.requests(s, -1), r.requests(s, k)
		before := baseline.RoundRobin(calm, s.Targets, s.Slots, queueCapacity)
		after := baseline.RoundRobin(flooded, s.Targets, s.Slots, queueCapacity)
		for other := range s.Kinds {
			if other != k {
				r.compareBaseline(s.Name+"/"+s.Kinds[other].Name, tallyOf(calm, before, other), tallyOf(flooded, after, other))
			}
		}
		r.addWithoutOwner(s, flooded, vms)
	}
}

func (r *run) compareBaseline(name string, before, after *tally) {
	const prefix = "baseline static limit, FIFO, round robin: "
	completedPercent := 100 * float64(after.completed) / float64(max(before.completed, 1))
	r.add(prefix+name+" completed", completedPercent, "% of calm", nil)
	if fleetValue := r.earlierValue(r.caseName, name+" completed"); fleetValue > 0 {
		r.add(prefix+name+" completed by the fleet's", completedPercent/fleetValue, "ratio", nil)
	}
	if after.completed > 0 {
		r.add(prefix+name+" p99", float64(after.p99())/float64(before.p99()), "of calm", nil)
	}
}

// addWithoutOwner adds by how much VMs without owners exceed the limit of one target, to which
// every n-th request of a service with n targets goes.
func (r *run) addWithoutOwner(s *Service, requests []baseline.Request, vms int) {
	var targetRequests []baseline.Request
	for i := 0; i < len(requests); i += s.Targets {
		targetRequests = append(targetRequests, requests[i])
	}
	peak := baseline.PeakWithoutOwner(targetRequests, vms, s.Slots, r.Seed)
	r.add("baseline no owner: most requests at a target, by its limit", float64(peak)/float64(s.Slots), "of the limit", nil)
}

// requests returns the load within shares for warmUp and floodTime, with a flood of a kind
// (-1: none) during floodTime, sorted by arrival.
func (r *run) requests(s *Service, flooding int) []baseline.Request {
	var all []baseline.Request
	for k, rate := range ratesWithinShares(s) {
		all = append(all, r.arrivals(s, k, rate, 0, warmUp+floodTime, false)...)
	}
	if flooding >= 0 {
		rate := floodFactor * s.capacity(flooding)
		all = append(all, r.arrivals(s, flooding, rate, warmUp, warmUp+floodTime, true)...)
	}
	slices.SortStableFunc(all, func(a, b baseline.Request) int { return int(a.Arrival - b.Arrival) })
	return all
}

// arrivals returns requests of one kind whose arrivals are a Poisson process and whose
// service times are log-normal.
func (r *run) arrivals(s *Service, k int, rate float64, from, until time.Duration, flood bool) []baseline.Request {
	stream := uint64(100 + k)
	if flood {
		stream += 100
	}
	rng := rand.New(rand.NewPCG(r.Seed, stream))
	profile := s.Kinds[k].Profile
	var all []baseline.Request
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return all
		}
		service := time.Duration(float64(profile.Median) * math.Exp(profile.Sigma*rng.NormFloat64()))
		all = append(all, baseline.Request{Arrival: at, ServiceTime: service, Timeout: s.Kinds[k].Timeout, Kind: k, Flood: flood})
	}
}

// tallyOf counts the completed requests of one kind that arrived during the flood and are not
// part of it.
func tallyOf(requests []baseline.Request, outcomes []baseline.Outcome, kind int) *tally {
	t := &tally{}
	for i, r := range requests {
		if r.Kind != kind || r.Flood || r.Arrival < warmUp {
			continue
		}
		if outcomes[i].Completed {
			t.completed++
			t.latencies = append(t.latencies, outcomes[i].Latency)
		}
	}
	return t
}
