package day

import (
	"time"
)

// tallyWindow is the length of the windows over which service is told.
const tallyWindow = 2 * time.Second

// counts are requests by how they ended.
type counts struct {
	Asked  int `json:"asked"`
	InGoal int `json:"in_goal"`
	Late   int `json:"late"`
	Failed int `json:"failed"`
}

func (c *counts) add(o counts) {
	c.Asked += o.Asked
	c.InGoal += o.InGoal
	c.Late += o.Late
	c.Failed += o.Failed
}

// tally counts requests and what they are worth.
type tally struct {
	site    *Site
	load    time.Duration // start of the load
	kinds   map[*Kind]*counts
	domains []tallied
	windows []tallied
	total   tallied
}

// tallied is worth earned and owed.
type tallied struct {
	counts
	Earned float64 `json:"earned"`
	Owed   float64 `json:"owed"`
}

// service returns the part of the worth that was earned; 1 when none was owed.
func (t tallied) service() float64 {
	if t.Owed == 0 {
		return 1
	}
	return t.Earned / t.Owed
}

func newTally(site *Site, load time.Duration) *tally {
	return &tally{site: site, load: load, kinds: make(map[*Kind]*counts), domains: make([]tallied, len(site.Domains))}
}

// asked notes a request.
func (t *tally) asked(r *request) {
	t.each(r, func(x *tallied) {
		x.Asked++
		x.Owed += r.kind.Value
	})
	t.kind(r.kind).Asked++
}

// ended notes the end of a request.
func (t *tally) ended(now time.Duration, r *request, answered bool) {
	c := counts{}
	earned := 0.0
	switch {
	case !answered:
		c.Failed = 1
	case now-r.started <= r.kind.LatencyGoal.D():
		c.InGoal, earned = 1, r.kind.Value
	default:
		c.Late, earned = 1, r.kind.LateValue
	}
	t.each(r, func(x *tallied) {
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

// each calls add for every sum that a request belongs to.
func (t *tally) each(r *request, add func(*tallied)) {
	add(&t.total)
	add(&t.domains[r.domain])
	i := int((r.started - t.load) / tallyWindow)
	for len(t.windows) <= i {
		t.windows = append(t.windows, tallied{})
	}
	add(&t.windows[i])
}
