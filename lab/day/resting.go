package day

import "time"

// restSpread is the time over which callers open the flows of a flows_rest.
const restSpread = time.Second

// restFlows has callers open flows that rest until they make one request each, which ends the rest.
func (s *disruptor) restFlows(d Disruption) {
	var kinds []*Kind
	for i := range s.site.Kinds {
		if k := &s.site.Kinds[i]; k.LongFlows && (d.Scope == "" || d.Scope == k.Name) {
			kinds = append(kinds, k)
		}
	}
	if len(kinds) == 0 {
		return
	}
	for range d.Count {
		kind, domain := kinds[s.rng.IntN(len(kinds))], s.domainIndex(d)
		s.timeline.after(uniform(s.rng, 0, restSpread), func() { s.callers.openResting(kind, domain, d.For.D()) })
	}
}

// openResting opens a flow that rests for a time before its first request.
func (c *callers) openResting(k *Kind, domain int, rest time.Duration) {
	f := c.newFlow(k, domain, c.operator.addressOf(k))
	c.sendSYN(f)
	c.timeline.after(rest, func() {
		if c.flows[f.key] == f && f.open {
			c.startRequestOn(f)
		}
	})
}

// startRequestOn starts a request on an open flow that has none.
func (c *callers) startRequestOn(f *flowState) {
	r := &request{kind: f.kind, domain: f.domain, startedAt: c.timeline.now(), attempts: 1, flow: f}
	f.request = r
	c.oracle.requestStarted(r)
	c.timeline.after(f.kind.Timeout.D(), func() { c.timeOutRequest(r) })
	c.sendRequest(f)
}
