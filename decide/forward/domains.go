package forward

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/balance"
	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flood"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

const (
	// busyKeep is the part of the former average that a new report of a domain's
	// load keeps. Reports come twice a second; the average covers about two seconds.
	busyKeep = 0.7
	// cutTargets is the number of targets of a foreign failure domain with stuck flows,
	// and cutSilence the time without a sign of life from any target there, that make
	// the domain cut off. One target alone may be dead.
	cutTargets = 2
	cutSilence = 500 * time.Millisecond
	// cutKept is how long the answer is used again.
	cutKept = 50 * time.Millisecond
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
	for t := range f.loaded {
		load := f.loads[t.Slot]
		key := place{t.Service, t.Domain}
		sum := sums[key]
		sum.TargetDomain, sum.Service = t.Domain, t.Service
		sum.Flows += uint32(load.Flows)
		sum.ActiveRequests += uint32(load.Busy)
		sums[key] = sum
	}
	list := make([]relay.Load, 0, len(sums))
	for _, l := range sums {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b relay.Load) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.TargetDomain, b.TargetDomain))
	})
	return list
}

// SetDomainLoads takes the work of all failure domains.
func (f *Forwarder) SetDomainLoads(now time.Duration, loads []relay.Load) {
	busy := make(map[place]float64)
	for _, l := range loads {
		busy[place{l.Service, l.TargetDomain}] += float64(l.ActiveRequests)
	}
	slots := f.countSlots(now, loads)
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

// countSlots returns the slots of the targets that take flows, by place, for the
// services that have work now, had some in the last reports, or are bounded. There are
// few of them, however many services and targets there are.
func (f *Forwarder) countSlots(now time.Duration, loads []relay.Load) map[place]int {
	const noWork = 0.05 // average of requests in progress
	services := make(map[string]bool)
	for _, l := range loads {
		services[l.Service] = true
	}
	for p, average := range f.busyAt {
		if average >= noWork {
			services[p.service] = true
		}
	}
	for _, name := range f.flood.LimitedServices() {
		services[name] = true
	}
	slots := make(map[place]int)
	for name := range services {
		for _, t := range f.view.Service(name) {
			if t.AcceptsFlows(now) {
				slots[place{t.Service, t.Domain}] += t.Slots
			}
		}
	}
	return slots
}

// setPressure tells the limiter of floods the state of each service, in all
// domains together.
func (f *Forwarder) setPressure(now time.Duration, loads []relay.Load, slots map[place]int) {
	reports := make(map[string]*flood.Report)
	for p, n := range slots {
		if reports[p.service] == nil {
			reports[p.service] = &flood.Report{Service: p.service}
		}
		reports[p.service].Slots += n
	}
	flows := make(map[string]float64)
	for _, l := range loads {
		if r := reports[l.Service]; r != nil {
			r.Busy += float64(l.ActiveRequests)
			flows[l.Service] += float64(l.Flows)
		}
	}
	for service, r := range reports {
		mine := float64(f.loadOf(service).Flows)
		r.Share = mine / max(flows[service], mine, 1)
		f.flood.SetReport(now, *r)
	}
}

// LimitedServices returns the services under so much pressure that requests and
// new flows are held or refused.
func (f *Forwarder) LimitedServices() []string { return f.flood.LimitedServices() }

// admit reports whether the first packet of a new flow may be placed. A copy has
// a predecessor that was placed, here or at another VM.
func (f *Forwarder) admit(now time.Duration, p flow.Packet, route *catalog.Route) bool {
	if p.Ack > 0 {
		return true
	}
	service := serviceOf(route, p.Flow.Hash())
	return f.flood.Admit(now, route.Name, service, f.loadOf(service).Busy, false)
}

// isHeld reports whether the data of a request waits: it is dropped, and its
// caller sends it again after 200 ms. Targets then have short queues, so that the
// requests that they get, and those of kinds that do not flood, are answered in
// time. Only data that no target has seen is held.
func (f *Forwarder) isHeld(now time.Duration, r *record, p flow.Packet, route *catalog.Route) bool {
	if p.Len == 0 || r.busy || route == nil || r.sent && !newer(p.Seq+uint32(p.Len), r.seqTo) {
		return false
	}
	if now < r.heldTill {
		return true
	}
	service := r.target.Service
	if r.heldSince == 0 {
		f.flood.RecordRequest(now, route.Name, route.Priority, service)
		r.heldSince = now
	}
	overdue := route.Latency > 0 && now-r.heldSince >= route.Latency/2
	if f.flood.Admit(now, route.Name, service, f.loadOf(service).Busy, overdue) {
		r.heldSince = 0
		return false
	}
	r.heldTill = now + heldFor
	return true
}

// forgetKinds forgets the kinds of removed routes.
func (f *Forwarder) forgetKinds(c *catalog.Configuration) {
	names := make(map[string]bool, len(c.Routes))
	for _, r := range c.Routes {
		names[r.Name] = true
	}
	f.flood.Retain(func(name string) bool { return names[name] })
	maps.DeleteFunc(f.usual, func(name string, _ *usual) bool { return !names[name] })
}

// domainFor returns the failure domain whose targets a new flow shall use.
func (f *Forwarder) domainFor(now time.Duration, service string, kind catalog.Kind, hash uint64) string {
	domains := f.domains[service]
	if len(domains) < 2 || now-f.domainsAt >= loadsFor {
		return f.config.Domain
	}
	const salt = 0x1f83d9abfb41bd6b // makes the draw independent of the other choices
	draw := float64(rendezvous.Mix(hash, salt)>>11) / (1 << 53)
	calm := balance.SpillThresholdIdempotent
	if kind == catalog.NonIdempotent {
		calm = balance.SpillThresholdNonIdempotent
	}
	return balance.Spill(f.config.Domain, domains, calm, draw)
}

// isCutOff reports whether the failure domain of a target is out of reach. The
// answer is kept for a moment, since it takes a look at every target of the service.
func (f *Forwarder) isCutOff(now time.Duration, t *catalog.Target) bool {
	if t.Domain == f.config.Domain {
		return false
	}
	key := place{t.Service, t.Domain}
	known, ok := f.cuts[key]
	if !ok || now-known.at >= cutKept {
		known = cut{at: now, off: f.lookForCut(now, t)}
		f.cuts[key] = known
	}
	return known.off
}

// cut is whether a service's targets in a domain are out of reach, as found at at.
type cut struct {
	at  time.Duration
	off bool
}

// lookForCut reports whether flows to several targets of t's service and domain are
// stuck, none of these targets shows life, and those of the own domain do.
func (f *Forwarder) lookForCut(now time.Duration, t *catalog.Target) bool {
	stuckTargets := 0
	localAnswers := false
	for _, other := range f.view.Service(t.Service) {
		seen := &f.evidence[other.Slot]
		alive, ok := seen.LastAlive()
		switch {
		case other.Domain == f.config.Domain:
			localAnswers = localAnswers || ok && now-alive < lifeSigns
		case other.Domain != t.Domain:
		case ok && now-alive < cutSilence:
			return false
		case seen.StuckFlows() > 0:
			stuckTargets++
		}
	}
	return localAnswers && stuckTargets >= cutTargets
}
