package forward

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// Action is what the VM does with a packet.
type Action uint8

// The actions.
const (
	Drop    Action = iota
	Forward        // send the packet to Verdict.Target
	Reset          // send the caller a reset of the flow
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

// Reason is why an action was chosen.
type Reason uint8

// The reasons.
const (
	Placed            Reason = iota // SYN of a new flow
	PlacedAgain                     // retransmitted SYN, sent to another target
	Repeated                        // retransmitted SYN, sent to the same target
	Continued                       // packet of an open flow
	NotReady                        // this VM has no complete catalog yet
	NoRoute                         // no route for this address
	RouteRemoved                    // the route was removed from the configuration
	NoTarget                        // no target of the service accepts new flows
	TargetGone                      // the flow's target is removed from the catalog and silent
	TargetSilent                    // the flow's target is judged dead, others respond
	DomainUnreachable               // the flow is stuck and its target's failure domain does not respond
	UnknownCookie                   // no target in the catalog has this cookie yet
	UnknownForLong                  // the cookie is unknown for longer than Config.ApplyWithin
	NoCookie                        // not a SYN, and without a cookie
	Shed                            // new flow refused by the flood limiter
	Held                            // request delayed by the flood limiter; the caller retransmits it
	Deferred                        // retransmission of a SYN, left to the caller's next one
	Evacuated                       // all targets that would take the flow are in evacuated failure domains
	ColdLimit                       // only cold targets are left, and this VM may send them no more flows now
	TooLate                         // new flow whose request can't be answered before the route's timeout
	Outdated                        // SYN that has waited at this VM until the caller sent the next one
	UnknownRoute                    // no route for this address, but the VM knows that its catalog may be old
	reasons
)

// Reasons is the number of reasons.
const Reasons = int(reasons)

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string {
	names := [Reasons]string{"placed", "placed_again", "repeated", "continued", "not_ready", "no_route",
		"route_removed", "no_target", "target_gone", "target_silent", "domain_unreachable",
		"unknown_cookie", "unknown_for_long", "no_cookie", "shed", "held", "deferred", "evacuated", "cold_limit",
		"too_late", "outdated", "unknown_route"}
	return names[r]
}

// Adoption is how a VM finds the target of an open flow that it has no record of.
type Adoption uint8

// The ways.
const (
	NotAdopted      Adoption = iota // it has a record
	AdoptedByCookie                 // the packet carries the target's cookie
	AdoptedByHint                   // another VM has told of the target, against the cookie
)

// String returns the way as it appears in logs.
func (a Adoption) String() string { return [...]string{"", "cookie", "hint"}[a] }

// Verdict is the decision about one packet.
type Verdict struct {
	Action Action
	Reason Reason
	Target *catalog.Target // of Forward and, where known, of Reset and Drop
	Cookie flow.Cookie     // of Forward: written into the packet
	Route  *catalog.Route  // nil: none
	// ConnectTime is the time since the SYN was last placed, on the first packet of an opened
	// flow, and ResponseTime the time since the first data of a request, on the packet that
	// acknowledges the response. Otherwise they are 0.
	ConnectTime  time.Duration
	ResponseTime time.Duration
	// Superseded are targets that may hold a half-open flow and repeat their answers to its SYN, while
	// the flow has opened at Target. The caller returns the cookie that it received last, so that a
	// VM without a record of the flow would believe theirs. They get the SYN once more with the
	// cookie of Target, which their further answers then carry.
	Superseded []*catalog.Target
	// Adopted is set on the first packet of an open flow that the VM had no record of.
	Adopted Adoption
	// NewDecision is set on placements except of duplicate SYNs, on resets, and on the first
	// drop of a flow for UnknownCookie. Only these are logged.
	NewDecision bool
}
