package day

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/balance"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/kernel"
)

const (
	fleetName = "fleet"
	// fabricSteady and fabricMod are how routers hash flows to VMs. When a VM joins or
	// leaves the rotation, fabricSteady (rendezvous hashing) remaps only the flows of
	// that VM, and fabricMod (hash modulo the number of VMs) nearly all.
	fabricSteady = "steady"
	fabricMod    = "mod"
	// checkInterval is the interval of the routers' readiness checks. They take a VM out
	// of rotation after maxFailedChecks failures in a row.
	checkInterval   = 500 * time.Millisecond
	maxFailedChecks = 2
)

// fleet is the service "fleet": the VMs, and the routers in front of them.
type fleet struct {
	baseService
	stepper  *kernel.Stepper
	policy   Policy
	site     *Site
	timeline *timeline
	network  *network
	store    *store
	targets  *targets
	callers  *callers
	oracle   *oracle

	balance      balance.Policy
	knowledgeAge time.Duration // see Options

	rng *rand.Rand
	vms []*vm
}

func newFleet(site *Site, stepper *kernel.Stepper, policy Policy) *fleet {
	return &fleet{baseService: baseService{fleetName}, site: site, stepper: stepper, policy: policy}
}

// Connect implements kernel.Service.
func (f *fleet) Connect(k *kernel.Kernel) error {
	if err := connect(k, &f.timeline, &f.network, &f.store, &f.targets, &f.callers, &f.oracle); err != nil {
		return err
	}
	f.rng = f.timeline.stream(fleetName)
	return nil
}

// start starts all VMs in random order, spread over 300 ms.
func (f *fleet) start() {
	const spread = 300 * time.Millisecond
	for d := range f.site.Domains {
		for range f.site.VMsPerDomain {
			v := f.add(d)
			f.timeline.after(uniform(f.rng, 0, spread), v.start)
		}
	}
}

// add adds a VM whose process is not started yet.
func (f *fleet) add(domain int) *vm {
	sameDomain := 0
	for _, v := range f.vms {
		if v.node.domain == domain {
			sameDomain++
		}
	}
	v := &vm{fleet: f, name: fmt.Sprintf("vm-%s-%d", f.site.Domains[domain], sameDomain+1), ip: vmIP(domain, sameDomain+1)}
	v.node.domain = domain
	rate := bytesPerSecond(f.site.LinkMbps)
	v.uplink, v.downlink = &link{timeline: f.timeline, rate: rate}, &link{timeline: f.timeline, rate: rate}
	f.vms = append(f.vms, v)
	f.timeline.after(uniform(f.rng, 0, checkInterval), func() {
		f.timeline.every(checkInterval, func() bool { v.checkReadiness(); return !v.removed })
	})
	return v
}

// route returns the VM that the routers select for a flow, or nil. They prefer VMs of the
// caller's failure domain.
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

// rotation returns the VMs of a domain that get packets: those in rotation, or all if
// at least one but fewer than half are in rotation.
func (f *fleet) rotation(domain int) []*vm {
	var all, inRotation []*vm
	for _, v := range f.vms {
		if v.node.domain != domain || v.removed || !v.started {
			continue
		}
		all = append(all, v)
		if v.failedChecks < maxFailedChecks {
			inRotation = append(inRotation, v)
		}
	}
	if len(inRotation) > 0 && 2*len(inRotation) < len(all) {
		return all
	}
	return inRotation
}

func (f *fleet) pick(k flow.Key, candidates []*vm) *vm {
	hash := k.Hash()
	if f.site.Fabric == fabricMod {
		return candidates[hash%uint64(len(candidates))]
	}
	best := candidates[0]
	for _, v := range candidates[1:] {
		if rendezvous.Mix(hash, v.rendezvousID()) > rendezvous.Mix(hash, best.rendezvousID()) {
			best = v
		}
	}
	return best
}

// routePacket sends a packet of a caller to the VM that the routers select, and returns it. It returns
// nil if there is none.
func (f *fleet) routePacket(p flow.Packet) *vm {
	v := f.route(p.Flow)
	if v != nil {
		f.deliverTo(v, p)
	}
	return v
}

// deliverTo sends a packet of a caller to a VM.
func (f *fleet) deliverTo(v *vm, p flow.Packet) {
	f.network.send(callerNode(p.Flow), &v.node, func() { v.receive(p) })
}
