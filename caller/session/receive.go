package session

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Receive handles a message from a VM. Messages for unknown flows or calls are
// counted and dropped.
func (s *Session) Receive(now time.Duration, m message.Message) Output {
	s.begin(now)
	switch body := m.Body.(type) {
	case *message.Bound:
		s.handleBound(body)
	case *message.Answer:
		s.handleAnswer(body)
	case *message.Refusal:
		s.handleRefusal(body)
	default:
		s.counters.Unknown++
	}
	return s.out
}

// findCall returns the call that a message belongs to, or nil.
func (s *Session) findCall(wireID message.FlowID, id message.RequestID) *call {
	f, ok := s.byWireID[wireID]
	if !ok || id == 0 {
		return nil
	}
	for _, c := range f.calls {
		if c.requestID == id {
			return c
		}
	}
	return nil
}

// handleAnswer adds a part to the answer of its attempt. An answer to an earlier
// attempt is valid too, since it answers the same request.
func (s *Session) handleAnswer(m *message.Answer) {
	c := s.findCall(m.Flow, m.ID)
	if c == nil || m.Attempt == 0 || m.Attempt > c.attempt {
		s.counters.Unknown++
		return
	}
	if slices.Contains(c.notRunAttempts, m.Attempt) {
		s.counters.FalseNotRun++
		return
	}
	a := c.assemblyOf(m)
	if a == nil || !a.add(m) {
		s.counters.Dropped++
		return
	}
	if m.Attempt == c.attempt && c.phase == inFlight {
		s.updateBinding(c.flow, c.attemptBinding, m.Binding)
	}
	if a.missing == 0 {
		s.complete(c, m.Attempt, a)
	}
}

// maxAssemblies is the maximum number of attempts of one call whose partial answers are
// kept.
const maxAssemblies = 4

// assemblyOf returns the assembly of the attempt's answer. If maxAssemblies attempts have
// partial answers, that of the earliest makes room for a later one. It returns nil if the
// attempt is the earliest itself, and if the count of parts is out of range.
func (c *call) assemblyOf(m *message.Answer) *assembly {
	if a, ok := c.answers[m.Attempt]; ok {
		return a
	}
	if m.Parts == 0 || m.Parts > message.MaxParts {
		return nil
	}
	if c.answers == nil {
		c.answers = make(map[uint32]*assembly)
	}
	if len(c.answers) >= maxAssemblies {
		earliest := slices.Min(slices.Collect(maps.Keys(c.answers)))
		if m.Attempt < earliest {
			return nil
		}
		delete(c.answers, earliest)
	}
	a := newAssembly(m.Parts)
	c.answers[m.Attempt] = a
	return a
}

// complete ends a call with its answer. Only the last attempt gives a sample of the
// round-trip time and, as in Karn's algorithm, only if it was not retransmitted.
func (s *Session) complete(c *call, attempt uint32, a *assembly) {
	if attempt == c.attempt && c.transmissions == 1 {
		c.kindState.rto.addSample(s.now - c.sentAt)
	}
	s.finish(c, a.payload(), nil)
}

func (s *Session) handleRefusal(m *message.Refusal) {
	s.countRefusal(m.Reason)
	f, ok := s.byWireID[m.Flow]
	if !ok {
		s.counters.Unknown++
		return
	}
	if m.ID == 0 {
		s.handleOpenRefusal(f, m)
		return
	}
	c := s.findCall(m.Flow, m.ID)
	if c == nil {
		s.counters.Unknown++
		return
	}
	if c.phase != inFlight || m.Attempt != c.attempt {
		s.counters.Dropped++
		return
	}
	s.handleRequestRefusal(c, m)
}

func (s *Session) countRefusal(reason message.RefusalReason) {
	switch reason {
	case message.NotRun:
		s.counters.NotRun++
	case message.MayHaveRun:
		s.counters.MayHaveRun++
	case message.FlowUnknown:
		s.counters.FlowUnknown++
	case message.Busy:
		s.counters.Busy++
	}
}

// handleRequestRefusal handles the refusal of the attempt in flight.
func (s *Session) handleRequestRefusal(c *call, m *message.Refusal) {
	switch m.Reason {
	case message.NotRun:
		s.updateBinding(c.flow, c.attemptBinding, m.Binding)
		c.notRunAttempts = append(c.notRunAttempts, c.attempt)
		c.phase = awaitingRetry
		s.scheduleRetry(c, m, c.refusalOutcome(ErrNotRun))
	case message.MayHaveRun:
		s.updateBinding(c.flow, c.attemptBinding, m.Binding)
		if !c.request.Idempotent {
			s.fail(c, ErrMayHaveRun)
			return
		}
		c.earlierMayHaveRun = true
		c.phase = awaitingRetry
		s.scheduleRetry(c, m, ErrMayHaveRun)
	case message.FlowUnknown:
		s.reopenLostFlow(c.flow)
	case message.Busy:
		s.postponeRetransmission(c, m.RetryAfter)
	}
}

// refusalOutcome returns the error that a refusal of the last attempt means for the
// whole request: ErrMayHaveRun if an earlier attempt may have run.
func (c *call) refusalOutcome(refusal error) error {
	if c.earlierMayHaveRun {
		return ErrMayHaveRun
	}
	return refusal
}

// postponeRetransmission schedules the next transmission of the attempt after a busy
// refusal.
func (s *Session) postponeRetransmission(c *call, retryAfter time.Duration) {
	delay := max(retryAfter, minRetryDelay)
	c.nextSend = s.now + delay + s.jitter(delay, 0.25)
	s.setCallTimer(c)
}

// scheduleRetry schedules a new attempt. It fails the call with outcome if the retry
// budget is exhausted or the attempt would come after the deadline.
func (s *Session) scheduleRetry(c *call, m *message.Refusal, outcome error) {
	if !s.allowRetry(c) {
		s.counters.OverBudget++
		s.fail(c, fmt.Errorf("%w: %w", outcome, ErrBudget))
		return
	}
	c.retries++
	s.counters.Retries++
	delay := s.retryDelay(c, m)
	if s.now+delay >= c.deadline {
		s.fail(c, fmt.Errorf("%w: next attempt would come after the deadline", outcome))
		return
	}
	if delay == 0 {
		s.startAttempt(c)
		return
	}
	c.nextSend = s.now + delay
	s.setCallTimer(c)
}

// allowRetry reports whether a new attempt is allowed. It charges the retry budget,
// unless the flow's binding has changed since the attempt (see maxUnchargedRedirects).
func (s *Session) allowRetry(c *call) bool {
	if c.attemptBinding != c.flow.binding && c.redirects < maxUnchargedRedirects {
		c.redirects++
		return true
	}
	return c.kindState.retryBudget.AllowRetry()
}

// retryDelay returns the delay before a new attempt. It is 0 for the first retry of a call
// if the refusal was message.MayHaveRun: the request is idempotent and was sent with a
// stale binding.
func (s *Session) retryDelay(c *call, m *message.Refusal) time.Duration {
	if m.Reason == message.MayHaveRun && c.retries == 1 {
		return 0
	}
	return max(s.backoff.Delay(c.retries, m.RetryAfter), minRetryDelay)
}
