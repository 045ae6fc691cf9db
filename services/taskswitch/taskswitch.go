// Package taskswitch passes the current task from a duty to the blocker that runs
// it, and cancels the running task when the duty sets another one.
package taskswitch

import (
	"context"
	"sync"
)

// Switch holds the current task, which replaces the previous one. The zero value of
// T means that there is no task. All methods are safe for concurrent use.
type Switch[T comparable] struct {
	mu      sync.Mutex
	current T
	cancel  context.CancelFunc // of the running task, or nil
	changed chan struct{}
}

// New returns a switch without a task.
func New[T comparable]() *Switch[T] {
	return &Switch[T]{changed: make(chan struct{}, 1)}
}

// Set replaces the task and cancels the running one. It has no effect if t is the
// current task.
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

// Finish clears the current task after it is done, unless another one was set.
func (s *Switch[T]) Finish(t T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == t {
		var zero T
		s.current = zero
	}
}

// Wait waits for a task and returns it with its context, which is cancelled when
// another task is set or Wait is called again. It returns ctx's error when ctx ends.
func (s *Switch[T]) Wait(ctx context.Context) (T, context.Context, error) {
	var zero T
	for {
		if err := ctx.Err(); err != nil {
			return zero, nil, err
		}
		if t, taskCtx := s.start(ctx); t != zero {
			return t, taskCtx, nil
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
		}
	}
}

func (s *Switch[T]) start(ctx context.Context) (T, context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
		s.cancel = nil
	}
	var zero T
	if s.current == zero {
		return zero, nil
	}
	taskCtx, cancel := context.WithCancel(ctx)
	s.cancel = cancel
	return s.current, taskCtx
}
