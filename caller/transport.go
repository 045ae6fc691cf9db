package caller

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
)

// Transport opens sockets to the fabric.
type Transport interface {
	// Open returns a new socket.
	Open() (Conn, error)
}

// Conn is one socket. Send and Receive may be called at the same time.
type Conn interface {
	// Send passes one datagram to the fabric, which chooses the VM.
	Send(datagram []byte) error
	// Receive waits for a datagram and returns its length. It returns an error
	// that wraps net.ErrClosed after Close.
	Receive(buffer []byte) (int, error)
	Close() error
}

// socketBuffer is the kernel buffer of a socket, in bytes. It holds the answers
// that arrive while the reading duty is not scheduled.
const socketBuffer = 4 << 20

// fabricAddresses sends each datagram to one of the addresses, at random.
type fabricAddresses []netip.AddrPort

// Open implements Transport.
func (f fabricAddresses) Open() (Conn, error) {
	conn, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, fmt.Errorf("open socket: %w", err)
	}
	// The system may grant less; that is not an error.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return &addressConn{UDPConn: conn, addresses: f}, nil
}

type addressConn struct {
	*net.UDPConn
	addresses fabricAddresses
}

// Send implements Conn.
func (c *addressConn) Send(datagram []byte) error {
	to := c.addresses[rand.IntN(len(c.addresses))]
	_, err := c.WriteToUDPAddrPort(datagram, to)
	if err != nil {
		return fmt.Errorf("send to %s: %w", to, err)
	}
	return nil
}

// Receive implements Conn.
func (c *addressConn) Receive(buffer []byte) (int, error) {
	n, _, err := c.ReadFromUDPAddrPort(buffer)
	if err != nil {
		return n, fmt.Errorf("receive: %w", err)
	}
	return n, nil
}
