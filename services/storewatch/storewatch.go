// Package storewatch is the service "storewatch": on a VM that is a relay it watches the
// operators' table in the platform's store, and passes every change to the service "core".
// Another VM reads the table once if it has not received it from its neighbours within
// Config.ReadDelay.
package storewatch

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v4"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/services/taskswitch"
	"github.com/gypsumspan/gypsumspan/store"
)

// Name is the service's name.
const Name = "storewatch"

const (
	// DefaultRoleInterval is the time between two checks of the VM's role.
	DefaultRoleInterval = 500 * time.Millisecond
	// DefaultReadDelay is the time after the start in which neighbours can deliver the
	// table to a VM that is not a relay, before the VM reads it from the store.
	DefaultReadDelay = 5 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay before a failed task is retried.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// task is a task of the blocker.
type task int

const (
	idle     task = iota
	readTask      // read the whole table once
	watchTask
)

// ErrStore means that a read or watch of the table failed; it is wrapped together with the
// error of package store.
var ErrStore = errors.New("table was not received from the store")

// Inbox receives the entries; it is the service "core".
type Inbox interface {
	Put(m message.Message) error
}

// Config configures the service. Store and the functions IsRelay, HasTable and
// LiveKeys must be set; the functions must be safe for concurrent use.
type Config struct {
	Store store.Store
	// IsRelay reports whether this VM is a relay, which watches the store.
	IsRelay func() bool
	// HasTable reports whether this VM has any entry of the table.
	HasTable func() bool
	// LiveKeys returns the keys of the VM's replica that are not deleted. Those that a
	// full read does not find are then deleted.
	LiveKeys func() []string
	// OnError is called for each failed attempt; it may be nil.
	OnError func(err error)
	// Sleep waits for the delay of a retry; nil waits in real time.
	Sleep func(ctx context.Context, d time.Duration) error
	// RoleInterval and ReadDelay replace the defaults if not 0.
	RoleInterval time.Duration
	ReadDelay    time.Duration
}

// Stats holds counters since start, and the revision.
type Stats struct {
	Reads    uint64 // calls that read a page of the table
	Watches  uint64 // calls that started a watch
	Failures uint64 // failed attempts to read or watch
	Entries  uint64 // entries passed to core
	Revision int64  // all changes up to it were passed to core; 0: a full read is needed first
}

// Calls returns the number of calls to the store, Reads and Watches.
func (s Stats) Calls() uint64 { return s.Reads + s.Watches }

// Service is the service "storewatch".
type Service struct {
	config Config
	inbox  Inbox
	tasks  *taskswitch.Switch[task]
	gate   *kernel.Gate

	revision atomic.Int64
	readDone atomic.Bool
	reads    atomic.Uint64
	watches  atomic.Uint64
	failures atomic.Uint64
	entries  atomic.Uint64
}

// New returns the service.
func New(config Config) *Service {
	if config.RoleInterval == 0 {
		config.RoleInterval = DefaultRoleInterval
	}
	if config.ReadDelay == 0 {
		config.ReadDelay = DefaultReadDelay
	}
	if config.OnError == nil {
		config.OnError = func(error) {}
	}
	if config.Sleep == nil {
		config.Sleep = sleep
	}
	return &Service{config: config, tasks: taskswitch.New[task]()}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return []string{core.Name} }

// Setup implements kernel.Service.
func (s *Service) Setup(*kernel.Kernel) error {
	s.gate = kernel.NewGate()
	return nil
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	var err error
	if s.inbox, err = kernel.Lookup[Inbox](k, core.Name); err != nil {
		return err
	}
	k.AddDuty(kernel.Duty{Name: "storewatch.role", Gate: s.gate, Step: s.selectTask})
	k.AddBlocker(kernel.Blocker{Name: "storewatch", Run: s.run})
	return nil
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	return Stats{
		Reads:    s.reads.Load(),
		Watches:  s.watches.Load(),
		Failures: s.failures.Load(),
		Entries:  s.entries.Load(),
		Revision: s.revision.Load(),
	}
}

// selectTask is a step of the duty "storewatch.role": it sets the blocker's task, and ends
// a watch when the VM is no longer a relay.
func (s *Service) selectTask(now time.Duration) time.Duration {
	switch {
	case s.config.IsRelay():
		s.tasks.Set(watchTask)
	case now >= s.config.ReadDelay && !s.readDone.Load() && !s.config.HasTable():
		s.tasks.Set(readTask)
	default:
		s.tasks.Set(idle)
	}
	return now + s.config.RoleInterval
}

// run performs tasks until ctx ends or core's ring is closed. Failed tasks are retried with
// backoff.
func (s *Service) run(ctx context.Context) error {
	retryDelay := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(minRetryDelay),
		backoff.WithMaxInterval(maxRetryDelay),
		backoff.WithMaxElapsedTime(0),
	)
	for {
		t, taskCtx, err := s.tasks.Wait(ctx)
		if err != nil {
			return nil
		}
		err = s.work(taskCtx, t, retryDelay.Reset)
		switch {
		case errors.Is(err, kernel.ErrRingClosed):
			return nil
		case err == nil || taskCtx.Err() != nil:
			continue
		}
		s.failures.Add(1)
		s.config.OnError(fmt.Errorf("%w: %w", ErrStore, err))
		// An error means that the task was replaced or ctx ended; Wait handles both.
		_ = s.config.Sleep(taskCtx, retryDelay.NextBackOff())
	}
}

// work performs a task until it is complete, fails, or ctx ends. A watch starts with a full
// read if there is no revision to start from. onProgress is called when a readTask is
// complete and after each batch of a watch.
func (s *Service) work(ctx context.Context, t task, onProgress func()) error {
	if t == readTask {
		err := s.readAll(ctx)
		if err == nil {
			onProgress()
			s.readDone.Store(true)
			s.tasks.Finish(readTask)
		}
		return err
	}
	if s.revision.Load() == 0 {
		if err := s.readAll(ctx); err != nil {
			return err
		}
	}
	err := s.watch(ctx, onProgress)
	if errors.Is(err, store.ErrCompacted) {
		// The next attempt reads the whole table.
		s.revision.Store(0)
	}
	return err
}
