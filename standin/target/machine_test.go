package target

import (
	"flag"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

const ms = time.Millisecond

var owner = message.VMAddress(1, netip.MustParseAddrPort("127.0.0.1:7200"))

// request returns the dispatch of a one-part request with a deadline of one second.
func request(id message.RequestID) message.Message {
	return message.Message{From: owner, Body: &message.Dispatch{
		Flow: message.FlowID{Lo: 1}, ID: id, Attempt: 1, Open: true, Deadline: time.Second, Parts: 1, Payload: []byte{byte(id)},
	}}
}

func countOf[T message.Body](out []message.Message) int {
	n := 0
	for _, m := range out {
		if _, ok := m.Body.(T); ok {
			n++
		}
	}
	return n
}

// TestSlotsAndShedding guards against more running requests than slots and against an
// unlimited backlog.
func TestSlotsAndShedding(t *testing.T) {
	is := is.New(t)
	m := New(Config{Backlog: 2, Profiles: []RequestProfile{{Median: 10 * ms}}}, 1)
	shed := 0
	for id := range message.RequestID(7) {
		shed += countOf[*message.Shed](m.Receive(0, request(id+1)))
	}
	is.Equal(shed, 2)
	is.Equal(m.Stats().PeakRunning, 3)
	is.Equal(m.NextWake(), 10*ms)
	is.Equal(countOf[*message.Answer](m.Tick(10*ms)), 3)
	is.Equal(countOf[*message.Answer](m.Tick(20*ms)), 2)
	is.Equal(m.NextWake(), Never)
}

// TestColdStart guards against a cold target that has its full speed or all its slots.
func TestColdStart(t *testing.T) {
	is := is.New(t)
	m := New(Config{ColdFor: time.Second, Profiles: []RequestProfile{{Median: 10 * ms}}}, 1)
	m.Receive(0, request(1))
	m.Receive(0, request(2))
	is.Equal(m.Stats().PeakRunning, 1)
	is.Equal(countOf[*message.Answer](m.Tick(29*ms)), 0)
	is.Equal(countOf[*message.Answer](m.Tick(30*ms)), 1)
	health, reached := m.Health(30 * ms)
	is.True(reached)
	is.Equal(health, Health{Healthy: true, Cold: true, InFlight: 1})
}

// TestDrain guards against a draining target that accepts new flows or sheds requests of its
// established flows.
func TestDrain(t *testing.T) {
	is := is.New(t)
	m := New(Config{}, 1)
	m.Receive(0, request(1))
	drain := true
	is.NoErr(m.Apply(0, Control{Drain: &drain}))
	is.Equal(countOf[*message.Shed](m.Receive(0, request(2))), 0)
	other := request(3)
	other.Body.(*message.Dispatch).Flow = message.FlowID{Lo: 2}
	is.Equal(countOf[*message.Shed](m.Receive(0, other)), 1)
}

// TestCancelAndDeadline guards against the execution of cancelled or expired requests and
// against answers after the deadline.
func TestCancelAndDeadline(t *testing.T) {
	is := is.New(t)
	m := New(Config{Slots: 1, Profiles: []RequestProfile{{Median: 600 * ms}}}, 1)
	for id := range message.RequestID(3) {
		m.Receive(0, request(id+1))
	}
	cancel := message.Message{From: owner, Body: &message.TargetCancel{Flow: message.FlowID{Lo: 1}, ID: 2}}
	is.Equal(countOf[*message.Shed](m.Receive(0, cancel)), 1)
	is.Equal(countOf[*message.Answer](m.Tick(600*ms)), 1)
	is.Equal(countOf[*message.Answer](m.Tick(1200*ms)), 0) // ended after its deadline
	m.Receive(1300*ms, request(4))
	cancel.Body = &message.TargetCancel{Flow: message.FlowID{Lo: 1}, ID: 4}
	stopped := m.Receive(1400*ms, cancel)
	is.Equal(len(stopped), 1)
	is.True(stopped[0].Body.(*message.Shed).Started)
	is.Equal(len(m.Executions()), 3)
	is.Equal(m.Stats().TooLate, uint64(1))
}

// TestCrashLosesState guards against flows or requests that survive a crash, and against
// execution records that do not.
func TestCrashLosesState(t *testing.T) {
	is := is.New(t)
	m := New(Config{RequireOpen: true}, 1)
	m.Receive(0, request(1))
	crash, start := true, false
	is.NoErr(m.Apply(ms, Control{Crash: &crash}))
	is.Equal(len(m.Receive(2*ms, request(2))), 0)
	_, reached := m.Health(2 * ms)
	is.True(!reached)
	is.NoErr(m.Apply(3*ms, Control{Crash: &start}))
	is.Equal(m.Stats().Flows, 0)
	late := request(3)
	late.Body.(*message.Dispatch).Open = false
	is.Equal(countOf[*message.Shed](m.Receive(4*ms, late)), 1)
	is.Equal(len(m.Executions()), 1)
}

// TestHealthLagAndFalseReports guards against a health endpoint that ignores Control.LagMS or
// Control.Lie.
func TestHealthLagAndFalseReports(t *testing.T) {
	is := is.New(t)
	m := New(Config{}, 1)
	lag, lie, drain := 500, LieUnhealthy, true
	is.NoErr(m.Apply(0, Control{LagMS: &lag}))
	is.NoErr(m.Apply(100*ms, Control{Drain: &drain}))
	health, _ := m.Health(599 * ms)
	is.True(!health.Draining)
	health, _ = m.Health(600 * ms)
	is.True(health.Draining)
	is.NoErr(m.Apply(600*ms, Control{Lie: &lie}))
	health, _ = m.Health(600 * ms)
	is.True(!health.Healthy)
}

// TestEachRequestHasOneOutcome guards against lost, repeated or uncounted executions: each
// request is answered, shed or past its deadline, and counted once per dispatch.
func TestEachRequestHasOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(Config{Slots: 2, Profiles: []RequestProfile{{Median: 5 * ms, Sigma: 1, AnswerSize: 3000}}}, 3)
		requests := rapid.SliceOfN(rapid.IntRange(1, 5), 1, 60).Draw(t, "ids")
		now, answered, shed := time.Duration(0), 0, 0
		count := func(out []message.Message) {
			answered += countOf[*message.Answer](out)
			shed += countOf[*message.Shed](out)
		}
		for _, id := range requests {
			now += time.Duration(rapid.IntRange(0, 4).Draw(t, "gap")) * ms
			count(m.Receive(now, request(message.RequestID(id))))
			if len(m.running) > 2 {
				t.Fatalf("%d requests run in 2 slots", len(m.running))
			}
		}
		for next := m.NextWake(); next != Never; next = m.NextWake() {
			count(m.Tick(next))
		}
		executed := 0
		for _, e := range m.Executions() {
			executed += e.Count
		}
		const parts = 3
		if executed+shed != len(requests) || answered/parts+int(m.Stats().TooLate) != executed {
			t.Fatalf("%d requests: %d executed, %d shed, %d answer parts", len(requests), executed, shed, answered)
		}
	})
}

// TestAnswerDigest guards against a check that accepts answers to other requests or answers
// that mix two requests.
func TestAnswerDigest(t *testing.T) {
	is := is.New(t)
	answer := AnswerTo([]byte("request"), 100)
	is.True(IsAnswerTo([]byte("request"), answer))
	is.True(!IsAnswerTo([]byte("another"), answer))
	mixed := slices.Concat(answer[:50], AnswerTo([]byte("another"), 100)[50:])
	is.True(!IsAnswerTo([]byte("request"), mixed))
}

// Fixes the seed of package rapid; flags on the command line override it.
var (
	_ = flag.Set("rapid.seed", "20261204")
)
