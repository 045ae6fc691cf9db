// Package serve holds what the HTTP stand-ins share: a kernel service that
// serves HTTP, and questions to a duty that owns state.
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
var ErrUnavailable = errors.New("stand-in does not answer")

const (
	// askCapacity is the number of questions that may wait.
	askCapacity = 256
	// askTimeout bounds the wait for an answer.
	askTimeout = 5 * time.Second
	// maxBody bounds the body of an HTTP request, in bytes.
	maxBody = 4 << 20
)

// Command is work for the duty that owns the state.
type Command func(now time.Duration)

// NewCommandRing returns a ring for commands to the duty behind gate.
func NewCommandRing(k *kernel.Kernel, name string, gate *kernel.Gate) *kernel.Ring[Command] {
	return kernel.NewRing[Command](k, name, askCapacity, kernel.Refuse, gate)
}

// Do runs f on the duty that reads ring and returns its result, or ErrUnavailable.
func Do[R any](ctx context.Context, ring *kernel.Ring[Command], f func(now time.Duration) R) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// RunCommands runs all waiting commands.
func RunCommands(ring *kernel.Ring[Command], now time.Duration) {
	for range askCapacity {
		q, ok := ring.Take()
		if !ok {
			return
		}
		q(now)
	}
}

// WriteJSON sends v, or status 503 if err is not nil.
func WriteJSON(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The client may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes the request's body into v. On an error it sends status 400
// and reports false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, fmt.Sprintf("request body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

// HTTP is a kernel service that serves HTTP.
type HTTP struct {
	name     string
	needs    []string
	addr     netip.AddrPort
	server   *http.Server
	listener net.Listener
}

// NewHTTP returns a service that serves handler on addr and needs the services
// whose state the handler reads.
func NewHTTP(name string, addr netip.AddrPort, handler http.Handler, needs ...string) *HTTP {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: askTimeout}
	return &HTTP{name: name, needs: needs, addr: addr, server: server}
}

// Name implements kernel.Service.
func (h *HTTP) Name() string { return h.name }

// Dependencies implements kernel.Service.
func (h *HTTP) Dependencies() []string { return h.needs }

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

// Addr returns the address that is listened on, after Setup.
func (h *HTTP) Addr() netip.AddrPort {
	return h.listener.Addr().(*net.TCPAddr).AddrPort()
}
