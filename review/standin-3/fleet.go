package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
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

// Ports, the same on all machines. main sets them to free ones.
var (
	packetsPort, readinessPort, controlPort, beatsPort uint16
	metricsPort, storePort, serverPort                 uint16
)

// choosePorts sets all ports to different ones that are free on all addresses.
func choosePorts() error {
	var held []io.Closer
	defer func() {
		for _, c := range held {
			_ = c.Close()
		}
	}()
	for _, port := range []*uint16{&packetsPort, &readinessPort, &controlPort, &beatsPort, &metricsPort, &storePort, &serverPort} {
		for *port == 0 {
			tcp, err := net.Listen("tcp4", "0.0.0.0:0")
			if err != nil {
				return err
			}
			held = append(held, tcp)
			address := tcp.Addr().(*net.TCPAddr).AddrPort()
			udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
			if err != nil {
				continue
			}
			held = append(held, udp)
			*port = address.Port()
		}
	}
	return nil
}

// route is a route of the operator's configuration.
type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Kind     string `json:"route_type"`
	Timeout  int    `json:"timeout_ms"`
	Target   int    `json:"target_latency_ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"max_attempts"`
}

// serviceEntry is a service of the operator's configuration.
type serviceEntry struct {
	Name        string  `json:"name"`
	HealthPath  string  `json:"health_path"`
	Connections int     `json:"max_connections"`
	ColdSeconds float64 `json:"cold_start_s"`
	ColdPerS    float64 `json:"cold_per_s"`
}

// fleet is the deployment of a case.
type fleet struct {
	record    *record
	root, dir string // the repository, and a temporary folder
	network   byte   // second byte of all addresses
	bounds    string // lines of the settings' section [cold]
	applyMS   int
	store     *store
	vms       []*vm
	backends  []*backend
	consumers []*consumer
	version   int
	stop      chan struct{}
	tasks     sync.WaitGroup
}

func newFleet(root string, r *record, network byte) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	return &fleet{record: r, root: root, dir: dir, network: network, applyMS: 3000, store: newStore(), stop: make(chan struct{})}, nil
}

func (f *fleet) ip(kind, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network, byte(kind), byte(number)})
}

// Third bytes of addresses.
const (
	storeKind = iota
	vmKind
	backendKind
	consumerKind
)

// putConfig writes a configuration as the operator does.
func (f *fleet) putConfig(routes []route, services []serviceEntry) {
	f.version += 3
	value, _ := json.Marshal(map[string]any{
		"version": f.version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	f.store.write(map[string][]byte{"op/config": value})
	f.record.logf("operator: version %d is acknowledged", f.version)
}

// addBackend starts a backend.
func (f *fleet) addBackend(id, service, zone string, number int, coldFor time.Duration) (*backend, error) {
	b, err := startBackend(&backend{
		id: id, service: service, zone: zone, address: netip.AddrPortFrom(f.ip(backendKind, number), serverPort),
		consumerPort: packetsPort, store: f.store, record: f.record, coldFor: coldFor,
	})
	if err == nil {
		f.backends = append(f.backends, b)
	}
	return b, err
}

// addConsumer starts consumers at an address.
func (f *fleet) addConsumer(number int) (*consumer, error) {
	c, err := newConsumer(netip.AddrPortFrom(f.ip(consumerKind, number), packetsPort), f.route, f.record)
	if err == nil {
		f.consumers = append(f.consumers, c)
	}
	return c, err
}

// vm is one machine of the system with its process.
type vm struct {
	fleet    *fleet
	name     string
	zone     string
	ip       netip.Addr
	settings string
	log      *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	misses  int
	proxy   *proxy
	inRound bool // in rotation
}

func (v *vm) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.ip, port) }

func (v *vm) storeAddress() string {
	return netip.AddrPortFrom(v.fleet.ip(storeKind, int(v.ip.As4()[3])), storePort).String()
}

// addVM starts a machine. Its settings are what deploy/vm.toml.template becomes.
func (f *fleet) addVM(number int, zone string) (*vm, error) {
	v := &vm{fleet: f, name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, ip: f.ip(vmKind, number)}
	v.settings = filepath.Join(f.dir, v.name+".toml")
	behind := netip.AddrPortFrom(f.ip(storeKind, 100+number), storePort).String()
	if err := f.store.listen(behind); err != nil {
		return nil, err
	}
	var err error
	if v.proxy, err = newProxy(v.storeAddress(), behind); err != nil {
		return nil, err
	}
	seed := netip.AddrPortFrom(f.ip(vmKind, 1), controlPort)
	text := fmt.Sprintf("[vm]\nname = %q\ndomain = %q\nregions = [%q]\n\n", v.name, zone, zone+"=ch-central") +
		fmt.Sprintf("[listen]\npackets = %q\nreadiness = %q\nbeats = %q\ncontrol = %q\nmetrics = %q\n\n",
			v.at(packetsPort), v.at(readinessPort), v.at(beatsPort), v.at(controlPort), v.at(metricsPort)) +
		fmt.Sprintf("[readiness]\npath = \"/-/readiness\"\n\n[store]\naddress = %q\n\n", v.storeAddress()) +
		fmt.Sprintf("[catalog]\napply_within = \"%dms\"\nseeds = [%q]\n\n", f.applyMS, seed) +
		f.bounds + "\n[timings]\nstop_grace = \"6s\"\n"
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if v.log, err = os.Create(filepath.Join(f.dir, v.name+".log")); err != nil {
		return nil, err
	}
	f.vms = append(f.vms, v)
	return v, v.start()
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	cmd := exec.Command(filepath.Join(v.fleet.root, "target/gypsumflowd"), "run", "--config-env", "GYPSUMSPAN_BOOT")
	cmd.Dir = v.fleet.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMSPAN_BOOT=" + v.settings}
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.exited = cmd, exited
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	v.fleet.record.logf("%s starts, process %d", v.name, cmd.Process.Pid)
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.cmd.Process.Signal(s)
	v.fleet.record.logf("%s gets %s", v.name, s)
}

// ended reports whether the process ends within a time.
func (v *vm) ended(within time.Duration) bool {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(max(within, 10*time.Millisecond)):
		return false
	}
}

// cpuTicks returns the processor time of the process in clock ticks.
func (v *vm) cpuTicks() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var user, system int
	_, _ = fmt.Sscan(fields[11], &user)
	_, _ = fmt.Sscan(fields[12], &system)
	return user + system
}

var httpClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// get makes an HTTP request and returns the status and the body; 0 if there was no answer.
func get(url string) (status int, body string) {
	response, err := httpClient.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

func (v *vm) ready() bool {
	status, _ := get("http://" + v.at(readinessPort).String() + "/-/readiness")
	return status == http.StatusOK
}

// checkReadiness asks all nodes twice per second, as the routers do.
func (f *fleet) checkReadiness() {
	const interval = 500 * time.Millisecond
	for _, v := range f.vms {
		f.tasks.Go(func() {
			for {
				ok := v.ready()
				v.mu.Lock()
				if ok {
					v.misses, v.inRound = 0, true
				} else if v.misses++; v.misses >= 2 {
					v.inRound = false
				}
				v.mu.Unlock()
				select {
				case <-time.After(interval):
				case <-f.stop:
					return
				}
			}
		})
	}
}

// route returns the node to which routers forward a flow's packets.
func (f *fleet) route(src, dst netip.AddrPort) netip.AddrPort {
	return f.nodeOf(src, dst).at(packetsPort)
}

// nodeOf returns the node of a flow by a steady hash over the nodes of the consumer's zone, the one
// of the first node. These are the nodes in rotation, or all if fewer than half are; if none is, they
// are the nodes of the nearest zone, or again all if there is no other zone.
func (f *fleet) nodeOf(src, dst netip.AddrPort) *vm {
	var nodes, all, nearest []*vm
	for _, v := range f.vms {
		v.mu.Lock()
		in := v.inRound
		v.mu.Unlock()
		switch {
		case v.zone != f.vms[0].zone && in:
			nearest = append(nearest, v)
		case v.zone == f.vms[0].zone:
			all = append(all, v)
			if in {
				nodes = append(nodes, v)
			}
		}
	}
	switch {
	case len(nodes) == 0 && len(nearest) > 0:
		nodes = nearest
	case 2*len(nodes) < len(all):
		nodes = all
	}
	var best *vm
	var bestScore uint64
	for _, v := range nodes {
		h := fnv.New64a()
		fmt.Fprint(h, src, dst, v.name)
		// Finalizer of MurmurHash3: FNV alone mixes the last bytes badly.
		x := h.Sum64()
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 33
		if best == nil || x > bestScore {
			best, bestScore = v, x
		}
	}
	return best
}

// awaitRotation waits until all nodes are in rotation.
func (f *fleet) awaitRotation(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, v := range f.vms {
			v.mu.Lock()
			if v.inRound {
				n++
			}
			v.mu.Unlock()
		}
		if n == len(f.vms) {
			return true
		}
	}
	return false
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	close(f.stop)
	for _, v := range f.vms {
		v.mu.Lock()
		if v.cmd != nil {
			_ = v.cmd.Process.Kill()
		}
		v.mu.Unlock()
		v.ended(5 * time.Second)
		_ = v.log.Close()
		v.proxy.close()
	}
	f.tasks.Wait()
	for _, c := range f.consumers {
		c.close()
	}
	f.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
