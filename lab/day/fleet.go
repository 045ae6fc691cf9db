package day

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/kernel"
)

const (
	fleetName = "fleet"
	// fabricSteady moves only the flows of a VM that joins or leaves the rotation;
	// fabricMod moves nearly all.
	fabricSteady = "steady"
	fabricMod    = "mod"
	// checkInterval is the time between two checks of a VM by the routers, which take
	// it out of rotation after checkMisses misses.
	checkInterval = 500 * time.Millisecond
	checkMisses   = 2
)

// fleet is the service "fleet": the VMs, and the routers before them.
type fleet struct {
	part
	stepper  *kernel.Stepper
	policy   Policy
	site     *Site
	timeline *timeline
	network  *network
	store    *store
	targets  *targets
	callers  *callers
	oracle   *oracle

	rng *rand.Rand
	vms []*vm
}

func newFleet(site *Site, stepper *kernel.Stepper, policy Policy) *fleet {
	return &fleet{part: part{fleetName}, site: site, stepper: stepper, policy: policy}
}

// Connect implements kernel.Service.
func (f *fleet) Connect(k *kernel.Kernel) error {
	if err := connect(k, &f.timeline, &f.network, &f.store, &f.targets, &f.callers, &f.oracle); err != nil {
		return err
	}
	f.rng = f.timeline.stream(fleetName)
	return nil
}

// start starts all VMs within a third of a second, in random order.
func (f *fleet) start() {
	const spread = 300 * time.Millisecond
	for d := range f.site.Domains {
		for range f.site.VMsPerDomain {
			v := f.add(d)
			f.timeline.after(uniform(f.rng, 0, spread), v.start)
		}
	}
}

// add adds a VM that is not running yet.
func (f *fleet) add(domain int) *vm {
	number := 0
	for _, v := range f.vms {
		if v.end.domain == domain {
			number++
		}
	}
	v := &vm{fleet: f, name: fmt.Sprintf("vm-%s-%d", f.site.Domains[domain], number+1), ip: vmIP(domain, number+1)}
	v.end.domain = domain
	f.vms = append(f.vms, v)
	f.timeline.after(uniform(f.rng, 0, checkInterval), func() {
		f.timeline.every(checkInterval, func() bool { v.check(); return !v.removed })
	})
	return v
}

// route returns the VM that the routers choose for a packet of a caller, or nil.
func (f *fleet) route(k flow.Key) *vm {
	domain := domainOfCaller(k.Caller.IP)
	for i := range f.site.Domains {
		candidates := f.rotation((domain + i) % len(f.site.Domains))
		if len(candidates) > 0 {
			return f.pick(k, candidates)
		}
	}
	return nil
}

// rotation returns the VMs of a domain that get packets: those in rotation, or all
// when these are fewer than half; none when none is in rotation.
func (f *fleet) rotation(domain int) []*vm {
	var all, in []*vm
	for _, v := range f.vms {
		if v.end.domain != domain || v.removed || !v.started {
			continue
		}
		all = append(all, v)
		if v.misses < checkMisses {
			in = append(in, v)
		}
	}
	if len(in) > 0 && 2*len(in) < len(all) {
		return all
	}
	return in
}

func (f *fleet) pick(k flow.Key, candidates []*vm) *vm {
	hash := k.Hash()
	if f.site.Fabric == fabricMod {
		return candidates[hash%uint64(len(candidates))]
	}
	best := candidates[0]
	for _, v := range candidates[1:] {
		if rendezvous.Mix(hash, v.number()) > rendezvous.Mix(hash, best.number()) {
			best = v
		}
	}
	return best
}

// receive takes a packet of a caller to the VM that the routers choose.
func (f *fleet) receive(p flow.Packet) {
	if v := f.route(p.Flow); v != nil {
		f.receiveAt(v, p)
	}
}

// receiveAt takes a packet of a caller to one VM.
func (f *fleet) receiveAt(v *vm, p flow.Packet) {
	f.network.send(pathOf(p.Flow), &v.end, func() { v.receive(p) })
}
