package caller

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
)

// Names of a client's kernel services.
const (
	SessionName = "caller.session"
	SocketsName = "caller.sockets"
)

const (
	// receiveQueueSize is the capacity of the queue of received messages.
	receiveQueueSize = 8192
	// commandQueueSize is the capacity of the queue of commands.
	commandQueueSize = 16384
)

// SessionService is the kernel service SessionName. Its methods are safe for
// concurrent use; their callbacks run on the session's duty and must not block.
type SessionService struct {
	session  *session.Session
	gate     *kernel.Gate
	in       *kernel.Ring[message.Body]
	commands *kernel.Ring[command]
	sockets  datagramSender
	calls    map[session.CallID]func(session.Result) // callbacks of calls in progress
	opening  map[session.FlowID]func(session.FlowID) // callbacks of flows not opened yet
	flows    map[session.FlowID]struct{}
}

// command is a function that is queued to run on the session's duty.
type command func(now time.Duration)

// datagramSender sends datagrams; the service SocketsName implements it.
type datagramSender interface {
	Send(m session.Outgoing)
}

// NewSessionService returns the service of s, which the caller must not use any more.
func NewSessionService(s *session.Session) *SessionService {
	return &SessionService{
		session: s,
		calls:   make(map[session.CallID]func(session.Result)),
		opening: make(map[session.FlowID]func(session.FlowID)),
		flows:   make(map[session.FlowID]struct{}),
	}
}

// Name implements kernel.Service.
func (s *SessionService) Name() string { return SessionName }

// Dependencies implements kernel.Service.
func (s *SessionService) Dependencies() []string { return []string{SocketsName} }

// Setup implements kernel.Service.
func (s *SessionService) Setup(k *kernel.Kernel) error {
	s.gate = kernel.NewGate()
	s.in = kernel.NewRing[message.Body](k, "caller.in", receiveQueueSize, kernel.DropNewest, s.gate)
	s.commands = kernel.NewRing[command](k, "caller.commands", commandQueueSize, kernel.Refuse, s.gate)
	return nil
}

// Connect implements kernel.Service.
func (s *SessionService) Connect(k *kernel.Kernel) error {
	var err error
	if s.sockets, err = kernel.Lookup[datagramSender](k, SocketsName); err != nil {
		return err
	}
	k.AddDuty(kernel.Duty{Name: SessionName, Gate: s.gate, Step: s.step})
	return nil
}

// Put queues a received message. If the queue is full, the message is dropped and
// counted.
func (s *SessionService) Put(body message.Body) error {
	return s.in.Put(body)
}

// CallHandle identifies a call that was submitted. Only the session's duty reads and
// writes its fields.
type CallHandle struct {
	call session.CallID
}

// FlowHandle identifies a flow that is being opened. Only the session's duty reads
// and writes its fields.
type FlowHandle struct {
	flow session.FlowID
}

// Open opens a flow and calls onOpened when the flow has its first binding. It returns
// kernel.ErrRingFull if the command queue is full.
func (s *SessionService) Open(service message.ServiceID, onOpened func(session.FlowID)) (*FlowHandle, error) {
	h := &FlowHandle{}
	err := s.commands.Put(func(now time.Duration) {
		id, out := s.session.OpenFlow(now, service)
		h.flow = id
		s.flows[id] = struct{}{}
		s.opening[id] = onOpened
		s.handleOutput(out)
	})
	return h, err
}

// Abandon closes a flow that may not be open yet.
func (s *SessionService) Abandon(h *FlowHandle) error {
	return s.commands.Put(func(now time.Duration) { s.close(now, h.flow) })
}

// Do starts a call and calls onResult once with its result. It returns
// kernel.ErrRingFull if the command queue is full.
func (s *SessionService) Do(flow session.FlowID, call session.Call, onResult func(session.Result)) (*CallHandle, error) {
	h := &CallHandle{}
	err := s.commands.Put(func(now time.Duration) {
		id, out, err := s.session.Do(now, flow, call)
		if err != nil {
			onResult(session.Result{Flow: flow, Err: err})
			return
		}
		h.call = id
		s.calls[id] = onResult
		s.handleOutput(out)
	})
	return h, err
}

// Cancel cancels a call, which then ends with session.ErrCancelled.
func (s *SessionService) Cancel(h *CallHandle) error {
	return s.commands.Put(func(now time.Duration) {
		s.handleOutput(s.session.Cancel(now, h.call))
	})
}

// Close closes a flow; its calls end with session.ErrFlowClosed.
func (s *SessionService) Close(flow session.FlowID) error {
	return s.commands.Put(func(now time.Duration) { s.close(now, flow) })
}

func (s *SessionService) close(now time.Duration, flow session.FlowID) {
	delete(s.flows, flow)
	delete(s.opening, flow)
	s.handleOutput(s.session.CloseFlow(now, flow))
}

// Inspect calls f with the session, on the session's duty.
func (s *SessionService) Inspect(f func(*session.Session)) error {
	return s.commands.Put(func(time.Duration) { f(s.session) })
}

// Stop implements kernel.Stopper: it closes all flows.
func (s *SessionService) Stop(ctx context.Context) error {
	done := make(chan struct{})
	err := s.commands.Put(func(now time.Duration) {
		for _, flow := range slices.Sorted(maps.Keys(s.flows)) {
			s.close(now, flow)
		}
		close(done)
	})
	if err != nil {
		return fmt.Errorf("close flows: %w", err)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("close flows: %w", ctx.Err())
	}
}

// step handles a batch of messages and commands and the expired timers.
func (s *SessionService) step(now time.Duration) time.Duration {
	more := s.receive(now)
	if s.runCommands(now) {
		more = true
	}
	s.handleOutput(s.session.Tick(now))
	if more {
		return now
	}
	return s.session.NextWake()
}

func (s *SessionService) receive(now time.Duration) bool {
	for range maxBatch {
		body, ok := s.in.Take()
		if !ok {
			return false
		}
		s.handleOutput(s.session.Receive(now, message.Message{Body: body}))
	}
	return true
}

func (s *SessionService) runCommands(now time.Duration) bool {
	for range maxBatch {
		c, ok := s.commands.Take()
		if !ok {
			return false
		}
		c(now)
	}
	return true
}

// handleOutput sends the messages and calls the callbacks. These must not call the
// session, since out is only valid until the next call of its methods.
func (s *SessionService) handleOutput(out session.Output) {
	for _, m := range out.Messages {
		s.sockets.Send(m)
	}
	for _, r := range out.Results {
		onResult := s.calls[r.Call]
		delete(s.calls, r.Call)
		onResult(r)
	}
	for _, id := range out.Opened {
		onOpened := s.opening[id]
		delete(s.opening, id)
		onOpened(id)
	}
}
