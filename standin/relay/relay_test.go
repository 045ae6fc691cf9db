//go:build linux

package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/kernel"
)

const (
	// testTimeout limits the waits for events that must occur.
	testTimeout = 20 * time.Second
	// quietPeriod is how long nothing may arrive across a partition. The test does not
	// detect TCP data that arrives later; for datagrams it checks the counters.
	quietPeriod = 300 * time.Millisecond
)

var (
	north = netip.MustParseAddr("127.0.1.1")
	south = netip.MustParseAddr("127.0.2.1")
)

// fixture is a relay with a UDP endpoint in the north, one in the south, and a TCP endpoint in
// the south.
type fixture struct {
	is            *is.I
	control       string
	north, south  *net.UDPConn
	toSouth       netip.AddrPort // advertised UDP address of the southern endpoint
	fromNorth     netip.AddrPort // advertised UDP address of the northern endpoint
	listener      *net.TCPListener
	advertisedTCP netip.AddrPort // advertised address of the TCP endpoint
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{is: is.New(t)}
	f.north, f.south = f.listenUDP(t, north), f.listenUDP(t, south)
	var err error
	f.listener, err = net.ListenTCP("tcp", &net.TCPAddr{IP: south.AsSlice()})
	f.is.NoErr(err)
	t.Cleanup(func() { f.listener.Close() })
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	relay := New(Config{
		Control: loopback,
		UDP:     []Endpoint{{Advertised: loopback, Real: address(f.north)}, {Advertised: loopback, Real: address(f.south)}},
		TCP:     []Endpoint{{Advertised: loopback, Real: f.listener.Addr().(*net.TCPAddr).AddrPort()}},
	})
	server := relay.HTTP()
	k := kernel.New(kernel.NewClock())
	f.is.NoErr(k.Register(relay))
	f.is.NoErr(k.Register(server))
	f.is.NoErr(k.Assemble())
	f.control = "http://" + server.Addr().String()
	f.fromNorth, f.toSouth = address(relay.udpProxies[0].conn), address(relay.udpProxies[1].conn)
	f.advertisedTCP = relay.tcpProxies[0].listener.Addr().(*net.TCPAddr).AddrPort()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx, testTimeout) }()
	t.Cleanup(func() {
		stop()
		f.is.NoErr(<-ended)
	})
	return f
}

func (f *fixture) listenUDP(t *testing.T, ip netip.Addr) *net.UDPConn {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: ip.AsSlice()})
	f.is.NoErr(err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func address(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (f *fixture) call(method, path string, in, out any) int {
	body, err := json.Marshal(in)
	f.is.NoErr(err)
	request, err := http.NewRequest(method, f.control+path, bytes.NewReader(body))
	f.is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	f.is.NoErr(err)
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		f.is.NoErr(json.NewDecoder(response.Body).Decode(out))
	}
	return response.StatusCode
}

func (f *fixture) partition(pairs ...[2]netip.Addr) {
	f.is.Equal(f.call("PUT", "/cut", Partition{Pairs: pairs}, &Partition{}), http.StatusOK)
}

func (f *fixture) dial(timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: north.AsSlice()}, Timeout: timeout}
	return dialer.Dial("tcp", f.advertisedTCP.String())
}

func isTimeout(err error) bool {
	return os.IsTimeout(err)
}

// Guards against receivers that do not see the sender's advertised address, against datagrams
// that cross a partition, and against datagrams that are dropped after it.
func TestDatagrams(t *testing.T) {
	f := newFixture(t)
	buf := make([]byte, 10)
	send := func(b byte) {
		_, err := f.north.WriteToUDPAddrPort([]byte{b}, f.toSouth)
		f.is.NoErr(err)
	}
	receive := func(b byte) {
		f.is.NoErr(f.south.SetReadDeadline(time.Now().Add(testTimeout)))
		n, from, err := f.south.ReadFromUDPAddrPort(buf)
		f.is.NoErr(err)
		f.is.Equal(buf[:n], []byte{b})
		f.is.Equal(from, f.fromNorth)
	}
	send(1)
	receive(1)
	f.partition([2]netip.Addr{south, north})
	send(2)
	var stats Stats
	for stats.Lost == 0 && t.Context().Err() == nil {
		f.is.Equal(f.call("GET", "/stats", nil, &stats), http.StatusOK)
	}
	f.partition()
	send(3)
	receive(3)
	f.is.Equal(f.call("GET", "/stats", nil, &stats), http.StatusOK)
	f.is.Equal(stats, Stats{Passed: 2, Lost: 1})
	f.is.Equal(f.call("PUT", "/cut", Partition{Pairs: [][2]netip.Addr{{north, north}}}, &Partition{}), http.StatusBadRequest)
}

// Guards against a partition that closes connections, lets bytes or new connections through,
// or loses the bytes that were sent during it.
func TestConnections(t *testing.T) {
	f := newFixture(t)
	near, err := f.dial(testTimeout)
	f.is.NoErr(err)
	defer near.Close()
	f.is.NoErr(f.listener.SetDeadline(time.Now().Add(testTimeout)))
	far, err := f.listener.Accept()
	f.is.NoErr(err)
	defer far.Close()
	exchange := func(to, from net.Conn, b byte) {
		_, err := from.Write([]byte{b})
		f.is.NoErr(err)
		buf := make([]byte, 10)
		f.is.NoErr(to.SetReadDeadline(time.Now().Add(testTimeout)))
		n, err := to.Read(buf)
		f.is.NoErr(err)
		f.is.Equal(buf[:n], []byte{b})
	}
	exchange(far, near, 1)
	exchange(near, far, 2)
	f.partition([2]netip.Addr{north, south})
	_, err = near.Write([]byte{3})
	f.is.NoErr(err)
	for _, side := range []net.Conn{near, far} {
		f.is.NoErr(side.SetReadDeadline(time.Now().Add(quietPeriod)))
		_, err = side.Read(make([]byte, 10))
		f.is.True(isTimeout(err)) // no data, but neither closed nor reset
	}
	_, err = f.dial(quietPeriod)
	f.is.True(isTimeout(err)) // SYN dropped, not refused
	elsewhere, err := net.DialTimeout("tcp", f.advertisedTCP.String(), testTimeout)
	f.is.NoErr(err) // from an address that is not blocked
	elsewhere.Close()
	f.partition()
	f.is.NoErr(far.SetReadDeadline(time.Now().Add(testTimeout)))
	buf := make([]byte, 10)
	n, err := far.Read(buf)
	f.is.NoErr(err)
	f.is.Equal(buf[:n], []byte{3})
	exchange(near, far, 4)
}
