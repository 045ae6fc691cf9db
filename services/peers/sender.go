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
	// batchSize bounds the messages sent in one step.
	batchSize = 32
	// minBackoff is the backoff after the first failure; it doubles with each further one.
	minBackoff = 500 * time.Millisecond
	// maxBackoff bounds the time until a peer that is reachable again is retried. It is
	// close to the 3 s after which a VM is declared dead.
	maxBackoff = 4 * time.Second
	// retrySpacingFactor is the time between two attempts to reach failed peers, as a
	// multiple of the duration of the last attempt. Such attempts then block a duty for
	// at most a quarter of the time.
	retrySpacingFactor = 3
)

// sender is a sending duty with its peers.
type sender struct {
	service *Service
	name    string
	gate    *kernel.Gate
	ring    *kernel.Ring[message.Message]
	peers   map[netip.AddrPort]*peer
	buf     []byte
	retryAt time.Duration // no failed peer is retried earlier

	flushed chan struct{} // closed once the ring is empty after Stop began
	once    sync.Once
}

// peer is the state of a receiver.
type peer struct {
	link     *link // nil: not open
	lastUsed time.Duration
	failures int           // consecutive
	retryAt  time.Duration // end of the backoff
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

// step sends queued messages and closes idle links.
func (d *sender) step(now time.Duration) time.Duration {
	for range batchSize {
		m, ok := d.ring.Take()
		if !ok {
			d.finishFlush()
			return d.closeIdle()
		}
		d.send(m)
	}
	return now
}

// finishFlush closes all links once the service stops and the ring is empty.
func (d *sender) finishFlush() {
	if !d.service.isFlushing() {
		return
	}
	d.once.Do(func() {
		d.closeGracefully(slices.Collect(maps.Values(d.peers)))
		clear(d.peers)
		close(d.flushed)
	})
}

// closeGracefully closes the links of peers in parallel, within the write timeout.
func (d *sender) closeGracefully(peers []*peer) {
	for _, p := range peers {
		if p.link != nil {
			p.link.closeGracefully()
		}
	}
	deadline := time.Now().Add(d.service.config.WriteTimeout)
	for _, p := range peers {
		if p.link != nil {
			p.link.awaitClose(deadline)
			p.closeLink()
		}
	}
}

// closeIdle closes the links and removes the state of peers that were not used for
// Config.IdleTimeout. It returns the time of the next check.
func (d *sender) closeIdle() time.Duration {
	now := d.service.kernel.Now()
	next := kernel.Idle
	var unused []*peer
	for addr, p := range d.peers {
		end := p.lastUsed + d.service.config.IdleTimeout
		if now < end {
			next = min(next, end)
			continue
		}
		unused = append(unused, p)
		delete(d.peers, addr)
	}
	d.closeGracefully(unused)
	return next
}

// send sends a message, or drops it if the receiver can't be reached.
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
	p.lastUsed = now
	if p.failures > 0 && now < max(p.retryAt, d.retryAt) {
		d.service.count.backoffDrops.Add(1)
		return
	}
	event, err := d.deliver(p, m.To, data)
	if errors.Is(err, errIdentityMismatch) {
		// Another VM now has the address and may be healthy: the link stays open, and
		// there is no backoff.
		d.service.count.mismatches.Add(1)
		d.service.count.failedDrops.Add(1)
		d.service.log.Log(event, events.F("peer", peerName(m.To)), events.F("control", m.To.Addr), events.F("error", err))
		return
	}
	if err != nil {
		// One log line for each outage of a peer, since dead VMs are retried for an hour.
		if p.failures == 0 {
			d.service.log.Log(event, events.F("peer", peerName(m.To)), events.F("control", m.To.Addr), events.F("error", err))
		}
		d.backOff(p, now)
		return
	}
	p.failures = 0
	d.service.count.sent.Add(1)
}

// peer returns the state of the peer at addr, which is added if it is new.
func (d *sender) peer(addr netip.AddrPort) *peer {
	p, ok := d.peers[addr]
	if !ok {
		p = &peer{}
		d.peers[addr] = p
	}
	return p
}

// deliver writes data on the peer's link, which is dialled if it is not open. If a link
// that was already open fails without a timeout, as after a restart of the peer, data is
// written again on a new one. It returns the event to log with an error.
func (d *sender) deliver(p *peer, to message.Address, data []byte) (*events.Event, error) {
	if p.link != nil && !p.link.isClosed() && p.link.mustReplace() {
		d.closeGracefully([]*peer{p})
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

// connect dials the peer's link unless it is open. It returns the event to log with an
// error.
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
		if isCertificateError(err) {
			d.service.count.refused.Add(1)
			return events.PeerUntrusted, err
		}
		return events.PeerUnreachable, err
	}
	p.link = l
	return nil, nil
}

// backOff starts the backoff of a peer after a failed attempt that started at startedAt.
func (d *sender) backOff(p *peer, startedAt time.Duration) {
	now := d.service.kernel.Now()
	d.service.count.failedDrops.Add(1)
	p.retryAt = now + min(minBackoff<<min(p.failures, 8), maxBackoff)
	p.failures++
	d.retryAt = now + retrySpacingFactor*(now-startedAt)
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
