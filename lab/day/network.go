package day

import (
	"math/rand/v2"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/kernel"
)

const networkName = "network"

// end is one end of a path: a VM, a target, a caller or the store.
type end struct {
	domain int  // index; of the store none
	store  bool // the store lies in no failure domain
	caller bool // callers reach every VM and target, whatever is cut
	cut    bool // alone cut off from VMs, targets and the store
}

// network is the service "network": delays, losses and partitions.
type network struct {
	part
	timeline *timeline
	rng      *rand.Rand
	site     *Site
	cut      []bool  // failure domains that reach nothing outside
	loss     float64 // part of the packets between failure domains that is lost
}

func newNetwork(site *Site) *network {
	return &network{part: part{networkName}, site: site, cut: make([]bool, len(site.Domains))}
}

// Connect implements kernel.Service.
func (n *network) Connect(k *kernel.Kernel) error {
	if err := connect(k, &n.timeline); err != nil {
		return err
	}
	n.rng = n.timeline.stream(networkName)
	return nil
}

// reaches reports whether a packet from one end to another arrives now, but for
// losses.
func (n *network) reaches(from, to *end) bool {
	if from.caller || to.caller {
		return true
	}
	if from.cut || to.cut {
		return false
	}
	if from.store || to.store {
		return !n.isCut(from) && !n.isCut(to)
	}
	return from.domain == to.domain || !n.isCut(from) && !n.isCut(to)
}

func (n *network) isCut(e *end) bool { return !e.store && n.cut[e.domain] }

// delay returns the one-way time between two ends.
func (n *network) delay(from, to *end) time.Duration {
	switch {
	case from.caller || to.caller:
		return n.site.Delays.Caller.D()
	case from.store || to.store:
		return n.site.Delays.Store.D() / 2
	case from.domain == to.domain:
		return n.site.Delays.IntraDomain.D()
	default:
		return n.site.Delays.InterDomain.D()
	}
}

// send runs arrive when a datagram from one end arrives at the other, or never. A
// partition that begins on its way does not stop it.
func (n *network) send(from, to *end, arrive func()) {
	if !n.reaches(from, to) || n.isLost(from, to) {
		return
	}
	n.timeline.after(n.delay(from, to), arrive)
}

func (n *network) isLost(from, to *end) bool {
	between := !from.caller && !to.caller && !from.store && !to.store && from.domain != to.domain
	return between && n.loss > 0 && n.rng.Float64() < n.loss
}

// pathOf returns the end of a caller.
func pathOf(k flow.Key) *end { return &end{domain: domainOfCaller(k.Caller.IP), caller: true} }
