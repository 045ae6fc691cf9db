package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Times of retransmissions, as PROTOCOL.md states them.
const (
	firstRetransmission = 200 * time.Millisecond
	longestInterval     = 1600 * time.Millisecond
	backendTries        = 8
)

// entry is what a backend writes to the store.
type entry struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Cold    int    `json:"cold_remaining_ms"`
	Seq     int    `json:"seq_no"`
	Born    int64  `json:"born"`
}

// backend is one server of flows.
type backend struct {
	id      string
	number  uint64
	service string
	zone    string
	rec     *record
	store   *store
	conn    *net.UDPConn
	port    uint16 // of consumers
	work    time.Duration
	coldFor time.Duration

	// lose reports whether a datagram to a consumer is lost on its way.
	lose func(b *backend, p packet) bool

	mu       sync.Mutex
	state    string
	born     time.Time
	seq      int
	flows    map[netip.AddrPort]*served
	up       bool
	silent   bool // writes nothing to the store
	runs     map[string]int
	opened   []opening
	misfits  int // packets that their senders didn't write so
	lastSent string
}

// opening is the opening packet of a flow that the backend took.
type opening struct {
	flow   netip.AddrPort
	at     time.Time
	opened bool
}

// served is a flow at a backend.
type served struct {
	consumer, route netip.AddrPort
	echo            uint32
	sndNext         uint32 // next sequence number to send
	rcvNext         uint32
	open            bool
	acked           uint32
	ended           bool
}

func newBackend(f *fleet, id, service, zone, ip string) (*backend, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip)})
	if err != nil {
		return nil, err
	}
	var number uint64
	if _, err := fmt.Sscanf(id, "i-%x", &number); err != nil {
		return nil, err
	}
	b := &backend{
		id: id, number: number, service: service, zone: zone, rec: f.rec, store: f.store, conn: conn, port: f.port,
		work: 20 * time.Millisecond, state: "ready", born: time.Now(), up: true,
		flows: make(map[netip.AddrPort]*served), runs: make(map[string]int),
	}
	go b.receive()
	return b, nil
}

func (b *backend) address() netip.AddrPort { return b.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// report writes the entry if more than its number has changed, as at each heartbeat.
func (b *backend) report() {
	b.mu.Lock()
	if !b.up || b.silent {
		b.mu.Unlock()
		return
	}
	b.seq++
	cold := max(0, int((b.coldFor - time.Since(b.born)).Milliseconds()))
	e := entry{
		Service: b.service, Address: b.address().String(), Zone: b.zone, Version: "v1", Slots: 3,
		State: b.state, Cold: cold, Seq: b.seq, Born: b.born.UnixMilli(),
	}
	b.mu.Unlock()
	content := e
	content.Seq = 0
	text := fmt.Sprint(content)
	b.mu.Lock()
	changed := text != b.lastSent
	b.lastSent = text
	b.mu.Unlock()
	_, stored := b.store.get("servers/" + b.id)
	if changed || !stored {
		b.store.put("servers/"+b.id, e)
	}
}

// heartbeats writes the entry in intervals until stop is closed.
func (b *backend) heartbeats(stop <-chan struct{}) {
	const interval = 770 * time.Millisecond
	for {
		b.report()
		select {
		case <-time.After(interval):
		case <-stop:
			return
		}
	}
}

// drain reports that the backend leaves.
func (b *backend) drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.report()
}

// crash ends the process of the backend: it knows nothing of its flows any more.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.up = false
	b.flows = make(map[netip.AddrPort]*served)
}

// restart starts the process again under the same id.
func (b *backend) restart() {
	b.mu.Lock()
	b.up, b.born, b.seq, b.state, b.lastSent = true, time.Now(), 0, "ready", ""
	b.mu.Unlock()
	b.report()
}

func (b *backend) receive() {
	buf := make([]byte, 8+headSize+maxData+1)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if number := binary.BigEndian.Uint64(buf); number != b.number && number != 0 {
			continue
		}
		p, ok := decode(buf[8:n])
		b.mu.Lock()
		switch {
		case !b.up:
		case !ok || p.systemReset():
			b.misfits++
		default:
			b.handle(p)
		}
		b.mu.Unlock()
	}
}

// handle handles a packet of a consumer. It needs b.mu.
func (b *backend) handle(p packet) {
	f := b.flows[p.src]
	switch {
	case p.flags&flagSYN != 0:
		if f == nil {
			f = &served{consumer: p.src, route: p.dst, echo: p.echo, sndNext: rand.Uint32(), rcvNext: p.seq + 1}
			b.flows[p.src] = f
			b.opened = append(b.opened, opening{flow: p.src, at: time.Now()})
			f.sndNext++
			go b.repeat(f, packet{flags: flagSYN | flagACK, seq: f.sndNext - 1, ack: f.rcvNext}, f.sndNext)
			return
		}
		if !f.open {
			f.echo = p.echo
			b.send(f, packet{flags: flagSYN | flagACK, seq: f.sndNext - 1, ack: f.rcvNext})
		}
		return
	case f == nil || !f.open && p.ack != f.sndNext:
		// It holds no such flow: the one whose handshake has not ended isn't open here.
		if p.flags&flagRST == 0 {
			b.rec.log("backend %s holds no flow %s>%s (flags %d seq %d ack %d echo %08x): it sends a reset", b.id, p.src, p.dst, p.flags, p.seq, p.ack, p.echo)
			b.send(&served{consumer: p.src, route: p.dst, echo: p.echo}, packet{flags: flagRST, seq: p.ack, ack: p.seq + uint32(len(p.data))})
		}
		return
	}
	f.echo = p.echo
	if !f.open {
		f.open = true
		b.rec.log("flow %s>%s is open at backend %s", p.src, p.dst, b.id)
	}
	if int32(p.ack-f.acked) > 0 || f.acked == 0 {
		f.acked = p.ack
	}
	if p.flags&flagRST != 0 {
		delete(b.flows, p.src)
		return
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq != f.rcvNext {
		b.send(f, packet{flags: flagACK, seq: f.sndNext, ack: f.rcvNext})
		return
	}
	f.rcvNext += uint32(len(p.data))
	id := requestID(p.data)
	b.runs[id]++
	b.rec.log("backend %s runs request %s of flow %s", b.id, id, p.src)
	go func() {
		time.Sleep(b.work)
		b.mu.Lock()
		body := answerTo(id, b.id)
		first := f.sndNext
		f.sndNext += uint32(len(body))
		after := f.sndNext
		b.mu.Unlock()
		b.repeat(f, packet{flags: flagACK, seq: first, data: body}, after)
	}()
}

// repeat sends a packet until it is acknowledged up to after, or backendTries times more.
func (b *backend) repeat(f *served, p packet, after uint32) {
	interval := firstRetransmission
	for try := range backendTries + 1 {
		b.mu.Lock()
		if b.flows[f.consumer] != f || f.open && f.acked != 0 && int32(f.acked-after) >= 0 {
			b.mu.Unlock()
			return
		}
		p.ack = f.rcvNext
		if try > 0 && p.flags&flagSYN != 0 {
			b.rec.log("backend %s repeats its SYN+ACK on %s (%d)", b.id, f.consumer, try)
		}
		b.send(f, p)
		b.mu.Unlock()
		time.Sleep(interval)
		interval = min(2*interval, longestInterval)
	}
}

// send sends a packet to the consumer of a flow. It needs b.mu.
func (b *backend) send(f *served, p packet) {
	p.src, p.dst, p.echo = f.route, f.consumer, f.echo
	if b.lose != nil && b.lose(b, p) {
		b.rec.log("a datagram of backend %s to %s is lost (flags %d)", b.id, f.consumer, p.flags)
		return
	}
	_, _ = b.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(f.consumer.Addr(), b.port))
}

// holds reports whether the flow is open at the backend.
func (b *backend) holds(flow netip.AddrPort) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[flow]
	return b.up && f != nil && f.open
}
