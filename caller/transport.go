package caller

import (
	"fmt"
	"net"
	"net/netip"
)

// Transport opens sockets to the fabric, the network that delivers each datagram to
// one of the entry VMs.
type Transport interface {
	// Open returns a new socket.
	Open() (Conn, error)
}

// Conn is one socket. Send and Receive may be called concurrently.
type Conn interface {
	// Send sends one datagram to the fabric, which chooses the VM. A transport that chooses
	// it itself goes by path: retransmissions of a message have consecutive ones.
	Send(datagram []byte, path uint64) error
	// Receive waits for a datagram, copies it to buffer and returns its length.
	// After Close it returns an error that wraps net.ErrClosed.
	Receive(buffer []byte) (int, error)
	Close() error
}

// socketBufferBytes is the size of a socket's send and receive buffers. The latter
// holds the answers that arrive while the receiving goroutine is not scheduled.
const socketBufferBytes = 4 << 20

// fabricAddresses is a transport that sends each datagram to the address of its path.
type fabricAddresses []netip.AddrPort

// Open implements Transport.
func (f fabricAddresses) Open() (Conn, error) {
	conn, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, fmt.Errorf("open socket: %w", err)
	}
	// The operating system may limit the buffers; that is not an error.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return &addressConn{UDPConn: conn, addresses: f}, nil
}

type addressConn struct {
	*net.UDPConn
	addresses fabricAddresses
}

// Send implements Conn.
func (c *addressConn) Send(datagram []byte, path uint64) error {
	to := c.addresses[path%uint64(len(c.addresses))]
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
