package day

import (
	"math/rand/v2"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/kernel"
)

const networkName = "network"

// node is the network location of a VM, a target, a caller or the store.
type node struct {
	domain   int  // index of the failure domain; unused for the store
	store    bool // the store is in no failure domain
	caller   bool // callers reach every VM and target, also during partitions
	isolated bool // this node alone is partitioned from VMs, targets and the store
}

// network is the service "network": it emulates delays, packet loss and partitions.
type network struct {
	baseService
	timeline    *timeline
	rng         *rand.Rand
	site        *Site
	partitioned []bool  // by failure domain: it reaches nothing outside
	lossRate    float64 // probability that a packet between failure domains is lost
}

func newNetwork(site *Site) *network {
	return &network{baseService: baseService{networkName}, site: site, partitioned: make([]bool, len(site.Domains))}
}

// Connect implements kernel.Service.
func (n *network) Connect(k *kernel.Kernel) error {
	if err := connect(k, &n.timeline); err != nil {
		return err
	}
	n.rng = n.timeline.stream(networkName)
	return nil
}

// reaches reports whether no partition separates two nodes now. Random loss is not
// considered.
func (n *network) reaches(from, to *node) bool {
	if from.caller || to.caller {
		return true
	}
	if from.isolated || to.isolated {
		return false
	}
	if from.store || to.store {
		return !n.isPartitioned(from) && !n.isPartitioned(to)
	}
	return from.domain == to.domain || !n.isPartitioned(from) && !n.isPartitioned(to)
}

func (n *network) isPartitioned(node *node) bool { return !node.store && n.partitioned[node.domain] }

// delay returns the one-way delay between two nodes.
func (n *network) delay(from, to *node) time.Duration {
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

// send sends a datagram: deliver runs when it arrives, or never if it is lost. A
// partition that begins while it is in flight does not drop it.
func (n *network) send(from, to *node, deliver func()) {
	if !n.reaches(from, to) || n.isLost(from, to) {
		return
	}
	n.timeline.after(n.delay(from, to), deliver)
}

func (n *network) isLost(from, to *node) bool {
	between := !from.caller && !to.caller && !from.store && !to.store && from.domain != to.domain
	return between && n.lossRate > 0 && n.rng.Float64() < n.lossRate
}

// callerNode returns the node of a flow's caller.
func callerNode(k flow.Key) *node { return &node{domain: domainOfCaller(k.Caller.IP), caller: true} }
