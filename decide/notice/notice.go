// Package notice defines records of the decisions of a VM that are logged for operators.
// Decisions about single flows and requests have no notices; they are only counted in
// metrics.
package notice

import "time"

// Kind is the kind of a notice.
type Kind uint8

// The kinds of notices. Each comment lists the fields that are set.
const (
	TargetTakenOver    Kind = iota + 1 // Target, Flows: the VM owns the target with a new epoch
	TargetHandedOver                   // Target, VM, Flows: the VM's handover was confirmed
	HandoverReceived                   // Target, VM, Flows: a handover was merged
	EpochsRevoked                      // Target, VM, Flows: its epochs were revoked after an unconfirmed handover
	TargetEjected                      // Target: out of service after failed health checks
	TargetRestored                     // Target: back in service
	TargetLost                         // Target, Flows: the target crashed
	MovesStarted                       // Target, Flows: flows start to move away from a draining target
	MovesFinished                      // Target, Flows: the draining target has no flows
	MoveAbandoned                      // Target, VM, Flows: the receiver did not confirm the moved flows
	VMPaused                           // Duration: this VM was not scheduled for this long
	MemberSuspect                      // VM
	MemberDead                         // VM
	MemberBack                         // VM: alive again after it was suspect, leaving or dead
	MemberLeaving                      // VM
	TableInForce                       // Revision: of the table that now applies
	TableEntryRejected                 // Key, Revision, Err: malformed table entry
	LeaveStarted                       // Flows: of all owned targets
	LeaveFinished                      // Duration: time since LeaveStarted
	NoticesDropped                     // Count: notices dropped because the list was full
	// NumKinds is the number of kinds, including the unused 0.
	NumKinds
)

// Notice is one decision. Fields not listed at its kind are zero.
type Notice struct {
	Kind     Kind
	Target   string // "service/target"
	VM       string // name of the other VM
	Flows    int
	Duration time.Duration
	Revision uint64
	Key      string // at most MaxKey bytes
	Err      error
	Count    uint64
}

const (
	// Capacity is the maximum number of notices in a list. In the largest fleet a VM owns
	// about 11 targets, so that one change causes far fewer notices.
	Capacity = 256
	// MaxKey is the length in bytes to which keys are truncated, since they are external
	// input.
	MaxKey = 256
)

// List is a bounded list of notices. The zero value is empty.
type List struct {
	notices []Notice
	dropped uint64
}

// Add appends a notice, or counts it as dropped when the list is full.
func (l *List) Add(n Notice) {
	if len(l.notices) >= Capacity {
		l.dropped++
		return
	}
	n.Key = n.Key[:min(len(n.Key), MaxKey)]
	l.notices = append(l.notices, n)
}

// Take calls yield for every notice, oldest first, and empties the list. If notices were
// dropped, the last call has a notice of kind NoticesDropped with their number.
func (l *List) Take(yield func(Notice)) {
	for i := range l.notices {
		yield(l.notices[i])
	}
	clear(l.notices)
	l.notices = l.notices[:0]
	if l.dropped > 0 {
		yield(Notice{Kind: NoticesDropped, Count: l.dropped})
		l.dropped = 0
	}
}
