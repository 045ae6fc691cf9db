// Package packets is the service "packets", the data path of the VM: it reads callers'
// datagrams from a UDP socket into a ring, and forwards each to a target, answers it
// with a reset (RST), or drops it. It owns the catalog view, the flow table and the
// state of the targets.
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
	"github.com/gypsumspan/gypsumspan/decide/datagramage"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/forward"
	"github.com/gypsumspan/gypsumspan/decide/halfopen"
	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/logs"
	"github.com/gypsumspan/gypsumspan/services/readiness"
)

// Name is the service's name.
const Name = "packets"

const (
	// bufferCount is the number of datagrams that may be queued between the receiver and
	// the forwarding duty. Further ones are queued in the socket's buffer.
	bufferCount = 128
	// batchSize bounds the datagrams processed in one step.
	batchSize = 32
	// inputCapacity is the number of queued inputs, such as catalog changes.
	inputCapacity = 256
	// inputsPerStep bounds the inputs applied in one step, so that a large configuration
	// does not delay packets.
	inputsPerStep = 64
	// socketBuffer is the size in bytes of the socket's send and receive buffers, which
	// hold the datagrams that arrive while the process is not scheduled.
	socketBuffer = 1 << 20
	// wakeInterval bounds the time between two steps. A step that runs lateThreshold after
	// it was due shows that the VM was paused or is overloaded.
	wakeInterval  = datagramage.MaxStepInterval
	lateThreshold = 100 * time.Millisecond
	// reportInterval is the time between two reports to the service "relay".
	reportInterval = 500 * time.Millisecond
)

// Codec decodes and encodes datagrams.
type Codec interface {
	// Decode decodes a caller's datagram.
	Decode(data []byte) (flow.Packet, error)
	// Encapsulate writes the header, with the target's number, and the cookie of a datagram to
	// a target. buf holds Config.Headroom free bytes, then the datagram as it was received.
	Encapsulate(buf []byte, target uint64, cookie flow.Cookie)
	// AppendReset appends to dst the datagram that resets the flow of p.
	AppendReset(dst []byte, p flow.Packet) []byte
}

// Socket is a UDP socket; *net.UDPConn implements it.
type Socket interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (n int, err error)
	Close() error
}

// Config configures the service.
type Config struct {
	Listen netip.AddrPort
	// Socket replaces the socket that Setup opens at Listen; it may be nil. It must be set
	// with a stepped kernel, which does not read from a socket: see Deliver.
	Socket Socket
	Codec  Codec
	// Headroom is the size of the header before a packet to a target, and MaxPacketSize
	// the size of the largest packet, both in bytes.
	Headroom      int
	MaxPacketSize int
	Forward       forward.Config
}

// ReportReceiver receives periodic reports of this VM: the load that its callers cause, its
// samples of the targets' behaviour for outlier detection, and the load and response times
// of each target.
type ReportReceiver interface {
	// Announce passes on what other VMs are to be told of targets and flows.
	Announce(a relay.Announcement)
	SetReport(loads []relay.Load, samples []relay.Sample, reports []relay.TargetReport)
}

// reportReceiverName is the name of the service that implements ReportReceiver.
const reportReceiverName = "relay"

// Input is a message of another service to the forwarding duty. It holds one of Change,
// Store, Loads, Grants, Unopened, Opened, Unanswered, Leaving or Do; Change is used if the others
// are not set.
type Input struct {
	Change catalog.Change
	// QueuedAt is when the service "relay" had the change.
	QueuedAt time.Duration
	Store    StoreState
	// RegainedAt comes with StoreRegained: the end of the store's outage.
	RegainedAt time.Duration
	Loads      []relay.Load // load of all failure domains; not nil, may be empty
	// Samples, Overloaded and FleetSize come with Loads: the samples of the VMs of the own
	// failure domain, whether this VM relays the catalog to too many other VMs, and the
	// number of VMs of all failure domains.
	Samples    []relay.Sample
	Overloaded bool
	FleetSize  int
	Reports    []relay.ReceivedReport // also with Loads: of the other VMs of the failure domain
	// Grants are grants of this process: it may send new flows to cold targets.
	Grants []relay.Grant
	// Unopened are flows that have not opened at other VMs, and Opened flows that have opened there
	// while another target may hold them.
	Unopened []halfopen.Unopened
	Opened   []halfopen.Opened
	// Leaving says that the VM stops as planned.
	Leaving bool
	// Unanswered are targets that have left SYNs of other VMs unanswered.
	Unanswered []relay.UnansweredSYN
	Do         *Command
}

// Command is a function to run on the forwarding duty, which owns the forwarder.
type Command struct {
	run  func(now time.Duration, f *forward.Forwarder)
	done chan struct{}
}

// ErrNoAnswer means that the forwarding duty did not run a command in time.
var ErrNoAnswer = errors.New("forwarding duty does not answer")

// Do runs a function on the forwarding duty and waits for its end. It returns
// ErrNoAnswer if ctx ends first or the input ring is full; in the first case the
// function may still run later.
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

// TryDo queues a function for the forwarding duty and does not wait for it. It returns false
// if the input ring is full.
func (s *Service) TryDo(run func(now time.Duration, f *forward.Forwarder)) bool {
	return s.TryPut(Input{Do: &Command{run: run, done: make(chan struct{})}})
}

// StoreState says what has happened to the store.
type StoreState uint8

// The values of StoreState.
const (
	StoreUnchanged  StoreState = iota
	StoreLost                  // the catalog may be out of date
	StoreRegained              // the catalog is up to date again
	StoreRewound               // the store has returned from an older copy; changes of its new era follow
	ChangesLacking             // other VMs have changes that this one lacks
	ChangesComplete            // this VM has them
)

// Service is the service "packets".
type Service struct {
	config  Config
	kernel  *kernel.Kernel
	conn    Socket
	reader  datagramReader
	log     logs.Log
	ready   readiness.Switch
	reports ReportReceiver // nil when there is none

	gate        *kernel.Gate
	datagrams   *kernel.Ring[*buffer] // received, for the forwarding duty
	inputs      *kernel.Ring[Input]
	freeBuffers *kernel.Ring[*buffer]

	forwarder       *forward.Forwarder
	catalogInForce  chan struct{} // closed when the catalog is in force: View.Ready is true
	resetBuf        []byte
	limitedServices []string // services with limited requests, as last logged
	unusableDomains []string
	lateRoutes      []string
	outliers        []string // ejected targets, as last logged
	nextReport      time.Duration
	nextAnnounce    time.Duration      // see announce
	nextKeepers     time.Duration      // see announce
	leaving         bool               // the VM stops as planned
	stepDue         time.Duration      // latest time at which the next step is due
	clocks          datagramage.Clocks // as last read
	ages            datagramage.Estimator
	syns            synStore
	openedAt        time.Duration // time at which the socket was opened

	received     atomic.Uint64
	malformed    atomic.Uint64
	forwarded    atomic.Uint64
	realigned    atomic.Uint64
	contested    atomic.Uint64
	hints        atomic.Uint64
	adoptedHints atomic.Uint64
	flowsNotTold atomic.Uint64
	resets       atomic.Uint64
	dropped      atomic.Uint64
	failed       atomic.Uint64
	flows        atomic.Uint64
	outlierCount atomic.Uint64
	coldTokens   atomic.Uint64
	keptFromCold atomic.Uint64
	spread       atomic.Pointer[forward.Spread]
	byReason     [forward.Reasons]atomic.Uint64
	latencies    LatencyHistograms // of the forwarding duty
	lastReceived atomic.Int64      // time of the last datagram, in ns since start
}

// New returns the service.
func New(config Config) *Service {
	return &Service{
		config:         config,
		forwarder:      forward.New(config.Forward),
		catalogInForce: make(chan struct{}),
		latencies:      newLatencyHistograms(),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return []string{logs.Name, readiness.Name} }

// Setup implements kernel.Service: it opens the socket and allocates the buffers.
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
	s.openedAt = k.Now()
	s.reader = newDatagramReader(k, s.conn)
	s.gate = kernel.NewGate()
	s.datagrams = kernel.NewRing[*buffer](k, "packets.in", bufferCount, kernel.Block, s.gate)
	s.inputs = kernel.NewRing[Input](k, "packets.input", inputCapacity, kernel.Refuse, s.gate)
	s.freeBuffers = kernel.NewRing[*buffer](k, "packets.free", bufferCount, kernel.Block, kernel.NewGate())
	size := s.config.Headroom + s.config.MaxPacketSize + 1
	memory := make([]byte, bufferCount*size)
	for i := range bufferCount {
		if err := s.freeBuffers.Put(&buffer{bytes: memory[i*size : (i+1)*size]}); err != nil {
			return err
		}
	}
	return nil
}

// listen opens a UDP socket whose kernel buffers have socketBuffer bytes.
func listen(address netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	// The system may limit the buffers to less than socketBuffer; that is not an error.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	// Without receive times a datagram counts from when it was read.
	_ = enableReceiveTimes(conn)
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
	// Without the service "relay" packets are forwarded, but nothing is reported.
	s.reports, _ = kernel.Lookup[ReportReceiver](k, reportReceiverName)
	k.AddBlocker(kernel.Blocker{
		Name:      "packets.receive",
		Run:       s.receive,
		Interrupt: func() { s.conn.Close() },
	})
	k.AddDuty(kernel.Duty{Name: "packets.forward", Gate: s.gate, Step: s.step})
	return nil
}

// TryPut queues an input for the forwarding duty. It returns false if the ring is full.
func (s *Service) TryPut(in Input) bool { return s.inputs.Put(in) == nil }

// receive reads datagrams into free buffers until the socket is closed. It starts when
// the catalog is in force; earlier datagrams wait in the socket's buffer. A restarted VM
// receives packets of open flows at once, and a caller retransmits a dropped packet only
// after 200 ms.
func (s *Service) receive(ctx context.Context) error {
	select {
	case <-s.catalogInForce:
	case <-ctx.Done():
		return nil
	}
	var pause kernel.ErrorPause
	for {
		b, ok := s.freeBuffers.Wait(ctx)
		if !ok {
			return nil
		}
		n, arrival, err := s.reader.read(b.bytes[s.config.Headroom:])
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The error of an earlier datagram, reported by ICMP; the socket stays usable.
			n = 0
			pause.Wait(ctx)
		} else {
			pause.Succeeded()
		}
		b.n, b.arrival = n, arrival
		if err := s.datagrams.Put(b); err != nil {
			return nil
		}
	}
}

// StartLeaving tells the forwarding duty that the VM stops as planned: other VMs are told at once of
// what they need when routers move its flows to them.
func (s *Service) StartLeaving() { s.TryPut(Input{Leaving: true}) }

// Deliver passes a datagram to the forwarding duty in place of the receiver, for a stepped kernel.
// emptyAt is the last time before it at which the socket's buffer was empty. Deliver returns false
// while the catalog is not in force or no buffer is free; a real datagram would then wait in the
// socket's buffer.
func (s *Service) Deliver(datagram []byte, emptyAt time.Duration) bool {
	select {
	case <-s.catalogInForce:
	default:
		return false
	}
	b, ok := s.freeBuffers.Take()
	if !ok {
		return false
	}
	b.n = copy(b.bytes[s.config.Headroom:], datagram)
	b.arrival = datagramage.Arrival{ReadAt: s.kernel.Now(), EmptyAt: emptyAt}
	return s.datagrams.Put(b) == nil
}

// step runs one step of the forwarding duty. It reports a late step to the forwarder.
func (s *Service) step(now time.Duration) time.Duration {
	if s.stepDue > 0 && now > s.stepDue+lateThreshold {
		s.forwarder.MarkStalled(now)
	}
	next := s.work(s.readClocks())
	s.stepDue = max(next, now)
	return next
}

// work applies queued inputs, then processes queued datagrams. It returns the time of
// the next step.
func (s *Service) work(now time.Duration) time.Duration {
	more := s.applyInputs(now)
	s.checkCatalogInForce(now)
	for range batchSize {
		b, ok := s.datagrams.Take()
		if !ok {
			wake := min(s.forwarder.Tick(now), s.report(now), now+wakeInterval)
			s.resetEndedFlows()
			s.correctCookies(now)
			s.announce(now)
			s.logJudgements()
			s.logDeferredChanges()
			s.publishStats()
			if more {
				return now
			}
			return wake
		}
		now = s.handleDatagram(now, b)
		s.resetEndedFlows()
		s.logJudgements()
		// The ring has room for all buffers.
		_ = s.freeBuffers.Put(b)
	}
	return now
}

// report sends a report if one is due, and returns the time of the next one.
func (s *Service) report(now time.Duration) time.Duration {
	if s.reports == nil {
		return kernel.Idle
	}
	if now >= s.nextReport {
		s.nextReport = now + reportInterval
		s.reports.SetReport(s.forwarder.Loads(), s.forwarder.Samples(now), s.forwarder.Reports(now))
	}
	return s.nextReport
}

// applyInputs applies up to inputsPerStep queued inputs, and reports whether more may be
// queued.
func (s *Service) applyInputs(now time.Duration) bool {
	for range inputsPerStep {
		in, ok := s.inputs.Take()
		if !ok {
			return false
		}
		s.apply(now, in)
	}
	return true
}

// readClocks reads the clocks in the middle of a step, so that a pause of the process since the last
// reading shows. It returns the time.
func (s *Service) readClocks() time.Duration {
	s.clocks = datagramage.Clocks{Monotonic: s.kernel.Now(), TimeOfDay: s.kernel.TimeOfDay()}
	s.ages.Step(s.clocks)
	return s.clocks.Monotonic
}

// handleDatagram decodes a datagram and carries out the forwarder's verdict on it. It returns the time.
func (s *Service) handleDatagram(now time.Duration, b *buffer) time.Duration {
	if b.n == 0 {
		return now
	}
	s.received.Add(1)
	s.lastReceived.Store(int64(now))
	headroom := s.config.Headroom
	p, err := s.config.Codec.Decode(b.bytes[headroom : headroom+b.n])
	if err != nil {
		s.malformed.Add(1)
		s.logMalformed(err)
		return now
	}
	if p.Flags.Has(flow.SYN) {
		now = s.readClocks()
		p.Age = s.ages.Age(s.clocks, b.arrival)
	}
	v := s.forwarder.Receive(now, p)
	s.byReason[v.Reason].Add(1)
	s.latencies.recordVerdict(v)
	if v.NewDecision {
		s.logDecision(p, v)
	}
	if v.Adopted != forward.NotAdopted {
		s.logAdopted(p.Flow, v)
	}
	s.keepSYN(now, p, v, b.bytes[:headroom+b.n])
	s.resendSYN(now, p.Flow, v.Target, v.Superseded)
	switch v.Action {
	case forward.Forward:
		s.config.Codec.Encapsulate(b.bytes, v.Target.Number, v.Cookie)
		s.send(b.bytes[:headroom+b.n], v.Target.Address.AddrPort(), &s.forwarded)
	case forward.Reset:
		s.sendReset(p)
	default:
		s.dropped.Add(1)
	}
	return now
}

func (s *Service) sendReset(p flow.Packet) {
	s.resetBuf = s.config.Codec.AppendReset(s.resetBuf[:0], p)
	to := flow.Endpoint{IP: p.Flow.Caller.IP, Port: s.config.Listen.Port()}
	s.send(s.resetBuf, to.AddrPort(), &s.resets)
}

// resetEndedFlows sends resets for the flows that the forwarder ended without a packet of
// the flow.
func (s *Service) resetEndedFlows() {
	for _, e := range s.forwarder.TakeFlowResets() {
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

// LastReceived returns the time of the last datagram, 0 before the first. It is safe for
// concurrent use.
func (s *Service) LastReceived() time.Duration { return time.Duration(s.lastReceived.Load()) }
