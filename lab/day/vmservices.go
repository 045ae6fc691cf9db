package day

import (
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/httpbody"
	"github.com/gypsumspan/gypsumspan/services/control"
	"github.com/gypsumspan/gypsumspan/services/logs"
	"github.com/gypsumspan/gypsumspan/services/pulls"
	"github.com/gypsumspan/gypsumspan/services/readiness"
)

// Names of services of a VM that are replaced by fakes.
const (
	pullsName   = pulls.Name
	controlName = control.Name
	logsName    = logs.Name
)

// errNotRead is returned by reads from the sockets: a stepped kernel has no blockers, so
// datagrams are delivered to the services directly.
var errNotRead = errors.New("sockets of a stepped kernel can't be read")

// packetSocket sends a VM's datagrams to targets and callers.
type packetSocket struct{ vm *vm }

// ReadFromUDPAddrPort implements packets.Socket.
func (packetSocket) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, errNotRead
}

// WriteToUDPAddrPort implements packets.Socket.
func (s packetSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if to.Port() == vmPort {
		p, err := codec{}.Decode(b)
		if err == nil {
			s.vm.sendReset(p)
		}
		return len(b), err
	}
	p, err := codec{}.Decode(b[prefixSize:])
	if err == nil {
		s.vm.forward(p, targetNumber(b), to)
	}
	return len(b), err
}

// Close implements packets.Socket.
func (packetSocket) Close() error { return nil }

// heartbeatSocket sends a VM's heartbeats to other VMs.
type heartbeatSocket struct{ vm *vm }

// ReadFromUDPAddrPort implements packets.Socket.
func (heartbeatSocket) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, errNotRead
}

// WriteToUDPAddrPort implements packets.Socket.
func (s heartbeatSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	s.vm.heartbeatBytes += len(b)
	data := append([]byte(nil), b...)
	from := s.vm.address(heartbeatPort)
	if peer := s.vm.fleet.byIP(to.Addr()); peer != nil {
		s.vm.fleet.network.send(&s.vm.node, &peer.node, func() {
			if peer.up && !peer.paused && peer.relay != nil {
				_ = peer.relay.Deliver(from, data) // dropped if the ring is full, like a datagram at a full socket buffer
			}
		})
	}
	return len(b), nil
}

// Close implements packets.Socket.
func (heartbeatSocket) Close() error { return nil }

// byIP returns the VM with an address, or nil.
func (f *fleet) byIP(ip netip.Addr) *vm {
	for _, v := range f.vms {
		if v.ip == ip {
			return v
		}
	}
	return nil
}

// puller is a fake of the service "pulls".
type puller struct {
	baseService
	vm *vm
}

// Pull implements the interface that the service "relay" uses.
func (p *puller) Pull(pull relay.Pull) {
	v, f := p.vm, p.vm.fleet
	startedAt := f.timeline.now()
	generation := v.generation
	reply := func(update relay.Update, err error) {
		if v.up && v.generation == generation {
			_ = v.relay.HandlePullResult(pulls.Result{Peer: pull.Name, StartedAt: startedAt, Update: update, Err: err})
		}
	}
	peer := f.byIP(pull.From.Addr())
	if peer == nil || !v.reaches(&peer.node) || peer.paused {
		f.timeline.after(pulls.Timeout, func() { reply(relay.Update{}, pulls.ErrPull) })
		return
	}
	delay := f.network.delay(&v.node, &peer.node)
	f.timeline.after(delay, func() {
		if !peer.up || peer.relay == nil {
			f.timeline.after(delay, func() { reply(relay.Update{}, pulls.ErrPull) })
			return
		}
		_ = peer.relay.ChangesSince(pull.After, func(update relay.Update) {
			p.transfer(peer, pull, update, startedAt, func(err error) {
				f.timeline.after(delay, func() { reply(update, err) })
			})
		})
	})
}

// transfer sends the answer to a pull over the link of the VM that answers, and reports whether it
// has arrived before the pull's timeout.
func (p *puller) transfer(peer *vm, pull relay.Pull, update relay.Update, startedAt time.Duration, report func(err error)) {
	body, err := peer.relay.EncodeAnswer(pull.After, update)
	if err != nil {
		report(err)
		return
	}
	_ = peer.relay.RecordSent(len(body)) // dropped if the ring is full, which delays nothing
	ended := false
	end := func(err error) {
		if !ended {
			ended = true
			report(err)
		}
	}
	cancel := peer.uplink.send(len(body), func() { end(nil) })
	p.vm.fleet.timeline.at(startedAt+pulls.Timeout+httpbody.Allowance(len(body)), func() {
		cancel()
		end(pulls.ErrPull)
	})
}

// readySwitch is a fake of the service "readiness".
type readySwitch struct {
	baseService
	set     bool
	leaving bool
}

func newReadySwitch() *readySwitch { return &readySwitch{baseService: baseService{readiness.Name}} }

// Set implements readiness.Switch.
func (s *readySwitch) Set(ready bool) { s.set = ready }

// IsSet implements readiness.Switch.
func (s *readySwitch) IsSet() bool { return s.set }

// Leave implements readiness.Switch.
func (s *readySwitch) Leave() { s.leaving = true }

func (s *readySwitch) isReady() bool { return s.set && !s.leaving }

// controlStub is a stub of the service "control": it never serves a request.
type controlStub struct{ baseService }

// Handle implements control.Mux.
func (controlStub) Handle(string, http.HandlerFunc) {}

// eventCounter is a fake of the service "logs": it counts the log events by number.
type eventCounter struct {
	baseService
	vm *vm
}

// Log implements logs.Log.
func (c *eventCounter) Log(e *events.Event, fields ...events.Field) {
	c.vm.fleet.oracle.events[e.Number]++
	if e == events.ConfigurationApplied {
		for _, f := range fields {
			if version, ok := f.Value.(uint64); ok && f.Name == "version" {
				c.vm.fleet.oracle.configurationApplied(c.vm, version)
			}
		}
	}
	if trace := c.vm.fleet.oracle.trace; trace != nil {
		trace(c.vm.fleet.timeline.now(), c.vm.name, e, fields)
	}
}
