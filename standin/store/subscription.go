package store

import (
	"bytes"
	"fmt"

	"github.com/gypsumspan/gypsumspan/store"
)

// Subscription is one watch on an Engine.
type Subscription struct {
	engine *Engine
	scope  scope
	next   int64 // first revision not yet delivered
	ready  chan struct{}
	err    error
}

// Subscribe starts a watch; see store.Store.
func (e *Engine) Subscribe(span store.Span, from int64) (*Subscription, error) {
	return e.subscribe(scopeOf(span), from)
}

func (e *Engine) subscribe(s scope, from int64) (*Subscription, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls.Watches++
	if err := e.admit(&e.reads); err != nil {
		return nil, err
	}
	if from == 0 {
		from = e.history.newest + 1
	}
	if from < e.history.compacted {
		return nil, &store.CompactedError{OldestRevision: e.history.compacted}
	}
	w := &Subscription{engine: e, scope: s, next: from, ready: make(chan struct{}, 1)}
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

// end ends the watch with an error. The engine is locked.
func (s *Subscription) end(err error) {
	s.err = err
	delete(s.engine.watches, s)
	s.signal()
}

// Ready returns a channel that delivers a signal when Poll may have news.
func (s *Subscription) Ready() <-chan struct{} { return s.ready }

// Poll returns the events since the last call without waiting; ok is false
// when there are none. After an error the watch has ended.
func (s *Subscription) Poll() (b store.Batch, ok bool, err error) {
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.err != nil {
		return store.Batch{}, false, s.err
	}
	e.expire(e.options.Clock.Now())
	if s.next < e.history.compacted {
		s.end(&store.CompactedError{OldestRevision: e.history.compacted})
		return store.Batch{}, false, s.err
	}
	for _, event := range e.history.since(s.scope, s.next) {
		event.KV.Value = bytes.Clone(event.KV.Value)
		b.Events = append(b.Events, event)
	}
	if len(b.Events) == 0 {
		return store.Batch{}, false, nil
	}
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
