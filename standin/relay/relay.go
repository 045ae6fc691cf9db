// Package relay is a stand-in for the network between failure domains and the
// platform. Each endpoint listens on a real address of its own and is known to
// the others by an advertised address of the relay. The relay tells senders
// apart by their real IP address, so that traffic between two IP addresses can
// be cut: datagrams are lost, and TCP segments are lost below the connection,
// so that connections stay open, are silent and are retransmitted as on a
// network. Nothing is closed by a cut.
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

// ErrInvalidPartition means that a Partition is not valid.
var ErrInvalidPartition = errors.New("invalid cut")

// Endpoint is one endpoint behind the relay.
type Endpoint struct {
	Advertised netip.AddrPort // the relay listens here
	Real       netip.AddrPort // the endpoint listens here
}

// Config lists the endpoints. A sender of datagrams must be an endpoint of UDP.
type Config struct {
	Control netip.AddrPort // HTTP
	UDP     []Endpoint
	TCP     []Endpoint
}

// Partition is the JSON form of the partition. An IP address that is in no pair reaches
// all others.
type Partition struct {
	Pairs [][2]netip.Addr `json:"pairs"` // IPv4; nothing passes in either direction
}

// separates reports whether nothing passes between a and b.
func (c *Partition) separates(a, b netip.Addr) bool {
	return slices.Contains(c.Pairs, [2]netip.Addr{a, b}) || slices.Contains(c.Pairs, [2]netip.Addr{b, a})
}

// separatedFrom returns the addresses that do not reach a.
func (c *Partition) separatedFrom(a netip.Addr) []netip.Addr {
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
			return fmt.Errorf("pair %s, %s: two different IPv4 addresses are required: %w", pair[0], pair[1], ErrInvalidPartition)
		}
	}
	return nil
}

// Stats counts since start, apart from Connections.
type Stats struct {
	Passed      uint64 `json:"passed"`      // datagrams
	Lost        uint64 `json:"lost"`        // datagrams, by a cut
	Foreign     uint64 `json:"foreign"`     // datagrams of senders that are no endpoint
	Connections int    `json:"connections"` // that are open
}

// Service is the kernel service that relays: one duty for the connections and
// the cuts, one for each socket, two for each connection.
type Service struct {
	config    Config
	datagrams []*udpLink
	streams   []*tcpLink
	gate      *kernel.Gate
	questions *kernel.Ring[serve.Command]
	changes   *kernel.Ring[change]
	open      map[*connection]struct{} // of the duty

	cut     atomic.Pointer[Partition] // written by the duty
	passed  atomic.Uint64
	lost    atomic.Uint64
	foreign atomic.Uint64
}

// change tells the duty that a connection opened or closed.
type change struct {
	connection *connection
	closed     bool
}

// changeCapacity is the number of changes that may wait; senders block then.
const changeCapacity = 1024

// New returns the relay without a cut.
func New(config Config) *Service {
	s := &Service{config: config, open: make(map[*connection]struct{})}
	s.cut.Store(&Partition{})
	return s
}

// HTTP returns the service of the relay's endpoints:
//
//	GET /cut    Partition
//	PUT /cut    Partition, replaces the one in force
//	GET /stats  Stats
func (s *Service) HTTP() *serve.HTTP {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /cut", func(w http.ResponseWriter, _ *http.Request) { serve.WriteJSON(w, s.cut.Load(), nil) })
	mux.HandleFunc("PUT /cut", s.serveCut)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, r *http.Request) {
		stats, err := serve.Do(r.Context(), s.questions, func(time.Duration) Stats { return s.stats() })
		serve.WriteJSON(w, stats, err)
	})
	return serve.NewHTTP(Name+".http", s.config.Control, mux, Name)
}

func (s *Service) serveCut(w http.ResponseWriter, r *http.Request) {
	var cut Partition
	if !serve.ReadJSON(w, r, &cut) {
		return
	}
	if err := cut.validate(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	failed, err := serve.Do(r.Context(), s.questions, func(time.Duration) error { return s.apply(&cut) })
	serve.WriteJSON(w, cut, errors.Join(failed, err))
}

// apply replaces the cuts.
func (s *Service) apply(cut *Partition) error {
	s.cut.Store(cut)
	var errs []error
	for _, l := range s.streams {
		errs = append(errs, l.filter(cut))
	}
	for c := range s.open {
		errs = append(errs, c.filter(cut))
	}
	return errors.Join(errs...)
}

func (s *Service) stats() Stats {
	return Stats{
		Passed: s.passed.Load(), Lost: s.lost.Load(), Foreign: s.foreign.Load(), Connections: len(s.open),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

// Setup opens the sockets.
func (s *Service) Setup(k *kernel.Kernel) error {
	s.gate = kernel.NewGate()
	s.questions = serve.NewCommandRing(k, Name+".questions", s.gate)
	s.changes = kernel.NewRing[change](k, Name+".changes", changeCapacity, kernel.Block, s.gate)
	for _, link := range s.config.UDP {
		l, err := listenUDP(s, link)
		if err != nil {
			return errors.Join(err, s.close())
		}
		s.datagrams = append(s.datagrams, l)
	}
	for _, link := range s.config.TCP {
		l, err := listenTCP(s, link)
		if err != nil {
			return errors.Join(err, s.close())
		}
		s.streams = append(s.streams, l)
	}
	return nil
}

// close closes the sockets of a failed Setup.
func (s *Service) close() error {
	var errs []error
	for _, l := range s.datagrams {
		errs = append(errs, l.conn.Close())
	}
	for _, l := range s.streams {
		errs = append(errs, l.listener.Close())
	}
	return errors.Join(errs...)
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	k.AddDuty(kernel.Duty{Name: Name, Gate: s.gate, Step: s.step})
	bySender := make(map[netip.AddrPort]*udpLink, len(s.datagrams))
	for _, l := range s.datagrams {
		bySender[l.Real] = l
	}
	for _, l := range s.datagrams {
		l.bySender = bySender
		k.AddBlocker(kernel.Blocker{
			Name: Name + ".udp." + l.Advertised.String(), Run: l.run, Interrupt: func() { l.conn.Close() },
		})
	}
	for _, l := range s.streams {
		k.AddBlocker(kernel.Blocker{
			Name: Name + ".tcp." + l.Advertised.String(), Run: l.run, Interrupt: func() { l.listener.Close() },
		})
	}
	return nil
}

func (s *Service) step(now time.Duration) time.Duration {
	for range changeCapacity {
		c, ok := s.changes.Take()
		if !ok {
			break
		}
		if c.closed {
			delete(s.open, c.connection)
			continue
		}
		s.open[c.connection] = struct{}{}
		// A connection that was opened just before a cut misses it otherwise. An
		// error means that it is closed already.
		_ = c.connection.filter(s.cut.Load())
	}
	serve.RunCommands(s.questions, now)
	return kernel.Idle
}
