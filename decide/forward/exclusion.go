package forward

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// exclusion is why a target gets no new flows of a route, whatever else is available.
type exclusion uint8

// The exclusions.
const (
	notExcluded    exclusion = iota
	notRouted                // the route does not name its service, or no longer does
	notAccepting             // it is gone, draining, or its entry is malformed
	evacuated                // the operators have evacuated its failure domain
	outsideRegions           // its region is none of the route's
	unreachable              // its failure domain is unreachable, and the VM's own is evacuated
	coldLimit                // it is cold, and this VM may send it no more flows now
)

// String returns the exclusion as it appears in explanations.
func (e exclusion) String() string {
	return [...]string{"", "not_routed", "not_accepting", "evacuated", "outside_regions", "unreachable", "cold_limit"}[e]
}

// exclusion returns why t gets no new flow of route.
func (f *Forwarder) exclusion(now time.Duration, t *catalog.Target, route *catalog.Route) exclusion {
	switch {
	case !route.Names(t.Service):
		return notRouted
	case !t.AcceptsFlows(now):
		return notAccepting
	case f.view.Evacuated(t.Domain):
		return evacuated
	case len(route.Regions) > 0 && !slices.Contains(route.Regions, f.config.Regions[t.Domain]):
		return outsideRegions
	case f.view.Evacuated(f.config.Domain) && f.cannotUse(now, t):
		// With targets of its own domain the VM tries unreachable ones last. Here it would send
		// them all flows, which their callers then wait for in vain.
		return unreachable
	case f.cold.withholds(now, t, &f.evidence[t.Slot]):
		return coldLimit
	default:
		return notExcluded
	}
}

// cannotUse reports whether the failure domain of t is unreachable, by what this VM has seen of
// its targets or by the missing reports of its VMs.
func (f *Forwarder) cannotUse(now time.Duration, t *catalog.Target) bool {
	return f.isDomainUnreachable(now, t) || slices.Contains(f.usable.unusable[t.Service], t.Domain)
}

// noTargetReason returns why a flow that no target can take is reset: Evacuated if a target
// would take it but for the evacuation of its failure domain, otherwise ColdLimit if one would
// take it but for the limit of cold targets.
func (f *Forwarder) noTargetReason(now time.Duration, k flow.Key, route *catalog.Route) Reason {
	reason := NoTarget
	for _, t := range f.view.Service(serviceOf(route, k.Hash())) {
		switch f.exclusion(now, t, route) {
		case evacuated:
			return Evacuated
		case coldLimit:
			reason = ColdLimit
		}
	}
	return reason
}
