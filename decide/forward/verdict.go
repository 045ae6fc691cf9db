package forward

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// Action is what happens to a packet.
type Action uint8

// The actions.
const (
	Drop    Action = iota
	Forward        // to Verdict.Target
	Reset          // the caller gets a reset of the flow
)

// String returns the action as it appears in logs and metrics.
func (a Action) String() string {
	switch a {
	case Forward:
		return "forward"
	case Reset:
		return "reset"
	default:
		return "drop"
	}
}

// Reason says why an action was taken.
type Reason uint8

// The reasons.
const (
	Placed         Reason = iota // new flow, sent to a target
	PlacedAgain                  // repeated first packet, sent to another target
	Continued                    // packet of an open flow
	NotReady                     // this VM has no catalog yet
	NoRoute                      // no route has this address
	RouteRemoved                 // the operators have removed the route
	NoTarget                     // no target of the service takes new flows
	TargetGone                   // the flow's target has left or died
	TargetSilent                 // the flow's target does not answer, others do
	UnknownCookie                // the catalog has no target with this cookie yet
	UnknownForLong               // and has had none for longer than news take
	NoCookie                     // the packet names no target
	Shed                         // the flow's kind yields while targets have too much work
	Held                         // a request of such a kind; its caller repeats it soon
	reasons
)

// Reasons is the number of reasons.
const Reasons = int(reasons)

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string {
	names := [Reasons]string{"placed", "placed_again", "continued", "not_ready", "no_route",
		"route_removed", "no_target", "target_gone", "target_silent", "unknown_cookie",
		"unknown_for_long", "no_cookie", "shed", "held"}
	return names[r]
}

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	Reason Reason
	Target *catalog.Target // of Forward and, where known, of Reset
	Cookie flow.Cookie     // of Forward: to write into the packet
	Route  *catalog.Route  // nil without one
	// Opened and Answered are the times from the first packet of the flow, and from
	// the data of a request, to the packet that shows the target's answer; 0 when
	// this packet shows none.
	Opened   time.Duration
	Answered time.Duration
	// NewDecision means that the verdict is the first of its kind for this flow and is
	// worth a log line.
	NewDecision bool
}
