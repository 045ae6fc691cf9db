package store

import (
	"context"
	"fmt"
	"time"

	"github.com/gypsumspan/gypsumspan/store"
)

// Client is an in-process store.Store on an Engine.
type Client struct {
	engine *Engine
}

var _ store.Store = (*Client)(nil)

// NewClient returns a client of e.
func NewClient(e *Engine) *Client { return &Client{engine: e} }

// wait lets a slow store's delay pass.
func (e *Engine) wait(ctx context.Context) error {
	if d := e.delay(); d > 0 {
		if err := e.options.Sleep(ctx, d); err != nil {
			return fmt.Errorf("slow store: %w: %w", store.ErrUnavailable, err)
		}
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return nil
}

// Range implements store.Store.
func (c *Client) Range(ctx context.Context, r store.RangeRequest) (store.RangeResponse, error) {
	if err := c.engine.wait(ctx); err != nil {
		return store.RangeResponse{}, err
	}
	return c.engine.Range(r)
}

// Txn implements store.Store.
func (c *Client) Txn(ctx context.Context, t store.Txn) (store.TxnResponse, error) {
	if err := c.engine.wait(ctx); err != nil {
		return store.TxnResponse{}, err
	}
	return c.engine.Txn(t)
}

// Grant implements store.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := c.engine.wait(ctx); err != nil {
		return 0, err
	}
	return c.engine.Grant(ttl)
}

// KeepAlive implements store.Store.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	if err := c.engine.wait(ctx); err != nil {
		return 0, err
	}
	return c.engine.KeepAlive(id)
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, span store.Span, from int64) (store.Watcher, error) {
	if err := c.engine.wait(ctx); err != nil {
		return nil, err
	}
	s, err := c.engine.Subscribe(span, from)
	if err != nil {
		return nil, err
	}
	return &watcher{Subscription: s, stop: context.AfterFunc(ctx, s.Close)}, nil
}

// watcher waits for the batches of a subscription.
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
