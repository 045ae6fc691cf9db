package relay

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/services/catalogwatch"
)

// logArrivals logs the updates of the replica that an input has led to: how old they may be, by
// which way they came, and what this VM has waited for before.
func (s *Service) logArrivals(now time.Duration, in input) {
	if in.store != nil {
		s.storeWaits = s.storeWaits.Add(in.store.Waits)
	}
	for _, a := range s.machine.TakeArrivals() {
		s.arrivals[a.Way].Add(1)
		s.longestBehind.Store(max(s.longestBehind.Load(), int64(a.Behind)))
		s.logArrival(a, now-in.queuedAt)
		s.storeWaits = catalogwatch.Waits{}
	}
}

func (s *Service) logArrival(a relay.Arrival, queued time.Duration) {
	s.log.Log(events.ChangesReceived,
		events.F("revision", a.Revision),
		events.F("keys", a.Keys),
		events.F("way", a.Way),
		events.F("from", a.VM),
		events.F("behind_ms", a.Behind.Milliseconds()),
		events.F("known_ms", a.Known.Milliseconds()),
		events.F("pulls_failed", a.PullsFailed),
		events.F("calls_failed", a.CallsFailed),
		events.F("failed_calls_ms", s.storeWaits.FailedCalls.Milliseconds()),
		events.F("retry_ms", s.storeWaits.RetryDelays.Milliseconds()),
		events.F("pause_ms", s.storeWaits.Pauses.Milliseconds()),
		events.F("pages", s.storeWaits.Pages),
		events.F("queued_ms", queued.Milliseconds()))
}
