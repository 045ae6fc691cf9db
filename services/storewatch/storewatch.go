// Package storewatch is the service "storewatch": on a VM that is a relay it
// watches the operators' table in the platform's store and hands every change
// to the service "core". A VM without a table reads it once.
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

// Name is the name of the service.
const Name = "storewatch"

const (
	// DefaultRoleInterval is the time between two checks of the VM's role.
	DefaultRoleInterval = 500 * time.Millisecond
	// DefaultReadDelay is the time that neighbours have to deliver the table to a
	// VM that starts and is no relay.
	DefaultReadDelay = 5 * time.Second
	// firstRetry and lastRetry bound the delay before a new connection.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// task is what the blocker shall do.
type task int

const (
	doNothing task = iota
	readTable      // read the whole table once
	watchTable
)

// ErrStore means that the store did not deliver the table; it wraps the error of
// package store.
var ErrStore = errors.New("table was not received from the store")

// Inbox takes the entries; it is the service "core".
type Inbox interface {
	Put(m message.Message) error
}

// Config configures the service. Store and the functions IsRelay, HasTable and
// LiveKeys must be set; the functions must be safe for concurrent use.
type Config struct {
	Store store.Store
	// IsRelay reports whether this VM shall watch the store.
	IsRelay func() bool
	// HasTable reports whether this VM has any entry of the table.
	HasTable func() bool
	// LiveKeys returns the keys that the VM's replica holds and that are not
	// deleted. Those that a full read does not find become deletions.
	LiveKeys func() []string
	// OnError is called for each failed attempt; it may be nil.
	OnError func(err error)
	// Sleep waits before a new attempt; nil is real time.
	Sleep func(ctx context.Context, d time.Duration) error
	// RoleInterval and ReadDelay replace the defaults if they are not 0.
	RoleInterval time.Duration
	ReadDelay    time.Duration
}

// Stats counts since start.
type Stats struct {
	Reads    uint64 // calls that read a page of the table
	Watches  uint64 // calls that started a watch
	Failures uint64 // failed attempts to read or watch
	Entries  uint64 // entries handed to core
	Revision int64  // all entries up to it were handed to core; 0 before the first read
}

// Calls returns the number of calls to the store.
func (s Stats) Calls() uint64 { return s.Reads + s.Watches }

// Service is the service "storewatch".
type Service struct {
	config Config
	inbox  Inbox
	role   *taskswitch.Switch[task]
	gate   *kernel.Gate

	revision atomic.Int64
	readOnce atomic.Bool
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
	return &Service{config: config, role: taskswitch.New[task]()}
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
	k.AddDuty(kernel.Duty{Name: "storewatch.role", Gate: s.gate, Step: s.checkRole})
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

// checkRole tells the blocker what to do. It ends a watch when the VM is no
// longer a relay.
func (s *Service) checkRole(now time.Duration) time.Duration {
	switch {
	case s.config.IsRelay():
		s.role.Set(watchTable)
	case now >= s.config.ReadDelay && !s.readOnce.Load() && !s.config.HasTable():
		s.role.Set(readTable)
	default:
		s.role.Set(doNothing)
	}
	return now + s.config.RoleInterval
}

// run works until ctx ends. Errors of the store are retried with backoff.
func (s *Service) run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(firstRetry),
		backoff.WithMaxInterval(lastRetry),
		backoff.WithMaxElapsedTime(0),
	)
	for {
		task, taskCtx, err := s.role.Wait(ctx)
		if err != nil {
			return nil
		}
		err = s.work(taskCtx, task, retry.Reset)
		switch {
		case errors.Is(err, kernel.ErrRingClosed):
			return nil
		case err == nil || taskCtx.Err() != nil:
			continue
		}
		s.failures.Add(1)
		s.config.OnError(fmt.Errorf("%w: %w", ErrStore, err))
		// An error means that the role or the process ended; the loop sees it.
		_ = s.config.Sleep(taskCtx, retry.NextBackOff())
	}
}

func (s *Service) work(ctx context.Context, t task, progress func()) error {
	if t == readTable {
		err := s.readAll(ctx)
		if err == nil {
			progress()
			s.readOnce.Store(true)
			s.role.Finish(readTable)
		}
		return err
	}
	if s.revision.Load() == 0 {
		if err := s.readAll(ctx); err != nil {
			return err
		}
	}
	err := s.watch(ctx, progress)
	if errors.Is(err, store.ErrCompacted) {
		// The next attempt reads the whole table.
		s.revision.Store(0)
	}
	return err
}
