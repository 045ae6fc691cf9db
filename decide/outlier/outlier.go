// Package outlier finds targets that serve worse than the others of their service:
// slow ones, and ones that fail part of their requests behind a good health answer.
//
// A VM counts requests and bad ones for each target, by what packet headers show. The
// counts decay, and those of a failure domain's VMs are added up, so that a fleet of
// many VMs finds a target of which each sees a few requests only. A target is an
// outlier by comparison: when a service has too much work, all its targets are slow
// and none is put aside (the passive health checks and ejection limits of service
// meshes work alike).
package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time in which a count falls to a half: a target that serves well
	// again is used again after a few seconds.
	halfLife = 1500 * time.Millisecond
	// decayStep is the time between two steps of the decay, so that most requests
	// cost no power function.
	decayStep = 100 * time.Millisecond
	// leastBad is the number of bad requests, and leastPart their part of those seen,
	// below which no target is an outlier. A few bad requests are chance.
	leastBad  = 4.0
	leastPart = 0.12
	// timesOthers is how many times the median of its group an outlier's bad requests
	// are. spareBad is added to the median, since it is often 0.
	timesOthers = 3.0
	spareBad    = 0.5
	// keepPart is the part of these limits above which an outlier stays one, so that
	// it does not come and go.
	keepPart = 0.4
	// mostPart is the largest part of a group's targets that may be put aside, so that
	// the others can take their work.
	mostPart = 0.4
)

// Count is the requests that one or more VMs have seen at a target.
type Count struct {
	Asked float64
	Bad   float64
}

// Add returns the sum of two counts.
func (c Count) Add(o Count) Count { return Count{Asked: c.Asked + o.Asked, Bad: c.Bad + o.Bad} }

// Counter counts the requests at one target. The zero value has seen none.
type Counter struct {
	count Count
	at    time.Duration // to which the count has decayed
}

// Record counts one request.
func (c *Counter) Record(now time.Duration, bad bool) {
	if now >= c.at+decayStep {
		c.count = c.Read(now)
		c.at = now
	}
	c.count.Asked++
	if bad {
		c.count.Bad++
	}
}

// Read returns the count as it has decayed until now.
func (c *Counter) Read(now time.Duration) Count {
	left := math.Exp2(-float64(now-c.at) / float64(halfLife))
	return Count{Asked: c.count.Asked * left, Bad: c.count.Bad * left}
}

// Target is one target of a group, usually a service's targets in one failure domain.
type Target struct {
	Count
	Ejected bool // it is put aside now
}

// Detect sets Ejected of every target of a group. Where half of the group or more serve
// badly the cause is not in the targets, and none is put aside.
func Detect(group []Target) {
	usual := median(group)
	order := make([]int, 0, len(group))
	for i := range group {
		t := &group[i]
		t.Ejected = t.isOutlier(usual)
		if t.Ejected {
			order = append(order, i)
		}
	}
	most := int(mostPart * float64(len(group)))
	if len(order) <= most {
		return
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(group[b].Bad, group[a].Bad) })
	for _, i := range order[most:] {
		group[i].Ejected = false
	}
}

// median returns the upper median of the bad requests of a group.
func median(group []Target) float64 {
	bad := make([]float64, 0, len(group))
	for _, t := range group {
		bad = append(bad, t.Bad)
	}
	if len(bad) == 0 {
		return 0
	}
	slices.Sort(bad)
	return bad[len(bad)/2]
}

// isOutlier compares a target with the usual number of bad requests.
func (t *Target) isOutlier(usual float64) bool {
	factor := 1.0
	if t.Ejected {
		factor = keepPart
	}
	return t.Bad >= factor*leastBad &&
		t.Bad >= factor*leastPart*t.Asked &&
		t.Bad >= factor*timesOthers*(usual+spareBad)
}

// Baseline is the usual value of something that varies by kind of request, such as the
// time of an answer. The zero value knows none.
type Baseline struct {
	mean float64
	n    int
}

const (
	// learned is the number of values after which the usual one is known.
	learned = 20
	// weight is the part of the mean that a new value makes up later.
	weight = 0.02
)

// Record takes in one value.
func (u *Baseline) Record(value float64) {
	u.n++
	part := max(weight, 1/float64(u.n))
	u.mean += part * (value - u.mean)
}

// Value returns the usual value; ok is false while too few were seen.
func (u *Baseline) Value() (value float64, ok bool) { return u.mean, u.n >= learned }
