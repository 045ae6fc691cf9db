package flowends

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// answerRepeats is how often a target repeats its answer to a SYN, first after firstRepeat and
	// then after doubled times up to maxRepeat.
	answerRepeats = 8
	firstRepeat   = 200 * time.Millisecond
	maxRepeat     = 1600 * time.Millisecond
)

// targetFlow is the state of a flow at a target.
type targetFlow struct {
	nextSeq uint32 // sequence number of the caller's next byte
	echo    uint32 // last cookie of the flow
	open    bool   // the caller has acknowledged the answer to its SYN
}

// Target is the server of flows. It accepts every flow and answers each request with its own
// name. It answers a retransmitted request again but does not execute it again. It repeats its answer
// to a SYN until the caller acknowledges it.
type Target struct {
	Name   string
	Number uint64 // identifies the target in the prefix of datagrams; 0 there means any target

	conn       *net.UDPConn
	callerPort uint16 // destination port of answers
	done       chan struct{}

	mu          sync.Mutex
	flows       map[netip.AddrPort]*targetFlow
	down        bool
	closed      bool
	lossRate    float64     // probability that an answer to a SYN is lost
	openings    []time.Time // of new flows
	opened      int
	corrupted   int
	misdirected int
	executions  map[string]int // executions by the data of the request
}

// NewTarget starts a target that listens on addr and sends answers to callerPort.
func NewTarget(name string, number uint64, addr netip.AddrPort, callerPort uint16) (*Target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("target %s: %w", name, err)
	}
	t := &Target{Name: name, Number: number, conn: conn, callerPort: callerPort, done: make(chan struct{}), flows: make(map[netip.AddrPort]*targetFlow), executions: make(map[string]int)}
	go t.receiveLoop()
	return t, nil
}

// Address returns the address on which the target listens.
func (t *Target) Address() netip.AddrPort {
	return t.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Stats returns the number of flows opened, of corrupted datagrams, and of datagrams sent to
// this target but meant for another one.
func (t *Target) Stats() (opened, corrupted, misdirected int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opened, t.corrupted, t.misdirected
}

// Executions returns the number of executions of each request, by the request's data.
func (t *Target) Executions() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.executions)
}

// HasFlow reports whether the flow from a caller's address is open at the target.
func (t *Target) HasFlow(from netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[from]
	return f != nil && f.open
}

// LoseAnswers sets the probability that an answer to a SYN is lost.
func (t *Target) LoseAnswers(rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lossRate = rate
}

// SetDown ends the target's process, which loses its flows, or starts it again.
func (t *Target) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
	clear(t.flows)
	t.openings = nil
}

// Openings returns the times at which the target has taken new flows since it started.
func (t *Target) Openings() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.openings)
}

// InitialSeq returns the sequence number of the target's answers to SYNs, which differs between
// targets.
func (t *Target) InitialSeq() uint32 { return uint32(xxhash.Sum64String(t.Name)) }

// Close stops the target without resetting its flows.
func (t *Target) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.conn.Close()
	<-t.done
}

func (t *Target) receiveLoop() {
	defer close(t.done)
	buf := make([]byte, prefixSize+maxPacketSize)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n >= prefixSize {
			t.handleDatagram(binary.BigEndian.Uint64(buf), buf[prefixSize:n])
		}
	}
}

func (t *Target) handleDatagram(number uint64, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if number != t.Number && number != 0 {
		t.misdirected++
		return
	}
	p, err := Decode(data)
	if err != nil {
		t.corrupted++
		return
	}
	if t.down {
		return
	}
	answer := Packet{Echo: p.Echo, From: p.To, To: p.From, Seq: t.InitialSeq(), Ack: p.Seq + uint32(len(p.Data))}
	f := t.flows[p.From]
	if f != nil {
		f.echo = p.Echo
	}
	switch {
	case p.Flags&SYN != 0:
		if f == nil {
			t.opened++
			t.openings = append(t.openings, time.Now())
			f = &targetFlow{nextSeq: p.Seq + 1, echo: p.Echo}
			t.flows[p.From] = f
			t.repeatAnswer(p, f, 0, firstRepeat)
		}
		t.answerSYN(p, f)
		return
	case p.Flags&RST != 0:
		delete(t.flows, p.From)
		return
	case f == nil || !f.open && p.Ack != t.InitialSeq()+1:
		answer.Flags = RST
	case len(p.Data) > 0:
		f.open = true
		if p.Seq == f.nextSeq {
			f.nextSeq += uint32(len(p.Data))
			t.executions[string(p.Data)]++
		}
		answer.Flags = ACK
		answer.Seq = p.Ack
		answer.Data = []byte(t.Name)
	default:
		f.open = true
		return
	}
	t.send(answer)
}

// answerSYN answers the SYN of a flow, unless the answer is lost. It needs t.mu.
func (t *Target) answerSYN(syn Packet, f *targetFlow) {
	if t.lossRate > 0 && rand.Float64() < t.lossRate {
		return
	}
	t.send(Packet{Echo: f.echo, From: syn.To, To: syn.From, Flags: SYN | ACK, Seq: t.InitialSeq(), Ack: syn.Seq + 1})
}

// repeatAnswer repeats the answer to a SYN after a time, unless the flow is open or gone by then.
func (t *Target) repeatAnswer(syn Packet, f *targetFlow, repeats int, after time.Duration) {
	syn.Data = nil
	time.AfterFunc(after, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if f.open || t.flows[syn.From] != f || t.closed {
			return
		}
		if repeats == answerRepeats {
			delete(t.flows, syn.From)
			return
		}
		t.answerSYN(syn, f)
		t.repeatAnswer(syn, f, repeats+1, min(2*after, maxRepeat))
	})
}

// send sends a packet to its caller. A send error appears to the caller as a missing answer.
func (t *Target) send(p Packet) {
	to := netip.AddrPortFrom(p.To.Addr(), t.callerPort)
	_, _ = t.conn.WriteToUDPAddrPort(p.Encode(), to)
}
