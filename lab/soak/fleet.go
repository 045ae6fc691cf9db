package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/standin/flowends"
	"github.com/gypsumspan/gypsumspan/standin/kvstore"
	standin "github.com/gypsumspan/gypsumspan/standin/store"
	"github.com/gypsumspan/gypsumspan/store"
)

const (
	// domains and vmsPerDomain are the size of a fleet.
	domains      = 2
	vmsPerDomain = 3
	// firstTargets is the number of targets of each service at the start.
	firstTargets = 4
	// callersPerDomain is the number of callers in each failure domain.
	callersPerDomain = 3
	// checkInterval is the time between two checks of a VM by the routers.
	checkInterval = 150 * time.Millisecond
	// targetPort is the port of targets.
	targetPort = 7500
	// idleTimeout is that of the configuration.
	idleTimeout = 30 * time.Second
	// lapse is the time after which the entry of a crashed target is removed, and
	// reuse the time after which its address may serve another service.
	lapse = 1500 * time.Millisecond
	reuse = 2 * time.Second
)

// Services of a fleet. The requests of the second run at most once.
const (
	streams  = "streams"
	checkins = "checkins"
)

// target is a target with what the soak knows of it.
type target struct {
	*flowends.Target
	service  string
	domain   string
	up       bool
	draining bool
}

func (t *target) entry() kvstore.Target {
	return kvstore.Target{ID: t.Name, Service: t.service, Address: t.Address(), Domain: t.domain, Slots: 3, Draining: t.draining}
}

// fleet is one run: the VMs and all that is around them.
type fleet struct {
	seed    uint64
	net     byte // second byte of all addresses
	dir     string
	engine  *standin.Engine
	server  *http.Server
	vms     []*vm
	callers []*caller
	stop    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand // of the plan
	targets  []*target
	byName   map[string]*target
	next     int // number of the next target
	version  int
	extra    []uint16 // ports of routes besides the two services'
	nextPort uint16
	breaks   []string
	stalled  time.Time // last time that this process itself was held up
	ran      map[string]int
	counts   Counts
}

// Counts says how much a run has done.
type Counts struct {
	Faults     int `json:"faults"`
	Opened     int `json:"opened"`   // flows
	Answered   int `json:"answered"` // requests
	Unanswered int `json:"silent"`   // openings and requests without an answer
	Resets     int `json:"resets"`   // of flows whose target had gone or was in trouble
	Excused    int `json:"excused"`  // resets while this machine stalled
}

func newFleet(seed uint64, network byte, daemon, dir string) (*fleet, error) {
	f := &fleet{
		seed:     seed,
		net:      network,
		dir:      dir,
		engine:   standin.NewEngine(standin.Options{}),
		stop:     make(chan struct{}),
		rng:      rand.New(rand.NewPCG(seed, 0)),
		byName:   make(map[string]*target),
		ran:      make(map[string]int),
		nextPort: 1000,
	}
	if err := f.startStore(); err != nil {
		return f, fmt.Errorf("%w: %w", ErrSetup, err)
	}
	f.configure()
	for i := range firstTargets {
		for _, service := range []string{streams, checkins} {
			f.addTarget(service, domainName(i%domains), netip.AddrPort{})
		}
	}
	for d := range domains {
		for i := range vmsPerDomain {
			if err := f.addVM(d, i, daemon); err != nil {
				return f, fmt.Errorf("%w: %w", ErrSetup, err)
			}
		}
	}
	return f, nil
}

func domainName(d int) string { return fmt.Sprintf("domain-%c", 'a'+d) }

func (f *fleet) ip(kind, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.net, byte(kind), byte(number)})
}

// Kinds of addresses.
const (
	storeKind  = iota
	vmKind     // and the next ones, by failure domain
	targetKind = 20
	callerKind = 30
)

func (f *fleet) startStore() error {
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(f.ip(storeKind, 1), storePort).String())
	if err != nil {
		return err
	}
	const headerTimeout = 5 * time.Second
	f.server = &http.Server{Handler: kvstore.Handler(f.engine), ReadHeaderTimeout: headerTimeout}
	go func() { _ = f.server.Serve(listener) }() // it ends with an error when it is closed
	return nil
}

func (f *fleet) addVM(domain, number int, daemon string) error {
	at := netip.AddrPortFrom(f.ip(storeKind, 10+domain*vmsPerDomain+number), storePort)
	p, err := newProxy(at.String(), netip.AddrPortFrom(f.ip(storeKind, 1), storePort).String())
	if err != nil {
		return err
	}
	v := &vm{
		name:   fmt.Sprintf("vm-%d-%d", domain, number),
		domain: domainName(domain),
		ip:     f.ip(vmKind+domain, 1+number),
		dir:    f.dir,
		daemon: daemon,
		store:  at,
		proxy:  p,
		broken: f.broken,
	}
	if err := v.writeSettings(""); err != nil {
		return err
	}
	f.vms = append(f.vms, v)
	return v.start()
}

// broken notes a broken promise.
func (f *fleet) broken(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.breaks = append(f.breaks, fmt.Sprintf(format, values...))
}

// put writes as the operator and the targets do. During an outage it is repeated.
func (f *fleet) put(t store.Txn) {
	const pause = 50 * time.Millisecond
	for {
		if _, err := f.engine.Txn(t); err == nil {
			return
		}
		select {
		case <-f.stop:
			return
		case <-time.After(pause):
		}
	}
}

// address returns the address that callers use for a service.
func address(service string) netip.AddrPort {
	port := uint16(443)
	if service == checkins {
		port = 444
	}
	return routeAt(port)
}

func routeAt(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), port)
}

// configure writes the configuration with the present routes.
func (f *fleet) configure() {
	f.mu.Lock()
	f.version++
	c := kvstore.Configuration{
		Version: f.version,
		Routes: []kvstore.Route{
			{Name: streams, Address: address(streams), Service: streams},
			{Name: checkins, Address: address(checkins), Service: checkins, NonIdempotent: true},
		},
		Services:    []string{streams, checkins},
		IdleTimeout: idleTimeout,
	}
	for _, port := range f.extra {
		c.Routes = append(c.Routes, kvstore.Route{Name: fmt.Sprint("extra-", port), Address: routeAt(port), Service: streams})
	}
	f.mu.Unlock()
	f.put(store.Txn{Puts: []store.Put{c.Put()}})
}

// addTarget starts a target; without an address it gets a new one.
func (f *fleet) addTarget(service, domain string, at netip.AddrPort) {
	f.mu.Lock()
	f.next++
	number := f.next
	f.mu.Unlock()
	if !at.IsValid() {
		at = netip.AddrPortFrom(f.ip(targetKind+number/200, 1+number%200), targetPort)
	}
	id := f.seed<<16 | uint64(number)
	t := &target{service: service, domain: domain, up: true}
	var err error
	t.Target, err = flowends.NewTarget(fmt.Sprintf("i-%x", id), id, at, packetsPort)
	if err != nil {
		f.broken("stand-in: %v", err)
		return
	}
	f.mu.Lock()
	f.targets = append(f.targets, t)
	f.byName[t.Name] = t
	f.mu.Unlock()
	f.put(store.Txn{Puts: []store.Put{t.entry().Put()}})
}

// endTarget ends a target and adds what it has run to the sums.
func (f *fleet) endTarget(t *target) {
	f.mu.Lock()
	was := t.up
	t.up = false
	f.mu.Unlock()
	if !was {
		return
	}
	t.Close()
	f.collect(t)
}

func (f *fleet) collect(t *target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for request, n := range t.Executions() {
		f.ran[request] += n
	}
	if _, changed, _ := t.Stats(); changed > 0 {
		f.breaks = append(f.breaks, fmt.Sprintf("%d packets were changed on their way to %s", changed, t.Name))
	}
}

// pick returns the VM that the routers choose for a flow of a failure domain.
func (f *fleet) pick(domain int, flow *flowends.Flow) netip.AddrPort {
	for i := range domains {
		d := (domain + i) % domains
		var best *vm
		var bestScore uint64
		for n, v := range f.vms[d*vmsPerDomain : (d+1)*vmsPerDomain] {
			if !v.inRotation() {
				continue
			}
			key := uint64(flow.From.Port())<<32 | uint64(flow.To.Port())
			if score := rendezvous.Mix(key, uint64(n)); best == nil || score > bestScore {
				best, bestScore = v, score
			}
		}
		if best != nil {
			return best.at(packetsPort)
		}
	}
	return netip.AddrPort{}
}

// watchVMs plays the checks of the routers.
func (f *fleet) watchVMs() {
	client := &http.Client{Timeout: checkInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, v := range f.vms {
		f.running.Go(func() {
			for f.pause(checkInterval) {
				v.check(client)
			}
		})
	}
}

// watchStalls notes when this process itself was held up, since its targets then look
// silent.
func (f *fleet) watchStalls() {
	const interval, stall = 10 * time.Millisecond, 100 * time.Millisecond
	f.running.Go(func() {
		for last := time.Now(); f.pause(interval); last = time.Now() {
			if time.Since(last) >= stall {
				f.mu.Lock()
				f.stalled = time.Now()
				f.mu.Unlock()
			}
		}
	})
}

// pause waits; it returns false when the run ends.
func (f *fleet) pause(d time.Duration) bool {
	select {
	case <-f.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// status is the part of a VM's answer that the soak reads.
type status struct {
	Version int  `json:"version"`
	Ready   bool `json:"ready"`
}

// status asks a VM about itself.
func (v *vm) status() (s status, err error) {
	const timeout = time.Second
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.at(controlPort).String() + "/v1/status")
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// close ends everything that the run has started.
func (f *fleet) close() {
	select {
	case <-f.stop:
	default:
		close(f.stop)
	}
	for _, c := range f.callers {
		c.ends.Close()
	}
	f.running.Wait()
	for _, v := range f.vms {
		v.stop()
	}
	for _, t := range f.targets {
		f.endTarget(t)
	}
	if f.server != nil {
		f.server.Close()
	}
}

// removeLogs removes the logs of a run that has kept its promises.
func (f *fleet) removeLogs() error { return os.RemoveAll(f.dir) }
