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

// dialTimeout is the timeout for connecting to an endpoint.
const dialTimeout = 3 * time.Second

// tcpProxy accepts connections to one endpoint and proxies them.
type tcpProxy struct {
	Endpoint
	relay    *Service
	listener *net.TCPListener
}

func listenTCP(s *Service, link Endpoint) (*tcpProxy, error) {
	var config net.ListenConfig
	// Linux does not support socket filters on Multipath TCP, Go's default for listeners.
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", link.Advertised.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", link.Advertised, err)
	}
	return &tcpProxy{Endpoint: link, relay: s, listener: listener.(*net.TCPListener)}, nil
}

// applyPartition makes the listener drop the segments of addresses that partition blocks from
// the endpoint, so that their connection attempts time out.
func (l *tcpProxy) applyPartition(partition *Partition) error {
	return setFilter(l.listener, dropSourcesProgram(partition.blockedPeers(l.Real.Addr())))
}

// run accepts connections until the listener is closed, then waits until all of them have
// ended.
func (l *tcpProxy) run(ctx context.Context) error {
	var active sync.WaitGroup
	defer active.Wait()
	for {
		conn, err := l.listener.AcceptTCP()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept on %s: %w", l.Advertised, err)
		}
		active.Go(func() { l.proxy(ctx, conn) })
	}
}

// proxy proxies a client's connection to the endpoint until it ends. If the endpoint can't be
// reached, it resets the client's connection.
func (l *tcpProxy) proxy(ctx context.Context, client *net.TCPConn) {
	defer client.Close()
	dialer := net.Dialer{Timeout: dialTimeout}
	dialed, err := dialer.DialContext(ctx, "tcp", l.Real.String())
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	endpointConn := dialed.(*net.TCPConn)
	defer endpointConn.Close()
	stop := context.AfterFunc(ctx, func() {
		client.Close()
		endpointConn.Close()
	})
	defer stop()
	clientIP := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	c := &connection{client: client, endpointConn: endpointConn, clientIP: clientIP, endpointIP: l.Real.Addr()}
	// Put fails only when the relay stops.
	if l.relay.events.Put(connectionEvent{connection: c}) != nil {
		return
	}
	c.proxyBothWays()
	_ = l.relay.events.Put(connectionEvent{connection: c, closed: true})
}

// connection is a TCP connection through the relay.
type connection struct {
	client, endpointConn *net.TCPConn // connections with the client and with the endpoint
	clientIP, endpointIP netip.Addr
}

// applyPartition drops all segments that arrive from either side while partition blocks the
// connection. What the relay has sent then remains unacknowledged.
func (c *connection) applyPartition(partition *Partition) error {
	var program bpfProgram
	if partition.blocks(c.clientIP, c.endpointIP) {
		program = dropAllProgram()
	}
	return errors.Join(ignoreClosed(setFilter(c.client, program)), ignoreClosed(setFilter(c.endpointConn, program)))
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// proxyBothWays copies bytes in both directions until both have ended.
func (c *connection) proxyBothWays() {
	var directions sync.WaitGroup
	directions.Go(func() { c.proxyOneWay(c.endpointConn, c.client) })
	directions.Go(func() { c.proxyOneWay(c.client, c.endpointConn) })
	directions.Wait()
}

// proxyOneWay copies bytes in one direction and forwards the end of the stream (FIN). On an
// error, such as a reset, it resets both sides.
func (c *connection) proxyOneWay(to, from *net.TCPConn) {
	if _, err := io.Copy(to, from); err == nil {
		_ = to.CloseWrite()
		return
	}
	for _, side := range []*net.TCPConn{to, from} {
		_ = side.SetLinger(0)
		side.Close()
	}
}
