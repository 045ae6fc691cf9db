package session

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/decide/retry"
)

// FlowID identifies a flow within a session. It stays the same when the flow is
// reopened under a new message.FlowID.
type FlowID uint64

// CallID identifies a call within a session.
type CallID uint64

// Never is the result of NextWake when no timer is set.
const Never = time.Duration(math.MaxInt64)

// Call is one request to a service.
type Call struct {
	Kind       message.KindID
	Idempotent bool
	Timeout    time.Duration // time until the call fails with ErrDeadline
	Payload    []byte        // not copied; must not be changed until the call ends
}

// Result is the result of a call. Payload is valid only if Err is nil.
type Result struct {
	Call    CallID
	Flow    FlowID
	Key     message.RequestKey // key of the last attempt; ID 0: never sent
	Attempt uint32             // last attempt sent under Key
	Target  message.TargetID   // of the flow when the call ended; 0: none
	Payload []byte             // the complete answer
	Err     error
}

// Output holds the messages and events that one method call has produced. Its slices
// are valid until the next method call.
type Output struct {
	Messages []Outgoing // to be sent to the fabric
	Results  []Result
	Opened   []FlowID // flows that got their first binding
}

// Outgoing is a message to a VM of the fabric's choice; the receiver is not set.
type Outgoing struct {
	message.Message
	// Path selects the VM. Retransmissions of a message have consecutive paths, so that
	// each goes to another VM: one of them may have stopped.
	Path uint64
}

// Counters counts events since the session's start.
type Counters struct {
	Opens         uint64 `json:"opens"`         // Open datagrams sent
	Requests      uint64 `json:"requests"`      // Request datagrams sent
	Retransmitted uint64 `json:"retransmitted"` // of these, retransmissions of an attempt
	Retries       uint64 `json:"retries"`       // retries within the budget, also those too late for the deadline
	Broken        uint64 `json:"broken"`        // bound flows that were refused with "flow unknown"
	NotRun        uint64 `json:"not_run"`       // refusals by reason
	MayHaveRun    uint64 `json:"may_have_run"`
	FlowUnknown   uint64 `json:"flow_unknown"`
	Busy          uint64 `json:"busy"`
	OverBudget    uint64 `json:"over_budget"`   // retries that the retry budget did not allow
	Unknown       uint64 `json:"unknown"`       // messages for unknown flows or calls, or of unexpected types
	Dropped       uint64 `json:"dropped"`       // duplicate or inconsistent parts, late refusals and bindings
	FalseNotRun   uint64 `json:"false_not_run"` // parts of answers to attempts that had been refused with "not run"
	NeverSent     uint64 `json:"never_sent"`    // calls whose deadline passed before they were sent
}

// Session holds the flows of one caller. It is not safe for concurrent use.
type Session struct {
	config     Config
	rng        *rand.Rand
	backoff    *retry.Backoff
	now        time.Duration
	lastFlow   FlowID
	lastCall   CallID
	flows      map[FlowID]*flow
	byWireID   map[message.FlowID]*flow
	calls      map[CallID]*call
	kindStates map[kindKey]*kindState
	timers     timerQueue
	counters   Counters
	out        Output
}

// kindKey identifies a kind of a service; kind -1 stands for Open.
type kindKey struct {
	service message.ServiceID
	kind    int
}

// kindState is the state that all calls of one kind share.
type kindState struct {
	rto             rtoEstimator
	retransmitLimit tokenBucket
	retryBudget     *retry.Budget
}

// New returns a session without flows. Flow ids and jitter are derived from the seed.
// Outside tests it must be random, since flow ids must be globally unique.
func New(config Config, seed [32]byte) *Session {
	config = config.withDefaults()
	rng := rand.New(rand.NewChaCha8(seed))
	return &Session{
		config:     config,
		rng:        rng,
		backoff:    retry.NewBackoff(config.Backoff, rng.Uint64()),
		flows:      make(map[FlowID]*flow),
		byWireID:   make(map[message.FlowID]*flow),
		calls:      make(map[CallID]*call),
		kindStates: make(map[kindKey]*kindState),
	}
}

// OpenFlow creates a flow to a service and sends its Open.
func (s *Session) OpenFlow(now time.Duration, service message.ServiceID) (FlowID, Output) {
	s.begin(now)
	s.lastFlow++
	f := &flow{id: s.lastFlow, service: service}
	f.timer = s.timers.newTimer(func() { s.handleFlowTimer(f) })
	s.flows[f.id] = f
	s.openWithID(f, s.newWireID(), 0)
	return f.id, s.out
}

// Do starts a call on a flow. It returns ErrUnknownFlow, ErrTooLarge, or
// ErrDeadline if the timeout is not positive. The call ends with a Result in a later
// Output.
func (s *Session) Do(now time.Duration, id FlowID, request Call) (CallID, Output, error) {
	s.begin(now)
	f, ok := s.flows[id]
	if !ok {
		return 0, s.out, fmt.Errorf("flow %d: %w", id, ErrUnknownFlow)
	}
	if request.Timeout <= 0 {
		return 0, s.out, fmt.Errorf("timeout %s: %w", request.Timeout, ErrDeadline)
	}
	parts := splitPayload(request.Payload)
	if parts == nil {
		return 0, s.out, fmt.Errorf("payload of %d bytes: %w", len(request.Payload), ErrTooLarge)
	}
	s.lastCall++
	c := &call{id: s.lastCall, flow: f, request: request, parts: parts, deadline: now + request.Timeout}
	c.kindState = s.kindStateOf(f.service, int(request.Kind))
	c.kindState.retryBudget.RecordFirstAttempt()
	c.timer = s.timers.newTimer(func() { s.handleCallTimer(c) })
	s.calls[c.id] = c
	f.calls = append(f.calls, c)
	s.startAttempt(c)
	return c.id, s.out, nil
}

// Cancel ends a call with ErrCancelled, which comes with ErrMayHaveRun or ErrNotRun if
// that is known. It does nothing if the call has ended or is unknown.
func (s *Session) Cancel(now time.Duration, id CallID) Output {
	s.begin(now)
	if c, ok := s.calls[id]; ok {
		s.sendCancel(c)
		s.fail(c, withOutcome(c, ErrCancelled))
	}
	return s.out
}

// CloseFlow closes a flow and ends its calls with ErrFlowClosed. It does nothing if
// the flow is unknown.
func (s *Session) CloseFlow(now time.Duration, id FlowID) Output {
	s.begin(now)
	f, ok := s.flows[id]
	if !ok {
		return s.out
	}
	for len(f.calls) > 0 {
		c := f.calls[0]
		s.sendCancel(c)
		s.fail(c, withOutcome(c, ErrFlowClosed))
	}
	s.send(&message.Close{Service: f.service, Flow: f.wireID, Binding: f.binding}, 0, 0)
	s.timers.stop(f.timer)
	delete(s.byWireID, f.wireID)
	delete(s.flows, f.id)
	return s.out
}

// Tick handles the timers that have expired at now.
func (s *Session) Tick(now time.Duration) Output {
	s.begin(now)
	for t := s.timers.popDue(now); t != nil; t = s.timers.popDue(now) {
		t.onExpiry()
	}
	return s.out
}

// NextWake returns the time at which Tick must be called next, or Never.
func (s *Session) NextWake() time.Duration {
	return s.timers.next(Never)
}

// Counters returns the counters since the session's start.
func (s *Session) Counters() Counters {
	return s.counters
}

// CallCount returns the number of calls in progress.
func (s *Session) CallCount() int {
	return len(s.calls)
}

// Binding returns a flow's current binding, for logs and experiments.
func (s *Session) Binding(id FlowID) (message.Binding, bool) {
	f, ok := s.flows[id]
	if !ok {
		return message.Binding{}, false
	}
	return f.binding, true
}

// WireID returns the id that a flow has in datagrams now; a reopened flow has a
// new one.
func (s *Session) WireID(id FlowID) (message.FlowID, bool) {
	f, ok := s.flows[id]
	if !ok {
		return message.FlowID{}, false
	}
	return f.wireID, true
}

// begin sets the time and clears the output of the previous method call.
func (s *Session) begin(now time.Duration) {
	s.now = now
	s.out.Messages = s.out.Messages[:0]
	s.out.Results = s.out.Results[:0]
	s.out.Opened = s.out.Opened[:0]
}

// send adds a message to the output. variant tells messages of one flow apart, and copies
// is the number of earlier transmissions of the message.
func (s *Session) send(body message.Body, variant uint64, copies int) {
	path := rendezvous.Mix(message.FlowOf(body).Lo, variant) + uint64(copies)
	s.out.Messages = append(s.out.Messages, Outgoing{Message: message.Message{Body: body}, Path: path})
}

func (s *Session) newWireID() message.FlowID {
	return message.FlowID{Hi: s.rng.Uint64(), Lo: s.rng.Uint64()}
}

func (s *Session) kindStateOf(service message.ServiceID, kind int) *kindState {
	key := kindKey{service: service, kind: kind}
	if c, ok := s.kindStates[key]; ok {
		return c
	}
	rate := float64(s.config.RetransmitRate)
	c := &kindState{
		rto:             rtoEstimator{initialRTO: s.config.InitialRTO, minRTO: s.config.MinRTO, maxRTO: s.config.MaxRTO},
		retransmitLimit: tokenBucket{tokensPerSecond: rate, tokens: rate, refilledAt: s.now},
		retryBudget:     retry.NewBudget(s.config.Budget),
	}
	s.kindStates[key] = c
	return c
}

// jitter returns a random duration from 0 to share times d.
func (s *Session) jitter(d time.Duration, share float64) time.Duration {
	return time.Duration(s.rng.Float64() * share * float64(d))
}
