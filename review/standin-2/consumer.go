package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

func requestText(id, method string, size int) []byte {
	body := strings.Repeat("x", size)
	return fmt.Appendf(nil, "%s / HTTP/1.1\r\nHost: review\r\nX-Gypsumspan-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", method, id, size, body)
}

func requestID(data []byte) string {
	_, rest, _ := strings.Cut(string(data), "X-Gypsumspan-Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

func answerTo(id, backend string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Gypsumspan-Response-Seal: %s\r\nX-Backend: %s\r\nContent-Length: 0\r\n\r\n", id, backend)
}

// consumer is one consumer machine.
type consumer struct {
	ip     netip.Addr
	zone   string
	router *router
	rec    *record
	conn   *net.UDPConn

	mu       sync.Mutex
	flows    map[uint16]*flow
	nextPort uint16
}

// flow is a consumer's end of a flow.
type flow struct {
	c        *consumer
	local    netip.AddrPort
	route    netip.AddrPort
	echo     uint32
	seq      uint32 // next to send
	rcvNext  uint32
	acked    uint32 // up to which the backend has the data
	peerSeq  uint32 // that of the SYN+ACK that was taken
	openAt   time.Time
	packets  chan packet // while it waits
	reset    string      // who has reset it
	lastVM   string
	resetAt  time.Time
	bySystem bool
}

func newConsumer(f *fleet, ip, zone string) (*consumer, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: int(f.port)})
	if err != nil {
		return nil, err
	}
	c := &consumer{
		ip: netip.MustParseAddr(ip), zone: zone, router: f.router, rec: f.rec, conn: conn,
		flows: make(map[uint16]*flow), nextPort: uint16(20000 + rand.IntN(10000)),
	}
	go c.receive()
	return c, nil
}

func (c *consumer) receive() {
	buf := make([]byte, headSize+maxData+1)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok {
			c.rec.log("consumer %s gets a packet that its sender didn't write so", c.ip)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		if f != nil && p.src == f.route {
			f.take(p)
		}
		c.mu.Unlock()
	}
}

// take handles a packet. It needs c.mu.
func (f *flow) take(p packet) {
	const resetWindow = 76800
	switch {
	case f.reset != "":
	case p.flags&flagRST != 0:
		distance := int32(p.seq - f.rcvNext)
		if !f.openAt.IsZero() && (distance > resetWindow || distance < -resetWindow) {
			return
		}
		f.bySystem = p.systemReset()
		f.reset = "a backend"
		if f.bySystem {
			f.reset = "the system"
		}
		f.resetAt = time.Now()
		f.c.rec.log("flow %s is reset by %s; its last packet went to %s", f.local, f.reset, f.lastVM)
		close(f.packets)
	case p.flags&flagSYN != 0:
		if f.openAt.IsZero() {
			f.openAt, f.peerSeq, f.rcvNext, f.echo = time.Now(), p.seq, p.seq+1, p.echo
			f.seq++
			f.acked = f.seq
			f.c.rec.log("flow %s gets a SYN+ACK (seq %d, echo %08x) and is open", f.local, p.seq, p.echo)
			f.send(packet{flags: flagACK})
			f.packets <- p
			return
		}
		if p.echo != f.echo {
			f.c.rec.log("flow %s gets a further SYN+ACK (seq %d): its echo is %08x now, was %08x", f.local, p.seq, p.echo, f.echo)
		}
		f.echo = p.echo
	default:
		f.echo = p.echo
		if int32(p.ack-f.acked) > 0 {
			f.acked = p.ack
		}
		if len(p.data) > 0 && p.seq == f.rcvNext {
			f.rcvNext += uint32(len(p.data))
			f.send(packet{flags: flagACK})
			select {
			case f.packets <- p:
			default:
			}
		} else if len(p.data) > 0 {
			f.send(packet{flags: flagACK})
		}
	}
}

// send sends a packet through the node that the routers select. It needs c.mu.
func (f *flow) send(p packet) {
	p.src, p.dst, p.echo = f.local, f.route, f.echo
	if p.flags&flagSYN == 0 {
		p.seq, p.ack = f.seq, f.rcvNext
	}
	node := f.c.router.node(f.c.zone, f.local, f.route)
	if node == nil {
		return
	}
	f.lastVM = node.name
	_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), node.packets)
}

// open opens a flow.
func (c *consumer) open(route netip.AddrPort) (*flow, error) {
	c.mu.Lock()
	c.nextPort++
	f := &flow{c: c, local: netip.AddrPortFrom(c.ip, c.nextPort), route: route, seq: rand.Uint32(), packets: make(chan packet, 8)}
	c.flows[c.nextPort] = f
	c.mu.Unlock()
	for try, wait := range []time.Duration{200, 400, 800} {
		c.mu.Lock()
		if f.openAt.IsZero() && f.reset == "" {
			f.send(packet{flags: flagSYN, seq: f.seq, ack: uint32(try)})
		}
		c.mu.Unlock()
		select {
		case _, ok := <-f.packets:
			if !ok {
				return f, fmt.Errorf("flow %s: refused by %s", f.local, f.reset)
			}
			return f, nil
		case <-time.After(wait * time.Millisecond):
		}
	}
	c.close(f)
	return f, fmt.Errorf("flow %s: no SYN+ACK", f.local)
}

func (c *consumer) close(f *flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f.local.Port())
}

// abort ends a flow as a consumer does that gives up.
func (c *consumer) abort(f *flow) {
	c.mu.Lock()
	if f.reset == "" {
		f.send(packet{flags: flagRST})
	}
	c.mu.Unlock()
	c.close(f)
}

// request sends a request on the flow and returns the answer.
func (f *flow) request(id, method string, size int, limit time.Duration) (string, error) {
	data := requestText(id, method, size)
	deadline := time.After(limit)
	interval := firstRetransmission
	f.c.rec.log("flow %s sends request %s (echo %08x)", f.local, id, f.echo)
	for {
		f.c.mu.Lock()
		if f.reset != "" {
			f.c.mu.Unlock()
			return "", fmt.Errorf("flow %s: reset by %s", f.local, f.reset)
		}
		if int32(f.acked-f.seq) <= 0 { // missing packets are sent again, no others
			f.send(packet{flags: flagACK, data: data})
		}
		f.c.mu.Unlock()
		select {
		case p, ok := <-f.packets:
			if !ok {
				return "", fmt.Errorf("flow %s: reset by %s", f.local, f.reset)
			}
			f.c.mu.Lock()
			f.seq += uint32(len(data))
			f.send(packet{flags: flagACK})
			f.c.mu.Unlock()
			return string(p.data), nil
		case <-time.After(interval):
			interval = min(2*interval, longestInterval)
		case <-deadline:
			return "", fmt.Errorf("flow %s: no answer to %s", f.local, id)
		}
	}
}
