package catalogwatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/revision"
	"github.com/gypsumspan/gypsumspan/store"
)

// Guards against a VM that waits for seconds before it reads the store whose history was
// dropped, and against one that calls a store without history in a loop.
func TestPacing(t *testing.T) {
	is := is.New(t)
	p := NewPacing(1)
	is.Equal(p.Failed(true, true), time.Duration(0))
	is.True(p.Failed(true, true) >= minSlowRetryDelay)
	is.True(p.Failed(false, true) >= minSlowRetryDelay)
	is.Equal(p.Failed(true, false), time.Duration(0))
	p.Succeeded()
	is.Equal(p.Failed(true, false), time.Duration(0))
	p.Succeeded()
	delay := p.Failed(false, false)
	is.True(delay >= minRetryDelay && delay <= maxRetryDelay)
}

// forgetfulStore can't deliver the history before newest.
type forgetfulStore struct {
	store.Store
	newest int64
	err    error // of a watch that needs it
}

func (s *forgetfulStore) Range(context.Context, store.RangeRequest) (store.RangeResponse, error) {
	return store.RangeResponse{Revision: s.newest, KVs: []store.KV{{Key: "k", ModRevision: s.newest}}}, nil
}

func (s *forgetfulStore) Watch(ctx context.Context, _ store.Span, from int64) (store.Watcher, error) {
	if from <= s.newest {
		return nil, s.err
	}
	return &idleWatcher{ctx: ctx}, nil
}

// idleWatcher has no events until its context ends.
type idleWatcher struct{ ctx context.Context }

func (w *idleWatcher) Next() (store.Batch, error) {
	<-w.ctx.Done()
	return store.Batch{}, w.ctx.Err()
}

func (w *idleWatcher) Close() {}

// resultChannel passes the results on.
type resultChannel chan Result

func (c resultChannel) HandleStoreResult(r Result) error {
	c <- r
	return nil
}

// Guards against a VM that keeps an old configuration after the history was dropped, or has become
// too large to be received: the answer is no failure of the store and leads to a complete read.
func TestLostHistoryIsReadAgain(t *testing.T) {
	for _, err := range []error{store.ErrCompacted, store.ErrBacklog} {
		testLostHistory(t, err)
	}
}

func testLostHistory(t *testing.T, err error) {
	is := is.New(t)
	s := New(Config{Store: &forgetfulStore{newest: 1246, err: err}, Seed: 1})
	results := make(resultChannel)
	s.inbox = results
	s.SetSlowRetry(true)
	s.SetWatching(true, 1048)
	done := make(chan error)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { done <- s.run(ctx) }()
	first := <-results
	is.True(errors.Is(first.Err, ErrStore))
	is.True(errors.Is(first.Err, ErrHistoryLost))
	second := <-results
	is.NoErr(second.Err)
	is.True(second.Update.Complete)
	is.Equal(second.Update.Revision, revision.Revision(1246))
	cancel()
	is.NoErr(<-done)
}

// snapshotStore holds a snapshot and the events after its revision.
type snapshotStore struct {
	store.Store
	snapshot  []byte // nil: none
	events    []store.Event
	newest    int64
	compacted bool // the events are no longer available
}

const snapshotKey = "snapshot"

func (s *snapshotStore) Range(_ context.Context, r store.RangeRequest) (store.RangeResponse, error) {
	switch {
	case r.Span.Prefix:
		return store.RangeResponse{Revision: s.newest, KVs: []store.KV{{Key: "all", ModRevision: s.newest}}}, nil
	case s.snapshot == nil:
		return store.RangeResponse{}, nil
	default:
		return store.RangeResponse{Revision: s.newest, KVs: []store.KV{{Key: snapshotKey, Value: s.snapshot}}}, nil
	}
}

func (s *snapshotStore) Watch(ctx context.Context, _ store.Span, from int64) (store.Watcher, error) {
	switch {
	case s.compacted:
		return nil, store.ErrCompacted
	case from > s.newest:
		return &idleWatcher{ctx: ctx}, nil
	default:
		return &batchWatcher{store.Batch{Revision: s.newest, Events: s.events}}, nil
	}
}

// batchWatcher delivers one batch.
type batchWatcher struct{ batch store.Batch }

func (w *batchWatcher) Next() (store.Batch, error) { return w.batch, nil }
func (w *batchWatcher) Close()                     {}

var errBadSnapshot = errors.New("bad snapshot")

// decodeTestSnapshot decodes the snapshots of these tests: one key at revision 5.
func decodeTestSnapshot(value []byte) (relay.Update, error) {
	if string(value) != "ok" {
		return relay.Update{}, errBadSnapshot
	}
	return relay.Update{Revision: 5, Complete: true, Items: []relay.Item{{Key: "k", Revision: 5}}}, nil
}

// Guards against a start from a snapshot without the changes after it, and against a VM that
// does not start since the snapshot is missing, unreadable or too old.
func TestStartFromSnapshot(t *testing.T) {
	removed := []store.Event{{Deleted: true, KV: store.KV{Key: "k", ModRevision: 8}}}
	cases := []struct {
		name  string
		store snapshotStore
		err   error    // Result.SnapshotErr
		keys  []string // of the result
	}{
		{"snapshot and changes", snapshotStore{snapshot: []byte("ok"), events: removed, newest: 8}, nil, []string{"k", "k"}},
		{"no snapshot", snapshotStore{newest: 8}, ErrSnapshot, []string{"all"}},
		{"unreadable", snapshotStore{snapshot: []byte("?"), events: removed, newest: 8}, errBadSnapshot, []string{"all"}},
		{"too old", snapshotStore{snapshot: []byte("ok"), newest: 8, compacted: true}, store.ErrCompacted, []string{"all"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New(Config{Store: &c.store, SnapshotKey: snapshotKey, DecodeSnapshot: decodeTestSnapshot})
			results := make(resultChannel, 1)
			s.inbox = results
			is.NoErr(s.readCatalog(t.Context()))
			r := <-results
			is.NoErr(r.Err)
			is.True(errors.Is(r.SnapshotErr, c.err))
			is.True(r.Update.Complete)
			is.Equal(r.Update.Revision, revision.Revision(8))
			var keys []string
			for _, item := range r.Update.Items {
				keys = append(keys, item.Key)
			}
			is.Equal(keys, c.keys)
			replica := relay.NewReplica()
			replica.Merge(0, r.Update.Items, r.Update.Revision, r.Update.Complete)
			_, ok := replica.Get("k")
			is.True(!ok) // removed after the snapshot
		})
	}
}

// Guards against news that waits for a full pause after ShortenPauses, and against pauses that stay short
// and cost calls.
func TestBatchPacing(t *testing.T) {
	is := is.New(t)
	const usual = 200 * time.Millisecond
	p := NewBatchPacing(usual)
	is.Equal(p.Pause(), usual)
	p.ShortenPauses()
	total, shorter := time.Duration(0), 0
	for pause := p.Pause(); pause < usual; pause = p.Pause() {
		total += pause
		shorter++
	}
	is.True(total <= 2*usual)
	is.Equal(shorter, 6)
	is.Equal(p.Pause(), usual)
}

// twoBatchStore has a watch that delivers two batches.
type twoBatchStore struct{ store.Store }

func (twoBatchStore) Watch(ctx context.Context, _ store.Span, from int64) (store.Watcher, error) {
	return &twoBatchWatcher{idleWatcher: idleWatcher{ctx: ctx}, next: from}, nil
}

type twoBatchWatcher struct {
	idleWatcher
	next    int64
	batches int
}

func (w *twoBatchWatcher) Next() (store.Batch, error) {
	if w.batches == 2 {
		return w.idleWatcher.Next()
	}
	w.batches++
	w.next++
	return store.Batch{Revision: w.next, Events: []store.Event{{KV: store.KV{Key: "k", ModRevision: w.next}}}}, nil
}

// Guards against a watch that stays in its pause although it is to end.
func TestShortenedPauseEnds(t *testing.T) {
	is := is.New(t)
	s := New(Config{Store: twoBatchStore{}, BatchPause: time.Hour})
	results := make(resultChannel)
	s.inbox = results
	s.SetWatching(true, 5)
	done := make(chan error)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { done <- s.run(ctx) }()
	is.NoErr((<-results).Err)
	s.ShortenPauses()
	is.NoErr((<-results).Err)
	cancel()
	is.NoErr(<-done)
}

// failingStore fails each watch.
type failingStore struct{ store.Store }

func (failingStore) Watch(context.Context, store.Span, int64) (store.Watcher, error) {
	return nil, store.ErrUnavailable
}

// Guards against a delay after a failed call that goes on although there is news, and against an
// earlier call of RetryNow that ends it.
func TestRetryNowEndsTheDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Config{Store: failingStore{}, Seed: 1})
		results := make(resultChannel)
		s.inbox = results
		s.SetSlowRetry(true)
		s.RetryNow()
		s.SetWatching(true, 1048)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- s.run(ctx) }()
		is.True((<-results).Err != nil)
		failedAt := time.Now()
		is.True((<-results).Err != nil)
		is.True(time.Since(failedAt) >= minSlowRetryDelay)
		failedAt = time.Now()
		synctest.Wait()
		s.RetryNow()
		is.True((<-results).Err != nil)
		is.Equal(time.Since(failedAt), time.Duration(0))
		cancel()
		is.NoErr(<-done)
	})
}
