package day

import (
	"slices"
	"time"
)

// waitGroup sums up the time that requests wait at the targets of one service in one
// failure domain.
type waitGroup struct {
	waitGroupKey
	queued      int // requests in queues
	inSystem    int // requests in queues and slots
	freeTargets int // targets with a free slot
	updatedAt   time.Duration

	// The integrals over time, in request-seconds.
	avoidable float64 // of queued requests while freeTargets is above 0
	waiting   float64 // of queued requests
	total     float64 // of requests in the system
}

// contribution is what a target adds to its group.
type contribution struct {
	queued, inSystem, free int
}

// waitMeasure measures how long requests wait in the queue of one target while another
// target of the same service and failure domain has a free slot.
type waitMeasure struct {
	timeline *timeline
	groups   []*waitGroup  // in the order of their first target, so that sums are deterministic
	from     time.Duration // start of the measurement
	to       time.Duration // end of the measurement; 0: not known yet
}

type waitGroupKey struct {
	service *Service
	domain  int
}

func newWaitMeasure(tl *timeline) *waitMeasure {
	return &waitMeasure{timeline: tl}
}

// begin starts the measurement, which ends at the time to.
func (m *waitMeasure) begin(to time.Duration) {
	m.from, m.to = m.timeline.now(), to
	for _, g := range m.groups {
		g.avoidable, g.waiting, g.total, g.updatedAt = 0, 0, 0, m.from
	}
}

// update accounts for a change of the slots or the queue of t.
func (m *waitMeasure) update(t *target) {
	g := m.group(waitGroupKey{t.service, t.node.domain})
	m.advance(g)
	c := contribution{queued: len(t.queue), inSystem: len(t.queue) + t.activeRequests}
	if t.up && !t.draining && t.activeRequests < t.service.Slots {
		c.free = 1
	}
	g.queued += c.queued - t.waitContribution.queued
	g.inSystem += c.inSystem - t.waitContribution.inSystem
	g.freeTargets += c.free - t.waitContribution.free
	t.waitContribution = c
}

func (m *waitMeasure) group(key waitGroupKey) *waitGroup {
	for _, g := range m.groups {
		if g.waitGroupKey == key {
			return g
		}
	}
	g := &waitGroup{waitGroupKey: key, updatedAt: m.timeline.now()}
	m.groups = append(m.groups, g)
	return g
}

// advance adds the time since the last update to the integrals.
func (m *waitMeasure) advance(g *waitGroup) {
	now := m.timeline.now()
	if m.to > 0 {
		now = min(now, m.to)
	}
	seconds := max(now-g.updatedAt, 0).Seconds()
	g.updatedAt = max(now, g.updatedAt)
	if g.freeTargets > 0 {
		g.avoidable += seconds * float64(g.queued)
	}
	g.waiting += seconds * float64(g.queued)
	g.total += seconds * float64(g.inSystem)
}

// WaitShare is the time that requests waited in queues of targets, relative to the time
// that they spent there in total.
type WaitShare struct {
	Avoidable float64 `json:"avoidable"` // while another target of the service in the domain had a free slot
	All       float64 `json:"all"`
}

// share returns the shares of a service, or of all services if service is nil.
func (m *waitMeasure) share(service *Service) WaitShare {
	var sum waitGroup
	for _, g := range m.groups {
		if service != nil && g.service != service {
			continue
		}
		m.advance(g)
		sum.avoidable += g.avoidable
		sum.waiting += g.waiting
		sum.total += g.total
	}
	if sum.total == 0 {
		return WaitShare{}
	}
	return WaitShare{Avoidable: sum.avoidable / sum.total, All: sum.waiting / sum.total}
}

// quantile returns the q-quantile of times, which it sorts; 0 if there are none.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

// kindReport returns the outcome of the requests of a kind.
func (t *tally) kindReport(k *Kind) KindReport {
	const milliseconds = 1000
	r := KindReport{Name: k.Name, counts: *t.kind(k), P99MS: quantile(t.times[k], 0.99).Seconds() * milliseconds}
	var sum time.Duration
	for _, d := range t.times[k] {
		sum += d
	}
	if n := len(t.times[k]); n > 0 {
		r.MeanMS = sum.Seconds() * milliseconds / float64(n)
	}
	return r
}
