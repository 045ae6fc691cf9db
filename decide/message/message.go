package message

import (
	"net/netip"
	"time"
)

// Limits of the frame.
const (
	// MaxPayload is the largest payload of one datagram, in bytes. With the
	// envelope it stays below an Ethernet MTU of 1,500 bytes.
	MaxPayload = 1200
	// MaxParts is the largest number of parts of a request or an answer.
	MaxParts = 64
	// MaxHops is the largest number of times a datagram is forwarded between VMs.
	// A flow that was idle while every target was replaced is found after up to
	// 3 passes along its earlier targets and a search over 10 ranks; 6 hops lost
	// 3 of 8,100 such flows.
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

// Open asks for a binding. It starts a flow and has no side effect on targets.
// With Refresh set it asks for the current binding of a flow that exists.
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
	Attempt    uint32        // from 1; higher only after "not run", or for idempotent work
	Deadline   time.Duration // time left until the caller gives up
	Part       uint16        // from 0
	Parts      uint16        // at least 1
	Binding    Binding
	Payload    []byte
}

// Key returns the request's key.
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

// RefusalReason says what is known about a refused request.
type RefusalReason uint8

// The reasons of refusals.
const (
	// NotRun: the request was not dispatched and this attempt never will be.
	NotRun RefusalReason = iota + 1
	// MayHaveRun: it can't be proved that the request was not dispatched.
	MayHaveRun
	// FlowUnknown: the flow's target was lost, or no VM knows the flow.
	FlowUnknown
	// Busy: this copy of the datagram was dropped. It is not final, since another
	// copy of the attempt may have taken another path.
	Busy
	// NumReasons is the number of reasons, counting the unused 0.
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

// Cause says why a request was refused, for logs, metrics and explanations.
type Cause uint8

// The causes of refusals.
const (
	CauseNone         Cause = iota
	CauseNoStamp            // request without an epoch
	CauseStaleEpoch         // epoch of another ownership
	CauseQueueFull          // queue limit of the target or kind
	CauseDeadline           // can't finish before the deadline
	CauseKindClosed         // refused by the ingress while the kind is closed
	CauseNoTarget           // no target takes new flows
	CauseTargetLost         // the target crashed or shed the request
	CauseUnreachable        // the owner or target can't be reached now
	CauseUnknownFlow        // no VM along the ranking knows the flow
	CauseUnknownTable       // service or kind is not in the table
	CauseLogEvicted         // log entry or recorded answer is gone
	CauseOwnerMoved         // ownership was given up while the request waited
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
	ID         RequestID // 0: refuses an Open
	Attempt    uint32
	Reason     RefusalReason
	Cause      Cause
	RetryAfter time.Duration
	Binding    Binding // current binding, if known
}

// Cancel withdraws a request.
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

// Forward carries a caller's message from the VM that received it to the
// target's owner, as one datagram.
type Forward struct {
	Ingress VMID
	Caller  netip.AddrPort
	Hops    uint8
	Target  TargetID // whose owner shall handle it
	Hinted  bool     // Target comes from the binding, not only from the ranking
	// RowUnknown is set when the ingress has no row of the target in the binding.
	// The first VM on the way that has one sets Hinted instead.
	RowUnknown bool
	Inner      Body // *Open, *Request, *Cancel or *Close
}

// KindClosed tells an ingress for how long a target's owner wants no more work
// of one kind. It is a datagram.
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

// TargetCancel withdraws a dispatched request at the target.
type TargetCancel struct {
	Target TargetID
	Flow   FlowID
	ID     RequestID
}

// FlowEnd tells a target that a flow is closed or has moved away.
type FlowEnd struct {
	Target TargetID
	Flow   FlowID
}

// Shed is a target's refusal of a request that it did not start, or its word
// that it stopped a request after TargetCancel. It sends no further answer.
type Shed struct {
	Target  TargetID
	Flow    FlowID
	ID      RequestID
	Attempt uint32
	Started bool // the request was running when it was stopped
}

// TargetReport is what a target's health and load endpoints say, or that they
// did not answer. It may lag or mislead.
type TargetReport struct {
	Target   TargetID
	Reached  bool
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
