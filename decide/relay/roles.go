package relay

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

const (
	// defaultPerBranch replaces Config.VMsPerBranch when it is 0.
	defaultPerBranch = 64
	// helpers is the number of VMs of a domain, beside its relay, that try again soon
	// when the store fails. One that is served again tells the relay, and the relay the
	// others.
	helpers = 3
)

// chooseRole makes this VM the relay when no VM before it is alive.
func (m *Machine) chooseRole(now time.Duration) {
	own := rankOf(m.config.Self.Domain, m.config.Self.Name)
	relay := m.members.relay(now, m.times.deadAfter, m.config.Self.Domain)
	isRelay := (relay == nil || relay.score < own) && m.known && now-m.firstKnown >= settle
	if isRelay && !m.isRelay {
		m.relaySince = now
	}
	m.isRelay = isRelay
}

// before returns the VMs of the own domain that rank before one with the given score.
func (m *Machine) before(score uint64) []*peer {
	list := m.members.byDomain[m.config.Self.Domain]
	return list[:sort.Search(len(list), func(i int) bool { return list[i].score <= score })]
}

// branches returns the number of VMs of the own domain that others ask: the relay and
// its branches.
func (m *Machine) branches() int {
	vms := len(m.members.byDomain[m.config.Self.Domain]) + 1
	per := cmp.Or(m.config.VMsPerBranch, defaultPerBranch)
	return (vms + per - 1) / per
}

// UsesLongBackoff reports whether the VM leaves frequent attempts at a failing store to its
// relay and the helpers: calls then do not grow with the VMs.
func (m *Machine) UsesLongBackoff() bool {
	own := rankOf(m.config.Self.Domain, m.config.Self.Name)
	return !m.isRelay && len(m.before(own)) >= helpers
}

// toAsk returns the VMs of the own domain that this VM asks until one is alive. The
// relay and its branches ask in the order of the ranking, and so the relay. Other VMs
// ask one of the first live VMs before them, each in an order of its own, so that
// questions are spread and never go in a circle.
func (m *Machine) toAsk(now time.Duration) []*peer {
	own := rankOf(m.config.Self.Domain, m.config.Self.Name)
	before := m.before(own)
	branches := m.branches()
	if len(before) < branches {
		return before
	}
	live := 0
	for i, p := range before {
		if !p.dead(now, m.times.deadAfter) {
			live++
		}
		if live == branches {
			before = before[:i+1]
			break
		}
	}
	return byPreference(before, own)
}

// byPreference returns VMs in the order in which one with the given score asks them.
func byPreference(list []*peer, score uint64) []*peer {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b *peer) int {
		return cmp.Compare(rendezvous.Mix(score, b.score), rendezvous.Mix(score, a.score))
	})
	return list
}

// isAskedBy reports whether another VM of the own domain asks this one while all VMs
// are alive.
func (m *Machine) isAskedBy(p *peer) bool {
	own := rankOf(m.config.Self.Domain, m.config.Self.Name)
	ahead := m.before(own)
	if p.score > own || len(ahead) >= m.branches() {
		return m.isRelay && p.score > own
	}
	others := m.before(p.score)
	position := len(others) + 1 // this VM is no peer of its own
	if position < m.branches() {
		return m.isRelay
	}
	mine := rendezvous.Mix(p.score, own)
	for _, other := range others[:m.branches()-1] {
		if rendezvous.Mix(p.score, other.score) > mine {
			return false
		}
	}
	return true
}

// askRelays sends the questions that are due: in the own domain to the first live VM
// of those that this VM asks, and to the dead ones before it; a relay asks the relays
// of the other domains besides.
func (m *Machine) askRelays(now time.Duration) time.Duration {
	next := m.askFirstLive(now, m.toAsk(now))
	if !m.isRelay {
		return next
	}
	for _, domain := range m.members.domains() {
		if domain != m.config.Self.Domain {
			next = min(next, m.askFirstLive(now, m.members.byDomain[domain]))
		}
	}
	return next
}

// askFirstLive asks the VMs of a list until one that is not dead.
func (m *Machine) askFirstLive(now time.Duration, list []*peer) time.Duration {
	next := now + m.times.ask
	for _, p := range list {
		dead := p.dead(now, m.times.deadAfter)
		next = min(next, m.ask(now, p, dead))
		if !dead {
			break
		}
	}
	return next
}

// ask sends a question if it is due and returns when the next one is.
func (m *Machine) ask(now time.Duration, p *peer, dead bool) time.Duration {
	if now < p.nextAsk {
		return p.nextAsk
	}
	p.nextAsk = now + m.times.ask
	if dead {
		p.nextAsk = now + m.times.deadAsk
	}
	if !p.waiting {
		p.waiting = true
		p.asked = now
	}
	question := m.beat(now, false, nil)
	switch {
	case p.Domain != m.config.Self.Domain:
		question.Loads = busiest(m.DomainLoads(now))
	case m.isRelay:
		// A VM that returns and becomes relay is asked by the others as well.
		question.Loads, question.Samples = busiest(m.ownLoads), m.ownSamples
	default:
		// With what those have told that ask this VM.
		question.Loads, question.Samples = busiest(m.ownDomain(now)), m.sumSamples(now)
	}
	m.out.Heartbeats = append(m.out.Heartbeats, Outgoing{To: p.HeartbeatAddr, Heartbeat: question})
	return p.nextAsk
}

// confirmToBranches tells the branches at once that what they know is new, since those
// who ask them learn of it half a question later.
func (m *Machine) confirmToBranches(now time.Duration) {
	if !m.tellBranches {
		return
	}
	m.tellBranches = false
	branches := m.branches()
	if !m.isRelay || branches < 2 {
		return
	}
	beat := m.beat(now, true, nil)
	own := rankOf(m.config.Self.Domain, m.config.Self.Name)
	for i, p := range m.members.byDomain[m.config.Self.Domain] {
		if i >= branches {
			break
		}
		at, asks := m.subscribers[p.key]
		if asks && p.score < own && now-at < m.times.subscriberFor {
			m.out.Heartbeats = append(m.out.Heartbeats, Outgoing{To: p.HeartbeatAddr, Heartbeat: beat})
		}
	}
}
