// Package rendezvous implements weighted rendezvous hashing.
//
// The score of a node for a key depends only on the key, the node and the node's
// weight; a key belongs to the node with the highest score. Removing a node moves only
// its own keys; a change of weight moves the smallest possible share of keys.
//
// Sources: D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit
// rates", IEEE/ACM Transactions on Networking, 1998. The weighted score
// -w/ln(u) is by J. Resch and others, "New hashing algorithms for data
// storage", SNIA SDC 2015.
package rendezvous

import "math"

// Score returns the score of a node for a key. Scores of nodes with weight 0
// are 0; all others are positive.
func Score(key, node uint64, weight uint32) float64 {
	if weight == 0 {
		return 0
	}
	return -float64(weight) / math.Log(unit(Mix(key, node)))
}

// Mix combines two 64-bit values into one that is uniform in each of them. It
// applies the finalizer of SplitMix64 (G. Steele, D. Lea, C. Flood, "Fast
// splittable pseudorandom number generators", OOPSLA 2014) twice.
func Mix(a, b uint64) uint64 {
	return finalize(finalize(a) ^ b)
}

func finalize(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// unit maps a hash to the open interval (0, 1).
func unit(h uint64) float64 {
	const mantissaBits = 53
	return (float64(h>>(64-mantissaBits)) + 0.5) / (1 << mantissaBits)
}

// Ranked is a node in a ranking.
type Ranked struct {
	Index int // position of the node in the caller's list
	Score float64
}

// Top writes the best nodes for key into dst, best first, and returns the
// filled part. There are n nodes; node returns the id and weight of the i-th.
// Nodes of weight 0 are omitted. It does not allocate; its cost is O(n * len(dst)).
func Top(dst []Ranked, key uint64, n int, node func(i int) (id uint64, weight uint32)) []Ranked {
	size := 0
	for i := range n {
		id, weight := node(i)
		score := Score(key, id, weight)
		if score <= 0 {
			continue
		}
		size = insert(dst, size, Ranked{Index: i, Score: score})
	}
	return dst[:size]
}

// insert keeps dst[:size] sorted by descending score and returns its new size.
func insert(dst []Ranked, size int, r Ranked) int {
	if size == len(dst) && dst[size-1].Score >= r.Score {
		return size
	}
	if size < len(dst) {
		size++
	}
	i := size - 1
	for i > 0 && dst[i-1].Score < r.Score {
		dst[i] = dst[i-1]
		i--
	}
	dst[i] = r
	return size
}
