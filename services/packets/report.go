package packets

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/forward"
	"github.com/gypsumspan/gypsumspan/events"
)

// apply merges one input and logs what it has changed.
func (s *Service) apply(now time.Duration, in Input) {
	switch in.Store {
	case StoreLost:
		s.forwarder.StoreLost()
		return
	case StoreRegained:
		s.forwarder.StoreRegained(now)
		return
	}
	if in.Do != nil {
		in.Do.run(now, s.forwarder)
		close(in.Do.done)
		return
	}
	if in.Loads != nil {
		s.forwarder.SetBurdened(in.BusyRelay)
		s.forwarder.SetDomainLoads(now, in.Loads)
		s.forwarder.SetSamples(now, in.Samples)
		s.logBounded()
		s.logAside()
		return
	}
	effect := s.forwarder.Apply(now, in.Change)
	s.logEffect(in.Change, effect)
}

// logBounded logs the services whose requests begin or cease to be bounded.
func (s *Service) logBounded() {
	bounded := s.forwarder.BoundedServices()
	if slices.Equal(bounded, s.bounded) {
		return
	}
	s.bounded = bounded
	s.log.Log(events.PressureChanged, events.F("services", strings.Join(bounded, ",")))
}

// logAside logs the targets that are put aside, when these change.
func (s *Service) logAside() {
	aside := s.forwarder.Aside()
	if slices.Equal(aside, s.aside) {
		return
	}
	s.aside = aside
	s.asideNow.Store(uint64(len(aside)))
	s.log.Log(events.OutliersChanged, events.F("targets", strings.Join(aside, ",")))
}

// checkInForce makes the VM ready once its catalog is.
func (s *Service) checkInForce(now time.Duration) {
	if s.ready.IsSet() || !s.forwarder.View().Ready(now) {
		return
	}
	close(s.inForce)
	s.ready.Set(true)
	s.log.Log(events.CatalogInForce,
		events.F("version", s.forwarder.View().Version()),
		events.F("revision", s.forwarder.View().Revision()))
}

func (s *Service) logEffect(c catalog.Change, effect catalog.Effect) {
	switch effect {
	case catalog.ConfigurationApplied:
		s.log.Log(events.ConfigurationApplied,
			events.F("version", c.Configuration.Version),
			events.F("revision", c.Revision),
			events.F("routes", len(c.Configuration.Routes)))
	case catalog.TargetAdded, catalog.TargetChanged:
		s.log.Log(events.TargetChanged,
			events.F("target", c.Target.ID),
			events.F("service", c.Target.Service),
			events.F("address", c.Target.Address),
			events.F("domain", c.Target.Domain),
			events.F("state", c.Target.State),
			events.F("revision", c.Revision))
	case catalog.TargetRemoved:
		s.log.Log(events.TargetEntryRemoved,
			events.F("target", c.Gone),
			events.F("revision", c.Revision))
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
		events.F("revision", view.Revision()))
}

func (s *Service) logMalformed(err error) {
	s.log.Log(events.PacketMalformed, events.F("error", err))
}

func (s *Service) logSendFailed(to netip.AddrPort, err error) {
	s.log.Log(events.PacketSendFailed, events.F("to", to), events.F("error", err))
}
