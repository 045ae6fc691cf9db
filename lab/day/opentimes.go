package day

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// openTimeTally records how long flows take to open, from their first SYN.
type openTimeTally struct {
	all    []time.Duration
	atDead []time.Duration // of flows of which a SYN went to a target that was down
}

// OpenTimes are the times that flows take to open, in milliseconds from their first SYN.
type OpenTimes struct {
	Flows  int     `json:"flows"`
	MeanMS float64 `json:"mean_ms"`
	P95MS  float64 `json:"p95_ms"`
	P99MS  float64 `json:"p99_ms"`
}

// sentToDeadTarget records that a SYN went to a target that is down.
func (o *oracle) sentToDeadTarget(k flow.Key) {
	if f := o.fleet.callers.flows[k]; f != nil {
		f.sentToDead = true
	}
}

// opened records that a flow of a request has opened.
func (o *oracle) opened(f *flowState) {
	took := o.now() - f.startedAt
	o.openTimes.all = append(o.openTimes.all, took)
	if f.sentToDead {
		o.openTimes.atDead = append(o.openTimes.atDead, took)
	}
}

func openTimesOf(times []time.Duration) OpenTimes {
	r := OpenTimes{Flows: len(times)}
	if r.Flows == 0 {
		return r
	}
	sorted := slices.Sorted(slices.Values(times))
	sum := time.Duration(0)
	for _, took := range sorted {
		sum += took
	}
	r.MeanMS = milliseconds(sum) / float64(r.Flows)
	r.P95MS = milliseconds(sorted[(r.Flows-1)*95/100])
	r.P99MS = milliseconds(sorted[(r.Flows-1)*99/100])
	return r
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
