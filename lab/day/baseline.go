package day

import (
	"slices"
	"strings"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

// Policy is how VMs find the target of a packet.
type Policy string

// The policies. All but Gypsumspan are baselines: VMs without memory between them,
// without cookies and without evidence, that know the catalog 100 ms late.
const (
	Gypsumspan Policy = "gypsumspan"
	Modulo     Policy = "modulo"      // hash of the flow modulo the targets
	Rendezvous Policy = "rendezvous"  // highest random weight of flow and target
	RoundRobin Policy = "round_robin" // each VM in turn, with a table of its flows
)

// Policies lists all policies, gypsumspan first.
func Policies() []Policy { return []Policy{Gypsumspan, Modulo, Rendezvous, RoundRobin} }

// baselineInterval is the time between two readings of the store by a baseline.
const baselineInterval = 100 * time.Millisecond

// baseline is the process of a VM of another policy.
type baseline struct {
	vm       *vm
	view     *catalog.View
	revision int64
	next     int // of RoundRobin
	flows    map[flow.Key]*catalog.Target
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

// read takes in what was written since the last reading.
func (b *baseline) read() {
	s := b.vm.fleet.store
	if s.down || b.vm.refused || b.vm.paused || !b.vm.reaches(&s.end) || s.revision == b.revision {
		return
	}
	s.calls++
	items, ok := s.since(b.revision)
	if !ok || b.revision == 0 {
		items = s.all()
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

// receive forwards one packet.
func (b *baseline) receive(now time.Duration, p flow.Packet) {
	route := b.view.Route(p.Flow.Address)
	if route == nil {
		b.vm.reset(flow.Packet{Flow: p.Flow, Flags: flow.RST, Seq: p.Ack})
		return
	}
	t := b.choose(now, p.Flow, b.view.Service(route.Shares[0].Service))
	if t == nil {
		b.vm.reset(flow.Packet{Flow: p.Flow, Flags: flow.RST, Seq: p.Ack})
		return
	}
	b.vm.forward(p, t.Number, t.Address.AddrPort())
}

func (b *baseline) choose(now time.Duration, k flow.Key, known []*catalog.Target) *catalog.Target {
	if t := b.flows[k]; t != nil && !t.Gone(now) {
		return t
	}
	var list []*catalog.Target
	for _, t := range known {
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
		b.next++
		b.flows[k] = list[b.next%len(list)]
		return b.flows[k]
	}
}
