package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/certs"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/certwatch"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/services/logs"
)

const (
	// senderCount is the number of sending duties.
	senderCount = 16
	// ringCapacity is the number of messages that may be queued for one sending duty.
	ringCapacity = 1024
	// flushTimeout bounds the time that Stop waits for queued messages to be sent. One
	// message can take a dial, a handshake, a write, a second dial and a second handshake
	// of 500 ms each.
	flushTimeout = 2500 * time.Millisecond
)

// keepAlive detects a dead VM and ends its sessions after 11 s. Each new link of
// a VM uses a session, so that dead ones would use up MaxSessions when VMs are partitioned
// and reconnect several times within the read timeout.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     5 * time.Second,
	Interval: 2 * time.Second,
	Count:    3,
}

// Defaults of Config.
const (
	DefaultDialTimeout  = 500 * time.Millisecond
	DefaultWriteTimeout = 500 * time.Millisecond
	DefaultIdleTimeout  = time.Minute
	DefaultMaxSessions  = 256
)

// Config configures the service. Zero durations and counts mean the defaults.
type Config struct {
	Self         message.VMID
	Listen       netip.AddrPort // TCP
	LocalAddr    netip.Addr     // local address of dialled links; invalid: the system chooses
	DialTimeout  time.Duration  // of TCP; a TLS handshake has as much again
	WriteTimeout time.Duration  // of one message
	IdleTimeout  time.Duration  // time after which an unused link is closed
	MaxSessions  int            // limit of incoming links
	// TLS makes VMs authenticate each other by the certificates of the service "certs".
	TLS bool
}

func (c *Config) setDefaults() {
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.WriteTimeout == 0 {
		c.WriteTimeout = DefaultWriteTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.MaxSessions == 0 {
		c.MaxSessions = DefaultMaxSessions
	}
}

// Stats holds counters since start, and the gauges Links and Sessions.
type Stats struct {
	Links               int64  // gauge: open outgoing links
	Sessions            int64  // gauge: open incoming links
	Sent                uint64 // messages
	Received            uint64 // messages
	BytesSent           uint64 // on all links, including yamux and TLS headers
	BytesReceived       uint64
	DialsFailed         uint64
	LinksFailed         uint64 // outgoing links that failed while open
	SessionsFailed      uint64 // incoming links closed because of an error
	SessionsRefused     uint64 // incoming links refused because of MaxSessions
	BackoffDrops        uint64 // messages dropped during the backoff of a peer
	FailedDrops         uint64 // messages lost by a failed dial, write or encoding
	CertificatesRefused uint64 // links in either direction that failed because of the peer's certificate
	IdentityMismatches  uint64 // messages and links that name a VM other than the certificate's
}

type counters struct {
	links, sessions                          atomic.Int64
	sent, received, bytesSent, bytesReceived atomic.Uint64
	dialsFailed, linksFailed                 atomic.Uint64
	sessionsFailed, sessionsRefused          atomic.Uint64
	backoffDrops, failedDrops                atomic.Uint64
	refused, mismatches                      atomic.Uint64
}

// Inbox receives messages from other VMs; it is the service "core".
type Inbox interface {
	Put(m message.Message) error
}

// Service is the service "peers".
type Service struct {
	config   Config
	kernel   *kernel.Kernel
	log      logs.Log
	inbox    Inbox
	certs    *certs.Source // nil: plain TCP
	listener net.Listener
	senders  [senderCount]*sender
	count    counters

	closers     closerSet       // open links and sessions
	dialCtx     context.Context // ends on close
	cancelDials context.CancelFunc
	flush       chan struct{} // closed by Stop
	once        sync.Once
}

// New returns the service.
func New(config Config) *Service {
	config.setDefaults()
	s := &Service{config: config, flush: make(chan struct{})}
	s.dialCtx, s.cancelDials = context.WithCancel(context.Background())
	return s
}

// Name implements kernel.Service.
func (s *Service) Name() string { return core.PeersName }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string {
	if s.config.TLS {
		return []string{logs.Name, certwatch.Name}
	}
	return []string{logs.Name}
}

// Setup implements kernel.Service: it opens the listening socket.
func (s *Service) Setup(k *kernel.Kernel) error {
	var err error
	s.kernel = k
	listen := net.ListenConfig{KeepAliveConfig: keepAlive}
	s.listener, err = listen.Listen(context.Background(), "tcp", s.config.Listen.String())
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.config.Listen, err)
	}
	for i := range s.senders {
		s.senders[i] = newSender(s, k, i)
	}
	return nil
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	var err error
	if s.log, err = kernel.Lookup[logs.Log](k, logs.Name); err != nil {
		return err
	}
	if s.inbox, err = kernel.Lookup[Inbox](k, core.Name); err != nil {
		return err
	}
	if s.config.TLS {
		source, err := kernel.Lookup[certwatch.Certificates](k, certwatch.Name)
		if err != nil {
			return err
		}
		s.certs = source.Source()
	}
	for _, d := range s.senders {
		k.AddDuty(kernel.Duty{Name: d.name, Gate: d.gate, Step: d.step})
	}
	k.AddBlocker(kernel.Blocker{Name: "peers.accept", Run: s.accept, Interrupt: s.close})
	return nil
}

// Send implements core.Output. The receiver is To.VM at the control address To.Addr. If
// the ring of its sending duty is full, the message is dropped and counted.
func (s *Service) Send(m message.Message) {
	d := s.senders[rendezvous.Mix(uint64(m.To.VM), 0)%senderCount]
	_ = d.ring.Put(m)
}

// Addr returns the address of the listening socket, after Setup.
func (s *Service) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Stop implements kernel.Stopper: it waits until the queued messages are sent, for at most
// flushTimeout, then closes all links and sessions. It always returns nil: messages that
// are not sent in time are lost, as on a failing link.
func (s *Service) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	close(s.flush)
	for _, d := range s.senders {
		d.gate.Signal()
	}
	for _, d := range s.senders {
		select {
		case <-d.flushed:
		case <-ctx.Done():
		}
	}
	s.close()
	return nil
}

// close cancels dials and closes the listening socket, links and sessions.
func (s *Service) close() {
	s.once.Do(func() {
		s.cancelDials()
		s.listener.Close()
		s.closers.closeAll()
	})
}

func (s *Service) isFlushing() bool {
	select {
	case <-s.flush:
		return true
	default:
		return false
	}
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	c := &s.count
	return Stats{
		Links:               c.links.Load(),
		Sessions:            c.sessions.Load(),
		Sent:                c.sent.Load(),
		Received:            c.received.Load(),
		BytesSent:           c.bytesSent.Load(),
		BytesReceived:       c.bytesReceived.Load(),
		DialsFailed:         c.dialsFailed.Load(),
		LinksFailed:         c.linksFailed.Load(),
		SessionsFailed:      c.sessionsFailed.Load(),
		SessionsRefused:     c.sessionsRefused.Load(),
		BackoffDrops:        c.backoffDrops.Load(),
		FailedDrops:         c.failedDrops.Load(),
		CertificatesRefused: c.refused.Load(),
		IdentityMismatches:  c.mismatches.Load(),
	}
}

// isTimeout reports whether err is a timeout of a dial, read or write.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
