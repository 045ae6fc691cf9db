// Package core is the service "core": it runs the state machine of one VM on one duty.
// Inputs arrive through bounded rings; outputs are sent by the services "udp" and "peers".
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

// Name is the service's name; UDPName and PeersName are those of the services that send
// its messages.
const (
	Name      = "core"
	UDPName   = "udp"
	PeersName = "peers"
)

const (
	// callerRingCount is the number of rings for callers' messages. A message's ring is a
	// hash of its service and request kind (0 for messages that have none), so that a flood
	// of one kind fills one ring only.
	callerRingCount = 8
	// ringCapacity is the number of messages or commands that may be queued in one ring.
	ringCapacity = 4096
	// batchSize bounds the messages or commands handled from one ring in one step.
	batchSize = 32
	// tickInterval is the minimum time between two ticks of the state machine.
	tickInterval = 10 * time.Millisecond
)

// Machine is the state machine of one VM. Its methods return the messages to send;
// returned slices are valid until the next call.
type Machine interface {
	Receive(now time.Duration, m message.Message) []message.Message
	Tick(now time.Duration) []message.Message
	// Leave starts the planned leave; HasLeft reports whether it has ended.
	Leave(now time.Duration) []message.Message
	HasLeft() bool
}

// Output is a service that sends messages: "udp" or "peers". Send never blocks; if its
// ring is full, the message is dropped and counted.
type Output interface {
	Send(m message.Message)
}

// Service is the service "core".
type Service struct {
	machine  Machine
	gate     *kernel.Gate
	callers  [callerRingCount]*kernel.Ring[message.Message]
	answers  *kernel.Ring[message.Message]
	control  *kernel.Ring[message.Message]
	commands *kernel.Ring[Command]
	rings    []*kernel.Ring[message.Message] // control, answers, callers: the order of handling
	udp      Output
	log      logs.Log // nil when there is none
	noticer  Noticer  // nil when the machine has no notices
	peers    Output
	nextTick time.Duration
	left     chan struct{} // closed when the planned leave has ended
	leaving  bool          // a planned leave was started
	hasLeft  bool          // left is closed
}

// Command is a function that runs on the core duty, such as a query of the service
// "admin". It returns messages to send.
type Command func(now time.Duration, machine Machine) []message.Message

// New returns the service for machine.
func New(machine Machine) *Service {
	noticer, _ := machine.(Noticer)
	return &Service{machine: machine, noticer: noticer, left: make(chan struct{})}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service. The outputs stop after core, so that messages can be
// sent during a planned leave.
func (s *Service) Dependencies() []string { return []string{UDPName, PeersName} }

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
	s.rings = append(s.rings, s.control, s.answers)
	s.rings = append(s.rings, s.callers[:]...)
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
	// A stepped kernel may have no log; notices are then discarded.
	if s.log, err = kernel.Lookup[logs.Log](k, logs.Name); err != nil && !errors.Is(err, kernel.ErrUnknownService) {
		return err
	}
	k.AddDuty(kernel.Duty{Name: "core", Gate: s.gate, Step: s.step})
	return nil
}

// Put queues a message for the state machine. Messages of callers and targets, Forward and
// KindClosed are dropped if their ring is full. All others, the platform's included, share
// one ring: Put blocks while it is full, or returns kernel.ErrRingFull in a stepped kernel.
// It returns kernel.ErrRingClosed after core has stopped.
func (s *Service) Put(m message.Message) error {
	return s.ringFor(m.Body).Put(m)
}

// Do queues a command for the core duty. It returns kernel.ErrRingFull if the ring of
// commands is full, and kernel.ErrRingClosed after core has stopped.
func (s *Service) Do(c Command) error {
	return s.commands.Put(c)
}

// ringFor returns the ring of a message. Separate rings keep a flood of one class of
// messages from delaying the others.
func (s *Service) ringFor(body message.Body) *kernel.Ring[message.Message] {
	switch m := body.(type) {
	case *message.Forward:
		return s.ringFor(m.Inner)
	case *message.Open:
		return s.callers[callerRingIndex(m.Service, 0)]
	case *message.Request:
		return s.callers[callerRingIndex(m.Service, m.Kind)]
	case *message.Cancel:
		return s.callers[callerRingIndex(m.Service, 0)]
	case *message.Close:
		return s.callers[callerRingIndex(m.Service, 0)]
	case *message.Answer, *message.Shed, *message.KindClosed:
		return s.answers
	default:
		return s.control
	}
}

func callerRingIndex(service message.ServiceID, kind message.KindID) uint64 {
	return rendezvous.Mix(uint64(service), uint64(kind)) % callerRingCount
}

// step ticks the machine if that is due, then handles a batch of commands and a batch of
// messages from each ring, control messages first.
func (s *Service) step(now time.Duration) time.Duration {
	if now >= s.nextTick {
		s.nextTick = now + tickInterval
		s.send(s.machine.Tick(now))
	}
	more := s.runCommands(now)
	for _, ring := range s.rings {
		if s.serve(now, ring) {
			more = true
		}
	}
	s.logNotices()
	s.signalLeft()
	if more {
		return now
	}
	return s.nextTick
}

// serve handles up to batchSize messages of a ring and reports whether more may be queued.
func (s *Service) serve(now time.Duration, ring *kernel.Ring[message.Message]) bool {
	for range batchSize {
		m, ok := ring.Take()
		if !ok {
			return false
		}
		s.send(s.machine.Receive(now, m))
	}
	return true
}

// runCommands runs up to batchSize commands and reports whether more may be queued.
func (s *Service) runCommands(now time.Duration) bool {
	for range batchSize {
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

// signalLeft closes s.left when the planned leave that BeginLeave started has ended.
func (s *Service) signalLeft() {
	if s.leaving && !s.hasLeft && s.machine.HasLeft() {
		s.hasLeft = true
		close(s.left)
	}
}

// BeginLeave starts the planned leave and does not wait for its end. It returns an error of
// Do. Once the leave was started, it has no effect.
func (s *Service) BeginLeave() error {
	return s.Do(func(now time.Duration, m Machine) []message.Message {
		if s.leaving {
			return nil
		}
		s.leaving = true
		return m.Leave(now)
	})
}

// Stop implements kernel.Stopper: it performs the planned leave. It returns an error if
// the leave can't be started or does not end before ctx.
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
