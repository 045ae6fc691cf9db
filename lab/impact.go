package lab

import (
	"fmt"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/decide/message"
)

// slowCall is the latency above which an answer counts as slow. It is above the
// latencies of the workload files without faults.
const slowCall = 500 * time.Millisecond

// DomainImpact says when calls to the targets of a failure domain were affected.
type DomainImpact struct {
	Domain string `json:"domain"` // empty: the flow had no target
	Calls  int    `json:"calls"`
	// Calls by the second of their scheduled arrival, from the begin of the load.
	Failed []int `json:"failed"` // without an answer
	Slow   []int `json:"slow"`   // answered after more than 500 ms
}

// impacts counts affected calls by failure domain.
type impacts struct {
	domains map[message.TargetID]string
	seconds int
	all     []*DomainImpact
}

func newImpacts(targets []Target, load time.Duration) *impacts {
	i := &impacts{domains: make(map[message.TargetID]string), seconds: int(load/time.Second) + 1}
	for _, t := range targets {
		i.domains[t.ID] = t.Domain
	}
	return i
}

// ended counts a call that was scheduled at the given time of the load.
func (i *impacts) ended(scheduled, latency time.Duration, result session.Result) {
	d := i.of(i.domains[result.Target])
	d.Calls++
	second := min(max(int(scheduled/time.Second), 0), i.seconds-1)
	switch {
	case result.Err != nil:
		d.Failed[second]++
	case latency > slowCall:
		d.Slow[second]++
	}
}

func (i *impacts) of(domain string) *DomainImpact {
	at := slices.IndexFunc(i.all, func(d *DomainImpact) bool { return d.Domain == domain })
	if at >= 0 {
		return i.all[at]
	}
	d := &DomainImpact{Domain: domain, Failed: make([]int, i.seconds), Slow: make([]int, i.seconds)}
	i.all = append(i.all, d)
	return d
}

// report returns the counts by name of the failure domain.
func (i *impacts) report() []DomainImpact {
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

// String returns one line for people.
func (d DomainImpact) String() string {
	where := "flows without a target"
	if d.Domain != "" {
		where = "targets in " + d.Domain
	}
	return fmt.Sprintf("%s: %d calls, failed %s, above %d ms %s", where, d.Calls,
		span(d.Failed), slowCall.Milliseconds(), span(d.Slow))
}

// span returns the sum and the seconds from the first to the last count.
func span(bySecond []int) string {
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
