package relay

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/revision"
)

// registrationsPerSecond is how many VMs of the fleet write their entries per second after a rise
// of the era: half of the writes that the store accepts from the whole fleet.
const registrationsPerSecond = 600

// eraState is what a VM knows of the returns of the store from an older copy of its data.
type eraState struct {
	rose   bool          // the replica has entered a later era than its first one
	roseAt time.Duration // when it last did so, valid if rose
}

// AnswerPullWithoutEra answers the pull of a VM whose build knows no eras, by the number of its
// revision. After a rise of the era that VM gets all keys, since the number is of no known era.
func (m *Machine) AnswerPullWithoutEra(now time.Duration, after int64) Update {
	if m.eras.rose {
		return m.AnswerPull(now, 0)
	}
	return m.AnswerPull(now, m.inOwnEra(revision.New(0, after)))
}

// inOwnEra returns a revision that was sent without its era as one of the replica's era.
func (m *Machine) inOwnEra(r revision.Revision) revision.Revision {
	if r == 0 {
		return 0
	}
	return revision.New(m.replica.Revision().Era(), r.Number())
}

// heartbeatInOwnEra returns a heartbeat of a VM that knows no eras with its revisions taken as
// of the replica's era. After a rise of the era they may be of an earlier one: then the
// heartbeat is returned without them, and usable is false.
func (m *Machine) heartbeatInOwnEra(b Heartbeat) (_ Heartbeat, usable bool) {
	if !b.WithoutEra {
		return b, true
	}
	if m.eras.rose {
		b.Revision, b.Confirmed = 0, Confirmation{}
		b.HasItems, b.After, b.Items = false, 0, nil
		return b, false
	}
	b.Revision, b.After, b.Confirmed.Revision = m.inOwnEra(b.Revision), m.inOwnEra(b.After), m.inOwnEra(b.Confirmed.Revision)
	b.Items = m.itemsInOwnEra(b.Items)
	return b, true
}

// updateInOwnEra does the same for the answer to a pull.
func (m *Machine) updateInOwnEra(u Update) (_ Update, usable bool) {
	if !u.WithoutEra {
		return u, true
	}
	if m.eras.rose {
		return Update{}, false
	}
	u.Revision, u.Confirmed.Revision = m.inOwnEra(u.Revision), m.inOwnEra(u.Confirmed.Revision)
	u.Items = m.itemsInOwnEra(u.Items)
	return u, true
}

func (m *Machine) itemsInOwnEra(items []Item) []Item {
	list := make([]Item, 0, len(items))
	for _, item := range items {
		item.Revision = m.inOwnEra(item.Revision)
		list = append(list, item)
	}
	return list
}

// watchBeside makes the VM watch the store itself while the VM that it polls for changes knows
// no eras. Waiting for the last confirmation to reach MaxAge instead would report the store as
// lost every few seconds.
func (m *Machine) watchBeside(now time.Duration, p *peer, b Heartbeat) {
	if p != nil && b.Reply && p.Domain == m.config.Self.Domain {
		m.watchDirectly(now)
	}
}

// withoutItemsFor returns a notification for p. After a rise of the era a VM that knows no eras
// gets no items, since it would add them to its replica of the earlier era. It pulls instead,
// and gets all keys.
func (m *Machine) withoutItemsFor(p *peer, b Heartbeat) Heartbeat {
	if p.withoutEra && m.eras.rose {
		b.HasItems, b.After, b.Items = false, 0, nil
	}
	return b
}

// confirmsOwnEra reports whether the last confirmation is of the replica's era.
func (m *Machine) confirmsOwnEra() bool {
	return m.confirmedRevision.Era() == m.replica.Revision().Era()
}

// enterEra prepares for a merge at the given era and reports whether that is a rise: the store
// has returned from an older copy. The snapshot in the store is then unknown, and one of the new
// era is due. Other VMs whose entries the copy lacks stay known, see forgetLostMembers.
func (m *Machine) enterEra(now time.Duration, era uint32) bool {
	before := m.replica.Revision().Era()
	if m.replica.Revision() == 0 || era <= before {
		return false
	}
	m.eras = eraState{rose: true, roseAt: now}
	m.snapshot = snapshotState{at: now - m.config.SnapshotInterval, known: true, outdated: true}
	m.out.EraChanges = append(m.out.EraChanges, EraChange{Before: before, After: era})
	return true
}

// forgetLostMembers forgets the VMs that are known from an earlier era only, once they have had
// the time to write their entries again. If they were forgotten with the rise of the era, a copy
// without entries of VMs would make each VM a relay that watches the store.
func (m *Machine) forgetLostMembers(now time.Duration) {
	if !m.eras.rose || now-m.eras.roseAt < removeEntryAfter {
		return
	}
	var lost []string
	for key, p := range m.members.byKey {
		if p.revision.Era() < m.replica.Revision().Era() {
			lost = append(lost, key)
		}
	}
	for _, key := range lost {
		m.members.remove(key)
	}
}

// RegistrationDelay returns how long this VM leaves its entry unwritten after a rise of the era:
// the copy may lack the entries of all VMs, which then do not write them all at once.
func (m *Machine) RegistrationDelay() time.Duration {
	turn := scoreOf(m.config.Self.Domain, m.config.Self.Name) % uint64(m.FleetSize())
	return time.Duration(turn) * time.Second / registrationsPerSecond
}

// reportEnteredEra reports the end of the outage that a rise of the era implies, also to a VM
// that has not noticed the outage. c is the confirmation that came with the new era.
func (m *Machine) reportEnteredEra(now time.Duration, c Confirmation) {
	at := now
	if c.HasRegained {
		at = now - c.SinceRegained
	}
	m.markStoreRegained(at)
	m.hasReportedRegain = false
	m.reportRegained()
}
