// Package flood limits the concurrency of a VM's requests while the targets of a service
// are overloaded, and decides which requests and new flows are admitted.
//
// The limit is the VM's share of the requests in progress that the targets can serve in
// time. By Little's law (J. D. C. Little, 1961), limiting the requests in progress bounds
// the response time as well.
//
// The class of a request is its route. A class that floods, which means that its rate is
// far above its usual rate, is limited first, already below the limit and whatever its
// priority. All other classes are admitted up to the limit, and above it as long as any
// class floods, so that they keep their service. When no class floods, the less urgent
// classes are limited first, and the most urgent one not at all unless all have the same
// priority.
package flood

import (
	"slices"
	"time"
)

const (
	// limitPerSlot is the limit of requests in progress per slot. At this value a request
	// is queued for about as long as it is processed.
	limitPerSlot = 2.0
	// quietLimitPerSlot is the limit while it is known that no class floods. At the limit, load
	// close to the capacity would stay limited for seconds after a disturbance: requests that
	// are held come back as retransmissions and new attempts.
	quietLimitPerSlot = 3.0
	// floodingShare is the fraction of the limit up to which a flooding class is admitted,
	// so that capacity is left for other classes. The requests in progress of all classes
	// count.
	floodingShare = 0.85
	// overdueShare is the fraction of floodingShare up to which requests of a flooding
	// class that can no longer meet the latency objective are admitted. Requests that
	// still can are preferred.
	overdueShare = 0.6
	// priorityStep is the fraction of the limit by which the requests in progress may
	// exceed it for a class to be admitted, for each priority level of the class above the
	// least urgent class.
	priorityStep = 0.5
	// endPressure is the pressure, in requests in progress per slot of the service, at which
	// limiting ends. It starts at the limit per slot.
	endPressure = 1.2
	// immediateFactor is the multiple of the limit at which a VM starts limiting without
	// waiting for a report. It is above the random variation of normal load.
	immediateFactor = 2.5
	// minLimit is the smallest limit. A VM with few flows may have several requests in
	// progress by chance.
	minLimit = 5.0
	// endDelay is how long the pressure must be below endPressure before a report ends
	// limiting, and the minimum duration of limiting that started without a report.
	endDelay = 2 * time.Second
	// window is the minimum time over which the current rate of a class is measured.
	window = 500 * time.Millisecond
	// usualDecay is the weight of the previous value in the moving average of a class's
	// rate, per window without limiting. The average covers about 20 seconds.
	usualDecay = 0.975
	// minLearnedWindows is the minimum number of windows in the usual rate for a class to
	// count as flooding.
	minLearnedWindows = 8
	// A class floods when its rate exceeds floodFactor times the sum of its usual rate and
	// floodMargin, in requests per second. The margin keeps a rare class from flooding
	// with a few requests.
	floodFactor = 1.5
	floodMargin = 2.0
)

// class is the state of one class of requests.
type class struct {
	priority       int // 0 is the most urgent
	service        string
	windowStart    time.Duration // start of the current window
	windowCount    int           // requests in the current window
	rate           float64       // of the last closed window, in requests per second
	usualRate      float64       // moving average, in requests per second
	learnedWindows int           // windows in usualRate
}

// isFlooding reports whether the last rate of the class exceeds floodFactor times its
// usual rate with floodMargin.
func (c *class) isFlooding() bool {
	return c.learnedWindows >= minLearnedWindows && c.rate > floodFactor*(c.usualRate+floodMargin)
}

// serviceState is the state of one service.
type serviceState struct {
	limited     bool
	limitUntil  time.Duration // earliest end of limiting
	limit       float64       // requests in progress of this VM
	maxPriority int           // priority of the least urgent class
}

// Limiter limits the requests of one VM. It is created by New.
type Limiter struct {
	classes  map[string]*class
	services map[string]*serviceState
}

// New returns a limiter that admits everything.
func New() *Limiter {
	return &Limiter{classes: make(map[string]*class), services: make(map[string]*serviceState)}
}

// Report is the load of one service in the whole fleet.
type Report struct {
	Service        string
	ActiveRequests float64 // requests in progress of all VMs
	Slots          int     // of all targets that accept flows
	Share          float64 // this VM's share of the fleet's flows, 0 to 1
	// Starting is set while the VM can't have learned usual rates, since its start.
	Starting bool
}

// SetReport updates the limit of a service, and whether it is limited, from a report. It
// also closes the windows of the service's classes, since a class without requests does
// not close its own.
func (l *Limiter) SetReport(now time.Duration, r Report) {
	s := l.services[r.Service]
	if s == nil {
		s = &serviceState{}
		l.services[r.Service] = s
	}
	s.maxPriority = 0
	for _, c := range l.classes {
		if c.service == r.Service {
			l.closeWindow(now, c)
			s.maxPriority = max(s.maxPriority, c.priority)
		}
	}
	perSlot := l.perSlot(r)
	s.limit = max(perSlot*float64(r.Slots)*r.Share, minLimit)
	pressure := 0.0
	if r.Slots > 0 {
		pressure = r.ActiveRequests / float64(r.Slots)
	}
	switch {
	case pressure >= perSlot:
		s.limited = true
		s.limitUntil = now + endDelay
	case pressure >= endPressure:
		s.limitUntil = now + endDelay
	case now >= s.limitUntil:
		s.limited = false
	}
}

// perSlot returns the limit per slot of a service: quietLimitPerSlot if no class floods, which is
// known only of classes with a usual rate. After a start it is assumed: what callers repeat after
// a loss of power of all VMs passes within a second.
func (l *Limiter) perSlot(r Report) float64 {
	perSlot := limitPerSlot
	for _, c := range l.classes {
		if c.service != r.Service {
			continue
		}
		if c.isFlooding() || c.learnedWindows < minLearnedWindows && !r.Starting {
			return limitPerSlot
		}
		perSlot = quietLimitPerSlot
	}
	return perSlot
}

// Limited reports whether the requests of a service are limited now.
func (l *Limiter) Limited(service string) bool {
	s := l.services[service]
	return s != nil && s.limited
}

// LimitedServices returns the services whose requests are limited now, sorted.
func (l *Limiter) LimitedServices() []string {
	var names []string
	for name, s := range l.services {
		if s.limited {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// RecordRequest counts a request of the class called name and sets the priority and
// service of the class.
func (l *Limiter) RecordRequest(now time.Duration, name string, priority int, service string) {
	c := l.classes[name]
	if c == nil {
		c = &class{windowStart: now}
		l.classes[name] = c
	}
	c.priority, c.service = priority, service
	l.closeWindow(now, c)
	c.windowCount++
}

// Admit reports whether a request or new flow of the class called name is admitted while
// the VM has activeRequests in progress at the service. overdue is set for a request that
// can no longer meet its latency objective. Requests of a service without a report or of
// an unknown class are admitted. Admit starts limiting at immediateFactor times the limit.
func (l *Limiter) Admit(now time.Duration, name string, service string, activeRequests int, overdue bool) bool {
	s := l.services[service]
	if s == nil {
		return true
	}
	if !s.limited && float64(activeRequests) >= immediateFactor*s.limit {
		s.limited = true
		s.limitUntil = now + endDelay
	}
	if !s.limited {
		return true
	}
	c := l.classes[name]
	if c == nil {
		return true
	}
	load := float64(activeRequests) / s.limit
	if c.isFlooding() && overdue {
		return load < floodingShare*overdueShare
	}
	if c.isFlooding() {
		return load < floodingShare
	}
	if load < 1 {
		return true
	}
	levels := s.maxPriority - c.priority
	if l.anyFlooding(service) || levels > 0 && l.isMostUrgent(c) {
		// Its usual load continues.
		return true
	}
	return load < 1+priorityStep*float64(levels)
}

// anyFlooding reports whether any class of the service is flooding.
func (l *Limiter) anyFlooding(service string) bool {
	for _, c := range l.classes {
		if c.service == service && c.isFlooding() {
			return true
		}
	}
	return false
}

// isMostUrgent reports whether no class of the same service is more urgent than c.
func (l *Limiter) isMostUrgent(c *class) bool {
	for _, other := range l.classes {
		if other.service == c.service && other.priority < c.priority {
			return false
		}
	}
	return true
}

// closeWindow ends the current window of c once it has lasted for window. Unless the
// service is limited it updates the usual rate.
func (l *Limiter) closeWindow(now time.Duration, c *class) {
	elapsed := now - c.windowStart
	if elapsed < window {
		return
	}
	c.rate = float64(c.windowCount) / elapsed.Seconds()
	c.windowStart, c.windowCount = now, 0
	if l.Limited(c.service) {
		return
	}
	c.learnedWindows++
	// The first windows have equal weights, so that the average does not start at 0.
	decay := min(usualDecay, 1-1/float64(c.learnedWindows))
	c.usualRate = decay*c.usualRate + (1-decay)*c.rate
}

// Retain removes the classes for which keep returns false, such as those of removed
// routes.
func (l *Limiter) Retain(keep func(name string) bool) {
	for name := range l.classes {
		if !keep(name) {
			delete(l.classes, name)
		}
	}
}
