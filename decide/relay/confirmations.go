package relay

import "time"

// confirm records a confirmation. It ignores one of a revision that the replica has not
// reached yet or of an earlier era, and one that is not newer than the last of the same era.
func (m *Machine) confirm(now time.Duration, c Confirmation) {
	if c.Revision == 0 || c.Revision.Era() != m.replica.Revision().Era() || c.Revision > m.replica.Revision() || c.Revision < m.confirmedRevision {
		return
	}
	at := now - c.Age
	if m.hasConfirmed && m.confirmsOwnEra() && at <= m.confirmedAt {
		return
	}
	m.confirmedRevision = c.Revision
	m.confirmedAt = at
	m.branchesDue = true
	if !m.hasConfirmed {
		m.hasConfirmed = true
		m.firstConfirmedAt = now
	}
	if c.HasRegained {
		m.markStoreRegained(now - c.SinceRegained)
	}
	if m.storeLost && now-at < m.config.MaxAge {
		m.storeLost = false
		m.markStoreRegained(now)
	}
	m.reportRegained()
}

// reportRegained reports the end of an outage once, whether this VM or another has noticed
// the outage. While this VM has lost the store, it waits for its own confirmation.
func (m *Machine) reportRegained() {
	if m.storeLost || !m.hasRegained || m.hasReportedRegain && m.regainedAt < m.reportedRegainAt+regainTolerance {
		return
	}
	m.hasReportedRegain, m.reportedRegainAt = true, m.regainedAt
	m.out.StoreRegained, m.out.RegainedAt = true, m.regainedAt
	m.out.StoreLostLast = false
}

// markStoreRegained records the time at which the store became reachable again.
func (m *Machine) markStoreRegained(at time.Duration) {
	if !m.hasRegained || at > m.regainedAt {
		m.regainedAt = at
	}
	m.hasRegained = true
}

// markStoreLost reports the loss of the store once.
func (m *Machine) markStoreLost() {
	if !m.storeLost && m.hasConfirmed {
		m.storeLost = true
		m.out.StoreLost, m.out.StoreLostLast = true, m.out.StoreRegained
	}
}

// confirmation returns this VM's last confirmation, as of now.
func (m *Machine) confirmation(now time.Duration) Confirmation {
	if !m.hasConfirmed || !m.confirmsOwnEra() {
		return Confirmation{}
	}
	c := Confirmation{Revision: m.confirmedRevision, Age: now - m.confirmedAt}
	if m.hasRegained {
		c.HasRegained = true
		c.SinceRegained = now - m.regainedAt
	}
	return c
}
