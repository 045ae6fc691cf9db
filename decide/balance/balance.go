// Package balance chooses the target of a new flow among the candidates of one
// service. It knows the load that one VM causes: open flows and requests in
// progress. Every VM balances its own flows, so that the sum is balanced without
// messages between VMs.
package balance

import "github.com/gypsumspan/gypsumspan/decide/rendezvous"

// busyWeight is the weight of a request in progress relative to an open flow. A
// flow that waits for an answer occupies a slot now, an idle one may later.
const busyWeight = 3

// coldFactor is the capacity of a target that has just started, relative to a
// warm one.
const coldFactor = 0.5

// Load is the load that this VM causes at one target.
type Load struct {
	Flows int // open flows
	Busy  int // flows with a request in progress
}

// Candidate is one target that a new flow may go to.
type Candidate struct {
	ID    uint64 // for the order among equals
	Slots int
	Cold  bool
	Load  Load
}

// pressure returns the load after one more flow, relative to capacity.
func (c Candidate) pressure() float64 {
	capacity := float64(c.Slots)
	if c.Cold {
		capacity *= coldFactor
	}
	return float64(c.Load.Flows+1+busyWeight*c.Load.Busy) / capacity
}

// Choose returns the index of the least loaded candidate, or -1 when there is
// none. Equals are ordered by rendezvous hashing of key, so that VMs differ.
func Choose(key uint64, candidates []Candidate) int {
	best := -1
	var bestPressure float64
	var bestScore uint64
	for i, c := range candidates {
		pressure := c.pressure()
		score := rendezvous.Mix(key, c.ID)
		if best < 0 || pressure < bestPressure || (pressure == bestPressure && score > bestScore) {
			best, bestPressure, bestScore = i, pressure, score
		}
	}
	return best
}
