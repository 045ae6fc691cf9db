package peers

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

// streamOpenTimeout bounds the time until a peer confirms a new stream. A peer
// that accepts connections but does not read is found by it.
const streamOpenTimeout = 2 * time.Second

// streamCloseTimeout bounds the time that a closed stream waits for its peer.
const streamCloseTimeout = 2 * time.Second

// streamWindow is the receive window of a stream, in bytes: what a receiver may
// have to buffer, and what a sender may have under way.
const streamWindow = 256 << 10

// countedConn counts the bytes of a connection, with yamux's headers and
// without those of TCP and IP.
type countedConn struct {
	net.Conn
	sent     *atomic.Uint64
	received *atomic.Uint64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(uint64(n))
	return n, err
}

// yamuxConfig returns the configuration of all sessions. Keep-alives are off:
// heartbeats tell that a peer lives, and unused links are closed.
func yamuxConfig(writeTimeout time.Duration) *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = 1
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = writeTimeout
	c.MaxStreamWindowSize = streamWindow
	c.StreamOpenTimeout = streamOpenTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

// openSet holds what Stop has to close.
type openSet struct {
	mu     sync.Mutex
	closed bool
	items  map[io.Closer]struct{}
}

// add returns false when the set is already closed.
func (o *openSet) add(c io.Closer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	if o.items == nil {
		o.items = make(map[io.Closer]struct{})
	}
	o.items[c] = struct{}{}
	return true
}

func (o *openSet) remove(c io.Closer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.items, c)
}

func (o *openSet) isClosed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed
}

// closeAll closes all items and refuses later ones.
func (o *openSet) closeAll() {
	o.mu.Lock()
	o.closed = true
	items := o.items
	o.items = nil
	o.mu.Unlock()
	for c := range items {
		c.Close()
	}
}
