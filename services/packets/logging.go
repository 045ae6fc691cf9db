package packets

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/forward"
	"github.com/gypsumspan/gypsumspan/events"
)

// apply applies one input and logs the changes that it makes.
func (s *Service) apply(now time.Duration, in Input) {
	switch in.Store {
	case StoreLost:
		s.forwarder.StoreLost()
		return
	case StoreRegained:
		s.forwarder.StoreRegained(in.RegainedAt)
		return
	case StoreRewound:
		s.forwarder.StoreRewound(now)
		return
	case ChangesLacking, ChangesComplete:
		s.forwarder.SetLacksChanges(in.Store == ChangesLacking)
		return
	}
	if in.Do != nil {
		in.Do.run(now, s.forwarder)
		close(in.Do.done)
		return
	}
	if in.Grants != nil {
		s.forwarder.AddGrants(now, in.Grants)
		return
	}
	if in.Unanswered != nil {
		for _, u := range in.Unanswered {
			s.forwarder.HandleUnanswered(now, u)
		}
		return
	}
	if in.Unopened != nil {
		for _, u := range in.Unopened {
			s.handleUnopened(now, u)
		}
		return
	}
	if in.Opened != nil {
		for _, o := range in.Opened {
			s.handleOpened(now, o)
		}
		return
	}
	if in.Leaving {
		s.startLeaving(now)
		return
	}
	if in.Loads != nil {
		s.coldTokens.Store(uint64(s.forwarder.ColdTokens(now)))
		s.forwarder.SetOverloaded(in.Overloaded)
		s.forwarder.SetFleetSize(in.FleetSize)
		s.forwarder.SetDomainLoads(now, in.Loads)
		s.forwarder.SetSamples(now, in.Samples)
		s.logLimitedServices()
		s.logCapacity()
		s.logLateRoutes()
		s.logOutliers()
		s.applyReports(now, in.Reports)
		return
	}
	effect := s.forwarder.Apply(now, in.Change)
	s.logEffect(in.Change, effect, now-in.QueuedAt)
}

// logLimitedServices logs the services whose requests the flood limiter limits, when the
// list changes.
func (s *Service) logLimitedServices() {
	limitedServices := s.forwarder.LimitedServices()
	if slices.Equal(limitedServices, s.limitedServices) {
		return
	}
	s.limitedServices = limitedServices
	s.log.Log(events.PressureChanged, events.F("services", strings.Join(limitedServices, ",")))
}

// logCapacity logs the failure domains whose targets do not count as capacity, when the list
// changes.
func (s *Service) logCapacity() {
	domains := s.forwarder.UnusableDomains()
	if slices.Equal(domains, s.unusableDomains) {
		return
	}
	s.unusableDomains = domains
	s.log.Log(events.CapacityChanged, events.F("domains", strings.Join(domains, ",")))
}

// logLateRoutes logs the routes whose new flows are refused as too late, when the list changes,
// with the longest expected response time and its route's timeout.
func (s *Service) logLateRoutes() {
	var names []string
	var longest forward.LateRoute
	for _, r := range s.forwarder.LateRoutes() {
		names = append(names, r.Name)
		if r.Expected > longest.Expected {
			longest = r
		}
	}
	if slices.Equal(names, s.lateRoutes) {
		return
	}
	s.lateRoutes = names
	s.log.Log(events.RoutesTooLate,
		events.F("routes", strings.Join(names, ",")),
		events.F("expected_ms", longest.Expected.Milliseconds()),
		events.F("timeout_ms", longest.Timeout.Milliseconds()))
}

// logOutliers logs the targets that are ejected as outliers, when the list changes.
func (s *Service) logOutliers() {
	outliers := s.forwarder.Outliers()
	if slices.Equal(outliers, s.outliers) {
		return
	}
	s.outliers = outliers
	s.outlierCount.Store(uint64(len(outliers)))
	s.log.Log(events.OutliersChanged, events.F("targets", strings.Join(outliers, ",")))
}

// checkCatalogInForce marks the VM ready as soon as its catalog is in force.
func (s *Service) checkCatalogInForce(now time.Duration) {
	if s.ready.IsSet() || !s.forwarder.View().Ready(now) {
		return
	}
	// The receiver has not read from the socket yet.
	s.ages.RecordStall(now, now-s.openedAt)
	close(s.catalogInForce)
	s.ready.Set(true)
	s.log.Log(events.CatalogInForce,
		events.F("version", s.forwarder.View().Version()),
		events.F("revision", s.forwarder.View().Revision()))
}

// logEffect logs the effect of a change that came into force the given time after the service
// "relay" had it.
func (s *Service) logEffect(c catalog.Change, effect catalog.Effect, queued time.Duration) {
	queuedField := events.F("queued_ms", queued.Milliseconds())
	switch effect {
	case catalog.ConfigurationApplied:
		s.log.Log(events.ConfigurationApplied,
			events.F("version", c.Configuration.Version),
			events.F("revision", c.Revision),
			events.F("routes", len(c.Configuration.Routes)),
			queuedField)
	case catalog.TargetAdded, catalog.TargetChanged, catalog.TargetRestarted:
		s.log.Log(events.TargetChanged,
			events.F("target", c.Target.ID),
			events.F("service", c.Target.Service),
			events.F("address", c.Target.Address),
			events.F("domain", c.Target.Domain),
			events.F("state", c.Target.State),
			events.F("revision", c.Revision),
			queuedField)
	case catalog.DomainEvacuated, catalog.DomainRestored:
		s.log.Log(events.DomainEvacuation,
			events.F("domain", c.Evacuation.Domain),
			events.F("evacuated", c.Evacuation.Active),
			events.F("revision", c.Revision))
	case catalog.TargetRemoved:
		s.log.Log(events.TargetEntryRemoved,
			events.F("target", cmp.Or(c.RemovedTarget, c.InvalidTarget)),
			events.F("revision", c.Revision),
			queuedField)
	}
}

// logDeferredChanges logs the changes of an older copy of the store that came into force late.
func (s *Service) logDeferredChanges() {
	for _, c := range s.forwarder.TakeDeferredChanges() {
		s.logEffect(c.Change, c.Effect, 0)
	}
}

func (s *Service) logDecision(p flow.Packet, v forward.Verdict) {
	target, domain := "", ""
	if v.Target != nil {
		target, domain = v.Target.ID, v.Target.Domain
	}
	view := s.forwarder.View()
	s.log.Log(events.FlowDecided,
		events.F("caller", p.Flow.Caller),
		events.F("address", p.Flow.Address),
		events.F("action", v.Action),
		events.F("reason", v.Reason),
		events.F("target", target),
		events.F("target_domain", domain),
		events.F("version", view.Version()),
		events.F("revision", view.Revision()),
		events.F("copy", copyOf(p)),
		events.F("waited_ms", p.Age.Milliseconds()))
}

// logAdopted logs the first packet of a flow that the VM had no record of.
func (s *Service) logAdopted(k flow.Key, v forward.Verdict) {
	if v.Adopted == forward.AdoptedByHint {
		s.adoptedHints.Add(1)
	}
	s.log.Log(events.FlowAdopted, events.F("caller", k.Caller), events.F("address", k.Address), events.F("target", v.Target.ID), events.F("by", v.Adopted))
}

// copyOf returns how often a SYN was sent before; 0 for any other packet.
func copyOf(p flow.Packet) uint32 {
	if !p.Flags.Has(flow.SYN) {
		return 0
	}
	return p.Ack
}

// logJudgements logs the targets that were judged dead, and those that no longer are.
func (s *Service) logJudgements() {
	for _, c := range s.forwarder.TakeJudgements() {
		s.log.Log(events.TargetJudged,
			events.F("target", c.Target.ID),
			events.F("target_domain", c.Target.Domain),
			events.F("dead", c.Dead),
			events.F("cause", c.Cause),
			events.F("stuck_flows", c.StuckFlows),
			events.F("silent_ms", c.Silence.Milliseconds()),
			events.F("age_ms", c.Age.Milliseconds()),
			events.F("revision", c.Target.Revision))
	}
}

func (s *Service) logMalformed(err error) {
	s.log.Log(events.PacketMalformed, events.F("error", err))
}

func (s *Service) logSendFailed(to netip.AddrPort, err error) {
	s.log.Log(events.PacketSendFailed, events.F("to", to), events.F("error", err))
}
