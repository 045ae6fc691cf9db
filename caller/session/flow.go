package session

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// flowState says whether a flow may send.
type flowState uint8

const (
	opening    flowState = iota // no binding yet: nothing may be sent
	ready                       // bound
	refreshing                  // bound, but non-idempotent requests wait for Bound
)

// flow is one flow to a service.
type flow struct {
	handle    FlowID
	wire      message.FlowID
	service   message.ServiceID
	state     flowState
	announced bool // listed in Output.Opened
	binding   message.Binding
	confirmed time.Duration // when a VM last confirmed the binding
	lastID    message.RequestID
	reopens   int     // since the last confirmed binding
	calls     []*call // in order of creation
	alarm     *alarm  // next Open
	openedAt  time.Duration
	opens     int // Open datagrams since openedAt
	timeout   time.Duration
}

// openAs starts the flow under a new wire id after a delay.
func (s *Session) openAs(f *flow, wire message.FlowID, delay time.Duration) {
	delete(s.byWire, f.wire)
	f.wire = wire
	f.binding = message.Binding{}
	f.lastID = 0
	s.byWire[wire] = f
	s.ask(f, opening, delay)
}

// ask starts to send Open until Bound comes.
func (s *Session) ask(f *flow, state flowState, delay time.Duration) {
	f.state = state
	f.openedAt = s.now + delay
	f.opens = 0
	f.timeout = s.openClass(f).rto.timeout()
	if delay > 0 {
		s.alarms.set(f.alarm, f.openedAt)
		return
	}
	s.sendOpen(f)
}

func (s *Session) openClass(f *flow) *class {
	return s.classOf(f.service, -1)
}

// flowDue sends the next Open. A refresh that no call waits for is given up.
func (s *Session) flowDue(f *flow) {
	switch {
	case f.state == ready:
	case f.state == refreshing && !f.hasWaiting():
		f.state = ready
	default:
		s.sendOpen(f)
	}
}

func (f *flow) hasWaiting() bool {
	for _, c := range f.calls {
		if c.phase == waiting {
			return true
		}
	}
	return false
}

func (s *Session) sendOpen(f *flow) {
	open := &message.Open{Service: f.service, Flow: f.wire}
	if f.state == refreshing {
		open.Refresh = true
		open.Binding = f.binding
	}
	s.send(open)
	s.counters.Opens++
	f.opens++
	s.alarms.set(f.alarm, s.now+f.timeout+s.jitter(f.timeout, 0.25))
	f.timeout = min(2*f.timeout, s.config.MaxRTO)
}

// bound keeps the first binding of an Open. Later ones are dropped: VMs with
// different views may name different targets.
func (s *Session) bound(m *message.Bound) {
	f, ok := s.byWire[m.Flow]
	if !ok {
		s.counters.Unknown++
		return
	}
	if f.state == ready || m.Binding.IsZero() {
		s.counters.Dropped++
		return
	}
	if f.opens == 1 {
		s.openClass(f).rto.sample(s.now - f.openedAt)
	}
	f.state = ready
	f.binding = m.Binding
	f.confirmed = s.now
	s.alarms.stop(f.alarm)
	if !f.announced {
		f.announced = true
		s.out.Opened = append(s.out.Opened, f.handle)
	}
	s.startWaiting(f)
}

func (s *Session) startWaiting(f *flow) {
	for _, c := range f.calls {
		if c.phase == waiting {
			s.start(c)
		}
	}
}

// openRefused handles a refusal of an Open or a refresh.
func (s *Session) openRefused(f *flow, m *message.Refusal) {
	if f.state == ready {
		s.counters.Dropped++
		return
	}
	if m.Reason == message.FlowUnknown && f.state == refreshing {
		s.breakFlow(f)
		return
	}
	// Every other refusal of an Open is temporary: the service may be on its way
	// into the table of the VM that refused.
	pause := max(m.RetryAfter, f.timeout, minPause)
	s.alarms.set(f.alarm, s.now+pause+s.jitter(pause, 0.25))
}

// breakFlow reopens a flow whose target was lost. Requests that may have been
// executed fail, unless they are idempotent; the others run again.
func (s *Session) breakFlow(f *flow) {
	s.counters.Broken++
	for i := 0; i < len(f.calls); {
		c := f.calls[i]
		if c.mayHaveRun() {
			s.fail(c, ErrMayHaveRun)
			continue
		}
		c.reset()
		s.arm(c)
		i++
	}
	delay := s.reopenDelay(f)
	f.reopens++
	s.openAs(f, s.newWireID(), delay)
}

// reopenDelay is zero for the first reopening, so that a lost target costs one
// round trip, and grows while reopened flows break without an answer.
func (s *Session) reopenDelay(f *flow) time.Duration {
	if f.reopens == 0 {
		return 0
	}
	return s.backoff.Delay(f.reopens, 0)
}

// learn replaces the binding if the sender answered to the current one. The
// answer to an older stamp may itself be older than the current binding.
func (s *Session) learn(f *flow, stamp, binding message.Binding) {
	if binding.IsZero() || stamp != f.binding {
		return
	}
	f.binding = binding
	f.confirmed = s.now
	f.reopens = 0
}
