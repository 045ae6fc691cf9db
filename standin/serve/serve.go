// Package serve has what the HTTP stand-ins share: a kernel service that serves HTTP, and
// commands that HTTP handlers run on the duty that owns the state.
package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/kernel"
)

// ErrUnavailable means that the duty that owns the state did not respond in time.
var ErrUnavailable = errors.New("stand-in did not respond")

const (
	// commandCapacity is the largest number of queued commands.
	commandCapacity = 256
	// commandTimeout limits the wait for the result of a command. It is also the timeout for
	// the headers of an HTTP request.
	commandTimeout = 5 * time.Second
	// maxBodyBytes is the largest body of an HTTP request.
	maxBodyBytes = 4 << 20
)

// Command is a function that the duty which owns the state runs. now is the duty's time.
type Command func(now time.Duration)

// NewCommandRing returns the ring of commands for the duty that waits at gate. Puts into a
// full ring fail.
func NewCommandRing(k *kernel.Kernel, name string, gate *kernel.Gate) *kernel.Ring[Command] {
	return kernel.NewRing[Command](k, name, commandCapacity, kernel.Refuse, gate)
}

// Do runs f on the duty that reads ring and returns its result. It returns ErrUnavailable if
// the ring refuses the command, after commandTimeout, or when ctx ends; f may still run then.
func Do[R any](ctx context.Context, ring *kernel.Ring[Command], f func(now time.Duration) R) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var zero R
	result := make(chan R, 1)
	if err := ring.Put(func(now time.Duration) { result <- f(now) }); err != nil {
		return zero, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		return zero, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
}

// RunCommands runs the queued commands, at most commandCapacity of them.
func RunCommands(ring *kernel.Ring[Command], now time.Duration) {
	for range commandCapacity {
		q, ok := ring.Take()
		if !ok {
			return
		}
		q(now)
	}
}

// WriteJSON sends v as JSON, or err with status 503 if it is not nil.
func WriteJSON(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes the body of a request into v. If the body is invalid, has unknown fields
// or is too large, it sends status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, fmt.Sprintf("invalid request body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

// HTTP is a kernel service that serves HTTP.
type HTTP struct {
	name         string
	dependencies []string
	addr         netip.AddrPort
	server       *http.Server
	listener     net.Listener
}

// NewHTTP returns a service that serves handler on addr. dependencies are the names of the
// services whose state the handler uses.
func NewHTTP(name string, addr netip.AddrPort, handler http.Handler, dependencies ...string) *HTTP {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: commandTimeout}
	return &HTTP{name: name, dependencies: dependencies, addr: addr, server: server}
}

// Name implements kernel.Service.
func (h *HTTP) Name() string { return h.name }

// Dependencies implements kernel.Service.
func (h *HTTP) Dependencies() []string { return h.dependencies }

// Setup opens the listener.
func (h *HTTP) Setup(*kernel.Kernel) error {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(h.addr))
	if err != nil {
		return fmt.Errorf("listen on %s: %w", h.addr, err)
	}
	h.listener = listener
	return nil
}

// Connect implements kernel.Service.
func (h *HTTP) Connect(k *kernel.Kernel) error {
	k.AddBlocker(kernel.Blocker{Name: h.name, Run: h.run, Interrupt: func() { h.server.Close() }})
	return nil
}

func (h *HTTP) run(context.Context) error {
	err := h.server.Serve(h.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve HTTP on %s: %w", h.addr, err)
}

// Addr returns the address of the listener. It is valid after Setup.
func (h *HTTP) Addr() netip.AddrPort {
	return h.listener.Addr().(*net.TCPAddr).AddrPort()
}
