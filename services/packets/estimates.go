package packets

import (
	"math"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/events"
)

// applyReports passes the reports of the other VMs to the forwarder, and logs the targets
// whose estimated speed left the usual range.
func (s *Service) applyReports(now time.Duration, reports []relay.ReceivedReport) {
	s.forwarder.SetReports(now, reports)
	spread := s.forwarder.Spread(now)
	s.spread.Store(&spread)
	for _, c := range s.forwarder.TakeSpeedChanges() {
		const decimals = 100
		s.log.Log(events.TargetSpeed,
			events.F("target", c.Target.ID),
			events.F("service", c.Target.Service),
			events.F("speed", math.Round(c.Speed*decimals)/decimals))
	}
}
