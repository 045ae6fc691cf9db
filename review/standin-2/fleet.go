package main

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are those of the small deployments.
const (
	configApply   = 3 * time.Second
	drainBound    = 3 * time.Second
	stableWindow  = 4 * time.Second
	misrouteBound = 2 * time.Second
	graceTime     = 6 * time.Second
)

var zones = []string{"wales-west-a", "wales-west-b", "wales-west-c"}

// node is one process of gypsumflowd.
type node struct {
	name, zone string
	ip         string
	packets    netip.AddrPort
	ready      netip.AddrPort
	settings   string // path
	log        string // path
	cmd        *exec.Cmd
	exited     chan struct{}
	stopping   bool
}

// fleet is a deployment.
type fleet struct {
	rec     *record
	program string
	folder  string
	port    uint16 // of packets, at nodes and consumers
	store   *store
	router  *router
	nodes   []*node
	extra   string // further lines of the settings
	apply   time.Duration

	stop     chan struct{}
	backends []*backend
}

// newFleet returns a fleet with a store and without nodes.
func newFleet(rec *record, program string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, program: program, folder: folder, apply: configApply, stop: make(chan struct{})}
	if f.store, err = newStore(rec, "127.0.0.1"); err != nil {
		return nil, err
	}
	if f.port, err = freePort(); err != nil {
		return nil, err
	}
	f.router = &router{rec: rec, misses: make(map[*node]int), in: make(map[*node]bool)}
	return f, nil
}

// freePort returns a port that is free for UDP and, with the next 9, for TCP.
func freePort() (uint16, error) {
	for range 50 {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return 0, err
		}
		port := conn.LocalAddr().(*net.UDPAddr).Port
		conn.Close()
		free := port < 60000
		for i := 1; i < 10 && free; i++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port+i))
			free = err == nil
			if free {
				l.Close()
			}
		}
		if free {
			return uint16(port), nil
		}
	}
	return 0, errors.New("no free ports")
}

// addNode adds a node at ip; start starts it.
func (f *fleet) addNode(name, zone, ip string) *node {
	addr := netip.MustParseAddr(ip)
	n := &node{
		name: name, zone: zone, ip: ip, packets: netip.AddrPortFrom(addr, f.port), ready: netip.AddrPortFrom(addr, f.port+1),
		settings: filepath.Join(f.folder, name+".toml"), log: filepath.Join(f.folder, name+".log"),
	}
	f.nodes = append(f.nodes, n)
	return n
}

// writeSettings writes what deploy/vm.toml.template makes for a small deployment.
func (f *fleet) writeSettings(n *node) error {
	var seeds, regions []string
	for _, other := range f.nodes[:min(3, len(f.nodes))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", other.ip, f.port+2)))
	}
	for _, zone := range zones {
		regions = append(regions, fmt.Sprintf("%q", zone+"=wales-west"))
	}
	text := fmt.Sprintf(`[vm]
name = %q
domain = %q
regions = [%s]

[listen]
packets = "%s"
readiness = "%s"
beats = "%s:%d"
control = "%s:%d"
metrics = "%s:%d"

[readiness]
path = "/-/readiness"

[store]
address = "%s"

[catalog]
apply_within = "%dms"
seeds = [%s]
%s
[timings]
stop_grace = "%ds"
`, n.name, n.zone, strings.Join(regions, ","), n.packets, n.ready, n.ip, f.port+3, n.ip, f.port+2, n.ip, f.port+4,
		f.store.address, f.apply.Milliseconds(), strings.Join(seeds, ","), f.extra, int(graceTime.Seconds()))
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the process of a node, as the deploy file does.
func (f *fleet) start(n *node) error {
	if err := f.writeSettings(n); err != nil {
		return err
	}
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	n.cmd = exec.Command(f.program, "run", "--config-env", "GYPSUMSPAN_BOOT")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "LANG=C", "GYPSUMSPAN_BOOT=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited, n.stopping = make(chan struct{}), false
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		f.rec.log("process of %s has ended: %v", n.name, err)
		close(exited)
	}(n.cmd, n.exited)
	f.rec.log("process of %s is started", n.name)
	return nil
}

// signal sends a signal to the process of a node.
func (f *fleet) signal(n *node, sig syscall.Signal) {
	f.rec.log("%s gets %v", n.name, sig)
	n.stopping = sig == syscall.SIGTERM || sig == syscall.SIGKILL
	_ = n.cmd.Process.Signal(sig)
}

// planStop stops a node as planned work does: SIGTERM, then SIGKILL after the grace time.
func (f *fleet) planStop(n *node) {
	f.signal(n, syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(graceTime):
		f.signal(n, syscall.SIGKILL)
		<-n.exited
	}
}

// addBackends starts backends and their heartbeats.
func (f *fleet) addBackends(service string, perZone int, ipFormat string) error {
	for z, zone := range zones {
		for i := range perZone {
			id := fmt.Sprintf("i-%08x", 0x7f3a0000+uint32(len(f.backends)*7919+z))
			b, err := newBackend(f, id, service, zone, fmt.Sprintf(ipFormat, z+1, i+1))
			if err != nil {
				return err
			}
			f.backends = append(f.backends, b)
			go b.heartbeats(f.stop)
		}
	}
	return nil
}

// startAll starts all nodes and the routers, and waits until all nodes are in rotation.
func (f *fleet) startAll() error {
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return err
		}
	}
	f.router.nodes = f.nodes
	go f.router.run(f.stop)
	deadline := time.Now().Add(10 * time.Second)
	for !f.router.allIn() {
		if time.Now().After(deadline) {
			return errors.New("nodes are not ready")
		}
		time.Sleep(50 * time.Millisecond)
	}
	// Machines start 10 s before traffic does; the relays have their role after 2 s.
	time.Sleep(4 * time.Second)
	return nil
}

// end ends everything that the fleet started.
func (f *fleet) end() {
	close(f.stop)
	for _, n := range f.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	f.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
}

// router is the platform's routers.
type router struct {
	rec   *record
	nodes []*node

	mu     sync.Mutex
	misses map[*node]int
	in     map[*node]bool
}

// run asks each node twice a second whether it is ready.
func (r *router) run(stop <-chan struct{}) {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r.mu.Lock()
		nodes := append([]*node(nil), r.nodes...)
		r.mu.Unlock()
		for _, n := range nodes {
			go func() {
				ok := r.ask(client, n)
				r.mu.Lock()
				defer r.mu.Unlock()
				was := r.in[n]
				if ok {
					r.misses[n], r.in[n] = 0, true
				} else if r.misses[n]++; r.misses[n] >= 2 {
					r.in[n] = false
				}
				if was != r.in[n] {
					r.rec.log("routers: %s in rotation: %v", n.name, r.in[n])
				}
			}()
		}
		select {
		case <-time.After(500 * time.Millisecond):
		case <-stop:
			return
		}
	}
}

func (r *router) ask(client *http.Client, n *node) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 450*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready.String()+"/-/readiness", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *router) allIn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.nodes {
		if !r.in[n] {
			return false
		}
	}
	return true
}

// node returns the node that gets the packets of a flow: hash_scheme steady, of the nodes in
// rotation of the zone. If fewer than half of them are, all of the zone's nodes are used.
func (r *router) node(zone string, src, dst netip.AddrPort) *node {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, in []*node
	for _, n := range r.nodes {
		if n.zone != zone {
			continue
		}
		all = append(all, n)
		if r.in[n] {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	var best *node
	var bestScore uint64
	for _, n := range in {
		h := fnv.New64a()
		var b [12]byte
		a1, a2 := src.Addr().As4(), dst.Addr().As4()
		copy(b[:], a1[:])
		copy(b[4:], a2[:])
		binary.BigEndian.PutUint16(b[8:], src.Port())
		binary.BigEndian.PutUint16(b[10:], dst.Port())
		_, _ = h.Write(b[:])
		_, _ = h.Write([]byte(n.name))
		score := h.Sum64() * 0x9e3779b97f4a7c15
		score ^= score >> 29
		score *= 0xbf58476d1ce4e5b9
		if best == nil || score > bestScore {
			best, bestScore = n, score
		}
	}
	return best
}
