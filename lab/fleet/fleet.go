// Package fleet runs a whole fleet in one stepped kernel: entry VMs with their
// real service "core", targets, callers, and small fakes of the network and the
// platform. It is used for stateful fuzzing, fault tables and measurements. A run
// depends only on its seed and on the calls made.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/decide/vm"
	"github.com/gypsumspan/gypsumspan/kernel"
)

// Options are the properties of a fleet and its network.
type Options struct {
	Seed           uint64
	Domains        []string
	DomainLatency  time.Duration // one way between failure domains
	CallerLatency  time.Duration // one way between callers and VMs
	Jitter         time.Duration // added to each datagram, uniform
	Loss           float64       // part of the datagrams that are lost
	Duplicate      float64       // part of the datagrams that arrive twice
	DuplicateDelay time.Duration // least delay of the second copy
	ListLag        time.Duration // age of the platform's VM list
	FabricLag      time.Duration // how long the fabric still sprays to a VM that is gone
	Codec          bool          // pass every message through the wire codec
	Session        session.Config
}

// Fleet is a running fleet.
type Fleet struct {
	options    Options
	rng        *rand.Rand
	stepper    *kernel.Stepper
	net        *network
	vms        map[string]*vmNode
	order      []string // names of running VMs, sorted
	targets    map[message.TargetID]*Target
	callers    []*Caller
	loads      []*Load
	list       vmList
	fabric     []fabricEntry
	entries    []message.TableEntry // the store's content
	services   map[string]*table.Service
	revision   int64
	storeDown  bool
	storeDelay time.Duration
	saved      map[int64]time.Duration // when each revision was saved
	disturbed  time.Duration           // last time a fault began or ended
	payloads   uint64
	starts     uint64
	addresses  int
	oracle     *Oracle
}

// fabricEntry is a VM that the fabric sprays to.
type fabricEntry struct {
	vm    message.VMID
	until time.Duration // 0: running
}

// New returns a fleet without VMs, targets and callers.
func New(o Options) *Fleet {
	f := &Fleet{
		options:  o,
		rng:      rand.New(rand.NewPCG(o.Seed, 1)),
		stepper:  kernel.NewStepper(o.Seed),
		vms:      make(map[string]*vmNode),
		targets:  make(map[message.TargetID]*Target),
		services: make(map[string]*table.Service),
		saved:    make(map[int64]time.Duration),
	}
	f.oracle = newOracle(f)
	f.net = newNetwork(&f.options, rand.New(rand.NewPCG(o.Seed, 2)))
	k := kernel.NewStepped(f.stepper)
	f.must(k.Register(f.net))
	f.must(f.stepper.Add(k))
	return f
}

// must stops the run on an error that only a fault of the harness can cause.
func (f *Fleet) must(err error) {
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err))
	}
}

// Now returns the virtual time since the start.
func (f *Fleet) Now() time.Duration {
	return f.stepper.Now()
}

// Advance runs the fleet for d.
func (f *Fleet) Advance(d time.Duration) {
	f.stepper.Advance(d)
	f.oracle.observe()
}

// Oracle returns the checks of the run.
func (f *Fleet) Oracle() *Oracle {
	return f.oracle
}

func (f *Fleet) nextPayload() uint64 {
	f.payloads++
	return f.payloads
}

// StartVM starts a VM, or a new process of a VM that is gone.
func (f *Fleet) StartVM(name, domain string) {
	if f.vms[name] != nil {
		return
	}
	f.starts++
	port := uint16(7000)
	ip := netip.AddrFrom4([4]byte{10, 0, byte(f.starts >> 8), byte(f.starts)})
	member := message.Member{
		ID:          message.VMIDOf(name),
		Name:        name,
		Domain:      message.DomainIDOf(domain),
		Data:        netip.AddrPortFrom(ip, port),
		Control:     netip.AddrPortFrom(ip, port+1),
		Incarnation: uint64(f.Now()/time.Millisecond) + 1,
		State:       message.MemberAlive,
	}
	n := newVMNode(f, member, domain)
	f.vms[name] = n
	f.order = append(f.order, name)
	slices.Sort(f.order)
	f.net.vms[member.ID] = n.endpoint()
	f.list.set(f.Now(), member)
	f.fabric = append(f.fabric, fabricEntry{vm: member.ID})
	f.must(f.stepper.Add(n.kernel))
}

// KillVM ends a VM without notice.
func (f *Fleet) KillVM(name string) {
	if n := f.vms[name]; n != nil {
		f.disturbed = f.Now()
		f.remove(n)
		f.list.remove(f.Now(), n.member.ID)
	}
}

// LeaveVM starts the planned leave of a VM. It ends by itself.
func (f *Fleet) LeaveVM(name string) {
	n := f.vms[name]
	if n == nil || n.leaving {
		return
	}
	n.leaving = true
	f.must(n.core.BeginLeave())
	f.leaveFabric(n)
}

// Reap ends the VMs whose planned leave is complete, and returns their names.
func (f *Fleet) Reap() []string {
	var gone []string
	for _, name := range slices.Clone(f.order) {
		if n := f.vms[name]; n.leaving && n.machine.HasLeft() {
			f.remove(n)
			f.list.remove(f.Now(), n.member.ID)
			gone = append(gone, name)
		}
	}
	return gone
}

func (f *Fleet) remove(n *vmNode) {
	f.stepper.Remove(n.kernel)
	delete(f.vms, n.member.Name)
	delete(f.net.vms, n.member.ID)
	f.order = slices.DeleteFunc(f.order, func(name string) bool { return name == n.member.Name })
	f.leaveFabric(n)
}

// leaveFabric makes the fabric forget a VM that is gone, or that the platform
// lists as leaving, after its lag.
func (f *Fleet) leaveFabric(n *vmNode) {
	for i := range f.fabric {
		if f.fabric[i].vm == n.member.ID && f.fabric[i].until == 0 {
			f.fabric[i].until = f.Now() + f.options.FabricLag
		}
	}
}

// SetPaused freezes or resumes a VM. Input that arrives meanwhile waits in its rings.
func (f *Fleet) SetPaused(name string, paused bool) {
	if n := f.vms[name]; n != nil {
		f.disturbed = f.Now()
		n.paused = paused
		f.stepper.SetPaused(n.kernel, paused)
	}
}

// SetPartitioned cuts a failure domain off from the others and the platform, or heals it.
func (f *Fleet) SetPartitioned(domain string, cut bool) {
	f.disturbed = f.Now()
	f.net.cut[domain] = cut
}

// SetStoreDown starts or ends an outage of the store.
func (f *Fleet) SetStoreDown(down bool) {
	f.disturbed = f.Now()
	f.storeDown = down
}

// undisturbed returns the time since the last fault that can delay a table
// change has begun or ended; 0 while one lasts.
func (f *Fleet) undisturbed() time.Duration {
	if f.storeDown {
		return 0
	}
	for _, cut := range f.net.cut {
		if cut {
			return 0
		}
	}
	for _, n := range f.vms {
		if n.paused {
			return 0
		}
	}
	return f.Now() - f.disturbed
}

// VMs returns the names of the running VMs, sorted.
func (f *Fleet) VMs() []string {
	return f.order
}

// Machine returns a running VM's decisions, or nil.
func (f *Fleet) Machine(name string) *vm.VM {
	if n := f.vms[name]; n != nil {
		return n.machine
	}
	return nil
}

// Domain returns the failure domain of a running VM.
func (f *Fleet) Domain(name string) string {
	return f.vms[name].domain
}

// spray picks a VM for a datagram of a caller.
func (f *Fleet) spray() (message.VMID, bool) {
	f.fabric = slices.DeleteFunc(f.fabric, func(e fabricEntry) bool {
		return e.until != 0 && f.Now() >= e.until
	})
	if len(f.fabric) == 0 {
		return 0, false
	}
	return f.fabric[f.rng.IntN(len(f.fabric))].vm, true
}

// PutService writes a service to the store, as an accepted change of the table.
// The rows' ids and failure domain ids are filled in.
func (f *Fleet) PutService(s table.Service) {
	s.ID = message.ServiceIDOf(s.Name)
	for i := range s.Targets {
		row := &s.Targets[i]
		row.ID = message.TargetIDOf(s.Name, row.Name)
		row.DomainID = message.DomainIDOf(row.Domain)
	}
	entries, err := table.EncodeService(&s, 1)
	f.must(err)
	f.revision++
	f.saved[f.revision] = f.Now()
	for _, e := range entries {
		e.Revision = f.revision
		f.entries = slices.DeleteFunc(f.entries, func(old message.TableEntry) bool { return old.Key == e.Key })
		f.entries = append(f.entries, e)
	}
	f.services[s.Name] = &s
	f.oracle.tableChanged(&s)
}

// Service returns a copy of a service as it is in the store.
func (f *Fleet) Service(name string) table.Service {
	s := *f.services[name]
	s.Targets = slices.Clone(s.Targets)
	return s
}

// Revision returns the store's last table revision.
func (f *Fleet) Revision() uint64 {
	return uint64(f.revision)
}

// TableInForce reports whether every running VM has the last table revision. VMs that
// leave do not count: when all of them leave, no relay is left.
func (f *Fleet) TableInForce() bool {
	for _, name := range f.order {
		if !f.vms[name].leaving && f.vms[name].machine.TableVersion() != f.Revision() {
			return false
		}
	}
	return true
}

// NewCaller starts a caller process.
func (f *Fleet) NewCaller() *Caller {
	n := len(f.callers) + 1
	ip := netip.AddrFrom4([4]byte{10, 200, byte(n >> 8), byte(n)})
	var seed [32]byte
	for i := range seed {
		seed[i] = byte(f.rng.Uint32())
	}
	c := &Caller{
		fleet:   f,
		addr:    message.CallerAddress(netip.AddrPortFrom(ip, 9000)),
		session: session.New(f.options.Session, seed),
		calls:   make(map[session.CallID]Call),
	}
	c.kernel = kernel.NewStepped(f.stepper)
	f.must(c.kernel.Register(c))
	f.must(f.stepper.Add(c.kernel))
	f.net.callers[c.addr] = &endpoint{domain: outside, put: func(m message.Message) { _ = c.in.Put(m) }}
	f.callers = append(f.callers, c)
	return c
}

// ControlBytes returns the encoded bytes of control messages that a VM has sent.
func (f *Fleet) ControlBytes(name string) uint64 {
	return f.net.controlBytes[message.VMIDOf(name)]
}
