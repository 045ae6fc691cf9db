// Package fleet simulates a fleet on one stepped kernel with a virtual clock: entry VMs
// with the real service "core", stand-in targets, callers, and fakes of the network and
// the platform. It is used for stateful fuzzing, fault tables and measurements. A run is
// a function of its seed and of the calls made.
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

// Options configures a fleet and its network.
type Options struct {
	Seed           uint64
	Domains        []string
	DomainLatency  time.Duration // one-way, between failure domains
	CallerLatency  time.Duration // one-way, between callers and VMs
	Jitter         time.Duration // upper bound of a uniform delay added to each datagram
	Loss           float64       // probability that a datagram is lost
	Duplicate      float64       // probability that a datagram is duplicated
	DuplicateDelay time.Duration // minimum extra delay of a duplicate
	ListLag        time.Duration // staleness of the platform's VM list
	FabricLag      time.Duration // how long the fabric keeps sending to a VM that is gone
	Codec          bool          // encode and decode every message
	Session        session.Config
}

// Fleet is a simulated fleet.
type Fleet struct {
	options         Options
	rng             *rand.Rand
	stepper         *kernel.Stepper
	net             *network
	vms             map[string]*vmNode
	vmNames         []string // names of running VMs, sorted
	targets         map[message.TargetID]*Target
	callers         []*Caller
	loads           []*Load
	list            vmList
	fabric          []fabricEntry
	entries         []message.TableEntry // content of the store
	services        map[string]*table.Service
	revision        int64
	storeDown       bool
	storeDelay      time.Duration
	savedAt         map[int64]time.Duration // by revision
	lastDisturbance time.Duration           // when a fault last began or ended
	lastPayload     uint64
	vmStarts        uint64
	targetAddresses int
	oracle          *Oracle
}

// fabricEntry is a VM to which the fabric sends datagrams of callers.
type fabricEntry struct {
	vm         message.VMID
	sprayUntil time.Duration // 0 while the VM runs and does not leave
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
		savedAt:  make(map[int64]time.Duration),
	}
	f.oracle = newOracle(f)
	f.net = newNetwork(&f.options, rand.New(rand.NewPCG(o.Seed, 2)))
	k := kernel.NewStepped(f.stepper)
	f.must(k.Register(f.net))
	f.must(f.stepper.Add(k))
	return f
}

// must panics on an error that only a bug in this package can cause.
func (f *Fleet) must(err error) {
	if err != nil {
		panic(fmt.Sprintf("fleet: %v", err))
	}
}

// Now returns the virtual time since the start.
func (f *Fleet) Now() time.Duration {
	return f.stepper.Now()
}

// Advance runs the fleet for d of virtual time.
func (f *Fleet) Advance(d time.Duration) {
	f.stepper.Advance(d)
	f.oracle.checkTableVersions()
}

// Oracle returns the oracle of the run.
func (f *Fleet) Oracle() *Oracle {
	return f.oracle
}

func (f *Fleet) nextPayload() uint64 {
	f.lastPayload++
	return f.lastPayload
}

// StartVM starts a VM with the name, with a new incarnation if one ran before. It does
// nothing if the VM is running.
func (f *Fleet) StartVM(name, domain string) {
	if f.vms[name] != nil {
		return
	}
	f.vmStarts++
	port := uint16(7000)
	ip := netip.AddrFrom4([4]byte{10, 0, byte(f.vmStarts >> 8), byte(f.vmStarts)})
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
	f.vmNames = append(f.vmNames, name)
	slices.Sort(f.vmNames)
	f.net.vms[member.ID] = n.endpoint()
	f.list.set(f.Now(), member)
	f.fabric = append(f.fabric, fabricEntry{vm: member.ID})
	f.must(f.stepper.Add(n.kernel))
}

// KillVM ends a VM's process at once, as in a crash.
func (f *Fleet) KillVM(name string) {
	if n := f.vms[name]; n != nil {
		f.lastDisturbance = f.Now()
		f.removeVM(n)
		f.list.remove(f.Now(), n.member.ID)
	}
}

// LeaveVM starts the planned leave of a VM. The VM hands over its targets, and Reap removes
// it afterwards.
func (f *Fleet) LeaveVM(name string) {
	n := f.vms[name]
	if n == nil || n.leaving {
		return
	}
	n.leaving = true
	f.must(n.core.BeginLeave())
	f.removeFromFabric(n)
}

// Reap removes the VMs whose planned leave is complete, and returns their names.
func (f *Fleet) Reap() []string {
	var gone []string
	for _, name := range slices.Clone(f.vmNames) {
		if n := f.vms[name]; n.leaving && n.machine.HasLeft() {
			f.removeVM(n)
			f.list.remove(f.Now(), n.member.ID)
			gone = append(gone, name)
		}
	}
	return gone
}

func (f *Fleet) removeVM(n *vmNode) {
	f.stepper.Remove(n.kernel)
	delete(f.vms, n.member.Name)
	delete(f.net.vms, n.member.ID)
	f.vmNames = slices.DeleteFunc(f.vmNames, func(name string) bool { return name == n.member.Name })
	f.removeFromFabric(n)
}

// removeFromFabric removes a VM that is gone or leaving from the fabric after FabricLag.
func (f *Fleet) removeFromFabric(n *vmNode) {
	for i := range f.fabric {
		if f.fabric[i].vm == n.member.ID && f.fabric[i].sprayUntil == 0 {
			f.fabric[i].sprayUntil = f.Now() + f.options.FabricLag
		}
	}
}

// SetPaused pauses or resumes a VM. Messages that arrive meanwhile wait in its rings.
func (f *Fleet) SetPaused(name string, paused bool) {
	if n := f.vms[name]; n != nil {
		f.lastDisturbance = f.Now()
		n.paused = paused
		f.stepper.SetPaused(n.kernel, paused)
	}
}

// SetPartitioned separates a failure domain from the others and from the platform, or ends
// the partition. Callers reach it in either case.
func (f *Fleet) SetPartitioned(domain string, partitioned bool) {
	f.lastDisturbance = f.Now()
	f.net.partitioned[domain] = partitioned
}

// SetStoreDown starts or ends an outage of the store.
func (f *Fleet) SetStoreDown(down bool) {
	f.lastDisturbance = f.Now()
	f.storeDown = down
}

// sinceLastDisturbance returns the time since a fault that can delay a table change last
// began or ended, or 0 during such a fault.
func (f *Fleet) sinceLastDisturbance() time.Duration {
	if f.storeDown {
		return 0
	}
	for _, partitioned := range f.net.partitioned {
		if partitioned {
			return 0
		}
	}
	for _, n := range f.vms {
		if n.paused {
			return 0
		}
	}
	return f.Now() - f.lastDisturbance
}

// VMs returns the names of the running VMs, sorted.
func (f *Fleet) VMs() []string {
	return f.vmNames
}

// Machine returns the state machine of a running VM, or nil.
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

// pickVM returns a random VM of the fabric for a datagram of a caller, or false if there is
// none.
func (f *Fleet) pickVM() (message.VMID, bool) {
	f.fabric = slices.DeleteFunc(f.fabric, func(e fabricEntry) bool {
		return e.sprayUntil != 0 && f.Now() >= e.sprayUntil
	})
	if len(f.fabric) == 0 {
		return 0, false
	}
	return f.fabric[f.rng.IntN(len(f.fabric))].vm, true
}

// PutService writes a service to the store, as an accepted change of the table does.
// The ids of the service, its rows and their failure domains are derived from their names.
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
	f.savedAt[f.revision] = f.Now()
	for _, e := range entries {
		e.Revision = f.revision
		f.entries = slices.DeleteFunc(f.entries, func(old message.TableEntry) bool { return old.Key == e.Key })
		f.entries = append(f.entries, e)
	}
	f.services[s.Name] = &s
	f.oracle.recordTable(&s)
}

// Service returns a copy of a service in the store.
func (f *Fleet) Service(name string) table.Service {
	s := *f.services[name]
	s.Targets = slices.Clone(s.Targets)
	return s
}

// Revision returns the latest table revision of the store.
func (f *Fleet) Revision() uint64 {
	return uint64(f.revision)
}

// TableInForce reports whether every running VM has the latest table revision. Leaving VMs
// are excepted: when all VMs leave, there is no relay to read the store.
func (f *Fleet) TableInForce() bool {
	for _, name := range f.vmNames {
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
	f.net.callers[c.addr] = &endpoint{domain: noDomain, put: func(m message.Message) { _ = c.in.Put(m) }}
	f.callers = append(f.callers, c)
	return c
}

// ControlBytes returns the encoded size, in bytes, of all control messages that a VM has sent.
func (f *Fleet) ControlBytes(name string) uint64 {
	return f.net.controlBytes[message.VMIDOf(name)]
}
