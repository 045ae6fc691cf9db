// Package flood decides which new flows a VM refuses while the targets of a
// service have more work than they can take in time.
//
// Each kind of request has a usual rate of new flows, learned while the service is
// calm. Under pressure a kind that is above its usual rate yields first, whatever
// its priority, so that other kinds keep their service; when none is, the least
// urgent kind yields. The allowed rates fall while the pressure lasts and rise
// when it is gone (additive increase, multiplicative decrease; D. Chiu, R. Jain,
// 1989).
package flood

import "time"

const (
	// tooMuch is the pressure, requests in progress for each slot, above which flows
	// are refused: a request then waits about as long as it is worked on.
	tooMuch = 2.0
	// relaxed is the pressure below which allowances rise again.
	relaxed = 1.5
	// window is the time over which the present rate of a kind is counted.
	window = 500 * time.Millisecond
	// usualKeep is the part of the usual rate that one calm window keeps; the average
	// covers about 20 seconds.
	usualKeep = 0.975
	// learnedAfter is the number of calm windows after which a usual rate is known.
	learnedAfter = 8
	// above is how far above its usual rate a kind must be to yield first.
	above = 1.5
	// spareRate is added to usual rates, in flows a second, so that a rare kind does
	// not count as flooding because of a few flows.
	spareRate = 2.0
	// decrease and increase change allowances, as multiples of the usual rate, with
	// each report of the pressure.
	decrease = 0.6
	increase = 0.3
	// firstAllowance is the allowance of a kind that begins to yield.
	firstAllowance = 1.5
	// leastAllowance bounds the allowance of the least urgent kinds, so that none
	// starves.
	leastAllowance = 0.1
	// fullAllowance is the allowance at which a kind no longer yields.
	fullAllowance = 4.0
)

// kind is what is known of one kind of request.
type kind struct {
	priority  int // 0 is the most urgent
	service   string
	start     time.Duration // of the present window
	count     int           // new flows in it
	rate      float64       // of the last window, flows a second
	usual     float64       // flows a second
	calm      int           // calm windows that usual was learned from
	allowance float64       // multiple of the usual rate; fullAllowance: no limit
}

// Limiter limits the new flows of one VM. The zero value is not ready; see New.
type Limiter struct {
	kinds    map[string]*kind
	pressure map[string]float64 // by service
}

// New returns a limiter that admits everything.
func New() *Limiter {
	return &Limiter{kinds: make(map[string]*kind), pressure: make(map[string]float64)}
}

// Admit reports whether a new flow of the kind called name may be placed. draw is
// uniform in [0, 1).
func (l *Limiter) Admit(now time.Duration, name string, priority int, service string, draw float64) bool {
	k := l.kinds[name]
	if k == nil {
		k = &kind{start: now, allowance: fullAllowance}
		l.kinds[name] = k
	}
	k.priority, k.service = priority, service
	l.roll(now, k)
	k.count++
	if k.allowance >= fullAllowance || k.calm < learnedAfter {
		return true
	}
	present := max(k.rate, float64(k.count)/window.Seconds())
	return draw*present < k.allowed()
}

// allowed returns the new flows a second that k may have.
func (k *kind) allowed() float64 { return k.allowance * (k.usual + spareRate) }

// roll closes the present window when it is over.
func (l *Limiter) roll(now time.Duration, k *kind) {
	passed := now - k.start
	if passed < window {
		return
	}
	k.rate = float64(k.count) / passed.Seconds()
	k.start, k.count = now, 0
	if l.pressure[k.service] > relaxed || k.allowance < fullAllowance {
		return
	}
	k.calm++
	// The first windows weigh more, so that the average does not begin at zero.
	keep := min(usualKeep, 1-1/float64(k.calm))
	k.usual = keep*k.usual + (1-keep)*k.rate
}

// SetPressure takes a report of a service's requests in progress for each slot
// and adjusts the allowances of its kinds.
func (l *Limiter) SetPressure(now time.Duration, service string, pressure float64) {
	l.pressure[service] = pressure
	var kinds []*kind
	for _, k := range l.kinds {
		if k.service == service {
			l.roll(now, k)
			kinds = append(kinds, k)
		}
	}
	switch {
	case pressure > tooMuch:
		tighten(kinds)
	case pressure < relaxed:
		for _, k := range kinds {
			k.allowance = min(k.allowance+increase, fullAllowance)
		}
	}
}

// tighten lowers the allowances of the kinds that have to yield.
func tighten(kinds []*kind) {
	flooding := false
	for _, k := range kinds {
		if k.calm >= learnedAfter && k.rate > above*(k.usual+spareRate) {
			flooding = true
			k.lower(1)
		}
	}
	if flooding {
		return
	}
	least := -1
	for _, k := range kinds {
		if k.allowance > leastAllowance {
			least = max(least, k.priority)
		}
	}
	most := least
	for _, k := range kinds {
		most = min(most, k.priority)
	}
	for _, k := range kinds {
		// The most urgent kind yields only down to its usual rate.
		if k.priority == least && k.priority > most {
			k.lower(leastAllowance)
		} else if k.priority == least {
			k.lower(1)
		}
	}
}

// lower lowers the allowance, not below floor.
func (k *kind) lower(floor float64) {
	if k.allowance >= fullAllowance {
		k.allowance = max(firstAllowance, floor)
		return
	}
	k.allowance = max(min(k.allowance, max(k.allowance*decrease, floor)), leastAllowance)
}

// Forget removes the kinds that keep does not select, such as those of removed
// routes.
func (l *Limiter) Forget(keep func(name string) bool) {
	for name := range l.kinds {
		if !keep(name) {
			delete(l.kinds, name)
		}
	}
}
