// Package admin is the service "admin": it serves metrics and operators' queries
// over HTTP on the admin address.
//
//	GET /healthz               "ok" if the core duty responds
//	GET /metrics               metrics in the Prometheus text format 0.0.4
//	GET /v1/status             JSON object: vm, domain, table_revision, leaving, members, owned
//	GET /v1/explain?flow=HEX   JSON object: recent decisions about a flow; with
//	                           &request=N about one of its requests
//
// Queries run on the core duty, with a timeout.
package admin

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/certwatch"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/services/logs"
	"github.com/gypsumspan/gypsumspan/services/peers"
	"github.com/gypsumspan/gypsumspan/services/storewatch"
	"github.com/gypsumspan/gypsumspan/services/udp"
)

// Name is the service's name.
const Name = "admin"

const (
	// maxConns bounds the open connections. net/http uses a goroutine for each.
	maxConns = 16
	// readTimeout bounds the time to read a request.
	readTimeout = 5 * time.Second
	// writeTimeout bounds the time to handle a request and write the response.
	writeTimeout = 35 * time.Second
	// idleTimeout is the time after which a connection without requests is closed.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes is the largest request header.
	maxHeaderBytes = 8 << 10
)

// TableVersioner is a state machine that reports the revision of its table.
type TableVersioner interface {
	TableVersion() uint64
}

// StatusReporter is a state machine that reports its status. The result is encoded as a
// JSON object on the core duty; its fields replace those that the service sets.
type StatusReporter interface {
	Status() any
}

// Explainer is a state machine that stores recent decisions. The result is encoded as
// JSON on the core duty.
type Explainer interface {
	// Explain returns the decisions on a flow, or on one request of it if request
	// is not 0.
	Explain(flow message.FlowID, request message.RequestID) any
}

// CounterSource is a state machine with counters since start. The tags are valid only
// during the call of yield; values with the same name and tags are summed.
type CounterSource interface {
	Counters(yield func(name string, tags map[string]string, value int64) bool)
}

// GaugeSource is a state machine with gauges.
type GaugeSource interface {
	Gauges(yield func(name string, tags map[string]string, value float64) bool)
}

// Core is the service "core".
type Core interface {
	Do(c core.Command) error
}

// Config configures the service.
type Config struct {
	VM           string // name of this VM
	Domain       string // name of the failure domain
	Listen       netip.AddrPort
	QueryTimeout time.Duration // longest wait for the core duty, and for requests on Stop
	// TLS enables HTTPS with the certificates of the service "certs"; only operators
	// are then served.
	TLS bool
}

// Service is the service "admin".
type Service struct {
	config         Config
	kernel         *kernel.Kernel
	core           Core
	log            logs.Log
	udp            interface{ Stats() udp.Stats }        // nil when there is none
	peers          interface{ Stats() peers.Stats }      // nil when there is none
	store          interface{ Stats() storewatch.Stats } // nil when there is none
	certs          certwatch.Certificates                // nil when TLS is off
	listener       net.Listener
	server         *http.Server
	refusedClients atomic.Uint64 // clients without an operator's certificate
}

// New returns the service.
func New(config Config) *Service {
	return &Service{config: config}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service. Core is not among them, so that the admin
// address can respond during the planned leave if it is registered before core.
func (s *Service) Dependencies() []string {
	if s.config.TLS {
		return []string{logs.Name, certwatch.Name}
	}
	return []string{logs.Name}
}

// Setup opens the listening socket.
func (s *Service) Setup(k *kernel.Kernel) error {
	listener, err := net.Listen("tcp", s.config.Listen.String())
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.config.Listen, err)
	}
	s.kernel = k
	s.listener = newLimitListener(listener, maxConns)
	return nil
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	var err error
	if s.core, err = kernel.Lookup[Core](k, core.Name); err != nil {
		return err
	}
	if s.log, err = kernel.Lookup[logs.Log](k, logs.Name); err != nil {
		return err
	}
	// Metrics omit services that do not exist or have no such counters.
	s.udp, _ = kernel.Lookup[interface{ Stats() udp.Stats }](k, core.UDPName)
	s.peers, _ = kernel.Lookup[interface{ Stats() peers.Stats }](k, core.PeersName)
	s.store, _ = kernel.Lookup[interface{ Stats() storewatch.Stats }](k, storewatch.Name)
	s.certs, err = kernel.Lookup[certwatch.Certificates](k, certwatch.Name)
	if s.config.TLS {
		if err != nil {
			return err
		}
		s.listener = tls.NewListener(s.listener, s.certs.Source().OperatorServer(s.recordRefusal))
	}
	s.server = &http.Server{
		Handler:        s.handler(),
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       discardLog,
	}
	k.AddBlocker(kernel.Blocker{Name: "admin.http", Run: s.serve, Interrupt: func() { s.server.Close() }})
	return nil
}

func (s *Service) serve(context.Context) error {
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", s.config.Listen, err)
}

// recordRefusal counts and logs a client without an operator's certificate.
func (s *Service) recordRefusal(remote net.Addr, err error) {
	s.refusedClients.Add(1)
	s.log.Log(events.AdminRefused, events.F("remote", remote), events.F("error", err))
}

// Addr returns the address of the listening socket, after Setup.
func (s *Service) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Stop implements kernel.Stopper: it completes the requests in progress.
func (s *Service) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.config.QueryTimeout)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		s.server.Close()
	}
	return nil
}
