package peers

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
)

const (
	// batchSize is the number of messages sent in one step.
	batchSize = 32
	// minBackoff is the back-off after the first failure; it doubles with each.
	minBackoff = 500 * time.Millisecond
	// maxBackoff bounds the time in which a healed peer is not tried. It is
	// close to the 3 s after which a VM is declared dead.
	maxBackoff = 4 * time.Second
	// retryCost is the time between two attempts to reach failed peers, as a
	// multiple of what the last attempt took. Failed peers then hold up a duty
	// for at most a quarter of the time.
	retryCost = 3
)

// sender is one sending duty with its peers.
type sender struct {
	service *Service
	name    string
	gate    *kernel.Gate
	ring    *kernel.Ring[message.Message]
	peers   map[netip.AddrPort]*peer
	buf     []byte
	retryAt time.Duration // no failed peer is tried before

	flushed chan struct{} // closed once after Stop began and the ring was empty
	once    sync.Once
}

// peer is the state of one receiver.
type peer struct {
	link     *link // nil: not open
	used     time.Duration
	failures int           // in a row
	retryAt  time.Duration // end of the back-off
}

func newSender(s *Service, k *kernel.Kernel, i int) *sender {
	d := &sender{
		service: s,
		name:    fmt.Sprintf("peers.send.%d", i),
		gate:    kernel.NewGate(),
		peers:   make(map[netip.AddrPort]*peer),
		flushed: make(chan struct{}),
	}
	d.ring = kernel.NewRing[message.Message](k, d.name, ringCapacity, kernel.DropNewest, d.gate)
	return d
}

// step sends waiting messages and closes unused links.
func (d *sender) step(now time.Duration) time.Duration {
	for range batchSize {
		m, ok := d.ring.Take()
		if !ok {
			d.noteFlushed()
			return d.expire()
		}
		d.send(m)
	}
	return now
}

// noteFlushed ends all links once the service stops and the ring is empty.
func (d *sender) noteFlushed() {
	if !d.service.flushing() {
		return
	}
	d.once.Do(func() {
		d.finish(slices.Collect(maps.Values(d.peers)))
		clear(d.peers)
		close(d.flushed)
	})
}

// finish ends the links of peers together, within the write time-out.
func (d *sender) finish(peers []*peer) {
	for _, p := range peers {
		if p.link != nil {
			p.link.finish()
		}
	}
	deadline := time.Now().Add(d.service.config.WriteTimeout)
	for _, p := range peers {
		if p.link != nil {
			p.link.awaitEnd(deadline)
			p.closeLink()
		}
	}
}

// expire closes links and forgets peers that were not used for the idle time.
// It returns the time of the next check.
func (d *sender) expire() time.Duration {
	now := d.service.kernel.Now()
	next := kernel.Idle
	var unused []*peer
	for addr, p := range d.peers {
		end := p.used + d.service.config.Idle
		if now < end {
			next = min(next, end)
			continue
		}
		unused = append(unused, p)
		delete(d.peers, addr)
	}
	d.finish(unused)
	return next
}

// send sends one message, or drops it when the receiver can't be reached.
func (d *sender) send(m message.Message) {
	now := d.service.kernel.Now()
	data, err := appendFrame(d.buf[:0], m.Body)
	d.buf = data
	if err != nil {
		d.service.count.failedDrops.Add(1)
		d.service.log.Log(events.PeerMessageUnsent, events.F("peer", peerName(m.To)), events.F("error", err))
		return
	}
	p := d.peer(m.To.Addr)
	p.used = now
	if p.failures > 0 && now < max(p.retryAt, d.retryAt) {
		d.service.count.backoffDrops.Add(1)
		return
	}
	event, err := d.deliver(p, m.To, data)
	if errors.Is(err, errMismatch) {
		// The address belongs to another VM now, which may be healthy: the link
		// stays and there is no back-off.
		d.service.count.mismatches.Add(1)
		d.service.count.failedDrops.Add(1)
		d.service.log.Log(event, events.F("peer", peerName(m.To)), events.F("control", m.To.Addr), events.F("error", err))
		return
	}
	if err != nil {
		// One line for each outage of a peer: dead VMs are tried for an hour.
		if p.failures == 0 {
			d.service.log.Log(event, events.F("peer", peerName(m.To)), events.F("control", m.To.Addr), events.F("error", err))
		}
		d.noteFailure(p, now)
		return
	}
	p.failures = 0
	d.service.count.sent.Add(1)
}

func (d *sender) peer(addr netip.AddrPort) *peer {
	p, ok := d.peers[addr]
	if !ok {
		p = &peer{}
		d.peers[addr] = p
	}
	return p
}

// deliver writes data on the peer's link. A link that was open before and
// fails at once, as after a restart of the peer, is replaced by a new one. It
// returns the event to log with an error.
func (d *sender) deliver(p *peer, to message.Address, data []byte) (*events.Event, error) {
	if p.link != nil && !p.link.isClosed() && p.link.mustEnd() {
		d.finish([]*peer{p})
	}
	if p.link != nil && p.link.isClosed() {
		p.closeLink()
	}
	reused := p.link != nil
	if event, err := d.connect(p, to.Addr); err != nil {
		return event, err
	}
	if err := checkReceiver(p.link.peer, to.VM); err != nil {
		return events.PeerUntrusted, err
	}
	err := p.link.write(data)
	if err == nil {
		return nil, nil
	}
	d.service.count.linksFailed.Add(1)
	p.closeLink()
	if !reused || isTimeout(err) {
		return events.PeerLinkFailed, err
	}
	if event, err := d.connect(p, to.Addr); err != nil {
		return event, err
	}
	if err := checkReceiver(p.link.peer, to.VM); err != nil {
		return events.PeerUntrusted, err
	}
	if err := p.link.write(data); err != nil {
		d.service.count.linksFailed.Add(1)
		p.closeLink()
		return events.PeerLinkFailed, err
	}
	return nil, nil
}

// connect opens the peer's link unless it is open. It returns the event to log
// with an error.
func (d *sender) connect(p *peer, addr netip.AddrPort) (*events.Event, error) {
	if p.link != nil {
		return nil, nil
	}
	if !addr.IsValid() {
		return events.PeerUnreachable, ErrNoAddress
	}
	l, err := d.service.dial(addr)
	if err != nil {
		d.service.count.dialsFailed.Add(1)
		if isRefusal(err) {
			d.service.count.refused.Add(1)
			return events.PeerUntrusted, err
		}
		return events.PeerUnreachable, err
	}
	p.link = l
	return nil, nil
}

// noteFailure starts the back-off of a peer whose attempt began at began.
func (d *sender) noteFailure(p *peer, began time.Duration) {
	now := d.service.kernel.Now()
	d.service.count.failedDrops.Add(1)
	p.retryAt = now + min(minBackoff<<min(p.failures, 8), maxBackoff)
	p.failures++
	d.retryAt = now + retryCost*(now-began)
}

func (p *peer) closeLink() {
	if p.link != nil {
		p.link.close()
		p.link = nil
	}
}

func peerName(to message.Address) string {
	return fmt.Sprintf("%016x", uint64(to.VM))
}
