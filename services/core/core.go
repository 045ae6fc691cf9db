// Package core is the service "core": it runs one VM's decisions on one duty,
// fed by bounded rings and sending through the services "udp" and "peers".
package core

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/logs"
)

// Names of the services that core uses.
const (
	Name      = "core"
	UDPName   = "udp"
	PeersName = "peers"
)

const (
	// callerClasses is the number of rings for callers' messages. Services and
	// kinds are hashed to them, so that a flood of one kind fills one ring only.
	callerClasses = 8
	// ringCapacity is the number of messages in one ring.
	ringCapacity = 4096
	// turnSize is the number of messages taken from one ring in its turn.
	turnSize = 32
	// tickInterval is the time between two ticks of the decisions.
	tickInterval = 10 * time.Millisecond
)

// Machine is one VM's decisions. Returned slices are valid until the next call.
type Machine interface {
	Receive(now time.Duration, m message.Message) []message.Message
	Tick(now time.Duration) []message.Message
	// Leave starts the planned leave; HasLeft reports its end.
	Leave(now time.Duration) []message.Message
	HasLeft() bool
}

// Output is a service that carries messages away: "udp" or "peers". Send never
// waits; a full ring drops the message and counts it.
type Output interface {
	Send(m message.Message)
}

// Service is the service "core".
type Service struct {
	machine  Machine
	gate     *kernel.Gate
	callers  [callerClasses]*kernel.Ring[message.Message]
	answers  *kernel.Ring[message.Message]
	control  *kernel.Ring[message.Message]
	commands *kernel.Ring[Command]
	turns    []*kernel.Ring[message.Message]
	udp      Output
	log      logs.Log // nil when there is none
	noticer  Noticer  // nil when the machine has no notices
	peers    Output
	nextTick time.Duration
	left     chan struct{}
	leaving  bool
}

// Command is work for the core duty that is not a message, such as a question
// of the admin service.
type Command func(now time.Duration, machine Machine) []message.Message

// New returns the service for machine.
func New(machine Machine) *Service {
	noticer, _ := machine.(Noticer)
	return &Service{machine: machine, noticer: noticer, left: make(chan struct{})}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service. The outputs outlive core, so that a planned
// leave can still send.
func (s *Service) Needs() []string { return []string{UDPName, PeersName} }

// Setup implements kernel.Service.
func (s *Service) Setup(k *kernel.Kernel) error {
	s.gate = kernel.NewGate()
	for i := range s.callers {
		name := fmt.Sprintf("core.callers.%d", i)
		s.callers[i] = kernel.NewRing[message.Message](k, name, ringCapacity, kernel.DropNewest, s.gate)
	}
	s.answers = kernel.NewRing[message.Message](k, "core.answers", ringCapacity, kernel.DropNewest, s.gate)
	s.control = kernel.NewRing[message.Message](k, "core.control", ringCapacity, kernel.Block, s.gate)
	s.commands = kernel.NewRing[Command](k, "core.commands", ringCapacity, kernel.Refuse, s.gate)
	s.turns = append(s.turns, s.control, s.answers)
	s.turns = append(s.turns, s.callers[:]...)
	return nil
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	var err error
	if s.udp, err = kernel.Lookup[Output](k, UDPName); err != nil {
		return err
	}
	if s.peers, err = kernel.Lookup[Output](k, PeersName); err != nil {
		return err
	}
	// A stepped fleet may have no log; the notices are then discarded.
	if s.log, err = kernel.Lookup[logs.Log](k, logs.Name); err != nil && !errors.Is(err, kernel.ErrUnknownService) {
		return err
	}
	k.AddDuty(kernel.Duty{Name: "core", Gate: s.gate, Step: s.step})
	return nil
}

// Put hands a message to the decisions. Messages of callers and targets are
// dropped when their ring is full; control messages wait.
func (s *Service) Put(m message.Message) error {
	return s.ringFor(m.Body).Put(m)
}

// Do runs a command on the core duty. It returns kernel.ErrRingFull when too
// many commands wait.
func (s *Service) Do(c Command) error {
	return s.commands.Put(c)
}

// ringFor returns the ring that isolates the message's class of work.
func (s *Service) ringFor(body message.Body) *kernel.Ring[message.Message] {
	switch m := body.(type) {
	case *message.Forward:
		return s.ringFor(m.Inner)
	case *message.Open:
		return s.callers[classOf(m.Service, 0)]
	case *message.Request:
		return s.callers[classOf(m.Service, m.Kind)]
	case *message.Cancel:
		return s.callers[classOf(m.Service, 0)]
	case *message.Close:
		return s.callers[classOf(m.Service, 0)]
	case *message.Answer, *message.Shed, *message.KindClosed:
		return s.answers
	default:
		return s.control
	}
}

func classOf(service message.ServiceID, kind message.KindID) uint64 {
	return rendezvous.Mix(uint64(service), uint64(kind)) % callerClasses
}

// step serves each ring for one turn, in order.
func (s *Service) step(now time.Duration) time.Duration {
	if now >= s.nextTick {
		s.nextTick = now + tickInterval
		s.send(s.machine.Tick(now))
	}
	more := s.runCommands(now)
	for _, ring := range s.turns {
		if s.serve(now, ring) {
			more = true
		}
	}
	s.logNotices()
	s.noteLeft()
	if more {
		return now
	}
	return s.nextTick
}

// serve handles up to turnSize messages and reports whether more may wait.
func (s *Service) serve(now time.Duration, ring *kernel.Ring[message.Message]) bool {
	for range turnSize {
		m, ok := ring.Take()
		if !ok {
			return false
		}
		s.send(s.machine.Receive(now, m))
	}
	return true
}

func (s *Service) runCommands(now time.Duration) bool {
	for range turnSize {
		c, ok := s.commands.Take()
		if !ok {
			return false
		}
		s.send(c(now, s.machine))
	}
	return true
}

func (s *Service) send(out []message.Message) {
	for _, m := range out {
		if message.IsControl(m.Body) {
			s.peers.Send(m)
			continue
		}
		s.udp.Send(m)
	}
}

func (s *Service) noteLeft() {
	if s.leaving && s.machine.HasLeft() {
		s.leaving = false
		close(s.left)
	}
}

// BeginLeave starts the planned leave without waiting for its end.
func (s *Service) BeginLeave() error {
	return s.Do(func(now time.Duration, m Machine) []message.Message {
		s.leaving = true
		return m.Leave(now)
	})
}

// Stop implements kernel.Stopper: it performs the planned leave.
func (s *Service) Stop(ctx context.Context) error {
	if err := s.BeginLeave(); err != nil {
		return err
	}
	select {
	case <-s.left:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("planned leave: %w", ctx.Err())
	}
}
