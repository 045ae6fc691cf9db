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
	// firstSYNRetransmit and secondSYNRetransmit are the times after the SYN at which a
	// caller retransmits it; after connectTimeout it abandons the flow.
	firstSYNRetransmit  = 200 * time.Millisecond
	secondSYNRetransmit = 600 * time.Millisecond
	connectTimeout      = 1400 * time.Millisecond
	// minCallerRetryDelay and maxCallerRetryDelay bound the delay before another attempt.
	minCallerRetryDelay = 10 * time.Millisecond
	maxCallerRetryDelay = 60 * time.Millisecond
	// reuseProbability is the probability that a request of a kind with long flows uses
	// the idle flow that has waited longest, if there is one. minFlowLifetime and maxFlowLifetime bound the time
	// after which such a flow is no longer reused.
	reuseProbability = 0.9
	minFlowLifetime  = 5 * time.Second
	maxFlowLifetime  = 40 * time.Second
	// callerIPsPerDomain is the number of IP addresses of callers in a failure domain.
	callerIPsPerDomain = 40
	// firstCallerPort is the lowest source port of callers' flows.
	firstCallerPort = 1024
)

// outcome is how an attempt ended.
type outcome int

const (
	served outcome = iota
	shed           // rejected by the target, which has not executed the request
	failed         // answered by the target with an error
	notOpened
	flowReset // the open flow was reset
)

// request is one request of a caller, with all its attempts.
type request struct {
	kind          *Kind
	domain        int
	startedAt     time.Duration
	attempts      int
	done          bool
	executions    int        // number of times that a target began to execute it
	mayBeExecuted bool       // a failed or reset attempt may have executed it
	flow          *flowState // of the last attempt
}

// flowState is the state of a flow at its caller.
type flowState struct {
	key            flow.Key
	kind           *Kind // nil for a probe
	domain         int
	viaVM          *vm // of a probe: the VM that gets the packets, whatever the routers select
	startedAt      time.Duration
	synAt          time.Duration // last SYN
	lastUsedAt     time.Duration
	lifetime       time.Duration
	open           bool
	target         *target // of an open flow
	handshakeDone  bool    // its target has received the ACK of the SYN-ACK
	lastVM         *vm     // that got its last packet; nil if there was none
	cookie         flow.Cookie
	seq            uint32 // of the next byte to send
	ack            uint32 // next byte expected
	sentEnd        uint32 // end of the request's data
	ackedSeq       uint32
	retransmits    int
	timerID        int
	request        *request
	requestAt      time.Duration // first transmission of the request's data
	sentToDead     bool          // a SYN went to a target that was down
	targetDead     bool          // see oracle.targetDied
	targetDiedAt   time.Duration
	unackedPackets int // received since the last ACK
	receivedBytes  int // of the answer
	misroutes      misrouteCount
}

// callers is the service "callers": it generates requests and plays the callers' ends
// of their flows.
type callers struct {
	baseService
	site     *Site
	timeline *timeline
	fleet    *fleet
	operator *operator
	oracle   *oracle

	arrivals    *rand.Rand
	rng         *rand.Rand
	flows       map[flow.Key]*flowState
	idleFlows   map[flowPool][]*flowState
	lastFlow    uint32               // number of the last flow
	rateFactors map[flowPool]float64 // multipliers of request rates, during bursts
	stopAt      time.Duration        // end of the load
}

// flowPool is the key of the idle flows of a kind in a failure domain.
type flowPool struct {
	kind   *Kind
	domain int
}

func newCallers(site *Site) *callers {
	return &callers{
		baseService: baseService{callersName},
		site:        site,
		flows:       make(map[flow.Key]*flowState),
		idleFlows:   make(map[flowPool][]*flowState),
		rateFactors: make(map[flowPool]float64),
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

// start starts the load, which ends at the time until.
func (c *callers) start(until time.Duration) {
	c.stopAt = until
	for i := range c.site.Kinds {
		for d := range c.site.Domains {
			c.scheduleArrival(&c.site.Kinds[i], d)
		}
	}
}

// scheduleArrival schedules the next request of a kind in a failure domain. Arrivals are
// a Poisson process.
func (c *callers) scheduleArrival(k *Kind, domain int) {
	rate := k.Rate / float64(len(c.site.Domains))
	if x := c.rateFactors[flowPool{k, domain}]; x > 0 {
		rate *= x
	}
	// With a varying rate, arrivals at the highest rate are thinned out.
	wave := c.site.Wave
	rate *= 1 + wave.Swing
	c.timeline.after(exponential(c.arrivals, time.Duration(float64(time.Second)/rate)), func() {
		if c.timeline.now() >= c.stopAt {
			return
		}
		if wave.Swing == 0 || c.arrivals.Float64()*(1+wave.Swing) < wave.factor(c.timeline.now(), domain) {
			c.startRequest(k, domain)
		}
		c.scheduleArrival(k, domain)
	})
}

// startRequest starts a request.
func (c *callers) startRequest(k *Kind, domain int) {
	r := &request{kind: k, domain: domain, startedAt: c.timeline.now()}
	c.oracle.requestStarted(r)
	c.timeline.after(k.Timeout.D(), func() { c.timeOutRequest(r) })
	c.startAttempt(r)
}

// timeOutRequest ends a request that has reached its timeout.
func (c *callers) timeOutRequest(r *request) {
	if r.done {
		return
	}
	r.done = true
	c.oracle.requestEnded(r, false)
	if f := r.flow; f != nil && f.request == r && c.flows[f.key] == f {
		c.oracle.flowTimedOut(f)
		c.oracle.deadFlowEnded(f, true)
		c.abort(f)
	}
}

// startAttempt starts an attempt on an idle flow or on a new one.
func (c *callers) startAttempt(r *request) {
	if r.done {
		return
	}
	r.attempts++
	if r.kind.LongFlows && c.rng.Float64() < reuseProbability {
		if f := c.takeIdleFlow(flowPool{r.kind, r.domain}); f != nil {
			f.request, r.flow = r, f
			c.sendRequest(f)
			return
		}
	}
	f := c.newFlow(r.kind, r.domain, c.operator.addressOf(r.kind))
	f.request, r.flow = r, f
	c.sendSYN(f)
}

// takeIdleFlow removes the flow that has been idle longest from its pool and returns it, or
// nil if there is none, so that all open flows carry requests. Flows that have exceeded their lifetime are closed.
func (c *callers) takeIdleFlow(p flowPool) *flowState {
	for len(c.idleFlows[p]) > 0 {
		list := c.idleFlows[p]
		f := list[0]
		c.idleFlows[p] = list[1:]
		if c.flows[f.key] != f {
			continue
		}
		if c.timeline.now()-f.startedAt < f.lifetime {
			return f
		}
		c.send(f, flow.Packet{Flags: flow.FIN | flow.ACK, Seq: f.seq, Ack: f.ack})
		delete(c.flows, f.key)
	}
	return nil
}

// newFlow returns a flow with the next source address and port.
func (c *callers) newFlow(k *Kind, domain int, address flow.Endpoint) *flowState {
	c.lastFlow++
	number := int(c.lastFlow)
	f := &flowState{
		kind:       k,
		domain:     domain,
		startedAt:  c.timeline.now(),
		lastUsedAt: c.timeline.now(),
		lifetime:   uniform(c.rng, minFlowLifetime, maxFlowLifetime),
		seq:        c.rng.Uint32(),
		key: flow.Key{
			Caller: flow.Endpoint{
				IP:   callerIP(domain, 1+number%callerIPsPerDomain),
				Port: uint16(firstCallerPort + number/callerIPsPerDomain%(1<<16-firstCallerPort)),
			},
			Address: address,
		},
	}
	c.flows[f.key] = f
	return f
}

// sendSYN sends a flow's SYN and its retransmissions.
func (c *callers) sendSYN(f *flowState) {
	delays := []time.Duration{0, firstSYNRetransmit, secondSYNRetransmit}
	for i, delay := range delays {
		c.timeline.after(delay, func() {
			if c.flows[f.key] == f && !f.open {
				f.synAt = c.timeline.now()
				c.send(f, flow.Packet{Flags: flow.SYN, Seq: f.seq, Ack: uint32(i)})
			}
		})
	}
	c.timeline.after(connectTimeout, func() {
		if c.flows[f.key] == f && !f.open {
			delete(c.flows, f.key)
			c.finishAttempt(f, notOpened)
		}
	})
}

// send sends a packet of a flow through the VM that the routers select now, or through
// the VM of a probe.
func (c *callers) send(f *flowState, p flow.Packet) {
	p.Flow, p.Cookie = f.key, f.cookie
	f.lastUsedAt = c.timeline.now()
	if f.viaVM != nil {
		c.fleet.deliverTo(f.viaVM, p)
		return
	}
	f.lastVM = c.fleet.routePacket(p)
}

// sendRequest sends the data of the flow's request.
func (c *callers) sendRequest(f *flowState) {
	f.receivedBytes, f.unackedPackets, f.retransmits = 0, 0, 0
	f.sentEnd = f.seq + uint32(f.kind.RequestBytes)
	f.requestAt = c.timeline.now()
	f.timerID++
	c.sendData(f)
	c.armRetransmit(f, f.timerID)
}

func (c *callers) sendData(f *flowState) {
	c.send(f, flow.Packet{Flags: flow.ACK, Seq: f.seq, Ack: f.ack, Len: f.kind.RequestBytes})
}

// armRetransmit retransmits the request's data until it is acknowledged.
func (c *callers) armRetransmit(f *flowState, timerID int) {
	c.timeline.after(retransmitDelay(f.retransmits), func() {
		if c.flows[f.key] != f || f.timerID != timerID || f.request == nil || f.ackedSeq == f.sentEnd {
			return
		}
		f.retransmits++
		c.sendData(f)
		c.armRetransmit(f, timerID)
	})
}

// requestOf returns the request that is in progress on a flow, or nil.
func (c *callers) requestOf(k flow.Key) *request {
	if f := c.flows[k]; f != nil {
		return f.request
	}
	return nil
}

// receive processes a packet from a target.
func (c *callers) receive(t *target, k flow.Key, p targetPacket) {
	f := c.flows[k]
	if f == nil {
		return
	}
	f.cookie = p.cookie
	switch {
	case p.flags.Has(flow.RST):
		if f.open && f.target != t {
			c.oracle.resetByOtherTarget(t, f)
		}
		c.handleReset(f)
	case p.flags.Has(flow.SYN):
		c.handleSYNACK(t, f, p)
	case f.open && f.target == t:
		c.handleData(f, p)
	}
}

// handleSYNACK processes a SYN-ACK; the first one opens the flow.
func (c *callers) handleSYNACK(t *target, f *flowState, p targetPacket) {
	if f.open {
		return // a retransmission, or the SYN-ACK of a second target
	}
	f.open, f.target = true, t
	f.seq++
	f.sentEnd, f.ackedSeq = f.seq, f.seq
	f.ack = p.seq + 1
	if f.kind == nil {
		c.oracle.probeOpened(f)
		c.abort(f)
		return
	}
	c.oracle.opened(f)
	c.send(f, flow.Packet{Flags: flow.ACK, Seq: f.seq, Ack: f.ack})
	if f.request != nil {
		c.sendRequest(f)
	}
}

// handleData processes an acknowledgement, a part of an answer, or both.
func (c *callers) handleData(f *flowState, p targetPacket) {
	if seqAfter(p.ack, f.ackedSeq) && !seqAfter(p.ack, f.sentEnd) {
		f.ackedSeq = p.ack
	}
	if p.dataLen == 0 {
		return
	}
	if p.seq != f.ack {
		c.sendAck(f)
		return
	}
	f.ack += uint32(p.dataLen)
	f.receivedBytes += p.dataLen
	f.unackedPackets++
	size := shedBytes
	if p.outcome == served && f.kind != nil {
		size = f.kind.AnswerBytes
	}
	complete := f.receivedBytes >= size
	if complete || f.unackedPackets >= 2 {
		f.unackedPackets = 0
		if complete {
			f.seq = f.sentEnd
		}
		c.sendAck(f)
	}
	if complete {
		c.handleAnswer(f, p)
	}
}

func (c *callers) sendAck(f *flowState) {
	c.send(f, flow.Packet{Flags: flow.ACK, Seq: f.sentEnd, Ack: f.ack})
}

// handleAnswer ends an attempt that has a complete answer. The flow becomes idle or is
// closed.
func (c *callers) handleAnswer(f *flowState, p targetPacket) {
	f.timerID++
	switch {
	case p.flags.Has(flow.FIN):
		delete(c.flows, f.key)
	case !f.kind.LongFlows:
		c.send(f, flow.Packet{Flags: flow.FIN | flow.ACK, Seq: f.seq, Ack: f.ack})
		delete(c.flows, f.key)
	default:
		pool := flowPool{f.kind, f.domain}
		c.idleFlows[pool] = append(c.idleFlows[pool], f)
	}
	c.finishAttempt(f, p.outcome)
}

// finishAttempt ends the attempt or the probe for which a flow was used.
func (c *callers) finishAttempt(f *flowState, o outcome) {
	if f.kind == nil {
		c.oracle.probeRefused(f)
		return
	}
	if f.request != nil {
		c.finishRequestAttempt(f, o)
	}
}

// finishRequestAttempt ends the request of a flow, or schedules its next attempt. A
// non-idempotent request is retried only if the attempt has not executed it.
func (c *callers) finishRequestAttempt(f *flowState, o outcome) {
	r := f.request
	f.request = nil
	if r.done {
		return
	}
	notExecuted := o == shed || o == notOpened
	if !notExecuted && o != served {
		r.mayBeExecuted = true
	}
	if notExecuted {
		c.oracle.requestNotExecuted(r)
	}
	retry := notExecuted || r.kind.catalogKind() != catalog.NonIdempotent
	switch {
	case o == served:
		r.done = true
		c.oracle.requestEnded(r, true)
	case retry && r.attempts <= r.kind.MaxRetries:
		c.timeline.after(uniform(c.rng, minCallerRetryDelay, maxCallerRetryDelay), func() { c.startAttempt(r) })
	default:
		r.done = true
		c.oracle.requestEnded(r, false)
	}
}

// handleVMReset processes an RST from a VM.
func (c *callers) handleVMReset(v *vm, p flow.Packet) {
	f := c.flows[p.Flow]
	if f == nil {
		return
	}
	if f.open {
		c.oracle.resetByVM(v, f)
	}
	c.handleReset(f)
}

// handleReset ends a flow that was reset.
func (c *callers) handleReset(f *flowState) {
	c.oracle.deadFlowEnded(f, false)
	delete(c.flows, f.key)
	f.timerID++
	if f.open {
		c.finishAttempt(f, flowReset)
		return
	}
	c.finishAttempt(f, notOpened)
}

// abort resets a flow.
func (c *callers) abort(f *flowState) {
	c.send(f, flow.Packet{Flags: flow.RST, Seq: f.seq, Ack: f.ack})
	delete(c.flows, f.key)
	f.timerID++
}

// probe opens a flow to an address through one VM, to test whether the VM has a route
// for it.
func (c *callers) probe(v *vm, address flow.Endpoint) {
	f := c.newFlow(nil, v.node.domain, address)
	f.viaVM = v
	c.sendSYN(f)
}
