// Package taskswitch hands a task from the duty that decides on it to the
// blocker that performs it, and ends a running task when another is decided.
package taskswitch

import (
	"context"
	"sync"
)

// Switch holds the present task. The zero value of T means nothing to do. All
// methods are safe for concurrent use.
type Switch[T comparable] struct {
	mu      sync.Mutex
	current T
	cancel  context.CancelFunc // of the running task, or nil
	changed chan struct{}
}

// New returns a switch with nothing to do.
func New[T comparable]() *Switch[T] {
	return &Switch[T]{changed: make(chan struct{}, 1)}
}

// Set changes the task and ends the one that runs if it is another.
func (s *Switch[T]) Set(t T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == t {
		return
	}
	s.current = t
	if s.cancel != nil {
		s.cancel()
	}
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Finish ends a task that is done, unless another was set meanwhile.
func (s *Switch[T]) Finish(t T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == t {
		var nothing T
		s.current = nothing
	}
}

// Wait returns the next task with its context as soon as there is one. It
// returns ctx's error when ctx ends.
func (s *Switch[T]) Wait(ctx context.Context) (T, context.Context, error) {
	var nothing T
	for {
		if err := ctx.Err(); err != nil {
			return nothing, nil, err
		}
		if t, taskCtx := s.begin(ctx); t != nothing {
			return t, taskCtx, nil
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
		}
	}
}

func (s *Switch[T]) begin(ctx context.Context) (T, context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
		s.cancel = nil
	}
	var nothing T
	if s.current == nothing {
		return nothing, nil
	}
	taskCtx, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	return s.current, taskCtx
}
