package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/outlier"
	"github.com/gypsumspan/gypsumspan/decide/relay"
)

const (
	// A response is slow when it takes at least slowFactor times the mean response time
	// of its route, and at least slowMargin longer than the mean.
	slowFactor = 3
	slowMargin = 100 * time.Millisecond
	// retransmitMargin is added to the slow threshold for requests without a response,
	// whose data or acknowledgement may have been lost once.
	retransmitMargin = 300 * time.Millisecond
	// shortResponseRatio is the fraction of the mean response size of a route below
	// which a request counts as failed. Error responses are often a few bytes long.
	shortResponseRatio = 0.5
	// minReportedFailures is the decayed number of failures from which a target is reported
	// to other VMs.
	minReportedFailures = 0.5
	// maxEjectPressure is the number of requests in progress per slot of the remaining
	// targets above which no target is ejected.
	maxEjectPressure = 1.0
)

// baseline is the mean response time and size of one route.
type baseline struct {
	time outlier.Baseline // seconds
	size outlier.Baseline // bytes
}

// slowThreshold returns the response time from which a response is slow; ok is false
// while too few responses were seen.
func (b *baseline) slowThreshold() (limit time.Duration, ok bool) {
	seconds, ok := b.time.Value()
	mean := time.Duration(seconds * float64(time.Second))
	return max(slowFactor*mean, mean+slowMargin), ok
}

// outlierState is one target's request counter and whether the target is ejected.
type outlierState struct {
	counter outlier.Counter
	ejected bool
}

// routeBaseline returns the baseline of a route, which it creates if needed.
func (f *Forwarder) routeBaseline(route *catalog.Route) *baseline {
	b := f.baselines[route.Name]
	if b == nil {
		b = &baseline{}
		f.baselines[route.Name] = b
	}
	return b
}

// flowBaseline returns the baseline of a flow's route and caches it in the flow's record.
func (f *Forwarder) flowBaseline(r *record, route *catalog.Route) *baseline {
	if r.baseline == nil {
		r.baseline = f.routeBaseline(route)
	}
	return r.baseline
}

// recordRequest counts one request at a target.
func (f *Forwarder) recordRequest(now time.Duration, t *catalog.Target, failed bool) {
	f.outlierStates[t.Slot].counter.Record(now, failed)
	if failed {
		f.failedRequestTargets[t] = true
	}
}

// recordOutcome counts the request that a packet completes: by acknowledging the first
// part of the response, after responseTime, and by starting the next request or closing
// the flow. responseTime is 0 when the packet acknowledges no response.
func (f *Forwarder) recordOutcome(now time.Duration, r *record, t *catalog.Target, route *catalog.Route, p flow.Packet, responseTime time.Duration) {
	if route == nil || r.untracked {
		return
	}
	if responseTime > 0 {
		f.recordResponseTime(now, r, t, route, responseTime)
	}
	begins := p.Len > 0 && r.requestAt == now && r.active
	if r.requestSeen && (begins || p.Flags.Has(flow.FIN)) {
		f.recordResponseSize(now, r, t, route)
	}
	if begins {
		r.requestSeen, r.requestAck = true, r.ack
	}
}

// recordResponseTime counts a request, as failed if its response was slow.
func (f *Forwarder) recordResponseTime(now time.Duration, r *record, t *catalog.Target, route *catalog.Route, elapsed time.Duration) {
	b := f.flowBaseline(r, route)
	limit, known := b.slowThreshold()
	if known {
		// Limits how much a slow target raises the mean.
		elapsed = min(elapsed, limit)
	}
	b.time.Record(elapsed.Seconds())
	if known && !r.countedFailure {
		f.recordSpeed(now, t, elapsed, b)
	}
	f.lateness(route).Record(elapsed, f.pressureOf(now, t.Service))
	if !r.countedFailure && f.canJudgeTargets(now) {
		f.recordRequest(now, t, known && elapsed >= limit)
	}
	r.countedFailure = false
}

// recordResponseSize counts one failed request if the response was much shorter than the
// mean. This is in addition to the request that recordResponseTime has counted.
func (f *Forwarder) recordResponseSize(now time.Duration, r *record, t *catalog.Target, route *catalog.Route) {
	size := float64(r.ack - r.requestAck)
	b := f.flowBaseline(r, route)
	mean, known := b.size.Value()
	b.size.Record(size)
	if known && size > 0 && size < shortResponseRatio*mean && f.canJudgeTargets(now) {
		f.recordRequest(now, t, true)
	}
	r.requestSeen = false
}

// recordOverdue counts a request without a response for too long as failed.
func (f *Forwarder) recordOverdue(now time.Duration, k flow.Key, r *record) {
	route := f.view.Route(k.Address)
	if r.countedFailure || route == nil || !f.canJudgeTargets(now) {
		return
	}
	limit, known := f.flowBaseline(r, route).slowThreshold()
	if known && now-r.requestAt >= limit+retransmitMargin {
		r.countedFailure = true
		f.recordRequest(now, r.target, true)
	}
}

// Samples returns the request counts of targets with failures, sorted by cookie.
func (f *Forwarder) Samples(now time.Duration) []relay.Sample {
	var list []relay.Sample
	for t := range f.failedRequestTargets {
		count := f.outlierStates[t.Slot].counter.Read(now)
		if count.Failures < minReportedFailures || t.Gone(now) {
			delete(f.failedRequestTargets, t)
			continue
		}
		list = append(list, relay.Sample{TargetCookie: uint32(t.Cookie), Requests: float32(count.Requests), Failures: float32(count.Failures)})
	}
	slices.SortFunc(list, func(a, b relay.Sample) int { return cmp.Compare(a.TargetCookie, b.TargetCookie) })
	return list
}

// SetSamples replaces the request counts, summed over the VMs of the local failure
// domain, and decides which targets are ejected: they get no new flows while a healthy
// target of their service, in any domain, accepts them.
func (f *Forwarder) SetSamples(now time.Duration, samples []relay.Sample) {
	counts := make(map[*catalog.Target]outlier.Count, len(samples))
	affected := make(map[serviceDomain]bool)
	for _, s := range samples {
		if t := f.view.ByCookie(flow.Cookie(s.TargetCookie), nil); t != nil {
			counts[t] = outlier.Count{Requests: float64(s.Requests), Failures: float64(s.Failures)}
			affected[serviceDomain{t.Service, t.Domain}] = true
		}
	}
	previous := f.ejected
	f.ejected = nil
	for _, t := range previous {
		affected[serviceDomain{t.Service, t.Domain}] = true
	}
	for key := range affected {
		f.updateOutliers(now, key, counts)
	}
	for _, t := range previous {
		if !slices.Contains(f.ejected, t) {
			f.outlierStates[t.Slot].ejected = false
		}
	}
	slices.SortFunc(f.ejected, func(a, b *catalog.Target) int { return cmp.Compare(a.ID, b.ID) })
}

// updateOutliers decides which targets of a service in one failure domain are ejected.
func (f *Forwarder) updateOutliers(now time.Duration, key serviceDomain, counts map[*catalog.Target]outlier.Count) {
	var group []*catalog.Target
	var candidates []outlier.Target
	for _, t := range f.view.Service(key.service) {
		if t.Domain == key.domain && f.view.AcceptsFlows(now, t) {
			group = append(group, t)
			candidates = append(candidates, outlier.Target{Count: counts[t], Ejected: f.outlierStates[t.Slot].ejected})
		}
	}
	outlier.Detect(candidates)
	slots := 0
	for i, t := range group {
		if !candidates[i].Ejected {
			slots += t.Slots
		}
	}
	spareCapacity := f.averageActive[key] <= maxEjectPressure*float64(slots)
	for i, t := range group {
		f.outlierStates[t.Slot].ejected = candidates[i].Ejected && spareCapacity
		if f.outlierStates[t.Slot].ejected {
			f.ejected = append(f.ejected, t)
		}
	}
}

// Outliers returns the ids of the ejected targets, sorted.
func (f *Forwarder) Outliers() []string {
	ids := make([]string, 0, len(f.ejected))
	for _, t := range f.ejected {
		ids = append(ids, t.ID)
	}
	return ids
}
