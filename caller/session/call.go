package session

import (
	"fmt"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// phase says what a call waits for.
type phase uint8

const (
	waiting  phase = iota // for the flow's binding
	delayed               // for the time of its next attempt
	inFlight              // for an answer
)

// call is one request from Do to its Result.
type call struct {
	id       CallID
	flow     *flow
	request  Call
	parts    [][]byte
	class    *class
	deadline time.Duration
	alarm    *alarm

	phase     phase
	key       message.RequestID // 0: never sent under the flow's wire id
	attempt   uint32            // last attempt sent
	stamp     message.Binding   // of the attempt, in all its copies
	sentAt    time.Duration
	nextSend  time.Duration
	timeout   time.Duration
	copies    int // transmissions of the attempt
	retries   int
	redirects int
	notRun    []uint32 // attempts refused "not run"
	uncertain bool     // an earlier attempt may have run; idempotent calls only
	answers   map[uint32]*assembly
}

// mayHaveRun reports whether a non-idempotent request has an attempt that was
// sent and not refused "not run".
func (c *call) mayHaveRun() bool {
	return !c.request.Idempotent && c.phase == inFlight
}

// reset forgets what was sent, for a new wire id.
func (c *call) reset() {
	c.uncertain = c.uncertain || c.phase == inFlight
	c.phase = waiting
	c.key = 0
	c.attempt = 0
	c.notRun = nil
	c.answers = nil
}

// start begins a new attempt, or waits for the binding it needs.
func (s *Session) start(c *call) {
	f := c.flow
	if s.needsBinding(c) {
		c.phase = waiting
		s.arm(c)
		if f.state == ready {
			s.ask(f, refreshing, 0)
		}
		return
	}
	if c.key == 0 {
		f.lastID++
		c.key = f.lastID
	}
	c.attempt++
	c.phase = inFlight
	c.stamp = f.binding
	c.sentAt = s.now
	c.copies = 0
	c.timeout = c.class.rto.timeout()
	s.transmit(c)
}

// needsBinding reports whether the call can't be sent with the flow's binding.
func (s *Session) needsBinding(c *call) bool {
	switch {
	case c.flow.state == opening:
		return true
	case c.request.Idempotent:
		return false
	default:
		return c.flow.state == refreshing || s.now-c.flow.confirmed > s.config.IdleRefresh
	}
}

// transmit sends all parts of the attempt.
func (s *Session) transmit(c *call) {
	for i, part := range c.parts {
		s.send(&message.Request{
			Service:    c.flow.service,
			Flow:       c.flow.wire,
			ID:         c.key,
			Kind:       c.request.Kind,
			Idempotent: c.request.Idempotent,
			Attempt:    c.attempt,
			Deadline:   c.deadline - s.now,
			Part:       uint16(i),
			Parts:      uint16(len(c.parts)),
			Binding:    c.stamp,
			Payload:    part,
		})
	}
	s.counters.Requests += uint64(len(c.parts))
	if c.copies > 0 {
		s.counters.Retransmitted += uint64(len(c.parts))
	}
	c.copies++
	c.nextSend = s.now + c.timeout + s.jitter(c.timeout, 0.1)
	c.timeout = min(2*c.timeout, s.config.MaxRTO)
	s.arm(c)
}

// arm sets the call's alarm to the next time at which it needs work.
func (s *Session) arm(c *call) {
	at := c.deadline
	if c.phase != waiting {
		at = min(at, c.nextSend)
	}
	s.alarms.set(c.alarm, at)
}

// callDue handles the call's alarm.
func (s *Session) callDue(c *call) {
	switch {
	case s.now >= c.deadline:
		s.expire(c)
	case c.phase == delayed:
		s.start(c)
	case c.phase == inFlight:
		s.retransmit(c)
	default:
		s.arm(c)
	}
}

func (s *Session) retransmit(c *call) {
	wait := c.class.retransmit.take(s.now, len(c.parts))
	if wait > 0 {
		c.nextSend = s.now + wait
		s.arm(c)
		return
	}
	s.transmit(c)
}

// expire ends a call at its deadline.
func (s *Session) expire(c *call) {
	if c.key == 0 {
		s.counters.NeverSent++
	}
	s.sendCancel(c)
	s.fail(c, withOutcome(c, ErrDeadline))
}

// withOutcome adds to err what is known about the execution.
func withOutcome(c *call, err error) error {
	switch {
	case c.mayHaveRun():
		return fmt.Errorf("%w: %w", err, ErrMayHaveRun)
	case c.phase != inFlight && !c.uncertain:
		return fmt.Errorf("%w: %w", err, ErrNotRun)
	default:
		return err
	}
}

// sendCancel withdraws the attempt in flight.
func (s *Session) sendCancel(c *call) {
	if c.phase != inFlight {
		return
	}
	s.send(&message.Cancel{Service: c.flow.service, Flow: c.flow.wire, ID: c.key, Binding: c.stamp})
}

func (s *Session) fail(c *call, err error) {
	s.end(c, nil, err)
}

// end reports the call's result and forgets the call.
func (s *Session) end(c *call, payload []byte, err error) {
	s.out.Results = append(s.out.Results, Result{
		Call:    c.id,
		Flow:    c.flow.handle,
		Key:     message.RequestKey{Flow: c.flow.wire, ID: c.key},
		Attempt: c.attempt,
		Target:  c.flow.binding.Target,
		Payload: payload,
		Err:     err,
	})
	s.alarms.stop(c.alarm)
	delete(s.calls, c.id)
	c.flow.calls = slices.DeleteFunc(c.flow.calls, func(other *call) bool { return other == c })
}
