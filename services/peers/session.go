package peers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/panjf2000/ants/v2"

	"github.com/gypsumspan/gypsumspan/certs"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
)

const (
	// helloTimeout bounds each step of the start of an incoming link: the TLS handshake, the
	// opening of the stream, and the hello.
	helloTimeout = 2 * time.Second
	// idleFactor is the read timeout of an incoming link, as a multiple of the idle time
	// after which the sender closes it.
	idleFactor = 2
	// acceptPause is the delay after an error of the listening socket, such as too many
	// open files. Without it the loop would use a whole core while the error lasts.
	acceptPause = 100 * time.Millisecond
	// readersTimeout bounds the wait for readers to end after their sessions are closed.
	readersTimeout = 2 * time.Second
)

// accept accepts incoming links until the service is closed. Each link is read by a worker
// of a pool of MaxSessions workers.
func (s *Service) accept(ctx context.Context) error {
	panicked := make(chan error, 1)
	pool, err := ants.NewPool(s.config.MaxSessions, ants.WithNonblocking(true), ants.WithDisablePurge(true),
		ants.WithPanicHandler(func(v any) {
			select {
			case panicked <- fmt.Errorf("%w: %v", kernel.ErrPanic, v):
			default:
			}
			s.close()
		}))
	if err != nil {
		return fmt.Errorf("create pool of %d readers: %w", s.config.MaxSessions, err)
	}
	err = s.acceptAll(ctx, pool)
	s.close()
	releaseErr := pool.ReleaseTimeout(readersTimeout)
	select {
	case err := <-panicked:
		return err
	default:
	}
	if s.isFlushing() {
		// A reader may be blocked on the full ring of a core that has stopped. It ends
		// with the process.
		return err
	}
	return errors.Join(err, releaseErr)
}

func (s *Service) acceptAll(ctx context.Context, pool *ants.Pool) error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.Log(events.PeerSessionFailed, events.F("remote", s.config.Listen), events.F("error", err))
			wait(ctx, acceptPause)
			continue
		}
		if err := pool.Submit(func() { s.serve(conn) }); err != nil {
			conn.Close()
			s.count.sessionsRefused.Add(1)
			s.log.Log(events.PeerSessionsFull, events.F("remote", conn.RemoteAddr()), events.F("limit", s.config.MaxSessions))
		}
	}
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// serve handles an incoming link until it ends.
func (s *Service) serve(conn net.Conn) {
	s.count.sessions.Add(1)
	defer s.count.sessions.Add(-1)
	remote := remoteAddr(conn)
	var counted net.Conn = &countingConn{Conn: conn, sent: &s.count.bytesSent, received: &s.count.bytesReceived}
	var peer *certs.Peer
	if s.certs != nil {
		var err error
		counted, peer, err = s.serverHandshake(counted)
		if err != nil {
			conn.Close()
			s.recordHandshakeError(remote, err)
			return
		}
	}
	session, err := yamux.Server(counted, yamuxConfig(s.config.WriteTimeout))
	if err != nil {
		conn.Close()
		return
	}
	defer session.Close()
	if !s.closers.add(session) {
		return
	}
	defer s.closers.remove(session)
	err = s.read(session, remote, peer)
	switch {
	case err == nil || s.closers.isClosed():
	case errors.Is(err, errIdentityMismatch):
		s.recordMismatch(peer, remote, err)
	case isCertificateError(err):
		s.recordRefusal(remote, err)
	default:
		s.count.sessionsFailed.Add(1)
		s.log.Log(events.PeerSessionFailed, events.F("remote", remote), events.F("error", err))
	}
}

func remoteAddr(conn net.Conn) netip.AddrPort {
	addr := conn.RemoteAddr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// read passes the messages of a session to the inbox. It returns nil if the sender closed
// the link or the link was idle.
func (s *Service) read(session *yamux.Session, remote netip.AddrPort, peer *certs.Peer) error {
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	stream, err := session.AcceptStreamWithContext(ctx)
	if err != nil {
		return fmt.Errorf("accept stream: %w", err)
	}
	if err := stream.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	id, err := readHello(stream)
	if err != nil {
		return err
	}
	if err := checkID(peer, id); err != nil {
		return err
	}
	from := message.VMAddress(id, remote)
	frames := &frameReader{r: stream}
	for {
		if err := stream.SetReadDeadline(time.Now().Add(idleFactor * s.config.IdleTimeout)); err != nil {
			return fmt.Errorf("set read deadline: %w", err)
		}
		body, err := frames.next()
		if err != nil {
			return sessionError(session, err)
		}
		if peer != nil {
			if err := peer.Check(); err != nil {
				return err
			}
		}
		if err := checkSender(peer, body); err != nil {
			s.recordMismatch(peer, remote, err)
			continue
		}
		s.count.received.Add(1)
		if err := s.inbox.Put(message.Message{From: from, Body: body}); err != nil {
			return nil
		}
	}
}

// sessionError returns the error that ended a session, or nil if it was closed or idle.
func sessionError(session *yamux.Session, err error) error {
	if errors.Is(err, yamux.ErrTimeout) {
		return nil
	}
	if !errors.Is(err, io.EOF) || !session.IsClosed() {
		return ignoreEOF(err)
	}
	// After a session was closed, AcceptStream returns the cause.
	_, err = session.AcceptStream()
	return ignoreEOF(err)
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
