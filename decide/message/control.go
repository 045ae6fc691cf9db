package message

import (
	"net/netip"
	"time"
)

// MemberState is the state of a VM as another VM sees it.
type MemberState uint8

// The states of a member. Among records of one incarnation the higher state wins.
const (
	MemberAlive MemberState = iota + 1
	MemberSuspect
	MemberLeaving
	MemberDead
)

// Member is the record of one VM in the gossip.
type Member struct {
	ID          VMID
	Name        string
	Domain      DomainID
	Data        netip.AddrPort // UDP, forwarded datagrams
	Control     netip.AddrPort // TCP, yamux
	Incarnation uint64
	State       MemberState
}

// Heartbeat asks a neighbour for a HeartbeatAck and carries gossip.
type Heartbeat struct {
	Sequence     uint64
	Self         Member
	Updates      []Member
	TableVersion uint64 // highest revision in the sender's table
	TableHash    uint64
	DigestDomain DomainID // failure domain of Digest, 0 for none
	Digest       uint64   // of the ids and incarnations of its live members
}

// HeartbeatAck answers a Heartbeat.
type HeartbeatAck struct {
	Sequence     uint64
	Self         Member
	Updates      []Member
	TableVersion uint64
	TableHash    uint64
	DigestDomain DomainID
	Digest       uint64
}

// MembersPull asks for all members; a VM that joins sends it.
type MembersPull struct{}

// Members answers MembersPull.
type Members struct {
	All []Member
}

// DomainPull asks for what differs in the live set of a failure domain. Members
// fall into buckets by a hash of their ids.
type DomainPull struct {
	Domain  DomainID
	Buckets []uint32 // digest of each bucket of the sender's live set
}

// DomainMembers answers DomainPull. The answer is bounded: it holds the members
// of the first Listed differing buckets; the rest is asked for again.
type DomainMembers struct {
	Domain    DomainID
	Buckets   uint32   // number of buckets of the question
	Differing []uint32 // all buckets that differ
	Listed    uint32   // how many of them Members covers
	Members   []Member // live members of these buckets
}

// TableEntry is one key of the operators' table as the store holds it. A nil
// Value is a deletion.
type TableEntry struct {
	Key      string
	Value    []byte
	Revision int64 // the store's revision of the last write to Key
}

// TablePull asks for the entries with a revision above Since.
type TablePull struct {
	Since int64
}

// TableDelta carries table entries. It may repeat entries and come in any order.
type TableDelta struct {
	Entries []TableEntry
	More    bool // further deltas of the same answer follow
}

// LoadReport tells the other owners of a service how loaded a target is.
type LoadReport struct {
	Service ServiceID
	Target  TargetID
	Flows   uint32
	Weight  uint32
	Ejected bool // taken out of service for health
}

// FlowRecord is one flow in a handover.
type FlowRecord struct {
	Flow    FlowID
	Service ServiceID
	Floor   RequestID // requests at or below have ended
	Idle    time.Duration
	Fresh   bool    // nothing was dispatched to the target yet
	Epochs  []Epoch // stamps accepted for this flow beside the target's epochs
}

// LogRecord is one request log entry in a handover.
type LogRecord struct {
	Key        RequestKey
	Attempt    uint32
	State      uint8 // a requestlog.State
	ExpiresIn  time.Duration
	Idempotent bool
}

// QueuedRequest is one waiting request in a handover, with all its parts.
type QueuedRequest struct {
	Caller  netip.AddrPort
	Ingress VMID
	Parts   []Request
}

// Handover moves the ownership of a target. It comes in chunks; the last chunk
// has Last set. The sender dispatches nothing for the target after the first.
// With Source set it moves only the listed flows, from target Source to Target;
// Epochs is then empty and each flow names the stamps accepted for it.
//
// Reply is the sender's control address, since the receiver may not know it yet.
// Service, Domain, Addr and Limit are the target's row, for a receiver whose table
// does not have it: the row was removed, or is on its way.
type Handover struct {
	Target   TargetID
	Reply    netip.AddrPort
	Service  ServiceID
	Domain   DomainID
	Addr     netip.AddrPort
	Limit    uint32
	Source   TargetID
	Transfer uint64 // random, the same in all chunks
	Chunk    uint32 // from 0
	Last     bool
	Epochs   []Epoch // epochs whose whole request log is in this handover
	Flows    []FlowRecord
	Log      []LogRecord
	Queue    []QueuedRequest
	InFlight []InFlightRecord
	Moved    []MovedRecord
}

// MovedRecord is a flow that has moved from a leaving target to another one.
type MovedRecord struct {
	Flow   FlowID
	To     TargetID
	EndsIn time.Duration // packets of the flow are passed on until then
}

// InFlightRecord is a request that the old owner has at the target.
type InFlightRecord struct {
	Key     RequestKey
	Attempt uint32
	Caller  netip.AddrPort
	EndsIn  time.Duration // the slot is free after this at the latest
}

// HandoverAck confirms a whole handover.
type HandoverAck struct {
	Target   TargetID
	Transfer uint64
	Accepted bool
}

// Released passes on what a target says to the previous owner about a request
// that was in flight at a handover. Exactly one field beside Target is set.
type Released struct {
	Target TargetID
	Answer *Answer
	Shed   *Shed
}

// VMList is the platform's list of VMs. It lags.
type VMList struct {
	Members []Member
}

func (*Heartbeat) isBody()     {}
func (*HeartbeatAck) isBody()  {}
func (*MembersPull) isBody()   {}
func (*Members) isBody()       {}
func (*DomainPull) isBody()    {}
func (*DomainMembers) isBody() {}
func (*TablePull) isBody()     {}
func (*TableDelta) isBody()    {}
func (*LoadReport) isBody()    {}
func (*Handover) isBody()      {}
func (*HandoverAck) isBody()   {}
func (*Released) isBody()      {}
func (*VMList) isBody()        {}

// IsControl reports whether body travels between VMs on a control link. All
// other bodies are datagrams.
func IsControl(body Body) bool {
	switch body.(type) {
	case *Heartbeat, *HeartbeatAck, *MembersPull, *Members, *DomainPull, *DomainMembers, *TablePull, *TableDelta,
		*LoadReport, *Handover, *HandoverAck, *Released:
		return true
	default:
		return false
	}
}
