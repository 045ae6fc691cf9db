package relay

import (
	"cmp"
	"slices"
	"time"
)

// SetLoads sets the load that this VM puts on targets. Load.Domain is ignored.
func (m *Machine) SetLoads(loads []Load) {
	m.ownLoads = make([]Load, 0, len(loads))
	for _, l := range loads {
		l.Domain = m.config.Self.Domain
		m.ownLoads = append(m.ownLoads, l)
	}
}

// recordLoads stores the loads of a heartbeat. A poll from the own domain carries the
// loads of its sender and of those that poll it. The sum of another domain is accepted
// only from a VM of that domain or, unless this VM is the relay, from an upstream VM of
// the own domain: relays that forwarded each other's sums would keep outdated ones alive.
func (m *Machine) recordLoads(now time.Duration, p *peer, b Heartbeat) {
	ownDomain := m.config.Self.Domain
	if p != nil && !b.Reply && p.Domain == ownDomain {
		p.reportedLoads = b.Loads
		return
	}
	for _, l := range b.Loads {
		fromUpstream := b.Domain == ownDomain && !m.isRelay
		if !fromUpstream && (l.Domain != b.Domain || l.Domain == ownDomain) {
			continue
		}
		key := Load{Domain: l.Domain, TargetDomain: l.TargetDomain, Service: l.Service}
		m.loads[key] = loadReport{Load: l, at: now}
	}
}

// DomainLoads returns the last known loads of all domains, sorted by domain, target
// domain and service. The caller must not change the list.
func (m *Machine) DomainLoads(now time.Duration) []Load {
	if m.cachedLoads == nil || now-m.loadsCachedAt >= loadsCacheTTL {
		m.cachedLoads = m.collectLoads(now)
		m.loadsCachedAt = now
	}
	return m.cachedLoads
}

func (m *Machine) collectLoads(now time.Duration) []Load {
	list := make([]Load, 0, len(m.loads)+len(m.ownLoads))
	if m.isRelay {
		list = append(list, m.sumOwnDomainLoads(now)...)
	}
	for key, r := range m.loads {
		if m.isRelay && key.Domain == m.config.Self.Domain || now-r.at >= m.intervals.reportTTL {
			continue
		}
		list = append(list, r.Load)
	}
	slices.SortFunc(list, func(a, b Load) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.TargetDomain, b.TargetDomain), cmp.Compare(a.Service, b.Service))
	})
	return list
}

// sumOwnDomainLoads adds up the loads of this VM and of the VMs that poll it.
func (m *Machine) sumOwnDomainLoads(now time.Duration) []Load {
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
		if p.everHeard && now-p.lastHeardAt < m.intervals.reportTTL {
			add(p.reportedLoads)
		}
	}
	list := make([]Load, 0, len(sums))
	for _, l := range sums {
		list = append(list, l)
	}
	return list
}

// busiest returns at most maxLoads loads, the highest first if there are more.
func busiest(loads []Load) []Load {
	if len(loads) > maxLoads {
		loads = slices.Clone(loads)
		slices.SortStableFunc(loads, func(a, b Load) int { return cmp.Compare(b.Flows+b.ActiveRequests, a.Flows+a.ActiveRequests) })
		loads = loads[:maxLoads]
	}
	return loads
}
