package target

import (
	"cmp"
	"slices"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Execution counts how often one attempt was executed.
type Execution struct {
	Key     message.RequestKey `json:"key"`
	Attempt uint32             `json:"attempt"`
	Count   int                `json:"count"`
	Digest  uint64             `json:"digest"` // xxHash64 of the request payload
}

// executionLog is the memory of the oracle. It outlives crashes.
type executionLog struct {
	entries map[jobKey]*Execution
}

func (l *executionLog) init() {
	l.entries = make(map[jobKey]*Execution)
}

func (l *executionLog) add(key jobKey, digest uint64) {
	e, ok := l.entries[key]
	if !ok {
		e = &Execution{Key: key.request, Attempt: key.attempt, Digest: digest}
		l.entries[key] = e
	}
	e.Count++
}

// Executions returns all executions since the machine was created, by key and
// attempt.
func (m *Machine) Executions() []Execution {
	all := make([]Execution, 0, len(m.log.entries))
	for _, e := range m.log.entries {
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
