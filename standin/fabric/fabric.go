// Package fabric is a stand-in for the network fabric between callers and entry VMs. It is a
// transport in the caller's process, since an unprivileged process can't send from another
// host's source address: it sends each datagram to the VM that its path names, and VMs send
// their answers directly to the caller's socket.
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

// ErrNoVM means that Settings.VMs is empty.
var ErrNoVM = errors.New("fabric has no VM")

// socketBufferBytes is the requested size of a socket's receive and send buffers.
const socketBufferBytes = 4 << 20

// VM is an entry VM to which the fabric sends datagrams.
type VM struct {
	Addr   netip.AddrPort // UDP, datagrams of callers
	Domain string         // failure domain
}

// Settings describe the network. They must not be modified after New or Set.
type Settings struct {
	VMs []VM // receivers of datagrams; any VM may answer
	// Loss and Duplicate are probabilities from 0 to 1, for each datagram and direction.
	Loss      float64
	Duplicate float64
	// Reorder is the probability, from 0 to 1, that a datagram is delayed until after the
	// next one of the same socket and direction.
	Reorder float64
	// PartitionedDomains are the failure domains whose datagrams are dropped in both
	// directions.
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

// Stats counts datagrams since the start, in both directions unless stated otherwise.
type Stats struct {
	Sent      uint64 `json:"sent"` // sent by callers
	Lost      uint64 `json:"lost"` // dropped by Loss or PartitionedDomains
	Doubled   uint64 `json:"doubled"`
	Reordered uint64 `json:"reordered"`
}

// New returns a fabric. Its random choices on each socket depend only on the seed, the order
// in which the sockets were opened and the order of the datagrams.
func New(seed uint64, settings Settings) *Fabric {
	f := &Fabric{seed: seed}
	f.Set(settings)
	return f
}

// Set replaces the settings. It is safe for concurrent use.
func (f *Fabric) Set(settings Settings) {
	f.settings.Store(&settings)
}

// Settings returns the current settings.
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
	// Best effort: the system may limit the sizes.
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	f.sockets++
	return &conn{
		fabric: f,
		socket: socket,
		out:    direction{fabric: f, rng: rand.New(rand.NewPCG(f.seed, 2*f.sockets))},
		in:     direction{fabric: f, rng: rand.New(rand.NewPCG(f.seed, 2*f.sockets+1))},
		buf:    make([]byte, wire.MaxDatagram+1),
	}, nil
}

// conn is one socket of a caller. Only the caller's sending duty uses out, only its receiving
// duty uses in, buf and received.
type conn struct {
	fabric   *Fabric
	socket   *net.UDPConn
	out      direction
	in       direction
	buf      []byte
	received [][]byte // datagrams that in has delivered and Receive has not returned
}

// Send implements caller.Conn. It returns ErrNoVM or the errors of the socket.
func (c *conn) Send(datagram []byte, path uint64) error {
	s := c.fabric.settings.Load()
	if len(s.VMs) == 0 {
		return ErrNoVM
	}
	c.fabric.sent.Add(1)
	var errs []error
	for i, d := range c.out.transmit(s, datagram, "") {
		vm := s.VMs[(path+uint64(i))%uint64(len(s.VMs))]
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
	for len(c.received) == 0 {
		n, from, err := c.socket.ReadFromUDPAddrPort(c.buf)
		if err != nil {
			return 0, fmt.Errorf("receive: %w", err)
		}
		s := c.fabric.settings.Load()
		c.received = c.in.transmit(s, c.buf[:n], s.domainOf(from))
	}
	n := copy(buffer, c.received[0])
	c.received = c.received[1:]
	return n, nil
}

// domainOf returns the failure domain of the VM with an address, or "" if it is unknown.
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

// direction simulates loss, duplication and reordering in one direction of a socket.
type direction struct {
	fabric  *Fabric
	rng     *rand.Rand
	delayed []byte
}

// transmit returns the datagrams to deliver after a datagram has entered the network. They
// are copies. domain is the failure domain of the sender, if it is a VM, or "".
func (l *direction) transmit(s *Settings, datagram []byte, domain string) [][]byte {
	if domain != "" && slices.Contains(s.PartitionedDomains, domain) || l.rng.Float64() < s.Loss {
		l.fabric.lost.Add(1)
		return nil
	}
	copied := slices.Clone(datagram)
	if l.delayed == nil && l.rng.Float64() < s.Reorder {
		l.fabric.reordered.Add(1)
		l.delayed = copied
		return nil
	}
	out := [][]byte{copied}
	if l.rng.Float64() < s.Duplicate {
		l.fabric.doubled.Add(1)
		out = append(out, copied)
	}
	if l.delayed != nil {
		out = append(out, l.delayed)
		l.delayed = nil
	}
	return out
}
