package session

import (
	"bytes"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// attemptKey identifies one attempt on the wire.
type attemptKey struct {
	key     message.RequestKey
	attempt uint32
}

// oracle simulates a hostile network and server. It checks the messages and results
// of the session against the calls that were made.
type oracle struct {
	t             *rapid.T
	s             *Session
	now           time.Duration
	flows         []FlowID
	calls         map[CallID]*oracleCall
	inTransit     []message.Body // messages to the session, delivered in any order
	bindings      map[attemptKey]message.Binding
	refused       map[attemptKey]bool // refused with "not run"
	answered      map[attemptKey]bool // the server has sent an answer
	callsBySerial map[uint64]*oracleCall
	sent          []*message.Request
	epoch         message.Epoch
}

type oracleCall struct {
	request  Call
	deadline time.Duration
	ended    bool
	attempts []attemptKey
}

func newOracle(t *rapid.T) *oracle {
	seed := [32]byte{byte(rapid.IntRange(0, 255).Draw(t, "seed"))}
	o := &oracle{
		t: t, s: New(Config{}, seed), epoch: 1,
		calls: make(map[CallID]*oracleCall), bindings: make(map[attemptKey]message.Binding),
		refused: make(map[attemptKey]bool), answered: make(map[attemptKey]bool), callsBySerial: make(map[uint64]*oracleCall),
	}
	o.openFlow(t)
	return o
}

// answerOf returns the only complete answer that the server sends to an attempt. For
// calls with an odd serial its length differs between the attempts.
func answerOf(serial uint64, k attemptKey) []byte {
	head := fmt.Sprintf("%d/%s/%d/%d;", serial, k.key.Flow, k.key.ID, k.attempt)
	return bytes.Repeat([]byte(head), 20*int(1+k.attempt*uint32(serial%2)%3))
}

const answerPartBytes = 400

func (o *oracle) binding() message.Binding {
	return message.Binding{Target: 7, Epoch: o.epoch}
}

// apply checks an output of the session and adds its messages to the network.
func (o *oracle) apply(out Output) {
	for _, m := range out.Messages {
		switch body := m.Body.(type) {
		case *message.Open:
			o.inTransit = append(o.inTransit, &message.Bound{Flow: body.Flow, Binding: o.binding()})
		case *message.Request:
			o.checkRequest(body)
		}
	}
	for _, r := range out.Results {
		o.checkResult(r)
	}
}

// checkRequest checks one part that the session has sent.
func (o *oracle) checkRequest(m *message.Request) {
	k := attemptKey{m.Key(), m.Attempt}
	serial := binary.BigEndian.Uint64(m.Payload)
	c := o.callsBySerial[serial]
	if c == nil || c.ended {
		o.t.Fatalf("part of an unknown or ended call %d", serial)
	}
	if m.Deadline != c.deadline-o.now {
		o.t.Fatalf("deadline %s in the datagram, remaining time %s", m.Deadline, c.deadline-o.now)
	}
	binding, seen := o.bindings[k]
	if seen && binding != m.Binding {
		o.t.Fatalf("transmissions of one attempt carry bindings %v and %v", binding, m.Binding)
	}
	if m.Binding.IsZero() {
		o.t.Fatalf("request without a binding")
	}
	if !seen {
		o.newAttempt(c, k)
		o.bindings[k] = m.Binding
	}
	o.sent = append(o.sent, m)
}

func (o *oracle) newAttempt(c *oracleCall, k attemptKey) {
	for _, earlier := range c.attempts {
		if !c.request.Idempotent && !o.refused[earlier] {
			o.t.Fatalf("non-idempotent request has attempt %v after %v, which was not refused", k, earlier)
		}
	}
	c.attempts = append(c.attempts, k)
}

func (o *oracle) checkResult(r Result) {
	c := o.calls[r.Call]
	if c == nil || c.ended {
		o.t.Fatalf("second result of call %d", r.Call)
	}
	c.ended = true
	if o.now > c.deadline {
		o.t.Fatalf("call ended %s after its deadline", o.now-c.deadline)
	}
	if r.Err == nil {
		o.checkAnswer(c, r.Payload)
		return
	}
	for _, k := range c.attempts {
		if errors.Is(r.Err, ErrNotRun) && !o.refused[k] {
			o.t.Fatalf("%v, but attempt %v was not refused", r.Err, k)
		}
		if !c.request.Idempotent && !o.refused[k] && !errors.Is(r.Err, ErrMayHaveRun) {
			o.t.Fatalf("%v of a request that was sent does not wrap ErrMayHaveRun", r.Err)
		}
	}
}

func (o *oracle) checkAnswer(c *oracleCall, payload []byte) {
	serial := binary.BigEndian.Uint64(c.request.Payload)
	for _, k := range c.attempts {
		if bytes.Equal(payload, answerOf(serial, k)) {
			return
		}
	}
	o.t.Fatalf("payload %.60q is not a complete answer to call %d", payload, serial)
}

func (o *oracle) openFlow(t *rapid.T) {
	if len(o.flows) >= 3 {
		return
	}
	id, out := o.s.OpenFlow(o.now, 5)
	o.flows = append(o.flows, id)
	o.apply(out)
}

func (o *oracle) do(t *rapid.T) {
	flow := rapid.SampledFrom(o.flows).Draw(t, "flow")
	payload := make([]byte, 8, 16)
	serial := uint64(len(o.calls) + 1)
	binary.BigEndian.PutUint64(payload, serial)
	request := Call{
		Kind:       message.KindID(rapid.IntRange(0, 1).Draw(t, "kind")),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Timeout:    time.Duration(rapid.IntRange(1, 4000).Draw(t, "timeout")) * time.Millisecond,
		Payload:    payload,
	}
	c := &oracleCall{request: request, deadline: o.now + request.Timeout}
	o.callsBySerial[serial] = c
	o.calls[o.s.lastCall+1] = c
	_, out, err := o.s.Do(o.now, flow, request)
	if err != nil {
		t.Fatal(err)
	}
	o.apply(out)
}

// serve makes the server answer or refuse any request part that was ever sent.
func (o *oracle) serve(t *rapid.T) {
	if len(o.sent) == 0 {
		t.Skip("nothing was sent")
	}
	m := rapid.SampledFrom(o.sent).Draw(t, "request")
	k := attemptKey{m.Key(), m.Attempt}
	refusal := &message.Refusal{Flow: m.Flow, ID: m.ID, Attempt: m.Attempt, Binding: o.binding()}
	refusal.RetryAfter = time.Duration(rapid.IntRange(0, 100).Draw(t, "retry_after")) * time.Millisecond
	switch rapid.SampledFrom([]string{"answer", "answer", "not run", "may have run", "flow unknown", "busy"}).Draw(t, "reaction") {
	case "answer":
		o.sendAnswer(m, k)
		return
	case "not run":
		if o.answered[k] {
			return
		}
		o.refused[k] = true
		refusal.Reason = message.NotRun
	case "may have run":
		refusal.Reason = message.MayHaveRun
	case "flow unknown":
		refusal.Reason = message.FlowUnknown
	case "busy":
		refusal.Reason = message.Busy
	}
	o.inTransit = append(o.inTransit, refusal)
}

func (o *oracle) sendAnswer(m *message.Request, k attemptKey) {
	if o.refused[k] {
		return
	}
	o.answered[k] = true
	payload := answerOf(binary.BigEndian.Uint64(m.Payload), k)
	count := (len(payload) + answerPartBytes - 1) / answerPartBytes
	for i := range count {
		part := payload[i*answerPartBytes : min((i+1)*answerPartBytes, len(payload))]
		o.inTransit = append(o.inTransit, &message.Answer{
			Flow: m.Flow, ID: m.ID, Attempt: m.Attempt, Part: uint16(i), Parts: uint16(count),
			Binding: o.binding(), Payload: part,
		})
	}
}

// deliver delivers any message in transit, which reorders, loses or duplicates it.
func (o *oracle) deliver(t *rapid.T) {
	if len(o.inTransit) == 0 {
		return
	}
	i := rapid.IntRange(0, len(o.inTransit)-1).Draw(t, "message")
	body := o.inTransit[i]
	fate := rapid.SampledFrom([]string{"once", "once", "twice", "lost"}).Draw(t, "fate")
	if fate != "twice" {
		o.inTransit = append(o.inTransit[:i], o.inTransit[i+1:]...)
	}
	if fate == "lost" {
		return
	}
	o.apply(o.s.Receive(o.now, message.Message{Body: body}))
}

// interleave makes the server answer a random attempt, then refuses it with MayHaveRun and
// makes the server answer the last attempt sent: often two attempts of one request.
func (o *oracle) interleave(t *rapid.T) {
	if len(o.sent) == 0 {
		t.Skip("nothing was sent")
	}
	m := rapid.SampledFrom(o.sent).Draw(t, "request")
	o.sendAnswer(m, attemptKey{m.Key(), m.Attempt})
	refusal := &message.Refusal{Flow: m.Flow, ID: m.ID, Attempt: m.Attempt, Reason: message.MayHaveRun, Binding: o.binding()}
	o.apply(o.s.Receive(o.now, message.Message{Body: refusal}))
	last := o.sent[len(o.sent)-1]
	o.sendAnswer(last, attemptKey{last.Key(), last.Attempt})
	for range rapid.IntRange(1, 12).Draw(t, "deliveries") {
		o.deliver(t)
	}
}

func (o *oracle) takeover(t *rapid.T) {
	o.epoch++
}

// advance moves the clock from one wake time of the session to the next.
func (o *oracle) advance(t *rapid.T) {
	end := o.now + time.Duration(rapid.IntRange(1, 600).Draw(t, "milliseconds"))*time.Millisecond
	for next := o.s.NextWake(); next <= end; next = o.s.NextWake() {
		if next < o.now {
			t.Fatalf("wake time %s is before %s", next, o.now)
		}
		o.now = next
		o.apply(o.s.Tick(o.now))
	}
	o.now = end
	o.apply(o.s.Tick(o.now))
}

func (o *oracle) check(t *rapid.T) {
	for id, c := range o.calls {
		if !c.ended && o.now >= c.deadline {
			t.Fatalf("call %d is in progress after its deadline", id)
		}
	}
	if o.s.Counters().FalseNotRun > 0 {
		t.Fatalf("every refusal \"not run\" was correct, but one was counted as false")
	}
}

// TestHostileNetwork guards against answers that are mixed from two attempts or
// belong to another call, second attempts of non-idempotent requests, wrong outcomes
// and calls that continue after their deadline, under loss, duplication, reordering
// and every kind of refusal.
func TestHostileNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"open": o.openFlow, "do": o.do, "do again": o.do, "serve": o.serve, "serve again": o.serve,
			"deliver": o.deliver, "deliver again": o.deliver, "deliver more": o.deliver,
			"interleave": o.interleave, "takeover": o.takeover, "advance": o.advance, "": o.check,
		})
	})
}

// The seed and the number of checks of package rapid; flags on the command line
// override them.
var (
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "2000")
)
