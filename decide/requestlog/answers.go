package requestlog

import (
	"math/bits"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// partCost is counted for each recorded part beside its payload, in bytes. It
// approximates message.Answer and its pointer, so that empty parts are bounded too.
const partCost = 120

// answer is what has arrived of a request's answer.
type answer struct {
	total   uint16 // parts of the whole answer, 0 before the first part
	arrived uint64 // bit i: part i has arrived
	parts   []*message.Answer
	bytes   int
	evicted bool   // parts were dropped or never recorded
	stored  bool   // complete and in the list of the answerStore
	newer   *entry // in the list of the answerStore
	older   *entry
}

// started reports whether any part has arrived.
func (a *answer) started() bool {
	return a.arrived != 0
}

// complete reports whether all parts have arrived.
func (a *answer) complete() bool {
	return a.total > 0 && bits.OnesCount64(a.arrived) == int(a.total)
}

// verdict is the verdict on a copy of a request in state Done.
func (a *answer) verdict() Verdict {
	if a.evicted || !a.complete() {
		return Evicted
	}
	return Replay
}

// accepts reports whether part is a valid part that has not arrived yet.
func (a *answer) accepts(part *message.Answer) bool {
	if part.Parts == 0 || part.Parts > message.MaxParts || part.Part >= part.Parts {
		return false
	}
	if a.total != 0 && a.total != part.Parts {
		return false
	}
	return a.arrived&(1<<part.Part) == 0
}

// mark notes the arrival of part without recording it.
func (a *answer) mark(part *message.Answer) {
	a.total = part.Parts
	a.arrived |= 1 << part.Part
}

// record keeps part.
func (a *answer) record(part *message.Answer) {
	for len(a.parts) < int(a.total) {
		a.parts = append(a.parts, nil)
	}
	a.parts[part.Part] = part
	a.bytes += cost(part)
}

// forget drops the recorded parts and returns their cost.
func (a *answer) forget() int {
	freed := a.bytes
	clear(a.parts)
	a.parts = a.parts[:0]
	a.bytes = 0
	return freed
}

// clear returns the answer to its initial value. It must hold no parts.
func (a *answer) clear() {
	*a = answer{parts: a.parts[:0]}
}

func cost(part *message.Answer) int {
	return partCost + len(part.Payload)
}

// RecordPart records one part of the answer to a dispatched attempt. Duplicates
// and any order are allowed; parts that are malformed or of another attempt are
// ignored. It returns true exactly once, for the part that completes the
// answer. The log keeps part, so the caller must not change it afterwards.
func (l *Log) RecordPart(now time.Duration, key message.RequestKey, attempt uint32, part *message.Answer) (complete bool) {
	e := l.entries[key]
	if e == nil || e.state != Dispatched || e.attempt != attempt {
		return false
	}
	if !e.answer.accepts(part) {
		return false
	}
	e.answer.mark(part)
	l.answers.record(e, part)
	if !e.answer.complete() {
		return false
	}
	l.answers.finish(e)
	l.setState(e, Done)
	return true
}

// Answer returns the parts of a recorded answer in order, or nil if the answer
// is not complete or was evicted. The slice is valid until the next call of the log.
func (l *Log) Answer(key message.RequestKey) []*message.Answer {
	e := l.entries[key]
	if e == nil || e.state != Done || e.answer.verdict() != Replay {
		return nil
	}
	return e.answer.parts
}

// PartialAnswer calls yield for each recorded part of an answer that is not complete.
func (l *Log) PartialAnswer(key message.RequestKey, yield func(*message.Answer) bool) {
	e := l.entries[key]
	if e == nil || e.state != Dispatched {
		return
	}
	for _, part := range e.answer.parts {
		if part != nil && !yield(part) {
			return
		}
	}
}

// CompleteAnswers calls yield for each part of the recorded whole answers of the flows
// that filter accepts, oldest answer first.
func (l *Log) CompleteAnswers(filter func(message.FlowID) bool, yield func(*message.Answer) bool) {
	for e := l.answers.oldest; e != nil; e = e.answer.newer {
		if !filter(e.key.Flow) {
			continue
		}
		for _, part := range e.answer.parts {
			if !yield(part) {
				return
			}
		}
	}
}

// RestorePart records one part of an answer that a previous owner had recorded. When
// it is whole, copies of the request are answered with it again. Parts of requests
// that are not Done here, or have their answer, are ignored.
func (l *Log) RestorePart(part *message.Answer) {
	e := l.entries[part.Key()]
	if e == nil || e.state != Done || e.attempt != part.Attempt || !e.answer.accepts(part) {
		return
	}
	e.answer.mark(part)
	l.answers.record(e, part)
	if e.answer.complete() {
		l.answers.finish(e)
	}
}

// AnswerBytes returns the cost of all recorded parts, in bytes. It is at most
// Config.MaxAnswerBytes.
func (l *Log) AnswerBytes() int {
	return l.answers.bytes
}

// answerStore bounds the recorded answers. Complete ones form a list in order
// of completion and are evicted oldest first.
type answerStore struct {
	limit  int
	bytes  int
	oldest *entry
	newest *entry
}

// record keeps part if there is room after evicting complete answers. Otherwise
// it drops the whole answer of e.
func (s *answerStore) record(e *entry, part *message.Answer) {
	if e.answer.evicted {
		return
	}
	if e.answer.bytes+cost(part) > s.limit {
		s.evict(e)
		return
	}
	for s.bytes+cost(part) > s.limit && s.oldest != nil {
		s.evict(s.oldest)
	}
	if s.bytes+cost(part) > s.limit {
		s.evict(e)
		return
	}
	e.answer.record(part)
	s.bytes += cost(part)
}

// finish adds a complete answer to the list.
func (s *answerStore) finish(e *entry) {
	if e.answer.evicted {
		return
	}
	e.answer.stored = true
	e.answer.older = s.newest
	if s.newest != nil {
		s.newest.answer.newer = e
	} else {
		s.oldest = e
	}
	s.newest = e
}

// evict drops the parts of e and remembers that they are gone.
func (s *answerStore) evict(e *entry) {
	s.drop(e)
	e.answer.evicted = true
}

// drop releases the parts of e.
func (s *answerStore) drop(e *entry) {
	s.bytes -= e.answer.forget()
	if !e.answer.stored {
		return
	}
	s.unlink(e)
}

// unlink takes e out of the list.
func (s *answerStore) unlink(e *entry) {
	a := &e.answer
	if a.older != nil {
		a.older.answer.newer = a.newer
	} else {
		s.oldest = a.newer
	}
	if a.newer != nil {
		a.newer.answer.older = a.older
	} else {
		s.newest = a.older
	}
	a.stored = false
	a.older = nil
	a.newer = nil
}
