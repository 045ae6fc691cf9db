// Package flowends has stand-ins for the two endpoints of opaque flows: callers and targets
// that exchange packets of the users' platform over UDP. They are for tests only. Both verify
// the checksum of each packet they receive, to detect packets modified in transit.
package flowends

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

var (
	// ErrLength means that a datagram is shorter than a header, or that its length does not
	// match the header.
	ErrLength = errors.New("datagram has the wrong length")
	// ErrChecksum means that a packet was modified in transit.
	ErrChecksum = errors.New("packet has the wrong checksum")
	// ErrReset means that a target or a VM reset the flow.
	ErrReset = errors.New("flow was reset")
	// ErrVMReset wraps ErrReset and means that a VM, not a target, reset the flow.
	ErrVMReset = fmt.Errorf("by a VM: %w", ErrReset)
	// ErrNoAnswer means that no answer arrived before the timeout.
	ErrNoAnswer = errors.New("no answer")
)

// Sizes in bytes. Each datagram to a target has a prefix before the packet, the number of
// the target that is meant.
const (
	headerSize    = 32
	prefixSize    = 8
	maxPacketSize = headerSize + 1200
)

// Bits of Packet.Flags.
const (
	SYN = 2
	RST = 4
	ACK = 8
	FIN = 128
)

// Packet is a packet of a caller or a target.
type Packet struct {
	Echo     uint32 // the cookie set by a VM, which both endpoints echo
	From, To netip.AddrPort
	Flags    byte
	Seq, Ack uint32
	Data     []byte
	// VMReset is true for a reset with checksum 0, as VMs send it.
	VMReset bool
}

// checksumSeed is the xxHash64 seed of the checksum, shared by callers and targets.
const checksumSeed = 0x67797073756d

// checksum returns the low 32 bits of the xxHash64 of all fields but Echo, which VMs change
// in transit.
func (p Packet) checksum() uint32 {
	h := xxhash.NewWithSeed(checksumSeed)
	fmt.Fprint(h, p.From, p.To, p.Flags, p.Seq, p.Ack)
	_, _ = h.Write(p.Data)
	return uint32(h.Sum64())
}

// Encode returns the packet in the format of the platform, all fields big-endian.
func (p Packet) Encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.Data))
	from, to := p.From.Addr().As4(), p.To.Addr().As4()
	binary.BigEndian.PutUint32(b, p.Echo)
	copy(b[4:], from[:])
	copy(b[8:], to[:])
	binary.BigEndian.PutUint16(b[12:], p.To.Port())
	binary.BigEndian.PutUint16(b[14:], p.From.Port())
	binary.BigEndian.PutUint16(b[16:], uint16(len(p.Data)))
	b[18] = p.Flags
	binary.BigEndian.PutUint32(b[20:], p.checksum())
	binary.BigEndian.PutUint32(b[24:], p.Seq)
	binary.BigEndian.PutUint32(b[28:], p.Ack)
	return append(b, p.Data...)
}

// Decode decodes a packet. It returns ErrLength or ErrChecksum. The checksum of a
// VM's reset is 0 and is not verified.
func Decode(b []byte) (Packet, error) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[16:])) {
		return Packet{}, ErrLength
	}
	p := Packet{
		Echo:  binary.BigEndian.Uint32(b),
		From:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[14:])),
		To:    netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:12])), binary.BigEndian.Uint16(b[12:])),
		Flags: b[18],
		Seq:   binary.BigEndian.Uint32(b[24:]),
		Ack:   binary.BigEndian.Uint32(b[28:]),
		Data:  b[headerSize:],
	}
	sum := binary.BigEndian.Uint32(b[20:])
	p.VMReset = p.Flags == RST && sum == 0
	if p.checksum() != sum && !p.VMReset {
		return Packet{}, ErrChecksum
	}
	return p, nil
}

// Caller is a client that opens flows. It sends all of them from one UDP socket, and a flow
// that waits for an answer discards those of other flows: a caller and its flows are not safe
// for concurrent use.
type Caller struct {
	conn     *net.UDPConn
	nextPort uint16 // port of the next flow
	flows    map[netip.AddrPort]*Flow
}

// NewCaller returns a caller whose socket is bound to addr.
func NewCaller(addr netip.AddrPort) (*Caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("caller %s: %w", addr, err)
	}
	return &Caller{conn: conn, nextPort: 1024, flows: make(map[netip.AddrPort]*Flow)}, nil
}

// Close closes the caller's socket.
func (c *Caller) Close() { c.conn.Close() }

// Flow is an open flow of a caller.
type Flow struct {
	caller   *Caller
	From, To netip.AddrPort
	echo     uint32 // cookie of the last packet of a target
	seq, ack uint32 // of the next packet
}

// VMSelector returns the address of the VM to which the next packet of a flow is sent. An
// invalid address means that there is none, and the packet is dropped.
type VMSelector func(f *Flow) netip.AddrPort

// viaVM returns a selector of one VM.
func viaVM(vm netip.AddrPort) VMSelector { return func(*Flow) netip.AddrPort { return vm } }

// Open opens a flow to address through the VM at vm; see OpenVia.
func (c *Caller) Open(vm, address netip.AddrPort) (*Flow, error) {
	return c.OpenVia(viaVM(vm), address)
}

// OpenVia opens a flow to address. It retransmits the SYN after 200 and 600 ms and times out
// after 1.4 s. The Ack of a SYN is the number of its earlier transmissions. It returns ErrReset,
// ErrVMReset, ErrNoAnswer or an error of Decode.
func (c *Caller) OpenVia(selectVM VMSelector, address netip.AddrPort) (*Flow, error) {
	c.nextPort++
	ip := c.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr()
	f := &Flow{caller: c, From: netip.AddrPortFrom(ip, c.nextPort), To: address, seq: 100}
	c.flows[f.From] = f
	for retransmits, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(selectVM, Packet{Flags: SYN, Seq: f.seq, Ack: uint32(retransmits)})
		answer, err := f.receive(wait, f.seq+1)
		if errors.Is(err, ErrNoAnswer) {
			continue
		}
		if err != nil {
			delete(c.flows, f.From)
			return nil, err
		}
		f.seq++
		f.ack = answer.Seq + 1
		f.send(selectVM, Packet{Flags: ACK, Seq: f.seq, Ack: f.ack})
		return f, nil
	}
	delete(c.flows, f.From)
	return nil, ErrNoAnswer
}

// Request sends the request "hello" through the VM at vm; see RequestVia.
func (f *Flow) Request(vm netip.AddrPort) (string, error) {
	return f.RequestVia(viaVM(vm), "hello")
}

// RequestVia sends a request and returns the name of the target that answers. It retransmits
// the request after 200 and 600 ms and times out after 1.4 s. It returns ErrReset, ErrVMReset,
// ErrNoAnswer or an error of Decode.
func (f *Flow) RequestVia(selectVM VMSelector, request string) (string, error) {
	data := []byte(request)
	for _, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(selectVM, Packet{Flags: ACK, Seq: f.seq, Ack: f.ack, Data: data})
		answer, err := f.receive(wait, f.seq+uint32(len(data)))
		if errors.Is(err, ErrNoAnswer) {
			continue
		}
		if err != nil {
			return "", err
		}
		f.seq += uint32(len(data))
		f.ack = answer.Seq + uint32(len(answer.Data))
		f.send(selectVM, Packet{Flags: ACK, Seq: f.seq, Ack: f.ack})
		return string(answer.Data), nil
	}
	return "", ErrNoAnswer
}

// Abort resets the flow, so that its target discards it.
func (f *Flow) Abort(selectVM VMSelector) {
	delete(f.caller.flows, f.From)
	f.send(selectVM, Packet{Flags: RST, Seq: f.seq, Ack: f.ack})
}

func (f *Flow) send(selectVM VMSelector, p Packet) {
	vm := selectVM(f)
	if !vm.IsValid() {
		return // no VM is available
	}
	p.From, p.To, p.Echo = f.From, f.To, f.echo
	// A send error appears as a missing answer.
	_, _ = f.caller.conn.WriteToUDPAddrPort(p.Encode(), vm)
}

// receive returns the next packet of the flow with the acknowledgement number ack. It skips
// packets of other flows and duplicate answers to retransmissions.
func (f *Flow) receive(wait time.Duration, ack uint32) (Packet, error) {
	deadline := time.Now().Add(wait)
	if err := f.caller.conn.SetReadDeadline(deadline); err != nil {
		return Packet{}, err
	}
	buf := make([]byte, maxPacketSize)
	for {
		n, _, err := f.caller.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return Packet{}, fmt.Errorf("%w: %w", ErrNoAnswer, err)
		}
		p, err := Decode(buf[:n])
		if err != nil {
			return Packet{}, err
		}
		if other := f.caller.flows[p.To]; other != nil && p.From == other.To && p.Flags&RST == 0 {
			// Also the answer of another target to the flow's SYN, which has come late.
			other.echo = p.Echo
		}
		if p.To != f.From || p.From != f.To {
			continue
		}
		if p.VMReset {
			return Packet{}, ErrVMReset
		}
		if p.Flags&RST != 0 {
			return Packet{}, ErrReset
		}
		if p.Ack != ack {
			continue
		}
		return p, nil
	}
}
