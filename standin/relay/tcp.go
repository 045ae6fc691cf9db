package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// dialTimeout bounds the opening of a connection to an endpoint.
const dialTimeout = 3 * time.Second

// tcpLink carries the connections to one endpoint.
type tcpLink struct {
	Endpoint
	relay    *Service
	listener *net.TCPListener
}

func listenTCP(s *Service, link Endpoint) (*tcpLink, error) {
	var config net.ListenConfig
	// Linux filters no sockets of Multipath TCP, Go's default for listeners.
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", link.Advertised.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", link.Advertised, err)
	}
	return &tcpLink{Endpoint: link, relay: s, listener: listener.(*net.TCPListener)}, nil
}

// filter loses the segments of the addresses that don't reach the endpoint, so
// that their connection attempts time out.
func (l *tcpLink) filter(cut *Partition) error {
	return setFilter(l.listener, dropSources(cut.separatedFrom(l.Real.Addr())))
}

// run accepts connections until the listener is closed, and waits for the end
// of all of them.
func (l *tcpLink) run(ctx context.Context) error {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		conn, err := l.listener.AcceptTCP()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept on %s: %w", l.Advertised, err)
		}
		open.Go(func() { l.carry(ctx, conn) })
	}
}

// carry connects the caller's connection with one to the endpoint. A caller of
// an endpoint that is down is reset.
func (l *tcpLink) carry(ctx context.Context, near *net.TCPConn) {
	defer near.Close()
	dialer := net.Dialer{Timeout: dialTimeout}
	dialed, err := dialer.DialContext(ctx, "tcp", l.Real.String())
	if err != nil {
		_ = near.SetLinger(0)
		return
	}
	far := dialed.(*net.TCPConn)
	defer far.Close()
	stop := context.AfterFunc(ctx, func() {
		near.Close()
		far.Close()
	})
	defer stop()
	source := near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	c := &connection{near: near, far: far, source: source, endpoint: l.Real.Addr()}
	// The ring is closed only when the relay stops.
	if l.relay.changes.Put(change{connection: c}) != nil {
		return
	}
	c.copy()
	_ = l.relay.changes.Put(change{connection: c, closed: true})
}

// connection is one connection through the relay.
type connection struct {
	near, far        *net.TCPConn // to the caller and to the endpoint
	source, endpoint netip.Addr
}

// filter loses all segments that arrive from either side while the connection
// crosses a cut. What the relay sends then stays unacknowledged.
func (c *connection) filter(cut *Partition) error {
	var program filter
	if cut.separates(c.source, c.endpoint) {
		program = dropAll()
	}
	return errors.Join(ignoreClosed(setFilter(c.near, program)), ignoreClosed(setFilter(c.far, program)))
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// copy passes bytes on in both directions until both have ended.
func (c *connection) copy() {
	var directions sync.WaitGroup
	directions.Go(func() { c.pass(c.far, c.near) })
	directions.Go(func() { c.pass(c.near, c.far) })
	directions.Wait()
}

// pass copies one direction and passes its end on. A reset resets both sides.
func (c *connection) pass(to, from *net.TCPConn) {
	if _, err := io.Copy(to, from); err == nil {
		_ = to.CloseWrite()
		return
	}
	for _, side := range []*net.TCPConn{to, from} {
		_ = side.SetLinger(0)
		side.Close()
	}
}
