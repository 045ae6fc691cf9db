// Package packets is the service "packets": it reads the datagrams of callers
// from a socket into a ring, decides on each, and sends it on or answers with a
// reset. It owns the catalog and all that the VM knows of flows and targets.
package packets

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/forward"
	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/logs"
	"github.com/gypsumspan/gypsumspan/services/readiness"
)

// Name is the service's name.
const Name = "packets"

const (
	// buffers is the number of datagrams that may wait between the receiving and the
	// forwarding duty. The socket's own buffer holds further ones.
	buffers = 128
	// batchSize is the number of datagrams decided in one step.
	batchSize = 32
	// changes is the number of catalog changes that may wait.
	changes = 256
	// changesPerStep bounds the catalog changes applied in one step, so that a large
	// configuration does not delay packets.
	changesPerStep = 64
	// socketBuffer is the size of the socket's buffers in bytes. It holds the
	// datagrams that arrive while the process is not scheduled.
	socketBuffer = 1 << 20
	// wakeInterval is the longest time between two steps, and late the delay of a step
	// that shows that the VM is paused or slow.
	wakeInterval = 200 * time.Millisecond
	late         = 100 * time.Millisecond
	// reportInterval is the time between two reports to the service "relay".
	reportInterval = 500 * time.Millisecond
	// quietTime is how long no datagram may arrive before a leaving VM ends.
	quietTime = time.Second
	// routersNotice is the time in which routers notice that a VM is not ready: two
	// checks, half a second apart, and their answers.
	routersNotice = 1500 * time.Millisecond
)

// Codec is the form of datagrams.
type Codec interface {
	// Decode reads a caller's datagram.
	Decode(data []byte) (flow.Packet, error)
	// Encapsulate writes the header and the cookie of a datagram to a target. buf holds
	// Config.Headroom free bytes, then the datagram as it was received.
	Encapsulate(buf []byte, target uint64, cookie flow.Cookie)
	// AppendReset appends the datagram that resets p's flow.
	AppendReset(dst []byte, p flow.Packet) []byte
}

// Socket is a UDP socket.
type Socket interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (n int, err error)
	Close() error
}

// Config configures the service.
type Config struct {
	Listen netip.AddrPort
	// Socket replaces the socket that Setup opens at Listen; it may be nil. A stepped
	// kernel has one, since it reads no socket: see Deliver.
	Socket Socket
	Codec  Codec
	// Headroom is the size of the header before a packet to a target, and MaxPacket
	// the size of the largest packet, both in bytes.
	Headroom  int
	MaxPacket int
	Forward   forward.Config
}

// ReportReceiver takes reports of the work that this VM causes, and of what it has
// seen of targets.
type ReportReceiver interface {
	SetReport(loads []relay.Load, samples []relay.Sample)
}

// reportReceiverName is the name of the service that takes reports.
const reportReceiverName = "relay"

// Stats counts since start.
type Stats struct {
	Received  uint64
	Malformed uint64
	Forwarded uint64
	Resets    uint64
	Dropped   uint64
	Failed    uint64 // not sent because of an error
	Flows     uint64 // remembered now
	Outliers  uint64 // targets ejected as outliers at present
	// ByReason counts packets by the reason of their verdict.
	ByReason [forward.Reasons]uint64
}

// buffer is one datagram with room for the prefix.
type buffer struct {
	bytes []byte
	n     int // bytes of the datagram
}

// Input is what other services tell the forwarding duty. One field is set.
type Input struct {
	Change catalog.Change
	Store  StoreState
	Loads  []relay.Load // of all failure domains
	// Samples, with Loads, are what the VMs of the own domain have seen of targets, and
	// BusyRelay, with Loads, says that the VM relays the catalog to many other VMs.
	Samples   []relay.Sample
	BusyRelay bool
	Do        *Command
}

// Command is a function that runs on the forwarding duty, which owns the forwarder.
type Command struct {
	run  func(now time.Duration, f *forward.Forwarder)
	done chan struct{}
}

// ErrNoAnswer means that the forwarding duty had no time for a question.
var ErrNoAnswer = errors.New("forwarding duty does not answer")

// Do runs run on the forwarding duty and waits for its end. It returns ErrNoAnswer if
// ctx ends first or the duty's input ring is full.
func (s *Service) Do(ctx context.Context, run func(now time.Duration, f *forward.Forwarder)) error {
	c := &Command{run: run, done: make(chan struct{})}
	if !s.TryPut(Input{Do: c}) {
		return ErrNoAnswer
	}
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNoAnswer, ctx.Err())
	}
}

// StoreState says whether the store can be reached.
type StoreState uint8

// The states of the store.
const (
	StoreUnchanged StoreState = iota
	StoreLost
	StoreRegained
)

// Service is the service "packets".
type Service struct {
	config  Config
	kernel  *kernel.Kernel
	conn    Socket
	log     logs.Log
	ready   readiness.Switch
	reports ReportReceiver // nil when there is none

	gate  *kernel.Gate
	in    *kernel.Ring[*buffer]
	input *kernel.Ring[Input]
	free  *kernel.Ring[*buffer]

	forwarder  *forward.Forwarder
	inForce    chan struct{} // closed when the catalog is in force
	reset      []byte
	bounded    []string // services whose requests are bounded, as logged
	aside      []string // targets that are put aside, as logged
	nextReport time.Duration
	due        time.Duration // when the next step is due at the latest

	received  atomic.Uint64
	malformed atomic.Uint64
	forwarded atomic.Uint64
	resets    atomic.Uint64
	dropped   atomic.Uint64
	failed    atomic.Uint64
	flows     atomic.Uint64
	asideNow  atomic.Uint64
	byReason  [forward.Reasons]atomic.Uint64
	times     LatencyHistograms // of the forwarding duty
	lastSeen  atomic.Int64      // time of the last datagram, in ns since start
}

// New returns the service.
func New(config Config) *Service {
	return &Service{
		config:    config,
		forwarder: forward.New(config.Forward),
		inForce:   make(chan struct{}),
		times:     newTimes(),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service. Readiness outlives packets, so that routers
// learn of a planned stop while datagrams are still forwarded.
func (s *Service) Needs() []string { return []string{logs.Name, readiness.Name} }

// Setup opens the socket.
func (s *Service) Setup(k *kernel.Kernel) error {
	s.kernel = k
	s.conn = s.config.Socket
	if s.conn == nil {
		conn, err := listen(s.config.Listen)
		if err != nil {
			return err
		}
		s.conn = conn
	}
	s.gate = kernel.NewGate()
	s.in = kernel.NewRing[*buffer](k, "packets.in", buffers, kernel.Block, s.gate)
	s.input = kernel.NewRing[Input](k, "packets.input", changes, kernel.Refuse, s.gate)
	s.free = kernel.NewRing[*buffer](k, "packets.free", buffers, kernel.Block, kernel.NewGate())
	size := s.config.Headroom + s.config.MaxPacket + 1
	memory := make([]byte, buffers*size)
	for i := range buffers {
		if err := s.free.Put(&buffer{bytes: memory[i*size : (i+1)*size]}); err != nil {
			return err
		}
	}
	return nil
}

// listen opens a socket with large buffers.
func listen(at netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", at, err)
	}
	// The system may grant less than socketBuffer; that is not an error.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	var err error
	if s.log, err = kernel.Lookup[logs.Log](k, logs.Name); err != nil {
		return err
	}
	if s.ready, err = kernel.Lookup[readiness.Switch](k, readiness.Name); err != nil {
		return err
	}
	// The service "relay" is not needed to forward packets.
	s.reports, _ = kernel.Lookup[ReportReceiver](k, reportReceiverName)
	k.AddBlocker(kernel.Blocker{
		Name:      "packets.receive",
		Run:       s.receive,
		Interrupt: func() { s.conn.Close() },
	})
	k.AddDuty(kernel.Duty{Name: "packets.forward", Gate: s.gate, Step: s.step})
	return nil
}

// TryPut hands an input to the forwarding duty. It returns false while the ring
// is full.
func (s *Service) TryPut(in Input) bool { return s.input.Put(in) == nil }

// receive reads datagrams into free buffers until the socket is closed. Until the
// catalog is in force the socket's buffer holds them: a restarted VM gets packets
// of open flows at once, and their callers repeat a dropped one only after 200 ms.
func (s *Service) receive(ctx context.Context) error {
	select {
	case <-s.inForce:
	case <-ctx.Done():
		return nil
	}
	for {
		b, ok := s.free.Wait(ctx)
		if !ok {
			return nil
		}
		n, _, err := s.conn.ReadFromUDPAddrPort(b.bytes[s.config.Headroom:])
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error of an earlier datagram is reported here; the socket stays usable.
			n = 0
		}
		b.n = n
		if err := s.in.Put(b); err != nil {
			return nil
		}
	}
}

// Deliver takes a datagram as the receiving duty does, for a stepped kernel. It
// returns false while the catalog is not in force or no buffer is free: the
// datagram then waits in the socket's buffer.
func (s *Service) Deliver(datagram []byte) bool {
	select {
	case <-s.inForce:
	default:
		return false
	}
	b, ok := s.free.Take()
	if !ok {
		return false
	}
	b.n = copy(b.bytes[s.config.Headroom:], datagram)
	return s.in.Put(b) == nil
}

// step does the work that is due, and notes when it comes late.
func (s *Service) step(now time.Duration) time.Duration {
	if s.due > 0 && now > s.due+late {
		s.forwarder.SetLate(now)
	}
	next := s.work(now)
	s.due = max(next, now)
	return next
}

// work applies changes of the catalog, then decides on waiting datagrams.
func (s *Service) work(now time.Duration) time.Duration {
	more := s.applyInputs(now)
	s.checkInForce(now)
	for range batchSize {
		b, ok := s.in.Take()
		if !ok {
			wake := min(s.forwarder.Tick(now), s.report(now), now+wakeInterval)
			s.sendEnded()
			s.flows.Store(uint64(s.forwarder.Flows()))
			if more {
				return now
			}
			return wake
		}
		s.decide(now, b)
		s.sendEnded()
		// The ring has room for every buffer that exists.
		_ = s.free.Put(b)
	}
	return now
}

// report reports the work that this VM causes and what it has seen of targets, and
// returns the time of the next report.
func (s *Service) report(now time.Duration) time.Duration {
	if s.reports == nil {
		return kernel.Idle
	}
	if now >= s.nextReport {
		s.nextReport = now + reportInterval
		s.reports.SetReport(s.forwarder.Loads(), s.forwarder.Samples(now))
	}
	return s.nextReport
}

// applyInputs reports whether inputs are left.
func (s *Service) applyInputs(now time.Duration) bool {
	for range changesPerStep {
		in, ok := s.input.Take()
		if !ok {
			return false
		}
		s.apply(now, in)
	}
	return true
}

func (s *Service) decide(now time.Duration, b *buffer) {
	if b.n == 0 {
		return
	}
	s.received.Add(1)
	s.lastSeen.Store(int64(now))
	prefix := s.config.Headroom
	p, err := s.config.Codec.Decode(b.bytes[prefix : prefix+b.n])
	if err != nil {
		s.malformed.Add(1)
		s.logMalformed(err)
		return
	}
	v := s.forwarder.Receive(now, p)
	s.byReason[v.Reason].Add(1)
	s.times.note(v)
	if v.Decided {
		s.logDecision(p, v)
	}
	switch v.Action {
	case forward.Forward:
		s.config.Codec.Encapsulate(b.bytes, v.Target.Number, v.Cookie)
		s.send(b.bytes[:prefix+b.n], v.Target.Address.AddrPort(), &s.forwarded)
	case forward.Reset:
		s.sendReset(p)
	default:
		s.dropped.Add(1)
	}
}

func (s *Service) sendReset(p flow.Packet) {
	s.reset = s.config.Codec.AppendReset(s.reset[:0], p)
	to := flow.Endpoint{IP: p.Flow.Caller.IP, Port: s.config.Listen.Port()}
	s.send(s.reset, to.AddrPort(), &s.resets)
}

// sendEnded resets the flows that ended without a packet of theirs.
func (s *Service) sendEnded() {
	for _, e := range s.forwarder.TakeEnded() {
		s.logDecision(e.Packet, forward.Verdict{Action: forward.Reset, Reason: e.Reason, Target: e.Target})
		s.sendReset(e.Packet)
	}
}

func (s *Service) send(data []byte, to netip.AddrPort, sent *atomic.Uint64) {
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil {
		s.failed.Add(1)
		s.logSendFailed(to, err)
		return
	}
	sent.Add(1)
}

// Stop implements kernel.Stopper: the VM is no longer ready, and datagrams are
// forwarded until routers have noticed and none has arrived for a while.
func (s *Service) Stop(ctx context.Context) error {
	s.ready.Leave()
	started := s.kernel.Now()
	for {
		now := s.kernel.Now()
		until := max(started+routersNotice, time.Duration(s.lastSeen.Load())+quietTime)
		if now >= until {
			return nil
		}
		timer := time.NewTimer(until - now)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			// Routers that still send here lose nothing but time: other VMs forward
			// what is repeated.
			return nil
		}
	}
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	return Stats{
		Received:  s.received.Load(),
		Malformed: s.malformed.Load(),
		Forwarded: s.forwarded.Load(),
		Resets:    s.resets.Load(),
		Dropped:   s.dropped.Load(),
		Failed:    s.failed.Load(),
		Flows:     s.flows.Load(),
		Outliers:  s.asideNow.Load(),
		ByReason:  s.reasonCounts(),
	}
}

func (s *Service) reasonCounts() (counts [forward.Reasons]uint64) {
	for i := range counts {
		counts[i] = s.byReason[i].Load()
	}
	return counts
}
