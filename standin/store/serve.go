package store

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// expireInterval is the interval between checks for expired leases.
const expireInterval = 100 * time.Millisecond

// Serve runs a new store on addr, such as "127.0.0.1:2379", until ctx ends. Open watches
// end with it.
func Serve(ctx context.Context, addr string, options Options) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("stand-in store: %w", err)
	}
	return ServeEngine(ctx, listener, NewEngine(options))
}

// ServeEngine serves e on listener until ctx ends, and closes the listener.
func ServeEngine(ctx context.Context, listener net.Listener, e *Engine) error {
	const headerTimeout = 5 * time.Second
	server := &http.Server{
		Handler:           Handler(e),
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	go e.expireLeasesPeriodically(ctx)
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("stand-in store: %w", err)
	}
	return nil
}

func (e *Engine) expireLeasesPeriodically(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.Expire()
		case <-ctx.Done():
			return
		}
	}
}
