package relay

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/revision"
)

// Snapshot is a copy of the replica to be written to the store, from which VMs start. It
// replaces the one at Revision, or is the first one if that is 0.
type Snapshot struct {
	Key      string
	Revision revision.Revision
	Update   Update // complete
}

// snapshotState is what a VM knows of the snapshot in the store.
type snapshotState struct {
	revision revision.Revision // of its key; 0: none is known
	at       time.Duration     // when the VM learned of it, or last asked for one to be written
	known    bool              // at is set
	// outdated is set if the snapshot in the store, if any, is from an earlier era, so that VMs
	// can't start from it.
	outdated bool
}

// takeSnapshots removes the snapshot from items and records its revision. Snapshots are no
// part of the replica, so that they do not contain each other and VMs do not send them on.
func (m *Machine) takeSnapshots(now time.Duration, items []Item, complete bool) []Item {
	isSnapshot := func(item Item) bool { return item.Key == m.config.SnapshotKey }
	if m.config.SnapshotKey == "" || !slices.ContainsFunc(items, isSnapshot) {
		return items
	}
	rest := make([]Item, 0, len(items))
	for _, item := range items {
		switch {
		case !isSnapshot(item):
			rest = append(rest, item)
		case item.Deleted:
			m.snapshot.revision = 0
		case complete && m.snapshot.outdated:
			// The store's copy, which may hold the snapshot of the earlier era.
			m.snapshot.revision = max(m.snapshot.revision, item.Revision)
		case item.Revision > m.snapshot.revision:
			m.snapshot = snapshotState{revision: item.Revision, at: now, known: true}
		}
	}
	return rest
}

// requestSnapshot requests a new snapshot when one is due. The relay of the domain that is
// first by name writes it, and the others in turn when it does not.
func (m *Machine) requestSnapshot(now time.Duration) {
	age, confirmed := m.Age(now)
	upToDate := confirmed && age < m.config.MaxAge && !m.storeLost
	if m.config.SnapshotKey == "" || !m.isRelay || !upToDate {
		return
	}
	if !m.snapshot.outdated && m.replica.Revision() <= m.snapshot.revision {
		return
	}
	turn := m.domainRank() * m.config.SnapshotInterval / 2
	due := m.relaySince + turn
	if m.snapshot.known {
		due = m.snapshot.at + m.config.SnapshotInterval + turn
	}
	if now < due {
		return
	}
	m.snapshot.at, m.snapshot.known = now, true
	items, _ := m.replica.Since(0)
	if len(items) < m.config.SnapshotMinKeys {
		return
	}
	m.out.Snapshot = &Snapshot{
		Key:      m.config.SnapshotKey,
		Revision: m.snapshot.revision,
		Update:   Update{Revision: m.replica.Revision(), Items: items, Complete: true},
	}
}

// domainRank returns the number of known domains whose names come before that of the own
// one.
func (m *Machine) domainRank() time.Duration {
	rank := time.Duration(0)
	for _, domain := range m.members.domains() {
		if domain < m.config.Self.Domain {
			rank++
		}
	}
	return rank
}
