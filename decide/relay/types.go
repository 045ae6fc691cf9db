package relay

import (
	"net/netip"
	"time"
)

// Load is work that comes from the VMs of one failure domain to the targets of a
// service in the same or another one.
type Load struct {
	Domain         string // of the VMs
	TargetDomain   string // failure domain of the targets
	Service        string
	Flows          uint32 // open flows
	ActiveRequests uint32 // requests in progress
}

// Sample is what VMs have seen of requests at one target lately.
type Sample struct {
	TargetCookie uint32 // its cookie
	Requests     float32
	Failures     float32
}

// Confirmation says that Revision was the newest in the store Age ago.
type Confirmation struct {
	Revision int64 // 0: nothing is known
	Age      time.Duration
	// SinceRegained, if HasRegained, is how long ago the store came back after an outage.
	// Entries that lapsed meanwhile may still be missing.
	SinceRegained time.Duration
	HasRegained   bool
}

// Heartbeat is one datagram between VMs.
type Heartbeat struct {
	Name      string
	Domain    string
	Reply     bool  // the sender was asked, or tells news
	Revision  int64 // everything up to it is in the sender's copy
	Confirmed Confirmation
	Loads     []Load
	// Samples are of the sender or, in an answer, of its failure domain. A beat with
	// items has none.
	Samples []Sample
	// Items, with HasItems, are what was written after After and up to Revision, when
	// it is little. A receiver that has everything up to After needs no pull.
	HasItems bool
	After    int64
	Items    []Item
}

// Update is a part of another copy: the answer of the store or of a pull.
type Update struct {
	Revision  int64
	Confirmed Confirmation
	Items     []Item
	Complete  bool // Items hold every key
}

// Outgoing is a beat to send.
type Outgoing struct {
	To        netip.AddrPort
	Heartbeat Heartbeat
}

// Pull asks for what was written after a revision.
type Pull struct {
	From  netip.AddrPort
	Name  string // of the VM
	After int64
}

// Output is what a machine wants done.
type Output struct {
	Heartbeats []Outgoing
	Pull       *Pull
	Changes    []Item // changes of the copy, in order
	// StoreLost and StoreRegained say that knowledge of the store became too old or new again.
	StoreLost     bool
	StoreRegained bool
	// RemoveEntry is the entry of a VM that is long dead; its revision is that which may
	// be deleted.
	RemoveEntry *Item
}

// Config is what a machine knows of itself.
type Config struct {
	Self         Member
	MemberPrefix string // of the keys of VMs
	// Seeds are addresses for pulls of some VMs, which may be down. A VM that starts
	// while the store does not answer gets its first copy from one of them.
	Seeds []netip.AddrPort
	// VMsPerBranch is the number of VMs of a domain for each branch; 0 is 64. A domain with
	// fewer has its relay only.
	VMsPerBranch int
	// MaxAge is the age of the knowledge of the store at which the VM watches it.
	MaxAge time.Duration
}
