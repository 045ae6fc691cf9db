package storewatch

import (
	"context"
	"sync"
)

// task is what the blocker shall do.
type task int

const (
	doNothing task = iota
	readTable      // read the whole table once
	watchTable
)

// role hands the task from the duty that decides on it to the blocker.
type role struct {
	mu      sync.Mutex
	current task
	cancel  context.CancelFunc // of the running task, or nil
	changed chan struct{}
}

func newRole() role {
	return role{changed: make(chan struct{}, 1)}
}

// set changes the task and ends the one that runs if it is another.
func (r *role) set(t task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == t {
		return
	}
	r.current = t
	if r.cancel != nil {
		r.cancel()
	}
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// finish ends a task that is done, unless another was set meanwhile.
func (r *role) finish(t task) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == t {
		r.current = doNothing
	}
}

// wait returns the next task with its context as soon as there is one. It
// returns ctx's error when ctx ends.
func (r *role) wait(ctx context.Context) (task, context.Context, error) {
	for {
		if err := ctx.Err(); err != nil {
			return doNothing, nil, err
		}
		if t, taskCtx := r.begin(ctx); t != doNothing {
			return t, taskCtx, nil
		}
		select {
		case <-r.changed:
		case <-ctx.Done():
		}
	}
}

func (r *role) begin(ctx context.Context) (task, context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
	if r.current == doNothing {
		return doNothing, nil
	}
	taskCtx, cancel := context.WithCancel(ctx)
	r.cancel = cancel
	return r.current, taskCtx
}
