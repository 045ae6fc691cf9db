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

// Names of the services of a client.
const (
	SessionName = "caller.session"
	SocketsName = "caller.sockets"
)

const (
	// inCapacity is the number of received messages that may wait.
	inCapacity = 8192
	// commandCapacity is the number of commands that may wait.
	commandCapacity = 16384
)

// SessionService is the service SessionName. Its methods may be called by any duty;
// their callbacks run on the session's duty and must not wait.
type SessionService struct {
	session  *session.Session
	gate     *kernel.Gate
	in       *kernel.Ring[message.Body]
	commands *kernel.Ring[command]
	sockets  output
	calls    map[session.CallID]func(session.Result)
	opening  map[session.FlowID]func(session.FlowID)
	flows    map[session.FlowID]struct{}
}

// command is work for the session's duty.
type command func(now time.Duration)

// output carries datagrams away; it is the service SocketsName.
type output interface {
	Send(body message.Body)
}

// NewSessionService returns the service around s, which it uses alone from then on.
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
	s.in = kernel.NewRing[message.Body](k, "caller.in", inCapacity, kernel.DropNewest, s.gate)
	s.commands = kernel.NewRing[command](k, "caller.commands", commandCapacity, kernel.Refuse, s.gate)
	return nil
}

// Connect implements kernel.Service.
func (s *SessionService) Connect(k *kernel.Kernel) error {
	var err error
	if s.sockets, err = kernel.Lookup[output](k, SocketsName); err != nil {
		return err
	}
	k.AddDuty(kernel.Duty{Name: SessionName, Gate: s.gate, Step: s.step})
	return nil
}

// Put hands over a received message. A full ring drops and counts it.
func (s *SessionService) Put(body message.Body) error {
	return s.in.Put(body)
}

// CallHandle identifies a call that was submitted. Its content is used by the session's
// duty only.
type CallHandle struct {
	call session.CallID
}

// FlowHandle names a flow that is being opened. Its content is used by the
// session's duty only.
type FlowHandle struct {
	flow session.FlowID
}

// Open opens a flow. opened is called when the flow has its first binding. It
// returns kernel.ErrRingFull when too many commands wait.
func (s *SessionService) Open(service message.ServiceID, opened func(session.FlowID)) (*FlowHandle, error) {
	h := &FlowHandle{}
	err := s.commands.Put(func(now time.Duration) {
		id, out := s.session.OpenFlow(now, service)
		h.flow = id
		s.flows[id] = struct{}{}
		s.opening[id] = opened
		s.take(out)
	})
	return h, err
}

// Abandon closes a flow that may not be open yet.
func (s *SessionService) Abandon(h *FlowHandle) error {
	return s.commands.Put(func(now time.Duration) { s.close(now, h.flow) })
}

// Do starts a call. ended is called once with its result. It returns
// kernel.ErrRingFull when too many commands wait.
func (s *SessionService) Do(flow session.FlowID, call session.Call, ended func(session.Result)) (*CallHandle, error) {
	h := &CallHandle{}
	err := s.commands.Put(func(now time.Duration) {
		id, out, err := s.session.Do(now, flow, call)
		if err != nil {
			ended(session.Result{Flow: flow, Err: err})
			return
		}
		h.call = id
		s.calls[id] = ended
		s.take(out)
	})
	return h, err
}

// Cancel withdraws a call. Its result follows as for every call.
func (s *SessionService) Cancel(h *CallHandle) error {
	return s.commands.Put(func(now time.Duration) {
		s.take(s.session.Cancel(now, h.call))
	})
}

// Close closes a flow; its calls end with session.ErrFlowClosed.
func (s *SessionService) Close(flow session.FlowID) error {
	return s.commands.Put(func(now time.Duration) { s.close(now, flow) })
}

func (s *SessionService) close(now time.Duration, flow session.FlowID) {
	delete(s.flows, flow)
	delete(s.opening, flow)
	s.take(s.session.CloseFlow(now, flow))
}

// Inspect calls f with the session on its duty.
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

// step handles a batch of messages and commands, and what is due.
func (s *SessionService) step(now time.Duration) time.Duration {
	more := s.receive(now)
	if s.runCommands(now) {
		more = true
	}
	s.take(s.session.Tick(now))
	if more {
		return now
	}
	return s.session.NextWake()
}

func (s *SessionService) receive(now time.Duration) bool {
	for range batchSize {
		body, ok := s.in.Take()
		if !ok {
			return false
		}
		s.take(s.session.Receive(now, message.Message{Body: body}))
	}
	return true
}

func (s *SessionService) runCommands(now time.Duration) bool {
	for range batchSize {
		c, ok := s.commands.Take()
		if !ok {
			return false
		}
		c(now)
	}
	return true
}

// take sends messages and reports results. The callbacks must not call the
// session, since out is valid until its next call.
func (s *SessionService) take(out session.Output) {
	for _, m := range out.Messages {
		s.sockets.Send(m.Body)
	}
	for _, r := range out.Results {
		ended := s.calls[r.Call]
		delete(s.calls, r.Call)
		ended(r)
	}
	for _, id := range out.Opened {
		opened := s.opening[id]
		delete(s.opening, id)
		opened(id)
	}
}
