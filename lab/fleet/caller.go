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

// callerRing is the number of messages that may wait for one caller.
const callerRing = 1 << 16

// Caller is one caller process with its flows.
type Caller struct {
	fleet   *Fleet
	addr    message.Address
	session *session.Session
	kernel  *kernel.Kernel
	gate    *kernel.Gate
	in      *kernel.Ring[message.Message]
	calls   map[session.CallID]Call
	// OnResult is called for every ended call.
	OnResult func(Result)
}

// Call is what a test wants to know of a call when it ends.
type Call struct {
	Service    message.ServiceID
	Kind       message.KindID
	Idempotent bool
	Payload    []byte
	Started    time.Duration
}

// Result is the end of a call.
type Result struct {
	Call
	session.Result
	Took time.Duration
}

func (c *Caller) Name() string           { return "caller" }
func (c *Caller) Dependencies() []string { return nil }

// Setup implements kernel.Service.
func (c *Caller) Setup(k *kernel.Kernel) error {
	c.gate = kernel.NewGate()
	c.in = kernel.NewRing[message.Message](k, "caller.in", callerRing, kernel.DropNewest, c.gate)
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

// emit sends through the fabric, which picks a VM for each datagram.
func (c *Caller) emit(now time.Duration, out session.Output) {
	for _, m := range out.Messages {
		vm, ok := c.fleet.spray()
		if !ok {
			continue
		}
		m.To = message.VMAddress(vm, netip.AddrPort{})
		c.fleet.net.send(outside, c.addr, m)
	}
	for _, r := range out.Results {
		c.finish(now, r)
	}
}

func (c *Caller) finish(now time.Duration, r session.Result) {
	call := c.calls[r.Call]
	delete(c.calls, r.Call)
	result := Result{Call: call, Result: r, Took: now - call.Started}
	c.fleet.oracle.ended(result)
	if c.OnResult != nil {
		c.OnResult(result)
	}
}

// Open starts a flow.
func (c *Caller) Open(service string) session.FlowID {
	id, out := c.session.OpenFlow(c.fleet.Now(), message.ServiceIDOf(service))
	c.emit(c.fleet.Now(), out)
	c.gate.Signal()
	return id
}

// Close ends a flow.
func (c *Caller) Close(flow session.FlowID) {
	c.emit(c.fleet.Now(), c.session.CloseFlow(c.fleet.Now(), flow))
	c.gate.Signal()
}

// Do starts a call with a payload that no other call has.
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
	c.fleet.oracle.started(call)
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

// Calls returns the number of calls in progress.
func (c *Caller) Calls() int {
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

// Refused reports whether a call ended as "not run".
func (r *Result) Refused() bool {
	return errors.Is(r.Err, session.ErrNotRun) && !errors.Is(r.Err, session.ErrMayHaveRun)
}
