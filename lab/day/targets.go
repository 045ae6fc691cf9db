package day

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/kernel"
)

const (
	targetsName = "targets"
	// coldFactor is how much longer work takes at a target that has just started; it
	// falls to 1 while the target warms up.
	coldFactor = 2
	// lapseHeartbeats is the number of heartbeats after which the entry of a silent
	// target is removed.
	lapseHeartbeats = 3
	// drainTime is how long a target that leaves still serves.
	drainTime = 4 * time.Second
)

// numberOf returns the number of the target before a packet.
func numberOf(b []byte) uint64 { return binary.BigEndian.Uint64(b) }

// sender is the process of a VM that sent a packet.
type sender struct {
	vm   *vm
	boot int
}

// target is one target of a service.
type target struct {
	targets  *targets
	id       string
	number   uint64
	service  *Service
	address  netip.AddrPort
	end      end
	up       bool
	draining bool
	// leavingSince is when the store took the entry that says so, or its removal; 0:
	// it has not.
	leavingSince time.Duration
	coldTill     time.Duration
	trouble      disturbance

	life  int // number of ends of its process
	conns map[flow.Key]*conn
	busy  int
	queue []*work

	slow float64 // factor of the time of work; 0: 1
	grey grey

	worked int  // requests that were begun
	late   bool // it started after the load
	peak   int  // of requests in progress or waiting
}

// grey is how a target fails part of its requests.
type grey struct {
	rate float64
	how  string // errors, hang, reset or slow
}

// targets is the service "targets".
type targets struct {
	part
	site     *Site
	timeline *timeline
	network  *network
	store    *store
	callers  *callers
	oracle   *oracle

	ids       *rand.Rand // of targets' ids and numbers
	rng       *rand.Rand
	all       []*target
	byAddress map[netip.AddrPort]*target
}

func newTargets(site *Site) *targets {
	return &targets{part: part{targetsName}, site: site, byAddress: make(map[netip.AddrPort]*target)}
}

// Connect implements kernel.Service.
func (ts *targets) Connect(k *kernel.Kernel) error {
	if err := connect(k, &ts.timeline, &ts.network, &ts.store, &ts.callers, &ts.oracle); err != nil {
		return err
	}
	ts.ids, ts.rng = ts.timeline.stream("target ids"), ts.timeline.stream(targetsName)
	return nil
}

// start starts every target of the site, over the failure domains in turn.
func (ts *targets) start() {
	for i := range ts.site.Services {
		service := &ts.site.Services[i]
		for j := range service.Targets {
			t := ts.add(service, j%len(ts.site.Domains), netip.AddrPort{})
			t.coldTill = 0
			t.announce()
		}
	}
}

// add starts a target; without an address it gets a new one.
func (ts *targets) add(service *Service, domain int, address netip.AddrPort) *target {
	if !address.IsValid() {
		address = netip.AddrPortFrom(targetIP(len(ts.all)+1), targetPort)
	}
	t := &target{
		targets:  ts,
		id:       fmt.Sprintf("t-%08x", ts.ids.Uint32()),
		number:   ts.ids.Uint64() | 1,
		service:  service,
		address:  address,
		up:       true,
		coldTill: ts.timeline.now() + service.Cold.D(),
		conns:    make(map[flow.Key]*conn),
	}
	t.end.domain = domain
	t.late = ts.timeline.now() > loadAfter
	ts.all = append(ts.all, t)
	ts.byAddress[address] = t
	return t
}

// ofService returns the targets of a service that are up and do not leave.
func (ts *targets) ofService(name string) (list []*target) {
	for _, t := range ts.all {
		if t.up && !t.draining && t.service.Name == name {
			list = append(list, t)
		}
	}
	return list
}

// announce writes the target's entry, again and again until the store takes it.
func (t *target) announce() {
	t.targets.timeline.every(t.targets.site.Bounds.Heartbeat.D(), func() bool { return t.up && !t.tryAnnounce() })
}

func (t *target) tryAnnounce() bool {
	state := catalog.Ready
	if t.draining {
		state = catalog.Draining
	}
	address, _ := flow.EndpointOf(t.address)
	now := t.targets.timeline.now()
	ok := t.reachesStore() && t.targets.store.put(catalog.Change{Target: &catalog.Entry{
		ID:      t.id,
		Number:  t.number,
		Service: t.service.Name,
		Address: address,
		Domain:  t.targets.site.Domains[t.end.domain],
		Slots:   t.service.Slots,
		State:   state,
		Cold:    max(t.coldTill-now, 0),
	}})
	if ok && t.draining {
		t.leavingSince = now
	}
	return ok
}

func (t *target) reachesStore() bool {
	return t.targets.network.reaches(&t.end, &t.targets.store.end)
}

// remove removes the target's entry, until the store does it.
func (t *target) remove() {
	t.targets.timeline.every(t.targets.site.Bounds.Heartbeat.D(), func() bool {
		if !t.targets.store.put(catalog.Change{RemovedTarget: t.id}) {
			return true
		}
		if t.leavingSince == 0 {
			t.leavingSince = t.targets.timeline.now()
		}
		return false
	})
}

// drain lets the target leave as planned.
func (t *target) drain() {
	if !t.up || t.draining {
		return
	}
	t.draining = true
	t.announce()
	t.targets.timeline.every(t.targets.site.Bounds.Heartbeat.D(), func() bool {
		if t.leavingSince == 0 {
			return true
		}
		t.targets.timeline.after(drainTime, func() {
			t.halt()
			t.remove()
		})
		return false
	})
}

// crash ends the target without a word; its entry lapses.
func (t *target) crash() {
	if !t.up {
		return
	}
	t.halt()
	t.trouble.begin()
	t.targets.timeline.after(lapseHeartbeats*t.targets.site.Bounds.Heartbeat.D(), t.remove)
}

// halt ends the target's process.
func (t *target) halt() {
	t.up = false
	t.life++
	t.busy = 0
	t.conns = make(map[flow.Key]*conn)
	t.queue = nil
}

// restart starts the target's process again, under the same id.
func (t *target) restart() {
	if t.up || t.draining {
		return
	}
	t.up = true
	t.coldTill = t.targets.timeline.now() + t.service.Cold.D()
}

// receive takes a packet that a VM has sent.
func (ts *targets) receive(t *target, p flow.Packet, number uint64, from sender) {
	if !t.up || number != t.number {
		return
	}
	ts.oracle.packetAt(t, p)
	c := t.conns[p.Flow]
	switch {
	case p.Flags.Has(flow.SYN):
		t.open(p, c, from)
	case p.Flags.Has(flow.RST):
		delete(t.conns, p.Flow)
	case c == nil:
		t.send(p.Flow, answer{flags: flow.RST, cookie: p.Cookie})
	default:
		c.receive(p)
	}
}

// open answers the first packet of a flow, or a copy of it.
func (t *target) open(p flow.Packet, c *conn, from sender) {
	ts := t.targets
	if c == nil {
		if len(t.conns) >= t.service.MaxConnections {
			return
		}
		ts.oracle.opened(t, p, from)
		c = &conn{target: t, key: p.Flow, expect: p.Seq + 1}
		c.seq = ts.rng.Uint32()
		c.acked, c.next, c.end = c.seq+1, c.seq+1, c.seq+1
		t.conns[p.Flow] = c
	}
	c.cookie = p.Cookie
	t.send(p.Flow, answer{flags: flow.SYN | flow.ACK, seq: c.seq, ack: c.expect, cookie: c.cookie})
}

// answer is a packet of a target to a caller.
type answer struct {
	flags    flow.Flags
	seq, ack uint32
	n        int // bytes of data
	cookie   flow.Cookie
	outcome  outcome // of the request whose answer this is a part of
}

func (t *target) send(k flow.Key, a answer) {
	t.targets.network.send(&t.end, pathOf(k), func() { t.targets.callers.receive(t, k, a) })
}

// work is a request at a target.
type work struct {
	conn    *conn
	request *request
}

// begin takes a request in: it is worked on, waits, or is shed.
func (t *target) begin(w *work) {
	switch {
	case t.busy < t.service.Slots:
		t.run(w)
	case len(t.queue) < t.service.MaxQueue:
		t.queue = append(t.queue, w)
	default:
		w.conn.respond(shedBytes, shed)
	}
	t.peak = max(t.peak, t.busy+len(t.queue))
}

// shedBytes is the size of the answer to a request that is shed or fails.
const shedBytes = 200

// run works on a request.
func (t *target) run(w *work) {
	tl := t.targets.timeline
	t.targets.oracle.executed(t, w.request)
	t.busy++
	t.worked++
	failing := t.grey.rate > 0 && t.targets.rng.Float64() < t.grey.rate
	duration := t.duration(w.request.kind, failing)
	life := t.life
	tl.after(duration, func() {
		if life != t.life {
			return // the process has ended meanwhile
		}
		t.busy--
		t.finish(w, failing)
		t.beginWaiting()
	})
}

// duration returns the time of one request.
func (t *target) duration(k *Kind, failing bool) time.Duration {
	d := uniform(t.targets.rng, k.ServiceTime.D()*6/10, k.ServiceTime.D()*14/10)
	if cold := t.coldTill - t.targets.timeline.now(); cold > 0 {
		part := float64(cold) / float64(t.service.Cold)
		d = time.Duration(float64(d) * (1 + (coldFactor-1)*part))
	}
	if t.slow > 0 {
		d = time.Duration(float64(d) * t.slow)
	}
	if failing && t.grey.how == greySlow {
		const factor = 8
		d *= factor
	}
	return d
}

// finish answers a request.
func (t *target) finish(w *work, failing bool) {
	if t.conns[w.conn.key] != w.conn {
		return
	}
	switch {
	case failing && t.grey.how == greyErrors:
		w.conn.respond(shedBytes, failed)
	case failing && t.grey.how == greyHang:
	case failing && t.grey.how == greyReset:
		delete(t.conns, w.conn.key)
		t.send(w.conn.key, answer{flags: flow.RST, cookie: w.conn.cookie})
	default:
		w.conn.respond(w.request.kind.AnswerBytes, served)
	}
}

// beginWaiting begins the next request whose caller is still there.
func (t *target) beginWaiting() {
	for len(t.queue) > 0 && t.busy < t.service.Slots {
		w := t.queue[0]
		t.queue = t.queue[1:]
		if t.conns[w.conn.key] == w.conn {
			t.run(w)
		}
	}
}
