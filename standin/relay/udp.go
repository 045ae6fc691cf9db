package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
)

const (
	// socketBufferBytes is the requested size of a socket's receive and send buffers.
	socketBufferBytes = 4 << 20
	// maxDatagramBytes is an upper bound of the size of a UDP payload.
	maxDatagramBytes = 1 << 16
)

// udpProxy forwards datagrams to one endpoint.
type udpProxy struct {
	Endpoint
	relay    *Service
	conn     *net.UDPConn
	bySender map[netip.AddrPort]*udpProxy // proxies of all endpoints by real address; read-only
}

func listenUDP(s *Service, link Endpoint) (*udpProxy, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(link.Advertised))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", link.Advertised, err)
	}
	// Best effort: the system may limit the sizes.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return &udpProxy{Endpoint: link, relay: s, conn: conn}, nil
}

// run forwards datagrams until the socket is closed. It sends them from the socket of the
// sender's proxy, so that the receiver sees the sender's advertised address.
func (l *udpProxy) run(ctx context.Context) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error for an earlier datagram; the socket remains usable.
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		sender, ok := l.bySender[from]
		switch {
		case !ok:
			l.relay.foreign.Add(1)
		case l.relay.partition.Load().blocks(from.Addr(), l.Real.Addr()):
			l.relay.lost.Add(1)
		default:
			l.relay.passed.Add(1)
			// Datagrams to an endpoint that is down are lost, as on any network.
			_, _ = sender.conn.WriteToUDPAddrPort(buf[:n], l.Real)
		}
	}
}
