package balance

import (
	"math"

	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

// Policy is how a VM chooses among candidates whose load at other VMs is known.
type Policy uint8

// The policies. All but LeastOwn use the load of other VMs and the speeds of targets, and
// choose as LeastOwn while these are not known.
const (
	// BySpeed chooses the least loaded by the VM's own flows, weighted by the speeds of the
	// targets.
	BySpeed Policy = iota
	// Fill chooses at random, with weights by which the flows that the failure domain is
	// expected to place before they appear in reports make the loads equal.
	Fill
	LeastOwn     // least loaded by the VM's own flows
	LeastLoaded  // least loaded by estimate
	TwoChoices   // the less loaded of two random candidates
	Proportional // at random, in proportion to free capacity
	Subset       // Fill among a few candidates that differ between VMs
	policies
)

// String returns the name of the policy.
func (p Policy) String() string {
	return [...]string{"by_speed", "fill", "least_own", "least_loaded", "two_choices", "proportional", "subset"}[p]
}

// Policies lists all policies.
func Policies() []Policy {
	list := make([]Policy, 0, policies)
	for p := range policies {
		list = append(list, p)
	}
	return list
}

// minReportedShare is the share of the candidates that must have a report for the load of
// other VMs to be used. A candidate without one counts as free of other VMs' flows: it has
// started since the last report. In a domain with more targets than reports can cover most
// have none.
const minReportedShare = 0.5

// Choice are the parameters of ChooseBy.
type Choice struct {
	Policy Policy
	Key    uint64 // of the flow and the VM; the source of randomness
	VM     uint64 // of the VM
	// NewFlows is the number of flows that the VMs of the failure domain are expected to
	// place before they appear in each other's reports.
	NewFlows float64
}

// ChooseBy returns the index of the candidate that a policy chooses, or -1 when there are
// none. It changes only the unexported fields of the candidates.
func ChooseBy(c Choice, candidates []Candidate) int {
	reported := reportedShare(candidates)
	if c.Policy == LeastOwn || reported == 0 || c.Policy != BySpeed && reported < minReportedShare {
		return Choose(c.Key, candidates)
	}
	for i := range candidates {
		x := &candidates[i]
		x.capacity = x.estimatedCapacity()
		x.load = x.estimatedLoad()
	}
	switch c.Policy {
	case BySpeed:
		return leastBySpeed(c.VM, candidates)
	case LeastLoaded:
		return leastLoaded(c.Key, candidates)
	case TwoChoices:
		return twoChoices(c.Key, candidates)
	case Proportional:
		return proportional(c.Key, candidates)
	case Subset:
		keepSubset(c.VM, candidates)
		return fill(c, candidates)
	default: // Fill
		return fill(c, candidates)
	}
}

// reportedShare returns the share of the candidates with a report.
func reportedShare(candidates []Candidate) float64 {
	reported := 0
	for _, c := range candidates {
		if c.Reported {
			reported++
		}
	}
	return float64(reported) / max(float64(len(candidates)), 1)
}

// estimatedCapacity returns the slots of the candidate, weighted by its speed.
func (c *Candidate) estimatedCapacity() float64 {
	capacity := float64(c.Slots)
	if c.Cold {
		capacity *= coldFactor
	}
	if c.Speed > 0 {
		capacity *= c.Speed
	}
	return capacity
}

// estimatedLoad returns the load of the candidate by this VM and the others.
func (c *Candidate) estimatedLoad() float64 {
	return float64(c.Load.Flows) + c.Others.Flows + activeWeight*(float64(c.Load.ActiveRequests)+c.Others.ActiveRequests)
}

// leastBySpeed returns the candidate with the least flows and requests of this VM per slot
// and speed. A VM has less than one flow at most targets, so that the new flow counts as a
// part of one, uniform over the VMs for each candidate: the VM fills all candidates up to
// the same level, and over the VMs the mean number of flows is in proportion to capacity.
func leastBySpeed(vm uint64, candidates []Candidate) int {
	best := -1
	var bestLoad float64
	for i := range candidates {
		c := &candidates[i]
		load := (float64(c.Load.Flows+activeWeight*c.Load.ActiveRequests) + uniformDraw(vm, c.ID)) / c.capacity
		if best < 0 || load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return best
}

func leastLoaded(key uint64, candidates []Candidate) int {
	best := -1
	var bestLoad float64
	var bestScore uint64
	for i := range candidates {
		c := &candidates[i]
		load := (c.load + 1) / c.capacity
		score := rendezvous.Mix(key, c.ID)
		if best < 0 || load < bestLoad || (load == bestLoad && score > bestScore) {
			best, bestLoad, bestScore = i, load, score
		}
	}
	return best
}

// uniformDraw returns a number in [0, 1) that depends on key and salt.
func uniformDraw(key, salt uint64) float64 {
	return float64(rendezvous.Mix(key, salt)>>11) / (1 << 53)
}

// Salts of the draws.
const (
	firstDraw  = 0x9ae16a3b2f90404f
	secondDraw = 0xc949d7c7509e6557
)

// draw returns the index of a candidate drawn with the weights that weight returns, or -1
// if all are 0.
func draw(u float64, candidates []Candidate, weight func(c *Candidate) float64) int {
	total := 0.0
	for i := range candidates {
		total += weight(&candidates[i])
	}
	u *= total
	last := -1
	for i := range candidates {
		w := weight(&candidates[i])
		if w <= 0 {
			continue
		}
		last = i
		if u < w {
			return i
		}
		u -= w
	}
	return last
}

func twoChoices(key uint64, candidates []Candidate) int {
	byCapacity := func(c *Candidate) float64 { return c.capacity }
	a := draw(uniformDraw(key, firstDraw), candidates, byCapacity)
	b := draw(uniformDraw(key, secondDraw), candidates, byCapacity)
	if (candidates[b].load+1)/candidates[b].capacity < (candidates[a].load+1)/candidates[a].capacity {
		return b
	}
	return a
}

// proportional draws in proportion to the capacity that is free at a level of load twice
// the mean.
func proportional(key uint64, candidates []Candidate) int {
	var load, capacity float64
	for i := range candidates {
		load += candidates[i].load
		capacity += candidates[i].capacity
	}
	const headroom = 2
	level := headroom * (load + 1) / capacity
	i := draw(uniformDraw(key, firstDraw), candidates, func(c *Candidate) float64 { return max(0, level*c.capacity-c.load) })
	if i < 0 {
		return leastLoaded(key, candidates)
	}
	return i
}

// fill draws a candidate with weights by which c.NewFlows flows raise all candidates to
// the same load per capacity, as far as these are below it.
func fill(c Choice, candidates []Candidate) int {
	if len(candidates) == 0 {
		return -1
	}
	level := fillLevel(max(c.NewFlows, 1), candidates)
	i := draw(uniformDraw(c.Key, firstDraw), candidates, func(c *Candidate) float64 { return max(0, level*c.capacity-c.load) })
	if i < 0 {
		return leastLoaded(c.Key, candidates)
	}
	return i
}

// fillLevel returns the load per capacity up to which flows new flows fill the candidates
// below it.
func fillLevel(flows float64, candidates []Candidate) float64 {
	level := math.Inf(1)
	for {
		load, capacity := flows, 0.0
		for i := range candidates {
			if c := &candidates[i]; c.load < level*c.capacity {
				load += c.load
				capacity += c.capacity
			}
		}
		// Candidates above the level drop out, which lowers it, until none does.
		next := load / capacity
		if next >= level {
			return level
		}
		level = next
	}
}

// subsetSize is the number of candidates that a VM prefers under Subset.
const subsetSize = 4

// keepSubset sets the capacity of all candidates but those that the VM prefers to 0.
func keepSubset(vm uint64, candidates []Candidate) {
	bound := uint64(math.MaxUint64)
	for range min(subsetSize, len(candidates)) {
		var best uint64
		for i := range candidates {
			if score := rendezvous.Mix(vm, candidates[i].ID); score < bound {
				best = max(best, score)
			}
		}
		bound = best
	}
	for i := range candidates {
		if rendezvous.Mix(vm, candidates[i].ID) < bound {
			candidates[i].capacity = 0
		}
	}
}
