package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/balance"
	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/evidence"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

const (
	// busyKeep is the part of the former average that a new report of a domain's
	// load keeps. Reports come twice a second; the average covers about two seconds.
	busyKeep = 0.7
	// loadsFor is how long a report counts. Without reports flows stay in their
	// domain.
	loadsFor = 3 * time.Second
)

// place names a service in a failure domain.
type place struct {
	service string
	domain  string
}

// Loads returns the work that this VM causes, by service and failure domain of
// the targets, in a fixed order.
func (f *Forwarder) Loads() []relay.Load {
	sums := make(map[place]relay.Load)
	f.view.Targets(func(t *catalog.Target) bool {
		load := f.loads[t.Slot]
		if load.Flows == 0 {
			return true
		}
		key := place{t.Service, t.Domain}
		sum := sums[key]
		sum.At, sum.Service = t.Domain, t.Service
		sum.Flows += uint32(load.Flows)
		sum.Busy += uint32(load.Busy)
		sums[key] = sum
		return true
	})
	list := make([]relay.Load, 0, len(sums))
	for _, l := range sums {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b relay.Load) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.At, b.At))
	})
	return list
}

// SetDomainLoads takes the work of all failure domains.
func (f *Forwarder) SetDomainLoads(now time.Duration, loads []relay.Load) {
	busy := make(map[place]float64)
	for _, l := range loads {
		busy[place{l.Service, l.At}] += float64(l.Busy)
	}
	slots := make(map[place]int)
	f.view.Targets(func(t *catalog.Target) bool {
		if t.TakesFlows(now) {
			slots[place{t.Service, t.Domain}] += t.Slots
		}
		return true
	})
	services := make(map[string][]balance.Domain)
	for p, n := range slots {
		average := busyKeep*f.busyAt[p] + (1-busyKeep)*busy[p]
		busy[p] = average
		services[p.service] = append(services[p.service], balance.Domain{Name: p.domain, Slots: n, Busy: average})
	}
	for _, domains := range services {
		slices.SortFunc(domains, func(a, b balance.Domain) int { return cmp.Compare(a.Name, b.Name) })
	}
	f.setPressure(now, loads, slots)
	f.busyAt = busy
	f.domains = services
	f.domainsAt = now
}

// setPressure tells the limiter of floods the requests in progress for each slot
// of each service, in all domains together.
func (f *Forwarder) setPressure(now time.Duration, loads []relay.Load, slots map[place]int) {
	busy := make(map[string]float64)
	for _, l := range loads {
		busy[l.Service] += float64(l.Busy)
	}
	total := make(map[string]int)
	for p, n := range slots {
		total[p.service] += n
	}
	for service, n := range total {
		f.flood.SetPressure(now, service, busy[service]/float64(n))
	}
}

// admit reports whether the first packet of a new flow may be placed. A copy has
// a predecessor that was placed, here or at another VM.
func (f *Forwarder) admit(now time.Duration, p flow.Packet, route *catalog.Route) bool {
	if p.Ack > 0 {
		return true
	}
	hash := p.Flow.Hash()
	const salt = 0x510e527fade682d1 // makes the draw independent of the other choices
	draw := float64(rendezvous.Mix(hash^f.config.Seed, salt)>>11) / (1 << 53)
	return f.flood.Admit(now, route.Name, route.Priority, serviceOf(route, hash), draw)
}

// forgetKinds forgets the kinds of removed routes.
func (f *Forwarder) forgetKinds(c *catalog.Configuration) {
	names := make(map[string]bool, len(c.Routes))
	for _, r := range c.Routes {
		names[r.Name] = true
	}
	f.flood.Forget(func(name string) bool { return names[name] })
}

// domainFor returns the failure domain whose targets a new flow shall use.
func (f *Forwarder) domainFor(now time.Duration, service string, kind catalog.Kind, hash uint64) string {
	domains := f.domains[service]
	if len(domains) < 2 || now-f.domainsAt >= loadsFor {
		return f.config.Domain
	}
	const salt = 0x1f83d9abfb41bd6b // makes the draw independent of the other choices
	draw := float64(rendezvous.Mix(hash, salt)>>11) / (1 << 53)
	calm := balance.CalmRepeatable
	if kind == catalog.NonIdempotent {
		calm = balance.CalmOnce
	}
	return balance.Spill(f.config.Domain, domains, calm, draw)
}

// domainEvidence returns the evidence of a foreign failure domain as a whole, or
// nil for the own one.
func (f *Forwarder) domainEvidence(domain string) *evidence.Tracker {
	if domain == f.config.Domain {
		return nil
	}
	t := f.foreign[domain]
	if t == nil {
		t = &evidence.Tracker{}
		f.foreign[domain] = t
	}
	return t
}

// isCutOff reports whether the failure domain of a target is out of reach: flows
// to several of its targets are stuck, and the own domain's targets answer.
func (f *Forwarder) isCutOff(now time.Duration, t *catalog.Target) bool {
	domain := f.domainEvidence(t.Domain)
	if domain == nil || !domain.Dead(now) {
		return false
	}
	for _, other := range f.view.Service(t.Service) {
		alive, ok := f.evidence[other.Slot].LastAlive()
		if other.Domain == f.config.Domain && ok && now-alive < lifeSigns {
			return true
		}
	}
	return false
}
