// Package control is the service "control": the HTTP server on a VM's control address,
// for requests of other VMs, metrics scrapes and operators' queries. Other services
// register their handlers with it.
package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/kernel"
)

// Name is the service's name.
const Name = "control"

const (
	// serveTimeout bounds the read of a request, and the write of its response.
	serveTimeout = 5 * time.Second
	// maxHeaderBytes is the largest request header, in bytes.
	maxHeaderBytes = 4 << 10
)

// Mux registers HTTP handlers. Services register theirs in Connect.
type Mux interface {
	// Handle registers a handler for a pattern of http.ServeMux.
	Handle(pattern string, handler http.HandlerFunc)
}

// Service is the service "control".
type Service struct {
	addresses []netip.AddrPort
	listeners []net.Listener
	mux       *http.ServeMux
	server    *http.Server
}

// New returns a service that listens on the valid ones of addresses.
func New(addresses ...netip.AddrPort) *Service {
	addresses = slices.DeleteFunc(addresses, func(a netip.AddrPort) bool { return !a.IsValid() })
	return &Service{addresses: addresses, mux: http.NewServeMux()}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

// Setup implements kernel.Service: it opens the listening sockets.
func (s *Service) Setup(*kernel.Kernel) error {
	for _, address := range s.addresses {
		listener, err := net.Listen("tcp4", address.String())
		if err != nil {
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		s.listeners = append(s.listeners, listener)
	}
	return nil
}

// Handle implements Mux.
func (s *Service) Handle(pattern string, handler http.HandlerFunc) {
	s.mux.HandleFunc(pattern, handler)
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	s.server = &http.Server{Handler: s.mux, ReadTimeout: serveTimeout, WriteTimeout: serveTimeout, MaxHeaderBytes: maxHeaderBytes}
	for _, listener := range s.listeners {
		k.AddBlocker(kernel.Blocker{
			Name:      "control.serve",
			Run:       func(context.Context) error { return s.serve(listener) },
			Interrupt: func() { s.server.Close() },
		})
	}
	return nil
}

func (s *Service) serve(listener net.Listener) error {
	err := s.server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve control: %w", err)
}
