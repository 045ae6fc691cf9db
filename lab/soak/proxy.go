package soak

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// proxyMode is how a proxy treats connections.
type proxyMode int

const (
	passing   proxyMode = iota
	refusing            // connections are reset
	blackhole           // bytes are read and dropped in both directions
	oneWay              // requests are forwarded, responses are dropped
	delayed             // each read is forwarded after slowDelay
)

// slowDelay is the delay in mode delayed.
const slowDelay = 150 * time.Millisecond

// proxy forwards the connections of one VM to the store.
type proxy struct {
	listener     net.Listener
	storeAddress string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

func newProxy(listenAddress, storeAddress string) (*proxy, error) {
	listener, err := net.Listen("tcp4", listenAddress)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, storeAddress: storeAddress, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// set changes the mode. Mode refusing also resets the open connections.
func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	p.mode = mode
	p.mu.Unlock()
	if mode == refusing {
		p.resetConns()
	}
}

// resetConns resets the open connections.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.resetConn(c)
	}
}

// resetConn resets a connection. The caller holds p.mu.
func (p *proxy) resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only for a closed connection
	}
	c.Close()
	delete(p.conns, c)
}

func (p *proxy) close() {
	p.listener.Close()
	p.resetConns()
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	p.mu.Lock()
	p.conns[c] = true
	refused := p.mode == refusing
	if refused {
		p.resetConn(c)
	}
	p.mu.Unlock()
	if refused {
		return
	}
	store, err := net.Dial("tcp4", p.storeAddress)
	if err != nil {
		c.Close()
		return
	}
	done := make(chan struct{}, 2)
	go func() { p.forward(store, c, blackhole); done <- struct{}{} }()
	go func() { p.forward(c, store, blackhole, oneWay); done <- struct{}{} }()
	<-done
	c.Close()
	store.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// forward copies bytes until a read or write fails. They are dropped in the modes lost.
func (p *proxy) forward(to io.Writer, from io.Reader, lost ...proxyMode) {
	const size = 16 << 10
	buf := make([]byte, size)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		mode := p.currentMode()
		if mode == delayed {
			time.Sleep(slowDelay)
		}
		if slices.Contains(lost, mode) {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
