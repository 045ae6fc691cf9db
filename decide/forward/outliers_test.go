package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// caller1 is a caller whose requests are played one after the other.
type caller1 struct {
	*rig
	now      time.Duration
	port     uint16
	seq, ack uint32
	target   *catalog.Target
}

// newCaller1 opens a flow at now.
func newCaller1(r *rig, now time.Duration, port uint16) *caller1 {
	return &caller1{rig: r, now: now, port: port, seq: 101, ack: 500, target: r.openFlow(now, port)}
}

// ask plays one request whose answer takes a time and has a size.
func (c *caller1) ask(took time.Duration, size uint32) {
	const pause = 5 * ms
	c.f.Receive(c.now, later(c.port, c.target.Cookie, c.seq, c.ack, 10))
	c.seq += 10
	c.now += took
	c.ack += size
	c.f.Receive(c.now, later(c.port, c.target.Cookie, c.seq, c.ack, 0))
	c.now += pause
}

// callersOf returns a caller at each target of domain a, with usual requests behind it.
func callersOf(r *rig) map[string]*caller1 {
	callers := make(map[string]*caller1)
	for port := uint16(1); len(callers) < 3; port++ {
		c := newCaller1(r, 0, port)
		callers[c.target.ID] = c
	}
	for range 20 {
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			callers[id].ask(50*ms, 4000)
		}
	}
	return callers
}

// placements counts the targets of new flows.
func placements(r *rig, now time.Duration, first uint16) map[string]int {
	counts := make(map[string]int)
	for port := range uint16(12) {
		v := r.f.Receive(now, syn(first+port, 0))
		counts[v.Target.ID]++
	}
	return counts
}

// Guards against new flows for a target that serves worse than the others: it answers
// late, not at all, or in a few bytes.
func TestOutliersGetNoNewFlows(t *testing.T) {
	cases := []struct {
		name  string
		serve func(c *caller1)
	}{
		{"slow", func(c *caller1) { c.ask(400*ms, 4000) }},
		{"short answers", func(c *caller1) { c.ask(10*ms, 200) }},
		{"no answers", func(c *caller1) {
			c.f.Receive(c.now, later(c.port, c.target.Cookie, c.seq, c.ack, 10))
			c.seq += 10
			c.now += 500 * ms
			c.f.Tick(c.now)
			c.f.Receive(c.now, flow.Packet{Flow: key(c.port), Flags: flow.RST, Cookie: c.target.Cookie})
			*c = *newCaller1At(c, c.target)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			bad := callersOf(r)["i-2"]
			start := bad.now
			for range 14 {
				c.serve(bad)
			}
			bad.ask(50*ms, 4000)
			r.True(bad.now > start)
			r.f.SetSamples(bad.now, r.f.Samples(bad.now))
			r.Equal(r.f.Outliers(), []string{"i-2"})
			r.Equal(placements(r, bad.now, 100)["i-2"], 0)

			later := bad.now + 20*time.Second
			r.f.SetSamples(later, r.f.Samples(later))
			r.Equal(r.f.Outliers(), []string{})
		})
	}
}

// newCaller1At opens flows until one is at a target.
func newCaller1At(c *caller1, t *catalog.Target) *caller1 {
	for port := c.port + 100; ; port++ {
		next := newCaller1(c.rig, c.now, port)
		if next.target == t {
			return next
		}
	}
}

// Guards against targets that are put aside when all serve alike, such as under a
// load that is too high.
func TestNoOutlierWhenAllAreSlow(t *testing.T) {
	r := newRig(t)
	callers := callersOf(r)
	now := time.Duration(0)
	for range 8 {
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			callers[id].ask(400*ms, 4000)
			now = callers[id].now
		}
	}
	r.True(len(r.f.Samples(now)) == 3)
	r.f.SetSamples(now, r.f.Samples(now))
	r.Equal(r.f.Outliers(), []string{})
}

// Guards against targets that are put aside although the others have no room for
// their work.
func TestNoOutlierUnderPressure(t *testing.T) {
	r := newRig(t)
	bad := callersOf(r)["i-2"]
	for range 8 {
		bad.ask(400*ms, 4000)
	}
	r.f.busyAt = map[place]float64{{service: "s", domain: "a"}: 7} // others: 6 slots
	r.f.SetSamples(bad.now, r.f.Samples(bad.now))
	r.Equal(r.f.Outliers(), []string{})
}

// Guards against a VM that was paused and blames targets for its own delay.
func TestALateVMBlamesNoTarget(t *testing.T) {
	r := newRig(t)
	bad := callersOf(r)["i-2"]
	for range 8 {
		r.f.MarkStalled(bad.now)
		bad.ask(400*ms, 4000)
	}
	r.Equal(len(r.f.Samples(bad.now)), 0)
}

// Guards against usual values of routes that were removed, which would grow without
// bound.
func TestUsualValuesAreForgotten(t *testing.T) {
	r := newRig(t)
	for i := range 50 {
		r.f.usualOf(&catalog.Route{Name: fmt.Sprint("old-", i)})
	}
	r.configure(catalog.Idempotent, "s")
	r.True(len(r.f.usual) <= 1)
}
