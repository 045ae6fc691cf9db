package soak

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// proxyMode is what a proxy does to connections.
type proxyMode int

const (
	passing  proxyMode = iota
	refusing           // connections are reset
	silent             // bytes are taken and not passed on
	oneWay             // requests pass, answers do not
	slow               // bytes are held back for a time
)

// slowness is the time for which a slow proxy holds bytes back.
const slowness = 150 * time.Millisecond

// proxy passes the connections of one VM on to the store.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
}

func newProxy(at, to string) (*proxy, error) {
	listener, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// set changes the mode. Present connections are reset when they are to be refused.
func (p *proxy) set(mode proxyMode) {
	p.mu.Lock()
	p.mode = mode
	p.mu.Unlock()
	if mode == refusing {
		p.reset()
	}
}

// reset resets the present connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.drop(c)
	}
}

// drop resets a connection.
func (p *proxy) drop(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that has ended needs no reset
	}
	c.Close()
	delete(p.conns, c)
}

func (p *proxy) close() {
	p.listener.Close()
	p.reset()
}

func (p *proxy) present() proxyMode {
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
		p.drop(c)
	}
	p.mu.Unlock()
	if refused {
		return
	}
	store, err := net.Dial("tcp4", p.to)
	if err != nil {
		c.Close()
		return
	}
	done := make(chan struct{}, 2)
	go func() { p.pass(store, c, silent); done <- struct{}{} }()
	go func() { p.pass(c, store, silent, oneWay); done <- struct{}{} }()
	<-done
	c.Close()
	store.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// pass copies bytes, which are lost in some modes.
func (p *proxy) pass(to io.Writer, from io.Reader, lost ...proxyMode) {
	const size = 16 << 10
	buf := make([]byte, size)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		mode := p.present()
		if mode == slow {
			time.Sleep(slowness)
		}
		if slices.Contains(lost, mode) {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
