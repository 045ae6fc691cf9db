package relay

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

const (
	// defaultVMsPerBranch is the default of Config.VMsPerBranch.
	defaultVMsPerBranch = 64
	// fastRetryVMs is the number of VMs of a domain, besides its relay, that retry at
	// short intervals when the store fails. The first one that reaches the store again
	// confirms to the relay, and the relay to the others.
	fastRetryVMs = 3
)

// chooseRole makes this VM the relay if no higher-ranked VM of its domain is alive.
func (m *Machine) chooseRole(now time.Duration) {
	ownScore := scoreOf(m.config.Self.Domain, m.config.Self.Name)
	relay := m.members.relay(now, m.intervals.deadAfter, m.config.Self.Domain)
	isRelay := (relay == nil || relay.score < ownScore) && m.hasConfirmed && now-m.firstConfirmedAt >= relayStartDelay
	if isRelay && !m.isRelay {
		m.relaySince = now
	}
	m.isRelay = isRelay
}

// higherRanked returns the VMs of the own domain with a score above the given one.
func (m *Machine) higherRanked(score uint64) []*peer {
	list := m.members.byDomain[m.config.Self.Domain]
	return list[:sort.Search(len(list), func(i int) bool { return list[i].score <= score })]
}

// upstreamCount returns the number of VMs of the own domain that answer the polls of the
// others: the relay and its branches.
func (m *Machine) upstreamCount() int {
	vms := len(m.members.byDomain[m.config.Self.Domain]) + 1
	vmsPerBranch := cmp.Or(m.config.VMsPerBranch, defaultVMsPerBranch)
	return (vms + vmsPerBranch - 1) / vmsPerBranch
}

// UsesSlowRetry reports whether the VM retries a failing store at long intervals. Only the
// relay and fastRetryVMs others retry often, so that the number of calls does not grow
// with the number of VMs. A VM that hears none of those above it retries often as well: none of
// them would tell it that the store answers again.
func (m *Machine) UsesSlowRetry(now time.Duration) bool {
	higherRanked := m.higherRanked(scoreOf(m.config.Self.Domain, m.config.Self.Name))
	hears := func(p *peer) bool { return p.everHeard && now-p.lastHeardAt < m.intervals.deadAfter }
	return !m.isRelay && len(higherRanked) >= fastRetryVMs && slices.ContainsFunc(higherRanked, hears)
}

// upstreams returns the VMs of the own domain that this VM polls, in order of preference.
// It polls the first live one. For a branch the order is that of the ranking, so that it
// polls the relay. Any other VM has an order of its own over the highest-ranked live VMs
// above it, which spreads the polls. Polls go to higher-ranked VMs only, so that no cycle
// arises.
func (m *Machine) upstreams(now time.Duration) []*peer {
	ownScore := scoreOf(m.config.Self.Domain, m.config.Self.Name)
	higherRanked := m.higherRanked(ownScore)
	upstreamCount := m.upstreamCount()
	if len(higherRanked) < upstreamCount {
		return higherRanked
	}
	live := 0
	for i, p := range higherRanked {
		if !p.dead(now, m.intervals.deadAfter) {
			live++
		}
		if live == upstreamCount {
			higherRanked = higherRanked[:i+1]
			break
		}
	}
	return inPreferenceOrder(higherRanked, ownScore)
}

// inPreferenceOrder returns list in the order in which the VM with the given score polls
// it.
func inPreferenceOrder(list []*peer, score uint64) []*peer {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b *peer) int {
		return cmp.Compare(rendezvous.Mix(score, b.score), rendezvous.Mix(score, a.score))
	})
	return list
}

// isUpstreamOf reports whether p, a VM of the own domain, polls this VM while all VMs are
// alive. A relay also counts as upstream of the VMs ranked above it: these are dead, and
// no other VM would remove their entries.
func (m *Machine) isUpstreamOf(p *peer) bool {
	ownScore := scoreOf(m.config.Self.Domain, m.config.Self.Name)
	ahead := m.higherRanked(ownScore)
	if p.score > ownScore || len(ahead) >= m.upstreamCount() {
		return m.isRelay && p.score > ownScore
	}
	candidates := m.higherRanked(p.score)
	position := len(candidates) + 1 // candidates does not contain this VM
	if position < m.upstreamCount() {
		return m.isRelay
	}
	ownPreference := rendezvous.Mix(p.score, ownScore)
	for _, other := range candidates[:m.upstreamCount()-1] {
		if rendezvous.Mix(p.score, other.score) > ownPreference {
			return false
		}
	}
	return true
}

// pollPeers sends the polls that are due and returns when the next one is: in the own
// domain to the first live upstream VM and to the dead ones before it, and from a relay
// also to the relays of the other domains.
func (m *Machine) pollPeers(now time.Duration) time.Duration {
	next := m.pollFirstLive(now, m.upstreams(now))
	if !m.isRelay {
		return next
	}
	for _, domain := range m.members.domains() {
		if domain != m.config.Self.Domain {
			next = min(next, m.pollFirstLive(now, m.members.byDomain[domain]))
		}
	}
	return next
}

// pollFirstLive polls the VMs of a list up to the first one that is not dead. The dead
// ones are polled at longer intervals.
func (m *Machine) pollFirstLive(now time.Duration, list []*peer) time.Duration {
	next := now + m.intervals.poll
	for _, p := range list {
		dead := p.dead(now, m.intervals.deadAfter)
		next = min(next, m.poll(now, p, dead))
		if !dead {
			break
		}
	}
	return next
}

// poll polls p if that is due and returns when the next poll is.
func (m *Machine) poll(now time.Duration, p *peer, dead bool) time.Duration {
	if now < p.nextPoll {
		return p.nextPoll
	}
	p.nextPoll = now + m.intervals.poll
	if dead {
		p.nextPoll = now + m.intervals.deadPoll
	}
	if !p.awaitingReply {
		p.awaitingReply = true
		p.unansweredSince = now
	}
	request := m.heartbeat(now, false, nil)
	switch {
	case p.Domain != m.config.Self.Domain:
		request.Loads = busiest(m.DomainLoads(now))
	case m.isRelay:
		// Only this VM's own reports: a relay polls the dead VMs ranked above it. One that
		// returns becomes the relay and is polled by the other VMs as well, so that their
		// reports would count twice.
		request.Loads, request.Samples = busiest(m.ownLoads), m.ownSamples
	default:
		// Includes the reports of the VMs that poll this one.
		request.Loads, request.Samples = busiest(m.sumOwnDomainLoads(now)), m.sumSamples(now)
	}
	m.pollWithReports(now, p, &request)
	m.out.Heartbeats = append(m.out.Heartbeats, Outgoing{To: p.HeartbeatAddr, Heartbeat: request})
	return p.nextPoll
}

// notifyBranches sends the branches a new confirmation at once, since the VMs that poll
// them receive it only with their next poll, half an interval later on average.
func (m *Machine) notifyBranches(now time.Duration) {
	if !m.branchesDue {
		return
	}
	m.branchesDue = false
	upstreamCount := m.upstreamCount()
	if !m.isRelay || upstreamCount < 2 {
		return
	}
	heartbeat := m.heartbeat(now, true, nil)
	ownScore := scoreOf(m.config.Self.Domain, m.config.Self.Name)
	for i, p := range m.members.byDomain[m.config.Self.Domain] {
		if i >= upstreamCount {
			break
		}
		at, subscribed := m.subscribers[p.key]
		if subscribed && p.score < ownScore && now-at < m.intervals.subscriberTimeout {
			m.out.Heartbeats = append(m.out.Heartbeats, Outgoing{To: p.HeartbeatAddr, Heartbeat: heartbeat})
		}
	}
}
