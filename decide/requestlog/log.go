package requestlog

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// entry is one request.
type entry struct {
	key        message.RequestKey
	attempt    uint32
	state      State
	cause      message.Cause // of the last refusal
	idempotent bool
	lapsed     bool // Dispatched, and nobody waits for the answer any more
	imported   bool // Dispatched by a previous owner of the target
	expires    time.Duration
	heapIndex  int
	flow       *flow
	prev, next *entry // of the same flow
	answer     answer
}

// active reports whether the request is queued or in flight.
func (e *entry) active() bool {
	return e.state == Queued || (e.state == Dispatched && !e.lapsed)
}

// flow is what the log knows of one flow. It outlives its entries, since its
// floor tells expired requests from those never seen.
type flow struct {
	active int
	floor  message.RequestID
	first  *entry
}

// Log is the request log of one owned target. It is not safe for concurrent use.
type Log struct {
	config  Config
	entries map[message.RequestKey]*entry
	flows   map[message.FlowID]*flow
	expiry  expiryHeap
	answers answerStore
	free    *entry // removed entries for reuse, linked by next
}

// New returns an empty log.
func New(config Config) *Log {
	config = config.withDefaults()
	return &Log{
		config:  config,
		entries: make(map[message.RequestKey]*entry),
		flows:   make(map[message.FlowID]*flow),
		answers: answerStore{limit: config.MaxAnswerBytes},
	}
}

// Begin decides on a copy of attempt (from 1) of a request whose deadline is an
// absolute time on the VM's clock. Only the verdict Fresh changes the log.
func (l *Log) Begin(now time.Duration, key message.RequestKey, attempt uint32, deadline time.Duration, idempotent bool) Verdict {
	e := l.entries[key]
	if e == nil {
		return l.beginUnknown(key, attempt, deadline, idempotent)
	}
	if attempt < e.attempt {
		return OldAttempt
	}
	switch e.state {
	case Queued:
		return Pending
	case Refused:
		return l.beginRefused(e, attempt, deadline, idempotent)
	case Done:
		return e.answer.verdict()
	default:
		return e.dispatchedVerdict()
	}
}

func (l *Log) beginUnknown(key message.RequestKey, attempt uint32, deadline time.Duration, idempotent bool) Verdict {
	if l.belowFloor(key) {
		return Evicted
	}
	e := l.add(key, deadline+l.config.Retention)
	e.attempt = attempt
	e.idempotent = idempotent
	l.setState(e, Queued)
	return Fresh
}

func (l *Log) beginRefused(e *entry, attempt uint32, deadline time.Duration, idempotent bool) Verdict {
	if attempt == e.attempt {
		return RefusedBefore
	}
	e.idempotent = idempotent
	l.requeue(e, attempt, deadline)
	return Fresh
}

// dispatchedVerdict is Pending only while this owner waits for the answer.
func (e *entry) dispatchedVerdict() Verdict {
	if e.lapsed || e.imported {
		return Evicted
	}
	return Pending
}

// requeue starts a higher attempt.
func (l *Log) requeue(e *entry, attempt uint32, deadline time.Duration) {
	l.answers.drop(e)
	e.answer.clear()
	e.attempt = attempt
	e.imported = false
	l.extend(e, deadline+l.config.Retention)
	l.setState(e, Queued)
}

// Restart starts a higher attempt of an idempotent request that may have run
// and whose answer is not available here (verdict Evicted). It returns false,
// and changes nothing, for any other request. Begin never does this by itself,
// so that a log without Restart dispatches every request at most once.
func (l *Log) Restart(now time.Duration, key message.RequestKey, attempt uint32, deadline time.Duration) bool {
	e := l.entries[key]
	if e == nil || !e.idempotent || attempt <= e.attempt {
		return false
	}
	if l.Begin(now, key, attempt, deadline, true) != Evicted {
		return false
	}
	l.requeue(e, attempt, deadline)
	return true
}

// Dispatch is the last check before a request is sent to the target. It returns
// true exactly once for each attempt that Begin called Fresh.
func (l *Log) Dispatch(now time.Duration, key message.RequestKey, attempt uint32) bool {
	e := l.entries[key]
	if e == nil || e.state != Queued || e.attempt != attempt {
		return false
	}
	l.setState(e, Dispatched)
	return true
}

// Refuse records that attempt will never run. It returns true only if the
// attempt certainly was not dispatched; the owner may then say "not run". With
// false the owner must say "may have run", or nothing. An attempt that is
// refused already stays so and gives true again.
func (l *Log) Refuse(now time.Duration, key message.RequestKey, attempt uint32, cause message.Cause) bool {
	e := l.entries[key]
	if e == nil {
		return l.refuseUnknown(now, key, attempt, cause)
	}
	if !e.refusable(attempt) {
		return false
	}
	e.attempt = attempt
	e.cause = cause
	l.setState(e, Refused)
	return true
}

// refusable reports whether attempt is the queued one, or not below the refused one.
func (e *entry) refusable(attempt uint32) bool {
	if e.state == Queued {
		return attempt == e.attempt
	}
	return e.state == Refused && attempt >= e.attempt
}

func (l *Log) refuseUnknown(now time.Duration, key message.RequestKey, attempt uint32, cause message.Cause) bool {
	if l.belowFloor(key) {
		return false
	}
	e := l.add(key, now+l.config.Retention)
	e.attempt = attempt
	e.cause = cause
	l.setState(e, Refused)
	return true
}

// RecordShed records that the target shed a dispatched attempt before starting
// it. It returns true if the attempt is refused now, so that the owner may say
// "not run". A target that has sent a part of the answer did start the request.
func (l *Log) RecordShed(now time.Duration, key message.RequestKey, attempt uint32) bool {
	e := l.entries[key]
	if e == nil || e.state != Dispatched || e.attempt != attempt {
		return false
	}
	if e.answer.started() {
		return false
	}
	e.cause = message.CauseTargetLost
	l.setState(e, Refused)
	return true
}

// Abandon records that the deadline of a dispatched request passed without a
// whole answer. The request stays Dispatched and is no longer active. An answer
// that still arrives is recorded.
func (l *Log) Abandon(now time.Duration, key message.RequestKey) {
	e := l.entries[key]
	if e == nil || e.state != Dispatched || e.lapsed {
		return
	}
	if e.active() {
		e.flow.active--
	}
	e.lapsed = true
}

// Cause returns why the current attempt of a request was refused, or
// message.CauseNone if it was not.
func (l *Log) Cause(key message.RequestKey) message.Cause {
	e := l.entries[key]
	if e == nil || e.state != Refused {
		return message.CauseNone
	}
	return e.cause
}

// PendingAtPreviousOwner reports whether a previous owner of the target still waits for the
// answer to a request and will pass it on. Begin then says Evicted.
func (l *Log) PendingAtPreviousOwner(key message.RequestKey) bool {
	e := l.entries[key]
	return e != nil && e.imported && e.active()
}

// Active returns the number of queued or dispatched requests of a flow. Lapsed
// requests do not count.
func (l *Log) Active(id message.FlowID) int {
	f := l.flows[id]
	if f == nil {
		return 0
	}
	return f.active
}

// Len returns the number of entries.
func (l *Log) Len() int {
	return len(l.entries)
}

// setState moves e to state s and keeps the flow's count of active requests.
func (l *Log) setState(e *entry, s State) {
	if e.active() {
		e.flow.active--
	}
	e.state = s
	e.lapsed = false
	if e.active() {
		e.flow.active++
	}
}

// belowFloor reports whether entries of the flow with this id or a higher one
// have expired, so that a missing entry proves nothing.
func (l *Log) belowFloor(key message.RequestKey) bool {
	f := l.flows[key.Flow]
	return f != nil && key.ID <= f.floor
}
