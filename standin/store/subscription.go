package store

import (
	"bytes"
	"fmt"

	"github.com/gypsumspan/gypsumspan/store"
)

// Subscription is a watch of a key range of an Engine, read without blocking.
type Subscription struct {
	engine *Engine
	keys   keyRange
	next   int64 // first revision not yet delivered
	ready  chan struct{}
	err    error
}

// Subscribe starts a watch from a revision on; 0 is the next revision. After a Rewind, a watch
// whose preceding revision does not exist fails like one of a compacted revision. See
// store.Store.
func (e *Engine) Subscribe(span store.Span, from int64) (*Subscription, error) {
	return e.subscribe(rangeOf(span), from)
}

func (e *Engine) subscribe(s keyRange, from int64) (*Subscription, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls.Watches++
	if err := e.admit(&e.reads); err != nil {
		return nil, err
	}
	if from == 0 {
		from = e.history.newest + 1
	}
	if from < e.history.compacted || e.era > 0 && from > e.history.newest+1 {
		// The protocol takes 0 for no compaction.
		return nil, &store.CompactedError{OldestRevision: max(e.history.compacted, 1)}
	}
	w := &Subscription{engine: e, keys: s, next: from, ready: make(chan struct{}, 1)}
	e.watches[w] = struct{}{}
	w.signal()
	return w, nil
}

func (s *Subscription) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// end terminates the watch with an error. The caller holds the engine's mutex.
func (s *Subscription) end(err error) {
	s.err = err
	delete(s.engine.watches, s)
	s.signal()
}

// Ready returns a channel that receives a signal when Poll may have events or an error.
func (s *Subscription) Ready() <-chan struct{} { return s.ready }

// Poll returns the events since the last call without blocking; ok is false if there are
// none. An error means that the watch has ended.
func (s *Subscription) Poll() (b store.Batch, ok bool, err error) {
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.err != nil {
		return store.Batch{}, false, s.err
	}
	e.expireLeases(e.options.Clock.Now())
	if s.next < e.history.compacted {
		s.end(&store.CompactedError{OldestRevision: e.history.compacted})
		return store.Batch{}, false, s.err
	}
	for _, event := range e.history.eventsSince(s.keys, s.next) {
		event.KV.Value = bytes.Clone(event.KV.Value)
		b.Events = append(b.Events, event)
	}
	if len(b.Events) == 0 {
		return store.Batch{}, false, nil
	}
	b.Era = e.era
	b.Revision = b.Events[len(b.Events)-1].KV.ModRevision
	s.next = b.Revision + 1
	return b, true, nil
}

// Close ends the watch.
func (s *Subscription) Close() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if s.err == nil {
		s.end(fmt.Errorf("watch was closed: %w", store.ErrUnavailable))
	}
}
