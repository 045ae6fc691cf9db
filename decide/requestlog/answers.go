package requestlog

import (
	"math/bits"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// partOverheadBytes is added to the payload size of each recorded part. It approximates
// the size of a message.Answer and its pointer, so that empty parts are bounded too.
const partOverheadBytes = 120

// answer is the answer to a request, as far as it has arrived.
type answer struct {
	total   uint16 // number of parts of the whole answer, 0 before the first one
	arrived uint64 // bit i: part i has arrived
	parts   []*message.Answer
	bytes   int    // size of the stored parts
	evicted bool   // parts were dropped or never recorded
	listed  bool   // complete and in the list of the answerStore
	newer   *entry // neighbours in the list of the answerStore
	older   *entry
}

// hasParts reports whether any part has arrived.
func (a *answer) hasParts() bool {
	return a.arrived != 0
}

// complete reports whether all parts have arrived.
func (a *answer) complete() bool {
	return a.total > 0 && bits.OnesCount64(a.arrived) == int(a.total)
}

// verdict returns the verdict on a duplicate of a request in state Done.
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

// markArrived marks part as arrived without storing it.
func (a *answer) markArrived(part *message.Answer) {
	a.total = part.Parts
	a.arrived |= 1 << part.Part
}

// storePart stores part.
func (a *answer) storePart(part *message.Answer) {
	for len(a.parts) < int(a.total) {
		a.parts = append(a.parts, nil)
	}
	a.parts[part.Part] = part
	a.bytes += partBytes(part)
}

// dropParts drops the stored parts and returns their size in bytes.
func (a *answer) dropParts() int {
	freed := a.bytes
	clear(a.parts)
	a.parts = a.parts[:0]
	a.bytes = 0
	return freed
}

// reset returns the answer to its initial state. Stored parts must have been dropped.
func (a *answer) reset() {
	*a = answer{parts: a.parts[:0]}
}

func partBytes(part *message.Answer) int {
	return partOverheadBytes + len(part.Payload)
}

// RecordPart records one part of the answer to a dispatched attempt, in any order.
// Duplicates, malformed parts and parts of another attempt are ignored. It returns true
// exactly once, for the part that completes the answer. The log retains part, so the
// caller must not modify it afterwards.
func (l *Log) RecordPart(now time.Duration, key message.RequestKey, attempt uint32, part *message.Answer) (complete bool) {
	e := l.entries[key]
	if e == nil || e.state != Dispatched || e.attempt != attempt {
		return false
	}
	if !e.answer.accepts(part) {
		return false
	}
	e.answer.markArrived(part)
	l.answers.storePart(e, part)
	if !e.answer.complete() {
		return false
	}
	l.answers.add(e)
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

// PartialAnswer calls yield for each recorded part of an incomplete answer, until it
// returns false.
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

// CompleteAnswers calls yield for each part of the complete recorded answers of the flows
// that filter accepts, oldest answer first, until it returns false.
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

// RestorePart records one part of an answer that a previous owner had recorded. Once the
// answer is complete, and unless it was evicted, Begin returns Replay again. Parts of
// requests that are not Done here, and parts that have arrived before, are ignored.
func (l *Log) RestorePart(part *message.Answer) {
	e := l.entries[part.Key()]
	if e == nil || e.state != Done || e.attempt != part.Attempt || !e.answer.accepts(part) {
		return
	}
	e.answer.markArrived(part)
	l.answers.storePart(e, part)
	if e.answer.complete() {
		l.answers.add(e)
	}
}

// AnswerBytes returns the size of all recorded parts in bytes, including partOverheadBytes
// for each. It is at most Config.MaxAnswerBytes.
func (l *Log) AnswerBytes() int {
	return l.answers.bytes
}

// answerStore bounds the memory of recorded answers. Complete ones form a list in order of
// completion; the oldest is evicted first.
type answerStore struct {
	maxBytes int
	bytes    int
	oldest   *entry
	newest   *entry
}

// storePart stores part if there is room after evicting complete answers. Otherwise it
// evicts the whole answer of e.
func (s *answerStore) storePart(e *entry, part *message.Answer) {
	if e.answer.evicted {
		return
	}
	if e.answer.bytes+partBytes(part) > s.maxBytes {
		s.evict(e)
		return
	}
	for s.bytes+partBytes(part) > s.maxBytes && s.oldest != nil {
		s.evict(s.oldest)
	}
	if s.bytes+partBytes(part) > s.maxBytes {
		s.evict(e)
		return
	}
	e.answer.storePart(part)
	s.bytes += partBytes(part)
}

// add appends a complete answer to the list.
func (s *answerStore) add(e *entry) {
	if e.answer.evicted {
		return
	}
	e.answer.listed = true
	e.answer.older = s.newest
	if s.newest != nil {
		s.newest.answer.newer = e
	} else {
		s.oldest = e
	}
	s.newest = e
}

// evict drops the parts of e and marks its answer as evicted.
func (s *answerStore) evict(e *entry) {
	s.release(e)
	e.answer.evicted = true
}

// release drops the parts of e and removes it from the list.
func (s *answerStore) release(e *entry) {
	s.bytes -= e.answer.dropParts()
	if !e.answer.listed {
		return
	}
	s.unlink(e)
}

// unlink removes e from the list.
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
	a.listed = false
	a.older = nil
	a.newer = nil
}
