package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is heartbeat_interval_ms of the deployment; an entry is removed after
// three intervals of silence.
const heartbeatInterval = 770 * time.Millisecond

// Retransmissions of both ends.
const (
	firstRetransmit    = 200 * time.Millisecond
	longestRetransmit  = 1600 * time.Millisecond
	maxRetransmissions = 8
)

// backend is a server of flows with its entry in the store.
type backend struct {
	id       string
	number   uint64
	service  string
	zone     string
	born     int64
	conn     *net.UDPConn
	store    *metaStore
	record   *record
	datagram uint16 // port of consumers
	slots    chan struct{}
	stop     chan struct{}

	mu        sync.Mutex
	cut       bool // the backend is cut off from all machines and from the store
	state     string
	heartbeat int
	flows     map[flowKey]*backendFlow
	runs      map[string]int // by request id
}

// flowKey is a flow by its consumer's end and its route's address.
type flowKey struct{ consumer, route netip.AddrPort }

// backendFlow is the state of a flow at its backend.
type backendFlow struct {
	open          bool
	seq           uint32 // of the next byte to send
	expected      uint32 // of the consumer's next byte
	echo          uint32
	unacked       []byte // answer that the consumer has not acknowledged
	unansweredAck int    // data packets since the last acknowledgement was sent
}

func newBackend(id, service string, address netip.AddrPort, d *deployment) (*backend, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	number, err := strconv.ParseUint(strings.TrimPrefix(id, "i-"), 16, 64)
	if err != nil {
		return nil, err
	}
	const slots = 3
	b := &backend{
		id: id, number: number, service: service, zone: zoneName, born: time.Now().UnixMilli(),
		conn: conn, store: d.store, record: d.record, datagram: d.datagramPort,
		slots: make(chan struct{}, slots), stop: make(chan struct{}), state: "ready",
		flows: map[flowKey]*backendFlow{}, runs: map[string]int{},
	}
	go b.receive()
	go b.beat()
	return b, nil
}

func (b *backend) close() {
	close(b.stop)
	b.conn.Close()
}

// entry returns the backend's entry with a number of its heartbeat.
func (b *backend) entry(seqNo int) map[string]any {
	return map[string]any{
		"service": b.service, "address": b.conn.LocalAddr().String(), "zone": b.zone,
		"version": "v1", "slots": cap(b.slots), "state": b.state, "cold_remaining_ms": 0,
		"seq_no": seqNo, "born": b.born,
	}
}

// report writes the entry, unless nothing but its seq_no differs from what lies there.
func (b *backend) report() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cut {
		return
	}
	b.heartbeat++
	entry := b.entry(b.heartbeat)
	var stored map[string]any
	_ = json.Unmarshal(b.store.get("servers/"+b.id), &stored)
	same := stored != nil
	for key, value := range entry {
		if key != "seq_no" && fmt.Sprint(toJSON(value)) != fmt.Sprint(toJSON(stored[key])) {
			same = false
		}
	}
	if same {
		return
	}
	text, _ := json.Marshal(entry)
	revision := b.store.put("servers/"+b.id, text)
	b.record.add("backend %s writes its entry, revision %d: %s", b.id, revision, text)
}

func toJSON(value any) string {
	text, _ := json.Marshal(value)
	return string(text)
}

func (b *backend) beat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for b.report(); ; b.report() {
		select {
		case <-ticker.C:
		case <-b.stop:
			return
		}
	}
}

func (b *backend) receive() {
	buf := make([]byte, bufferSize)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < prefixSize {
			continue
		}
		number := binary.BigEndian.Uint64(buf)
		if number != 0 && number != b.number {
			continue // meant for another backend
		}
		p, err := decode(buf[prefixSize:n])
		if err != nil || !p.intact() {
			b.record.breaks("backend %s gets a packet that its sender did not write so", b.id)
			continue
		}
		b.handle(p)
	}
}

func (b *backend) handle(p packet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cut {
		return
	}
	key := flowKey{consumer: p.src, route: p.dst}
	f := b.flows[key]
	switch {
	case p.has(flagSYN):
		if f == nil {
			f = &backendFlow{seq: rand.Uint32(), expected: p.seq + 1}
			b.flows[key] = f
		}
		if !f.open {
			f.echo = p.echo
			b.record.add("backend %s answers the SYN of %s with SYN+ACK (echo %08x)", b.id, p.src, f.echo)
			b.send(key, f, packet{flags: flagSYN | flagACK, seq: f.seq, ack: f.expected})
		}
		return
	case p.has(flagRST):
		delete(b.flows, key)
		return
	case f != nil && !f.open && p.ack == f.seq+1:
		f.open = true
		f.seq++
		b.record.add("flow %s opens at backend %s", p.src, b.id)
	case f == nil || !f.open:
		b.record.add("backend %s gets a packet of flow %s, which it does not hold, and sends RST", b.id, p.src)
		b.send(key, &backendFlow{echo: p.echo}, packet{flags: flagRST | flagACK, seq: p.ack, ack: p.seq + uint32(len(p.data))})
		return
	}
	f.echo = p.echo
	if f.unacked != nil && p.ack == f.seq+uint32(len(f.unacked)) {
		f.seq, f.unacked = p.ack, nil
	}
	if len(p.data) > 0 {
		b.takeData(key, f, p)
	}
}

// takeData takes the data of a request, which is one packet here, and runs it once.
func (b *backend) takeData(key flowKey, f *backendFlow, p packet) {
	f.unansweredAck++
	if p.seq == f.expected {
		f.expected += uint32(len(p.data))
		go b.run(key, f, string(p.data))
	}
	const acknowledgeEvery = 2
	if f.unansweredAck >= acknowledgeEvery {
		f.unansweredAck = 0
		b.send(key, f, packet{flags: flagACK, seq: f.seq, ack: f.expected})
	}
}

// run runs a request for as long as its header says, and answers it.
func (b *backend) run(key flowKey, f *backendFlow, request string) {
	id, work := headerOf(request, "X-Gypsumspan-Request-Id"), headerOf(request, "X-Work-Ms")
	ms, _ := strconv.Atoi(work)
	b.slots <- struct{}{}
	b.mu.Lock()
	b.runs[id]++
	b.mu.Unlock()
	b.record.add("backend %s (%s) runs request %s: %s", b.id, b.service, id, strings.SplitN(request, "\r\n", 2)[0])
	time.Sleep(time.Duration(ms) * time.Millisecond)
	<-b.slots
	body := fmt.Sprintf("%s of %s, request %s", b.id, b.service, id)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Gypsumspan-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	b.mu.Lock()
	f.unacked = []byte(answer)
	f.unansweredAck = 0
	last := f.seq + uint32(len(answer))
	b.mu.Unlock()
	b.record.add("backend %s answers request %s", b.id, id)
	wait := firstRetransmit
	for range maxRetransmissions + 1 {
		b.mu.Lock()
		if b.flows[key] != f || f.unacked == nil || f.seq+uint32(len(f.unacked)) != last {
			b.mu.Unlock()
			return
		}
		b.send(key, f, packet{flags: flagACK, seq: f.seq, ack: f.expected, data: f.unacked})
		b.mu.Unlock()
		time.Sleep(wait)
		wait = min(2*wait, longestRetransmit)
	}
}

func headerOf(request, name string) string {
	for line := range strings.SplitSeq(request, "\r\n") {
		if value, ok := strings.CutPrefix(line, name+": "); ok {
			return value
		}
	}
	return ""
}

// send sends a packet to the consumer directly. The caller holds mu.
func (b *backend) send(key flowKey, f *backendFlow, p packet) {
	if b.cut {
		return
	}
	p.src, p.dst, p.echo = key.route, key.consumer, f.echo
	to := netip.AddrPortFrom(key.consumer.Addr(), b.datagram)
	_, _ = b.conn.WriteToUDPAddrPort(p.encode(), to)
}

// setCut cuts the backend off, or heals the cut. The store removes the entry of a backend
// that is cut off after three intervals of silence.
func (b *backend) setCut(cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cut = cut
	if !cut {
		return
	}
	const intervals = 3
	time.AfterFunc(intervals*heartbeatInterval, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.cut {
			b.record.add("store: the entry of %s lapses", b.id)
			b.store.remove("servers/" + b.id)
		}
	})
}

// holds reports whether the backend has the flow open.
func (b *backend) holds(key flowKey) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[key]
	return f != nil && f.open
}

// ran returns how often the backend ran a request.
func (b *backend) ran(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}
