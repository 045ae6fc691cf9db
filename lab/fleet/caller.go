package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
)

// callerRingSize is the capacity of a caller's input ring, in messages.
const callerRingSize = 1 << 16

// Caller is a caller process: a session of the caller library and its flows.
type Caller struct {
	fleet   *Fleet
	addr    message.Address
	session *session.Session
	kernel  *kernel.Kernel
	gate    *kernel.Gate
	in      *kernel.Ring[message.Message]
	calls   map[session.CallID]Call
	// OnResult, if set, is called for each call that has ended.
	OnResult func(Result)
}

// Call describes a call. It is part of the call's Result.
type Call struct {
	Service    message.ServiceID
	Kind       message.KindID
	Idempotent bool
	Payload    []byte
	Started    time.Duration
}

// Result is the outcome of a call. Latency is the time from its start to its end.
type Result struct {
	Call
	session.Result
	Latency time.Duration
}

func (c *Caller) Name() string           { return "caller" }
func (c *Caller) Dependencies() []string { return nil }

// Setup implements kernel.Service.
func (c *Caller) Setup(k *kernel.Kernel) error {
	c.gate = kernel.NewGate()
	c.in = kernel.NewRing[message.Message](k, "caller.in", callerRingSize, kernel.DropNewest, c.gate)
	return nil
}

// Connect implements kernel.Service.
func (c *Caller) Connect(k *kernel.Kernel) error {
	k.AddDuty(kernel.Duty{Name: "caller", Gate: c.gate, Step: c.step})
	return nil
}

func (c *Caller) step(now time.Duration) time.Duration {
	for {
		m, ok := c.in.Take()
		if !ok {
			break
		}
		c.emit(now, c.session.Receive(now, m))
	}
	c.emit(now, c.session.Tick(now))
	return c.session.NextWake()
}

// emit sends the session's datagrams to VMs that the fabric picks, one for each datagram,
// and records the calls that have ended.
func (c *Caller) emit(now time.Duration, out session.Output) {
	for _, m := range out.Messages {
		vm, ok := c.fleet.pickVM()
		if !ok {
			continue
		}
		m.To = message.VMAddress(vm, netip.AddrPort{})
		c.fleet.net.send(noDomain, c.addr, m.Message)
	}
	for _, r := range out.Results {
		c.recordResult(now, r)
	}
}

func (c *Caller) recordResult(now time.Duration, r session.Result) {
	call := c.calls[r.Call]
	delete(c.calls, r.Call)
	result := Result{Call: call, Result: r, Latency: now - call.Started}
	c.fleet.oracle.recordResult(result)
	if c.OnResult != nil {
		c.OnResult(result)
	}
}

// OpenFlow opens a flow to a service.
func (c *Caller) OpenFlow(service string) session.FlowID {
	id, out := c.session.OpenFlow(c.fleet.Now(), message.ServiceIDOf(service))
	c.emit(c.fleet.Now(), out)
	c.gate.Signal()
	return id
}

// CloseFlow closes a flow.
func (c *Caller) CloseFlow(flow session.FlowID) {
	c.emit(c.fleet.Now(), c.session.CloseFlow(c.fleet.Now(), flow))
	c.gate.Signal()
}

// Do starts a call with a payload that is unique in the run.
func (c *Caller) Do(flow session.FlowID, service string, kind message.KindID, idempotent bool, timeout time.Duration) {
	now := c.fleet.Now()
	payload := binary.BigEndian.AppendUint64(nil, c.fleet.nextPayload())
	call := Call{
		Service:    message.ServiceIDOf(service),
		Kind:       kind,
		Idempotent: idempotent,
		Payload:    payload,
		Started:    now,
	}
	c.fleet.oracle.recordStart(call)
	id, out, err := c.session.Do(now, flow, session.Call{
		Kind: kind, Idempotent: idempotent, Timeout: timeout, Payload: payload,
	})
	if err != nil {
		panic(fmt.Sprintf("start call: %v", err))
	}
	c.calls[id] = call
	c.emit(now, out)
	c.gate.Signal()
}

// CallsInProgress returns the number of calls in progress.
func (c *Caller) CallsInProgress() int {
	return c.session.CallCount()
}

// Counters returns the session's counters.
func (c *Caller) Counters() session.Counters {
	return c.session.Counters()
}

// Binding returns a flow's binding.
func (c *Caller) Binding(flow session.FlowID) (message.Binding, bool) {
	return c.session.Binding(flow)
}

// NotRun reports whether the call ended with the assurance that no target executed it.
func (r *Result) NotRun() bool {
	return errors.Is(r.Err, session.ErrNotRun) && !errors.Is(r.Err, session.ErrMayHaveRun)
}
