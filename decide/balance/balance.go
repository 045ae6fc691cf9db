// Package balance chooses the target of a new flow among the candidates of one service
// by weighted least load, and the failure domain of the candidates by reported load.
// Among targets each VM balances only its own open flows and requests in progress, so
// that the total is balanced without messages between VMs.
package balance

import "github.com/gypsumspan/gypsumspan/decide/rendezvous"

// activeWeight is the weight of a request in progress relative to an open flow, added to
// that of its flow: the request occupies a slot of the target, an idle flow does not.
const activeWeight = 3

// coldFactor is the capacity of a target during its warm-up, relative to a warm one.
const coldFactor = 0.5

// Load is the load of this VM at one target.
type Load struct {
	Flows          int // open flows
	ActiveRequests int // those of Flows with a request in progress
}

// Candidate is one target that a new flow may go to.
type Candidate struct {
	ID    uint64 // for rendezvous hashing among equally loaded candidates
	Slots int
	Cold  bool
	Load  Load // of this VM
	// Others is the load of the other VMs of the failure domain by estimate, and Speed the
	// speed of the target; 0 stands for 1. Both are used by ChooseBy.
	Others   OtherLoad
	Speed    float64
	Reported bool // Others and Speed are based on a report

	capacity, load float64 // by estimate, set by ChooseBy
}

// OtherLoad is the load of other VMs at one target.
type OtherLoad struct {
	Flows          float64
	ActiveRequests float64
}

// weightedLoad returns the load per slot after one more flow.
func (c Candidate) weightedLoad() float64 {
	capacity := float64(c.Slots)
	if c.Cold {
		capacity *= coldFactor
	}
	return float64(c.Load.Flows+1+activeWeight*c.Load.ActiveRequests) / capacity
}

// Choose returns the index of the candidate with the lowest weighted load, or -1 when
// there are none. Ties are broken by rendezvous hashing of key and the candidate's ID, so that
// VMs with different keys choose different targets.
func Choose(key uint64, candidates []Candidate) int {
	best := -1
	var bestLoad float64
	var bestScore uint64
	for i, c := range candidates {
		load := c.weightedLoad()
		score := rendezvous.Mix(key, c.ID)
		if best < 0 || load < bestLoad || (load == bestLoad && score > bestScore) {
			best, bestLoad, bestScore = i, load, score
		}
	}
	return best
}
