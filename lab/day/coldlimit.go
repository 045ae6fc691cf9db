package day

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// openedFlow is a flow that a cold target took.
type openedFlow struct{ sentAt, arrivedAt time.Duration }

// coldLimit returns the number of new flows that a cold target of the service may get in a second;
// ok is false if it has no limit.
func (s *Service) coldLimit() (limit int, ok bool) {
	return int(s.ColdPerSecond*coldOverage) + coldSlack, s.ColdPerSecond > 0
}

// checkColdLimit checks the limit of a cold target that takes a new flow. Counted are flows whose
// SYNs were sent and arrived within the same second, whatever trouble there is.
func (o *oracle) checkColdLimit(t *target, p flow.Packet) {
	limit, limited := t.service.coldLimit()
	now := o.now()
	if !limited || now >= t.coldUntil {
		t.openedCold = nil
		return
	}
	sentAt := now
	if f := o.fleet.callers.flows[p.Flow]; f != nil {
		sentAt = f.synAt
	}
	t.openedCold = slices.DeleteFunc(t.openedCold, func(f openedFlow) bool { return now-f.arrivedAt >= time.Second })
	t.openedCold = append(t.openedCold, openedFlow{sentAt: sentAt, arrivedAt: now})
	counted := 0
	for _, f := range t.openedCold {
		if now-f.sentAt < time.Second {
			counted++
		}
	}
	t.peakCold = max(t.peakCold, counted)
	if counted == limit+1 {
		o.recordViolation(ColdLimit, "%s, cold for another %s, got %d new flows in a second", t.id, t.coldUntil-now, counted)
	}
}
