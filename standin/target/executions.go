package target

import (
	"cmp"
	"slices"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Execution counts the executions of one attempt.
type Execution struct {
	Key     message.RequestKey `json:"key"`
	Attempt uint32             `json:"attempt"`
	Count   int                `json:"count"`
	Digest  uint64             `json:"digest"` // xxHash64 of the request payload
}

// executionLog has the executions that the test oracle checks. It survives crashes.
type executionLog struct {
	byAttempt map[attemptKey]*Execution
}

func (l *executionLog) init() {
	l.byAttempt = make(map[attemptKey]*Execution)
}

func (l *executionLog) add(key attemptKey, digest uint64) {
	e, ok := l.byAttempt[key]
	if !ok {
		e = &Execution{Key: key.request, Attempt: key.attempt, Digest: digest}
		l.byAttempt[key] = e
	}
	e.Count++
}

// Executions returns all executions since the machine was created, sorted by key and
// attempt.
func (m *Machine) Executions() []Execution {
	all := make([]Execution, 0, len(m.executions.byAttempt))
	for _, e := range m.executions.byAttempt {
		all = append(all, *e)
	}
	slices.SortFunc(all, func(a, b Execution) int {
		return cmp.Or(
			cmp.Compare(a.Key.Flow.Hi, b.Key.Flow.Hi), cmp.Compare(a.Key.Flow.Lo, b.Key.Flow.Lo),
			cmp.Compare(a.Key.ID, b.Key.ID), cmp.Compare(a.Attempt, b.Attempt),
		)
	})
	return all
}
