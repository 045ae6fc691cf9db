// Package notice holds the decisions of a VM that an operator should hear of, as
// data. Decisions about single flows and requests are counted, not noticed.
package notice

import "time"

// Kind is what has happened.
type Kind uint8

// The kinds. The comment names the fields that a notice of the kind has.
const (
	TargetTakenOver  Kind = iota + 1 // Target, Flows: the VM owns the target with a new epoch
	TargetHandedOver                 // Target, VM, Flows: the VM's handover was confirmed
	HandoverReceived                 // Target, VM, Flows: a handover was merged
	EpochsRevoked                    // Target, VM, Flows: epochs given up after an unconfirmed handover
	Ejected                          // Target: out of service for health
	Restored                         // Target: back in service
	TargetLost                       // Target, Flows: the target crashed
	MovesStarted                     // Target, Flows: flows begin to leave the target
	MovesFinished                    // Target, Flows: no flow is left at the leaving target
	MoveAbandoned                    // Target, VM, Flows: the receiver never confirmed
	Paused                           // Gap: the VM itself did not run
	MemberSuspect                    // VM
	MemberDead                       // VM
	MemberBack                       // VM: it was suspect, leaving or dead
	MemberLeaving                    // VM
	TableInForce                     // Revision
	TableRejected                    // Key, Revision, Err: a malformed entry of the table
	LeaveStarted                     // Flows: of all owned targets
	LeaveFinished                    // Gap: since LeaveStarted
	Dropped                          // Count: notices that found the list full
	// NumKinds is the number of kinds, counting the unused 0.
	NumKinds
)

// Notice is one decision. Fields that its kind does not name are zero.
type Notice struct {
	Kind     Kind
	Target   string // service and target, "service/target"
	VM       string // name of the other VM
	Flows    int
	Gap      time.Duration
	Revision uint64
	Key      string // at most MaxKey bytes
	Err      error
	Count    uint64
}

const (
	// Capacity is the number of notices that a list holds. A VM of the largest
	// fleet owns about 11 targets, so one change stays far below it.
	Capacity = 256
	// MaxKey is the longest key in a notice, in bytes. Keys come from outside.
	MaxKey = 256
)

// List is a bounded list of notices. The zero value is empty.
type List struct {
	notices []Notice
	dropped uint64
}

// Add appends a notice, or counts it when the list is full.
func (l *List) Add(n Notice) {
	if len(l.notices) >= Capacity {
		l.dropped++
		return
	}
	n.Key = n.Key[:min(len(n.Key), MaxKey)]
	l.notices = append(l.notices, n)
}

// Take calls yield for every notice, oldest first, and empties the list. When
// notices were dropped, the last one is of kind Dropped.
func (l *List) Take(yield func(Notice)) {
	for i := range l.notices {
		yield(l.notices[i])
	}
	clear(l.notices)
	l.notices = l.notices[:0]
	if l.dropped > 0 {
		yield(Notice{Kind: Dropped, Count: l.dropped})
		l.dropped = 0
	}
}
