package catalogwatch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

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

// forgetfulStore has dropped the history before newest.
type forgetfulStore struct {
	store.Store
	newest int64
}

func (s *forgetfulStore) Range(context.Context, store.RangeRequest) (store.RangeResponse, error) {
	return store.RangeResponse{Revision: s.newest, KVs: []store.KV{{Key: "k", ModRevision: s.newest}}}, nil
}

func (s *forgetfulStore) Watch(ctx context.Context, _ store.Span, from int64) (store.Watcher, error) {
	if from <= s.newest {
		return nil, store.ErrCompacted
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

// Guards against a VM that keeps an old configuration after the history was dropped: the
// answer that the history is lost is no failure of the store and leads to a complete read.
func TestLostHistoryIsReadAgain(t *testing.T) {
	is := is.New(t)
	s := New(Config{Store: &forgetfulStore{newest: 1246}, Seed: 1})
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
	is.Equal(second.Update.Revision, int64(1246))
	cancel()
	is.NoErr(<-done)
}
