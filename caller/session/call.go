package session

import (
	"fmt"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// phase is the state of a call, named after what it waits for.
type phase uint8

const (
	awaitingBinding phase = iota // the flow has no usable binding
	awaitingRetry                // the delay before the next attempt
	inFlight                     // an attempt was sent and has no answer or refusal
)

// call is the state of one request between Do and its Result.
type call struct {
	id        CallID
	flow      *flow
	request   Call
	parts     [][]byte
	kindState *kindState
	deadline  time.Duration
	timer     *timer

	phase             phase
	requestID         message.RequestID // 0: never sent under the flow's current wire id
	attempt           uint32            // number of the last attempt
	attemptBinding    message.Binding   // sent in all transmissions of the attempt
	sentAt            time.Duration
	nextSend          time.Duration // when to send again: a retransmission or the next attempt
	timeout           time.Duration // between the next two transmissions, without jitter
	transmissions     int           // of the attempt
	copies            int           // transmissions of all attempts
	retries           int           // attempts scheduled after a refusal
	redirects         int           // attempts not charged to the retry budget
	notRunAttempts    []uint32      // attempts refused with message.NotRun
	earlierMayHaveRun bool          // an earlier attempt may have run; idempotent calls only
	answers           map[uint32]*assembly
}

// mayHaveRun reports whether a non-idempotent request has an attempt that was
// sent and not refused with message.NotRun.
func (c *call) mayHaveRun() bool {
	return !c.request.Idempotent && c.phase == inFlight
}

// reset clears the state of the attempts, before the flow gets a new wire id.
func (c *call) reset() {
	c.earlierMayHaveRun = c.earlierMayHaveRun || c.phase == inFlight
	c.phase = awaitingBinding
	c.requestID = 0
	c.attempt = 0
	c.notRunAttempts = nil
	c.answers = nil
}

// startAttempt sends a new attempt, or requests the binding that it needs first.
func (s *Session) startAttempt(c *call) {
	f := c.flow
	if s.needsBinding(c) {
		c.phase = awaitingBinding
		s.setCallTimer(c)
		if f.state == ready {
			s.requestBinding(f, refreshing, 0)
		}
		return
	}
	if c.requestID == 0 {
		f.lastRequestID++
		c.requestID = f.lastRequestID
	}
	c.attempt++
	c.phase = inFlight
	c.attemptBinding = f.binding
	c.sentAt = s.now
	c.transmissions = 0
	c.timeout = c.kindState.rto.timeout()
	s.transmit(c)
}

// needsBinding reports whether the call must wait for a new binding of its flow. A
// non-idempotent request needs one that was confirmed within Config.IdleRefresh.
func (s *Session) needsBinding(c *call) bool {
	switch {
	case c.flow.state == opening:
		return true
	case c.request.Idempotent:
		return false
	default:
		return c.flow.state == refreshing || s.now-c.flow.confirmedAt > s.config.IdleRefresh
	}
}

// transmit sends all parts of the attempt and schedules the retransmission.
func (s *Session) transmit(c *call) {
	for i, part := range c.parts {
		variant := uint64(c.requestID)*message.MaxParts + uint64(i)
		s.send(&message.Request{
			Service:    c.flow.service,
			Flow:       c.flow.wireID,
			ID:         c.requestID,
			Kind:       c.request.Kind,
			Idempotent: c.request.Idempotent,
			Attempt:    c.attempt,
			Deadline:   c.deadline - s.now,
			Part:       uint16(i),
			Parts:      uint16(len(c.parts)),
			Binding:    c.attemptBinding,
			Payload:    part,
		}, variant, c.copies)
	}
	s.counters.Requests += uint64(len(c.parts))
	if c.transmissions > 0 {
		s.counters.Retransmitted += uint64(len(c.parts))
	}
	c.transmissions++
	c.copies++
	c.nextSend = s.now + c.timeout + s.jitter(c.timeout, 0.1)
	c.timeout = min(2*c.timeout, s.config.MaxRTO)
	s.setCallTimer(c)
}

// setCallTimer sets the call's timer to its next transmission or its deadline.
func (s *Session) setCallTimer(c *call) {
	at := c.deadline
	if c.phase != awaitingBinding {
		at = min(at, c.nextSend)
	}
	s.timers.set(c.timer, at)
}

// handleCallTimer handles the expiry of a call's timer.
func (s *Session) handleCallTimer(c *call) {
	switch {
	case s.now >= c.deadline:
		s.expire(c)
	case c.phase == awaitingRetry:
		s.startAttempt(c)
	case c.phase == inFlight:
		s.retransmit(c)
	default:
		s.setCallTimer(c)
	}
}

// retransmit sends the attempt again, as soon as the limit of its kind allows.
func (s *Session) retransmit(c *call) {
	wait := c.kindState.retransmitLimit.take(s.now, len(c.parts))
	if wait > 0 {
		c.nextSend = s.now + wait
		s.setCallTimer(c)
		return
	}
	s.transmit(c)
}

// expire ends a call at its deadline.
func (s *Session) expire(c *call) {
	if c.requestID == 0 {
		s.counters.NeverSent++
	}
	s.sendCancel(c)
	s.fail(c, withOutcome(c, ErrDeadline))
}

// withOutcome wraps err with ErrMayHaveRun or ErrNotRun if one of them is known to
// apply to the call.
func withOutcome(c *call, err error) error {
	switch {
	case c.mayHaveRun():
		return fmt.Errorf("%w: %w", err, ErrMayHaveRun)
	case c.phase != inFlight && !c.earlierMayHaveRun:
		return fmt.Errorf("%w: %w", err, ErrNotRun)
	default:
		return err
	}
}

// sendCancel asks the fleet to cancel the attempt in flight, if there is one.
func (s *Session) sendCancel(c *call) {
	if c.phase != inFlight {
		return
	}
	s.send(&message.Cancel{Service: c.flow.service, Flow: c.flow.wireID, ID: c.requestID, Binding: c.attemptBinding}, uint64(c.requestID), 0)
}

func (s *Session) fail(c *call, err error) {
	s.finish(c, nil, err)
}

// finish reports the call's result and removes the call.
func (s *Session) finish(c *call, payload []byte, err error) {
	s.out.Results = append(s.out.Results, Result{
		Call:    c.id,
		Flow:    c.flow.id,
		Key:     message.RequestKey{Flow: c.flow.wireID, ID: c.requestID},
		Attempt: c.attempt,
		Target:  c.flow.binding.Target,
		Payload: payload,
		Err:     err,
	})
	s.timers.stop(c.timer)
	delete(s.calls, c.id)
	c.flow.calls = slices.DeleteFunc(c.flow.calls, func(other *call) bool { return other == c })
}
