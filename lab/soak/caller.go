package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/standin/flowends"
)

const (
	// flowsPerCaller is the number of flows that a caller keeps open.
	flowsPerCaller = 5
	// thinkTime is the maximum time between two requests of a caller.
	thinkTime = 15 * time.Millisecond
	// restingFlows is the number of flows of a caller that rest between requests, and restProbability
	// the probability that its next request is on the one that has rested longest.
	restingFlows    = 12
	restProbability = 0.05
	// closeProbability is the probability that a flow is aborted after an answer.
	closeProbability = 0.1
	// stallGracePeriod is the time after a stall of this process in which resets are not
	// violations: VMs may have declared its targets dead.
	stallGracePeriod = 3 * time.Second
)

// openFlow is a flow and its state at the caller.
type openFlow struct {
	*flowends.Flow
	service  string
	target   *target // nil until the first answer
	answered int
}

// caller opens flows and makes requests on them, one at a time.
type caller struct {
	fleet    *fleet
	name     string
	domain   int
	ends     *flowends.Caller
	rng      *rand.Rand
	lastVM   *vm // that got the last packet; nil if there was none
	flows    []*openFlow
	resting  []*openFlow // the one that has rested longest first
	requests int
}

func (f *fleet) addCallers() error {
	for d := range domains {
		for i := range callersPerDomain {
			number := d*callersPerDomain + i
			ends, err := flowends.NewCaller(netip.AddrPortFrom(f.ip(callerKind+d, 1+i), packetsPort))
			if err != nil {
				return fmt.Errorf("%w: %w", ErrSetup, err)
			}
			c := &caller{
				fleet:  f,
				name:   fmt.Sprintf("caller-%d", number),
				domain: d,
				ends:   ends,
				rng:    rand.New(rand.NewPCG(f.seed, uint64(number+1))),
			}
			f.callers = append(f.callers, c)
		}
	}
	return nil
}

// run makes requests until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.rng.Int64N(int64(thinkTime)))):
		}
		c.step()
	}
}

// step opens a flow if there are fewer than flowsPerCaller, or makes a request on one.
func (c *caller) step() {
	if c.rng.Float64() < restProbability {
		c.useRestingFlow()
		return
	}
	if len(c.flows) < flowsPerCaller {
		c.open()
		return
	}
	i := c.rng.IntN(len(c.flows))
	if !c.makeRequest(c.flows[i]) {
		c.flows = append(c.flows[:i], c.flows[i+1:]...)
	}
}

// useRestingFlow makes a request on the flow that has rested longest. While there are fewer than
// restingFlows, it makes one of the open flows a resting one.
func (c *caller) useRestingFlow() {
	if len(c.resting) < restingFlows && len(c.flows) > 0 {
		c.resting = append(c.resting, c.flows[0])
		c.flows = c.flows[1:]
		return
	}
	if len(c.resting) == 0 {
		return
	}
	o := c.resting[0]
	c.resting = c.resting[1:]
	if c.makeRequest(o) {
		c.resting = append(c.resting, o)
	}
}

func (c *caller) route(flow *flowends.Flow) netip.AddrPort {
	c.lastVM = c.fleet.routeFlow(c.domain, flow)
	if c.lastVM == nil {
		return netip.AddrPort{}
	}
	return c.lastVM.at(packetsPort)
}

func (c *caller) open() {
	service := streams
	if c.rng.IntN(2) == 0 {
		service = checkins
	}
	flow, err := c.ends.OpenVia(c.route, address(service))
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	if err != nil {
		c.fleet.counts.Unanswered++
		return
	}
	c.fleet.counts.Opened++
	c.flows = append(c.flows, &openFlow{Flow: flow, service: service})
}

// makeRequest makes one request. It returns false if the flow can't be used again.
func (c *caller) makeRequest(o *openFlow) bool {
	c.requests++
	request := fmt.Sprintf("%s-%d", c.name, c.requests)
	name, err := o.RequestVia(c.route, request)
	switch {
	case errors.Is(err, flowends.ErrReset):
		c.fleet.checkReset(o, errors.Is(err, flowends.ErrVMReset), c.lastVM)
		return false
	case errors.Is(err, flowends.ErrChecksum):
		c.fleet.recordViolation("a packet to %s was changed on its way", c.name)
		return false
	case err != nil:
		c.fleet.mu.Lock()
		c.fleet.counts.Unanswered++
		c.fleet.mu.Unlock()
		o.Abort(c.route)
		return false
	}
	c.fleet.checkAnswer(o, name)
	if c.rng.Float64() < closeProbability {
		o.Abort(c.route)
		return false
	}
	return true
}

// checkAnswer checks that the answer to a flow's request is from a target of its service,
// and from the same one as before.
func (f *fleet) checkAnswer(o *openFlow, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Answered++
	t := f.byName[name]
	switch {
	case t == nil:
		f.violations = append(f.violations, fmt.Sprintf("flow %s was answered by %q", o.From, name))
	case t.service != o.service:
		f.violations = append(f.violations, fmt.Sprintf("flow %s of %s was answered by %s of %s", o.From, o.service, name, t.service))
	case o.target != nil && o.target != t:
		f.violations = append(f.violations, fmt.Sprintf("flow %s was answered by %s, before by %s", o.From, name, o.target.Name))
	}
	o.target = t
	o.answered++
}

// checkReset checks a reset of an open flow after a packet through a VM: its target must have ended or
// not have the flow, unless this process was stalled or, for a reset by another target, the VM was
// killed lately.
func (f *fleet) checkReset(o *openFlow, bySystem bool, via *vm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := o.target
	switch {
	case t == nil || !t.up || !t.HasFlow(o.From):
		f.counts.Resets++
	case time.Since(f.lastStall) < stallGracePeriod || !bySystem && via != nil && via.killedLately():
		f.counts.Excused++
	default:
		by := "another target"
		if bySystem {
			by = "a VM"
		}
		f.violations = append(f.violations, fmt.Sprintf("flow %s to %s was reset by %s while its target has it", o.From, t.Name, by))
	}
}
