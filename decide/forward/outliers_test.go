package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// testCaller is a caller that sends requests one after the other.
type testCaller struct {
	*harness
	now      time.Duration
	port     uint16
	seq, ack uint32
	target   *catalog.Target
}

// newTestCaller opens a flow at now.
func newTestCaller(r *harness, now time.Duration, port uint16) *testCaller {
	return &testCaller{harness: r, now: now, port: port, seq: 101, ack: 500, target: r.openFlow(now, port)}
}

// request sends one request and receives a response of the given time and size.
func (c *testCaller) request(responseTime time.Duration, size uint32) {
	const pause = 5 * ms
	c.f.Receive(c.now, ackPacket(c.port, c.target.Cookie, c.seq, c.ack, 10))
	c.seq += 10
	c.now += responseTime
	c.ack += size
	c.f.Receive(c.now, ackPacket(c.port, c.target.Cookie, c.seq, c.ack, 0))
	c.now += pause
}

// warmCallers returns a caller for each target of domain a, after enough requests to
// learn the baseline.
func warmCallers(r *harness) map[string]*testCaller {
	callers := make(map[string]*testCaller)
	for port := uint16(1); len(callers) < 3; port++ {
		c := newTestCaller(r, 0, port)
		callers[c.target.ID] = c
	}
	for range 20 {
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			callers[id].request(50*ms, 4000)
		}
	}
	return callers
}

// placements opens 12 flows and counts them by target.
func placements(r *harness, now time.Duration, first uint16) map[string]int {
	counts := make(map[string]int)
	for port := range uint16(12) {
		v := r.f.Receive(now, syn(first+port, 0))
		counts[v.Target.ID]++
	}
	return counts
}

// Guards against new flows to an outlier: a target that responds late, not at all, or
// with a few bytes.
func TestOutliersGetNoNewFlows(t *testing.T) {
	cases := []struct {
		name  string
		serve func(c *testCaller)
	}{
		{"slow", func(c *testCaller) { c.request(400*ms, 4000) }},
		{"short answers", func(c *testCaller) { c.request(10*ms, 200) }},
		{"no answers", func(c *testCaller) {
			c.f.Receive(c.now, ackPacket(c.port, c.target.Cookie, c.seq, c.ack, 10))
			c.seq += 10
			c.now += 500 * ms
			c.f.Tick(c.now)
			c.f.Receive(c.now, flow.Packet{Flow: key(c.port), Flags: flow.RST, Cookie: c.target.Cookie})
			*c = *newTestCallerAt(c, c.target)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t)
			bad := warmCallers(r)["i-2"]
			start := bad.now
			for range 14 {
				c.serve(bad)
			}
			bad.request(50*ms, 4000)
			r.True(bad.now > start)
			r.f.SetSamples(bad.now, r.f.Samples(bad.now))
			r.Equal(r.f.Outliers(), []string{"i-2"})
			r.Equal(placements(r, bad.now, 100)["i-2"], 0)

			decayed := bad.now + 20*time.Second
			r.f.SetSamples(decayed, r.f.Samples(decayed))
			r.Equal(r.f.Outliers(), []string{})
		})
	}
}

// newTestCallerAt opens flows until one is placed at t.
func newTestCallerAt(c *testCaller, t *catalog.Target) *testCaller {
	for port := c.port + 100; ; port++ {
		next := newTestCaller(c.harness, c.now, port)
		if next.target == t {
			return next
		}
	}
}

// Guards against targets that are ejected when all are equally slow, as under overload.
func TestNoOutlierWhenAllAreSlow(t *testing.T) {
	r := newHarness(t)
	callers := warmCallers(r)
	now := time.Duration(0)
	for range 8 {
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			callers[id].request(400*ms, 4000)
			now = callers[id].now
		}
	}
	r.True(len(r.f.Samples(now)) == 3)
	r.f.SetSamples(now, r.f.Samples(now))
	r.Equal(r.f.Outliers(), []string{})
}

// Guards against ejected targets whose load the others have no capacity for.
func TestNoOutlierUnderPressure(t *testing.T) {
	r := newHarness(t)
	bad := warmCallers(r)["i-2"]
	for range 8 {
		bad.request(400*ms, 4000)
	}
	r.f.averageActive = map[serviceDomain]float64{{service: "s", domain: "a"}: 7} // the others have 6 slots
	r.f.SetSamples(bad.now, r.f.Samples(bad.now))
	r.Equal(r.f.Outliers(), []string{})
}

// Guards against a stalled VM that counts its own delay as slow responses.
func TestStalledVMCountsNoFailures(t *testing.T) {
	r := newHarness(t)
	bad := warmCallers(r)["i-2"]
	for range 8 {
		r.f.MarkStalled(bad.now)
		bad.request(400*ms, 4000)
	}
	r.Equal(len(r.f.Samples(bad.now)), 0)
}

// Guards against unbounded growth from the baselines of removed routes.
func TestBaselinesOfRemovedRoutesAreForgotten(t *testing.T) {
	r := newHarness(t)
	for i := range 50 {
		r.f.routeBaseline(&catalog.Route{Name: fmt.Sprint("old-", i)})
	}
	r.configure(catalog.Idempotent, "s")
	r.True(len(r.f.baselines) <= 1)
}
