// Package estimate is what a VM believes of the load and the speed of one target.
//
// A VM knows its own flows and requests exactly. Those of the other VMs of its failure
// domain come in reports that are up to about a second old, so that the number of their
// flows is of use, since most flows last for many seconds, and the number of their
// requests in progress hardly is, since most requests take less than a tenth of a second.
//
// The speed of a target is the inverse of its response times relative to the mean of the
// route, as the VMs measure them from packet headers. A VM sees too few responses of a
// target to judge it alone; the reports carry the sums.
package estimate

import (
	"math"
	"time"
)

const (
	// halfLife is the half-life of the observed response times. With ten requests a second
	// at a target, as on Gastro and Niwl, the estimate then covers about 70 requests, and
	// its standard error is below 10%.
	halfLife = 5 * time.Second
	// decayStep is the shortest time between two updates of the decay, so that most
	// responses need no exponential function.
	decayStep = 100 * time.Millisecond
	// priorRequests is the number of requests at speed 1 that are added to the observed
	// ones, so that a few responses do not make an estimate.
	priorRequests = 10
	// minSpeed and maxSpeed bound the estimate. A target that is slower gets no new flows
	// by outlier detection.
	minSpeed = 0.25
	maxSpeed = 4
	// ReportTTL is the age at which a report expires.
	ReportTTL = 3 * time.Second
	// minRequests is the decayed number of observed requests below which they are dropped.
	minRequests = 0.05
)

// Responses are the responses observed at one target, decayed.
type Responses struct {
	Requests     float64
	RelativeTime float64 // sum of the response times divided by the mean of their route
}

// decayed returns r after a time.
func (r Responses) decayed(age time.Duration) Responses {
	factor := math.Exp2(-age.Seconds() / halfLife.Seconds())
	return Responses{Requests: r.Requests * factor, RelativeTime: r.RelativeTime * factor}
}

// Load is the load that other VMs put on one target.
type Load struct {
	Flows          float64 // open flows
	ActiveRequests float64 // requests in progress
}

// Target is what a VM believes of one target. Its zero value knows nothing.
type Target struct {
	own          Responses
	ownDecayedAt time.Duration

	others     Load
	reportedAt time.Duration
	reported   bool
	speed      float64 // as of the report
}

// RecordResponse records a response of the target to this VM's callers. relative is its
// response time divided by the mean of the route.
func (t *Target) RecordResponse(now time.Duration, relative float64) {
	if now >= t.ownDecayedAt+decayStep {
		t.own = t.own.decayed(now - t.ownDecayedAt)
		t.ownDecayedAt = now
	}
	t.own.Requests++
	t.own.RelativeTime += relative
}

// OwnResponses returns the responses to this VM's callers. ok is false if there are next
// to none.
func (t *Target) OwnResponses(now time.Duration) (r Responses, ok bool) {
	r = t.own.decayed(now - t.ownDecayedAt)
	return r, r.Requests >= minRequests
}

// SetReport records what the other VMs of the failure domain reported at the time at.
func (t *Target) SetReport(at time.Duration, others Load, responses Responses) {
	t.others, t.reportedAt, t.reported = others, at, true
	own := t.own.decayed(at - t.ownDecayedAt)
	speed := (own.Requests + responses.Requests + priorRequests) / (own.RelativeTime + responses.RelativeTime + priorRequests)
	t.speed = min(max(speed, minSpeed), maxSpeed)
}

// ForgetSpeed forgets the responses, for a target that has started again.
func (t *Target) ForgetSpeed() { t.own, t.speed = Responses{}, 1 }

// Reported reports whether there is a report that has not expired.
func (t *Target) Reported(now time.Duration) bool {
	return t.reported && now-t.reportedAt < ReportTTL
}

// Others returns the load of the other VMs, zero without a report. Requests in progress at
// the time of the report end at a rate given by responseTime, the mean response time of the
// route; new ones are not counted, since flows already are.
func (t *Target) Others(now, responseTime time.Duration) Load {
	if !t.Reported(now) {
		return Load{}
	}
	load := t.others
	if load.ActiveRequests > 0 {
		load.ActiveRequests *= math.Exp(-(now - t.reportedAt).Seconds() / max(responseTime, time.Millisecond).Seconds())
	}
	return load
}

// Speed returns the speed of the target relative to the mean of those that serve the same
// routes, as of the last report; 1 without one.
func (t *Target) Speed(now time.Duration) float64 {
	if !t.Reported(now) {
		return 1
	}
	return t.speed
}
