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
	// activeDecay is the weight of the previous value in the moving average of a domain's
	// requests in progress. Reports arrive twice a second, so that the average covers
	// about two seconds.
	activeDecay = 0.7
	// A remote failure domain counts as unreachable when unreachableMinTargets of its
	// targets have stuck flows and none has responded for unreachableSilence. A single
	// such target may have died.
	unreachableMinTargets = 2
	unreachableSilence    = 500 * time.Millisecond
	// unreachableCacheTTL is how long the result of checkUnreachable is cached.
	unreachableCacheTTL = 50 * time.Millisecond
	// loadReportTTL is the age at which the load reports expire. Without reports new
	// flows stay in the VM's own domain.
	loadReportTTL = 3 * time.Second
	// startPeriod is the time after a VM's start in which late copies of SYNs may be deferred.
	// After an outage of all VMs, callers give up an attempt after 1.4 s and then return, so
	// that what they could not send has come back within about this time.
	startPeriod = 2 * time.Second
	// learnPeriod is the time after a VM's start in which it may not know the usual rates of
	// requests, which takes four seconds of load.
	learnPeriod = 10 * time.Second
	// firstCopyAge and secondCopyAge are the times after its first SYN at which a caller
	// retransmits it. There are no more copies.
	firstCopyAge  = 200 * time.Millisecond
	secondCopyAge = 600 * time.Millisecond
)

// serviceDomain identifies the targets of one service in one failure domain.
type serviceDomain struct {
	service string
	domain  string
}

// Loads returns the flows and requests in progress of this VM, without expired ones, summed
// by service and by failure domain of the targets, and sorted.
func (f *Forwarder) Loads() []relay.Load {
	sums := make(map[serviceDomain]relay.Load)
	for t := range f.loaded {
		load := f.loads[t.Slot]
		key := serviceDomain{t.Service, t.Domain}
		sum := sums[key]
		sum.TargetDomain, sum.Service = t.Domain, t.Service
		sum.Flows += uint32(load.Flows)
		sum.ActiveRequests += uint32(f.recentRequests[t.Slot])
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

// SetDomainLoads replaces the loads that the VMs of all failure domains reported. It
// updates the averages for the choice of domains and the limits of services.
func (f *Forwarder) SetDomainLoads(now time.Duration, loads []relay.Load) {
	active := make(map[serviceDomain]float64) // sums of loads, replaced by the averages below
	for _, l := range loads {
		active[serviceDomain{l.Service, l.TargetDomain}] += float64(l.ActiveRequests)
	}
	f.reports.record(now, loads)
	f.usable = f.countCapacity(now, f.countedServices(loads))
	services := make(map[string][]balance.Domain)
	for key, n := range f.usable.slots {
		average := activeDecay*f.averageActive[key] + (1-activeDecay)*active[key]
		active[key] = average
		services[key.service] = append(services[key.service], balance.Domain{Name: key.domain, Slots: n, ActiveRequests: average})
	}
	for _, domains := range services {
		slices.SortFunc(domains, func(a, b balance.Domain) int { return cmp.Compare(a.Name, b.Name) })
	}
	f.updateLimiter(now, loads)
	f.averageActive = active
	f.domains = services
	f.domainsAt = now
	f.updateLateness(now)
}

// countedServices returns the services whose capacity is counted: those that appear in loads,
// had requests in the previous reports, have flows of this VM, or are limited. The cost does not
// grow with the number of idle services and targets.
func (f *Forwarder) countedServices(loads []relay.Load) map[string]bool {
	const minActive = 0.05 // average number of requests in progress
	services := make(map[string]bool)
	for _, l := range loads {
		services[l.Service] = true
	}
	for key, average := range f.averageActive {
		if average >= minActive {
			services[key.service] = true
		}
	}
	for name, load := range f.serviceLoads {
		if load.Flows > 0 {
			services[name] = true
		}
	}
	for _, name := range f.flood.LimitedServices() {
		services[name] = true
	}
	return services
}

// updateLimiter reports the load of each service to the flood limiter, summed over the domains
// whose targets count as capacity.
func (f *Forwarder) updateLimiter(now time.Duration, loads []relay.Load) {
	reports := make(map[string]*flood.Report)
	for key, n := range f.usable.slots {
		if reports[key.service] == nil {
			reports[key.service] = &flood.Report{Service: key.service}
		}
		reports[key.service].Slots += n
	}
	flows := make(map[string]float64)
	for _, l := range loads {
		flows[l.Service] += float64(l.Flows)
		if r := reports[l.Service]; r != nil && f.usable.slots[serviceDomain{l.Service, l.TargetDomain}] > 0 {
			r.ActiveRequests += float64(l.ActiveRequests)
		}
	}
	clear(f.pressures)
	for service, r := range reports {
		if r.Slots > 0 {
			f.pressures[service] = r.ActiveRequests / float64(r.Slots)
		}
		r.Share = f.shareOf(float64(f.serviceLoad(service).Flows), flows[service])
		r.Starting = f.startedWithin(now, learnPeriod)
		f.flood.SetReport(now, *r)
	}
}

// shareOf returns the part of a service's load that is this VM's: by its flows of all reported
// ones, and at least half of an equal part, since a VM that has just started has few flows.
func (f *Forwarder) shareOf(ownFlows, reportedFlows float64) float64 {
	byFlows := ownFlows / max(reportedFlows, ownFlows, 1)
	if f.fleetSize == 0 {
		return byFlows
	}
	return max(byFlows, 0.5/float64(f.fleetSize))
}

// startedWithin reports whether the VM has had its catalog for less than d.
func (f *Forwarder) startedWithin(now, d time.Duration) bool {
	syncedAt, synced := f.view.SyncedAt()
	return synced && now-syncedAt < d
}

// LimitedServices returns the services whose load is so high that requests are held
// and new flows refused, sorted.
func (f *Forwarder) LimitedServices() []string { return f.flood.LimitedServices() }

// admit reports whether the flood limiter admits a new flow. Retransmitted SYNs are
// always admitted: an earlier one was, at this VM or at another. Their Ack is not 0.
func (f *Forwarder) admit(now time.Duration, p flow.Packet, route *catalog.Route) bool {
	if p.Ack > 0 {
		return true
	}
	service := serviceOf(route, p.Flow.Hash())
	return f.flood.Admit(now, route.Name, service, f.usableActive(service), false)
}

// synCopyAge returns the time from a caller's first SYN to its copy number n, from 1.
func synCopyAge(n uint32) time.Duration {
	if n == 1 {
		return firstCopyAge
	}
	return secondCopyAge
}

// SetFleetSize sets the number of VMs of all failure domains.
func (f *Forwarder) SetFleetSize(vms int) { f.fleetSize = vms }

// shouldDefer reports whether a retransmitted SYN of an unknown flow is dropped; see
// flood.Copy.
func (f *Forwarder) shouldDefer(now time.Duration, p flow.Packet, route *catalog.Route) bool {
	if p.Ack == 0 || f.fleetSize == 0 || route.Latency == 0 || !f.startedWithin(now, startPeriod) {
		return false
	}
	service := serviceOf(route, p.Flow.Hash())
	slots := 0
	for _, t := range f.view.Service(service) {
		if f.view.AcceptsFlows(now, t) {
			slots += t.Slots
		}
	}
	seconds, _ := f.routeBaseline(route).time.Value()
	late := flood.Copy{
		Age:            synCopyAge(p.Ack),
		Expected:       time.Duration(seconds * float64(time.Second)),
		Objective:      route.Latency,
		ActiveRequests: f.serviceLoad(service).ActiveRequests,
		FairShare:      float64(slots) / float64(f.fleetSize),
	}
	return late.Defer()
}

// shouldHold reports whether the data of a request is held: the packet is dropped, and
// the caller retransmits it after 200 ms. This keeps the queues of targets short, so
// that forwarded requests and those of other routes are answered in time. Data that this
// VM has forwarded before and further data of a request in progress are not held.
func (f *Forwarder) shouldHold(now time.Duration, r *record, p flow.Packet, route *catalog.Route) bool {
	if p.Len == 0 || r.active || route == nil || r.hasData && !newer(p.Seq+uint32(p.Len), r.seqEnd) {
		return false
	}
	if now < r.heldUntil {
		return true
	}
	service := r.target.Service
	if slices.Contains(f.usable.unusable[service], r.target.Domain) {
		// Its domain is evacuated or cut off: the request takes no capacity of new flows.
		return false
	}
	if r.heldSince == 0 {
		f.flood.RecordRequest(now, route.Name, route.Priority, service)
		r.heldSince = now
	}
	overdue := route.Latency > 0 && now-r.heldSince >= route.Latency/2
	if f.flood.Admit(now, route.Name, service, f.usableActive(service), overdue) {
		r.heldSince = 0
		return false
	}
	r.heldUntil = now + holdTime
	return true
}

// forgetRemovedRoutes deletes the state of routes that c does not contain.
func (f *Forwarder) forgetRemovedRoutes(c *catalog.Configuration) {
	names := make(map[string]bool, len(c.Routes))
	for _, r := range c.Routes {
		names[r.Name] = true
	}
	f.flood.Retain(func(name string) bool { return names[name] })
	maps.DeleteFunc(f.baselines, func(name string, _ *baseline) bool { return !names[name] })
	maps.DeleteFunc(f.latenesses, func(name string, _ *routeLateness) bool { return !names[name] })
}

// domainFor returns the failure domain whose targets are preferred for a new flow. The
// draw depends only on the flow's hash, so that a retransmitted SYN draws the same.
func (f *Forwarder) domainFor(now time.Duration, service string, kind catalog.Kind, hash uint64) string {
	domains := f.domains[service]
	if len(domains) < 2 || now-f.domainsAt >= loadReportTTL {
		return f.config.Domain
	}
	const salt = 0x1f83d9abfb41bd6b // decorrelates the draw from other uses of the hash
	draw := float64(rendezvous.Mix(hash, salt)>>11) / (1 << 53)
	threshold := balance.SpillThresholdIdempotent
	if kind == catalog.NonIdempotent {
		threshold = balance.SpillThresholdNonIdempotent
	}
	return balance.Spill(f.config.Domain, domains, threshold, draw)
}

// isDomainUnreachable reports whether the failure domain of t is unreachable from this
// VM. The result is cached, since the check visits every target of the service.
func (f *Forwarder) isDomainUnreachable(now time.Duration, t *catalog.Target) bool {
	if t.Domain == f.config.Domain {
		return false
	}
	key := serviceDomain{t.Service, t.Domain}
	check, ok := f.reachability[key]
	if !ok || now-check.at >= unreachableCacheTTL {
		check = reachabilityCheck{at: now, unreachable: f.checkUnreachable(now, t)}
		f.reachability[key] = check
	}
	return check.unreachable
}

// reachabilityCheck is the cached result of checkUnreachable for one serviceDomain.
type reachabilityCheck struct {
	at          time.Duration
	unreachable bool
}

// checkUnreachable reports whether several targets of t's service and domain have stuck
// flows, no target there has responded lately, and a target of the local domain has.
func (f *Forwarder) checkUnreachable(now time.Duration, t *catalog.Target) bool {
	stuckTargets := 0
	localResponds := false
	for _, other := range f.view.Service(t.Service) {
		tracker := &f.evidence[other.Slot]
		alive, ok := tracker.LastAlive()
		switch {
		case other.Domain == f.config.Domain:
			localResponds = localResponds || ok && now-alive < aliveWindow
		case other.Domain != t.Domain:
		case ok && now-alive < unreachableSilence:
			return false
		case tracker.StuckFlows(now) > 0:
			stuckTargets++
		}
	}
	return localResponds && stuckTargets >= unreachableMinTargets
}
