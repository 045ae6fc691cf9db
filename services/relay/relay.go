// Package relay is the service "relay": it keeps the VM's copy of the catalog new,
// from the platform's store or from other VMs, and hands every change to the
// service "packets".
package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/relay"
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
	// inputs is the number of beats, answers and questions that may wait.
	inputs = 256
	// batchSize bounds the inputs of one step.
	batchSize = 32
	// registerInterval is the time between two attempts to write the own entry.
	registerInterval = 5 * time.Second
	// fullRetry is the wait while "packets" has no room for changes.
	fullRetry = 2 * time.Millisecond
	// manySubscribers is the number of VMs that a relay serves beside its packets
	// without harm to them.
	manySubscribers = 24
	// loadsInterval is the time between two reports of the domains' loads.
	loadsInterval = 500 * time.Millisecond
)

// Decoder decodes values of the store.
type Decoder interface {
	// Decode returns the change that a write of key stands for; ok is false when it
	// is none of the catalog's. With a value that can't be decoded it returns an
	// error and, with ok, what the write means all the same.
	Decode(key string, value []byte, deleted bool, revision int64) (c catalog.Change, ok bool, err error)
}

// Packets takes the changes; it is the service "packets".
type Packets interface {
	TryPut(in packets.Input) bool
}

// Watch is the service "catalogwatch".
type Watch interface {
	Watch(on bool, revision int64)
	// SetSlowRetry selects the longer retry delays, of seconds, for failed calls.
	SetSlowRetry(patient bool)
	Write(w catalogwatch.Write)
}

// Puller is the service "pulls". It passes the result to HandlePullResult.
type Puller interface {
	Pull(p relay.Pull)
}

// Config configures the service.
type Config struct {
	Machine relay.Config
	Decoder Decoder
	// Socket replaces the socket of beats that Setup opens; it may be nil.
	Socket packets.Socket
}

// Stats counts since start.
type Stats struct {
	BeatsSent     uint64
	BeatsReceived uint64
	Malformed     uint64
	Pulls         uint64
	PullsFailed   uint64
	PullsAnswered uint64
	Invalid       uint64 // values that could not be decoded
	IsRelay       bool
	Watching      bool
	Revision      int64
	Age           time.Duration // of the knowledge of the store
}

// input is one event for the deciding duty. One field is set.
type input struct {
	beat   *receivedBeat
	answer *catalogwatch.Result
	pulled *pulls.Result
	asked  *question
	report *report
}

// report is what the service "packets" tells.
type report struct {
	loads   []relay.Load
	samples []relay.Sample
}

type receivedBeat struct {
	from netip.AddrPort
	beat relay.Beat
}

// question is another VM's pull.
type question struct {
	after   int64
	respond func(relay.News)
}

// Service is the service "relay".
type Service struct {
	config  Config
	machine *relay.Machine
	log     logs.Log
	packets Packets
	watch   Watch

	pulls Puller

	conn packets.Socket

	gate *kernel.Gate
	in   *kernel.Ring[input]

	pending      []packets.Input // changes that "packets" had no room for
	watching     bool
	wasRelay     bool
	synced       bool
	nextRegister time.Duration
	nextLoads    time.Duration
	buf          []byte

	beatsSent     atomic.Uint64
	beatsReceived atomic.Uint64
	malformed     atomic.Uint64
	pullCount     atomic.Uint64
	pullsFailed   atomic.Uint64
	pullsAnswered atomic.Uint64
	invalid       atomic.Uint64
	isRelay       atomic.Bool
	watchingNow   atomic.Bool
	revision      atomic.Int64
	age           atomic.Int64
}

// New returns the service.
func New(config Config) *Service {
	return &Service{config: config, machine: relay.New(config.Machine)}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string {
	return []string{logs.Name, packets.Name, catalogwatch.Name, pulls.Name, control.Name}
}

// Setup opens the socket of beats.
func (s *Service) Setup(k *kernel.Kernel) error {
	s.conn = s.config.Socket
	if s.conn == nil {
		at := s.config.Machine.Self.Beats
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
		if err != nil {
			return fmt.Errorf("listen on %s: %w", at, err)
		}
		s.conn = conn
	}
	s.gate = kernel.NewGate()
	s.in = kernel.NewRing[input](k, "relay.in", inputs, kernel.Block, s.gate)
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
	if s.watch, err = kernel.Lookup[Watch](k, catalogwatch.Name); err != nil {
		return err
	}
	if s.pulls, err = kernel.Lookup[Puller](k, pulls.Name); err != nil {
		return err
	}
	mux, err := kernel.Lookup[control.Mux](k, control.Name)
	if err != nil {
		return err
	}
	mux.Handle("GET "+pulls.Path, s.answerPull)
	k.AddDuty(kernel.Duty{Name: "relay.decide", Gate: s.gate, Step: s.step})
	k.AddBlocker(kernel.Blocker{Name: "relay.receive", Run: s.receive, Interrupt: func() { s.conn.Close() }})
	return nil
}

// HandleStoreResult implements catalogwatch.Inbox.
func (s *Service) HandleStoreResult(a catalogwatch.Result) error { return s.in.Put(input{answer: &a}) }

// SetReport takes the work that comes from this VM's callers, by service, and what it
// has seen of targets.
func (s *Service) SetReport(loads []relay.Load, samples []relay.Sample) {
	if s.in.Room() > inputs/2 {
		// The next report replaces one that is left out.
		_ = s.in.Put(input{report: &report{loads: loads, samples: samples}})
	}
}

// receive reads beats until the socket is closed.
func (s *Service) receive(ctx context.Context) error {
	buf := make([]byte, relaywire.MaxBeat+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error of an earlier datagram is reported here; the socket stays usable.
			continue
		}
		if s.Deliver(from, buf[:n]) != nil {
			return nil
		}
	}
}

// Deliver takes the datagram of a beat. It returns an error when the VM is stopping
// or, in a stepped kernel, when too many wait.
func (s *Service) Deliver(from netip.AddrPort, datagram []byte) error {
	beat, err := relaywire.DecodeBeat(datagram)
	if err != nil {
		s.malformed.Add(1)
		s.log.Log(events.BeatMalformed, events.F("from", from), events.F("error", err))
		return nil
	}
	s.beatsReceived.Add(1)
	return s.in.Put(input{beat: &receivedBeat{from: from, beat: beat}})
}

// step takes inputs in, then does what the machine wants.
func (s *Service) step(now time.Duration) time.Duration {
	more := true
	for range batchSize {
		in, ok := s.in.Take()
		if !ok {
			more = false
			break
		}
		s.take(now, in)
	}
	next := s.machine.Tick(now)
	s.perform(now, s.machine.Take())
	next = min(next, s.reportLoads(now), s.register(now))
	if !s.flushPending() {
		next = min(next, now+fullRetry)
	}
	s.publish(now)
	if more {
		return now
	}
	return next
}

func (s *Service) take(now time.Duration, in input) {
	switch {
	case in.beat != nil:
		s.machine.Receive(now, in.beat.from, in.beat.beat)
	case in.answer != nil && in.answer.Err != nil:
		s.machine.StoreFailed(now)
		s.log.Log(events.StoreCallFailed, events.F("error", in.answer.Err))
	case in.answer != nil:
		s.machine.FromStore(now, in.answer.News)
	case in.pulled != nil:
		s.takePulled(now, in.pulled)
	case in.asked != nil:
		in.asked.respond(s.machine.Answer(now, in.asked.after))
	case in.report != nil:
		s.machine.SetLoads(in.report.loads)
		s.machine.SetSamples(in.report.samples)
	}
}

// perform does what the machine wants.
func (s *Service) perform(now time.Duration, out relay.Output) {
	if out.Lost {
		s.log.Log(events.StoreLost, events.F("revision", s.machine.Replica().Revision()))
		s.pending = append(s.pending, packets.Input{Store: packets.StoreLost})
	}
	if out.Regained {
		s.log.Log(events.StoreRegained, events.F("revision", s.machine.Replica().Revision()))
		s.pending = append(s.pending, packets.Input{Store: packets.StoreRegained})
	}
	s.handOn(out.News)
	for _, o := range out.Beats {
		s.send(o)
	}
	if out.Pull != nil {
		s.pulls.Pull(*out.Pull)
	}
	if out.Forget != nil {
		item := *out.Forget
		item.Deleted = true
		s.watch.Write(catalogwatch.Write{Item: item})
		s.log.Log(events.MemberForgotten, events.F("key", item.Key), events.F("revision", item.Revision))
	}
	s.setWatch(now)
}

// setWatch starts or ends the watch of the store.
func (s *Service) setWatch(now time.Duration) {
	revision := s.machine.Replica().Revision()
	if revision == 0 {
		// The first reading is still under way.
		return
	}
	watching := s.machine.Watching(now)
	s.watch.SetSlowRetry(s.machine.Patient())
	if watching != s.watching {
		s.watching = watching
		s.watch.Watch(watching, revision)
	}
	if relays := s.machine.IsRelay(); relays != s.wasRelay {
		s.wasRelay = relays
		s.log.Log(events.RelayChanged, events.F("relay", relays), events.F("revision", revision))
	}
}

// handOn decodes news for "packets".
func (s *Service) handOn(news []relay.Item) {
	for _, item := range news {
		change, ok, err := s.config.Decoder.Decode(item.Key, item.Value, item.Deleted, item.Revision)
		if err != nil {
			s.invalid.Add(1)
			s.log.Log(events.CatalogValueInvalid,
				events.F("key", item.Key),
				events.F("revision", item.Revision),
				events.F("error", err))
		}
		if ok {
			s.pending = append(s.pending, packets.Input{Change: change})
		}
	}
	revision := s.machine.Replica().Revision()
	if !s.synced && revision > 0 {
		s.synced = true
		s.pending = append(s.pending, packets.Input{Change: catalog.Change{Revision: revision, Synced: true}})
	}
}

// flushPending reports whether everything was handed on.
func (s *Service) flushPending() bool {
	for i, in := range s.pending {
		if !s.packets.TryPut(in) {
			s.pending = s.pending[i:]
			return false
		}
	}
	s.pending = s.pending[:0]
	return true
}

func (s *Service) send(o relay.Outgoing) {
	data, err := relaywire.AppendBeat(s.buf[:0], o.Beat)
	if err == nil {
		s.buf = data
		_, err = s.conn.WriteToUDPAddrPort(data, o.To)
	}
	if err != nil {
		s.log.Log(events.BeatSendFailed, events.F("to", o.To), events.F("error", err))
		return
	}
	s.beatsSent.Add(1)
}

// register writes the VM's entry when it is missing.
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

// reportLoads tells "packets" the loads of all domains.
func (s *Service) reportLoads(now time.Duration) time.Duration {
	if now < s.nextLoads {
		return s.nextLoads
	}
	s.nextLoads = now + loadsInterval
	if loads := s.machine.DomainLoads(now); len(loads) > 0 {
		s.packets.TryPut(packets.Input{
			Loads:     loads,
			Samples:   s.machine.DomainSamples(now),
			BusyRelay: s.machine.Subscribers(now) > manySubscribers,
		})
	}
	return s.nextLoads
}

// publish sets what Stats returns.
func (s *Service) publish(now time.Duration) {
	age, _ := s.machine.Age(now)
	s.age.Store(int64(age))
	s.revision.Store(s.machine.Replica().Revision())
	s.isRelay.Store(s.machine.IsRelay())
	s.watchingNow.Store(s.watching)
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	return Stats{
		BeatsSent:     s.beatsSent.Load(),
		BeatsReceived: s.beatsReceived.Load(),
		Malformed:     s.malformed.Load(),
		Pulls:         s.pullCount.Load(),
		PullsFailed:   s.pullsFailed.Load(),
		PullsAnswered: s.pullsAnswered.Load(),
		Invalid:       s.invalid.Load(),
		IsRelay:       s.isRelay.Load(),
		Watching:      s.watchingNow.Load(),
		Revision:      s.revision.Load(),
		Age:           time.Duration(s.age.Load()),
	}
}
