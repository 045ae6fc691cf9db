// Package flood decides which requests and new flows a VM holds or refuses while
// the targets of a service have more work than they can take in time.
//
// The VM bounds the requests in progress that it causes to its share of what the
// targets can take (by J. Little's law, 1961, the time of a request is then bounded
// as well). Up to the bound everything is admitted. Above it a kind of request that
// is above its usual rate yields first, whatever its priority, so that other kinds
// keep their service; when none is, the less urgent kinds yield.
package flood

import (
	"slices"
	"time"
)

const (
	// perSlot is the number of requests in progress for each slot up to which a
	// request waits about as long as it is worked on.
	perSlot = 2.0
	// floodPart is the part of the bound that a flooding kind may fill, so that other
	// kinds find room.
	floodPart = 0.85
	// overduePart is the part of its room that a kind may fill with requests that can
	// no longer be answered within the latency objective: those that still can go
	// first.
	overduePart = 0.6
	// urgencyStep is how far above the bound a kind may go for each level of urgency
	// that it is above the least urgent kind, as a part of the bound.
	urgencyStep = 0.5
	// start and end are the pressures, requests in progress for each slot of the
	// service, at which bounds begin and cease to hold.
	start = perSlot
	end   = 1.2
	// sudden is the part of its bound at which a VM applies the bound by itself, before
	// the next report: far more than chance brings.
	sudden = 2.5
	// leastBound is the smallest bound: a VM with few flows may have several requests
	// in progress by chance.
	leastBound = 5.0
	// endAfter is how long the pressure must be below end.
	endAfter = 2 * time.Second
	// window is the time over which the present rate of a kind is counted.
	window = 500 * time.Millisecond
	// usualKeep is the part of the usual rate that one calm window keeps; the average
	// covers about 20 seconds.
	usualKeep = 0.975
	// learnedAfter is the number of calm windows after which a usual rate is known.
	learnedAfter = 8
	// above is how far above its usual rate a kind floods, and spareRate is added to
	// the usual rate, in requests a second, so that a rare kind does not flood with a
	// few requests.
	above     = 1.5
	spareRate = 2.0
)

// kind is what is known of one kind of request.
type kind struct {
	priority int // 0 is the most urgent
	service  string
	begin    time.Duration // of the present window
	count    int           // requests in it
	rate     float64       // of the last window, requests a second
	usual    float64       // requests a second
	calm     int           // calm windows that usual was learned from
}

// floods reports whether the kind is above its usual rate.
func (k *kind) floods() bool {
	return k.calm >= learnedAfter && k.rate > above*(k.usual+spareRate)
}

// pressure is the state of one service.
type pressure struct {
	bounded bool
	calmAt  time.Duration // since when the pressure is below end
	bound   float64       // requests in progress that this VM may cause
	least   int           // priority of the least urgent kind
}

// Limiter limits one VM. See New.
type Limiter struct {
	kinds    map[string]*kind
	services map[string]*pressure
}

// New returns a limiter that admits everything.
func New() *Limiter {
	return &Limiter{kinds: make(map[string]*kind), services: make(map[string]*pressure)}
}

// Report is what the fleet knows of one service.
type Report struct {
	Service string
	Busy    float64 // requests in progress of all VMs
	Slots   int     // of all targets that take flows
	Share   float64 // this VM's part of the fleet's flows, 0 to 1
}

// SetReport takes a report.
func (l *Limiter) SetReport(now time.Duration, r Report) {
	p := l.services[r.Service]
	if p == nil {
		p = &pressure{}
		l.services[r.Service] = p
	}
	p.bound = max(perSlot*float64(r.Slots)*r.Share, leastBound)
	p.least = 0
	for _, k := range l.kinds {
		if k.service == r.Service {
			l.roll(now, k)
			p.least = max(p.least, k.priority)
		}
	}
	level := 0.0
	if r.Slots > 0 {
		level = r.Busy / float64(r.Slots)
	}
	switch {
	case level >= start:
		p.bounded = true
		p.calmAt = now + endAfter
	case level >= end:
		p.calmAt = now + endAfter
	case now >= p.calmAt:
		p.bounded = false
	}
}

// Limited reports whether the requests of a service are bounded now.
func (l *Limiter) Limited(service string) bool {
	p := l.services[service]
	return p != nil && p.bounded
}

// LimitedServices returns the services whose requests are bounded now, sorted.
func (l *Limiter) LimitedServices() []string {
	var names []string
	for name, p := range l.services {
		if p.bounded {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// RecordRequest counts a request of the kind called name.
func (l *Limiter) RecordRequest(now time.Duration, name string, priority int, service string) {
	k := l.kinds[name]
	if k == nil {
		k = &kind{begin: now}
		l.kinds[name] = k
	}
	k.priority, k.service = priority, service
	l.roll(now, k)
	k.count++
}

// Admit reports whether a request, or a new flow, of a kind may go to the targets
// while this VM causes busy requests in progress there. overdue says that it can't
// be answered within its latency objective any more.
func (l *Limiter) Admit(now time.Duration, name string, service string, busy int, overdue bool) bool {
	p := l.services[service]
	if p == nil {
		return true
	}
	if !p.bounded && float64(busy) >= sudden*p.bound {
		p.bounded = true
		p.calmAt = now + endAfter
	}
	if !p.bounded {
		return true
	}
	k := l.kinds[name]
	if k == nil {
		return true
	}
	load := float64(busy) / p.bound
	if k.floods() && overdue {
		return load < floodPart*overduePart
	}
	if k.floods() {
		return load < floodPart
	}
	if load < 1 {
		return true
	}
	levels := p.least - k.priority
	if l.anyFloods(service) || levels > 0 && l.mostUrgent(k) {
		// Its usual work goes on.
		return true
	}
	return load < 1+urgencyStep*float64(levels)
}

// anyFloods reports whether a kind of the service floods.
func (l *Limiter) anyFloods(service string) bool {
	for _, k := range l.kinds {
		if k.service == service && k.floods() {
			return true
		}
	}
	return false
}

// mostUrgent reports whether no kind of its service is more urgent than k.
func (l *Limiter) mostUrgent(k *kind) bool {
	for _, other := range l.kinds {
		if other.service == k.service && other.priority < k.priority {
			return false
		}
	}
	return true
}

// roll closes the present window when it is over, and learns from a calm one.
func (l *Limiter) roll(now time.Duration, k *kind) {
	passed := now - k.begin
	if passed < window {
		return
	}
	k.rate = float64(k.count) / passed.Seconds()
	k.begin, k.count = now, 0
	if l.Limited(k.service) {
		return
	}
	k.calm++
	// The first windows weigh more, so that the average does not begin at zero.
	keep := min(usualKeep, 1-1/float64(k.calm))
	k.usual = keep*k.usual + (1-keep)*k.rate
}

// Retain removes the kinds that keep does not select, such as those of removed
// routes.
func (l *Limiter) Retain(keep func(name string) bool) {
	for name := range l.kinds {
		if !keep(name) {
			delete(l.kinds, name)
		}
	}
}
