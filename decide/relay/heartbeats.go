package relay

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/revision"
)

// heartbeat returns a heartbeat of this VM with the given loads.
func (m *Machine) heartbeat(now time.Duration, reply bool, loads []Load) Heartbeat {
	b := Heartbeat{
		Name:      m.config.Self.Name,
		Domain:    m.config.Self.Domain,
		Reply:     reply,
		Revision:  m.replica.Revision(),
		Confirmed: m.confirmation(now),
		Loads:     busiest(loads),
		Boot:      m.config.Boot,
	}
	if reply {
		b.Samples = m.DomainSamples(now)
	}
	return b
}

// HandleHeartbeat handles a heartbeat received from the given address, which has waited at this VM
// for a time. It answers a poll.
// If the sender is ahead, it merges the items of the heartbeat or, if they do not suffice
// and the sender is a known VM, starts a pull.
func (m *Machine) HandleHeartbeat(now, waited time.Duration, from netip.AddrPort, b Heartbeat) {
	b.Confirmed = b.Confirmed.olderBy(waited)
	key := Member{Name: b.Name, Domain: b.Domain}.Key(m.config.MemberPrefix)
	if key == m.key {
		return
	}
	p := m.members.byKey[key]
	if p != nil {
		p.lastHeardAt, p.everHeard, p.awaitingReply = now, true, false
		p.withoutEra = b.WithoutEra
	}
	m.recordLoads(now, p, b)
	m.recordSamples(now, p, b)
	b, usable := m.heartbeatInOwnEra(b)
	m.handleGrants(p, b)
	m.receiveFlows(now, waited, from, b)
	for _, cookie := range b.UnansweredBy {
		m.out.Unanswered = append(m.out.Unanswered, UnansweredSYN{TargetCookie: cookie, VM: b.Name})
	}
	m.recordReports(now, p, b)
	if !b.Reply {
		m.subscribers[key] = now
		reply := m.heartbeat(now, true, m.DomainLoads(now))
		m.addItems(&reply, b.Revision)
		m.out.Heartbeats = append(m.out.Heartbeats, Outgoing{To: from, Heartbeat: reply})
		m.sendDomainReports(now, p)
	}
	switch {
	case !usable:
		m.watchBeside(now, p, b)
	case b.Revision <= m.replica.Revision():
		m.confirm(now, b.Confirmed)
		m.stopDirectWatch(now, p, b)
	case b.HasItems && b.After <= m.replica.Revision() && m.replica.Revision() > 0 && m.replica.accepts(b.Revision, false):
		m.merge(now, Update{Revision: b.Revision, Confirmed: b.Confirmed, Items: b.Items, Source: m.sourceOf(now, p, b)})
	case p != nil:
		m.learnOfLater(now, b.Revision)
		m.startPull(now, p)
	}
}

// stopDirectWatch ends this VM's own watch of the store once a reply from its domain
// brings a confirmation younger than MaxAge/freshDivisor again. VMs that retry often, see
// UsesSlowRetry, watch for the whole directWatchTime.
func (m *Machine) stopDirectWatch(now time.Duration, p *peer, b Heartbeat) {
	const freshDivisor = 2
	fromUpstream := p != nil && b.Reply && p.Domain == m.config.Self.Domain
	confirmsOwnEra := b.Confirmed.Revision > 0 && b.Confirmed.Revision.Era() == m.replica.Revision().Era()
	if fromUpstream && m.UsesSlowRetry(now) && confirmsOwnEra && b.Confirmed.Age < m.config.MaxAge/freshDivisor {
		m.directUntil = min(m.directUntil, now)
	}
}

// addItems adds the writes after a revision to a heartbeat if they fit.
func (m *Machine) addItems(b *Heartbeat, after revision.Revision) {
	if after <= 0 || after >= m.replica.Revision() {
		return
	}
	items, complete := m.replica.Since(after)
	if complete || sizeOf(items) > maxInlineBytes {
		return
	}
	b.HasItems, b.After, b.Items = true, after, items
	b.Samples = nil
}

func (m *Machine) startPull(now time.Duration, p *peer) {
	if m.pull != nil {
		return
	}
	m.pull = &Pull{From: p.PullAddr, Name: p.Name, After: m.replica.Revision()}
	if m.wantsSnapshot && m.storeLost {
		m.pull.After = 0 // a VM that the store answers reads it there
	}
	m.pullStartedAt = now
	m.out.Pull = m.pull
}

// sizeOf returns the size of the keys and values of items in bytes.
func sizeOf(items []Item) int {
	size := 0
	for _, item := range items {
		size += len(item.Key) + len(item.Value)
	}
	return size
}

// AnswerPull returns the writes after a revision, as the answer to another VM's pull. The
// answer is empty if it would have to be a full snapshot of more than maxSnapshotBytes and
// the other VM's replica is not empty: reading the store's history takes that VM only one
// call. A VM whose replica is of an earlier era has no such history to read.
func (m *Machine) AnswerPull(now time.Duration, after revision.Revision) Update {
	items, complete := m.replica.Since(after)
	if complete && after > 0 && after.Era() == m.replica.Revision().Era() && sizeOf(items) > maxSnapshotBytes {
		return Update{}
	}
	return Update{Revision: m.replica.Revision(), Confirmed: m.confirmation(now), Items: items, Complete: complete}
}

// NotifyAtOnce has the next Tick notify subscribers of the changes that they have not been notified
// of, without waiting for notifyInterval.
func (m *Machine) NotifyAtOnce() { m.notifyUrgent = m.notifyDue }

// notifySubscribers notifies subscribers of changes if that is due.
func (m *Machine) notifySubscribers(now time.Duration) {
	if !m.notifyDue || !m.notifyUrgent && now < m.notifiedAt+notifyInterval {
		return
	}
	m.notifyDue, m.notifyUrgent = false, false
	m.notifiedAt = now
	heartbeat := m.heartbeat(now, true, nil)
	m.addItems(&heartbeat, m.notifyAfter)
	keys := make([]string, 0, len(m.subscribers))
	for key, at := range m.subscribers {
		if now-at < m.intervals.subscriberTimeout {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		if p := m.members.byKey[key]; p != nil {
			m.out.Heartbeats = append(m.out.Heartbeats, Outgoing{To: p.HeartbeatAddr, Heartbeat: m.withoutItemsFor(p, heartbeat)})
		}
	}
}
