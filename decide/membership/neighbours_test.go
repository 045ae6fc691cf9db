package membership

import (
	"testing"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

// randomFleet returns random members in domains of uneven sizes.
func randomFleet(seed uint64) []message.Member {
	n := 2 + int(rendezvous.Mix(seed, 1)%150)
	domains := 1 + int(rendezvous.Mix(seed, 2)%8)
	all := make([]message.Member, n)
	for i := range all {
		all[i] = simMember(int(rendezvous.Mix(seed, uint64(i)+9)%1_000_000), 1)
		draw := rendezvous.Mix(seed, uint64(i)+1e6) % uint64(domains*domains)
		all[i].Domain = message.DomainID(draw % (draw/uint64(domains) + 1))
	}
	return all
}

// neighbourGraph returns the neighbours that each member chooses when all know all.
func neighbourGraph(all []message.Member) map[message.VMID][]message.Member {
	edges := make(map[message.VMID][]message.Member)
	for _, self := range all {
		v := New(Config{Self: self}, 1, 0)
		v.Receive(0, message.Message{Body: &message.Members{All: all}})
		v.reselect(0)
		for _, n := range v.neighbours {
			edges[self.ID] = append(edges[self.ID], n.record.member)
		}
	}
	return edges
}

// countConnected returns the number of members that are connected to the first one,
// itself included, by undirected links between members that are not in dead.
func countConnected(all []message.Member, edges map[message.VMID][]message.Member, dead map[message.VMID]bool) int {
	links := make(map[message.VMID][]message.VMID)
	for from, list := range edges {
		for _, to := range list {
			if !dead[from] && !dead[to.ID] {
				links[from] = append(links[from], to.ID)
				links[to.ID] = append(links[to.ID], from)
			}
		}
	}
	start := all[0].ID
	seen := map[message.VMID]bool{start: true}
	for pending := []message.VMID{start}; len(pending) > 0; pending = pending[1:] {
		for _, next := range links[pending[0]] {
			if !seen[next] {
				seen[next] = true
				pending = append(pending, next)
			}
		}
	}
	return len(seen)
}

// Guards against members that no other member probes, and against a neighbour graph
// that is not connected, initially or after a fifth of the members died at once.
func TestNeighbourGraph(t *testing.T) {
	splitGraphs := 0
	const trials = 60
	for seed := range uint64(trials) {
		all := randomFleet(seed)
		edges := neighbourGraph(all)
		probed := make(map[message.VMID]int)
		for from, list := range edges {
			for _, to := range list {
				probed[to.ID]++
			}
			if len(list) > 6 {
				t.Fatalf("seed %d: member %x has %d neighbours", seed, from, len(list))
			}
		}
		for _, m := range all {
			if probed[m.ID] == 0 {
				t.Errorf("seed %d: no member probes %s", seed, m.Name)
			}
		}
		if got := countConnected(all, edges, nil); got != len(edges) {
			t.Errorf("seed %d: %d of %d members are connected", seed, got, len(edges))
		}
		dead := make(map[message.VMID]bool)
		for i := range len(all) / 5 {
			dead[all[len(all)-1-i].ID] = true
		}
		if countConnected(all, edges, dead) != len(edges)-len(dead) {
			splitGraphs++
		}
	}
	t.Logf("%d of %d graphs were not connected before new neighbours were chosen", splitGraphs, trials)
	if splitGraphs > trials/20 {
		t.Errorf("%d of %d graphs were not connected after a fifth of the members died", splitGraphs, trials)
	}
}

// Guards against gossip that does not leave a failure domain.
func TestNeighboursInTwoOtherDomains(t *testing.T) {
	all := make([]message.Member, 80)
	for i := range all {
		all[i] = simMember(i, 8)
	}
	for from, list := range neighbourGraph(all) {
		domains := make(map[message.DomainID]bool)
		for _, m := range list {
			domains[m.Domain] = true
		}
		if len(domains) < 3 {
			t.Errorf("member %x has neighbours in %d domains only", from, len(domains))
		}
	}
}
