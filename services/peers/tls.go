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

// welcome is the byte that the accepting end sends once it has checked the
// client's certificate. In TLS 1.3 the client's handshake ends before that; a
// refused VM would otherwise take the link for open and dial without back-off.
const welcome = 0x01

// errMismatch means that a message names another VM than the certificate.
var errMismatch = errors.New("another VM than in the certificate")

const (
	// yamuxHeader is the size of a yamux header, in bytes.
	yamuxHeader = 12
	// yamuxData is the type of a yamux header that a body follows.
	yamuxData = 0
)

// tlsConn is a TLS connection under yamux. One goroutine of yamux writes.
type tlsConn struct {
	*tls.Conn
	held []byte // header that waits for its body
}

// Read implements net.Conn. It reports an end without the closing alert as a
// usual end, as plain TCP does: a killed VM sends none, and messages carry their
// length.
func (c *tlsConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = io.EOF
	}
	return n, err
}

// Write implements net.Conn. yamux writes the header and the body of a message
// one after the other; joined they take one record of TLS, which saves 22 bytes.
func (c *tlsConn) Write(p []byte) (int, error) {
	if len(c.held) == 0 && len(p) == yamuxHeader && p[1] == yamuxData && binary.BigEndian.Uint32(p[yamuxHeader-4:]) > 0 {
		c.held = append(c.held, p...)
		return len(p), nil
	}
	if len(c.held) == 0 {
		return c.Conn.Write(p)
	}
	c.held = append(c.held, p...)
	_, err := c.Conn.Write(c.held)
	if cap(c.held) > streamWindow {
		c.held = nil
	}
	c.held = c.held[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// clientHandshake authenticates an outgoing link within a second dial time-out.
func (s *Service) clientHandshake(conn net.Conn) (net.Conn, *certs.Peer, error) {
	deadline := time.Now().Add(s.config.DialTimeout)
	ctx, cancel := context.WithDeadline(s.dialing, deadline)
	defer cancel()
	c := tls.Client(conn, s.certs.VMClient())
	if err := c.HandshakeContext(ctx); err != nil {
		return nil, nil, err
	}
	if err := readWelcome(c, deadline); err != nil {
		return nil, nil, err
	}
	peer, err := s.certs.NewPeer(c.ConnectionState(), true)
	return &tlsConn{Conn: c}, peer, err
}

func readWelcome(c *tls.Conn, deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	var answer [1]byte
	if _, err := io.ReadFull(c, answer[:]); err != nil {
		return fmt.Errorf("peer did not accept the link: %w", err)
	}
	if answer[0] != welcome {
		return fmt.Errorf("byte %#x after the handshake: %w", answer[0], ErrHello)
	}
	return c.SetReadDeadline(time.Time{})
}

// serverHandshake authenticates an incoming link within the hello time-out.
func (s *Service) serverHandshake(conn net.Conn) (net.Conn, *certs.Peer, error) {
	ctx, cancel := context.WithTimeout(s.dialing, helloTimeout)
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
	if _, err := c.Write([]byte{welcome}); err != nil {
		return nil, nil, fmt.Errorf("accept link: %w", err)
	}
	return &tlsConn{Conn: c}, peer, c.SetWriteDeadline(time.Time{})
}

// isRefusal reports whether err means that a peer's certificate is refused.
func isRefusal(err error) bool {
	for _, refusal := range []error{certs.ErrNoCertificate, certs.ErrUntrusted, certs.ErrExpired, certs.ErrIdentity} {
		if errors.Is(err, refusal) {
			return true
		}
	}
	return false
}

// noteHandshake counts and logs a failed handshake. A dialler that gave up or a
// slow machine says nothing about certificates.
func (s *Service) noteHandshake(remote netip.AddrPort, err error) {
	gaveUp := errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || isTimeout(err)
	if !gaveUp || isRefusal(err) {
		s.refuse(remote, err)
		return
	}
	if !s.open.isClosed() {
		s.count.sessionsFailed.Add(1)
		s.log.Log(events.PeerSessionFailed, events.F("remote", remote), events.F("error", err))
	}
}

// refuse counts and logs an incoming link whose certificate is refused.
func (s *Service) refuse(remote netip.AddrPort, err error) {
	if s.open.isClosed() {
		return
	}
	s.count.refused.Add(1)
	s.log.Log(events.PeerRefused, events.F("remote", remote), events.F("error", err))
}

func (s *Service) noteMismatch(peer *certs.Peer, remote netip.AddrPort, err error) {
	s.count.mismatches.Add(1)
	s.log.Log(events.PeerMismatch, events.F("certificate", peer.VM), events.F("remote", remote), events.F("error", err))
}

// mustEnd reports whether a new link has to take the place of this one: a
// certificate of either end was replaced or has run out, or its CA is gone. The
// receiver then has what was sent before, since the link ends as an idle one does.
func (l *link) mustEnd() bool {
	return l.peer != nil && (l.peer.IsOutdated() || l.peer.Check() != nil)
}

// checkID returns errMismatch unless id is the VM of the certificate. Without a
// certificate every id is accepted.
func checkID(peer *certs.Peer, id message.VMID) error {
	if peer == nil || message.VMIDOf(peer.VM.Name) == id {
		return nil
	}
	return fmt.Errorf("VM %016x: %w", uint64(id), errMismatch)
}

// checkReceiver returns errMismatch unless the VM of the certificate is the
// receiver. The receiver of a message to a seed is not known by id.
func checkReceiver(peer *certs.Peer, id message.VMID) error {
	if id == 0 {
		return nil
	}
	return checkID(peer, id)
}

// checkSender returns errMismatch when a message describes its sender other than
// the certificate does. Records of third VMs in the gossip are not covered.
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
	// Heartbeats of established neighbours carry the id alone.
	wrongName := self.Name != "" && self.Name != peer.VM.Name
	wrongDomain := self.Domain != 0 && self.Domain != message.DomainIDOf(peer.VM.Domain)
	if wrongName || wrongDomain {
		return fmt.Errorf("%T of VM %q in domain %08x: %w", body, self.Name, uint32(self.Domain), errMismatch)
	}
	return checkID(peer, self.ID)
}
