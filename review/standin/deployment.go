package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"time"
)

// Names of the small deployment.
const (
	zoneName   = "zone-a"
	trackhub   = "trackhub"
	routefiles = "routefiles"
)

// Bounds of the deployment, as in the sheets of the small installations.
const (
	stableWindow = 4 * time.Second
	configApply  = 3 * time.Second
	idleTimeout  = 15 * time.Second

	firstVersion = 7
	idleRoutes   = 8
)

var errSetup = errors.New("the case can't run")

// deployment is the system on some nodes of one zone, and what is around it.
type deployment struct {
	folder       string // temporary: settings and logs
	record       *record
	store        *metaStore
	storeAddress netip.AddrPort
	router       *router
	nodes        []*node
	backends     []*backend
	network      byte // second byte of all addresses

	datagramPort, readyPort, controlPort, internalPort uint16
}

func (d *deployment) ip(kind, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network, byte(kind), byte(number)})
}

// Third bytes of addresses.
const (
	storeKind = iota + 1
	nodeKind
	backendKind
	consumerKind
	routeKind
)

// Addresses of the routes, which stand only in the headers of packets.
func (d *deployment) checkinRoute() netip.AddrPort {
	return netip.AddrPortFrom(d.ip(routeKind, 1), 8080)
}
func (d *deployment) positionsRoute() netip.AddrPort {
	return netip.AddrPortFrom(d.ip(routeKind, 1), 8443)
}
func (d *deployment) coursesRoute() netip.AddrPort {
	return netip.AddrPortFrom(d.ip(routeKind, 2), 8443)
}

// deploy starts the store, the backends, the nodes and the routers, and waits until all
// nodes are in rotation.
func deploy(r *record, nodes, backends int) (*deployment, error) {
	d := &deployment{record: r}
	var err error
	if d.folder, err = os.MkdirTemp("", "review-"); err != nil {
		return d, err
	}
	if err := d.choosePorts(); err != nil {
		return d, err
	}
	d.router = &router{datagramPort: d.datagramPort, record: r, stop: make(chan struct{})}
	if d.store, err = newMetaStore(d.storeAddress); err != nil {
		return d, err
	}
	d.writeConfig(operatorConfig{version: firstVersion, idleTimeout: idleTimeout, idleRoutes: idleRoutes})
	for i := range backends {
		if err := d.addBackend(i, trackhub); err != nil {
			return d, err
		}
	}
	if err := d.addBackend(backends, routefiles); err != nil {
		return d, err
	}
	if err := d.startNodes(nodes); err != nil {
		return d, err
	}
	const startTimeout = 15 * time.Second
	for end := time.Now().Add(startTimeout); d.router.rotation() < nodes; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return d, fmt.Errorf("%w: %d of %d nodes are in rotation", errSetup, d.router.rotation(), nodes)
		}
	}
	// From here on all nodes are in touch.
	time.Sleep(stableWindow + 500*time.Millisecond)
	return d, nil
}

// choosePorts chooses a network of the loopback range, and ports that are free in it.
func (d *deployment) choosePorts() error {
	const tries = 50
	for range tries {
		d.network = byte(64 + rand.IntN(128))
		base := uint16(20000 + rand.IntN(200)*10)
		d.datagramPort, d.readyPort, d.controlPort, d.internalPort = base, base+1, base+2, base+3
		d.storeAddress = netip.AddrPortFrom(d.ip(storeKind, 1), base+4)
		listener, err := net.Listen("tcp4", d.storeAddress.String())
		if err != nil {
			continue
		}
		listener.Close()
		return nil
	}
	return fmt.Errorf("%w: no free port", errSetup)
}

// operatorConfig is what the operator's config says.
type operatorConfig struct {
	version     int
	idleTimeout time.Duration
	idleRoutes  int            // routes that see no traffic
	added       netip.AddrPort // a further route to trackhub; invalid: none
}

// writeConfig writes the operator's config.
func (d *deployment) writeConfig(c operatorConfig) {
	route := func(name string, at netip.AddrPort, kind, service string, timeout, aim, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": at.Addr().String(), "prefix": fmt.Sprintf("/%d/", at.Port()), "route_type": kind,
			"timeout_ms": timeout, "target_latency_ms": aim, "priority": priority, "service": service, "max_attempts": 2,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_connections": 4286, "protocol": "h1", "tls_enabled": false}
	}
	routes := []any{
		route("checkins", d.checkinRoute(), "unsafe", trackhub, 2000, 300, 1),
		route("positions", d.positionsRoute(), "safe", trackhub, 1500, 250, 2),
		route("courses", d.coursesRoute(), "download", routefiles, 3000, 500, 2),
	}
	if c.added.IsValid() {
		routes = append(routes, route("added", c.added, "unsafe", trackhub, 2000, 300, 1))
	}
	for i := range c.idleRoutes {
		const firstPort = 10000
		at := netip.AddrPortFrom(d.ip(routeKind, 3), uint16(firstPort+i))
		routes = append(routes, route(fmt.Sprintf("idle-%d", i), at, "safe", trackhub, 1500, 250, 2))
	}
	text, _ := json.Marshal(map[string]any{
		"version": c.version, "routes": routes,
		"services": []any{service(trackhub), service(routefiles)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": c.idleTimeout.Milliseconds()},
	})
	revision := d.store.put("op/config", text)
	d.record.add("operator writes config version %d, revision %d: %d routes, %d bytes, idle time-out %v", c.version, revision, len(routes), len(text), c.idleTimeout)
}

func (d *deployment) addBackend(i int, service string) error {
	id := fmt.Sprintf("i-%08x%02x", rand.Uint32(), i)
	address := netip.AddrPortFrom(d.ip(backendKind, i+1), d.datagramPort+5)
	b, err := newBackend(id, service, address, d)
	if err != nil {
		return err
	}
	d.backends = append(d.backends, b)
	return nil
}

func (d *deployment) startNodes(count int) error {
	var seeds []netip.AddrPort
	for i := range count {
		n := &node{name: fmt.Sprintf("front-%s-%d", zoneName, i+1), ip: d.ip(nodeKind, i+1)}
		d.nodes = append(d.nodes, n)
		seeds = append(seeds, n.at(d.controlPort))
	}
	const maxSeeds = 3
	seeds = seeds[:min(len(seeds), maxSeeds)]
	d.router.nodes = d.nodes
	for _, n := range d.nodes {
		if err := n.writeSettings(d.folder, d, seeds); err != nil {
			return err
		}
		if err := n.start(d.folder); err != nil {
			return err
		}
		go d.router.probe(n, n.at(d.readyPort))
	}
	return nil
}

// holder returns the backend that has a flow open, or nil.
func (d *deployment) holder(key flowKey) *backend {
	for _, b := range d.backends {
		if b.holds(key) {
			return b
		}
	}
	return nil
}

// ran returns how often all backends ran a request.
func (d *deployment) ran(id string) int {
	n := 0
	for _, b := range d.backends {
		n += b.ran(id)
	}
	return n
}

// end stops everything that was started.
func (d *deployment) end() {
	if d.router != nil {
		close(d.router.stop)
	}
	for _, n := range d.nodes {
		n.end()
	}
	for _, b := range d.backends {
		b.close()
	}
	if d.store != nil {
		d.store.close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.folder)
	}
}
