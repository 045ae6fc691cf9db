package session

import (
	"fmt"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Receive handles a message from a VM. Messages for unknown flows or calls are
// counted and ignored.
func (s *Session) Receive(now time.Duration, m message.Message) Output {
	s.begin(now)
	switch body := m.Body.(type) {
	case *message.Bound:
		s.bound(body)
	case *message.Answer:
		s.answer(body)
	case *message.Refusal:
		s.refusal(body)
	default:
		s.counters.Unknown++
	}
	return s.out
}

// find returns the call that a message belongs to, or nil.
func (s *Session) find(wire message.FlowID, id message.RequestID) *call {
	f, ok := s.byWire[wire]
	if !ok || id == 0 {
		return nil
	}
	for _, c := range f.calls {
		if c.key == id {
			return c
		}
	}
	return nil
}

// answer adds a part to the answer of its attempt. The answer to an earlier
// attempt counts too: it is an answer to the same request.
func (s *Session) answer(m *message.Answer) {
	c := s.find(m.Flow, m.ID)
	if c == nil || m.Attempt == 0 || m.Attempt > c.attempt {
		s.counters.Unknown++
		return
	}
	if slices.Contains(c.notRun, m.Attempt) {
		s.counters.FalseNotRun++
		return
	}
	a := c.assemblyOf(m)
	if a == nil || !a.add(m) {
		s.counters.Dropped++
		return
	}
	if m.Attempt == c.attempt && c.phase == inFlight {
		s.learn(c.flow, c.stamp, m.Binding)
	}
	if a.missing == 0 {
		s.complete(c, m.Attempt, a)
	}
}

// maxAssemblies bounds the memory for answers to earlier attempts of one call.
const maxAssemblies = 4

// assemblyOf returns the parts of the attempt's answer, or nil if too many
// attempts have partial answers or the part count is outside the limits.
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
	if len(c.answers) >= maxAssemblies && m.Attempt != c.attempt {
		return nil
	}
	a := newAssembly(m.Parts)
	c.answers[m.Attempt] = a
	return a
}

func (s *Session) complete(c *call, attempt uint32, a *assembly) {
	if attempt == c.attempt && c.copies == 1 {
		c.class.rto.sample(s.now - c.sentAt)
	}
	s.end(c, a.whole(), nil)
}

func (s *Session) refusal(m *message.Refusal) {
	s.countRefusal(m.Reason)
	f, ok := s.byWire[m.Flow]
	if !ok {
		s.counters.Unknown++
		return
	}
	if m.ID == 0 {
		s.openRefused(f, m)
		return
	}
	c := s.find(m.Flow, m.ID)
	if c == nil {
		s.counters.Unknown++
		return
	}
	if c.phase != inFlight || m.Attempt != c.attempt {
		s.counters.Dropped++
		return
	}
	s.requestRefused(c, m)
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

// requestRefused handles a refusal of the attempt in flight.
func (s *Session) requestRefused(c *call, m *message.Refusal) {
	switch m.Reason {
	case message.NotRun:
		s.learn(c.flow, c.stamp, m.Binding)
		c.notRun = append(c.notRun, c.attempt)
		c.phase = delayed
		s.retry(c, m, c.outcomeOf(ErrNotRun))
	case message.MayHaveRun:
		s.learn(c.flow, c.stamp, m.Binding)
		if !c.request.Idempotent {
			s.fail(c, ErrMayHaveRun)
			return
		}
		c.uncertain = true
		c.phase = delayed
		s.retry(c, m, ErrMayHaveRun)
	case message.FlowUnknown:
		s.breakFlow(c.flow)
	case message.Busy:
		s.pause(c, m.RetryAfter)
	}
}

// outcomeOf returns what a refusal of the last attempt says about the request.
func (c *call) outcomeOf(refusal error) error {
	if c.uncertain {
		return ErrMayHaveRun
	}
	return refusal
}

// pause delays the next copy of the attempt.
func (s *Session) pause(c *call, retryAfter time.Duration) {
	pause := max(retryAfter, minPause)
	c.nextSend = s.now + pause + s.jitter(pause, 0.25)
	s.arm(c)
}

// retry plans a new attempt, or fails the call with outcome if the budget
// forbids it or the deadline comes first.
func (s *Session) retry(c *call, m *message.Refusal, outcome error) {
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
		s.start(c)
		return
	}
	c.nextSend = s.now + delay
	s.arm(c)
}

// allowRetry charges the retry budget, unless the refusal led to another binding.
func (s *Session) allowRetry(c *call) bool {
	if c.stamp != c.flow.binding && c.redirects < freeRedirects {
		c.redirects++
		return true
	}
	return c.class.budget.AllowRetry()
}

// retryDelay is zero for the first new attempt after "may have run", which is
// idempotent work with a stale binding.
func (s *Session) retryDelay(c *call, m *message.Refusal) time.Duration {
	if m.Reason == message.MayHaveRun && c.retries == 1 {
		return 0
	}
	return max(s.backoff.Delay(c.retries, m.RetryAfter), minPause)
}
