package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

const (
	beatInterval = 770 * time.Millisecond
	workTime     = 5 * time.Millisecond
)

// synRepeats are the times after which a backend repeats an unanswered SYN+ACK: doubled up to
// 1.6 s, 8 times; then it gives up.
var synRepeats = []time.Duration{200, 400, 800, 1600, 1600, 1600, 1600, 1600, 1600}

// serverFlow is a flow at a backend.
type serverFlow struct {
	synAt  time.Time // arrival of the opening packet
	echo   uint32
	seq    uint32 // own next byte
	next   uint32 // the consumer's next byte
	open   bool
	served bool    // its first request has run
	answer *packet // last answer
	acked  uint32  // the consumer's highest acknowledgement
}

// backend stands in for a backend. Its requests and answers have one packet each.
type backend struct {
	id, service, zone string
	number            uint64
	address           netip.AddrPort
	consumerPort      uint16
	store             *store
	record            *record
	conn              *net.UDPConn
	stop              chan struct{}
	done              sync.WaitGroup

	mu        sync.Mutex
	flows     map[netip.AddrPort]*serverFlow
	state     string
	born      time.Time
	coldFor   time.Duration // cold time after the start; 0: it is warm from the start
	beats     int
	taken     []time.Time   // arrivals of the opening packets of flows whose first request has run
	loseFirst float64       // share of the flows whose first SYN+ACK is lost on its way
	repeats   bool          // it repeats answers that are not acknowledged
	delay     time.Duration // one way to consumers
	lose      int           // number of SYNs that are lost on their way to the backend
	runs      map[string]int
	opened    int
	foreign   int // datagrams meant for another backend
	changed   int // packets that are not as their sender wrote them
	lastEntry string
}

func startBackend(b *backend) (*backend, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(b.address))
	if err != nil {
		return nil, err
	}
	number, err := strconv.ParseUint(b.id[2:], 16, 64)
	if err != nil {
		return nil, err
	}
	b.conn, b.number, b.stop, b.state, b.born = conn, number, make(chan struct{}), "ready", time.Now()
	b.flows, b.runs = make(map[netip.AddrPort]*serverFlow), make(map[string]int)
	b.beat(true)
	b.done.Add(2)
	go b.receive()
	go b.keepBeating()
	b.record.logf("backend %s of %s in %s starts at %s, cold for %s", b.id, b.service, b.zone, b.address, b.coldFor)
	return b, nil
}

func (b *backend) key() string { return "servers/" + b.id }

// beat writes the entry if more than its number of reports has changed, or if asked to.
func (b *backend) beat(force bool) {
	b.mu.Lock()
	b.beats++
	cold := max(b.coldFor-time.Since(b.born), 0).Milliseconds()
	entry := map[string]any{
		"service": b.service, "address": b.address.String(), "zone": b.zone, "version": "v1", "slots": 3,
		"state": b.state, "cold_remaining_ms": cold, "seq_no": b.beats, "born": b.born.UnixMilli(),
	}
	value, _ := json.Marshal(entry)
	same := fmt.Sprint(b.state, cold)
	write := force || same != b.lastEntry
	isDown := b.store.isDown()
	if !isDown {
		b.lastEntry = same
	} else {
		b.lastEntry = "" // the next report has to write it
	}
	b.mu.Unlock()
	if write && !isDown {
		b.store.write(map[string][]byte{b.key(): value})
	}
}

func (b *backend) keepBeating() {
	defer b.done.Done()
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			b.beat(false)
		case <-b.stop:
			return
		}
	}
}

// setState writes a new state at once and returns when the store has it.
func (b *backend) setState(state string) {
	b.mu.Lock()
	b.state = state
	b.mu.Unlock()
	b.beat(true)
	b.record.logf("backend %s is %s; the store has acknowledged it", b.id, state)
}

// end ends the process without a word to anybody.
func (b *backend) end() {
	close(b.stop)
	_ = b.conn.Close()
	b.done.Wait()
	b.record.logf("backend %s ends", b.id)
}

func (b *backend) removeEntry() { b.store.write(nil, b.key()) }

// loseSYNs has the next n SYNs lost on their way.
func (b *backend) loseSYNs(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lose = n
}

func (b *backend) receive() {
	defer b.done.Done()
	buf := make([]byte, prefixSize+headerSize+maxData+1)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n >= prefixSize {
			b.handle(binary.BigEndian.Uint64(buf), buf[prefixSize:n])
		}
	}
}

func (b *backend) handle(number uint64, datagram []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if number != 0 && number != b.number {
		b.foreign++
		return
	}
	p, err := decode(datagram)
	if err != nil {
		b.changed++
		b.record.logf("backend %s: %v", b.id, err)
		return
	}
	f := b.flows[p.src]
	if f != nil {
		f.echo = p.echo
	}
	switch {
	case p.flags&flagSYN != 0:
		b.handleSYN(p, f)
	case f != nil && !f.open && p.ack != f.seq:
		// The consumer has acknowledged the answer of another backend.
	case f == nil:
		b.send(&packet{echo: p.echo, src: p.dst, dst: p.src, flags: flagRST, seq: p.ack, ack: p.seq})
	case p.flags&flagRST != 0:
		delete(b.flows, p.src)
	default:
		if !f.open {
			f.open = true
			f.acked = p.ack
			b.opened++
		}
		if int32(p.ack-f.acked) > 0 {
			f.acked = p.ack
		}
		if len(p.data) > 0 {
			b.handleData(p, f)
		}
	}
}

func (b *backend) handleSYN(p packet, f *serverFlow) {
	if b.lose > 0 {
		b.lose--
		b.record.logf("a SYN of %s to backend %s is lost", p.src, b.id)
		return
	}
	if f == nil {
		f = &serverFlow{synAt: time.Now(), echo: p.echo, seq: uint32(b.number)*2654435761 + uint32(len(b.flows)) + 1, next: p.seq + 1}
		b.flows[p.src] = f
		b.repeatAnswer(p, f, 0)
		if rand.Float64() < b.loseFirst {
			b.record.logf("the first SYN+ACK of %s to %s is lost", b.id, p.src)
			return
		}
	}
	b.answerSYN(p, f)
}

func (b *backend) answerSYN(p packet, f *serverFlow) {
	b.send(&packet{echo: f.echo, src: p.dst, dst: p.src, flags: flagSYN | flagACK, seq: f.seq - 1, ack: f.next})
}

func (b *backend) repeatAnswer(p packet, f *serverFlow, n int) {
	time.AfterFunc(synRepeats[n]*time.Millisecond, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		select {
		case <-b.stop:
			return
		default:
		}
		if f.open || b.flows[p.src] != f {
			return
		}
		if n == len(synRepeats)-1 {
			delete(b.flows, p.src) // it gives up
			return
		}
		b.answerSYN(p, f)
		b.repeatAnswer(p, f, n+1)
	})
}

// handleData runs a new request, and repeats the answer to the last one.
func (b *backend) handleData(p packet, f *serverFlow) {
	if p.seq != f.next {
		if f.answer != nil && p.seq+uint32(len(p.data)) == f.next {
			f.answer.echo = f.echo
			b.send(f.answer)
		}
		return
	}
	f.next += uint32(len(p.data))
	request := string(p.data)
	b.runs[request]++
	if !f.served {
		f.served = true
		b.taken = append(b.taken, f.synAt)
	}
	b.send(&packet{echo: f.echo, src: p.dst, dst: p.src, flags: flagACK, seq: f.seq, ack: f.next})
	f.answer = nil
	time.AfterFunc(workTime, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.flows[p.src] != f {
			return
		}
		data := []byte(b.id + " " + request)
		f.answer = &packet{echo: f.echo, src: p.dst, dst: p.src, flags: flagACK, seq: f.seq, ack: f.next, data: data}
		f.seq += uint32(len(data))
		b.send(f.answer)
		if b.repeats {
			b.repeatData(f, f.answer, f.seq, 0)
		}
	})
}

// repeatData repeats an answer until the consumer has acknowledged it.
func (b *backend) repeatData(f *serverFlow, answer *packet, end uint32, n int) {
	const repeats = 8
	if n == repeats {
		return
	}
	time.AfterFunc(synRepeats[n]*time.Millisecond, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if int32(f.acked-end) >= 0 || b.flows[answer.dst] != f {
			return
		}
		answer.echo = f.echo
		b.send(answer)
		b.repeatData(f, answer, end, n+1)
	})
}

// send sends a packet to its consumer directly.
func (b *backend) send(p *packet) {
	to := netip.AddrPortFrom(p.dst.Addr(), b.consumerPort)
	data := p.encode()
	if b.delay == 0 {
		_, _ = b.conn.WriteToUDPAddrPort(data, to)
		return
	}
	time.AfterFunc(b.delay, func() { _, _ = b.conn.WriteToUDPAddrPort(data, to) })
}

// has reports whether the flow of a consumer is open at this backend.
func (b *backend) has(consumer netip.AddrPort) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flows[consumer]
	return f != nil && f.open
}
