package message

import (
	"net/netip"
	"time"
)

// Limits of a message.
const (
	// MaxPayload is the largest payload of one datagram in bytes. With the envelope it fits
	// into an Ethernet MTU of 1,500 bytes.
	MaxPayload = 1200
	// MaxParts is the maximum number of parts of a request or an answer.
	MaxParts = 64
	// MaxHops is the maximum number of times a datagram is forwarded between VMs. Finding a
	// flow that was idle while every target was replaced takes up to 3 hops along its
	// previous targets and a search over 10 ranks. A limit of 6 hops lost 3 of 8,100 such
	// flows.
	MaxHops = 14
)

// Message is one message to or from a VM.
type Message struct {
	From Address
	To   Address
	Body Body
}

// Body is one of the message types of this package.
type Body interface {
	isBody()
}

// Open starts a flow and requests a binding. It has no side effect on targets. With
// Refresh set it requests the current binding of an existing flow.
type Open struct {
	Service ServiceID
	Flow    FlowID
	Refresh bool
	Binding Binding // only with Refresh
}

// Bound answers Open.
type Bound struct {
	Flow    FlowID
	Binding Binding
}

// Request is one part of a request, from a caller to a VM.
type Request struct {
	Service    ServiceID
	Flow       FlowID
	ID         RequestID
	Kind       KindID
	Idempotent bool
	Attempt    uint32        // from 1; retries follow NotRun, or are of idempotent requests
	Deadline   time.Duration // remaining time until the caller times out
	Part       uint16        // from 0
	Parts      uint16        // at least 1
	Binding    Binding
	Payload    []byte
}

// Key returns the key of the request.
func (r *Request) Key() RequestKey {
	return RequestKey{Flow: r.Flow, ID: r.ID}
}

// Answer is one part of the answer to a request, from a target or to a caller.
type Answer struct {
	Flow    FlowID
	ID      RequestID
	Attempt uint32
	Part    uint16 // from 0
	Parts   uint16 // at least 1
	Binding Binding
	Payload []byte
}

// Key returns the key of the answered request.
func (a *Answer) Key() RequestKey {
	return RequestKey{Flow: a.Flow, ID: a.ID}
}

// RefusalReason states whether a refused request may have run.
type RefusalReason uint8

// The reasons of refusals.
const (
	// NotRun: the request was not dispatched and this attempt never will be.
	NotRun RefusalReason = iota + 1
	// MayHaveRun: the request may have been dispatched.
	MayHaveRun
	// FlowUnknown: the flow's target was lost, or no VM has a record of the flow.
	FlowUnknown
	// Busy: this datagram was dropped. The refusal is not final, since a duplicate of the
	// attempt may have been routed differently.
	Busy
	// NumReasons is the number of reasons, including the unused 0.
	NumReasons
)

// String returns the reason as it appears in logs and metrics.
func (r RefusalReason) String() string {
	switch r {
	case NotRun:
		return "not_run"
	case MayHaveRun:
		return "may_have_run"
	case FlowUnknown:
		return "flow_unknown"
	case Busy:
		return "busy"
	default:
		return "unknown"
	}
}

// Cause is why a request was refused, for logs, metrics and explanations.
type Cause uint8

// The causes of refusals.
const (
	CauseNone         Cause = iota
	CauseNoEpoch            // request without an epoch
	CauseStaleEpoch         // epoch of another ownership of the target
	CauseQueueFull          // queue of the target or kind is full
	CauseDeadline           // can't complete before the deadline
	CauseKindClosed         // refused by the ingress after a KindClosed
	CauseNoTarget           // no target accepts new flows
	CauseTargetLost         // the target crashed or shed the request
	CauseUnreachable        // the owner or target is unreachable
	CauseUnknownFlow        // no VM in the ranking has a record of the flow
	CauseUnknownTable       // service or kind is not in the table
	CauseLogEvicted         // log entry or recorded answer was evicted
	CauseOwnerMoved         // ownership of the target ended while the request was queued
	CauseCancelled          // cancelled by the caller
	// NumCauses is the number of causes.
	NumCauses
)

// String returns the cause as it appears in logs, metrics and explanations.
func (c Cause) String() string {
	names := [NumCauses]string{
		"none", "no_stamp", "stale_epoch", "queue_full", "deadline", "kind_closed", "no_target",
		"target_lost", "unreachable", "unknown_flow", "unknown_table", "log_evicted", "owner_moved",
		"cancelled",
	}
	if c >= NumCauses {
		return "unknown"
	}
	return names[c]
}

// Refusal is a typed negative answer.
type Refusal struct {
	Flow       FlowID
	ID         RequestID // 0: the refused message is an Open
	Attempt    uint32
	Reason     RefusalReason
	Cause      Cause
	RetryAfter time.Duration
	Binding    Binding // current binding, if known
}

// Cancel cancels a request.
type Cancel struct {
	Service ServiceID
	Flow    FlowID
	ID      RequestID
	Binding Binding
}

// Close ends a flow.
type Close struct {
	Service ServiceID
	Flow    FlowID
	Binding Binding
}

// Forward carries a caller's message from the VM that received it to the owner of the
// target, as one datagram.
type Forward struct {
	Ingress VMID
	Caller  netip.AddrPort
	Hops    uint8
	Target  TargetID // its owner handles the message
	Hinted  bool     // Target was taken from the binding, not only from the ranking
	// RowUnknown is set when the ingress has no table row of the binding's target. The
	// first VM on the path that has the row clears it and sets Hinted.
	RowUnknown bool
	Inner      Body // *Open, *Request, *Cancel or *Close
}

// KindClosed makes an ingress refuse requests of one kind for a target for a time. It is
// a datagram. The target's owner sends it as backpressure.
type KindClosed struct {
	Service   ServiceID
	Target    TargetID
	Kind      KindID
	ClosedFor time.Duration
}

// Dispatch is one part of a request, from the owner to the target.
type Dispatch struct {
	Service  ServiceID
	Target   TargetID
	Flow     FlowID
	ID       RequestID
	Attempt  uint32
	Open     bool // first request of the flow at this target
	Kind     KindID
	Deadline time.Duration
	Part     uint16
	Parts    uint16
	Payload  []byte
}

// TargetCancel cancels a dispatched request at the target.
type TargetCancel struct {
	Target TargetID
	Flow   FlowID
	ID     RequestID
}

// FlowEnd notifies a target that a flow was closed or moved to another target.
type FlowEnd struct {
	Target TargetID
	Flow   FlowID
}

// Shed is a target's refusal of a request that it did not start, or its confirmation that
// it stopped a request after TargetCancel. The target sends no Answer for the request.
type Shed struct {
	Target  TargetID
	Flow    FlowID
	ID      RequestID
	Attempt uint32
	Started bool // the request was running when it was stopped
}

// TargetReport is the result of polling the health and load endpoints of a target. It may
// be out of date or wrong.
type TargetReport struct {
	Target   TargetID
	Reached  bool // the endpoints answered
	Healthy  bool
	Draining bool
	Cold     bool
	InFlight int // requests
}

func (*Open) isBody()         {}
func (*Bound) isBody()        {}
func (*Request) isBody()      {}
func (*Answer) isBody()       {}
func (*Refusal) isBody()      {}
func (*Cancel) isBody()       {}
func (*Close) isBody()        {}
func (*Forward) isBody()      {}
func (*KindClosed) isBody()   {}
func (*Dispatch) isBody()     {}
func (*TargetCancel) isBody() {}
func (*FlowEnd) isBody()      {}
func (*Shed) isBody()         {}
func (*TargetReport) isBody() {}
