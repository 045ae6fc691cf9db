package relay

import (
	"cmp"
	"slices"
	"time"
)

// SetLoads sets the work that this VM causes. Load.Domain is ignored.
func (m *Machine) SetLoads(loads []Load) {
	m.ownLoads = make([]Load, 0, len(loads))
	for _, l := range loads {
		l.Domain = m.config.Self.Domain
		m.ownLoads = append(m.ownLoads, l)
	}
}

// noteLoads takes in the loads of a beat. A VM that asks tells its own. The sum
// of a domain is taken from a VM of that domain, or from the own domain's relay:
// relays that repeated each other's sums would keep old ones alive.
func (m *Machine) noteLoads(now time.Duration, p *peer, b Heartbeat) {
	own := m.config.Self.Domain
	if p != nil && !b.Reply && p.Domain == own {
		p.load = b.Loads
		return
	}
	for _, l := range b.Loads {
		fromRelay := b.Domain == own && !m.isRelay
		if !fromRelay && (l.Domain != b.Domain || l.Domain == own) {
			continue
		}
		key := Load{Domain: l.Domain, TargetDomain: l.TargetDomain, Service: l.Service}
		m.loads[key] = loadReport{Load: l, at: now}
	}
}

// DomainLoads returns what is known of the work of each domain, in a fixed order.
// The caller must not change the list.
func (m *Machine) DomainLoads(now time.Duration) []Load {
	if m.cached == nil || now-m.cachedAt >= loadsCacheFor {
		m.cached = m.sumLoads(now)
		m.cachedAt = now
	}
	return m.cached
}

func (m *Machine) sumLoads(now time.Duration) []Load {
	list := make([]Load, 0, len(m.loads)+len(m.ownLoads))
	if m.isRelay {
		list = append(list, m.ownDomain(now)...)
	}
	for key, r := range m.loads {
		if m.isRelay && key.Domain == m.config.Self.Domain || now-r.at >= m.times.loadFor {
			continue
		}
		list = append(list, r.Load)
	}
	slices.SortFunc(list, func(a, b Load) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.TargetDomain, b.TargetDomain), cmp.Compare(a.Service, b.Service))
	})
	return list
}

// ownDomain adds up the loads of this VM and of those that ask it.
func (m *Machine) ownDomain(now time.Duration) []Load {
	sums := make(map[Load]Load)
	add := func(loads []Load) {
		for _, l := range loads {
			key := Load{Domain: m.config.Self.Domain, TargetDomain: l.TargetDomain, Service: l.Service}
			sum := sums[key]
			sum.Domain, sum.TargetDomain, sum.Service = key.Domain, key.TargetDomain, key.Service
			sum.Flows += l.Flows
			sum.ActiveRequests += l.ActiveRequests
			sums[key] = sum
		}
	}
	add(m.ownLoads)
	for _, p := range m.members.byDomain[m.config.Self.Domain] {
		if p.everHear && now-p.heard < m.times.loadFor {
			add(p.load)
		}
	}
	list := make([]Load, 0, len(sums))
	for _, l := range sums {
		list = append(list, l)
	}
	return list
}

// busiest returns the loads that fit one beat. The busiest services matter most.
func busiest(loads []Load) []Load {
	if len(loads) > maxLoads {
		loads = slices.Clone(loads)
		slices.SortStableFunc(loads, func(a, b Load) int { return cmp.Compare(b.Flows+b.ActiveRequests, a.Flows+a.ActiveRequests) })
		loads = loads[:maxLoads]
	}
	return loads
}
