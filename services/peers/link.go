package peers

import (
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/gypsumspan/gypsumspan/certs"
)

// link is an outgoing link. It is used by one sending duty.
type link struct {
	service *Service
	session *yamux.Session
	stream  *yamux.Stream
	peer    *certs.Peer // nil: plain TCP
}

// dial opens a link to a control address and sends the hello. It returns ErrClosed if the
// service is stopped.
func (s *Service) dial(addr netip.AddrPort) (*link, error) {
	dialer := net.Dialer{Timeout: s.config.DialTimeout, Control: setUserTimeout}
	if s.config.LocalAddr.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: s.config.LocalAddr.AsSlice()}
	}
	conn, err := dialer.DialContext(s.dialCtx, "tcp", addr.String())
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	var counted net.Conn = &countingConn{Conn: conn, sent: &s.count.bytesSent, received: &s.count.bytesReceived}
	var peer *certs.Peer
	if s.certs != nil {
		counted, peer, err = s.clientHandshake(counted)
		if err != nil {
			conn.Close()
			return nil, fmt.Errorf("TLS handshake: %w", err)
		}
	}
	session, err := yamux.Client(counted, yamuxConfig(s.config.WriteTimeout))
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("start session: %w", err)
	}
	if !s.closers.add(session) {
		session.Close()
		return nil, ErrClosed
	}
	s.count.links.Add(1)
	l := &link{service: s, session: session, peer: peer}
	if err := l.start(); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

func (l *link) start() error {
	stream, err := l.session.OpenStream()
	if err != nil {
		return fmt.Errorf("open stream: %w", err)
	}
	l.stream = stream
	return l.write(appendHello(nil, l.service.config.Self))
}

// write sends data within the write timeout.
func (l *link) write(data []byte) error {
	if err := l.stream.SetWriteDeadline(time.Now().Add(l.service.config.WriteTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if _, err := l.stream.Write(data); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// isClosed reports whether the session was closed by the peer or by an error.
func (l *link) isClosed() bool {
	return l.session.IsClosed()
}

// closeGracefully closes the stream. The receiver then reads its end and closes the
// session.
func (l *link) closeGracefully() {
	_ = l.stream.SetWriteDeadline(time.Now().Add(l.service.config.WriteTimeout))
	_ = l.stream.Close()
}

// awaitClose waits until the receiver has closed the session, or until the deadline. The
// system resets a connection that is closed with unread bytes, such as a window update,
// and the receiver then loses the bytes that it has not read.
func (l *link) awaitClose(deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-l.session.CloseChan():
	case <-timer.C:
	}
}

func (l *link) close() {
	l.session.Close()
	l.service.closers.remove(l.session)
	l.service.count.links.Add(-1)
}
