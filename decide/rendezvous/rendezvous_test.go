package rendezvous

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// node is one test node.
type node struct {
	id     uint64
	weight uint32
}

func top(dst []Ranked, key uint64, nodes []node) []Ranked {
	return Top(dst, key, len(nodes), func(i int) (uint64, uint32) { return nodes[i].id, nodes[i].weight })
}

func owners(keys int, nodes []node) []int {
	rng := rand.New(rand.NewPCG(1, 2))
	out := make([]int, keys)
	for i := range out {
		var dst [1]Ranked
		out[i] = top(dst[:], rng.Uint64(), nodes)[0].Index
	}
	return out
}

var weighted = []node{{11, 1}, {22, 2}, {33, 3}, {44, 0}, {55, 4}}

// Guards against shares of keys that are not proportional to the weights, and against
// nodes of weight 0 that get keys.
func TestSharesFollowWeights(t *testing.T) {
	const keys = 100_000
	counts := make([]int, len(weighted))
	for _, owner := range owners(keys, weighted) {
		counts[owner]++
	}
	for i, n := range weighted {
		want := keys * float64(n.weight) / 10
		// Five standard deviations of a binomial count.
		if tolerance := 5 * math.Sqrt(want); math.Abs(float64(counts[i])-want) > tolerance {
			t.Errorf("node %d of weight %d got %d keys, want %.0f", n.id, n.weight, counts[i], want)
		}
	}
}

// Guards against a change of one node that moves keys between the others.
func TestChangesMoveOnlyTheirOwnKeys(t *testing.T) {
	const keys = 20_000
	before := owners(keys, weighted)
	cases := []struct {
		name    string
		weight  uint32
		allowed func(from, to int) bool
	}{
		{"node removed", 0, func(from, _ int) bool { return from == 2 }},
		{"weight lowered", 1, func(from, _ int) bool { return from == 2 }},
		{"weight raised", 9, func(_, to int) bool { return to == 2 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			changed := append([]node(nil), weighted...)
			changed[2].weight = c.weight
			moved := 0
			for i, owner := range owners(keys, changed) {
				if owner == before[i] {
					continue
				}
				moved++
				if !c.allowed(before[i], owner) {
					t.Fatalf("a key moved from node %d to node %d", before[i], owner)
				}
			}
			if moved == 0 {
				t.Fatal("no key moved")
			}
		})
	}
}

// Guards against a ranking that is not sorted, contains a node twice, or differs from
// a shorter ranking of the same key.
func TestTopIsAPrefixOfTheWholeRanking(t *testing.T) {
	is := is.New(t)
	for key := range uint64(500) {
		var all [5]Ranked
		var two [2]Ranked
		whole := top(all[:], key, weighted)
		is.Equal(len(whole), 4) // without the node of weight 0
		is.Equal(whole[:2], top(two[:], key, weighted))
		seen := make(map[int]bool)
		for i, r := range whole {
			is.True(!seen[r.Index])
			seen[r.Index] = true
			is.True(i == 0 || whole[i-1].Score >= r.Score)
		}
	}
}
