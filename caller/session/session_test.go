package session

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

var firstBinding = message.Binding{Target: 7, Epoch: 1}

// boundSession returns a session with one bound flow at time zero.
func boundSession(is *is.I) (*Session, FlowID) {
	s := New(Config{}, [32]byte{1})
	id, out := s.OpenFlow(0, 5)
	open := out.Messages[0].Body.(*message.Open)
	out = s.Receive(0, message.Message{Body: &message.Bound{Flow: open.Flow, Binding: firstBinding}})
	is.Equal(len(out.Opened), 1)
	return s, id
}

func requestIn(out Output) *message.Request {
	for _, m := range out.Messages {
		if r, ok := m.Body.(*message.Request); ok {
			return r
		}
	}
	return nil
}

func refuse(r *message.Request, reason message.RefusalReason, epoch message.Epoch) message.Message {
	return message.Message{Body: &message.Refusal{
		Flow: r.Flow, ID: r.ID, Attempt: r.Attempt, Reason: reason, Binding: message.Binding{Target: 7, Epoch: epoch},
	}}
}

// TestRefusals guards against a wrong reaction to each reason, for idempotent
// and other requests.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		reason     message.RefusalReason
		err        error  // of the result; nil: the call continues
		attempt    uint32 // of the next request sent within 100 ms
		epoch      message.Epoch
	}{
		{"idempotent may have run", true, message.MayHaveRun, nil, 2, 2},
		{"idempotent not run", true, message.NotRun, nil, 2, 2},
		{"idempotent busy", true, message.Busy, nil, 1, 1},
		{"may have run", false, message.MayHaveRun, ErrMayHaveRun, 0, 0},
		{"not run", false, message.NotRun, nil, 2, 2},
		{"busy", false, message.Busy, nil, 1, 1},
		{"flow unknown", false, message.FlowUnknown, ErrMayHaveRun, 0, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s, flow := boundSession(is)
			_, out, err := s.Do(0, flow, Call{Idempotent: tc.idempotent, Timeout: time.Second})
			is.NoErr(err)
			request := requestIn(out)
			out = s.Receive(time.Millisecond, refuse(request, tc.reason, 2))
			if tc.err != nil {
				is.Equal(len(out.Results), 1)
				is.True(errors.Is(out.Results[0].Err, tc.err))
				return
			}
			is.Equal(len(out.Results), 0)
			next := requestIn(out)
			if next == nil {
				next = requestIn(s.Tick(100 * time.Millisecond))
			}
			is.Equal(next.Attempt, tc.attempt)
			is.Equal(next.Binding.Epoch, tc.epoch)
		})
	}
}

// TestFlowUnknownReopens guards against idempotent requests that are lost with the
// target of their flow.
func TestFlowUnknownReopens(t *testing.T) {
	is := is.New(t)
	s, flow := boundSession(is)
	_, out, _ := s.Do(0, flow, Call{Idempotent: true, Timeout: time.Second})
	request := requestIn(out)
	out = s.Receive(1, refuse(request, message.FlowUnknown, 0))
	open := out.Messages[0].Body.(*message.Open)
	is.True(open.Flow != request.Flow)
	is.True(!open.Refresh)
	out = s.Receive(2, message.Message{Body: &message.Bound{Flow: open.Flow, Binding: firstBinding}})
	is.Equal(requestIn(out).Flow, open.Flow)
	is.Equal(s.Counters().Broken, uint64(1))
}

// TestIdleFlowRefreshes guards against non-idempotent requests that are sent with a
// binding that may be stale.
func TestIdleFlowRefreshes(t *testing.T) {
	is := is.New(t)
	s, flow := boundSession(is)
	now := 1100 * time.Millisecond
	_, out, _ := s.Do(now, flow, Call{Timeout: time.Second})
	is.Equal(requestIn(out), nil)
	open := out.Messages[0].Body.(*message.Open)
	is.True(open.Refresh)
	second := message.Binding{Target: 7, Epoch: 2}
	out = s.Receive(now, message.Message{Body: &message.Bound{Flow: open.Flow, Binding: second}})
	is.Equal(requestIn(out).Binding, second)
}

// TestRetryBudget guards against retry storms: refused calls fail once the
// budget of their kind is used up.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	s, flow := boundSession(is)
	const calls = 1000
	retried := 0
	for range calls {
		_, out, _ := s.Do(0, flow, Call{Timeout: time.Second})
		out = s.Receive(0, refuse(requestIn(out), message.NotRun, 1))
		if len(out.Results) == 0 {
			retried++
			continue
		}
		is.True(errors.Is(out.Results[0].Err, ErrNotRun))
		is.True(errors.Is(out.Results[0].Err, ErrBudget))
	}
	is.True(retried <= calls/10+defaultInitialRetries)
}

// TestPayloadSplit guards against a wrong number of parts and against payloads above
// the limit.
func TestPayloadSplit(t *testing.T) {
	is := is.New(t)
	s, flow := boundSession(is)
	whole := bytes.Repeat([]byte("x"), message.MaxParts*message.MaxPayload)
	_, out, err := s.Do(0, flow, Call{Timeout: time.Second, Payload: whole})
	is.NoErr(err)
	is.Equal(len(out.Messages), message.MaxParts)
	_, _, err = s.Do(0, flow, Call{Timeout: time.Second, Payload: append(whole, 'x')})
	is.True(errors.Is(err, ErrTooLarge))
}

// TestDeadline guards against a missing Cancel and a missing ErrMayHaveRun.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	s, flow := boundSession(is)
	_, _, err := s.Do(0, flow, Call{Timeout: 200 * time.Millisecond})
	is.NoErr(err)
	out := s.Tick(200 * time.Millisecond)
	is.Equal(len(out.Results), 1)
	is.True(errors.Is(out.Results[0].Err, ErrDeadline))
	is.True(errors.Is(out.Results[0].Err, ErrMayHaveRun))
	_, ok := out.Messages[0].Body.(*message.Cancel)
	is.True(ok)
	is.Equal(s.NextWake(), Never)
}

// TestEarlierAttemptMayHaveRun guards against ErrNotRun for a request whose last
// attempt was not run, but whose earlier attempt may have run.
func TestEarlierAttemptMayHaveRun(t *testing.T) {
	is := is.New(t)
	s, flow := boundSession(is)
	_, out, _ := s.Do(0, flow, Call{Idempotent: true, Timeout: time.Second})
	out = s.Receive(0, refuse(requestIn(out), message.MayHaveRun, 2))
	refusal := refuse(requestIn(out), message.NotRun, 2)
	refusal.Body.(*message.Refusal).RetryAfter = 2 * time.Second
	out = s.Receive(0, refusal)
	is.True(errors.Is(out.Results[0].Err, ErrMayHaveRun))
	is.True(!errors.Is(out.Results[0].Err, ErrNotRun))
}

// TestTimeout guards against a timeout that does not follow RFC 6298 and against
// retransmissions above the rate limit.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	e := rtoEstimator{initialRTO: time.Second, minRTO: time.Millisecond, maxRTO: time.Minute}
	is.Equal(e.timeout(), time.Second)
	e.addSample(100 * time.Millisecond)
	is.Equal(e.timeout(), 300*time.Millisecond)
	e.addSample(180 * time.Millisecond)
	is.Equal(e.timeout(), 110*time.Millisecond+4*57500*time.Microsecond)

	s := New(Config{RetransmitRate: 10}, [32]byte{1})
	flow, out := s.OpenFlow(0, 5)
	s.Receive(0, message.Message{Body: &message.Bound{Flow: out.Messages[0].Body.(*message.Open).Flow, Binding: firstBinding}})
	for range 100 {
		_, _, err := s.Do(0, flow, Call{Timeout: time.Minute})
		is.NoErr(err)
	}
	for s.NextWake() <= 3*time.Second {
		s.Tick(s.NextWake())
	}
	is.True(s.Counters().Retransmitted > 20)
	is.True(s.Counters().Retransmitted <= 10+3*10)
}

// TestAssembliesAreBounded guards against partial answers to more than maxAssemblies attempts
// of one call in memory, and against one that makes no room for the attempt in flight.
func TestAssembliesAreBounded(t *testing.T) {
	is := is.New(t)
	c := &call{}
	partial := func(attempt uint32) *assembly {
		return c.assemblyOf(&message.Answer{Attempt: attempt, Parts: 2})
	}
	for c.attempt = 1; c.attempt <= 2*maxAssemblies; c.attempt++ {
		is.True(partial(c.attempt) != nil)
		is.True(len(c.answers) <= maxAssemblies)
	}
	is.Equal(partial(1), nil)
	is.True(c.answers[maxAssemblies+1] != nil)
}

// TestRetransmissionsUseOtherVMs guards against a call that is cut after a planned stop: with
// a VM chosen at random for each transmission, all of them may go to the one that has stopped.
func TestRetransmissionsUseOtherVMs(t *testing.T) {
	is := is.New(t)
	s, flow := boundSession(is)
	_, out, err := s.Do(0, flow, Call{Idempotent: true, Timeout: time.Minute})
	is.NoErr(err)
	const vms = 4
	transmissions := 1
	previous := out.Messages[0].Path
	for transmissions < vms {
		out = s.Tick(s.NextWake())
		is.True(requestIn(out) != nil)
		is.Equal(out.Messages[0].Path, previous+1)
		previous = out.Messages[0].Path
		transmissions++
	}
	// A reopened flow tries the next VM as well.
	_, out = s.OpenFlow(time.Second, 5)
	previous = out.Messages[0].Path
	out = s.Tick(s.NextWake())
	is.Equal(out.Messages[0].Path, previous+1)
}

// answerTo returns one part of the answer to a request.
func answerTo(r *message.Request, part, parts uint16, payload string) message.Message {
	return message.Message{Body: &message.Answer{
		Flow: r.Flow, ID: r.ID, Attempt: r.Attempt, Part: part, Parts: parts, Payload: []byte(payload), Binding: firstBinding,
	}}
}

// TestLateAnswerOfAnEarlierRequest guards against a second copy of an answer that arrives
// late on a flow in use again and is taken for the answer to the next request.
func TestLateAnswerOfAnEarlierRequest(t *testing.T) {
	is := is.New(t)
	s, flow := boundSession(is)
	_, out, _ := s.Do(0, flow, Call{Timeout: time.Second})
	first := requestIn(out)
	out = s.Receive(0, answerTo(first, 0, 1, "first"))
	is.Equal(string(out.Results[0].Payload), "first")
	_, out, _ = s.Do(0, flow, Call{Timeout: time.Second})
	second := requestIn(out)
	is.True(second.ID != first.ID)
	out = s.Receive(0, answerTo(first, 0, 1, "first"))
	is.Equal(len(out.Results), 0)
	out = s.Receive(0, answerTo(second, 0, 1, "second"))
	is.Equal(string(out.Results[0].Payload), "second")
}

// TestPartialAnswerIsNoSuccess guards against an answer that broke off halfway and reaches the
// caller as complete, also together with parts of the answer to another attempt.
func TestPartialAnswerIsNoSuccess(t *testing.T) {
	is := is.New(t)
	s, flow := boundSession(is)
	_, out, _ := s.Do(0, flow, Call{Idempotent: true, Timeout: time.Second})
	first := requestIn(out)
	is.Equal(len(s.Receive(0, answerTo(first, 0, 2, "a")).Results), 0)
	out = s.Receive(0, refuse(first, message.MayHaveRun, 2))
	second := requestIn(out)
	is.Equal(second.Attempt, first.Attempt+1)
	is.Equal(len(s.Receive(0, answerTo(second, 1, 2, "b")).Results), 0)
	out = s.Tick(time.Second)
	is.Equal(len(out.Results), 1)
	is.True(errors.Is(out.Results[0].Err, ErrDeadline))
	is.Equal(len(out.Results[0].Payload), 0)
}
