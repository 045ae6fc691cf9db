// Package catalogwatch is the service "catalogwatch": it reads the platform's
// store, watches it while the service "relay" says so, and writes the VM's own
// entry. What it reads goes to "relay".
package catalogwatch

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/retry"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/taskswitch"
	"github.com/gypsumspan/gypsumspan/store"
)

// Name is the service's name.
const Name = "catalogwatch"

const (
	// firstRetry and lastRetry bound the delay after a failed call. A VM has a few
	// seconds after the store's return to be up to date.
	firstRetry = 200 * time.Millisecond
	lastRetry  = time.Second
	// firstPatientRetry and lastPatientRetry bound the delay at a VM that leaves
	// frequent attempts to others of its failure domain.
	firstPatientRetry = 2 * time.Second
	lastPatientRetry  = 6 * time.Second
	// eventPause is the wait after an answer with events. Changes come in groups, and
	// each answer costs a call; the pause is small against the seconds in which a
	// change must be in force.
	eventPause = 200 * time.Millisecond
	// writes is the number of writes that may wait.
	writes = 4
)

// ErrStore means that the store did not answer; it wraps the error of package store.
var ErrStore = errors.New("store did not deliver the catalog")

// Result is the outcome of a read or watch of the store.
type Result struct {
	News relay.News
	Err  error // ErrStore; News is not set then
}

// Inbox takes the answers; it is the service "relay".
type Inbox interface {
	HandleStoreResult(a Result) error
}

// Write is one write of an entry: it succeeds if the key was last written at
// Item.Revision, 0 for a key that does not exist. Item.Deleted removes the key.
type Write struct {
	Item relay.Item
}

// Config configures the service.
type Config struct {
	Store store.Store
	Seed  uint64 // of the jitter
}

// Stats counts since start.
type Stats struct {
	Reads        uint64 // pages read
	WatchBatches uint64 // answers of watches
	Writes       uint64 // writes made or refused
	Failures     uint64 // failed calls
}

// task is what the blocker shall do.
type task int

const (
	_         task = iota
	readOnce       // read everything once
	watchTask      // read everything if that was not done yet, then watch
)

// Service is the service "catalogwatch".
type Service struct {
	config   Config
	inbox    Inbox
	tasks    *taskswitch.Switch[task]
	from     atomic.Int64 // revision from which a watch continues; 0: read everything
	backoff  *retry.Backoff
	patience *retry.Backoff
	patient  atomic.Bool
	retries  int
	gate     *kernel.Gate
	outgoing *kernel.Ring[Write]

	reads    atomic.Uint64
	polls    atomic.Uint64
	written  atomic.Uint64
	failures atomic.Uint64
}

// New returns the service.
func New(config Config) *Service {
	s := &Service{config: config, tasks: taskswitch.New[task]()}
	s.backoff = retry.NewBackoff(retry.BackoffConfig{Base: firstRetry, Max: lastRetry}, config.Seed)
	s.patience = retry.NewBackoff(retry.BackoffConfig{Base: firstPatientRetry, Max: lastPatientRetry}, config.Seed)
	s.tasks.Set(readOnce)
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Setup implements kernel.Service.
func (s *Service) Setup(k *kernel.Kernel) error {
	s.gate = kernel.NewGate()
	s.outgoing = kernel.NewRing[Write](k, "catalogwatch.writes", writes, kernel.DropNewest, s.gate)
	return nil
}

// inboxName is the name of the service that takes the answers.
const inboxName = "relay"

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	var err error
	if s.inbox, err = kernel.Lookup[Inbox](k, inboxName); err != nil {
		return err
	}
	k.AddBlocker(kernel.Blocker{Name: "catalogwatch.read", Run: s.run})
	k.AddBlocker(kernel.Blocker{Name: "catalogwatch.write", Run: s.write})
	return nil
}

// Watch starts or ends the watch; a new one continues from revision.
func (s *Service) Watch(on bool, revision int64) {
	if !on {
		s.tasks.Set(0)
		return
	}
	if revision > 0 {
		s.from.Store(revision)
	}
	s.tasks.Set(watchTask)
}

// SetSlowRetry selects the longer retry delays, of seconds, for failed calls.
func (s *Service) SetSlowRetry(patient bool) { s.patient.Store(patient) }

// Write makes one write in the background. It is dropped when too many wait; the
// outcome shows in what is read later.
func (s *Service) Write(w Write) {
	_ = s.outgoing.Put(w)
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	return Stats{Reads: s.reads.Load(), WatchBatches: s.polls.Load(), Writes: s.written.Load(), Failures: s.failures.Load()}
}

// run performs tasks until ctx ends. Errors of the store are retried with backoff.
func (s *Service) run(ctx context.Context) error {
	for {
		t, taskCtx, err := s.tasks.Wait(ctx)
		if err != nil {
			return nil
		}
		err = s.work(taskCtx, t)
		switch {
		case errors.Is(err, kernel.ErrRingClosed):
			return nil
		case err == nil || taskCtx.Err() != nil:
			continue
		}
		if errors.Is(err, store.ErrCompacted) {
			s.from.Store(0)
		}
		s.failures.Add(1)
		if s.inbox.HandleStoreResult(Result{Err: fmt.Errorf("%w: %w", ErrStore, err)}) != nil {
			return nil
		}
		s.retries++
		sleep(taskCtx, s.delay())
	}
}

// delay returns the wait before the next attempt.
func (s *Service) delay() time.Duration {
	if s.patient.Load() {
		return s.patience.Delay(s.retries, firstPatientRetry)
	}
	return s.backoff.Delay(s.retries, firstRetry)
}

func (s *Service) work(ctx context.Context, t task) error {
	if s.from.Load() == 0 {
		if err := s.read(ctx); err != nil {
			return err
		}
	}
	if t == readOnce {
		s.tasks.Finish(readOnce)
		return nil
	}
	return s.watch(ctx)
}

// read hands everything on. Pages are not a snapshot, so that the watch continues
// from the revision of the first page.
func (s *Service) read(ctx context.Context) error {
	request := store.RangeRequest{Span: store.Prefix("")}
	news := relay.News{Complete: true}
	for more := true; more; {
		page, err := s.config.Store.Range(ctx, request)
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		s.reads.Add(1)
		s.retries = 0
		if news.Revision == 0 {
			news.Revision = page.Revision
		}
		for _, kv := range page.KVs {
			request.After = kv.Key
			news.Items = append(news.Items, relay.Item{Key: kv.Key, Value: kv.Value, Revision: kv.ModRevision})
		}
		more = page.More && len(page.KVs) > 0
	}
	if err := s.inbox.HandleStoreResult(Result{News: news}); err != nil {
		return err
	}
	s.from.Store(news.Revision)
	return nil
}

// watch hands every change on until an error.
func (s *Service) watch(ctx context.Context) error {
	watcher, err := s.config.Store.Watch(ctx, store.Prefix(""), s.from.Load()+1)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer watcher.Close()
	for {
		batch, err := watcher.Next()
		if err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		s.polls.Add(1)
		s.retries = 0
		news := relay.News{Revision: batch.Revision}
		for _, e := range batch.Events {
			news.Items = append(news.Items, relay.Item{Key: e.KV.Key, Value: e.KV.Value, Revision: e.KV.ModRevision, Deleted: e.Deleted})
		}
		if err := s.inbox.HandleStoreResult(Result{News: news}); err != nil {
			return err
		}
		s.from.Store(batch.Revision)
		if len(batch.Events) > 0 {
			sleep(ctx, eventPause)
		}
	}
}

// write makes waiting writes until ctx ends.
func (s *Service) write(ctx context.Context) error {
	for {
		w, ok := s.outgoing.Wait(ctx)
		if !ok {
			return nil
		}
		txn := store.Txn{Compares: []store.Compare{{Key: w.Item.Key, ModRevision: w.Item.Revision}}}
		if w.Item.Deleted {
			txn.Deletes = []string{w.Item.Key}
		} else {
			txn.Puts = []store.Put{{Key: w.Item.Key, Value: w.Item.Value}}
		}
		s.written.Add(1)
		if _, err := s.config.Store.Txn(ctx, txn); err != nil {
			// The asker sees from later readings whether the write was made.
			s.failures.Add(1)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
