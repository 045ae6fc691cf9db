package relay

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/revision"
)

// Way is how changes have reached a VM.
type Way uint8

// The ways.
const (
	Watched      Way = iota // a watch of the store
	ReadKeys                // a read of all keys of the store
	ReadSnapshot            // the snapshot in the store, and the changes after it
	FromRelay               // a heartbeat of the relay of a failure domain
	FromBranch              // a heartbeat of another VM
	Pulled                  // a pull from another VM
	PulledSeed              // a pull from a seed
)

// Ways is the number of ways.
const Ways = int(PulledSeed) + 1

// String returns the way as it appears in logs.
func (w Way) String() string {
	return [...]string{"watch", "read", "snapshot", "relay", "branch", "pull", "seed"}[w]
}

// Source is the origin of an update.
type Source struct {
	Way Way
	VM  string // that sent it; empty for the store
}

// Arrival describes an update that changed the replica, and what the VM had done before to get
// it.
type Arrival struct {
	Source
	Revision revision.Revision // of the replica after the update
	Keys     int               // that changed
	// Behind is the time since the replica was last known to match the store, by the update before
	// this one. No change of this update was acknowledged earlier. It is 0 for the first update.
	Behind time.Duration
	// Known is the time since the VM has learned that it lacks changes; 0 if this update was the
	// first to show it.
	Known time.Duration
	// PullsFailed and CallsFailed count the pulls and the calls to the store that failed since the
	// last update that changed the replica.
	PullsFailed, CallsFailed int
}

// waits is what a machine has done since the last update that changed the replica.
type waits struct {
	knownAt                  time.Duration // time at which a later revision became known, valid if isKnown
	isKnown                  bool
	pullsFailed, callsFailed int
}

// learnOfLater records that a VM has reported a later revision than that of the replica.
func (m *Machine) learnOfLater(now time.Duration, r revision.Revision) {
	m.latestKnown = max(m.latestKnown, r)
	if !m.waits.isKnown {
		m.waits.isKnown, m.waits.knownAt = true, now
	}
}

// LacksChanges reports whether another VM has a later revision than this one, as far as this one
// knows.
func (m *Machine) LacksChanges() bool { return m.latestKnown > m.replica.Revision() }

// recordArrival adds an update that changed the given number of keys to the output.
// confirmedAt is the last confirmation before it, if there was one.
func (m *Machine) recordArrival(now time.Duration, source Source, keys int, confirmedAt time.Duration, hadConfirmed bool) {
	a := Arrival{Source: source, Revision: m.replica.Revision(), Keys: keys, PullsFailed: m.waits.pullsFailed, CallsFailed: m.waits.callsFailed}
	if hadConfirmed {
		a.Behind = now - confirmedAt
	}
	if m.waits.isKnown {
		a.Known = now - m.waits.knownAt
	}
	m.waits = waits{}
	m.arrivals = append(m.arrivals, a)
}

// TakeArrivals returns the updates that have changed the replica since the last call, in order.
func (m *Machine) TakeArrivals() []Arrival {
	list := m.arrivals
	m.arrivals = nil
	return list
}

// sourceOf returns the source of a heartbeat with items. p is the sender, nil if it is not known.
func (m *Machine) sourceOf(now time.Duration, p *peer, b Heartbeat) Source {
	if p != nil && m.members.relay(now, m.intervals.deadAfter, b.Domain) == p {
		return Source{Way: FromRelay, VM: b.Name}
	}
	return Source{Way: FromBranch, VM: b.Name}
}
