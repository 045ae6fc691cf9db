package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

var (
	errNoAnswer    = errors.New("no answer")
	errSystemReset = errors.New("reset by the system")
	errReset       = errors.New("reset by a backend")
)

// consumer stands in for consumers at one address.
type consumer struct {
	conn   *net.UDPConn
	ip     netip.Addr
	route  func(src, dst netip.AddrPort) netip.AddrPort // the node for a flow's next packet
	record *record
	delay  func(node netip.AddrPort) time.Duration // one way to a node; nil: none

	mu       sync.Mutex
	nextPort uint16
	flows    map[uint16]*clientFlow
	changed  int
	lossIn   float64 // share of the datagrams to it that are lost
	acks     bool    // it repeats nothing that was acknowledged, and acknowledges repeated answers
}

// clientFlow is a flow of a consumer. It has one request at a time.
type clientFlow struct {
	consumer *consumer
	src, dst netip.AddrPort
	seq, ack uint32
	backend  string // id of the backend that answered first

	mu   sync.Mutex
	echo uint32
	done uint32 // end of the last answer that was taken
	in   chan packet
}

func newConsumer(address netip.AddrPort, route func(src, dst netip.AddrPort) netip.AddrPort, r *record) (*consumer, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &consumer{conn: conn, ip: address.Addr(), route: route, record: r, nextPort: 20000, flows: make(map[uint16]*clientFlow)}
	go c.receive()
	return c, nil
}

func (c *consumer) close() { _ = c.conn.Close() }

func (c *consumer) receive() {
	buf := make([]byte, headerSize+maxData+1)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, err := decode(buf[:n])
		c.mu.Lock()
		lost := rand.Float64() < c.lossIn
		f := c.flows[p.dst.Port()]
		if err != nil {
			c.changed++
		}
		c.mu.Unlock()
		if lost || err != nil || f == nil || p.src != f.dst || p.dst != f.src {
			continue
		}
		if !p.reset {
			f.mu.Lock()
			f.echo = p.echo
			done := f.done
			f.mu.Unlock()
			if c.acks && len(p.data) > 0 && done != 0 && int32(done-p.seq) >= int32(len(p.data)) {
				f.send(packet{flags: flagACK, seq: p.ack, ack: done})
				continue
			}
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

func (f *clientFlow) send(p packet) netip.AddrPort {
	node := f.consumer.route(f.src, f.dst)
	f.mu.Lock()
	p.echo = f.echo
	f.mu.Unlock()
	p.src, p.dst = f.src, f.dst
	data := p.encode()
	if f.consumer.delay == nil {
		_, _ = f.consumer.conn.WriteToUDPAddrPort(data, node)
		return node
	}
	time.AfterFunc(f.consumer.delay(node), func() { _, _ = f.consumer.conn.WriteToUDPAddrPort(data, node) })
	return node
}

// newFlow returns a flow from a new port that has not been opened.
func (c *consumer) newFlow(dst netip.AddrPort) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextPort++
	f := &clientFlow{consumer: c, src: netip.AddrPortFrom(c.ip, c.nextPort), dst: dst, seq: 1000 + uint32(c.nextPort), in: make(chan packet, 64)}
	c.flows[c.nextPort] = f
	return f
}

func (f *clientFlow) forget() {
	f.consumer.mu.Lock()
	defer f.consumer.mu.Unlock()
	delete(f.consumer.flows, f.src.Port())
}

// open sends a SYN, with copies after 200 and 600 ms, and gives up after 1.4 s. onCopy, which may
// be nil, is called when a copy is due.
func (f *clientFlow) open(onCopy func(n int)) error {
	waits := []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}
	for n, wait := range waits {
		if n > 0 && onCopy != nil {
			onCopy(n)
		}
		f.send(packet{flags: flagSYN, seq: f.seq, ack: uint32(n)})
		p, err := f.await(wait, func(p packet) bool { return p.flags&(flagSYN|flagACK) == flagSYN|flagACK && p.ack == f.seq+1 })
		if errors.Is(err, errNoAnswer) {
			continue
		}
		if err != nil {
			f.forget()
			return err
		}
		f.seq++
		f.ack = p.seq + 1
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
		return nil
	}
	f.forget()
	return errNoAnswer
}

// request sends a request, with copies after 200 ms and doubled times, and waits for its answer.
func (f *clientFlow) request(text string, limit time.Duration) (string, error) {
	deadline := time.Now().Add(limit)
	end := f.seq + uint32(len(text))
	for wait := 200 * time.Millisecond; time.Now().Before(deadline); wait = min(2*wait, 1600*time.Millisecond) {
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack, data: []byte(text)})
		pause := min(wait, time.Until(deadline))
		isAnswer := func(p packet) bool { return len(p.data) > 0 && p.seq == f.ack && p.ack == end }
		p, err := f.await(pause, func(p packet) bool { return isAnswer(p) || f.consumer.acks && p.ack == end })
		if err == nil && !isAnswer(p) {
			p, err = f.await(time.Until(deadline), isAnswer) // the request was acknowledged
		}
		if errors.Is(err, errNoAnswer) {
			continue
		}
		if err != nil {
			return "", err
		}
		f.seq = end
		f.ack += uint32(len(p.data))
		f.mu.Lock()
		f.done = f.ack
		f.mu.Unlock()
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
		id, rest, _ := strings.Cut(string(p.data), " ")
		if rest != text {
			return id, fmt.Errorf("the answer to %q belongs to %q", text, rest)
		}
		if f.backend == "" {
			f.backend = id
		}
		return id, nil
	}
	return "", errNoAnswer
}

// await returns the next packet that fits. A reset ends the wait.
func (f *clientFlow) await(wait time.Duration, fits func(packet) bool) (packet, error) {
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	for {
		select {
		case p := <-f.in:
			switch {
			case p.reset && (f.ack == 0 || within(p.seq, f.ack)):
				return p, errSystemReset
			case p.reset:
			case p.flags&flagRST != 0:
				return p, errReset
			case fits(p):
				return p, nil
			}
		case <-timer.C:
			return packet{}, errNoAnswer
		}
	}
}

// within reports whether the sequence number of a reset is close enough to the consumer's last ack.
func within(seq, ack uint32) bool {
	const window = 76_800
	d := int64(int32(seq - ack))
	return d >= -window && d <= window
}

// abort ends a flow.
func (f *clientFlow) abort() {
	f.send(packet{flags: flagRST, seq: f.seq, ack: f.ack})
	f.forget()
}
