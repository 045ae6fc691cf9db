package main

import (
	"net"
	"sync"
	"time"
)

// proxy passes the connections of one VM to the store. Single connections can go silent: what is
// sent on them gets lost, and they stay open.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*proxied]bool
}

// proxied is one connection.
type proxied struct {
	proxy      *proxy
	vm, store  net.Conn
	lastActive time.Time
	silent     bool
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[*proxied]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		vm, err := p.listener.Accept()
		if err != nil {
			return
		}
		store, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = vm.Close()
			continue
		}
		c := &proxied{proxy: p, vm: vm, store: store, lastActive: time.Now()}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go c.copy(vm, store)
		go c.copy(store, vm)
	}
}

// copy passes bytes on until either end closes its connection.
func (c *proxied) copy(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			break
		}
		c.proxy.mu.Lock()
		c.lastActive = time.Now()
		silent := c.silent
		c.proxy.mu.Unlock()
		if silent {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			break
		}
	}
	_ = c.vm.Close()
	_ = c.store.Close()
	c.proxy.mu.Lock()
	delete(c.proxy.conns, c)
	c.proxy.mu.Unlock()
}

// silence makes the connections go silent that have been idle for a time, and returns their number
// and that of all.
func (p *proxy) silence(idle time.Duration) (silent, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if time.Since(c.lastActive) >= idle {
			c.silent = true
			silent++
		}
	}
	return silent, len(p.conns)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.vm.Close()
		_ = c.store.Close()
	}
}
