package session

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/retry"
)

// FlowID names a flow within a session. It stays the same when the flow is
// reopened under a new message.FlowID.
type FlowID uint64

// CallID names a call within a session.
type CallID uint64

// Never is the result of NextWake when only input can cause more work.
const Never = time.Duration(math.MaxInt64)

// Call is one request to a service.
type Call struct {
	Kind       message.KindID
	Idempotent bool
	Timeout    time.Duration // time until the call fails with ErrDeadline
	Payload    []byte        // not changed and not copied until the call ends
}

// Result is the end of a call. Exactly one of Payload and Err counts.
type Result struct {
	Call    CallID
	Flow    FlowID
	Key     message.RequestKey // key of the last attempt; ID 0: never sent
	Attempt uint32             // last attempt sent under Key
	Target  message.TargetID   // of the flow when the call ended; 0: none
	Payload []byte             // whole answer
	Err     error
}

// Output is what one method call brings about. Its slices are valid until the
// next method call.
type Output struct {
	Messages []message.Message // the receiver (the fabric) is not filled in
	Results  []Result
	Opened   []FlowID // flows that got their first binding
}

// Counters counts events since the session's start.
type Counters struct {
	Opens         uint64 `json:"opens"`         // Open datagrams sent
	Requests      uint64 `json:"requests"`      // Request datagrams sent
	Retransmitted uint64 `json:"retransmitted"` // of these, repetitions within an attempt
	Retries       uint64 `json:"retries"`       // attempts after the first
	Broken        uint64 `json:"broken"`        // flows answered "flow unknown" after they were bound
	NotRun        uint64 `json:"not_run"`       // refusals by reason
	MayHaveRun    uint64 `json:"may_have_run"`
	FlowUnknown   uint64 `json:"flow_unknown"`
	Busy          uint64 `json:"busy"`
	OverBudget    uint64 `json:"over_budget"`   // retries that the budget forbade
	Unknown       uint64 `json:"unknown"`       // messages for no flow or call of the session
	Dropped       uint64 `json:"dropped"`       // duplicate parts, parts that do not fit, late refusals and bindings
	FalseNotRun   uint64 `json:"false_not_run"` // answers to attempts that had been refused "not run"
	NeverSent     uint64 `json:"never_sent"`    // calls that reached their deadline without being sent
}

// Session holds the flows of one caller. It is not safe for concurrent use.
type Session struct {
	config   Config
	rng      *rand.Rand
	backoff  *retry.Backoff
	now      time.Duration
	lastFlow FlowID
	lastCall CallID
	flows    map[FlowID]*flow
	byWire   map[message.FlowID]*flow
	calls    map[CallID]*call
	classes  map[classKey]*class
	alarms   alarms
	counters Counters
	out      Output
}

// classKey names a kind of a service; kind -1 stands for Open.
type classKey struct {
	service message.ServiceID
	kind    int
}

// class holds what the calls of one kind share.
type class struct {
	rto        estimator
	retransmit rateLimit
	budget     *retry.Budget
}

// New returns a session without flows. The seed makes flow ids and jitter; it
// must be unpredictable outside tests, since flow ids must be unique worldwide.
func New(config Config, seed [32]byte) *Session {
	config = config.withDefaults()
	rng := rand.New(rand.NewChaCha8(seed))
	return &Session{
		config:  config,
		rng:     rng,
		backoff: retry.NewBackoff(config.Backoff, rng.Uint64()),
		flows:   make(map[FlowID]*flow),
		byWire:  make(map[message.FlowID]*flow),
		calls:   make(map[CallID]*call),
		classes: make(map[classKey]*class),
	}
}

// OpenFlow creates a flow to a service and sends its Open.
func (s *Session) OpenFlow(now time.Duration, service message.ServiceID) (FlowID, Output) {
	s.begin(now)
	s.lastFlow++
	f := &flow{handle: s.lastFlow, service: service}
	f.alarm = s.alarms.create(func() { s.flowDue(f) })
	s.flows[f.handle] = f
	s.openAs(f, s.newWireID(), 0)
	return f.handle, s.out
}

// Do starts a call on a flow. It returns ErrUnknownFlow, ErrTooLarge, or
// ErrDeadline if the time-out is not positive. The call's end is a Result.
func (s *Session) Do(now time.Duration, id FlowID, request Call) (CallID, Output, error) {
	s.begin(now)
	f, ok := s.flows[id]
	if !ok {
		return 0, s.out, fmt.Errorf("flow %d: %w", id, ErrUnknownFlow)
	}
	if request.Timeout <= 0 {
		return 0, s.out, fmt.Errorf("time-out %s: %w", request.Timeout, ErrDeadline)
	}
	parts := split(request.Payload)
	if parts == nil {
		return 0, s.out, fmt.Errorf("payload of %d bytes: %w", len(request.Payload), ErrTooLarge)
	}
	s.lastCall++
	c := &call{id: s.lastCall, flow: f, request: request, parts: parts, deadline: now + request.Timeout}
	c.class = s.classOf(f.service, int(request.Kind))
	c.class.budget.RecordFirstAttempt()
	c.alarm = s.alarms.create(func() { s.callDue(c) })
	s.calls[c.id] = c
	f.calls = append(f.calls, c)
	s.start(c)
	return c.id, s.out, nil
}

// Cancel ends a call with ErrCancelled, and with ErrMayHaveRun too if it may
// have been executed. An ended or unknown call is ignored.
func (s *Session) Cancel(now time.Duration, id CallID) Output {
	s.begin(now)
	if c, ok := s.calls[id]; ok {
		s.sendCancel(c)
		s.fail(c, withOutcome(c, ErrCancelled))
	}
	return s.out
}

// CloseFlow ends a flow and its calls with ErrFlowClosed. An unknown flow is ignored.
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
	s.send(&message.Close{Service: f.service, Flow: f.wire, Binding: f.binding})
	s.alarms.stop(f.alarm)
	delete(s.byWire, f.wire)
	delete(s.flows, f.handle)
	return s.out
}

// Tick does the work that is due at now.
func (s *Session) Tick(now time.Duration) Output {
	s.begin(now)
	for al := s.alarms.due(now); al != nil; al = s.alarms.due(now) {
		al.fire()
	}
	return s.out
}

// NextWake returns the time at which Tick has work, or Never.
func (s *Session) NextWake() time.Duration {
	return s.alarms.next(Never)
}

// Counters returns the counters.
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
	return f.wire, true
}

func (s *Session) begin(now time.Duration) {
	s.now = now
	s.out.Messages = s.out.Messages[:0]
	s.out.Results = s.out.Results[:0]
	s.out.Opened = s.out.Opened[:0]
}

func (s *Session) send(body message.Body) {
	s.out.Messages = append(s.out.Messages, message.Message{Body: body})
}

func (s *Session) newWireID() message.FlowID {
	return message.FlowID{Hi: s.rng.Uint64(), Lo: s.rng.Uint64()}
}

func (s *Session) classOf(service message.ServiceID, kind int) *class {
	key := classKey{service: service, kind: kind}
	if c, ok := s.classes[key]; ok {
		return c
	}
	rate := float64(s.config.RetransmitRate)
	c := &class{
		rto:        estimator{initial: s.config.InitialRTO, lowest: s.config.MinRTO, highest: s.config.MaxRTO},
		retransmit: rateLimit{perSecond: rate, tokens: rate, last: s.now},
		budget:     retry.NewBudget(s.config.Budget),
	}
	s.classes[key] = c
	return c
}

// jitter returns a random duration below the given share of d.
func (s *Session) jitter(d time.Duration, share float64) time.Duration {
	return time.Duration(s.rng.Float64() * share * float64(d))
}
