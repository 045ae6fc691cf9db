package day

import (
	"errors"
	"net/http"
	"net/netip"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/services/control"
	"github.com/gypsumspan/gypsumspan/services/logs"
	"github.com/gypsumspan/gypsumspan/services/pulls"
	"github.com/gypsumspan/gypsumspan/services/readiness"
)

// Names of the services of a VM that have fakes here.
const (
	pullsName   = pulls.Name
	controlName = control.Name
	logsName    = logs.Name
)

// errNotRead is returned by sockets, which a stepped kernel does not read.
var errNotRead = errors.New("socket of a stepped kernel is not read")

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
			s.vm.reset(p)
		}
		return len(b), err
	}
	p, err := codec{}.Decode(b[prefixSize:])
	if err == nil {
		s.vm.forward(p, numberOf(b), to)
	}
	return len(b), err
}

// Close implements packets.Socket.
func (packetSocket) Close() error { return nil }

// beatSocket sends a VM's beats to other VMs.
type beatSocket struct{ vm *vm }

// ReadFromUDPAddrPort implements packets.Socket.
func (beatSocket) ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error) {
	return 0, netip.AddrPort{}, errNotRead
}

// WriteToUDPAddrPort implements packets.Socket.
func (s beatSocket) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	s.vm.beatBytes += len(b)
	data := append([]byte(nil), b...)
	from := s.vm.address(beatsPort)
	if other := s.vm.fleet.byIP(to.Addr()); other != nil {
		s.vm.fleet.network.send(&s.vm.end, &other.end, func() {
			if other.up && !other.paused && other.relay != nil {
				_ = other.relay.Deliver(from, data) // a full ring loses it, as a full buffer does
			}
		})
	}
	return len(b), nil
}

// Close implements packets.Socket.
func (beatSocket) Close() error { return nil }

// byIP returns the VM with an address, or nil.
func (f *fleet) byIP(ip netip.Addr) *vm {
	for _, v := range f.vms {
		if v.ip == ip {
			return v
		}
	}
	return nil
}

// puller is the fake of service "pulls".
type puller struct {
	part
	vm *vm
}

// Pull implements the service's interface towards "relay".
func (p *puller) Pull(wanted relay.Pull) {
	v, f := p.vm, p.vm.fleet
	asked := f.timeline.now()
	boot := v.boots
	answer := func(news relay.Update, err error) {
		if v.up && v.boots == boot {
			_ = v.relay.HandlePullResult(pulls.Result{Peer: wanted.Name, StartedAt: asked, Update: news, Err: err})
		}
	}
	other := f.byIP(wanted.From.Addr())
	if other == nil || !v.reaches(&other.end) || other.paused {
		f.timeline.after(callTimeout, func() { answer(relay.Update{}, pulls.ErrPull) })
		return
	}
	delay := f.network.delay(&v.end, &other.end)
	f.timeline.after(delay, func() {
		if !other.up || other.relay == nil {
			f.timeline.after(delay, func() { answer(relay.Update{}, pulls.ErrPull) })
			return
		}
		_ = other.relay.ChangesSince(wanted.After, func(news relay.Update) {
			f.timeline.after(delay, func() { answer(news, nil) })
		})
	})
}

// readySwitch is the fake of service "readiness".
type readySwitch struct {
	part
	set     bool
	leaving bool
}

func newReadySwitch() *readySwitch { return &readySwitch{part: part{readiness.Name}} }

// Set implements readiness.Switch.
func (s *readySwitch) Set(ready bool) { s.set = ready }

// IsSet implements readiness.Switch.
func (s *readySwitch) IsSet() bool { return s.set }

// Leave implements readiness.Switch.
func (s *readySwitch) Leave() { s.leaving = true }

func (s *readySwitch) isReady() bool { return s.set && !s.leaving }

// muted is the fake of service "control", which nobody asks here.
type muted struct{ part }

// Handle implements control.Mux.
func (muted) Handle(string, http.HandlerFunc) {}

// eventCounter is the fake of service "logs": it counts events by number.
type eventCounter struct {
	part
	vm *vm
}

// Log implements logs.Log.
func (c *eventCounter) Log(e *events.Event, fields ...events.Field) {
	c.vm.fleet.oracle.events[e.Number]++
	if trace := c.vm.fleet.oracle.trace; trace != nil {
		trace(c.vm.fleet.timeline.now(), c.vm.name, e, fields)
	}
}
