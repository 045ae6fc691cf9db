package relay

import (
	"cmp"
	"slices"
	"time"
)

// SetLoads sets the work that this VM causes. Load.Domain is ignored.
func (m *Machine) SetLoads(loads []Load) {
	m.ownLoads = m.ownLoads[:0]
	for _, l := range loads {
		l.Domain = m.config.Self.Domain
		m.ownLoads = append(m.ownLoads, l)
	}
}

// noteLoads takes in the loads of a beat: those of the sender itself when it
// asks, and those of whole domains when it answers. The own domain's sum is
// taken from its relay.
func (m *Machine) noteLoads(now time.Duration, p *peer, b Beat) {
	if p != nil && !b.Reply && p.Domain == m.config.Self.Domain {
		p.load = b.Loads
		return
	}
	for _, l := range b.Loads {
		if l.Domain == m.config.Self.Domain && (m.isRelay || b.Domain != m.config.Self.Domain) {
			continue
		}
		key := Load{Domain: l.Domain, At: l.At, Service: l.Service}
		m.loads[key] = loadReport{Load: l, at: now}
	}
}

// DomainLoads returns what is known of the work of each domain, in a fixed order.
func (m *Machine) DomainLoads(now time.Duration) []Load {
	list := make([]Load, 0, len(m.loads)+len(m.ownLoads))
	if m.isRelay {
		list = append(list, m.ownDomain(now)...)
	}
	for key, r := range m.loads {
		if m.isRelay && key.Domain == m.config.Self.Domain || now-r.at >= loadFor {
			continue
		}
		list = append(list, r.Load)
	}
	slices.SortFunc(list, func(a, b Load) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.At, b.At), cmp.Compare(a.Service, b.Service))
	})
	return list
}

// ownDomain adds up the loads of this VM and of those that ask it.
func (m *Machine) ownDomain(now time.Duration) []Load {
	sums := make(map[Load]Load)
	add := func(loads []Load) {
		for _, l := range loads {
			key := Load{Domain: m.config.Self.Domain, At: l.At, Service: l.Service}
			sum := sums[key]
			sum.Domain, sum.At, sum.Service = key.Domain, key.At, key.Service
			sum.Flows += l.Flows
			sum.Busy += l.Busy
			sums[key] = sum
		}
	}
	add(m.ownLoads)
	for _, p := range m.members.byDomain[m.config.Self.Domain] {
		if p.everHear && now-p.heard < loadFor {
			add(p.load)
		}
	}
	list := make([]Load, 0, len(sums))
	for _, l := range sums {
		list = append(list, l)
	}
	return list
}

// busiest returns a copy of the loads that fit one beat. The busiest services
// matter most.
func busiest(loads []Load) []Load {
	loads = slices.Clone(loads)
	if len(loads) > maxLoads {
		slices.SortStableFunc(loads, func(a, b Load) int { return cmp.Compare(b.Flows+b.Busy, a.Flows+a.Busy) })
		loads = loads[:maxLoads]
	}
	return loads
}
