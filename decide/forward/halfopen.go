package forward

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/halfopen"
)

const (
	// maxToldAtOnce bounds what one call of TakeUnopened or TakeContested returns, maxTellQueue the flows
	// that wait for TakeContested, and maxForKeepers those that TakeForKeepers returns.
	maxToldAtOnce = 48
	maxTellQueue  = 1024
	maxForKeepers = 256
)

// halfOpenFlows is what a VM knows of flows that two targets may hold, one of them half-open: those
// that have not opened here, those that have, and those that are open at other VMs. See package
// halfopen.
type halfOpenFlows struct {
	unopened  map[flow.Key]*unopenedFlow
	contested map[flow.Key]*contestedFlow
	hints     map[flow.Key]hint

	unopenedToTell   []halfopen.Unopened // not yet returned by TakeUnopened
	contestedToTell  []halfopen.Opened   // not yet returned by TakeContested
	openedForKeepers []halfopen.Opened   // not yet returned by TakeForKeepers
	corrections      []Correction        // not yet returned by TakeCorrections
	notTold          uint64              // see FlowsNotTold

	nextContestedSweep time.Duration
}

func newHalfOpenFlows() halfOpenFlows {
	return halfOpenFlows{
		unopened:  make(map[flow.Key]*unopenedFlow),
		contested: make(map[flow.Key]*contestedFlow),
		hints:     make(map[flow.Key]hint),
	}
}

// FlowsNotTold returns the number of times that a flow was not kept, or other VMs not told of it, for
// lack of room.
func (f *Forwarder) FlowsNotTold() uint64 { return f.halfOpen.notTold }
