package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
)

const (
	// socketBuffer is the kernel buffer of a UDP socket, in bytes.
	socketBuffer = 4 << 20
	// maxDatagram is the largest UDP payload, in bytes.
	maxDatagram = 1 << 16
)

// udpLink carries the datagrams to one endpoint.
type udpLink struct {
	Endpoint
	relay    *Service
	conn     *net.UDPConn
	bySender map[netip.AddrPort]*udpLink // by real address; read only
}

func listenUDP(s *Service, link Endpoint) (*udpLink, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(link.Advertised))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", link.Advertised, err)
	}
	// The system may grant less; that is not an error.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return &udpLink{Endpoint: link, relay: s, conn: conn}, nil
}

// run passes datagrams on until the socket is closed. The receiver sees the
// sender's advertised address.
func (l *udpLink) run(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error of an earlier datagram; the socket stays usable.
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		sender, ok := l.bySender[from]
		switch {
		case !ok:
			l.relay.foreign.Add(1)
		case l.relay.cut.Load().separates(from.Addr(), l.Real.Addr()):
			l.relay.lost.Add(1)
		default:
			l.relay.passed.Add(1)
			// An endpoint that is down loses datagrams, as on any network.
			_, _ = sender.conn.WriteToUDPAddrPort(buf[:n], l.Real)
		}
	}
}
