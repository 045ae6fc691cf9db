package daemon

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/events"
)

// outgoingMachine opens a control link, polls a target and watches the store.
type outgoingMachine struct {
	bindingMachine
	peer, health netip.AddrPort
}

func (m *outgoingMachine) Tick(time.Duration) []message.Message {
	return []message.Message{{To: message.VMAddress(7, m.peer), Body: &message.Heartbeat{}}}
}
func (m *outgoingMachine) IsRelay() bool        { return true }
func (m *outgoingMachine) TableVersion() uint64 { return 1 }
func (m *outgoingMachine) TableKeys() []string  { return nil }
func (m *outgoingMachine) HealthTargets(yield func(target message.TargetID, health netip.AddrPort) bool) {
	yield(1, m.health)
}

// Guards against connections whose local address is not outgoing.address.
func TestOutgoingAddress(t *testing.T) {
	is := is.New(t)
	listeners := make(map[string]*net.TCPListener)
	addresses := make(map[string]netip.AddrPort)
	for _, name := range []string{"control link", "health check", "VM list", "store"} {
		l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		is.NoErr(err)
		defer l.Close()
		is.NoErr(l.SetDeadline(time.Now().Add(testTimeout)))
		listeners[name] = l
		addresses[name] = l.Addr().(*net.TCPAddr).AddrPort()
	}
	s := testSettings(t)
	s.Outgoing.Address = netip.MustParseAddr("127.0.0.9")
	s.VMList.URL = "http://" + addresses["VM list"].String()
	s.Store.Endpoints = []string{"http://" + addresses["store"].String()}
	p := start(t, s, &outgoingMachine{peer: addresses["control link"], health: addresses["health check"]}, StoreServices)
	p.waitFor(events.DaemonStarted)
	for name, l := range listeners {
		conn, err := l.Accept()
		is.NoErr(err)
		if from := conn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap(); from != s.Outgoing.Address {
			t.Errorf("connection of the %s comes from %s", name, from)
		}
		conn.Close()
	}
	p.signals <- syscall.SIGTERM
	is.NoErr(p.wait())
}
