// Package relay is the service "relay": it runs the state machine of package
// decide/relay, which keeps the VM's replica of the catalog up to date from the
// platform's store or from other VMs. It exchanges heartbeats with other VMs over UDP,
// serves their pulls over HTTP, and passes each change to the service "packets".
package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/coldstart"
	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/revision"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/catalogwatch"
	"github.com/gypsumspan/gypsumspan/services/control"
	"github.com/gypsumspan/gypsumspan/services/logs"
	"github.com/gypsumspan/gypsumspan/services/packets"
	"github.com/gypsumspan/gypsumspan/services/pulls"
	"github.com/gypsumspan/gypsumspan/wire/relaywire"
)

// Name is the service's name.
const Name = "relay"

const (
	// inputCapacity is the number of inputs that may be queued.
	inputCapacity = 256
	// batchSize bounds the inputs handled in one step.
	batchSize = 32
	// registerInterval is the time between two attempts to write the VM's own entry.
	registerInterval = 5 * time.Second
	// fullRingRetry is the delay before changes are passed to "packets" again after its
	// input ring was full.
	fullRingRetry = 2 * time.Millisecond
	// overloadSubscribers is the number of VMs that a relay can serve without delaying
	// the packets that it forwards. With more, it reports itself to "packets" as
	// overloaded.
	overloadSubscribers = 24
	// loadReportInterval is the time between two reports of the failure domains' loads to
	// "packets".
	loadReportInterval = 500 * time.Millisecond
	// maxSnapshotSize is the size of the largest snapshot in bytes. The store holds values
	// of up to 1 MiB.
	maxSnapshotSize = 1 << 20
)

// ErrSnapshotTooLarge means that the store can't hold a snapshot.
var ErrSnapshotTooLarge = errors.New("snapshot is too large for the store")

// Decoder decodes the values of the store.
type Decoder interface {
	// Decode returns the change of the catalog that a write of key makes; ok is false
	// if the key is not part of the catalog. For an invalid value it returns an error;
	// with ok, the returned change must be applied nevertheless.
	Decode(key string, value []byte, deleted bool, revision revision.Revision) (c catalog.Change, ok bool, err error)
}

// Packets receives the changes; it is the service "packets".
type Packets interface {
	TryPut(in packets.Input) bool
}

// CatalogWatch is the service "catalogwatch", which reads and watches the store.
type CatalogWatch interface {
	// SetWatching starts or stops the watch of the store; a new watch continues after
	// revision.
	SetWatching(on bool, revision revision.Revision)
	// SetSlowRetry selects the longer retry delays, of seconds, for failed calls.
	SetSlowRetry(slowRetry bool)
	// RetryNow ends the delay before a failed call is repeated.
	RetryNow()
	// ShortenPauses shortens the pauses of the watch between batches of changes for a short time.
	ShortenPauses()
	// Write queues a write of an entry.
	Write(w catalogwatch.Write)
	// Transact queues a write of several entries.
	Transact(t catalogwatch.Transaction)
}

// Puller is the service "pulls". It passes the result of each pull to HandlePullResult.
type Puller interface {
	Pull(p relay.Pull)
}

// Config configures the service.
type Config struct {
	Machine relay.Config
	Decoder Decoder
	// Socket replaces the UDP socket for heartbeats that Setup opens; it may be nil.
	Socket packets.Socket
	// PermitPrefix is the prefix of the keys of permits for cold targets; with an empty one this
	// VM claims none. ColdLimit is the limit of their new flows.
	PermitPrefix string
	ColdLimit    coldstart.Limit
}

// Stats holds counters since start and, from IsRelay on, the present state.
type Stats struct {
	HeartbeatsSent     uint64
	HeartbeatsReceived uint64
	Malformed          uint64 // heartbeats that could not be decoded
	Pulls              uint64 // pulls by this VM that ended, including PullsFailed
	PullsFailed        uint64
	PullsAnswered      uint64 // pulls by other VMs
	Invalid            uint64 // values of the store that could not be decoded
	IsRelay            bool
	Watching           bool               // watches the store
	Revision           revision.Revision  // of the replica
	Age                time.Duration      // since the replica was last known to match the store
	PermitsHeld        uint64             // for cold targets
	Arrivals           [relay.Ways]uint64 // updates that changed the replica, by relay.Way
	LongestBehind      time.Duration      // the longest time that any of them may have been late

	AnnouncementsDropped uint64 // not sent to other VMs, since the input ring was half full
	FlowsNotKept         uint64 // flows of other VMs that this keeper had no room for
}

// input is one event for the deciding duty. One field is set, beside queuedAt.
type input struct {
	queuedAt     time.Duration // kernel time
	heartbeat    *receivedHeartbeat
	store        *catalogwatch.Result
	pull         *pulls.Result // of a pull by this VM
	request      *pullRequest
	report       *report
	announcement *relay.Announcement
	sentBytes    int // of an answer to a pull of another VM
}

// report is a report of the service "packets".
type report struct {
	loads   []relay.Load
	samples []relay.Sample
	targets []relay.TargetReport
}

type receivedHeartbeat struct {
	from      netip.AddrPort
	heartbeat relay.Heartbeat
}

// pullRequest is a pull by another VM.
type pullRequest struct {
	after      revision.Revision
	withoutEra bool // the other VM's build knows no eras
	respond    func(relay.Update)
}

// Service is the service "relay".
type Service struct {
	config  Config
	kernel  *kernel.Kernel
	machine *relay.Machine
	log     logs.Log
	packets Packets
	watch   CatalogWatch

	pulls Puller

	conn packets.Socket

	gate *kernel.Gate
	in   *kernel.Ring[input]

	stalls         relay.Stalls
	pending        []packets.Input    // not yet passed to "packets"
	storeWaits     catalogwatch.Waits // of the store's client, since the last update that changed the replica
	watching       bool               // as last set at "catalogwatch"
	slowRetry      bool               // as last set at "catalogwatch"
	lacking        bool               // changes, as last reported to "packets"
	wasRelay       bool               // as last logged
	synced         bool               // the marker of a complete replica was queued
	nextRegister   time.Duration
	nextLoadReport time.Duration
	backlog        relay.LinkBacklog // of answers to pulls
	buf            []byte
	cold           coldTargets
	// compressor is shared by the handlers of pulls, which the service "control" runs.
	compressorLock sync.Mutex
	compressor     relaywire.Compressor

	// What Stats returns.
	heartbeatsSent     atomic.Uint64
	heartbeatsReceived atomic.Uint64
	malformed          atomic.Uint64
	pullsDone          atomic.Uint64
	pullsFailed        atomic.Uint64
	pullsAnswered      atomic.Uint64
	invalid            atomic.Uint64
	isRelay            atomic.Bool
	watchingNow        atomic.Bool
	revision           atomic.Int64
	age                atomic.Int64
	permitsHeld        atomic.Uint64
	arrivals           [relay.Ways]atomic.Uint64
	longestBehind      atomic.Int64

	announcementsDropped atomic.Uint64
	flowsNotKept         atomic.Uint64
}

// New returns the service.
func New(config Config) *Service {
	return &Service{config: config, machine: relay.New(config.Machine), cold: newColdTargets(config)}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string {
	return []string{logs.Name, packets.Name, catalogwatch.Name, pulls.Name, control.Name}
}

// Setup implements kernel.Service: it opens the socket for heartbeats.
func (s *Service) Setup(k *kernel.Kernel) error {
	s.conn = s.config.Socket
	if s.conn == nil {
		address := s.config.Machine.Self.HeartbeatAddr
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		s.conn = conn
	}
	s.kernel = k
	s.gate = kernel.NewGate()
	s.in = kernel.NewRing[input](k, "relay.in", inputCapacity, kernel.Block, s.gate)
	return nil
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	var err error
	if s.log, err = kernel.Lookup[logs.Log](k, logs.Name); err != nil {
		return err
	}
	if s.packets, err = kernel.Lookup[Packets](k, packets.Name); err != nil {
		return err
	}
	if s.watch, err = kernel.Lookup[CatalogWatch](k, catalogwatch.Name); err != nil {
		return err
	}
	if s.pulls, err = kernel.Lookup[Puller](k, pulls.Name); err != nil {
		return err
	}
	mux, err := kernel.Lookup[control.Mux](k, control.Name)
	if err != nil {
		return err
	}
	mux.Handle("GET "+pulls.Path, s.servePull)
	k.AddDuty(kernel.Duty{Name: "relay.decide", Gate: s.gate, Step: s.step})
	k.AddBlocker(kernel.Blocker{Name: "relay.receive", Run: s.receive, Interrupt: func() { s.conn.Close() }})
	return nil
}

// HandleStoreResult implements catalogwatch.Inbox.
func (s *Service) HandleStoreResult(r catalogwatch.Result) error { return s.queue(input{store: &r}) }

// queue queues an input for the deciding duty.
func (s *Service) queue(in input) error {
	in.queuedAt = s.kernel.Now()
	return s.in.Put(in)
}

// SetReport implements packets.ReportReceiver: loads are caused by this VM's callers, by
// service, and samples and reports are its observations of targets. Reports are dropped while half
// of the input ring or more is in use, which leaves the rest to other inputs.
func (s *Service) SetReport(loads []relay.Load, samples []relay.Sample, targets []relay.TargetReport) {
	if s.in.Available() > inputCapacity/2 {
		// A dropped report is replaced by the next one.
		_ = s.queue(input{report: &report{loads: loads, samples: samples, targets: targets}})
	}
}

// Announce implements packets.ReportReceiver. Like reports, announcements are dropped while half of
// the input ring or more is in use, and counted.
func (s *Service) Announce(a relay.Announcement) {
	if s.in.Available() <= inputCapacity/2 || s.queue(input{announcement: &a}) != nil {
		s.announcementsDropped.Add(1)
	}
}

// receive reads heartbeats until the socket is closed.
func (s *Service) receive(ctx context.Context) error {
	buf := make([]byte, relaywire.MaxHeartbeatSize+1)
	var pause kernel.ErrorPause
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The error of an earlier datagram, reported by ICMP; the socket stays usable.
			pause.Wait(ctx)
			continue
		}
		pause.Succeeded()
		if s.Deliver(from, buf[:n]) != nil {
			return nil
		}
	}
}

// Deliver decodes a heartbeat and queues it for the deciding duty. It returns an error if the
// VM is stopping or, in a stepped kernel, if the input ring is full.
func (s *Service) Deliver(from netip.AddrPort, datagram []byte) error {
	heartbeat, err := relaywire.DecodeHeartbeat(datagram)
	if err != nil {
		s.malformed.Add(1)
		s.log.Log(events.BeatMalformed, events.F("from", from), events.F("error", err))
		return nil
	}
	s.heartbeatsReceived.Add(1)
	return s.queue(input{heartbeat: &receivedHeartbeat{from: from, heartbeat: heartbeat}})
}

// step runs one step of the deciding duty.
func (s *Service) step(now time.Duration) time.Duration {
	s.machine.RecordSuspension(s.stalls.Step(now, s.kernel.TimeOfDay()))
	next := s.work(now)
	s.stalls.SetDue(next)
	return next
}

// work handles queued inputs, then carries out the machine's output. It returns the time of the next
// step.
func (s *Service) work(now time.Duration) time.Duration {
	more := true
	for range batchSize {
		in, ok := s.in.Take()
		if !ok {
			more = false
			break
		}
		s.handle(now, in)
		s.logArrivals(now, in)
	}
	next := s.machine.Tick(now)
	s.perform(now, s.machine.TakeOutput())
	next = min(next, s.forwardLoads(now), s.register(now), s.shareTokens(now), s.announceStarts(now))
	if !s.flushPending() {
		next = min(next, now+fullRingRetry)
	}
	s.publishStats(now)
	if more {
		return now
	}
	return next
}

func (s *Service) handle(now time.Duration, in input) {
	waited := s.stalls.Waited(now, in.queuedAt)
	switch {
	case in.heartbeat != nil:
		s.machine.HandleHeartbeat(now, waited, in.heartbeat.from, in.heartbeat.heartbeat)
	case in.store != nil && in.store.Transaction != nil:
		s.completeTransaction(now, in.store.Transaction)
	case in.store != nil && in.store.Err != nil:
		if !errors.Is(in.store.Err, catalogwatch.ErrHistoryLost) {
			s.machine.StoreFailed(now)
		}
		s.log.Log(events.StoreCallFailed, events.F("error", in.store.Err))
	case in.store != nil:
		if in.store.SnapshotErr != nil {
			s.log.Log(events.SnapshotNotUsed, events.F("error", in.store.SnapshotErr))
		}
		s.machine.HandleStoreUpdate(now, waited, in.store.Update)
	case in.pull != nil:
		s.completePull(now, in.pull)
	case in.request != nil:
		s.answerPull(now, in.request)
	case in.sentBytes > 0:
		s.addBacklog(now, in.sentBytes)
	case in.announcement != nil:
		s.machine.Announce(now, *in.announcement)
	case in.report != nil:
		s.machine.SetLoads(in.report.loads)
		s.machine.SetSamples(in.report.samples)
		s.machine.SetReports(in.report.targets)
	}
}

// register writes the VM's own entry to the store if it is missing or has other addresses,
// and returns the time of the next attempt.
func (s *Service) register(now time.Duration) time.Duration {
	if s.machine.Replica().Revision() == 0 || s.machine.Registered() {
		return kernel.Idle
	}
	if now >= s.nextRegister {
		s.nextRegister = now + registerInterval
		s.watch.Write(catalogwatch.Write{Item: s.machine.Registration()})
	}
	return s.nextRegister
}

// forwardLoads reports to "packets" the loads of all failure domains, the samples of the
// own one and whether this VM is overloaded. It returns the time of the next report.
func (s *Service) forwardLoads(now time.Duration) time.Duration {
	if now < s.nextLoadReport {
		return s.nextLoadReport
	}
	s.nextLoadReport = now + loadReportInterval
	s.packets.TryPut(packets.Input{
		Loads:      s.machine.DomainLoads(now),
		Samples:    s.machine.DomainSamples(now),
		Overloaded: s.machine.Subscribers(now) > overloadSubscribers || s.backlog.Delaying(now),
		FleetSize:  s.machine.FleetSize(),
		Reports:    s.machine.OtherReports(now),
	})
	return s.nextLoadReport
}

// publishStats updates the state that Stats returns.
func (s *Service) publishStats(now time.Duration) {
	age, _ := s.machine.Age(now)
	s.age.Store(int64(age))
	s.revision.Store(int64(s.machine.Replica().Revision()))
	s.isRelay.Store(s.machine.IsRelay())
	s.watchingNow.Store(s.watching)
	s.flowsNotKept.Store(s.machine.FlowsNotKept())
}

// Stats returns the counters and the state. It is safe for concurrent use.
func (s *Service) Stats() Stats {
	stats := Stats{
		HeartbeatsSent:     s.heartbeatsSent.Load(),
		HeartbeatsReceived: s.heartbeatsReceived.Load(),
		Malformed:          s.malformed.Load(),
		Pulls:              s.pullsDone.Load(),
		PullsFailed:        s.pullsFailed.Load(),
		PullsAnswered:      s.pullsAnswered.Load(),
		Invalid:            s.invalid.Load(),
		IsRelay:            s.isRelay.Load(),
		Watching:           s.watchingNow.Load(),
		Revision:           revision.Revision(s.revision.Load()),
		Age:                time.Duration(s.age.Load()),
		PermitsHeld:        s.permitsHeld.Load(),
		LongestBehind:      time.Duration(s.longestBehind.Load()),

		AnnouncementsDropped: s.announcementsDropped.Load(),
		FlowsNotKept:         s.flowsNotKept.Load(),
	}
	for i := range s.arrivals {
		stats.Arrivals[i] = s.arrivals[i].Load()
	}
	return stats
}
