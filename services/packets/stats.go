package packets

import "github.com/gypsumspan/gypsumspan/decide/forward"

// Stats holds packet counters since start, and the gauges Flows, Outliers and ColdTokens.
type Stats struct {
	Received  uint64
	Malformed uint64 // not decoded
	Forwarded uint64
	Realigned uint64 // SYNs sent again to targets at which their flow has not opened
	Resets    uint64
	Dropped   uint64
	Failed    uint64 // not sent because of a socket error
	Flows     uint64 // gauge: entries in the flow table
	// Contested and Hints are gauges: see forward.Contested and forward.Hints. AdoptedByHint counts
	// flows that went on by a hint against their cookie, and FlowsNotTold flows that other VMs were
	// not told of, or hints that were not kept, for lack of room.
	Contested     uint64
	Hints         uint64
	AdoptedByHint uint64
	FlowsNotTold  uint64
	Outliers      uint64 // gauge: targets ejected as outliers
	// ColdTokens is a gauge: the flows that this VM may send to cold targets in any second.
	ColdTokens uint64
	// KeptFromCold counts SYNs for which a cold target was left out, see
	// forward.FlowsKeptFromColdTargets.
	KeptFromCold uint64
	// LoadSpread and SpeedSpread are gauges: see forward.Spread.
	LoadSpread  float64
	SpeedSpread float64
	// ByReason counts packets by the reason of their verdict. Resets that are sent without a
	// packet of the flow are in Resets only.
	ByReason [forward.Reasons]uint64
}

// Stats returns the counters and gauges. It is safe for concurrent use.
func (s *Service) Stats() Stats {
	var spread forward.Spread
	if p := s.spread.Load(); p != nil {
		spread = *p
	}
	return Stats{
		Received:  s.received.Load(),
		Malformed: s.malformed.Load(),
		Forwarded: s.forwarded.Load(),
		Realigned: s.realigned.Load(),
		Resets:    s.resets.Load(),
		Dropped:   s.dropped.Load(),
		Failed:    s.failed.Load(),
		Flows:     s.flows.Load(),

		Contested:     s.contested.Load(),
		Hints:         s.hints.Load(),
		AdoptedByHint: s.adoptedHints.Load(),
		FlowsNotTold:  s.flowsNotTold.Load(),

		Outliers:     s.outlierCount.Load(),
		ColdTokens:   s.coldTokens.Load(),
		KeptFromCold: s.keptFromCold.Load(),
		LoadSpread:   spread.Load,
		SpeedSpread:  spread.Speed,
		ByReason:     s.reasonCounts(),
	}
}

// publishStats updates what Stats returns of the forwarder's state.
func (s *Service) publishStats() {
	f := s.forwarder
	s.flows.Store(uint64(f.Flows()))
	s.contested.Store(uint64(f.Contested()))
	s.hints.Store(uint64(f.Hints()))
	s.flowsNotTold.Store(f.FlowsNotTold())
	s.keptFromCold.Store(f.FlowsKeptFromColdTargets())
}

func (s *Service) reasonCounts() (counts [forward.Reasons]uint64) {
	for i := range counts {
		counts[i] = s.byReason[i].Load()
	}
	return counts
}
