package relay

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/revision"
)

const (
	snapshotKey      = "snapshot"
	snapshotInterval = 10 * time.Second
)

// newSnapshotMachine returns a VM of a domain that knows one VM of domain "b", and is the
// relay of its own domain after relayStartDelay.
func newSnapshotMachine(domain string) *Machine {
	self := Member{Name: "vm-1", Domain: domain, HeartbeatAddr: netip.MustParseAddrPort("10.0.0.1:1"), PullAddr: netip.MustParseAddrPort("10.0.0.1:2")}
	other := Member{Name: "vm-2", Domain: "b", HeartbeatAddr: netip.MustParseAddrPort("10.0.0.2:1"), PullAddr: netip.MustParseAddrPort("10.0.0.2:2")}
	m := New(Config{Self: self, MemberPrefix: prefix, MaxAge: maxAge, SnapshotKey: snapshotKey, SnapshotInterval: snapshotInterval})
	m.HandleStoreUpdate(0, 0, Update{Revision: 5, Complete: true, Items: []Item{{Key: other.Key(prefix), Value: other.Value(), Revision: 4}, {Key: "targets/t", Revision: 5}}})
	return m
}

// snapshotAt returns the snapshot that m requests at now, after a confirmation.
func snapshotAt(m *Machine, now time.Duration) *Snapshot {
	m.HandleStoreUpdate(now, 0, Update{Revision: m.Replica().Revision()})
	m.Tick(now)
	return m.TakeOutput().Snapshot
}

// Guards against a snapshot that is missing, not complete, written by every relay, or
// written again without a change.
func TestSnapshotsAreWritten(t *testing.T) {
	is := is.New(t)
	first, last := newSnapshotMachine("a"), newSnapshotMachine("c")
	is.Equal(snapshotAt(first, relayStartDelay/2), nil) // not the relay yet
	s := snapshotAt(first, relayStartDelay)
	is.True(s != nil)
	is.Equal(s.Revision, revision.Revision(0))
	is.Equal(s.Update.Revision, revision.Revision(5))
	is.True(s.Update.Complete)
	is.Equal(len(s.Update.Items), 2)
	is.Equal(snapshotAt(last, relayStartDelay), nil) // the turn of domain a

	written := Update{Revision: 6, Items: []Item{{Key: snapshotKey, Revision: 6}}}
	first.HandleStoreUpdate(2*time.Second, 0, written)
	last.HandleStoreUpdate(2*time.Second, 0, written)
	is.Equal(first.Replica().Revision(), revision.Revision(6))
	is.Equal(first.Replica().Len(), 2) // the snapshot is no part of the replica
	is.Equal(snapshotAt(first, time.Minute), nil)

	change := Update{Revision: 7, Items: []Item{{Key: "targets/u", Revision: 7}}}
	first.HandleStoreUpdate(time.Minute, 0, change)
	last.HandleStoreUpdate(time.Minute, 0, change)
	s = snapshotAt(first, time.Minute)
	is.True(s != nil)
	is.Equal(s.Revision, revision.Revision(6)) // replaces the one it knows
	is.Equal(snapshotAt(first, time.Minute+time.Second), nil)
	// Domain a is gone: the relay of domain c takes its turn.
	s = snapshotAt(last, time.Minute)
	is.True(s != nil)
	is.Equal(s.Revision, revision.Revision(6))
}

// Guards against snapshots of a catalog that is read in one call without them.
func TestNoSnapshotOfFewKeys(t *testing.T) {
	is := is.New(t)
	m := newSnapshotMachine("a")
	m.config.SnapshotMinKeys = 3
	is.Equal(snapshotAt(m, relayStartDelay), nil)
	m.HandleStoreUpdate(time.Minute, 0, Update{Revision: 7, Items: []Item{{Key: "targets/u", Revision: 7}}})
	is.True(snapshotAt(m, time.Minute) != nil)
}

// Guards against a snapshot from a VM that does not know whether it has all changes.
func TestNoSnapshotWithoutTheStore(t *testing.T) {
	is := is.New(t)
	m := newSnapshotMachine("a")
	m.Tick(maxAge)
	is.Equal(m.TakeOutput().Snapshot, nil)
}
