package lab

import (
	"fmt"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/decide/message"
)

// slowThreshold is the latency above which a completed call counts as slow. It is
// above the latencies of the workload files without faults.
const slowThreshold = 500 * time.Millisecond

// DomainImpact counts the affected calls to the targets of one failure domain.
type DomainImpact struct {
	Domain string `json:"domain"` // empty: the flow had no target
	Calls  int    `json:"calls"`
	// Calls by the second of their scheduled arrival, from the start of the load.
	Failed []int `json:"failed"` // without an answer
	Slow   []int `json:"slow"`   // answered after more than 500 ms
}

// impactCounter counts affected calls by failure domain.
type impactCounter struct {
	domainOf map[message.TargetID]string
	seconds  int
	all      []*DomainImpact
}

func newImpactCounter(targets []Target, load time.Duration) *impactCounter {
	i := &impactCounter{domainOf: make(map[message.TargetID]string), seconds: int(load/time.Second) + 1}
	for _, t := range targets {
		i.domainOf[t.ID] = t.Domain
	}
	return i
}

// record counts a call that was scheduled at the given time since the start of the
// load.
func (i *impactCounter) record(scheduled, latency time.Duration, result session.Result) {
	d := i.impactOf(i.domainOf[result.Target])
	d.Calls++
	second := min(max(int(scheduled/time.Second), 0), i.seconds-1)
	switch {
	case result.Err != nil:
		d.Failed[second]++
	case latency > slowThreshold:
		d.Slow[second]++
	}
}

// impactOf returns the counts of a failure domain, which it adds if needed.
func (i *impactCounter) impactOf(domain string) *DomainImpact {
	at := slices.IndexFunc(i.all, func(d *DomainImpact) bool { return d.Domain == domain })
	if at >= 0 {
		return i.all[at]
	}
	d := &DomainImpact{Domain: domain, Failed: make([]int, i.seconds), Slow: make([]int, i.seconds)}
	i.all = append(i.all, d)
	return d
}

// report returns the counts, sorted by the name of the failure domain.
func (i *impactCounter) report() []DomainImpact {
	var list []DomainImpact
	for _, d := range i.all {
		list = append(list, *d)
	}
	slices.SortFunc(list, func(a, b DomainImpact) int {
		if a.Domain < b.Domain {
			return -1
		}
		return 1
	})
	return list
}

// String returns a one-line summary.
func (d DomainImpact) String() string {
	where := "flows without a target"
	if d.Domain != "" {
		where = "targets in " + d.Domain
	}
	return fmt.Sprintf("%s: %d calls, failed %s, above %d ms %s", where, d.Calls,
		formatCounts(d.Failed), slowThreshold.Milliseconds(), formatCounts(d.Slow))
}

// formatCounts returns the sum of the counts and the first and last second that has
// any.
func formatCounts(bySecond []int) string {
	sum, first, last := 0, -1, 0
	for second, count := range bySecond {
		if count == 0 {
			continue
		}
		sum += count
		last = second
		if first < 0 {
			first = second
		}
	}
	if sum == 0 {
		return "0"
	}
	return fmt.Sprintf("%d (seconds %d to %d)", sum, first, last)
}
