package day

import (
	"math/rand/v2"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/kernel"
)

const (
	callersName = "callers"
	// firstCopy and secondCopy are when a caller sends copies of the first packet of a
	// flow, and giveUpOpening when it gives the flow up.
	firstCopy     = 200 * time.Millisecond
	secondCopy    = 600 * time.Millisecond
	giveUpOpening = 1400 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the pause before another attempt.
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 60 * time.Millisecond
	// reuseShare is the part of the requests of long flows that take an idle flow if
	// there is one; minLife and maxLife bound the life of such a flow.
	reuseShare = 0.9
	minLife    = 5 * time.Second
	maxLife    = 40 * time.Second
	// callerIPs is the number of callers' addresses in a failure domain.
	callerIPs = 40
	// firstPort is the first port of callers' flows.
	firstPort = 1024
)

// outcome is how an attempt ended.
type outcome int

const (
	served outcome = iota
	shed           // by the target, which has not run the request
	failed         // by the target
	notOpened
	cutOff // the flow was reset
)

// request is one request of a caller, with all its attempts.
type request struct {
	kind     *Kind
	domain   int
	started  time.Duration
	attempts int
	done     bool
	ran      int        // times that a target began to work on it
	mayRun   bool       // an attempt may have run it
	flow     *flowState // of the last attempt
}

// flowState is a flow at its caller.
type flowState struct {
	key       flow.Key
	kind      *Kind // nil: a probe
	domain    int
	direct    *vm // gets the packets instead of the routers' choice; a probe's
	startedAt time.Duration
	usedAt    time.Duration
	life      time.Duration
	open      bool
	target    *target // of an open flow
	handshake bool    // its target knows that it is open
	cookie    flow.Cookie
	seq       uint32 // of the next byte to send
	ack       uint32 // next byte expected
	sentTo    uint32 // end of the request's data
	ackedTo   uint32
	repeats   int
	timer     int
	request   *request
	unacked   int // packets received and not acknowledged
	got       int // bytes of the answer
	strays    strays
}

// callers is the service "callers".
type callers struct {
	part
	site     *Site
	timeline *timeline
	fleet    *fleet
	operator *operator
	oracle   *oracle

	arrivals *rand.Rand
	rng      *rand.Rand
	flows    map[flow.Key]*flowState
	pools    map[pool][]*flowState // idle flows
	next     uint32                // number of the next flow
	factors  map[*Kind]float64     // of rates, in bursts
	until    time.Duration         // no request starts after it
}

// pool names the idle flows of a kind in a failure domain.
type pool struct {
	kind   *Kind
	domain int
}

func newCallers(site *Site) *callers {
	return &callers{
		part:    part{callersName},
		site:    site,
		flows:   make(map[flow.Key]*flowState),
		pools:   make(map[pool][]*flowState),
		factors: make(map[*Kind]float64),
	}
}

// Connect implements kernel.Service.
func (c *callers) Connect(k *kernel.Kernel) error {
	if err := connect(k, &c.timeline, &c.fleet, &c.operator, &c.oracle); err != nil {
		return err
	}
	c.arrivals, c.rng = c.timeline.stream("arrivals"), c.timeline.stream(callersName)
	return nil
}

// start begins the load, which ends at a time.
func (c *callers) start(until time.Duration) {
	c.until = until
	for i := range c.site.Kinds {
		for d := range c.site.Domains {
			c.arrive(&c.site.Kinds[i], d)
		}
	}
}

// arrive plans the next request of a kind in a failure domain: a Poisson process.
func (c *callers) arrive(k *Kind, domain int) {
	rate := k.Rate / float64(len(c.site.Domains))
	if x := c.factors[k]; x > 0 {
		rate *= x
	}
	c.timeline.after(exponential(c.arrivals, time.Duration(float64(time.Second)/rate)), func() {
		if c.timeline.now() >= c.until {
			return
		}
		c.ask(k, domain)
		c.arrive(k, domain)
	})
}

// ask begins a request.
func (c *callers) ask(k *Kind, domain int) {
	r := &request{kind: k, domain: domain, started: c.timeline.now()}
	c.oracle.asked(r)
	c.timeline.after(k.Timeout.D(), func() { c.expire(r) })
	c.attempt(r)
}

// expire ends a request whose time is over.
func (c *callers) expire(r *request) {
	if r.done {
		return
	}
	r.done = true
	c.oracle.ended(r, false)
	if f := r.flow; f != nil && f.request == r && c.flows[f.key] == f {
		c.oracle.timedOut(f)
		c.abort(f)
	}
}

// attempt makes one attempt, on an idle flow or on a new one.
func (c *callers) attempt(r *request) {
	if r.done {
		return
	}
	r.attempts++
	if r.kind.LongFlows && c.rng.Float64() < reuseShare {
		if f := c.takeIdle(pool{r.kind, r.domain}); f != nil {
			f.request, r.flow = r, f
			c.sendRequest(f)
			return
		}
	}
	f := c.newFlow(r.kind, r.domain, c.operator.addressOf(r.kind))
	f.request, r.flow = r, f
	c.sendFirst(f)
}

// takeIdle returns an idle flow that is young enough, or nil. Older ones are closed.
func (c *callers) takeIdle(p pool) *flowState {
	for len(c.pools[p]) > 0 {
		list := c.pools[p]
		f := list[len(list)-1]
		c.pools[p] = list[:len(list)-1]
		if c.flows[f.key] != f {
			continue
		}
		if c.timeline.now()-f.startedAt < f.life {
			return f
		}
		c.send(f, flow.Packet{Flags: flow.FIN | flow.ACK, Seq: f.seq, Ack: f.ack})
		delete(c.flows, f.key)
	}
	return nil
}

// newFlow returns a flow from a new port.
func (c *callers) newFlow(k *Kind, domain int, address flow.Endpoint) *flowState {
	c.next++
	number := int(c.next)
	f := &flowState{
		kind:      k,
		domain:    domain,
		startedAt: c.timeline.now(),
		usedAt:    c.timeline.now(),
		life:      uniform(c.rng, minLife, maxLife),
		seq:       c.rng.Uint32(),
		key: flow.Key{
			Caller: flow.Endpoint{
				IP:   callerIP(domain, 1+number%callerIPs),
				Port: uint16(firstPort + number/callerIPs%(1<<16-firstPort)),
			},
			Address: address,
		},
	}
	c.flows[f.key] = f
	return f
}

// sendFirst sends the first packet of a flow and its copies.
func (c *callers) sendFirst(f *flowState) {
	copies := []time.Duration{0, firstCopy, secondCopy}
	for i, after := range copies {
		c.timeline.after(after, func() {
			if c.flows[f.key] == f && !f.open {
				c.send(f, flow.Packet{Flags: flow.SYN, Seq: f.seq, Ack: uint32(i)})
			}
		})
	}
	c.timeline.after(giveUpOpening, func() {
		if c.flows[f.key] == f && !f.open {
			delete(c.flows, f.key)
			c.attemptEnded(f, notOpened)
		}
	})
}

// send sends a packet of a flow through the VM that the routers choose now.
func (c *callers) send(f *flowState, p flow.Packet) {
	p.Flow, p.Cookie = f.key, f.cookie
	f.usedAt = c.timeline.now()
	if f.direct != nil {
		c.fleet.receiveAt(f.direct, p)
		return
	}
	c.fleet.receive(p)
}

// sendRequest sends the data of the flow's request.
func (c *callers) sendRequest(f *flowState) {
	f.got, f.unacked, f.repeats = 0, 0, 0
	f.sentTo = f.seq + uint32(f.kind.RequestBytes)
	f.timer++
	c.sendData(f)
	c.resend(f, f.timer)
}

func (c *callers) sendData(f *flowState) {
	c.send(f, flow.Packet{Flags: flow.ACK, Seq: f.seq, Ack: f.ack, Len: f.kind.RequestBytes})
}

// resend repeats the request's data until it is acknowledged.
func (c *callers) resend(f *flowState, timer int) {
	c.timeline.after(resendAfter(f.repeats), func() {
		if c.flows[f.key] != f || f.timer != timer || f.request == nil || f.ackedTo == f.sentTo {
			return
		}
		f.repeats++
		c.sendData(f)
		c.resend(f, timer)
	})
}

// requestOf returns the request that is in progress on a flow, or nil.
func (c *callers) requestOf(k flow.Key) *request {
	if f := c.flows[k]; f != nil {
		return f.request
	}
	return nil
}

// receive takes a packet of a target.
func (c *callers) receive(t *target, k flow.Key, a answer) {
	f := c.flows[k]
	if f == nil {
		return
	}
	f.cookie = a.cookie
	switch {
	case a.flags.Has(flow.RST):
		if f.open && f.target != t {
			c.oracle.strayReset(f)
		}
		c.end(f)
	case a.flags.Has(flow.SYN):
		c.opened(t, f, a)
	case f.open && f.target == t:
		c.receiveData(f, a)
	}
}

// opened takes the answer to the first packet.
func (c *callers) opened(t *target, f *flowState, a answer) {
	if f.open {
		return // a second target has answered
	}
	f.open, f.target = true, t
	f.seq++
	f.sentTo, f.ackedTo = f.seq, f.seq
	f.ack = a.seq + 1
	if f.kind == nil {
		c.oracle.probeOpened(f)
		c.abort(f)
		return
	}
	c.send(f, flow.Packet{Flags: flow.ACK, Seq: f.seq, Ack: f.ack})
	if f.request != nil {
		c.sendRequest(f)
	}
}

// receiveData takes a part of an answer, or an acknowledgement.
func (c *callers) receiveData(f *flowState, a answer) {
	if newer(a.ack, f.ackedTo) && !newer(a.ack, f.sentTo) {
		f.ackedTo = a.ack
	}
	if a.n == 0 {
		return
	}
	if a.seq != f.ack {
		c.acknowledge(f)
		return
	}
	f.ack += uint32(a.n)
	f.got += a.n
	f.unacked++
	size := shedBytes
	if a.outcome == served && f.kind != nil {
		size = f.kind.AnswerBytes
	}
	whole := f.got >= size
	if whole || f.unacked >= 2 {
		f.unacked = 0
		if whole {
			f.seq = f.sentTo
		}
		c.acknowledge(f)
	}
	if whole {
		c.answered(f, a)
	}
}

func (c *callers) acknowledge(f *flowState) {
	c.send(f, flow.Packet{Flags: flow.ACK, Seq: f.sentTo, Ack: f.ack})
}

// answered ends an attempt with an answer; the flow is idle then, or ends.
func (c *callers) answered(f *flowState, a answer) {
	f.timer++
	switch {
	case a.flags.Has(flow.FIN):
		delete(c.flows, f.key)
	case !f.kind.LongFlows:
		c.send(f, flow.Packet{Flags: flow.FIN | flow.ACK, Seq: f.seq, Ack: f.ack})
		delete(c.flows, f.key)
	default:
		p := pool{f.kind, f.domain}
		c.pools[p] = append(c.pools[p], f)
	}
	c.attemptEnded(f, a.outcome)
}

// attemptEnded ends the attempt or the probe that a flow was used for.
func (c *callers) attemptEnded(f *flowState, o outcome) {
	if f.kind == nil {
		c.oracle.probeRefused(f)
		return
	}
	if f.request != nil {
		c.attemptEndedBy(f, o)
	}
}

// attemptEndedBy ends the request of a flow, or begins its next attempt. A request
// that may run at most once is repeated only when it has not run.
func (c *callers) attemptEndedBy(f *flowState, o outcome) {
	r := f.request
	f.request = nil
	if r.done {
		return
	}
	notRun := o == shed || o == notOpened
	if !notRun && o != served {
		r.mayRun = true
	}
	if notRun {
		c.oracle.notRun(r)
	}
	repeat := notRun || r.kind.kind() != catalog.NonIdempotent
	switch {
	case o == served:
		r.done = true
		c.oracle.ended(r, true)
	case repeat && r.attempts <= r.kind.MaxRetries:
		c.timeline.after(uniform(c.rng, minRetryDelay, maxRetryDelay), func() { c.attempt(r) })
	default:
		r.done = true
		c.oracle.ended(r, false)
	}
}

// resetBy takes a reset of a VM.
func (c *callers) resetBy(v *vm, p flow.Packet) {
	f := c.flows[p.Flow]
	if f == nil {
		return
	}
	if f.open {
		c.oracle.resetByVM(v, f)
	}
	c.end(f)
}

// end ends a flow that was reset.
func (c *callers) end(f *flowState) {
	delete(c.flows, f.key)
	f.timer++
	if f.open {
		c.attemptEnded(f, cutOff)
		return
	}
	c.attemptEnded(f, notOpened)
}

// abort gives a flow up.
func (c *callers) abort(f *flowState) {
	c.send(f, flow.Packet{Flags: flow.RST, Seq: f.seq, Ack: f.ack})
	delete(c.flows, f.key)
	f.timer++
}

// probe opens a flow to an address through one VM.
func (c *callers) probe(v *vm, address flow.Endpoint) {
	f := c.newFlow(nil, v.end.domain, address)
	f.direct = v
	c.sendFirst(f)
}
