// Package fabric is a stand-in for the network fabric between callers and entry
// VMs. It is a transport in the caller's process, since a plain process can't
// send with a foreign source address: it sprays each datagram over the VMs, and
// VMs answer straight to the caller's socket.
package fabric

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/gypsumspan/gypsumspan/caller"
	"github.com/gypsumspan/gypsumspan/wire"
)

// ErrNoVM means that the fabric has no VM to deliver to.
var ErrNoVM = errors.New("fabric has no VM")

// socketBuffer is the kernel buffer of a socket, in bytes.
const socketBuffer = 4 << 20

// VM is an entry VM as the fabric sees it.
type VM struct {
	Addr   netip.AddrPort // address for callers' datagrams
	Domain string         // failure domain
}

// Settings describe the network. A value in use must not be changed.
type Settings struct {
	VMs []VM // receivers of datagrams; any VM may answer
	// Probabilities from 0 to 1, for each datagram and direction.
	Loss      float64
	Duplicate float64
	// Reorder is the probability that a datagram is held back until the next
	// one of the same socket and direction has passed.
	Reorder float64
	// PartitionedDomains lists failure domains whose datagrams are lost in both directions.
	PartitionedDomains []string
}

// Fabric implements caller.Transport.
type Fabric struct {
	seed     uint64
	sockets  uint64
	settings atomic.Pointer[Settings]

	sent      atomic.Uint64
	lost      atomic.Uint64
	doubled   atomic.Uint64
	reordered atomic.Uint64
}

// Stats counts datagrams of both directions since start.
type Stats struct {
	Sent      uint64 `json:"sent"` // passed to the network by callers
	Lost      uint64 `json:"lost"` // dropped by Loss or PartitionedDomains
	Doubled   uint64 `json:"doubled"`
	Reordered uint64 `json:"reordered"`
}

// New returns a fabric. For one seed and one order of datagrams on a socket,
// the choices are the same.
func New(seed uint64, settings Settings) *Fabric {
	f := &Fabric{seed: seed}
	f.Set(settings)
	return f
}

// Set replaces the settings, at any time.
func (f *Fabric) Set(settings Settings) {
	f.settings.Store(&settings)
}

// Settings returns the settings in use.
func (f *Fabric) Settings() Settings {
	return *f.settings.Load()
}

// Stats returns the counters.
func (f *Fabric) Stats() Stats {
	return Stats{Sent: f.sent.Load(), Lost: f.lost.Load(), Doubled: f.doubled.Load(), Reordered: f.reordered.Load()}
}

// Open implements caller.Transport. It must not be called concurrently.
func (f *Fabric) Open() (caller.Conn, error) {
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, fmt.Errorf("open socket: %w", err)
	}
	// The system may grant less; that is not an error.
	_ = socket.SetReadBuffer(socketBuffer)
	_ = socket.SetWriteBuffer(socketBuffer)
	f.sockets++
	return &conn{
		fabric: f,
		socket: socket,
		out:    lane{fabric: f, rng: rand.New(rand.NewPCG(f.seed, 2*f.sockets))},
		in:     lane{fabric: f, rng: rand.New(rand.NewPCG(f.seed, 2*f.sockets+1))},
		buf:    make([]byte, wire.MaxDatagram+1),
	}, nil
}

// conn is one socket of a caller. Its out lane belongs to the sending duty, its
// in lane to the receiving duty.
type conn struct {
	fabric *Fabric
	socket *net.UDPConn
	out    lane
	in     lane
	buf    []byte
	ready  [][]byte // received datagrams that the network has delivered
}

// Send implements caller.Conn. It returns ErrNoVM or an error of the socket.
func (c *conn) Send(datagram []byte) error {
	s := c.fabric.settings.Load()
	if len(s.VMs) == 0 {
		return ErrNoVM
	}
	c.fabric.sent.Add(1)
	var errs []error
	for _, d := range c.out.pass(s, datagram, "") {
		vm := s.VMs[c.out.rng.IntN(len(s.VMs))]
		if slices.Contains(s.PartitionedDomains, vm.Domain) {
			c.fabric.lost.Add(1)
			continue
		}
		if _, err := c.socket.WriteToUDPAddrPort(d, vm.Addr); err != nil {
			errs = append(errs, fmt.Errorf("send to %s: %w", vm.Addr, err))
		}
	}
	return errors.Join(errs...)
}

// Receive implements caller.Conn.
func (c *conn) Receive(buffer []byte) (int, error) {
	for len(c.ready) == 0 {
		n, from, err := c.socket.ReadFromUDPAddrPort(c.buf)
		if err != nil {
			return 0, fmt.Errorf("receive: %w", err)
		}
		s := c.fabric.settings.Load()
		c.ready = c.in.pass(s, c.buf[:n], s.domainOf(from))
	}
	n := copy(buffer, c.ready[0])
	c.ready = c.ready[1:]
	return n, nil
}

// domainOf returns the failure domain of a VM, or "" if it is not known.
func (s *Settings) domainOf(from netip.AddrPort) string {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	for _, vm := range s.VMs {
		if vm.Addr == from {
			return vm.Domain
		}
	}
	return ""
}

// Close implements caller.Conn.
func (c *conn) Close() error {
	return c.socket.Close()
}

// lane is one direction of a socket.
type lane struct {
	fabric *Fabric
	rng    *rand.Rand
	held   []byte
}

// pass returns the datagrams that leave the network when one enters it. The
// result holds copies.
func (l *lane) pass(s *Settings, datagram []byte, domain string) [][]byte {
	if domain != "" && slices.Contains(s.PartitionedDomains, domain) || l.rng.Float64() < s.Loss {
		l.fabric.lost.Add(1)
		return nil
	}
	d := slices.Clone(datagram)
	if l.held == nil && l.rng.Float64() < s.Reorder {
		l.fabric.reordered.Add(1)
		l.held = d
		return nil
	}
	out := [][]byte{d}
	if l.rng.Float64() < s.Duplicate {
		l.fabric.doubled.Add(1)
		out = append(out, d)
	}
	if l.held != nil {
		out = append(out, l.held)
		l.held = nil
	}
	return out
}
