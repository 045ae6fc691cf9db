// Package relay is a stand-in for the network between failure domains and the platform. It
// is a UDP and TCP proxy that can partition the network. Each endpoint listens on its own
// real address; the others reach it through an advertised address, on which the relay
// listens. The relay identifies senders by their real IP address, so that it can block the
// traffic between two of them: it drops datagrams, and a socket filter drops the segments of
// TCP connections. As in a real network, blocked connections stay open without traffic, and
// their senders retransmit; a partition closes none.
package relay

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/standin/serve"
)

// Name is the name of the relay's service.
const Name = "relay"

// ErrInvalidPartition means that a Partition does not have pairs of different IPv4 addresses.
var ErrInvalidPartition = errors.New("invalid partition")

// Endpoint is the pair of addresses of an endpoint behind the relay.
type Endpoint struct {
	Advertised netip.AddrPort // the relay listens here
	Real       netip.AddrPort // the endpoint listens here
}

// Config has the endpoints. The relay drops datagrams of senders that are not UDP endpoints.
type Config struct {
	Control netip.AddrPort // listen address of the HTTP service
	UDP     []Endpoint
	TCP     []Endpoint
}

// Partition is the JSON form of a network partition: the pairs of IP addresses between which
// all traffic is blocked. All other pairs reach each other.
type Partition struct {
	Pairs [][2]netip.Addr `json:"pairs"` // IPv4; blocked in both directions
}

// blocks reports whether the traffic between a and b is blocked.
func (c *Partition) blocks(a, b netip.Addr) bool {
	return slices.Contains(c.Pairs, [2]netip.Addr{a, b}) || slices.Contains(c.Pairs, [2]netip.Addr{b, a})
}

// blockedPeers returns the addresses whose traffic with a is blocked.
func (c *Partition) blockedPeers(a netip.Addr) []netip.Addr {
	var others []netip.Addr
	for _, pair := range c.Pairs {
		switch a {
		case pair[0]:
			others = append(others, pair[1])
		case pair[1]:
			others = append(others, pair[0])
		}
	}
	return others
}

func (c *Partition) validate() error {
	for _, pair := range c.Pairs {
		if !pair[0].Is4() || !pair[1].Is4() || pair[0] == pair[1] {
			return fmt.Errorf("pair %s, %s is not two different IPv4 addresses: %w", pair[0], pair[1], ErrInvalidPartition)
		}
	}
	return nil
}

// Stats are counters since the start and the current number of connections.
type Stats struct {
	Passed      uint64 `json:"passed"`      // datagrams forwarded
	Lost        uint64 `json:"lost"`        // datagrams dropped by a partition
	Foreign     uint64 `json:"foreign"`     // datagrams dropped because their sender is not an endpoint
	Connections int    `json:"connections"` // open TCP connections
}

// Service is the kernel service of the relay. Its duty owns the set of connections and changes
// the partition; a blocker reads each socket, and two goroutines copy the bytes of each connection.
type Service struct {
	config      Config
	udpProxies  []*udpProxy
	tcpProxies  []*tcpProxy
	gate        *kernel.Gate
	commands    *kernel.Ring[serve.Command]
	events      *kernel.Ring[connectionEvent]
	connections map[*connection]struct{} // owned by the duty

	partition atomic.Pointer[Partition] // written by the duty only
	passed    atomic.Uint64
	lost      atomic.Uint64
	foreign   atomic.Uint64
}

// connectionEvent notifies the duty that a connection was opened or closed.
type connectionEvent struct {
	connection *connection
	closed     bool
}

// eventCapacity is the capacity of the ring of events. Senders block while it is full.
const eventCapacity = 1024

// New returns a relay without a partition.
func New(config Config) *Service {
	s := &Service{config: config, connections: make(map[*connection]struct{})}
	s.partition.Store(&Partition{})
	return s
}

// HTTP returns the service of the relay's HTTP API:
//
//	GET /cut    Partition
//	PUT /cut    Partition, replaces the current one
//	GET /stats  Stats
func (s *Service) HTTP() *serve.HTTP {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cut", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, s.partition.Load(), nil) })
	mux.HandleFunc("PUT /cut", s.servePartition)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, r *http.Request) {
		stats, err := serve.Do(r.Context(), s.commands, func(time.Duration) Stats { return s.stats() })
		serve.WriteJSON(w, stats, err)
	})
	return serve.NewHTTP(Name+".http", s.config.Control, mux, Name)
}

func (s *Service) servePartition(w http.ResponseWriter, r *http.Request) {
	var partition Partition
	if !serve.ReadJSON(w, r, &partition) {
		return
	}
	if err := partition.validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	failed, err := serve.Do(r.Context(), s.commands, func(time.Duration) error { return s.setPartition(&partition) })
	serve.WriteJSON(w, partition, errors.Join(failed, err))
}

// setPartition replaces the partition and sets the socket filters accordingly.
func (s *Service) setPartition(partition *Partition) error {
	s.partition.Store(partition)
	var errs []error
	for _, l := range s.tcpProxies {
		errs = append(errs, l.applyPartition(partition))
	}
	for c := range s.connections {
		errs = append(errs, c.applyPartition(partition))
	}
	return errors.Join(errs...)
}

func (s *Service) stats() Stats {
	return Stats{
		Passed: s.passed.Load(), Lost: s.lost.Load(), Foreign: s.foreign.Load(), Connections: len(s.connections),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

// Setup opens the UDP sockets and the TCP listeners.
func (s *Service) Setup(k *kernel.Kernel) error {
	s.gate = kernel.NewGate()
	s.commands = serve.NewCommandRing(k, Name+".questions", s.gate)
	s.events = kernel.NewRing[connectionEvent](k, Name+".changes", eventCapacity, kernel.Block, s.gate)
	for _, link := range s.config.UDP {
		l, err := listenUDP(s, link)
		if err != nil {
			return errors.Join(err, s.closeSockets())
		}
		s.udpProxies = append(s.udpProxies, l)
	}
	for _, link := range s.config.TCP {
		l, err := listenTCP(s, link)
		if err != nil {
			return errors.Join(err, s.closeSockets())
		}
		s.tcpProxies = append(s.tcpProxies, l)
	}
	return nil
}

// closeSockets closes the sockets after a failed Setup.
func (s *Service) closeSockets() error {
	var errs []error
	for _, l := range s.udpProxies {
		errs = append(errs, l.conn.Close())
	}
	for _, l := range s.tcpProxies {
		errs = append(errs, l.listener.Close())
	}
	return errors.Join(errs...)
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	k.AddDuty(kernel.Duty{Name: Name, Gate: s.gate, Step: s.step})
	bySender := make(map[netip.AddrPort]*udpProxy, len(s.udpProxies))
	for _, l := range s.udpProxies {
		bySender[l.Real] = l
	}
	for _, l := range s.udpProxies {
		l.bySender = bySender
		k.AddBlocker(kernel.Blocker{
			Name: Name + ".udp." + l.Advertised.String(), Run: l.run, Interrupt: func() { l.conn.Close() },
		})
	}
	for _, l := range s.tcpProxies {
		k.AddBlocker(kernel.Blocker{
			Name: Name + ".tcp." + l.Advertised.String(), Run: l.run, Interrupt: func() { l.listener.Close() },
		})
	}
	return nil
}

func (s *Service) step(now time.Duration) time.Duration {
	for range eventCapacity {
		c, ok := s.events.Take()
		if !ok {
			break
		}
		if c.closed {
			delete(s.connections, c.connection)
			continue
		}
		s.connections[c.connection] = struct{}{}
		// setPartition does not reach a connection that was opened shortly before it ran.
		// An error means that the connection is already closed.
		_ = c.connection.applyPartition(s.partition.Load())
	}
	serve.RunCommands(s.commands, now)
	return kernel.Idle
}
