package day

import (
	"slices"
	"strings"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/decide/revision"
)

// Policy is the algorithm by which VMs select the target of a packet.
type Policy string

// The policies. All but Gypsumspan are baselines: VMs that share no state, use neither
// cookies nor evidence of failures, and read the catalog from the store every 100 ms.
const (
	Gypsumspan Policy = "gypsumspan"
	Modulo     Policy = "modulo"      // hash of the flow modulo the targets
	Rendezvous Policy = "rendezvous"  // highest random weight (rendezvous) hash of flow and target
	RoundRobin Policy = "round_robin" // round-robin at each VM, with a table of its flows
)

// Policies lists all policies, gypsumspan first.
func Policies() []Policy { return []Policy{Gypsumspan, Modulo, Rendezvous, RoundRobin} }

// baselineInterval is the interval at which a baseline reads the store.
const baselineInterval = 100 * time.Millisecond

// baseline is the process of a VM under a policy other than Gypsumspan.
type baseline struct {
	vm        *vm
	view      *catalog.View
	revision  revision.Revision
	nextIndex int // of RoundRobin: the next target
	flows     map[flow.Key]*catalog.Target
}

func newBaseline(v *vm) *baseline {
	b := &baseline{vm: v, view: catalog.NewView(), flows: make(map[flow.Key]*catalog.Target)}
	v.fleet.timeline.every(baselineInterval, func() bool {
		if v.baseline != b && v.baseline != nil {
			return false
		}
		b.read()
		return v.up
	})
	return b
}

// read applies the changes in the store since the last read.
func (b *baseline) read() {
	s := b.vm.fleet.store
	if s.down || b.vm.storeRefuses || b.vm.paused || !b.vm.reaches(&s.node) || s.revision == b.revision {
		return
	}
	s.calls++
	items, ok := s.changesSince(b.revision)
	if !ok || b.revision == 0 {
		items = s.snapshot()
	}
	now := s.timeline.now()
	for _, item := range items {
		if c, ok, _ := (decoder{}).Decode(item.Key, item.Value, item.Deleted, item.Revision); ok {
			b.view.Apply(now, c)
		}
	}
	b.revision = s.revision
	b.view.Apply(now, catalog.Change{Revision: b.revision, Synced: true})
}

// receive forwards one packet, or resets its flow if there is no route or no target.
func (b *baseline) receive(now time.Duration, p flow.Packet) {
	route := b.view.Route(p.Flow.Address)
	if route == nil {
		b.vm.sendReset(flow.Packet{Flow: p.Flow, Flags: flow.RST, Seq: p.Ack})
		return
	}
	t := b.choose(now, p.Flow, b.view.Service(route.Shares[0].Service))
	if t == nil {
		b.vm.sendReset(flow.Packet{Flow: p.Flow, Flags: flow.RST, Seq: p.Ack})
		return
	}
	b.vm.forward(p, t.Number, t.Address.AddrPort())
}

func (b *baseline) choose(now time.Duration, k flow.Key, candidates []*catalog.Target) *catalog.Target {
	if t := b.flows[k]; t != nil && !t.Gone(now) {
		return t
	}
	var list []*catalog.Target
	for _, t := range candidates {
		if t.AcceptsFlows(now) {
			list = append(list, t)
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b *catalog.Target) int { return strings.Compare(a.ID, b.ID) })
	hash := k.Hash()
	switch b.vm.fleet.policy {
	case Modulo:
		return list[hash%uint64(len(list))]
	case Rendezvous:
		return slices.MaxFunc(list, func(x, y *catalog.Target) int {
			if rendezvous.Mix(hash, x.Number) > rendezvous.Mix(hash, y.Number) {
				return 1
			}
			return -1
		})
	default:
		b.nextIndex++
		b.flows[k] = list[b.nextIndex%len(list)]
		return b.flows[k]
	}
}
