package requestlog

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// entry is the log entry of one request.
type entry struct {
	key        message.RequestKey
	attempt    uint32
	state      State
	cause      message.Cause // of the last refusal, or CauseOwnerMoved after Import
	idempotent bool
	abandoned  bool // Dispatched, and no one waits for the answer
	imported   bool // Dispatched by a previous owner of the target
	expires    time.Duration
	heapIndex  int
	flow       *flow
	prev, next *entry // of the same flow
	answer     answer
}

// active reports whether the request is queued, or dispatched and awaited.
func (e *entry) active() bool {
	return e.state == Queued || (e.state == Dispatched && !e.abandoned)
}

// flow is the state of one flow. It outlives its entries, since its floor distinguishes
// expired requests from new ones.
type flow struct {
	active int
	floor  message.RequestID
	first  *entry
}

// Log is the request log of one owned target. It is not safe for concurrent use.
type Log struct {
	config   Config
	entries  map[message.RequestKey]*entry
	flows    map[message.FlowID]*flow
	expiry   expiryHeap
	answers  answerStore
	freeList *entry // removed entries for reuse, linked by next
}

// New returns an empty log.
func New(config Config) *Log {
	config = config.withDefaults()
	return &Log{
		config:  config,
		entries: make(map[message.RequestKey]*entry),
		flows:   make(map[message.FlowID]*flow),
		answers: answerStore{maxBytes: config.MaxAnswerBytes},
	}
}

// Begin returns the verdict on a received attempt (counted from 1) of a request whose
// deadline is an absolute time on the VM's clock. Only the verdict Fresh changes the log.
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
	e := l.addEntry(key, deadline+l.config.Retention)
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

// dispatchedVerdict returns the verdict on a duplicate of a dispatched request: Pending only
// while this owner waits for the answer.
func (e *entry) dispatchedVerdict() Verdict {
	if e.abandoned || e.imported {
		return Evicted
	}
	return Pending
}

// requeue puts e back in state Queued with a higher attempt.
func (l *Log) requeue(e *entry, attempt uint32, deadline time.Duration) {
	l.answers.release(e)
	e.answer.reset()
	e.attempt = attempt
	e.imported = false
	l.extendExpiry(e, deadline+l.config.Retention)
	l.setState(e, Queued)
}

// Restart starts a higher attempt of an idempotent request that may have run and whose
// answer is not available here (verdict Evicted). It returns false, and changes nothing,
// for any other request. Begin never restarts a request, so without calls of Restart the
// log does not dispatch a request again that may have run.
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

// Dispatch is the last check before a request is sent to the target. It returns true only
// for the queued attempt, and so at most once for each attempt.
func (l *Log) Dispatch(now time.Duration, key message.RequestKey, attempt uint32) bool {
	e := l.entries[key]
	if e == nil || e.state != Queued || e.attempt != attempt {
		return false
	}
	l.setState(e, Dispatched)
	return true
}

// Refuse records that attempt will never run. It returns true only if the attempt
// certainly did not run; the owner may then answer "not run". Otherwise the owner must
// answer "may have run", or not at all. For an attempt that is already refused, for
// example by RecordShed, it returns true again.
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

// refusable reports whether attempt is the queued one, or not lower than the refused one.
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
	e := l.addEntry(key, now+l.config.Retention)
	e.attempt = attempt
	e.cause = cause
	l.setState(e, Refused)
	return true
}

// RecordShed records that the target did not start a dispatched attempt. It returns true
// if the attempt is now refused, so that the owner may answer "not run". A target that has
// sent a part of the answer did start the request.
func (l *Log) RecordShed(now time.Duration, key message.RequestKey, attempt uint32) bool {
	e := l.entries[key]
	if e == nil || e.state != Dispatched || e.attempt != attempt {
		return false
	}
	if e.answer.hasParts() {
		return false
	}
	e.cause = message.CauseTargetLost
	l.setState(e, Refused)
	return true
}

// Abandon records that no one waits for the answer of a dispatched request any more,
// because its deadline passed or the target stopped it. The request stays Dispatched but
// is no longer active. An answer that still arrives is recorded.
func (l *Log) Abandon(now time.Duration, key message.RequestKey) {
	e := l.entries[key]
	if e == nil || e.state != Dispatched || e.abandoned {
		return
	}
	if e.active() {
		e.flow.active--
	}
	e.abandoned = true
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

// PendingAtPreviousOwner reports whether a previous owner of the target still waits for
// the answer of a request and will forward it. Begin then returns Evicted.
func (l *Log) PendingAtPreviousOwner(key message.RequestKey) bool {
	e := l.entries[key]
	return e != nil && e.imported && e.active()
}

// Active returns the number of queued or dispatched requests of a flow, without abandoned
// ones.
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

// setState moves e to state s and updates the flow's number of active requests.
func (l *Log) setState(e *entry, s State) {
	if e.active() {
		e.flow.active--
	}
	e.state = s
	e.abandoned = false
	if e.active() {
		e.flow.active++
	}
}

// belowFloor reports whether a request of the flow with this id or a higher one has
// expired, so that a missing entry does not prove that the request is new.
func (l *Log) belowFloor(key message.RequestKey) bool {
	f := l.flows[key.Flow]
	return f != nil && key.ID <= f.floor
}
