// Package flowends has stand-ins for the two ends of opaque flows: callers and
// targets that speak the packets of the users' platform over UDP. They are for
// tests only. Each end checks the sum of what it receives, so that a packet that
// was changed on its way shows.
package flowends

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Errors of packets.
var (
	ErrLength   = errors.New("datagram is too short")
	ErrChecksum = errors.New("packet was changed on its way")
	// ErrReset means that a flow was reset.
	ErrReset = errors.New("flow was reset")
	// ErrVMReset means that a VM reset a flow, not a target.
	ErrVMReset = fmt.Errorf("by a VM: %w", ErrReset)
	// ErrNoAnswer means that nothing arrived in time.
	ErrNoAnswer = errors.New("no answer")
)

const (
	headerSize = 32
	prefixSize = 8
	maxSize    = headerSize + 1200
)

// Flags of a packet.
const (
	SYN = 2
	RST = 4
	ACK = 8
	FIN = 128
)

// Packet is one packet of either end.
type Packet struct {
	Echo     uint32
	From, To netip.AddrPort
	Flags    byte
	Seq, Ack uint32
	Data     []byte
	// VMReset means that the packet is a reset without a sum, as VMs send them.
	VMReset bool
}

// sumKey is the key of the sums of both ends.
const sumKey = 0x67797073756d

func (p Packet) sum() uint32 {
	h := xxhash.NewWithSeed(sumKey)
	fmt.Fprint(h, p.From, p.To, p.Flags, p.Seq, p.Ack)
	_, _ = h.Write(p.Data)
	return uint32(h.Sum64())
}

// Encode returns the packet's bytes.
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
	binary.BigEndian.PutUint32(b[20:], p.sum())
	binary.BigEndian.PutUint32(b[24:], p.Seq)
	binary.BigEndian.PutUint32(b[28:], p.Ack)
	return append(b, p.Data...)
}

// Decode reads a packet. It returns ErrLength or ErrChecksum. A reset of the system
// carries no sum.
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
	if p.sum() != sum && !p.VMReset {
		return Packet{}, ErrChecksum
	}
	return p, nil
}

// targetFlow is a flow at a target.
type targetFlow struct {
	expect uint32 // next byte of the caller
}

// Target answers flows: it accepts each, and answers data with its own name. Data
// that was seen before is answered again and not executed.
type Target struct {
	Name   string
	Number uint64 // by which it recognises datagrams that are meant for it

	conn       *net.UDPConn
	callerPort uint16 // to which answers go
	done       chan struct{}

	mu      sync.Mutex
	flows   map[netip.AddrPort]*targetFlow
	opened  int
	changed int
	foreign int
	ran     map[string]int // executions by the data of the request
}

// NewTarget starts a target at addr that answers callers at callerPort.
func NewTarget(name string, number uint64, addr netip.AddrPort, callerPort uint16) (*Target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("target %s: %w", name, err)
	}
	t := &Target{Name: name, Number: number, conn: conn, callerPort: callerPort, done: make(chan struct{}), flows: make(map[netip.AddrPort]*targetFlow), ran: make(map[string]int)}
	go t.run()
	return t, nil
}

// Address returns the address of the target.
func (t *Target) Address() netip.AddrPort {
	return t.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Stats returns the flows that were opened, and the datagrams that were changed or
// meant for another target.
func (t *Target) Stats() (opened, changed, foreign int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opened, t.changed, t.foreign
}

// Executions returns how often each request was executed, by its data.
func (t *Target) Executions() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.ran)
}

// Holds reports whether the target has the flow of a caller's end.
func (t *Target) HasFlow(from netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.flows[from] != nil
}

// Close ends the target. It says nothing to its callers.
func (t *Target) Close() {
	t.conn.Close()
	<-t.done
}

func (t *Target) run() {
	defer close(t.done)
	buf := make([]byte, prefixSize+maxSize)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n >= prefixSize {
			t.take(binary.BigEndian.Uint64(buf), buf[prefixSize:n])
		}
	}
}

func (t *Target) take(number uint64, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if number != t.Number && number != 0 {
		t.foreign++
		return
	}
	p, err := Decode(data)
	if err != nil {
		t.changed++
		return
	}
	answer := Packet{Echo: p.Echo, From: p.To, To: p.From, Seq: 1000, Ack: p.Seq + uint32(len(p.Data))}
	f := t.flows[p.From]
	switch {
	case p.Flags&SYN != 0:
		if f == nil {
			t.opened++
			t.flows[p.From] = &targetFlow{expect: p.Seq + 1}
		}
		answer.Flags = SYN | ACK
		answer.Ack = p.Seq + 1
	case p.Flags&RST != 0:
		delete(t.flows, p.From)
		return
	case f == nil:
		answer.Flags = RST
	case len(p.Data) > 0:
		if p.Seq == f.expect {
			f.expect += uint32(len(p.Data))
			t.ran[string(p.Data)]++
		}
		answer.Flags = ACK
		answer.Seq = p.Ack
		answer.Data = []byte(t.Name)
	default:
		return
	}
	to := netip.AddrPortFrom(p.From.Addr(), t.callerPort)
	// A caller that has gone shows as a missing answer.
	_, _ = t.conn.WriteToUDPAddrPort(answer.Encode(), to)
}

// Caller opens flows from one address.
type Caller struct {
	conn *net.UDPConn
	next uint16 // port of the next flow
}

// NewCaller returns a caller at addr.
func NewCaller(addr netip.AddrPort) (*Caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("caller %s: %w", addr, err)
	}
	return &Caller{conn: conn, next: 1024}, nil
}

// Close closes the caller's socket.
func (c *Caller) Close() { c.conn.Close() }

// Flow is one flow of a caller.
type Flow struct {
	caller   *Caller
	From, To netip.AddrPort
	echo     uint32
	seq, ack uint32
}

// VMSelector returns the VM that gets the next packet of a flow.
type VMSelector func(f *Flow) netip.AddrPort

// through returns the selector of one VM.
func through(vm netip.AddrPort) VMSelector { return func(*Flow) netip.AddrPort { return vm } }

// Open opens a flow to address through the VM at vm; see OpenVia.
func (c *Caller) Open(vm, address netip.AddrPort) (*Flow, error) {
	return c.OpenVia(through(vm), address)
}

// OpenVia opens a flow to address, with copies of the first packet after 200 and 600
// ms. It returns ErrReset, ErrVMReset or ErrNoAnswer.
func (c *Caller) OpenVia(route VMSelector, address netip.AddrPort) (*Flow, error) {
	c.next++
	ip := c.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr()
	f := &Flow{caller: c, From: netip.AddrPortFrom(ip, c.next), To: address, seq: 100}
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(route, Packet{Flags: SYN, Seq: f.seq, Ack: uint32(copies)})
		answer, err := f.receive(wait, f.seq+1)
		if errors.Is(err, ErrNoAnswer) {
			continue
		}
		if err != nil {
			return nil, err
		}
		f.seq++
		f.ack = answer.Seq + 1
		f.send(route, Packet{Flags: ACK, Seq: f.seq, Ack: f.ack})
		return f, nil
	}
	return nil, ErrNoAnswer
}

// Request sends a request through the VM at vm; see RequestVia.
func (f *Flow) Request(vm netip.AddrPort) (string, error) {
	return f.RequestVia(through(vm), "hello")
}

// RequestVia sends a request and returns the name of the target that answers. It repeats
// the packet as a caller does, and returns ErrReset, ErrVMReset or ErrNoAnswer.
func (f *Flow) RequestVia(route VMSelector, request string) (string, error) {
	data := []byte(request)
	for _, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(route, Packet{Flags: ACK, Seq: f.seq, Ack: f.ack, Data: data})
		answer, err := f.receive(wait, f.seq+uint32(len(data)))
		if errors.Is(err, ErrNoAnswer) {
			continue
		}
		if err != nil {
			return "", err
		}
		f.seq += uint32(len(data))
		f.ack = answer.Seq + uint32(len(answer.Data))
		f.send(route, Packet{Flags: ACK, Seq: f.seq, Ack: f.ack})
		return string(answer.Data), nil
	}
	return "", ErrNoAnswer
}

// Abort gives the flow up; its target forgets it.
func (f *Flow) Abort(route VMSelector) {
	f.send(route, Packet{Flags: RST, Seq: f.seq, Ack: f.ack})
}

func (f *Flow) send(route VMSelector, p Packet) {
	vm := route(f)
	if !vm.IsValid() {
		return // no VM is in rotation
	}
	p.From, p.To, p.Echo = f.From, f.To, f.echo
	// What is lost shows as a missing answer.
	_, _ = f.caller.conn.WriteToUDPAddrPort(p.Encode(), vm)
}

// receive returns the packet of the flow that acknowledges everything up to ack.
// Packets of other flows, and second answers to what was repeated, are skipped.
func (f *Flow) receive(wait time.Duration, ack uint32) (Packet, error) {
	deadline := time.Now().Add(wait)
	if err := f.caller.conn.SetReadDeadline(deadline); err != nil {
		return Packet{}, err
	}
	buf := make([]byte, maxSize)
	for {
		n, _, err := f.caller.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return Packet{}, fmt.Errorf("%w: %w", ErrNoAnswer, err)
		}
		p, err := Decode(buf[:n])
		if err != nil {
			return Packet{}, err
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
		f.echo = p.Echo
		return p, nil
	}
}
