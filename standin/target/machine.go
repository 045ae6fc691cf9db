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

// Never is the result of NextWake if no work is scheduled.
const Never = time.Duration(math.MaxInt64)

// Stats counts events since the machine was created. Crashes do not reset it.
type Stats struct {
	Dispatches   uint64 `json:"dispatches"` // Dispatch datagrams received
	Started      uint64 `json:"started"`
	Answered     uint64 `json:"answered"`
	Shed         uint64 `json:"shed"`
	Cancelled    uint64 `json:"cancelled"`
	TooLate      uint64 `json:"too_late"`      // not started, or not answered, because the deadline had passed
	UnknownFlows uint64 `json:"unknown_flows"` // requests of unknown flows without the open marker
	Duplicates   uint64 `json:"copies"`        // datagrams dropped as duplicates
	Crashes      uint64 `json:"crashes"`
	Flows        int    `json:"flows"`          // flows now open
	PeakInFlight int    `json:"peak_in_flight"` // largest number of running and queued requests
	PeakRunning  int    `json:"peak_running"`
}

// Machine is the state machine of a target. It does no I/O, takes the time as an argument
// and is not safe for concurrent use.
type Machine struct {
	config     Config
	rng        *rand.Rand
	flows      map[message.FlowID]struct{}
	incomplete map[attemptKey]*job
	queue      []*job
	running    []*job
	executions executionLog
	dispatched map[attemptKey]message.Address
	stats      Stats
	now        time.Duration
	startedAt  time.Duration
	crashed    bool
	draining   bool
	slowFactor float64
	health     healthHistory
	out        []message.Message
}

// attemptKey identifies one attempt of a request.
type attemptKey struct {
	request message.RequestKey
	attempt uint32
}

// job is one attempt, from the receipt of its first part until it is answered or shed.
type job struct {
	key          attemptKey
	owner        message.Address
	kind         message.KindID
	deadline     time.Duration
	endsAt       time.Duration
	parts        [][]byte
	received     []bool
	missingParts int
}

// New returns a machine that starts at time 0, cold if Config.ColdFor is set.
func New(config Config, seed uint64) *Machine {
	m := &Machine{
		config:     config.withDefaults(),
		rng:        rand.New(rand.NewPCG(seed, uint64(config.ID))),
		slowFactor: 1,
	}
	m.executions.init()
	m.resetState()
	m.recordHealth(0)
	return m
}

// resetState discards the state that a crash loses.
func (m *Machine) resetState() {
	m.flows = make(map[message.FlowID]struct{})
	m.incomplete = make(map[attemptKey]*job)
	m.dispatched = make(map[attemptKey]message.Address)
	m.queue = nil
	m.running = nil
}

// Receive handles a message of an owner and returns the messages to send. The result is valid
// until the next call.
func (m *Machine) Receive(now time.Duration, msg message.Message) []message.Message {
	m.out = m.out[:0]
	m.advance(now)
	if m.crashed {
		return nil
	}
	switch body := msg.Body.(type) {
	case *message.Dispatch:
		m.handleDispatch(now, msg.From, body)
	case *message.TargetCancel:
		m.handleCancel(body)
	case *message.FlowEnd:
		delete(m.flows, body.Flow)
	}
	m.advance(now)
	return m.out
}

// Tick finishes and starts the requests that are due at now and returns the messages to send.
// The result is valid until the next call.
func (m *Machine) Tick(now time.Duration) []message.Message {
	m.out = m.out[:0]
	m.advance(now)
	return m.out
}

// NextWake returns the time at which Tick must be called next, or Never.
func (m *Machine) NextWake() time.Duration {
	next := Never
	for _, j := range m.running {
		next = min(next, j.endsAt)
	}
	for _, j := range m.queue {
		next = min(next, j.deadline)
	}
	if len(m.queue) > 0 && m.isCold(m.now) {
		next = min(next, m.startedAt+m.config.ColdFor)
	}
	return next
}

// handleDispatch handles one part of a request.
func (m *Machine) handleDispatch(now time.Duration, from message.Address, d *message.Dispatch) {
	m.stats.Dispatches++
	key := attemptKey{request: message.RequestKey{Flow: d.Flow, ID: d.ID}, attempt: d.Attempt}
	if m.config.DropDuplicates && m.dispatched[key] == from {
		m.stats.Duplicates++
		return
	}
	j := m.addPart(now, key, from, d)
	if j == nil || j.missingParts > 0 {
		return
	}
	delete(m.incomplete, key)
	if m.config.DropDuplicates {
		m.dispatched[key] = from
	}
	if !m.admits(now, d) {
		m.sendShed(j, false)
		return
	}
	m.flows[d.Flow] = struct{}{}
	m.queue = append(m.queue, j)
}

// addPart adds a part to its job. It returns nil for a duplicate part, or one that does not
// match the job's number of parts.
func (m *Machine) addPart(now time.Duration, key attemptKey, from message.Address, d *message.Dispatch) *job {
	j, ok := m.incomplete[key]
	if !ok || j.owner != from {
		j = &job{key: key, owner: from, kind: d.Kind, deadline: now + d.Deadline, missingParts: int(d.Parts)}
		j.parts = make([][]byte, d.Parts)
		j.received = make([]bool, d.Parts)
		m.dropExpiredIncomplete(now)
		m.incomplete[key] = j
	}
	if int(d.Part) >= len(j.parts) || int(d.Parts) != len(j.parts) || j.received[d.Part] {
		m.stats.Duplicates++
		return nil
	}
	j.parts[d.Part] = d.Payload
	j.received[d.Part] = true
	j.missingParts--
	return j
}

// maxIncomplete is the number of incomplete requests at which expired ones are dropped.
const maxIncomplete = 256

// dropExpiredIncomplete discards incomplete requests whose deadline has passed, if there are
// at least maxIncomplete.
func (m *Machine) dropExpiredIncomplete(now time.Duration) {
	if len(m.incomplete) < maxIncomplete {
		return
	}
	maps.DeleteFunc(m.incomplete, func(_ attemptKey, j *job) bool { return j.deadline <= now })
}

// admits decides whether a request is accepted: it checks flow state, draining and the
// limits on slots and backlog.
func (m *Machine) admits(now time.Duration, d *message.Dispatch) bool {
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
	return m.inFlight() < m.availableSlots(now)+m.config.Backlog
}

func (m *Machine) inFlight() int {
	return len(m.running) + len(m.queue)
}

// availableSlots returns the number of requests that may run concurrently at now.
func (m *Machine) availableSlots(now time.Duration) int {
	if m.isCold(now) {
		return min(m.config.ColdSlots, m.config.Slots)
	}
	return m.config.Slots
}

func (m *Machine) isCold(now time.Duration) bool {
	return now < m.startedAt+m.config.ColdFor
}

// advance finishes the requests that are due by now, in order of time, and starts queued
// requests in free slots.
func (m *Machine) advance(now time.Duration) {
	m.now = now
	for j := m.nextFinished(now); j != nil; j = m.nextFinished(now) {
		m.finish(j)
		m.startQueued(j.endsAt)
	}
	m.startQueued(now)
	m.recordHealth(now)
}

// nextFinished returns the running job with the earliest end at or before now, or nil.
func (m *Machine) nextFinished(now time.Duration) *job {
	var first *job
	for _, j := range m.running {
		if j.endsAt <= now && (first == nil || j.endsAt < first.endsAt) {
			first = j
		}
	}
	return first
}

func (m *Machine) startQueued(now time.Duration) {
	m.stats.PeakInFlight = max(m.stats.PeakInFlight, m.inFlight())
	m.shedExpired(now)
	for len(m.queue) > 0 && len(m.running) < m.availableSlots(now) {
		j := m.queue[0]
		m.queue = m.queue[1:]
		m.execute(now, j)
	}
	m.stats.PeakRunning = max(m.stats.PeakRunning, len(m.running))
}

// shedExpired sheds the queued requests whose deadline has passed.
func (m *Machine) shedExpired(now time.Duration) {
	m.queue = slices.DeleteFunc(m.queue, func(j *job) bool {
		if j.deadline > now {
			return false
		}
		m.stats.TooLate++
		m.sendShed(j, false)
		return true
	})
}

// execute starts a job and records its execution.
func (m *Machine) execute(now time.Duration, j *job) {
	factor := m.slowFactor
	if m.isCold(now) {
		factor *= m.config.ColdFactor
	}
	j.endsAt = now + m.config.profile(j.kind).serviceTime(m.rng, factor)
	m.running = append(m.running, j)
	m.stats.Started++
	m.executions.add(j.key, xxhash.Sum64(j.payload()))
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
	m.sendAnswer(j)
}

// sendAnswer sends the parts of a job's answer to the owner that dispatched it.
func (m *Machine) sendAnswer(j *job) {
	whole := AnswerTo(j.payload(), m.config.profile(j.kind).AnswerSize)
	parts := min(max(1, (len(whole)+message.MaxPayload-1)/message.MaxPayload), message.MaxParts)
	for i := range parts {
		end := min((i+1)*message.MaxPayload, len(whole))
		m.send(j.owner, &message.Answer{
			Flow: j.key.request.Flow, ID: j.key.request.ID, Attempt: j.key.attempt,
			Part: uint16(i), Parts: uint16(parts), Payload: whole[i*message.MaxPayload : end],
		})
	}
}

func (m *Machine) sendShed(j *job, started bool) {
	m.stats.Shed++
	m.send(j.owner, &message.Shed{
		Target: m.config.ID, Flow: j.key.request.Flow, ID: j.key.request.ID, Attempt: j.key.attempt, Started: started,
	})
}

// handleCancel removes a queued or running request and reports it to the owner as shed.
func (m *Machine) handleCancel(c *message.TargetCancel) {
	key := message.RequestKey{Flow: c.Flow, ID: c.ID}
	m.queue = slices.DeleteFunc(m.queue, func(j *job) bool {
		if j.key.request != key {
			return false
		}
		m.stats.Cancelled++
		m.sendShed(j, false)
		return true
	})
	m.running = slices.DeleteFunc(m.running, func(j *job) bool {
		if j.key.request != key {
			return false
		}
		m.stats.Cancelled++
		m.sendShed(j, true)
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
