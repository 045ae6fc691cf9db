package peers

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/gypsumspan/gypsumspan/certs"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/events"
)

// linkAccepted is the byte that the server sends once it has verified the client's
// certificate. In TLS 1.3 the client's handshake completes before that: without the byte
// a refused client would consider the link open, and redial without backoff.
const linkAccepted = 0x01

// errIdentityMismatch means that a hello or message names a VM other than the
// certificate's.
var errIdentityMismatch = errors.New("identity does not match the certificate")

const (
	// yamuxHeaderSize is the size of a yamux header, in bytes.
	yamuxHeaderSize = 12
	// yamuxTypeData is the type of a yamux header that is followed by a body.
	yamuxTypeData = 0
)

// tlsConn is a TLS connection that carries a yamux session. Write is called by one
// goroutine of yamux.
type tlsConn struct {
	*tls.Conn
	pending []byte // header whose body has not been written yet
}

// Read implements net.Conn. It reports an end without a close_notify alert as io.EOF, as
// plain TCP does: a killed VM sends no alert, and truncation is detected by the length of
// each message.
func (c *tlsConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = io.EOF
	}
	return n, err
}

// Write implements net.Conn. yamux writes the header and the body of a message in two
// calls; Write joins them into one TLS record, which saves 22 bytes.
func (c *tlsConn) Write(p []byte) (int, error) {
	if len(c.pending) == 0 && len(p) == yamuxHeaderSize && p[1] == yamuxTypeData && binary.BigEndian.Uint32(p[yamuxHeaderSize-4:]) > 0 {
		c.pending = append(c.pending, p...)
		return len(p), nil
	}
	if len(c.pending) == 0 {
		return c.Conn.Write(p)
	}
	c.pending = append(c.pending, p...)
	_, err := c.Conn.Write(c.pending)
	if cap(c.pending) > streamWindowSize {
		c.pending = nil
	}
	c.pending = c.pending[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// clientHandshake performs the TLS handshake of an outgoing link, within Config.DialTimeout
// after the TCP connection is open.
func (s *Service) clientHandshake(conn net.Conn) (net.Conn, *certs.Peer, error) {
	deadline := time.Now().Add(s.config.DialTimeout)
	ctx, cancel := context.WithDeadline(s.dialCtx, deadline)
	defer cancel()
	c := tls.Client(conn, s.certs.VMClient())
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, nil, err
	}
	if err := readLinkAccepted(c, deadline); err != nil {
		return nil, nil, err
	}
	peer, err := s.certs.NewPeer(c.ConnectionState(), true)
	return &tlsConn{Conn: c}, peer, err
}

// readLinkAccepted waits for the server's byte linkAccepted.
func readLinkAccepted(c *tls.Conn, deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	var b [1]byte
	if _, err := io.ReadFull(c, b[:]); err != nil {
		return fmt.Errorf("peer did not accept the link: %w", err)
	}
	if b[0] != linkAccepted {
		return fmt.Errorf("byte %#x after the handshake: %w", b[0], ErrHello)
	}
	return c.SetReadDeadline(time.Time{})
}

// serverHandshake performs the TLS handshake of an incoming link within the hello timeout.
func (s *Service) serverHandshake(conn net.Conn) (net.Conn, *certs.Peer, error) {
	ctx, cancel := context.WithTimeout(s.dialCtx, helloTimeout)
	defer cancel()
	c := tls.Server(conn, s.certs.VMServer())
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, nil, err
	}
	peer, err := s.certs.NewPeer(c.ConnectionState(), false)
	if err != nil {
		return nil, nil, err
	}
	if err := c.SetWriteDeadline(time.Now().Add(s.config.WriteTimeout)); err != nil {
		return nil, nil, fmt.Errorf("set write deadline: %w", err)
	}
	if _, err := c.Write([]byte{linkAccepted}); err != nil {
		return nil, nil, fmt.Errorf("accept link: %w", err)
	}
	return &tlsConn{Conn: c}, peer, c.SetWriteDeadline(time.Time{})
}

// isCertificateError reports whether err means that the peer's certificate was rejected.
func isCertificateError(err error) bool {
	for _, target := range []error{certs.ErrNoCertificate, certs.ErrUntrusted, certs.ErrExpired, certs.ErrIdentity} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

// recordHandshakeError counts and logs a failed handshake: as a refusal, unless the client
// disconnected or the handshake timed out, as on a slow machine.
func (s *Service) recordHandshakeError(remote netip.AddrPort, err error) {
	abandoned := errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || isTimeout(err)
	if !abandoned || isCertificateError(err) {
		s.recordRefusal(remote, err)
		return
	}
	if !s.closers.isClosed() {
		s.count.sessionsFailed.Add(1)
		s.log.Log(events.PeerSessionFailed, events.F("remote", remote), events.F("error", err))
	}
}

// recordRefusal counts and logs an incoming link that is refused because of the peer's
// certificate or of another TLS error.
func (s *Service) recordRefusal(remote netip.AddrPort, err error) {
	if s.closers.isClosed() {
		return
	}
	s.count.refused.Add(1)
	s.log.Log(events.PeerRefused, events.F("remote", remote), events.F("error", err))
}

func (s *Service) recordMismatch(peer *certs.Peer, remote netip.AddrPort, err error) {
	s.count.mismatches.Add(1)
	s.log.Log(events.PeerMismatch, events.F("certificate", peer.VM), events.F("remote", remote), events.F("error", err))
}

// mustReplace reports whether the link must be replaced by a new one, because a
// certificate of either end was replaced or has expired, or its CA was removed. Earlier
// messages are not lost, since the link is closed gracefully.
func (l *link) mustReplace() bool {
	return l.peer != nil && (l.peer.IsOutdated() || l.peer.Check() != nil)
}

// checkID returns errIdentityMismatch unless id is the VM of the certificate. Without TLS
// (peer is nil) every id is accepted.
func checkID(peer *certs.Peer, id message.VMID) error {
	if peer == nil || message.VMIDOf(peer.VM.Name) == id {
		return nil
	}
	return fmt.Errorf("VM %016x: %w", uint64(id), errIdentityMismatch)
}

// checkReceiver returns errIdentityMismatch unless the VM of the certificate is the
// receiver. An id of 0 is accepted: the id of a seed is not known.
func checkReceiver(peer *certs.Peer, id message.VMID) error {
	if id == 0 {
		return nil
	}
	return checkID(peer, id)
}

// checkSender returns errIdentityMismatch if a message describes its sender differently
// from the certificate. Gossip about third VMs is not checked.
func checkSender(peer *certs.Peer, body message.Body) error {
	if peer == nil {
		return nil
	}
	var self message.Member
	switch m := body.(type) {
	case *message.Heartbeat:
		self = m.Self
	case *message.HeartbeatAck:
		self = m.Self
	default:
		return nil
	}
	// Heartbeats between established neighbours carry only the id.
	wrongName := self.Name != "" && self.Name != peer.VM.Name
	wrongDomain := self.Domain != 0 && self.Domain != message.DomainIDOf(peer.VM.Domain)
	if wrongName || wrongDomain {
		return fmt.Errorf("%T of VM %q in domain %08x: %w", body, self.Name, uint32(self.Domain), errIdentityMismatch)
	}
	return checkID(peer, self.ID)
}
