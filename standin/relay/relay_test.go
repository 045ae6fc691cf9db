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
	// testLimit ends a test that waits for something that never happens.
	testLimit = 20 * time.Second
	// silence is how long nothing must arrive across a cut. A relay that passes
	// traffic late passes the test; the counters of datagrams have no such gap.
	silence = 300 * time.Millisecond
)

var (
	north = netip.MustParseAddr("127.0.1.1")
	south = netip.MustParseAddr("127.0.2.1")
)

// fleet is a relay with one UDP endpoint in the north and one in the south, and
// a TCP endpoint in the south.
type fleet struct {
	is           *is.I
	control      string
	north, south *net.UDPConn
	toSouth      netip.AddrPort // the southern endpoint's advertised UDP address
	fromNorth    netip.AddrPort // the northern one's
	listener     *net.TCPListener
	stream       netip.AddrPort // the TCP endpoint's advertised address
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{is: is.New(t)}
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
	f.fromNorth, f.toSouth = address(relay.datagrams[0].conn), address(relay.datagrams[1].conn)
	f.stream = relay.streams[0].listener.Addr().(*net.TCPAddr).AddrPort()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx, testLimit) }()
	t.Cleanup(func() {
		stop()
		f.is.NoErr(<-ended)
	})
	return f
}

func (f *fleet) listenUDP(t *testing.T, ip netip.Addr) *net.UDPConn {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: ip.AsSlice()})
	f.is.NoErr(err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func address(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (f *fleet) call(method, path string, in, out any) int {
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

func (f *fleet) cut(pairs ...[2]netip.Addr) {
	f.is.Equal(f.call("PUT", "/cut", Partition{Pairs: pairs}, &Partition{}), http.StatusOK)
}

func (f *fleet) dial(timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: north.AsSlice()}, Timeout: timeout}
	return dialer.Dial("tcp", f.stream.String())
}

func isTimeout(err error) bool {
	return os.IsTimeout(err)
}

// Guards against receivers that see the relay's address instead of the sender's
// advertised one, and against datagrams that cross a cut, or do not after it.
func TestDatagrams(t *testing.T) {
	f := startFleet(t)
	buf := make([]byte, 10)
	send := func(b byte) {
		_, err := f.north.WriteToUDPAddrPort([]byte{b}, f.toSouth)
		f.is.NoErr(err)
	}
	receive := func(b byte) {
		f.is.NoErr(f.south.SetReadDeadline(time.Now().Add(testLimit)))
		n, from, err := f.south.ReadFromUDPAddrPort(buf)
		f.is.NoErr(err)
		f.is.Equal(buf[:n], []byte{b})
		f.is.Equal(from, f.fromNorth)
	}
	send(1)
	receive(1)
	f.cut([2]netip.Addr{south, north})
	send(2)
	var stats Stats
	for stats.Lost == 0 && t.Context().Err() == nil {
		f.is.Equal(f.call("GET", "/stats", nil, &stats), http.StatusOK)
	}
	f.cut()
	send(3)
	receive(3)
	f.is.Equal(f.call("GET", "/stats", nil, &stats), http.StatusOK)
	f.is.Equal(stats, Stats{Passed: 2, Lost: 1})
	f.is.Equal(f.call("PUT", "/cut", Partition{Pairs: [][2]netip.Addr{{north, north}}}, &Partition{}), http.StatusBadRequest)
}

// Guards against a cut that closes connections, lets bytes or new connections
// through, or loses bytes that were sent meanwhile.
func TestConnections(t *testing.T) {
	f := startFleet(t)
	near, err := f.dial(testLimit)
	f.is.NoErr(err)
	defer near.Close()
	f.is.NoErr(f.listener.SetDeadline(time.Now().Add(testLimit)))
	far, err := f.listener.Accept()
	f.is.NoErr(err)
	defer far.Close()
	exchange := func(to, from net.Conn, b byte) {
		_, err := from.Write([]byte{b})
		f.is.NoErr(err)
		buf := make([]byte, 10)
		f.is.NoErr(to.SetReadDeadline(time.Now().Add(testLimit)))
		n, err := to.Read(buf)
		f.is.NoErr(err)
		f.is.Equal(buf[:n], []byte{b})
	}
	exchange(far, near, 1)
	exchange(near, far, 2)
	f.cut([2]netip.Addr{north, south})
	_, err = near.Write([]byte{3})
	f.is.NoErr(err)
	for _, side := range []net.Conn{near, far} {
		f.is.NoErr(side.SetReadDeadline(time.Now().Add(silence)))
		_, err = side.Read(make([]byte, 10))
		f.is.True(isTimeout(err)) // silent, neither closed nor reset
	}
	_, err = f.dial(silence)
	f.is.True(isTimeout(err)) // lost, not refused
	elsewhere, err := net.DialTimeout("tcp", f.stream.String(), testLimit)
	f.is.NoErr(err) // from an address that is not cut off
	elsewhere.Close()
	f.cut()
	f.is.NoErr(far.SetReadDeadline(time.Now().Add(testLimit)))
	buf := make([]byte, 10)
	n, err := far.Read(buf)
	f.is.NoErr(err)
	f.is.Equal(buf[:n], []byte{3})
	exchange(near, far, 4)
}
