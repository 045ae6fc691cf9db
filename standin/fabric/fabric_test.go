package fabric

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// TestDirectionFaults guards against fault rates that differ from the probabilities of
// Settings, and against datagrams that are lost without being counted.
func TestDirectionFaults(t *testing.T) {
	is := is.New(t)
	f := New(1, Settings{})
	l := direction{fabric: f, rng: rand.New(rand.NewPCG(1, 1))}
	s := &Settings{Loss: 0.1, Duplicate: 0.2, Reorder: 0.3}
	const count = 10000
	seen, outOfOrder, last := 0, 0, -1
	for i := range count {
		for _, d := range l.transmit(s, []byte{byte(i >> 8), byte(i)}, "") {
			n := int(d[0])<<8 | int(d[1])
			seen++
			if n < last {
				outOfOrder++
			}
			last = max(last, n)
		}
	}
	stats := f.Stats()
	held := 0
	if l.delayed != nil {
		held = 1
	}
	is.Equal(seen, count-int(stats.Lost)+int(stats.Doubled)-held)
	is.True(stats.Lost > 900 && stats.Lost < 1100)
	is.True(stats.Doubled > 1000 && outOfOrder > 1000)
	is.Equal(len(l.transmit(&Settings{PartitionedDomains: []string{"a"}}, []byte{0, 0}, "a")), 0)
}

// TestSprayAndPartition guards against a fabric that does not use all VMs, or that reaches a
// partitioned failure domain.
func TestSprayAndPartition(t *testing.T) {
	is := is.New(t)
	var vms []VM
	var sockets []*net.UDPConn
	for _, domain := range []string{"a", "b"} {
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		is.NoErr(err)
		defer socket.Close()
		sockets = append(sockets, socket)
		vms = append(vms, VM{Addr: socket.LocalAddr().(*net.UDPAddr).AddrPort(), Domain: domain})
	}
	f := New(1, Settings{VMs: vms})
	c, err := f.Open()
	is.NoErr(err)
	defer c.Close()
	const count = 20
	for path := range uint64(count) {
		is.NoErr(c.Send([]byte{1}, path))
	}
	f.Set(Settings{VMs: vms, PartitionedDomains: []string{"a"}})
	for path := range uint64(count) {
		is.NoErr(c.Send([]byte{2}, path))
	}
	marker, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	is.NoErr(err)
	defer marker.Close()
	var before, after [2]int
	for i, socket := range sockets {
		_, err = marker.WriteToUDPAddrPort([]byte{9}, vms[i].Addr)
		is.NoErr(err)
		before[i], after[i] = countBeforeMarker(is, socket)
	}
	is.Equal(before[0]+before[1], count)
	is.True(before[0] > 0 && before[1] > 0)
	is.Equal(after[0], 0)
	is.Equal(after[1], count-int(f.Stats().Lost))
}

// countBeforeMarker counts the datagrams with payload 1 and 2 before the one with payload 9.
func countBeforeMarker(is *is.I, socket *net.UDPConn) (ones, twos int) {
	buf := make([]byte, 10)
	for {
		_, _, err := socket.ReadFromUDPAddrPort(buf)
		is.NoErr(err)
		switch buf[0] {
		case 1:
			ones++
		case 2:
			twos++
		default:
			return ones, twos
		}
	}
}
