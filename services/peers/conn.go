package peers

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// streamOpenTimeout bounds the time until a peer acknowledges a new stream. It detects
// a peer that accepts connections but does not read from them.
const streamOpenTimeout = 2 * time.Second

// streamCloseTimeout bounds the time that a closed stream waits for the peer to close it.
const streamCloseTimeout = 2 * time.Second

// streamWindowSize is the receive window of a stream, in bytes. It bounds both the
// bytes that a receiver buffers and those that a sender has in flight.
const streamWindowSize = 256 << 10

// countingConn counts the bytes of a connection, including yamux and TLS headers but
// not those of TCP and IP.
type countingConn struct {
	net.Conn
	sent     *atomic.Uint64
	received *atomic.Uint64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(uint64(n))
	return n, err
}

// yamuxConfig returns the configuration of all sessions. yamux's keep-alives are off:
// heartbeats detect failed peers, and idle links are closed.
func yamuxConfig(writeTimeout time.Duration) *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = 1
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindowSize
	c.StreamOpenTimeout = streamOpenTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

// closerSet is the set of open links and sessions, which are closed on Stop.
type closerSet struct {
	mu     sync.Mutex
	closed bool
	items  map[io.Closer]struct{}
}

// add adds c. It returns false if the set is already closed; the caller then closes c.
func (s *closerSet) add(c io.Closer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.items == nil {
		s.items = make(map[io.Closer]struct{})
	}
	s.items[c] = struct{}{}
	return true
}

func (s *closerSet) remove(c io.Closer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, c)
}

func (s *closerSet) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// closeAll closes all items, and makes add refuse further ones.
func (s *closerSet) closeAll() {
	s.mu.Lock()
	s.closed = true
	items := s.items
	s.items = nil
	s.mu.Unlock()
	for c := range items {
		c.Close()
	}
}
