package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/relay"
)

const (
	// maxJudgedDomains is the number of failure domains up to which missing load reports are
	// evidence. A heartbeat carries the eight highest loads; with more domains, that of a
	// domain with little load may be left out of it.
	maxJudgedDomains = 4
	// silentDomainEnd is how long a domain without load reports stays out of the capacity
	// while the catalog is fresh. Targets that are cut off from the store lose their entries
	// within three reports. If they are listed for longer, only the VMs of the domain are gone.
	silentDomainEnd = 10 * time.Second
)

// domainReports records which failure domains have VMs that report loads. A domain is silent
// if it has reported before and no longer does: it is partitioned from this VM, or its VMs have
// lost power. Its zero value is ready to use.
type domainReports struct {
	lastReport map[string]time.Duration
}

// record records the loads that are known at now; those of silent VMs have expired.
func (d *domainReports) record(now time.Duration, loads []relay.Load) {
	if d.lastReport == nil {
		d.lastReport = make(map[string]time.Duration)
	}
	for _, l := range loads {
		d.lastReport[l.Domain] = now
	}
}

// silent reports whether the VMs of a domain have reported loads before, but not at now. fresh
// is whether the catalog is fresh; while it is, the result ends after silentDomainEnd.
func (d *domainReports) silent(now time.Duration, domain string, fresh bool) bool {
	last, ok := d.lastReport[domain]
	if !ok || last == now || len(d.lastReport) > maxJudgedDomains {
		return false
	}
	return !fresh || now-last < silentDomainEnd
}

// capacity is the slots of the targets of some services that this VM can use now, by service
// and failure domain. Domains without usable targets are absent from slots, and listed in unusable
// by service if they have targets.
type capacity struct {
	slots    map[serviceDomain]int
	unusable map[string][]string
}

// countCapacity returns the capacity of the named services. Left out are targets that accept no
// flows, also because their domain is evacuated, and the targets of domains that are unreachable,
// or whose VMs are silent and none of whose targets has responded to this VM lately.
func (f *Forwarder) countCapacity(now time.Duration, services map[string]bool) capacity {
	c := capacity{slots: make(map[serviceDomain]int), unusable: make(map[string][]string)}
	fresh := f.view.Fresh(now)
	for name := range services {
		domains := make(map[string]bool)
		responds := make(map[string]bool) // by silent domain
		for _, t := range f.view.Service(name) {
			domains[t.Domain] = true
			if !f.view.AcceptsFlows(now, t) || f.isDomainUnreachable(now, t) {
				continue
			}
			if t.Domain != f.config.Domain && f.reports.silent(now, t.Domain, fresh) {
				alive, ok := f.evidence[t.Slot].LastAlive()
				responds[t.Domain] = responds[t.Domain] || ok && now-alive < loadReportTTL
			}
			c.slots[serviceDomain{t.Service, t.Domain}] += t.Slots
		}
		for domain, ok := range responds {
			if !ok {
				delete(c.slots, serviceDomain{name, domain})
			}
		}
		for _, domain := range slices.Sorted(maps.Keys(domains)) {
			if c.slots[serviceDomain{name, domain}] == 0 {
				c.unusable[name] = append(c.unusable[name], domain)
			}
		}
	}
	return c
}

// usableActive returns the requests in progress of this VM at the targets of a service that
// count as capacity. Requests at an evacuated or unreachable domain take none of it.
func (f *Forwarder) usableActive(service string) int {
	active := f.serviceLoad(service).ActiveRequests
	for _, domain := range f.usable.unusable[service] {
		active -= f.activeByDomain[serviceDomain{service, domain}]
	}
	return active
}

// addActive changes the requests in progress at a service in a domain.
func (f *Forwarder) addActive(key serviceDomain, change int) {
	n := f.activeByDomain[key] + change
	if n == 0 {
		delete(f.activeByDomain, key)
		return
	}
	f.activeByDomain[key] = n
}
