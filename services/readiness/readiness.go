// Package readiness is the service "readiness": the HTTP endpoint that the platform's
// routers check to see whether to send packets to this VM. It responds with status 200
// if the VM is ready, else with 503.
package readiness

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/kernel"
)

// Name is the service's name.
const Name = "readiness"

const (
	// readTimeout bounds the time until a client has sent a request.
	readTimeout = 2 * time.Second
	// idleTimeout is the time after which a connection without requests is closed.
	idleTimeout = 10 * time.Second
	// maxHeaderBytes is the largest request header, in bytes.
	maxHeaderBytes = 4 << 10
)

// Switch sets the VM's readiness. All methods are safe for concurrent use.
type Switch interface {
	// Set sets whether the VM is able to forward packets.
	Set(ready bool)
	// IsSet returns the value of the last Set. Leave does not change it.
	IsSet() bool
	// Leave makes the VM not ready for good; a later Set does not make it ready again.
	Leave()
}

// Config configures the service.
type Config struct {
	Listen netip.AddrPort
	Path   string // HTTP path of the check, starts with /
}

// Service is the service "readiness".
type Service struct {
	config   Config
	listener net.Listener
	server   *http.Server
	ready    atomic.Bool
	leaving  atomic.Bool
}

// New returns the service.
func New(config Config) *Service { return &Service{config: config} }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

// Setup implements kernel.Service: it opens the listening socket.
func (s *Service) Setup(*kernel.Kernel) error {
	listener, err := net.Listen("tcp4", s.config.Listen.String())
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.config.Listen, err)
	}
	s.listener = listener
	return nil
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+s.config.Path, s.handleCheck)
	s.server = &http.Server{
		Handler:        mux,
		ReadTimeout:    readTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	k.AddBlocker(kernel.Blocker{
		Name:      "readiness",
		Run:       s.serve,
		Interrupt: func() { s.server.Close() },
	})
	return nil
}

func (s *Service) serve(context.Context) error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve readiness: %w", err)
}

func (s *Service) handleCheck(w http.ResponseWriter, _ *http.Request) {
	if s.Ready() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Ready reports whether the VM is ready to receive packets: the last Set was true, and Leave
// was not called.
func (s *Service) Ready() bool { return s.ready.Load() && !s.leaving.Load() }

// Set implements Switch.
func (s *Service) Set(ready bool) { s.ready.Store(ready) }

// IsSet implements Switch.
func (s *Service) IsSet() bool { return s.ready.Load() }

// Leave implements Switch.
func (s *Service) Leave() { s.leaving.Store(true) }
