package relay

import (
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/halfopen"
	"github.com/gypsumspan/gypsumspan/decide/revision"
)

// Load is the work that the VMs of one failure domain send to the targets of a
// service in the same or another failure domain.
type Load struct {
	Domain         string // failure domain of the VMs
	TargetDomain   string // failure domain of the targets
	Service        string
	Flows          uint32 // open flows
	ActiveRequests uint32 // requests in progress
}

// Sample counts the recent requests that VMs have observed at one target. The counts
// decay, so they are not whole numbers.
type Sample struct {
	TargetCookie uint32 // identifies the target
	Requests     float32
	Failures     float32
}

// Grant allows one process of a VM to send new flows to a cold target.
type Grant struct {
	TargetCookie uint32 // identifies the target
	Born         int64  // start of the target that the grant is for, in Unix milliseconds
	Tokens       uint32 // new flows in any second
}

// UnansweredSYN says that a target has left a SYN of a VM unanswered.
type UnansweredSYN struct {
	TargetCookie uint32 // identifies the target
	VM           string // name
}

// TargetReport is the load that VMs put on one target, and how fast it has responded to
// them. Requests and RelativeTime decay, so they are not whole numbers.
type TargetReport struct {
	TargetCookie   uint32 // identifies the target
	Flows          uint32 // open flows
	ActiveRequests uint32 // requests in progress
	Requests       float32
	RelativeTime   float32 // sum over Requests of response time divided by the route's mean
}

// ReceivedReport is what the other VMs of the failure domain report of a target.
type ReceivedReport struct {
	TargetReport
	At time.Duration // of its receipt
}

// Confirmation states that Revision was the newest revision in the store Age ago.
type Confirmation struct {
	Revision revision.Revision // 0 if the sender has no confirmation
	Age      time.Duration
	// SinceRegained is the time since the store became reachable after an outage. It is
	// valid if HasRegained is set. Entries that expired during the outage may not have
	// been written again yet.
	SinceRegained time.Duration
	HasRegained   bool
}

// Heartbeat is one datagram between VMs: a poll, the reply to one, or a notification
// of changes.
type Heartbeat struct {
	Name      string            // of the sender
	Domain    string            // failure domain of the sender
	Reply     bool              // a reply or a notification; the receiver does not reply to it
	Revision  revision.Revision // the sender's replica holds every write up to this revision
	Confirmed Confirmation
	Loads     []Load
	// Samples are those of the sender or, in a reply, of its failure domain. A heartbeat
	// with items carries no samples.
	Samples []Sample
	// Boot is a random number of the sender's process; 0: the sender's build has none.
	Boot uint64
	// Grants are all those of the process with Boot Grantee at the receiver, in a reply of the
	// VM that it polls.
	Grants  []Grant
	Grantee uint64
	// Reports are those of the sender or, in a reply, of its failure domain.
	Reports []TargetReport
	// Unopened are flows that have not opened at the sender, for VMs at which they may have, and Opened
	// flows that have opened there, for VMs to which routers may move them. With Keep the receiver is a
	// keeper of all of them; see package halfopen.
	Unopened []halfopen.Unopened
	Opened   []halfopen.Opened
	Keep     bool
	// UnansweredBy are the cookies of targets that have just left a SYN of the sender unanswered.
	UnansweredBy []uint32
	// Items are the writes after revision After and up to Revision. They are included,
	// and HasItems is set, if they fit into the datagram. A receiver whose replica has
	// reached After merges them and needs no pull.
	HasItems bool
	After    revision.Revision
	Items    []Item
	// WithoutEra is set if the sender's build knows no eras. All its revisions have era 0.
	WithoutEra bool
}

// Update is an answer of the store, or of another VM to a pull.
type Update struct {
	Revision  revision.Revision
	Confirmed Confirmation
	Items     []Item
	Complete  bool   // Items hold every existing key
	Source    Source // how it has reached this VM; not sent to others
	// WithoutEra is set if the sender's build knows no eras. All its revisions have era 0.
	WithoutEra bool
}

// Outgoing is a heartbeat to send.
type Outgoing struct {
	To        netip.AddrPort
	Heartbeat Heartbeat
}

// Pull asks another VM for the writes after a revision.
type Pull struct {
	From  netip.AddrPort    // pull address of the other VM
	Name  string            // name of the other VM
	After revision.Revision // revision of this VM's replica, 0 if it is empty
}

// Output lists the actions that a Machine requests of its caller.
type Output struct {
	Heartbeats []Outgoing
	Pull       *Pull
	Changes    []Item // changes of the replica, in order
	// EraChanges are the returns of the store from an older copy that this VM has learned of,
	// in order. Each precedes the Changes whose revisions are of its era.
	EraChanges []EraChange
	// StoreLost is set once when a call to the store failed or the last confirmation
	// reached MaxAge, but not before the first confirmation. StoreRegained is set when a
	// confirmation younger than MaxAge arrives after that, when another VM reports the end of
	// an outage that this VM has not noticed, and when the store has entered a new era.
	// RegainedAt is the end of the outage by this VM's clock; it may be before the VM's start.
	StoreLost     bool
	StoreRegained bool
	// StoreLostLast is set if both are set and the store was lost after it was regained.
	StoreLostLast bool
	RegainedAt    time.Duration
	// RetryNow is set when the VM has to read the store itself since it knows that it lacks changes
	// and another VM did not deliver them. A failed call to the store is then repeated at once: the
	// other VM has got the changes from it.
	RetryNow bool
	// RemoveEntry is the store entry of a dead VM, to be deleted if the entry is still at
	// the item's revision.
	RemoveEntry *Item
	// Snapshot is to be written to the store if the key is still at its revision.
	Snapshot *Snapshot
	// Grants are those that this process has received.
	Grants []Grant
	// Unopened are flows that other VMs have sent a SYN of, and Opened flows that have opened at other
	// VMs.
	Unopened []halfopen.Unopened
	Opened   []halfopen.Opened
	// Unanswered are targets that have left SYNs of other VMs unanswered.
	Unanswered []UnansweredSYN
}

// EraChange is a rise of the store's era.
type EraChange struct {
	Before, After uint32
}

// Config configures a Machine.
type Config struct {
	Self         Member
	MemberPrefix string // prefix of the keys of the VMs' entries
	// Seeds are the pull addresses of a few VMs, some of which may be down. A VM that
	// starts while the store is unreachable fetches its first replica from one of them.
	Seeds []netip.AddrPort
	// VMsPerBranch is the number of VMs of a domain for each VM that answers polls, which
	// is the relay or a branch. 0 stands for the default of 64. A domain with no more VMs
	// has no branches.
	VMsPerBranch int
	// SnapshotKey is the key of the snapshot in the store; with an empty one there are no
	// snapshots. SnapshotInterval is the minimum time between two. A snapshot is of use
	// while the store keeps the changes after it, so the interval has to be shorter.
	// A catalog of fewer keys than SnapshotMinKeys gets none.
	SnapshotKey      string
	SnapshotInterval time.Duration
	SnapshotMinKeys  int
	// MaxAge is the age of the last confirmation at which the VM watches the store
	// itself.
	MaxAge time.Duration
	// Boot is a random number of the process. With 0 the process gets no grants.
	Boot uint64
	// NoReports turns the exchange of reports of single targets off.
	NoReports bool
}
