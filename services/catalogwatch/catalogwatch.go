// Package catalogwatch is the service "catalogwatch": the client of the platform's
// store. It reads the store once at start, watches it while the service "relay"
// requires it, and writes the VM's own entry. Results go to "relay".
package catalogwatch

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/revision"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/taskswitch"
	"github.com/gypsumspan/gypsumspan/store"
)

// Name is the service's name.
const Name = "catalogwatch"

// writeCapacity is the number of writes that may be queued.
const writeCapacity = 4

// ErrStore means that a read or watch failed; it is joined with the error of package
// store.
var ErrStore = errors.New("store did not deliver the catalog")

// ErrHistoryLost means that the store has answered, but does not have the changes that a
// watch was to continue with: it has dropped them, they are too large (store.ErrBacklog), or it has
// returned from an older copy (store.ErrRewound). The store is then read again.
var ErrHistoryLost = errors.New("changes are no longer available")

// Result is the outcome of a read or watch of the store.
type Result struct {
	Update relay.Update
	Err    error // wraps ErrStore; Update is not set then
	// SnapshotErr is why Update, a complete read, was not read from the snapshot in the
	// store. It wraps ErrSnapshot.
	SnapshotErr error
	// Waits is how the time since the previous successful result was spent.
	Waits Waits
	// Transaction is the outcome of a transaction; the other fields are not set then.
	Transaction *TransactionResult
}

// ErrSnapshot means that the store has no snapshot that can be used.
var ErrSnapshot = errors.New("no usable snapshot")

// Inbox receives the results; it is the service "relay".
type Inbox interface {
	HandleStoreResult(r Result) error
}

// Write is a conditional write of one entry (compare-and-swap): it succeeds if the key
// was last modified at Item.Revision, or does not exist if that is 0. Item.Deleted
// deletes the key.
type Write struct {
	Item relay.Item
	// transaction replaces Item if it is set.
	transaction *Transaction
}

// Config configures the service.
type Config struct {
	Store store.Store
	// SnapshotKey is the key of the snapshot; with an empty one the VM reads all keys.
	// DecodeSnapshot decodes its value and is needed with a key only.
	SnapshotKey    string
	DecodeSnapshot func(value []byte) (relay.Update, error)
	// BatchPause is the usual pause of a watch after a batch with events; see BatchPacing.
	BatchPause time.Duration
	Seed       uint64 // for the jitter of the retry delays
}

// Stats counts since start.
type Stats struct {
	Reads        uint64 // pages read
	WatchBatches uint64 // batches returned by watches
	Writes       uint64 // write attempts
	Failures     uint64 // failed reads, watches and writes
}

// task is a task of the blocker "catalogwatch.read".
type task int

const (
	_         task = iota // no task
	readTask              // read the whole store once
	watchTask             // read the whole store if that has not been done, then watch it
)

// Service is the service "catalogwatch".
type Service struct {
	config        Config
	inbox         Inbox
	tasks         *taskswitch.Switch[task]
	lastRevision  atomic.Int64  // a revision.Revision; a watch continues after it; 0: read the whole store first
	newestEra     atomic.Uint32 // the latest era of the store that the VM knows
	pacing        *Pacing
	historyLost   bool // the last call failed since the store could not deliver its history
	slowRetry     atomic.Bool
	batchPacing   *BatchPacing  // of the blocker "catalogwatch.read"
	waits         Waits         // of the blocker "catalogwatch.read", since its last successful result
	shortenPauses chan struct{} // capacity 1: ShortenPauses was called
	retryNow      chan struct{} // capacity 1: RetryNow was called
	gate          *kernel.Gate
	writes        *kernel.Ring[Write]

	reads        atomic.Uint64
	watchBatches atomic.Uint64
	writeCount   atomic.Uint64
	failures     atomic.Uint64
}

// New returns the service.
func New(config Config) *Service {
	s := &Service{
		config: config, tasks: taskswitch.New[task](), pacing: NewPacing(config.Seed),
		batchPacing: NewBatchPacing(config.BatchPause), shortenPauses: make(chan struct{}, 1), retryNow: make(chan struct{}, 1),
	}
	s.tasks.Set(readTask)
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

// Setup implements kernel.Service.
func (s *Service) Setup(k *kernel.Kernel) error {
	s.gate = kernel.NewGate()
	s.writes = kernel.NewRing[Write](k, "catalogwatch.writes", writeCapacity, kernel.DropNewest, s.gate)
	return nil
}

// inboxName is the name of the service that implements Inbox.
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

// SetWatching starts or stops the watch; a new one continues after revision. With a revision
// of 0 it continues after the last revision that was read, and reads the whole store first
// if there is none or if the store has entered a later era than that of revision.
func (s *Service) SetWatching(on bool, revision revision.Revision) {
	if !on {
		s.tasks.Set(0)
		return
	}
	if revision > 0 {
		s.recordEra(revision.Era())
		if revision.Era() < s.newestEra.Load() {
			revision = 0
		}
		s.lastRevision.Store(int64(revision))
	}
	s.tasks.Set(watchTask)
}

// SetSlowRetry selects the longer retry delays, of seconds, for failed calls.
func (s *Service) SetSlowRetry(slowRetry bool) { s.slowRetry.Store(slowRetry) }

// ShortenPauses ends the pause after the last batch of a watch and shortens the next ones: further changes
// are expected that must be known at once.
func (s *Service) ShortenPauses() { signal(s.shortenPauses) }

// Write queues a write. It is dropped if the queue is full. The outcome is not reported:
// it shows in later results.
func (s *Service) Write(w Write) {
	_ = s.writes.Put(w)
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	return Stats{Reads: s.reads.Load(), WatchBatches: s.watchBatches.Load(), Writes: s.writeCount.Load(), Failures: s.failures.Load()}
}

// run performs tasks until ctx ends. Failed tasks are retried with backoff.
func (s *Service) run(ctx context.Context) error {
	for {
		t, taskCtx, err := s.tasks.Wait(ctx)
		if err != nil {
			return nil
		}
		started := time.Now()
		s.discardRetryNow()
		err = s.work(taskCtx, t)
		switch {
		case errors.Is(err, kernel.ErrRingClosed):
			return nil
		case err == nil || taskCtx.Err() != nil:
			continue
		}
		compacted := errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrBacklog)
		historyLost := compacted || errors.Is(err, store.ErrRewound)
		s.historyLost = compacted
		if historyLost {
			s.lastRevision.Store(0)
			err = fmt.Errorf("%w: %w", ErrHistoryLost, err)
		}
		s.failures.Add(1)
		s.waits.FailedCalls += time.Since(started)
		if s.inbox.HandleStoreResult(Result{Err: fmt.Errorf("%w: %w", ErrStore, err)}) != nil {
			return nil
		}
		s.waits.RetryDelays += s.delayRetry(taskCtx, s.pacing.Failed(historyLost, s.slowRetry.Load()))
	}
}

func (s *Service) work(ctx context.Context, t task) error {
	if s.lastRevision.Load() == 0 {
		if err := s.readCatalog(ctx); err != nil {
			return err
		}
	}
	if t == readTask {
		s.tasks.Finish(readTask)
		return nil
	}
	return s.watch(ctx)
}

// readCatalog reads the whole store and delivers it as one result: from the snapshot and the
// changes after it or, if that does not work or the store has dropped its history, key by
// key.
func (s *Service) readCatalog(ctx context.Context) error {
	var result Result
	err := ErrSnapshot
	if s.config.SnapshotKey != "" && !s.historyLost {
		result.Update, err = s.readSnapshot(ctx)
		result.SnapshotErr = err
	}
	if errors.Is(err, ErrSnapshot) {
		result.Update, err = s.readAll(ctx)
	}
	if err != nil {
		return err
	}
	if err := s.deliver(result); err != nil {
		return err
	}
	s.lastRevision.Store(int64(result.Update.Revision))
	return nil
}

// readSnapshot returns the snapshot with the changes after it. The snapshot itself may be
// old: the watch answers with all changes up to the newest revision at once, since the write
// of the snapshot is one of them. It returns ErrSnapshot if there is no usable snapshot, and
// otherwise the errors of the store.
func (s *Service) readSnapshot(ctx context.Context) (relay.Update, error) {
	page, err := s.config.Store.Range(ctx, store.RangeRequest{Span: store.Key(s.config.SnapshotKey), AllowStale: true})
	if err != nil {
		return relay.Update{}, fmt.Errorf("read snapshot: %w", err)
	}
	s.reads.Add(1)
	if len(page.KVs) == 0 {
		return relay.Update{}, fmt.Errorf("%w: the store has none", ErrSnapshot)
	}
	update, err := s.config.DecodeSnapshot(page.KVs[0].Value)
	if err != nil {
		return relay.Update{}, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	era := update.Revision.Era()
	if page.Era != era {
		return relay.Update{}, snapshotError(rewoundError(era, page.Era))
	}
	watcher, err := s.config.Store.Watch(ctx, store.Prefix(""), update.Revision.Number()+1)
	if err != nil {
		return relay.Update{}, snapshotError(err)
	}
	defer watcher.Close()
	batch, err := watcher.Next()
	if err != nil {
		return relay.Update{}, snapshotError(err)
	}
	s.watchBatches.Add(1)
	s.pacing.Succeeded()
	s.recordEra(batch.Era)
	if batch.Era != era {
		return relay.Update{}, snapshotError(rewoundError(era, batch.Era))
	}
	changes := updateOf(batch)
	update.Items = append(update.Items, changes.Items...)
	update.Revision = changes.Revision
	update.Source = relay.Source{Way: relay.ReadSnapshot}
	return update, nil
}

// snapshotError returns the error of the watch after a snapshot: ErrSnapshot if the store
// does not have all changes after it.
func snapshotError(err error) error {
	if errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrRewound) || errors.Is(err, store.ErrBacklog) {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	return fmt.Errorf("read changes after the snapshot: %w", err)
}

// rewoundError returns the error of an answer of another era than its starting point.
func rewoundError(before, after uint32) error {
	return fmt.Errorf("era %d after %d: %w", after, before, store.ErrRewound)
}

// recordEra records an era of the store.
func (s *Service) recordEra(era uint32) {
	for {
		known := s.newestEra.Load()
		if era <= known || s.newestEra.CompareAndSwap(known, era) {
			return
		}
	}
}

// updateOf returns the changes of a batch.
func updateOf(batch store.Batch) relay.Update {
	update := relay.Update{Revision: revision.New(batch.Era, batch.Revision)}
	for _, e := range batch.Events {
		update.Items = append(update.Items, relay.Item{
			Key: e.KV.Key, Value: e.KV.Value, Revision: revision.New(batch.Era, e.KV.ModRevision), Deleted: e.Deleted,
		})
	}
	return update
}

// readAll reads the whole store page by page. The pages are not a snapshot, so the watch
// continues after the revision of the first page. It returns store.ErrRewound if they are of
// different eras.
func (s *Service) readAll(ctx context.Context) (relay.Update, error) {
	request := store.RangeRequest{Span: store.Prefix("")}
	update := relay.Update{Complete: true, Source: relay.Source{Way: relay.ReadKeys}}
	for more := true; more; {
		page, err := s.config.Store.Range(ctx, request)
		if err != nil {
			return relay.Update{}, fmt.Errorf("read: %w", err)
		}
		s.reads.Add(1)
		s.waits.Pages++
		s.pacing.Succeeded()
		s.recordEra(page.Era)
		if update.Revision == 0 {
			update.Revision = revision.New(page.Era, page.Revision)
		}
		if era := update.Revision.Era(); page.Era != era {
			return relay.Update{}, fmt.Errorf("read: %w", rewoundError(era, page.Era))
		}
		for _, kv := range page.KVs {
			request.After = kv.Key
			update.Items = append(update.Items, relay.Item{Key: kv.Key, Value: kv.Value, Revision: revision.New(page.Era, kv.ModRevision)})
		}
		more = page.More && len(page.KVs) > 0
	}
	return update, nil
}

// watch delivers every change after lastRevision until an error, which is store.ErrRewound if
// the store has entered another era.
func (s *Service) watch(ctx context.Context) error {
	last := revision.Revision(s.lastRevision.Load())
	watcher, err := s.config.Store.Watch(ctx, store.Prefix(""), last.Number()+1)
	if err != nil {
		return fmt.Errorf("watch: %w", err)
	}
	defer watcher.Close()
	for {
		batch, err := watcher.Next()
		if err != nil {
			return fmt.Errorf("watch: %w", err)
		}
		s.watchBatches.Add(1)
		s.recordEra(batch.Era)
		if batch.Era != last.Era() {
			return fmt.Errorf("watch: %w", rewoundError(last.Era(), batch.Era))
		}
		s.pacing.Succeeded()
		if err := s.deliver(Result{Update: updateOf(batch)}); err != nil {
			return err
		}
		s.lastRevision.Store(int64(revision.New(batch.Era, batch.Revision)))
		if len(batch.Events) > 0 {
			s.pause(ctx)
		}
	}
}

// deliver passes a successful result to the inbox.
func (s *Service) deliver(r Result) error {
	r.Waits, s.waits = s.waits, Waits{}
	return s.inbox.HandleStoreResult(r)
}

// pause waits for the pause after a batch, until ShortenPauses is called or until ctx ends.
func (s *Service) pause(ctx context.Context) {
	timer := time.NewTimer(s.batchPacing.Pause())
	defer timer.Stop()
	started := time.Now()
	defer func() { s.waits.Pauses += time.Since(started) }()
	select {
	case <-timer.C:
	case <-s.shortenPauses:
		s.batchPacing.ShortenPauses()
	case <-ctx.Done():
	}
}

// write performs queued writes until ctx ends.
func (s *Service) write(ctx context.Context) error {
	for {
		w, ok := s.writes.Wait(ctx)
		if !ok {
			return nil
		}
		if w.transaction != nil {
			if err := s.transact(ctx, *w.transaction); err != nil {
				return nil
			}
			continue
		}
		if s.isOutdated(w) {
			continue
		}
		txn := store.Txn{Compares: []store.Compare{{Key: w.Item.Key, ModRevision: w.Item.Revision.Number()}}}
		if w.Item.Deleted {
			txn.Deletes = []string{w.Item.Key}
		} else {
			txn.Puts = []store.Put{{Key: w.Item.Key, Value: w.Item.Value}}
		}
		s.writeCount.Add(1)
		answer, err := s.config.Store.Txn(ctx, txn)
		if err != nil {
			// The service "relay" sees in later results whether the write was made.
			s.failures.Add(1)
			continue
		}
		s.recordEra(answer.Era)
	}
}

// isOutdated reports whether the condition of a write is of an earlier era than the newest
// that the VM knows: in that one another write may have the same revision. That the key does
// not exist is no condition of an era.
func (s *Service) isOutdated(w Write) bool {
	return w.Item.Revision > 0 && w.Item.Revision.Era() < s.newestEra.Load()
}
