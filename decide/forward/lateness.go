package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flood"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// LateRoute is a route whose new flows are refused, since their requests can't be answered before
// the route's timeout.
type LateRoute struct {
	Name     string
	Expected time.Duration // response time
	Timeout  time.Duration
}

// routeLateness is the lateness of a route that has had responses.
type routeLateness struct {
	flood.Lateness
	route *catalog.Route // as of the last response
}

// lateness returns the state of a route, which it creates if needed.
func (f *Forwarder) lateness(route *catalog.Route) *routeLateness {
	l := f.latenesses[route.Name]
	if l == nil {
		l = &routeLateness{}
		f.latenesses[route.Name] = l
	}
	l.route = route
	return l
}

// pressureOf returns the reported requests in progress per slot of a service; 0 if unknown.
func (f *Forwarder) pressureOf(now time.Duration, service string) float64 {
	if now-f.domainsAt >= loadReportTTL {
		return 0
	}
	return f.pressures[service]
}

// updateLateness updates the routes that had responses, from new reports. A route with several
// services has the pressure of the least loaded one, so that none of its flows is refused that
// another service could take.
func (f *Forwarder) updateLateness(now time.Duration) {
	f.lateRoutes = f.lateRoutes[:0]
	for name, l := range f.latenesses {
		route := l.route
		pressure := f.pressureOf(now, route.Shares[0].Service)
		for _, share := range route.Shares[1:] {
			pressure = min(pressure, f.pressureOf(now, share.Service))
		}
		l.Update(pressure, route.Timeout)
		if l.Refusing() {
			f.lateRoutes = append(f.lateRoutes, LateRoute{Name: name, Expected: l.Expected(pressure), Timeout: route.Timeout})
		}
	}
	slices.SortFunc(f.lateRoutes, func(a, b LateRoute) int { return cmp.Compare(a.Name, b.Name) })
}

// LateRoutes returns the routes whose new flows are refused as too late, sorted by name. The
// caller must not change the list.
func (f *Forwarder) LateRoutes() []LateRoute { return f.lateRoutes }

// isTooLate reports whether a new flow is refused since its request can't be answered before its
// timeout. Retransmitted SYNs are admitted: an earlier one may have opened the flow, so that a
// refusal might not be true.
func (f *Forwarder) isTooLate(now time.Duration, p flow.Packet, route *catalog.Route) bool {
	if p.Ack > 0 || now-f.domainsAt >= loadReportTTL {
		return false
	}
	l := f.latenesses[route.Name]
	return l != nil && l.Refusing()
}

// UnusableDomains returns the failure domains whose targets do not count as capacity of some
// service, sorted: they are evacuated, unreachable or silent, or have no targets that accept
// flows.
func (f *Forwarder) UnusableDomains() []string {
	var domains []string
	for _, list := range f.usable.unusable {
		domains = append(domains, list...)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}
