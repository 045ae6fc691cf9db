// Package outlier detects targets that perform worse than the others of their service:
// slow ones, and ones that fail some requests while their health checks succeed.
//
// A VM counts the requests and failures of each target, as far as packet headers show
// them: a request fails if its response is slow, short or missing. The counts decay, and
// are summed over the VMs of a failure domain, so that a target is detected even if each
// VM sees only a few of its requests. A target is an outlier only in comparison with
// others: when a service is overloaded all its targets are slow, and none is ejected.
// Outlier detection in service meshes works alike, with passive health checks and a limit
// on ejections.
package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the half-life of a count. It lets a recovered target get new flows again
	// after a few seconds.
	halfLife = 1500 * time.Millisecond
	// decayStep is the shortest time between two updates of the decay, so that most
	// requests need no exponential function.
	decayStep = 100 * time.Millisecond
	// An outlier has at least minFailures failures, which are at least minFailureRatio of
	// its requests. Fewer can be due to chance.
	minFailures     = 4.0
	minFailureRatio = 0.12
	// The failures of an outlier are at least medianFactor times the sum of its
	// group's median and medianMargin. The margin is needed since the median is often 0.
	medianFactor = 3.0
	medianMargin = 0.5
	// hysteresisFactor scales these limits for a target that is ejected, so that it is not
	// ejected and restored again and again.
	hysteresisFactor = 0.4
	// maxEjectedRatio is the largest fraction of a group's targets that may be ejected, so
	// that the others can take over their load. The number is rounded down: in a group of one
	// or two targets none is ejected.
	maxEjectedRatio = 0.4
)

// Count is the decayed number of requests that one or more VMs have seen at a target.
type Count struct {
	Requests float64
	Failures float64 // requests whose response was slow, short or missing
}

// Add returns the sum of two counts.
func (c Count) Add(o Count) Count {
	return Count{Requests: c.Requests + o.Requests, Failures: c.Failures + o.Failures}
}

// Counter counts the requests at one target. Its zero value is ready to use.
type Counter struct {
	count     Count
	decayedAt time.Duration // time of the last update of the decay
}

// Record counts one request.
func (c *Counter) Record(now time.Duration, failed bool) {
	if now >= c.decayedAt+decayStep {
		c.count = c.Read(now)
		c.decayedAt = now
	}
	c.count.Requests++
	if failed {
		c.count.Failures++
	}
}

// Read returns the count decayed until now.
func (c *Counter) Read(now time.Duration) Count {
	decay := math.Exp2(-float64(now-c.decayedAt) / float64(halfLife))
	return Count{Requests: c.count.Requests * decay, Failures: c.count.Failures * decay}
}

// Target is one target of a group: the targets of a service in one failure domain.
type Target struct {
	Count
	Ejected bool // gets no new flows
}

// Detect sets Ejected of every target in a group, from its counts and the previous value
// of Ejected. When half of the group or more have failures the median is high, and a target
// is ejected only if it has far more: the cause is probably not in the targets. If more than
// maxEjectedRatio of the targets are outliers, only those with the most failures are ejected.
func Detect(group []Target) {
	groupMedian := median(group)
	outliers := make([]int, 0, len(group))
	for i := range group {
		t := &group[i]
		t.Ejected = t.isOutlier(groupMedian)
		if t.Ejected {
			outliers = append(outliers, i)
		}
	}
	maxEjected := int(maxEjectedRatio * float64(len(group)))
	if len(outliers) <= maxEjected {
		return
	}
	slices.SortStableFunc(outliers, func(a, b int) int { return cmp.Compare(group[b].Failures, group[a].Failures) })
	for _, i := range outliers[maxEjected:] {
		group[i].Ejected = false
	}
}

// median returns the upper median of the failures in a group.
func median(group []Target) float64 {
	failures := make([]float64, 0, len(group))
	for _, t := range group {
		failures = append(failures, t.Failures)
	}
	if len(failures) == 0 {
		return 0
	}
	slices.Sort(failures)
	return failures[len(failures)/2]
}

// isOutlier compares the failures of a target with the median of its group.
func (t *Target) isOutlier(groupMedian float64) bool {
	factor := 1.0
	if t.Ejected {
		factor = hysteresisFactor
	}
	return t.Failures >= factor*minFailures &&
		t.Failures >= factor*minFailureRatio*t.Requests &&
		t.Failures >= factor*medianFactor*(groupMedian+medianMargin)
}

// Baseline is the moving average of a value that depends on the route, such as the
// response time. The zero value has no samples.
type Baseline struct {
	mean    float64
	samples int
}

const (
	// minSamples is the number of samples from which the average is used.
	minSamples = 20
	// minWeight is the weight of a new sample once there are 1/minWeight samples. Before,
	// all samples have the same weight.
	minWeight = 0.02
)

// Record adds one sample.
func (b *Baseline) Record(value float64) {
	b.samples++
	weight := max(minWeight, 1/float64(b.samples))
	b.mean += weight * (value - b.mean)
}

// Value returns the average; ok is false while there are fewer than minSamples.
func (b *Baseline) Value() (value float64, ok bool) { return b.mean, b.samples >= minSamples }
