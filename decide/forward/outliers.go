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
	// slowTimes and slowSpare make an answer slow: it takes slowTimes the usual time
	// of its route, and slowSpare more than it.
	slowTimes = 3
	slowSpare = 100 * time.Millisecond
	// repeatSpare is added to that for a request without any answer, whose data or
	// acknowledgement may have been lost once.
	repeatSpare = 300 * time.Millisecond
	// shortPart is the part of the usual size of a route's answers below which an
	// answer is short. Many kinds of failure are told in a few bytes.
	shortPart = 0.5
	// leastReported is the number of bad requests from which a target is reported to
	// other VMs.
	leastReported = 0.5
	// fullPressure is the number of requests in progress for each slot of the other
	// targets at which no target is put aside.
	fullPressure = 1.0
)

// usual is what is usual for the requests of one route.
type usual struct {
	time outlier.Baseline // of an answer, in seconds
	size outlier.Baseline // of an answer, in bytes
}

// slowFrom returns the time from which an answer is slow; ok is false while the usual
// time is not known.
func (u *usual) slowFrom() (limit time.Duration, ok bool) {
	seconds, ok := u.time.Value()
	mean := time.Duration(seconds * float64(time.Second))
	return max(slowTimes*mean, mean+slowSpare), ok
}

// conduct is how one target serves, as this VM and others see it.
type conduct struct {
	counter outlier.Counter
	aside   bool
}

// usualOf returns what is usual for a route.
func (f *Forwarder) usualOf(route *catalog.Route) *usual {
	u := f.usual[route.Name]
	if u == nil {
		u = &usual{}
		f.usual[route.Name] = u
	}
	return u
}

// usualFor returns what is usual for the route of a flow.
func (f *Forwarder) usualFor(r *record, route *catalog.Route) *usual {
	if r.usual == nil {
		r.usual = f.usualOf(route)
	}
	return r.usual
}

// noteConduct counts one request at a target.
func (f *Forwarder) noteConduct(now time.Duration, t *catalog.Target, bad bool) {
	f.conduct[t.Slot].counter.Record(now, bad)
	if bad {
		f.suspects[t] = true
	}
}

// judge counts the request that a packet shows as answered, or as ended by the next
// one. answered is the time of the answer, 0 when the packet shows none.
func (f *Forwarder) judge(now time.Duration, r *record, t *catalog.Target, route *catalog.Route, p flow.Packet, answered time.Duration) {
	if route == nil || r.transient {
		return
	}
	if answered > 0 {
		f.judgeTime(now, r, t, route, answered)
	}
	begins := p.Len > 0 && r.askedAt == now && r.busy
	if r.asked && (begins || p.Flags.Has(flow.FIN)) {
		f.judgeSize(now, r, t, route)
	}
	if begins {
		r.asked, r.askedAck = true, r.ack
	}
}

// judgeTime counts an answer by the time that it took.
func (f *Forwarder) judgeTime(now time.Duration, r *record, t *catalog.Target, route *catalog.Route, took time.Duration) {
	u := f.usualFor(r, route)
	limit, known := u.slowFrom()
	if known {
		// A slow target must not make slowness usual.
		took = min(took, limit)
	}
	u.time.Record(took.Seconds())
	if !r.judged && f.judges(now) {
		f.noteConduct(now, t, known && took >= limit)
	}
	r.judged = false
}

// judgeSize counts an answer that is much shorter than others as a bad one.
func (f *Forwarder) judgeSize(now time.Duration, r *record, t *catalog.Target, route *catalog.Route) {
	size := float64(r.ack - r.askedAck)
	u := f.usualFor(r, route)
	common, known := u.size.Value()
	u.size.Record(size)
	if known && size > 0 && size < shortPart*common && f.judges(now) {
		f.noteConduct(now, t, true)
	}
	r.asked = false
}

// judgeWaiting counts a request that has no answer for too long as a bad one.
func (f *Forwarder) judgeWaiting(now time.Duration, k flow.Key, r *record) {
	route := f.view.Route(k.Address)
	if r.judged || route == nil || !f.judges(now) {
		return
	}
	limit, known := f.usualFor(r, route).slowFrom()
	if known && now-r.askedAt >= limit+repeatSpare {
		r.judged = true
		f.noteConduct(now, r.target, true)
	}
}

// Samples returns what this VM has seen of targets with bad requests.
func (f *Forwarder) Samples(now time.Duration) []relay.Sample {
	var list []relay.Sample
	for t := range f.suspects {
		count := f.conduct[t.Slot].counter.Read(now)
		if count.Bad < leastReported || t.Gone(now) {
			delete(f.suspects, t)
			continue
		}
		list = append(list, relay.Sample{TargetCookie: uint32(t.Cookie), Requests: float32(count.Asked), Failures: float32(count.Bad)})
	}
	slices.SortFunc(list, func(a, b relay.Sample) int { return cmp.Compare(a.TargetCookie, b.TargetCookie) })
	return list
}

// SetSamples takes what the VMs of the own failure domain have seen of targets, and
// decides which targets get no new flows while others of their service and domain
// take them.
func (f *Forwarder) SetSamples(now time.Duration, samples []relay.Sample) {
	counts := make(map[*catalog.Target]outlier.Count, len(samples))
	places := make(map[place]bool)
	for _, s := range samples {
		if t := f.view.ByCookie(flow.Cookie(s.TargetCookie), nil); t != nil {
			counts[t] = outlier.Count{Asked: float64(s.Requests), Bad: float64(s.Failures)}
			places[place{t.Service, t.Domain}] = true
		}
	}
	former := f.aside
	f.aside = nil
	for _, t := range former {
		places[place{t.Service, t.Domain}] = true
	}
	for key := range places {
		f.findOutliers(now, key, counts)
	}
	for _, t := range former {
		if !slices.Contains(f.aside, t) {
			f.conduct[t.Slot].aside = false
		}
	}
	slices.SortFunc(f.aside, func(a, b *catalog.Target) int { return cmp.Compare(a.ID, b.ID) })
}

// findOutliers decides for the targets of a service in one failure domain.
func (f *Forwarder) findOutliers(now time.Duration, key place, counts map[*catalog.Target]outlier.Count) {
	var group []*catalog.Target
	var judged []outlier.Target
	for _, t := range f.view.Service(key.service) {
		if t.Domain == key.domain && t.AcceptsFlows(now) {
			group = append(group, t)
			judged = append(judged, outlier.Target{Count: counts[t], Ejected: f.conduct[t.Slot].aside})
		}
	}
	outlier.Detect(judged)
	slots := 0
	for i, t := range group {
		if !judged[i].Ejected {
			slots += t.Slots
		}
	}
	canTake := f.busyAt[key] <= fullPressure*float64(slots)
	for i, t := range group {
		f.conduct[t.Slot].aside = judged[i].Ejected && canTake
		if f.conduct[t.Slot].aside {
			f.aside = append(f.aside, t)
		}
	}
}

// Outliers returns the ids of the targets that are put aside, sorted.
func (f *Forwarder) Outliers() []string {
	ids := make([]string, 0, len(f.aside))
	for _, t := range f.aside {
		ids = append(ids, t.ID)
	}
	return ids
}
