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
	// initialTargets is the number of targets of each service at the start.
	initialTargets = 4
	// callersPerDomain is the number of callers in each failure domain.
	callersPerDomain = 3
	// checkInterval is the interval of the routers' readiness checks.
	checkInterval = 150 * time.Millisecond
	// targetPort is the port of targets.
	targetPort = 7500
	// idleTimeout is the idle timeout of flows in the configuration.
	idleTimeout = 30 * time.Second
	// entryExpiry is the time after which the entry of a crashed target is removed, and
	// addressReuseDelay the time after which its address may serve another service.
	entryExpiry       = 1500 * time.Millisecond
	addressReuseDelay = 2 * time.Second
)

// Services of a fleet. Requests to checkins are non-idempotent.
const (
	streams  = "streams"
	checkins = "checkins"
)

// target is a stand-in target and its state.
type target struct {
	*flowends.Target
	service  string
	domain   string
	up       bool
	draining bool
	removed  bool // its entry was removed

	born      time.Time // of its last start
	coldUntil time.Time
}

func (t *target) entry() kvstore.Target {
	return kvstore.Target{
		ID: t.Name, Service: t.service, Address: t.Address(), Domain: t.domain, Slots: 3, Draining: t.draining,
		Cold: max(time.Until(t.coldUntil).Truncate(time.Millisecond), 0), Born: t.born.UnixMilli(),
	}
}

// fleet is the state of one run: VMs, store, proxies, targets and callers.
type fleet struct {
	seed    uint64
	network byte // second byte of all addresses
	dir     string
	engine  *standin.Engine
	server  *http.Server
	vms     []*vm
	callers []*caller
	stop    chan struct{}
	tasks   sync.WaitGroup

	mu              sync.Mutex
	rng             *rand.Rand // of the faults
	writing         sync.Mutex // held by writes of the operator and of targets; locked before mu
	targets         []*target
	byName          map[string]*target
	lastTarget      int // number of the last target
	version         int
	extraRoutePorts []uint16 // ports of the routes beside those of the two services
	lastRoutePort   uint16
	violations      []string
	lastStall       time.Time // last time at which this process itself was stalled
	storeTrouble    time.Time // end of the last disturbance of the store or of a connection to it
	quietUntil      time.Time // the store is not disturbed before
	executions      map[string]int
	counts          Counts
}

// Counts are the numbers of faults and of flows and requests by outcome.
type Counts struct {
	Faults     int `json:"faults"`   // including Rewinds and Mixes
	Rewinds    int `json:"rewinds"`  // of the store
	Mixes      int `json:"mixes"`    // see injectMixes
	ColdStarts int `json:"cold"`     // restarts of targets whose limit was checked
	Opened     int `json:"opened"`   // flows
	Answered   int `json:"answered"` // requests
	Unanswered int `json:"silent"`   // attempts to open a flow, and requests, without an answer
	Resets     int `json:"resets"`   // of flows whose target had ended or did not have the flow
	Excused    int `json:"excused"`  // resets within stallGracePeriod of a stall of this process
}

func newFleet(seed uint64, network byte, daemon, dir string) (*fleet, error) {
	f := &fleet{
		seed:          seed,
		network:       network,
		dir:           dir,
		engine:        standin.NewEngine(standin.Options{}),
		stop:          make(chan struct{}),
		rng:           rand.New(rand.NewPCG(seed, 0)),
		byName:        make(map[string]*target),
		executions:    make(map[string]int),
		lastRoutePort: 1000,
	}
	if err := f.startStore(); err != nil {
		return f, fmt.Errorf("%w: %w", ErrSetup, err)
	}
	f.configure()
	for i := range initialTargets {
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
	return netip.AddrFrom4([4]byte{127, f.network, byte(kind), byte(number)})
}

// Third bytes of addresses.
const (
	storeKind  = iota
	vmKind     // plus the index of the failure domain
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
	go func() { _ = f.server.Serve(listener) }() // returns an error when the server is closed
	return nil
}

func (f *fleet) addVM(domain, number int, daemon string) error {
	proxyAddress := netip.AddrPortFrom(f.ip(storeKind, 10+domain*vmsPerDomain+number), storePort)
	p, err := newProxy(proxyAddress.String(), netip.AddrPortFrom(f.ip(storeKind, 1), storePort).String())
	if err != nil {
		return err
	}
	v := &vm{
		name:            fmt.Sprintf("vm-%d-%d", domain, number),
		domain:          domainName(domain),
		ip:              f.ip(vmKind+domain, 1+number),
		dir:             f.dir,
		daemon:          daemon,
		storeAddress:    proxyAddress,
		proxy:           p,
		recordViolation: f.recordViolation,
	}
	if err := v.writeSettings(""); err != nil {
		return err
	}
	f.vms = append(f.vms, v)
	return v.start()
}

// recordViolation records a broken promise.
func (f *fleet) recordViolation(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, values...))
}

// put writes to the store directly, as the operator or a target. It is retried during an
// outage until the run ends.
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

// address returns the address of a service's route.
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

// configure writes a new version of the configuration with the current routes.
func (f *fleet) configure() {
	f.writing.Lock()
	defer f.writing.Unlock()
	f.mu.Lock()
	f.version++
	f.mu.Unlock()
	f.putConfiguration()
}

// putConfiguration writes the present version of the configuration. The caller holds
// f.writing.
func (f *fleet) putConfiguration() {
	f.mu.Lock()
	c := kvstore.Configuration{
		Version: f.version,
		Routes: []kvstore.Route{
			{Name: streams, Address: address(streams), Service: streams},
			{Name: checkins, Address: address(checkins), Service: checkins, NonIdempotent: true},
		},
		Services:    []string{streams, checkins},
		IdleTimeout: idleTimeout,
		ColdStarts:  make(map[string]kvstore.ColdStart),
	}
	for _, service := range c.Services {
		c.ColdStarts[service] = kvstore.ColdStart{Duration: coldTime, RequestsPerSecond: coldPerSecond}
	}
	for _, port := range f.extraRoutePorts {
		c.Routes = append(c.Routes, kvstore.Route{Name: fmt.Sprint("extra-", port), Address: routeAt(port), Service: streams})
	}
	f.mu.Unlock()
	f.put(store.Txn{Puts: []store.Put{c.Put()}})
}

// addTarget starts a target. If address is not valid, the target gets a new one.
func (f *fleet) addTarget(service, domain string, address netip.AddrPort) {
	f.mu.Lock()
	f.lastTarget++
	number := f.lastTarget
	f.mu.Unlock()
	if !address.IsValid() {
		address = netip.AddrPortFrom(f.ip(targetKind+number/200, 1+number%200), targetPort)
	}
	id := f.seed<<16 | uint64(number)
	t := &target{service: service, domain: domain, up: true, born: time.Now()}
	var err error
	t.Target, err = flowends.NewTarget(fmt.Sprintf("i-%x", id), id, address, packetsPort)
	if err != nil {
		f.recordViolation("stand-in: %v", err)
		return
	}
	f.mu.Lock()
	f.targets = append(f.targets, t)
	f.byName[t.Name] = t
	f.mu.Unlock()
	f.putEntry(t)
}

// endTarget stops a target and collects its executions.
func (f *fleet) endTarget(t *target) {
	f.mu.Lock()
	wasUp := t.up
	t.up = false
	f.mu.Unlock()
	if !wasUp {
		return
	}
	t.Close()
	f.collectExecutions(t)
}

func (f *fleet) collectExecutions(t *target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for request, n := range t.Executions() {
		f.executions[request] += n
	}
	if _, changed, _ := t.Stats(); changed > 0 {
		f.violations = append(f.violations, fmt.Sprintf("%d packets were changed on their way to %s", changed, t.Name))
	}
}

// routeFlow returns the VM that the routers select for a flow of a caller in a failure domain, or nil.
// VMs of that domain are preferred.
func (f *fleet) routeFlow(domain int, flow *flowends.Flow) *vm {
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
			return best
		}
	}
	return nil
}

// checkVMs emulates the readiness checks of the routers.
func (f *fleet) checkVMs() {
	client := &http.Client{Timeout: checkInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, v := range f.vms {
		f.tasks.Go(func() {
			for f.sleep(checkInterval) {
				v.checkReadiness(client)
			}
		})
	}
}

// watchStalls records when this process itself was stalled: its targets then do not
// answer, and VMs may declare them dead.
func (f *fleet) watchStalls() {
	const interval, stall = 10 * time.Millisecond, 100 * time.Millisecond
	f.tasks.Go(func() {
		for last := time.Now(); f.sleep(interval); last = time.Now() {
			if time.Since(last) >= stall {
				f.mu.Lock()
				f.lastStall = time.Now()
				f.mu.Unlock()
			}
		}
	})
}

// sleep waits for d. It returns false if the run ends before.
func (f *fleet) sleep(d time.Duration) bool {
	select {
	case <-f.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// status is the part of a VM's status response that is checked.
type status struct {
	Version int  `json:"version"`
	Ready   bool `json:"ready"`
}

// status requests the VM's status.
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

// close stops everything that the run has started. It may be called twice.
func (f *fleet) close() {
	select {
	case <-f.stop:
	default:
		close(f.stop)
	}
	for _, c := range f.callers {
		c.ends.Close()
	}
	f.tasks.Wait()
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

// removeLogs removes the directory of a run without broken promises.
func (f *fleet) removeLogs() error { return os.RemoveAll(f.dir) }
