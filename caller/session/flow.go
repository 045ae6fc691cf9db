package session

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// flowState is the state of a flow's binding.
type flowState uint8

const (
	opening    flowState = iota // no binding; requests wait for Bound
	ready                       // bound
	refreshing                  // bound; non-idempotent requests wait for the next Bound
)

// flow is one flow to a service.
type flow struct {
	id            FlowID
	wireID        message.FlowID
	service       message.ServiceID
	state         flowState
	announced     bool // listed in Output.Opened
	binding       message.Binding
	confirmedAt   time.Duration // when a VM last confirmed the binding
	lastRequestID message.RequestID
	reopens       int     // since a reply to a request last confirmed the binding
	calls         []*call // in order of creation
	timer         *timer  // next Open
	openedAt      time.Duration
	opensSent     int // Open datagrams since openedAt
	timeout       time.Duration
}

// openWithID discards the binding and opens the flow under a new wire id after a
// delay.
func (s *Session) openWithID(f *flow, wireID message.FlowID, delay time.Duration) {
	delete(s.byWireID, f.wireID)
	f.wireID = wireID
	f.binding = message.Binding{}
	f.lastRequestID = 0
	s.byWireID[wireID] = f
	s.requestBinding(f, opening, delay)
}

// requestBinding sends Open after a delay and repeats it until Bound arrives, or until no
// call waits for the binding if state is refreshing.
func (s *Session) requestBinding(f *flow, state flowState, delay time.Duration) {
	f.state = state
	f.openedAt = s.now + delay
	f.opensSent = 0
	f.timeout = s.openKindState(f).rto.timeout()
	if delay > 0 {
		s.timers.set(f.timer, f.openedAt)
		return
	}
	s.sendOpen(f)
}

// openKindState returns the state that all Opens to the flow's service share.
func (s *Session) openKindState(f *flow) *kindState {
	return s.kindStateOf(f.service, -1)
}

// handleFlowTimer sends the next Open. It ends a refresh that no call waits for.
func (s *Session) handleFlowTimer(f *flow) {
	switch {
	case f.state == ready:
	case f.state == refreshing && !f.hasAwaitingCall():
		f.state = ready
	default:
		s.sendOpen(f)
	}
}

func (f *flow) hasAwaitingCall() bool {
	for _, c := range f.calls {
		if c.phase == awaitingBinding {
			return true
		}
	}
	return false
}

func (s *Session) sendOpen(f *flow) {
	open := &message.Open{Service: f.service, Flow: f.wireID}
	if f.state == refreshing {
		open.Refresh = true
		open.Binding = f.binding
	}
	s.send(open, 0, f.opensSent)
	s.counters.Opens++
	f.opensSent++
	s.timers.set(f.timer, s.now+f.timeout+s.jitter(f.timeout, 0.25))
	f.timeout = min(2*f.timeout, s.config.MaxRTO)
}

// handleBound accepts the first binding in reply to an Open. Later ones are dropped,
// since VMs with different views may name different targets.
func (s *Session) handleBound(m *message.Bound) {
	f, ok := s.byWireID[m.Flow]
	if !ok {
		s.counters.Unknown++
		return
	}
	if f.state == ready || m.Binding.IsZero() {
		s.counters.Dropped++
		return
	}
	if f.opensSent == 1 {
		s.openKindState(f).rto.addSample(s.now - f.openedAt)
	}
	f.state = ready
	f.binding = m.Binding
	f.confirmedAt = s.now
	s.timers.stop(f.timer)
	if !f.announced {
		f.announced = true
		s.out.Opened = append(s.out.Opened, f.id)
	}
	s.startAwaitingCalls(f)
}

func (s *Session) startAwaitingCalls(f *flow) {
	for _, c := range f.calls {
		if c.phase == awaitingBinding {
			s.startAttempt(c)
		}
	}
}

// handleOpenRefusal handles the refusal of an Open or a refresh.
func (s *Session) handleOpenRefusal(f *flow, m *message.Refusal) {
	if f.state == ready {
		s.counters.Dropped++
		return
	}
	if m.Reason == message.FlowUnknown && f.state == refreshing {
		s.reopenLostFlow(f)
		return
	}
	// Every other refusal of an Open is temporary: the table of the VM that refused
	// may not hold the service yet.
	delay := max(m.RetryAfter, f.timeout, minRetryDelay)
	s.timers.set(f.timer, s.now+delay+s.jitter(delay, 0.25))
}

// reopenLostFlow reopens a flow whose target was lost, under a new wire id.
// Non-idempotent requests that may have been executed fail; all others are sent
// again.
func (s *Session) reopenLostFlow(f *flow) {
	s.counters.Broken++
	for i := 0; i < len(f.calls); {
		c := f.calls[i]
		if c.mayHaveRun() {
			s.fail(c, ErrMayHaveRun)
			continue
		}
		c.reset()
		s.setCallTimer(c)
		i++
	}
	delay := s.reopenDelay(f)
	f.reopens++
	s.openWithID(f, s.newWireID(), delay)
}

// reopenDelay returns the delay before a flow is reopened. It is 0 the first time,
// so that the loss of a target costs one round trip, and grows while the flow is
// lost again before a reply to a request confirms its binding.
func (s *Session) reopenDelay(f *flow) time.Duration {
	if f.reopens == 0 {
		return 0
	}
	return s.backoff.Delay(f.reopens, 0)
}

// updateBinding replaces the flow's binding by that in a reply, if the attempt was
// sent with the current one. The reply to an attempt with an older binding may itself
// name one that is older than the current binding.
func (s *Session) updateBinding(f *flow, attemptBinding, binding message.Binding) {
	if binding.IsZero() || attemptBinding != f.binding {
		return
	}
	f.binding = binding
	f.confirmedAt = s.now
	f.reopens = 0
}
