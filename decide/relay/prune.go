package relay

import "time"

// prune drops expired state and requests the removal of a dead VM's entry.
func (m *Machine) prune(now time.Duration) {
	const interval = 10 * time.Second
	m.nextPrune = now + interval
	m.replica.Prune(now)
	for key, at := range m.subscribers {
		if now-at >= removeEntryAfter {
			delete(m.subscribers, key)
			m.grants.forget(key)
		}
	}
	for key, r := range m.loads {
		if now-r.at >= m.intervals.reportTTL {
			delete(m.loads, key)
		}
	}
	m.forgetLostMembers(now)
	m.pruneReports(now)
	m.removeDeadEntry(now)
}

// removeDeadEntry requests the removal of the store entry of a VM that should poll this
// one and has not done so for removeEntryAfter.
func (m *Machine) removeDeadEntry(now time.Duration) {
	if m.eras.rose && now-m.eras.roseAt < removeEntryAfter {
		// Entries that were removed are back, and those of live VMs may be missing.
		return
	}
	if !m.hasConfirmed || now-m.firstConfirmedAt < removeEntryAfter || m.storeLost || m.isRelay && now-m.relaySince < removeEntryAfter {
		return
	}
	for _, p := range m.members.byDomain[m.config.Self.Domain] {
		if p.revision.Era() != m.replica.Revision().Era() {
			continue // its entry is gone; another one may have its revision by now
		}
		_, subscribed := m.subscribers[p.key]
		if !subscribed && (!p.everHeard || now-p.lastHeardAt >= removeEntryAfter) && m.isUpstreamOf(p) {
			m.out.RemoveEntry = &Item{Key: p.key, Revision: p.revision}
			return
		}
	}
}
