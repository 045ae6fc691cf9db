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

// Member is the gossip record of one VM.
type Member struct {
	ID          VMID
	Name        string
	Domain      DomainID
	Data        netip.AddrPort // UDP address for forwarded datagrams
	Control     netip.AddrPort // TCP address for control links (yamux)
	Incarnation uint64
	State       MemberState
}

// Heartbeat probes a neighbour, which answers with a HeartbeatAck, and carries gossip.
type Heartbeat struct {
	Sequence     uint64
	Self         Member
	Updates      []Member
	TableVersion uint64 // highest revision in the sender's table
	TableHash    uint64
	DigestDomain DomainID // failure domain that Digest covers; 0: none
	Digest       uint64   // hash of the ids and incarnations of its live members
}

// HeartbeatAck answers a Heartbeat. The fields are those of Heartbeat.
type HeartbeatAck struct {
	Sequence     uint64
	Self         Member
	Updates      []Member
	TableVersion uint64
	TableHash    uint64
	DigestDomain DomainID
	Digest       uint64
}

// MembersPull requests all members. A joining VM sends it.
type MembersPull struct{}

// Members answers MembersPull.
type Members struct {
	All []Member
}

// DomainPull requests the live members of a failure domain on which sender and receiver
// differ. Members are assigned to buckets by a hash of their ids.
type DomainPull struct {
	Domain  DomainID
	Buckets []uint32 // digest of each bucket of the sender's live members
}

// DomainMembers answers DomainPull. Its size is bounded: it lists the members of the
// first Listed differing buckets, and the requester pulls again for the others.
type DomainMembers struct {
	Domain    DomainID
	Buckets   uint32   // number of buckets in the DomainPull
	Differing []uint32 // indexes of all differing buckets
	Listed    uint32   // number of them that Members covers
	Members   []Member // live members of these buckets
}

// TableEntry is one key of the operators' table as stored. A nil Value means that the key
// was deleted.
type TableEntry struct {
	Key      string
	Value    []byte
	Revision int64 // store revision of the last write to Key
}

// TablePull requests the entries with a revision above Since.
type TablePull struct {
	Since int64
}

// TableDelta carries table entries. Entries may be duplicated, and deltas may arrive in
// any order.
type TableDelta struct {
	Entries []TableEntry
	More    bool // further deltas follow in answer to the same pull
}

// LoadReport reports the load of a target to the other owners of its service.
type LoadReport struct {
	Service ServiceID
	Target  TargetID
	Flows   uint32
	Weight  uint32
	Ejected bool // out of service after failed health checks
}

// FlowRecord is one flow in a handover.
type FlowRecord struct {
	Flow    FlowID
	Service ServiceID
	Floor   RequestID // all requests with this id or a lower one have ended
	Idle    time.Duration
	Fresh   bool    // no request was dispatched to the target yet
	Epochs  []Epoch // accepted for this flow in addition to the target's epochs
}

// LogRecord is one entry of the request log in a handover.
type LogRecord struct {
	Key        RequestKey
	Attempt    uint32
	State      uint8 // a requestlog.State
	ExpiresIn  time.Duration
	Idempotent bool
}

// QueuedRequest is one queued request in a handover, with all its parts.
type QueuedRequest struct {
	Caller  netip.AddrPort
	Ingress VMID
	Parts   []Request
}

// Handover transfers the ownership of a target. It is sent in chunks, the last of which
// has Last set. After the first chunk the sender dispatches no requests to the target.
// With Source set it transfers only the listed flows, from target Source to Target. Epochs
// is then empty, and each flow lists the epochs accepted for it.
//
// Reply is the sender's control address, since the receiver may not have its member record
// yet. Service, Domain, Addr and Limit are the target's table row, for a receiver whose
// table does not contain it because it was removed or has not arrived yet.
type Handover struct {
	Target   TargetID
	Reply    netip.AddrPort
	Service  ServiceID
	Domain   DomainID
	Addr     netip.AddrPort
	Limit    uint32
	Source   TargetID
	Transfer uint64 // random id, the same in all chunks
	Chunk    uint32 // from 0
	Last     bool
	Epochs   []Epoch // epochs for which this handover contains the complete request log
	Flows    []FlowRecord
	Log      []LogRecord
	Queue    []QueuedRequest
	InFlight []InFlightRecord
	Moved    []MovedRecord
}

// MovedRecord is a flow that has moved from a draining target to another one.
type MovedRecord struct {
	Flow   FlowID
	To     TargetID
	EndsIn time.Duration // packets of the flow are forwarded until then
}

// InFlightRecord is a request that the previous owner has dispatched to the target.
type InFlightRecord struct {
	Key     RequestKey
	Attempt uint32
	Caller  netip.AddrPort
	EndsIn  time.Duration // the slot is freed by then at the latest
}

// HandoverAck accepts or rejects a complete handover.
type HandoverAck struct {
	Target   TargetID
	Transfer uint64
	Accepted bool
}

// Released forwards, to the new owner, the message that the previous owner received from
// a target about a request in flight at the handover. Exactly one of Answer and Shed is
// set.
type Released struct {
	Target TargetID
	Answer *Answer
	Shed   *Shed
}

// VMList is the platform's list of VMs. It may be out of date.
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

// IsControl reports whether body is sent between VMs on a control link. All other bodies are
// sent as datagrams, but for VMList and TargetReport, which do not leave the process.
func IsControl(body Body) bool {
	switch body.(type) {
	case *Heartbeat, *HeartbeatAck, *MembersPull, *Members, *DomainPull, *DomainMembers, *TablePull, *TableDelta,
		*LoadReport, *Handover, *HandoverAck, *Released:
		return true
	default:
		return false
	}
}
