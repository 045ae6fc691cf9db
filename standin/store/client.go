package store

import (
	"context"
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/store"
)

// Client implements store.Store by in-process calls to an Engine.
type Client struct {
	engine *Engine
}

var _ store.Store = (*Client)(nil)

// NewClient returns a client of e.
func NewClient(e *Engine) *Client { return &Client{engine: e} }

// delayCall sleeps for the delay set by SetDelay and fails if ctx has ended.
func (e *Engine) delayCall(ctx context.Context) error {
	if d := e.delay(); d > 0 {
		if err := e.options.Sleep(ctx, d); err != nil {
			return fmt.Errorf("delayed call: %w: %w", store.ErrUnavailable, err)
		}
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return nil
}

// Range implements store.Store.
func (c *Client) Range(ctx context.Context, r store.RangeRequest) (store.RangeResponse, error) {
	if err := c.engine.delayCall(ctx); err != nil {
		return store.RangeResponse{}, err
	}
	return c.engine.Range(r)
}

// Txn implements store.Store.
func (c *Client) Txn(ctx context.Context, t store.Txn) (store.TxnResponse, error) {
	if err := c.engine.delayCall(ctx); err != nil {
		return store.TxnResponse{}, err
	}
	return c.engine.Txn(t)
}

// Grant implements store.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := c.engine.delayCall(ctx); err != nil {
		return 0, err
	}
	return c.engine.Grant(ttl)
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if err := c.engine.delayCall(ctx); err != nil {
		return 0, err
	}
	return c.engine.KeepAlive(id)
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, span store.Span, from int64) (store.Watcher, error) {
	if err := c.engine.delayCall(ctx); err != nil {
		return nil, err
	}
	s, err := c.engine.Subscribe(span, from)
	if err != nil {
		return nil, err
	}
	return &watcher{Subscription: s, stop: context.AfterFunc(ctx, s.Close)}, nil
}

// watcher implements the blocking store.Watcher on a Subscription.
type watcher struct {
	*Subscription
	stop func() bool
}

// Next implements store.Watcher.
func (w *watcher) Next() (store.Batch, error) {
	for {
		b, ok, err := w.Poll()
		if ok || err != nil {
			return b, err
		}
		<-w.Ready()
	}
}

// Close implements store.Watcher.
func (w *watcher) Close() {
	w.stop()
	w.Subscription.Close()
}
