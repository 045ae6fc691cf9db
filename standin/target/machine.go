package target

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Never is the result of NextWake when only input can cause more work.
const Never = time.Duration(math.MaxInt64)

// Stats counts events since the machine was created, across crashes.
type Stats struct {
	Dispatches   uint64 `json:"dispatches"` // datagrams
	Started      uint64 `json:"started"`
	Answered     uint64 `json:"answered"`
	Shed         uint64 `json:"shed"`
	Cancelled    uint64 `json:"cancelled"`
	TooLate      uint64 `json:"too_late"`      // not started, or answer dropped, because of the deadline
	UnknownFlows uint64 `json:"unknown_flows"` // requests of unknown flows without the open marker
	Copies       uint64 `json:"copies"`        // datagrams dropped as copies
	Crashes      uint64 `json:"crashes"`
	Flows        int    `json:"flows"`          // connections now
	PeakInFlight int    `json:"peak_in_flight"` // largest number of requests running and waiting
	PeakRunning  int    `json:"peak_running"`
}

// Machine is the pure target. It is not safe for concurrent use.
type Machine struct {
	config    Config
	rng       *rand.Rand
	flows     map[message.FlowID]struct{}
	partial   map[jobKey]*job
	waiting   []*job
	running   []*job
	log       executionLog
	seen      map[jobKey]message.Address
	stats     Stats
	now       time.Duration
	startedAt time.Duration
	crashed   bool
	draining  bool
	slow      float64
	health    healthView
	out       []message.Message
}

// jobKey names one attempt.
type jobKey struct {
	request message.RequestKey
	attempt uint32
}

// job is one attempt from its first part to its answer.
type job struct {
	key      jobKey
	owner    message.Address
	kind     message.KindID
	deadline time.Duration
	endsAt   time.Duration
	parts    [][]byte
	has      []bool
	missing  int
}

// New returns a machine that starts, cold, at time zero.
func New(config Config, seed uint64) *Machine {
	m := &Machine{
		config: config.withDefaults(),
		rng:    rand.New(rand.NewPCG(seed, uint64(config.ID))),
		slow:   1,
	}
	m.log.init()
	m.forget()
	m.note(0)
	return m
}

// forget drops the state that a crash loses.
func (m *Machine) forget() {
	m.flows = make(map[message.FlowID]struct{})
	m.partial = make(map[jobKey]*job)
	m.seen = make(map[jobKey]message.Address)
	m.waiting = nil
	m.running = nil
}

// Receive handles a message of an owner. The result is valid until the next call.
func (m *Machine) Receive(now time.Duration, msg message.Message) []message.Message {
	m.out = m.out[:0]
	m.work(now)
	if m.crashed {
		return nil
	}
	switch body := msg.Body.(type) {
	case *message.Dispatch:
		m.dispatch(now, msg.From, body)
	case *message.TargetCancel:
		m.cancel(body)
	case *message.FlowEnd:
		delete(m.flows, body.Flow)
	}
	m.work(now)
	return m.out
}

// Tick finishes and starts the work that is due at now. The result is valid
// until the next call.
func (m *Machine) Tick(now time.Duration) []message.Message {
	m.out = m.out[:0]
	m.work(now)
	return m.out
}

// NextWake returns the time at which Tick has work, or Never.
func (m *Machine) NextWake() time.Duration {
	next := Never
	for _, j := range m.running {
		next = min(next, j.endsAt)
	}
	for _, j := range m.waiting {
		next = min(next, j.deadline)
	}
	if len(m.waiting) > 0 && m.cold(m.now) {
		next = min(next, m.startedAt+m.config.ColdFor)
	}
	return next
}

// dispatch takes one part of a request.
func (m *Machine) dispatch(now time.Duration, from message.Address, d *message.Dispatch) {
	m.stats.Dispatches++
	key := jobKey{request: message.RequestKey{Flow: d.Flow, ID: d.ID}, attempt: d.Attempt}
	if m.config.DropDuplicates && m.seen[key] == from {
		m.stats.Copies++
		return
	}
	j := m.collect(now, key, from, d)
	if j == nil || j.missing > 0 {
		return
	}
	delete(m.partial, key)
	if m.config.DropDuplicates {
		m.seen[key] = from
	}
	if !m.accepts(now, d) {
		m.shed(j, false)
		return
	}
	m.flows[d.Flow] = struct{}{}
	m.waiting = append(m.waiting, j)
}

// collect adds a part to its job. It returns nil for a part that does not fit.
func (m *Machine) collect(now time.Duration, key jobKey, from message.Address, d *message.Dispatch) *job {
	j, ok := m.partial[key]
	if !ok || j.owner != from {
		j = &job{key: key, owner: from, kind: d.Kind, deadline: now + d.Deadline, missing: int(d.Parts)}
		j.parts = make([][]byte, d.Parts)
		j.has = make([]bool, d.Parts)
		m.dropPartial(now)
		m.partial[key] = j
	}
	if int(d.Part) >= len(j.parts) || int(d.Parts) != len(j.parts) || j.has[d.Part] {
		m.stats.Copies++
		return nil
	}
	j.parts[d.Part] = d.Payload
	j.has[d.Part] = true
	j.missing--
	return j
}

// maxPartial is the number of incomplete requests from which late ones are dropped.
const maxPartial = 256

// dropPartial forgets incomplete requests whose deadline has passed.
func (m *Machine) dropPartial(now time.Duration) {
	if len(m.partial) < maxPartial {
		return
	}
	maps.DeleteFunc(m.partial, func(_ jobKey, j *job) bool { return j.deadline <= now })
}

// accepts applies drain, connection state and the target's own limit.
func (m *Machine) accepts(now time.Duration, d *message.Dispatch) bool {
	_, known := m.flows[d.Flow]
	if !known && !d.Open {
		m.stats.UnknownFlows++
		if m.config.RequireOpen {
			return false
		}
	}
	if !known && d.Open && m.draining {
		return false
	}
	return m.inFlight() < m.slots(now)+m.config.Backlog
}

func (m *Machine) inFlight() int {
	return len(m.running) + len(m.waiting)
}

// slots is the number of requests that may run at now.
func (m *Machine) slots(now time.Duration) int {
	if m.cold(now) {
		return min(m.config.ColdSlots, m.config.Slots)
	}
	return m.config.Slots
}

func (m *Machine) cold(now time.Duration) bool {
	return now < m.startedAt+m.config.ColdFor
}

// work ends what is due, in order of time, and starts what has a slot.
func (m *Machine) work(now time.Duration) {
	m.now = now
	for j := m.earliest(now); j != nil; j = m.earliest(now) {
		m.finish(j)
		m.start(j.endsAt)
	}
	m.start(now)
	m.note(now)
}

// earliest returns the running job that ended first, at or before now, or nil.
func (m *Machine) earliest(now time.Duration) *job {
	var first *job
	for _, j := range m.running {
		if j.endsAt <= now && (first == nil || j.endsAt < first.endsAt) {
			first = j
		}
	}
	return first
}

func (m *Machine) start(now time.Duration) {
	m.stats.PeakInFlight = max(m.stats.PeakInFlight, m.inFlight())
	m.dropLate(now)
	for len(m.waiting) > 0 && len(m.running) < m.slots(now) {
		j := m.waiting[0]
		m.waiting = m.waiting[1:]
		m.run(now, j)
	}
	m.stats.PeakRunning = max(m.stats.PeakRunning, len(m.running))
}

// dropLate sheds waiting work whose deadline has passed.
func (m *Machine) dropLate(now time.Duration) {
	m.waiting = slices.DeleteFunc(m.waiting, func(j *job) bool {
		if j.deadline > now {
			return false
		}
		m.stats.TooLate++
		m.shed(j, false)
		return true
	})
}

// run executes a job: from here on its side effect counts.
func (m *Machine) run(now time.Duration, j *job) {
	factor := m.slow
	if m.cold(now) {
		factor *= m.config.ColdFactor
	}
	j.endsAt = now + m.config.work(j.kind).serviceTime(m.rng, factor)
	m.running = append(m.running, j)
	m.stats.Started++
	m.log.add(j.key, xxhash.Sum64(j.payload()))
}

func (j *job) payload() []byte {
	return slices.Concat(j.parts...)
}

func (m *Machine) finish(j *job) {
	m.running = slices.DeleteFunc(m.running, func(other *job) bool { return other == j })
	if j.endsAt > j.deadline {
		m.stats.TooLate++
		return
	}
	m.stats.Answered++
	m.answer(j)
}

// answer sends the parts of a job's answer to the owner that dispatched it.
func (m *Machine) answer(j *job) {
	whole := AnswerTo(j.payload(), m.config.work(j.kind).AnswerSize)
	parts := min(max(1, (len(whole)+message.MaxPayload-1)/message.MaxPayload), message.MaxParts)
	for i := range parts {
		end := min((i+1)*message.MaxPayload, len(whole))
		m.send(j.owner, &message.Answer{
			Flow: j.key.request.Flow, ID: j.key.request.ID, Attempt: j.key.attempt,
			Part: uint16(i), Parts: uint16(parts), Payload: whole[i*message.MaxPayload : end],
		})
	}
}

func (m *Machine) shed(j *job, started bool) {
	m.stats.Shed++
	m.send(j.owner, &message.Shed{
		Target: m.config.ID, Flow: j.key.request.Flow, ID: j.key.request.ID, Attempt: j.key.attempt, Started: started,
	})
}

// cancel sheds waiting work and stops running work, which gets no answer.
func (m *Machine) cancel(c *message.TargetCancel) {
	key := message.RequestKey{Flow: c.Flow, ID: c.ID}
	m.waiting = slices.DeleteFunc(m.waiting, func(j *job) bool {
		if j.key.request != key {
			return false
		}
		m.stats.Cancelled++
		m.shed(j, false)
		return true
	})
	m.running = slices.DeleteFunc(m.running, func(j *job) bool {
		if j.key.request != key {
			return false
		}
		m.stats.Cancelled++
		m.shed(j, true)
		return true
	})
}

func (m *Machine) send(to message.Address, body message.Body) {
	m.out = append(m.out, message.Message{From: message.TargetAddress(m.config.ID, to.Addr), To: to, Body: body})
}

// Stats returns the counters.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Flows = len(m.flows)
	return s
}
