package relay

import "time"

// chooseRole makes this VM the relay when no VM before it is alive.
func (m *Machine) chooseRole(now time.Duration) {
	own := rankOf(m.config.Self.Domain, m.config.Self.Name)
	relay := m.members.relay(now, m.config.Self.Domain)
	isRelay := (relay == nil || relay.score < own) && m.known && now-m.firstKnown >= settle
	if isRelay && !m.isRelay {
		m.relaySince = now
	}
	m.isRelay = isRelay
}

// helpers is the number of VMs of a domain, beside its relay, that try again soon when
// the store fails. One that is served again tells the relay, and the relay the others.
const helpers = 3

// Patient reports whether the VM leaves frequent attempts at a failing store to its
// relay and the helpers: calls then do not grow with the VMs.
func (m *Machine) Patient() bool {
	if m.isRelay {
		return false
	}
	own := rankOf(m.config.Self.Domain, m.config.Self.Name)
	before := 0
	for _, p := range m.members.byDomain[m.config.Self.Domain] {
		if p.score < own {
			break
		}
		before++
	}
	return before >= helpers
}

// askRelays sends the questions that are due: to the own domain's relay and the
// dead VMs before it; a relay asks the relays of the other domains.
func (m *Machine) askRelays(now time.Duration) time.Duration {
	next := now + askInterval
	own := rankOf(m.config.Self.Domain, m.config.Self.Name)
	for _, domain := range m.members.domains() {
		local := domain == m.config.Self.Domain
		if !local && !m.isRelay {
			continue
		}
		for _, p := range m.members.byDomain[domain] {
			if local && p.score < own {
				break
			}
			dead := p.dead(now)
			next = min(next, m.ask(now, p, dead))
			if !dead {
				break
			}
		}
	}
	return next
}

// ask sends a question if it is due and returns when the next one is.
func (m *Machine) ask(now time.Duration, p *peer, dead bool) time.Duration {
	if now < p.nextAsk {
		return p.nextAsk
	}
	p.nextAsk = now + askInterval
	if dead {
		p.nextAsk = now + deadAskInterval
	}
	if !p.waiting {
		p.waiting = true
		p.asked = now
	}
	question := m.beat(now, false, m.ownLoads)
	if p.Domain == m.config.Self.Domain {
		question.Samples = m.ownSamples
	} else {
		question.Loads = busiest(m.DomainLoads(now))
	}
	m.out.Beats = append(m.out.Beats, Outgoing{To: p.Beats, Beat: question})
	return p.nextAsk
}
