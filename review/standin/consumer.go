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
	errReset    = errors.New("flow was reset")
	errDeadline = errors.New("no answer before the deadline")
	errConnect  = errors.New("no SYN+ACK")
)

// resetWindow is how far a reset of the system may be from the consumer's last ack.
const resetWindow = 76_800

// consumer has one address, and flows from several ports.
type consumer struct {
	conn   *net.UDPConn
	ip     netip.Addr
	router *router
	record *record

	mu    sync.Mutex
	flows map[netip.AddrPort]*flow // by the consumer's end
	port  uint16
}

// flow is the consumer's end of a flow.
type flow struct {
	owner    *consumer
	from, to netip.AddrPort
	events   chan struct{} // gets a value when the fields below changed

	// The fields below are guarded by owner.mu.
	echo     uint32
	seq, ack uint32
	acked    uint32 // what the other end has acknowledged
	open     bool
	dataSeen int    // data packets since the last acknowledgement was sent
	answer   string // data received since the last request
	reset    string // who reset the flow
}

func newConsumer(ip netip.Addr, d *deployment) (*consumer, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, d.datagramPort)))
	if err != nil {
		return nil, err
	}
	c := &consumer{conn: conn, ip: ip, router: d.router, record: d.record, flows: map[netip.AddrPort]*flow{}, port: 40000}
	go c.receive()
	return c, nil
}

func (c *consumer) receive() {
	buf := make([]byte, bufferSize)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, err := decode(buf[:n])
		if err != nil || !p.intact() && !p.ofSystem() {
			c.record.breaks("consumer %s gets a packet that its sender did not write so", c.ip)
			continue
		}
		c.handle(from, p)
	}
}

func (c *consumer) handle(from netip.AddrPort, p packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[p.dst]
	if f == nil || f.to != p.src || f.reset != "" {
		return
	}
	if p.has(flagRST) {
		distance := int32(p.seq - f.ack)
		if f.open && (distance > resetWindow || distance < -resetWindow) {
			return
		}
		f.reset = "a backend at " + from.String()
		if p.ofSystem() {
			f.reset = "the system, from " + from.String()
		}
		c.record.add("consumer %s: flow is reset by %s", f.from, f.reset)
		f.signal()
		return
	}
	if p.echo != f.echo {
		c.record.add("consumer %s receives echo %08x from %s (was %08x)", f.from, p.echo, from, f.echo)
	}
	f.echo = p.echo // the last echo received on the flow
	if p.has(flagSYN) {
		if !f.open && p.ack == f.seq {
			f.open = true
			f.ack, f.acked = p.seq+1, p.ack
			f.signal()
		}
		return
	}
	if newer(p.ack, f.acked) {
		f.acked = p.ack
		f.signal()
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq == f.ack {
		f.ack += uint32(len(p.data))
		f.answer += string(p.data)
		f.signal()
	}
	const acknowledgeEvery = 2
	if f.dataSeen++; f.dataSeen >= acknowledgeEvery {
		f.dataSeen = 0
		f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
	}
}

func (f *flow) signal() {
	select {
	case f.events <- struct{}{}:
	default:
	}
}

// send sends a packet to the node that the router selects now. The caller holds owner.mu.
func (f *flow) send(p packet) {
	p.src, p.dst, p.echo = f.from, f.to, f.echo
	node := f.owner.router.nodeOf(flowKey{f.from, f.to})
	if node == nil {
		return
	}
	if p.has(flagSYN) || len(p.data) > 0 {
		f.owner.record.add("consumer %s sends %s to %s (echo %08x)", f.from, describe(p), node.name, p.echo)
	}
	_, _ = f.owner.conn.WriteToUDPAddrPort(p.encode(), node.at(f.owner.router.datagramPort))
}

func describe(p packet) string {
	if p.has(flagSYN) {
		return fmt.Sprintf("SYN, copy %d,", p.ack)
	}
	return fmt.Sprintf("%d bytes", len(p.data))
}

// newFlow returns a flow from a new port, which accept accepts.
func (c *consumer) newFlow(route netip.AddrPort, accept func(flowKey) bool) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		c.port++
		from := netip.AddrPortFrom(c.ip, c.port)
		if accept != nil && !accept(flowKey{from, route}) {
			continue
		}
		f := &flow{owner: c, from: from, to: route, events: make(chan struct{}, 1), seq: rand.Uint32()}
		c.flows[from] = f
		return f
	}
}

// connect opens the flow: a SYN, and copies after 200 and 600 ms, for 1.4 s.
func (f *flow) connect() error {
	first := f.seq
	f.owner.mu.Lock()
	f.seq++
	f.owner.mu.Unlock()
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.owner.mu.Lock()
		f.send(packet{flags: flagSYN, seq: first, ack: uint32(copies)})
		f.owner.mu.Unlock()
		if f.wait(wait, func() bool { return f.open || f.reset != "" }) {
			break
		}
	}
	f.owner.mu.Lock()
	defer f.owner.mu.Unlock()
	switch {
	case f.reset != "":
		return errReset
	case !f.open:
		return errConnect
	}
	f.send(packet{flags: flagACK, seq: f.seq, ack: f.ack})
	return nil
}

// wait waits until done, which is called with owner.mu held, is true. It returns false
// after d.
func (f *flow) wait(d time.Duration, done func() bool) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		f.owner.mu.Lock()
		ok := done()
		f.owner.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-f.events:
		case <-timer.C:
			return false
		}
	}
}

// request sends a request and returns the body of its answer. The data is sent again after
// 200 ms, and then after twice the time before, until it is acknowledged.
func (f *flow) request(id, line string, work, deadline time.Duration) (string, error) {
	data := fmt.Sprintf("%s HTTP/1.1\r\nX-Gypsumspan-Request-Id: %s\r\nX-Work-Ms: %d\r\nContent-Length: 0\r\n\r\n", line, id, work.Milliseconds())
	f.owner.mu.Lock()
	seq := f.seq
	f.seq += uint32(len(data))
	end := f.seq
	f.answer = ""
	f.owner.mu.Unlock()
	f.owner.record.add("consumer %s sends request %s: %s", f.from, id, line)
	last := time.Now().Add(deadline)
	for wait := firstRetransmit; time.Now().Before(last); wait = min(2*wait, longestRetransmit) {
		f.owner.mu.Lock()
		if newer(end, f.acked) && f.reset == "" {
			f.send(packet{flags: flagACK, seq: seq, ack: f.ack, data: []byte(data)})
		}
		f.owner.mu.Unlock()
		if f.wait(min(wait, time.Until(last)), func() bool { return f.reset != "" || complete(f.answer) }) {
			break
		}
	}
	f.owner.mu.Lock()
	answer, reset := f.answer, f.reset
	f.owner.mu.Unlock()
	switch {
	case complete(answer):
		body := answer[strings.Index(answer, "\r\n\r\n")+4:]
		f.owner.record.add("consumer %s gets the answer to request %s: %s", f.from, id, body)
		return body, nil
	case reset != "":
		f.owner.record.add("consumer %s: request %s has no answer, its flow was reset", f.from, id)
		return "", fmt.Errorf("%w by %s", errReset, reset)
	default:
		f.owner.record.add("consumer %s: request %s has no answer, its deadline passes", f.from, id)
		return "", errDeadline
	}
}

// complete reports whether a text is a whole HTTP answer.
func complete(answer string) bool {
	head, body, ok := strings.Cut(answer, "\r\n\r\n")
	var length int
	for line := range strings.SplitSeq(head, "\r\n") {
		if value, found := strings.CutPrefix(line, "Content-Length: "); found {
			_, _ = fmt.Sscan(value, &length)
		}
	}
	return ok && len(body) >= length
}

// wasReset returns who reset the flow, or "".
func (f *flow) wasReset() string {
	f.owner.mu.Lock()
	defer f.owner.mu.Unlock()
	return f.reset
}

func (f *flow) key() flowKey { return flowKey{f.from, f.to} }
