package membership

import (
	"testing"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

// fleet returns random members in domains of uneven sizes.
func fleet(seed uint64) []message.Member {
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

// graph returns the neighbours that each member chooses when all know all.
func graph(all []message.Member) map[message.VMID][]message.Member {
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

// reached returns how many members undirected links connect with the first one,
// without those that dead holds and without links that keep refuses.
func reached(all []message.Member, edges map[message.VMID][]message.Member, dead map[message.VMID]bool) int {
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
	for todo := []message.VMID{start}; len(todo) > 0; todo = todo[1:] {
		for _, next := range links[todo[0]] {
			if !seen[next] {
				seen[next] = true
				todo = append(todo, next)
			}
		}
	}
	return len(seen)
}

// Guards against members that nobody probes, and against groups of members that
// no gossip leaves. A fifth of the members die at once in the second check.
func TestNeighbourGraph(t *testing.T) {
	split := 0
	const trials = 60
	for seed := range uint64(trials) {
		all := fleet(seed)
		edges := graph(all)
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
		if got := reached(all, edges, nil); got != len(edges) {
			t.Errorf("seed %d: %d of %d members are connected", seed, got, len(edges))
		}
		dead := make(map[message.VMID]bool)
		for i := range len(all) / 5 {
			dead[all[len(all)-1-i].ID] = true
		}
		if reached(all, edges, dead) != len(edges)-len(dead) {
			split++
		}
	}
	t.Logf("%d of %d graphs fell apart before new neighbours were chosen", split, trials)
	if split > trials/20 {
		t.Errorf("%d of %d graphs fell apart when a fifth of the members died", split, trials)
	}
}

// Guards against gossip that stays in one failure domain.
func TestNeighboursInTwoOtherDomains(t *testing.T) {
	all := make([]message.Member, 80)
	for i := range all {
		all[i] = simMember(i, 8)
	}
	for from, list := range graph(all) {
		domains := make(map[message.DomainID]bool)
		for _, m := range list {
			domains[m.Domain] = true
		}
		if len(domains) < 3 {
			t.Errorf("member %x has neighbours in %d domains only", from, len(domains))
		}
	}
}
