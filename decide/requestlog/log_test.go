package requestlog

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

const (
	deadline  = time.Second
	retention = 10 * time.Second
)

// rapid uses a fixed seed; -rapid.seed overrides it.
var _ = flag.Set("rapid.seed", "1")

func key(flow uint64, id message.RequestID) message.RequestKey {
	return message.RequestKey{Flow: message.FlowID{Lo: flow}, ID: id}
}

var k = key(1, 5)

func part(i, n uint16, size int) *message.Answer {
	return &message.Answer{Part: i, Parts: n, Payload: make([]byte, size)}
}

func begin(l *Log)                { l.Begin(0, k, 1, deadline, false) }
func dispatch(l *Log)             { l.Dispatch(0, k, 1) }
func refuse(l *Log)               { l.Refuse(0, k, 1, message.CauseQueueFull) }
func recordShed(l *Log)           { l.RecordShed(0, k, 1) }
func abandon(l *Log)              { l.Abandon(deadline, k) }
func expire(l *Log)               { l.Expire(deadline+retention, func(message.RequestKey) {}) }
func recordWholeAnswer(l *Log)    { l.RecordPart(0, k, 1, part(0, 1, 10)) }
func recordHalfAnswer(l *Log)     { l.RecordPart(0, k, 1, part(1, 2, 10)) }
func recordTooLargeAnswer(l *Log) { l.RecordPart(0, k, 1, part(0, 1, 1000)) }

func imported(s State) func(*Log) {
	return func(l *Log) {
		l.Import(0, []message.LogRecord{{Key: k, Attempt: 1, State: uint8(s), ExpiresIn: deadline + retention}})
	}
}

// Each case guards against a wrong verdict on a duplicate or a retry after a fault, and against
// "not run" for a request that may have run.
func TestVerdictsAfterFaults(t *testing.T) {
	cases := []struct {
		name    string
		steps   []func(*Log)
		attempt uint32
		want    Verdict
		refuses bool // result of Refuse for the same attempt, instead of Begin
	}{
		{"first attempt", nil, 1, Fresh, true},
		{"duplicate of a queued request", []func(*Log){begin}, 1, Pending, true},
		{"duplicate of a dispatched request", []func(*Log){begin, dispatch}, 1, Pending, false},
		{"retry of a queued request", []func(*Log){begin}, 2, Pending, false},
		{"retry of a dispatched request", []func(*Log){begin, dispatch}, 2, Pending, false},
		{"duplicate while the answer is incomplete", []func(*Log){begin, dispatch, recordHalfAnswer}, 1, Pending, false},
		{"duplicate of an answered request", []func(*Log){begin, dispatch, recordWholeAnswer}, 1, Replay, false},
		{"retry of an answered request", []func(*Log){begin, dispatch, recordWholeAnswer}, 2, Replay, false},
		{"answer larger than MaxAnswerBytes", []func(*Log){begin, dispatch, recordTooLargeAnswer}, 1, Evicted, false},
		{"duplicate of a refused request", []func(*Log){begin, refuse}, 1, RefusedBefore, true},
		{"refusal arrives before the request", []func(*Log){refuse}, 1, RefusedBefore, true},
		{"retry of a refused request", []func(*Log){begin, refuse}, 2, Fresh, true},
		{"old duplicate after a retry was refused", []func(*Log){begin, refuse, func(l *Log) { l.Refuse(0, k, 2, message.CauseDeadline) }}, 1, OldAttempt, false},
		{"refusal after dispatch has no effect", []func(*Log){begin, dispatch, refuse}, 1, Pending, false},
		{"dispatch after refusal has no effect", []func(*Log){begin, refuse, dispatch}, 1, RefusedBefore, true},
		{"shed by the target", []func(*Log){begin, dispatch, recordShed}, 1, RefusedBefore, true},
		{"retry after shed", []func(*Log){begin, dispatch, recordShed}, 2, Fresh, true},
		{"shed of a request never dispatched", []func(*Log){begin, recordShed}, 1, Pending, true},
		{"shed after a part of the answer", []func(*Log){begin, dispatch, recordHalfAnswer, recordShed}, 1, Pending, false},
		{"deadline passed without answer", []func(*Log){begin, dispatch, abandon}, 1, Evicted, false},
		{"answer after the deadline", []func(*Log){begin, dispatch, abandon, recordWholeAnswer}, 1, Replay, false},
		{"duplicate after retention", []func(*Log){begin, dispatch, expire}, 1, Evicted, false},
		{"duplicate of a queued request after retention", []func(*Log){begin, expire}, 1, Evicted, false},
		{"imported as queued", []func(*Log){imported(Queued)}, 1, Pending, true},
		{"imported as queued, dispatched here", []func(*Log){imported(Queued), dispatch}, 1, Pending, false},
		{"imported as dispatched", []func(*Log){imported(Dispatched)}, 1, Evicted, false},
		{"imported as done", []func(*Log){imported(Done)}, 1, Evicted, false},
		{"imported as refused", []func(*Log){imported(Refused)}, 1, RefusedBefore, true},
		{"imported in an unknown state", []func(*Log){imported(99)}, 1, Evicted, false},
		{"imported again after dispatch", []func(*Log){imported(Queued), dispatch, imported(Queued)}, 1, Pending, false},
		{"imported as refused after dispatch", []func(*Log){begin, dispatch, imported(Refused)}, 1, Pending, false},
		{"imported as dispatched while queued", []func(*Log){begin, imported(Dispatched)}, 1, Evicted, false},
		{"imported as refused while queued", []func(*Log){begin, imported(Refused)}, 1, RefusedBefore, true},
		{"imported as queued after refusal", []func(*Log){refuse, imported(Queued)}, 1, RefusedBefore, true},
		{"imported, shed at the previous owner", []func(*Log){imported(Dispatched), func(l *Log) { l.RecordShed(0, k, 1) }}, 2, Fresh, true},
		{"imported, answered by the previous owner", []func(*Log){imported(Dispatched), recordWholeAnswer}, 1, Replay, false},
		{"flow removed", []func(*Log){begin, dispatch, recordWholeAnswer, func(l *Log) { l.RemoveFlow(k.Flow) }}, 1, Fresh, true},
		{"request at the floor of a handed-over flow", []func(*Log){func(l *Log) { l.RaiseFloor(k.Flow, k.ID) }}, 1, Evicted, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			prepare := func() *Log {
				l := New(Config{MaxAnswerBytes: 500})
				for _, step := range c.steps {
					step(l)
				}
				return l
			}
			is.Equal(prepare().Begin(0, k, c.attempt, deadline, false).String(), c.want.String())
			is.Equal(prepare().Refuse(0, k, c.attempt, message.CauseDeadline), c.refuses)
		})
	}
}

// Guards against an idempotent request that can never succeed after its answer
// was lost, and against a second run of any other request.
func TestRestart(t *testing.T) {
	is := is.New(t)
	for _, idempotent := range []bool{true, false} {
		l := New(Config{MaxAnswerBytes: 500})
		l.Begin(0, k, 1, deadline, idempotent)
		dispatch(l)
		is.True(!l.Restart(0, k, 2, deadline)) // the answer may still arrive
		recordTooLargeAnswer(l)
		is.True(!l.Restart(0, k, 1, deadline)) // not a new attempt
		is.Equal(l.Restart(0, k, 2, deadline), idempotent)
		is.Equal(l.Dispatch(0, k, 2), idempotent)
	}
}

// Guards against replays of a mixed or incomplete answer, and against unbounded memory for
// answers.
func TestAnswers(t *testing.T) {
	is := is.New(t)
	l := New(Config{MaxAnswerBytes: 2 * (partOverheadBytes + 100)})
	for id := message.RequestID(1); id <= 3; id++ {
		l.Begin(0, key(1, id), 1, deadline, false)
		l.Dispatch(0, key(1, id), 1)
	}
	is.True(!l.RecordPart(0, key(1, 1), 1, part(1, 2, 50)))
	is.True(!l.RecordPart(0, key(1, 1), 1, part(1, 2, 50))) // duplicate
	is.True(!l.RecordPart(0, key(1, 1), 1, part(0, 3, 50))) // another number of parts
	is.True(!l.RecordPart(0, key(1, 1), 1, part(2, 2, 50))) // part index out of range
	is.True(!l.RecordPart(0, key(1, 1), 2, part(0, 2, 50))) // another attempt
	is.True(l.RecordPart(0, key(1, 1), 1, part(0, 2, 50)))
	is.True(!l.RecordPart(0, key(1, 1), 1, part(0, 2, 50))) // complete only once
	is.Equal(len(l.Answer(key(1, 1))), 2)
	is.Equal(l.Answer(key(1, 1))[1].Part, uint16(1))
	is.True(l.RecordPart(0, key(1, 2), 1, part(0, 1, 10)))
	is.Equal(l.Answer(key(1, 1)), nil) // the oldest answer was evicted
	is.True(l.RecordPart(0, key(1, 3), 1, part(0, 1, 10)))
	is.Equal(len(l.Answer(key(1, 2))), 1)
	is.Equal(l.Active(message.FlowID{Lo: 1}), 0)
	expire(l)
	is.Equal(l.AnswerBytes(), 0)
	is.Equal(l.Len(), 0)
	is.Equal(l.Floor(message.FlowID{Lo: 1}), message.RequestID(3))
}

// model is the oracle of one request.
type model struct {
	outstanding uint32          // attempt at the target that was not shed; 0 for none
	refused     map[uint32]bool // attempts that were refused as "not run"
}

// Guards invariants 4 and 5 of the design: a refusal "not run" is true, and a request runs
// at most once between refusals, also after expiry and repeated handovers.
func TestAtMostOnceAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(Config{MaxAnswerBytes: 600})
		now := time.Duration(0)
		models := map[message.RequestKey]*model{}
		draw := func() (message.RequestKey, uint32, *model) {
			key := key(rapid.Uint64Range(1, 2).Draw(t, "flow"), message.RequestID(rapid.Uint64Range(1, 3).Draw(t, "id")))
			if models[key] == nil {
				models[key] = &model{refused: map[uint32]bool{}}
			}
			return key, rapid.Uint32Range(1, 3).Draw(t, "attempt"), models[key]
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(*rapid.T) {
				key, attempt, m := draw()
				v := l.Begin(now, key, attempt, now+deadline, false)
				if v == Fresh && (m.outstanding != 0 || m.refused[attempt]) {
					t.Fatalf("Fresh with %+v", *m)
				}
			},
			"dispatch": func(*rapid.T) {
				key, attempt, m := draw()
				if l.Dispatch(now, key, attempt) {
					if m.outstanding != 0 || m.refused[attempt] {
						t.Fatalf("dispatched attempt %d with %+v", attempt, *m)
					}
					m.outstanding = attempt
				}
			},
			"refuse": func(*rapid.T) {
				key, attempt, m := draw()
				if l.Refuse(now, key, attempt, message.CauseDeadline) {
					if m.outstanding != 0 {
						t.Fatalf("refused attempt %d with %+v", attempt, *m)
					}
					m.refused[attempt] = true
				}
			},
			"withdraw": func(*rapid.T) {
				key, attempt, m := draw()
				if l.RecordShed(now, key, attempt) {
					if m.outstanding != attempt {
						t.Fatalf("recorded the shed of attempt %d with %+v", attempt, *m)
					}
					m.outstanding = 0
					m.refused[attempt] = true
				}
			},
			"answer": func(*rapid.T) {
				key, attempt, m := draw()
				i := rapid.Uint16Range(0, 1).Draw(t, "part")
				if l.RecordPart(now, key, attempt, part(i, 2, 100)) && m.outstanding != attempt {
					t.Fatalf("answer of attempt %d with %+v", attempt, *m)
				}
			},
			"advance": func(*rapid.T) {
				key, _, _ := draw()
				l.Abandon(now, key)
				now += time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second
				l.Expire(now, func(message.RequestKey) {})
			},
			"handover": func(*rapid.T) {
				old := l
				records := old.Export(now, func(message.FlowID) bool { return true })
				l = New(Config{MaxAnswerBytes: 600})
				l.Import(now, records)
				l.Import(now, records)
				for id := range old.flows {
					l.RaiseFloor(id, old.Floor(id))
				}
			},
			"": func(*rapid.T) { checkCounts(t, l) },
		})
	})
}

// checkCounts compares the counters of the log with a full scan.
func checkCounts(t *rapid.T, l *Log) {
	bytes, active := 0, map[*flow]int{}
	for _, e := range l.entries {
		bytes += e.answer.bytes
		if e.active() {
			active[e.flow]++
		}
	}
	if bytes != l.AnswerBytes() || bytes > l.config.MaxAnswerBytes || len(l.expiry) != l.Len() {
		t.Fatalf("%d bytes recorded, %d counted; %d entries in the log, %d in the heap", bytes, l.AnswerBytes(), l.Len(), len(l.expiry))
	}
	for id, f := range l.flows {
		if active[f] != l.Active(id) {
			t.Fatalf("flow %v: %d active, %d counted", id, active[f], l.Active(id))
		}
	}
}

func BenchmarkRequest(b *testing.B) {
	b.ReportAllocs()
	l := New(Config{})
	p := part(0, 1, 100)
	ignore := func(message.RequestKey) {}
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		key := key(uint64(i%4300), message.RequestID(i))
		l.Begin(now, key, 1, now+deadline, false)
		l.Dispatch(now, key, 1)
		l.RecordPart(now, key, 1, p)
		l.Expire(now, ignore)
	}
}
