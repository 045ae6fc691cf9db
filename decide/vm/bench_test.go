package vm

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// serviceTargets is the number of targets of the service that messages are routed to.
const serviceTargets = 14

// newRoutingVM returns one of 18 VMs, with a table of the given number of targets, and the
// first service of the table, which has serviceTargets of them.
func newRoutingVM(tb testing.TB, targets int) (*VM, *table.Service) {
	v := New(Config{Self: benchMember(0), Seed: 1, Peers: benchPeers()}, 0)
	var delta message.TableDelta
	for n := 0; targets > 0; n++ {
		size := min(targets, serviceTargets)
		targets -= size
		entries, err := table.EncodeService(benchService(n, size), 1)
		if err != nil {
			tb.Fatal(err)
		}
		for i := range entries {
			entries[i].Revision = int64(n + 1)
		}
		delta.Entries = append(delta.Entries, entries...)
	}
	v.Receive(time.Second, message.Message{From: message.Address{Kind: message.PeerPlatform}, Body: &delta})
	s := v.table.Service(message.ServiceIDOf(serviceName(0)))
	if s == nil || len(s.Targets) != serviceTargets {
		tb.Fatalf("the VM did not apply the table")
	}
	return v, s
}

func serviceName(n int) string {
	return fmt.Sprintf("service%d", n)
}

func benchService(n, targets int) *table.Service {
	name := serviceName(n)
	s := &table.Service{
		ID: message.ServiceIDOf(name), Name: name, Address: "10.30.0.1:443",
		Kinds: []table.Kind{{Name: "kind", Urgency: table.Normal, Share: 1}},
	}
	for i := range targets {
		s.Targets = append(s.Targets, table.Target{
			ID:       message.TargetIDOf(name, fmt.Sprintf("t%02d", i)),
			Name:     fmt.Sprintf("t%02d", i),
			Domain:   benchDomain(i),
			DomainID: message.DomainIDOf(benchDomain(i)),
			Addr:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n), byte(i)}), 8000),
			Health:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n), byte(i)}), 8001),
			Weight:   uint32(1 + i%3), Limit: 3, State: table.Active,
		})
	}
	return s
}

func benchDomain(i int) string {
	return string(rune('a' + i%3))
}

func benchMember(i int) message.Member {
	name := fmt.Sprintf("vm%02d", i)
	ip := netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)})
	return message.Member{
		ID: message.VMIDOf(name), Name: name, Domain: message.DomainIDOf(benchDomain(i)),
		Data: netip.AddrPortFrom(ip, 7000), Control: netip.AddrPortFrom(ip, 7001),
		Incarnation: 1, State: message.MemberAlive,
	}
}

func benchPeers() []message.Member {
	var peers []message.Member
	for i := range 17 {
		peers = append(peers, benchMember(i+1))
	}
	return peers
}

// routedMessages returns one message for each way in which a target is chosen.
func routedMessages(s *table.Service) []struct {
	name string
	body message.Body
} {
	flow := message.FlowID{Hi: 1, Lo: 2}
	binding := message.Binding{Target: s.Targets[3].ID, Epoch: 7}
	return []struct {
		name string
		body message.Body
	}{
		{"new flow", &message.Open{Service: s.ID, Flow: flow}},
		{"bound", &message.Request{Service: s.ID, Flow: flow, ID: 1, Parts: 1, Binding: binding}},
		{"without binding", &message.Request{Service: s.ID, Flow: flow, ID: 1, Parts: 1}},
	}
}

var tableSizes = []int{18, 1000, 10000}

// Guards against allocations in the routing decision, at any size of the table.
func TestChooseAllocatesNothing(t *testing.T) {
	for _, size := range tableSizes {
		v, s := newRoutingVM(t, size)
		for _, p := range routedMessages(s) {
			choice, ok := v.chooseTarget(s, p.body)
			if !ok || choice.target == 0 {
				t.Errorf("%d targets, %s: no choice", size, p.name)
			}
			allocs := testing.AllocsPerRun(100, func() { v.chooseTarget(s, p.body) })
			if allocs != 0 {
				t.Errorf("%d targets, %s: %v allocations", size, p.name, allocs)
			}
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range tableSizes {
		v, s := newRoutingVM(b, size)
		for _, p := range routedMessages(s) {
			b.Run(fmt.Sprintf("%s/targets=%d", p.name, size), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					v.chooseTarget(s, p.body)
				}
			})
		}
	}
}

func BenchmarkOwnerLookup(b *testing.B) {
	for _, size := range tableSizes {
		v, s := newRoutingVM(b, size)
		b.Run(fmt.Sprintf("targets=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				v.ownerOf(s.Targets[3].ID, s.Targets[3].DomainID)
			}
		})
	}
}
