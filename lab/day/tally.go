package day

import (
	"time"
)

// windowLength is the length of the windows for which the service level is reported.
const windowLength = 2 * time.Second

// counts are numbers of requests by outcome.
type counts struct {
	Requests int `json:"asked"`
	InGoal   int `json:"in_goal"`
	Late     int `json:"late"`
	Failed   int `json:"failed"`
}

func (c *counts) add(o counts) {
	c.Requests += o.Requests
	c.InGoal += o.InGoal
	c.Late += o.Late
	c.Failed += o.Failed
}

// tally sums up requests and their value.
type tally struct {
	site      *Site
	loadStart time.Duration
	kinds     map[*Kind]*counts
	times     map[*Kind][]time.Duration // response times of answered requests
	domains   []valueSums
	windows   []valueSums
	total     valueSums
}

// valueSums is the value of answers to requests: earned, and attainable with all answers
// within the latency goal.
type valueSums struct {
	counts
	Earned     float64 `json:"earned"`
	Attainable float64 `json:"owed"`
}

// serviceLevel returns the ratio of earned to attainable value, 1 if none was attainable.
func (t valueSums) serviceLevel() float64 {
	if t.Attainable == 0 {
		return 1
	}
	return t.Earned / t.Attainable
}

func newTally(site *Site, loadStart time.Duration) *tally {
	return &tally{site: site, loadStart: loadStart, kinds: make(map[*Kind]*counts), times: make(map[*Kind][]time.Duration), domains: make([]valueSums, len(site.Domains))}
}

// requestStarted counts the start of a request.
func (t *tally) requestStarted(r *request) {
	t.eachSum(r, func(x *valueSums) {
		x.Requests++
		x.Attainable += r.kind.Value
	})
	t.kind(r.kind).Requests++
}

// requestEnded counts the end of a request at now.
func (t *tally) requestEnded(now time.Duration, r *request, answered bool) {
	c := counts{}
	earned := 0.0
	if answered {
		t.times[r.kind] = append(t.times[r.kind], now-r.startedAt)
	}
	switch {
	case !answered:
		c.Failed = 1
	case now-r.startedAt <= r.kind.LatencyGoal.D():
		c.InGoal, earned = 1, r.kind.Value
	default:
		c.Late, earned = 1, r.kind.LateValue
	}
	t.eachSum(r, func(x *valueSums) {
		x.counts.add(c)
		x.Earned += earned
	})
	t.kind(r.kind).add(c)
}

func (t *tally) kind(k *Kind) *counts {
	c := t.kinds[k]
	if c == nil {
		c = &counts{}
		t.kinds[k] = c
	}
	return c
}

// eachSum calls add for the sums that a request belongs to: the total, and those of its
// failure domain and of the window in which it started.
func (t *tally) eachSum(r *request, add func(*valueSums)) {
	add(&t.total)
	add(&t.domains[r.domain])
	i := int((r.startedAt - t.loadStart) / windowLength)
	for len(t.windows) <= i {
		t.windows = append(t.windows, valueSums{})
	}
	add(&t.windows[i])
}
