package forward

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/balance"
	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/estimate"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/relay"
)

const (
	// defaultResponseTime is the response time of a route with too few responses.
	defaultResponseTime = 50 * time.Millisecond
	// placedHalfLife is the half-life of the count of flows that this VM has placed.
	placedHalfLife = 5 * time.Second
	// minPlaced is the decayed number of placed flows below which a service without reports is
	// forgotten.
	minPlaced = 0.1
	// meanReportAge is the mean age of reports at their receipt, and half of the time until
	// a flow that another VM places now appears in one.
	meanReportAge = 500 * time.Millisecond
	// maxSpeedDeviation and minSpeedDeviation bound the speeds that are not logged.
	maxSpeedDeviation = 1.4
	minSpeedDeviation = 0.7
)

// estimates is what this VM believes of the load and speed of targets.
type estimates struct {
	targets  []estimate.Target // by slot of the target
	observed map[*catalog.Target]bool
	services map[string]*serviceEstimate
	// unusual are the reported targets whose speed is outside of the usual range.
	unusual map[*catalog.Target]bool
	changes []SpeedChange // not yet returned by TakeSpeedChanges
}

func newEstimates() estimates {
	return estimates{
		observed: make(map[*catalog.Target]bool),
		services: make(map[string]*serviceEstimate),
		unusual:  make(map[*catalog.Target]bool),
	}
}

// serviceEstimate is what a VM knows of the flows of one service in its failure domain.
type serviceEstimate struct {
	placed      float64 // decayed number of flows that this VM has placed
	decayedAt   time.Duration
	othersFlows float64 // of other VMs, as last reported
	reportedAt  time.Duration
}

// SpeedChange is a target whose estimated speed has left the usual range, or is back in it.
type SpeedChange struct {
	Target *catalog.Target
	Speed  float64
}

// recordSpeed records a response for the estimate of a target's speed. Responses of a
// target that is warming up say nothing of its later speed.
func (f *Forwarder) recordSpeed(now time.Duration, t *catalog.Target, elapsed time.Duration, b *baseline) {
	mean, known := b.time.Value()
	if !known || mean <= 0 || now < t.ColdUntil || !f.canJudgeTargets(now) {
		return
	}
	f.estimates.targets[t.Slot].RecordResponse(now, elapsed.Seconds()/mean)
	f.estimates.observed[t] = true
}

// Reports returns the load of this VM at the targets of its failure domain, and their
// response times, sorted by cookie.
func (f *Forwarder) Reports(now time.Duration) []relay.TargetReport {
	list := make([]relay.TargetReport, 0, len(f.loaded))
	for t := range f.loaded {
		if t.Domain == f.config.Domain {
			list = append(list, f.report(now, t))
		}
	}
	for t := range f.estimates.observed {
		if _, ok := f.estimates.targets[t.Slot].OwnResponses(now); !ok || t.Gone(now) {
			delete(f.estimates.observed, t)
			continue
		}
		if !f.loaded[t] && t.Domain == f.config.Domain {
			list = append(list, f.report(now, t))
		}
	}
	slices.SortFunc(list, func(a, b relay.TargetReport) int { return cmp.Compare(a.TargetCookie, b.TargetCookie) })
	return list
}

func (f *Forwarder) report(now time.Duration, t *catalog.Target) relay.TargetReport {
	r, _ := f.estimates.targets[t.Slot].OwnResponses(now)
	return relay.TargetReport{
		TargetCookie:   uint32(t.Cookie),
		Flows:          uint32(f.loads[t.Slot].Flows),
		ActiveRequests: uint32(f.recentRequests[t.Slot]),
		Requests:       float32(r.Requests),
		RelativeTime:   float32(r.RelativeTime),
	}
}

// SetReports sets the sums of the reports of the other VMs of the failure domain.
func (f *Forwarder) SetReports(now time.Duration, reports []relay.ReceivedReport) {
	sums := make(map[string]float64)
	var at time.Duration
	for _, r := range reports {
		t := f.view.ByCookie(flow.Cookie(r.TargetCookie), nil)
		if t == nil || t.Domain != f.config.Domain {
			continue
		}
		tracker := &f.estimates.targets[t.Slot]
		tracker.SetReport(r.At, estimate.Load{Flows: float64(r.Flows), ActiveRequests: float64(r.ActiveRequests)},
			estimate.Responses{Requests: float64(r.Requests), RelativeTime: float64(r.RelativeTime)})
		sums[t.Service] += float64(r.Flows)
		at = max(at, r.At)
		f.noteSpeed(now, t)
	}
	for service, flows := range sums {
		s := f.serviceEstimate(service)
		s.othersFlows, s.reportedAt = flows, at
	}
	for service, s := range f.estimates.services {
		if now-s.reportedAt >= estimate.ReportTTL && s.placedAt(now) < minPlaced {
			delete(f.estimates.services, service)
		}
	}
	for t := range f.estimates.unusual {
		if t.Gone(now) {
			delete(f.estimates.unusual, t)
		}
	}
}

// noteSpeed records when the estimated speed of t leaves the usual range or comes back.
func (f *Forwarder) noteSpeed(now time.Duration, t *catalog.Target) {
	speed := f.estimates.targets[t.Slot].Speed(now)
	unusual := speed < minSpeedDeviation || speed > maxSpeedDeviation
	if unusual == f.estimates.unusual[t] {
		return
	}
	if unusual {
		f.estimates.unusual[t] = true
	} else {
		delete(f.estimates.unusual, t)
	}
	f.estimates.changes = append(f.estimates.changes, SpeedChange{Target: t, Speed: speed})
}

// TakeSpeedChanges returns the changes since the last call. The slice is valid until the
// next call of any method.
func (f *Forwarder) TakeSpeedChanges() []SpeedChange {
	taken := f.estimates.changes
	f.estimates.changes = f.estimates.changes[:0]
	return taken
}

func (f *Forwarder) serviceEstimate(service string) *serviceEstimate {
	s := f.estimates.services[service]
	if s == nil {
		s = &serviceEstimate{}
		f.estimates.services[service] = s
	}
	return s
}

// recordPlaced counts a flow that this VM places.
func (f *Forwarder) recordPlaced(now time.Duration, service string) {
	s := f.serviceEstimate(service)
	s.placed = s.placedAt(now) + 1
	s.decayedAt = now
}

// placedAt returns the decayed number of flows that this VM has placed.
func (s *serviceEstimate) placedAt(now time.Duration) float64 {
	return s.placed * math.Exp2(-(now-s.decayedAt).Seconds()/placedHalfLife.Seconds())
}

// choice returns the parameters of the choice of a target for a new flow. The other VMs
// are assumed to place flows like this one, in proportion to the flows that they have.
func (f *Forwarder) choice(now time.Duration, service string, hash uint64) balance.Choice {
	c := balance.Choice{Policy: f.config.Policy, Key: hash ^ f.config.Seed, VM: f.config.Seed}
	s := f.estimates.services[service]
	if s == nil || now-s.reportedAt >= estimate.ReportTTL {
		return c
	}
	ownFlows := max(float64(f.serviceLoad(service).Flows), 1)
	rate := s.placedAt(now) * math.Ln2 / placedHalfLife.Seconds() * (1 + s.othersFlows/ownFlows)
	c.NewFlows = rate * (now - s.reportedAt + meanReportAge).Seconds()
	return c
}

// candidate returns t as a candidate for a new flow.
func (f *Forwarder) candidate(now time.Duration, t *catalog.Target, responseTime time.Duration) balance.Candidate {
	c := balance.Candidate{ID: t.Number, Slots: t.Slots, Cold: now < t.ColdUntil, Load: f.loads[t.Slot]}
	if tracker := &f.estimates.targets[t.Slot]; tracker.Reported(now) {
		others := tracker.Others(now, responseTime)
		c.Others = balance.OtherLoad{Flows: others.Flows, ActiveRequests: others.ActiveRequests}
		c.Speed = tracker.Speed(now)
		c.Reported = true
	}
	return c
}

// meanResponseTime returns the mean response time of a route.
func (f *Forwarder) meanResponseTime(route *catalog.Route) time.Duration {
	if b := f.baselines[route.Name]; b != nil {
		if seconds, known := b.time.Value(); known {
			return time.Duration(seconds * float64(time.Second))
		}
	}
	return defaultResponseTime
}

// Spread says how unevenly the targets of a service are loaded, and how different they are.
type Spread struct {
	Load  float64 // standard deviation of the flows per slot and speed, over their mean
	Speed float64 // highest over lowest speed
}

// Spread returns the largest spreads of the services with reports.
func (f *Forwarder) Spread(now time.Duration) (largest Spread) {
	for service, s := range f.estimates.services {
		if now-s.reportedAt < estimate.ReportTTL {
			spread := f.spreadOf(now, service)
			largest.Load, largest.Speed = max(largest.Load, spread.Load), max(largest.Speed, spread.Speed)
		}
	}
	return largest
}

func (f *Forwarder) spreadOf(now time.Duration, service string) Spread {
	var n, sum, squares, slowest, fastest float64
	for _, t := range f.view.Service(service) {
		tracker := &f.estimates.targets[t.Slot]
		if t.Domain != f.config.Domain || t.Slots == 0 || !tracker.Reported(now) || !f.view.AcceptsFlows(now, t) {
			continue
		}
		speed := tracker.Speed(now)
		load := (tracker.Others(now, defaultResponseTime).Flows + float64(f.loads[t.Slot].Flows)) / (float64(t.Slots) * speed)
		n, sum, squares = n+1, sum+load, squares+load*load
		fastest = max(fastest, speed)
		if slowest == 0 || speed < slowest {
			slowest = speed
		}
	}
	if sum == 0 {
		return Spread{}
	}
	mean := sum / n
	return Spread{Load: math.Sqrt(max(squares/n-mean*mean, 0)) / mean, Speed: fastest / slowest}
}
