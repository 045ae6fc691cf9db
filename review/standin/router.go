package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// probeInterval is the interval of the routers' readiness probes: twice per second.
const probeInterval = 500 * time.Millisecond

// router stands for the platform's routers of one zone, with the hash scheme "steady".
type router struct {
	datagramPort uint16
	record       *record
	stop         chan struct{}

	mu    sync.Mutex
	nodes []*node
}

// nodeOf returns the node for a flow: by rendezvous hashing over the nodes in rotation,
// or over all of the zone's if fewer than half are.
func (r *router) nodeOf(key flowKey) *node { return r.nodeWithout(key, nil) }

// nodeWithout returns the node for a flow if one node were not in rotation.
func (r *router) nodeWithout(key flowKey, without *node) *node {
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := make([]*node, 0, len(r.nodes))
	for _, n := range r.nodes {
		if n.inRotation && n != without {
			candidates = append(candidates, n)
		}
	}
	if 2*len(candidates) < len(r.nodes) {
		candidates = r.nodes
	}
	var best *node
	var bestScore uint64
	for _, n := range candidates {
		h := fnv.New64a()
		fmt.Fprint(h, n.name, key.consumer, key.route)
		if score := mix(h.Sum64()); best == nil || score > bestScore {
			best, bestScore = n, score
		}
	}
	return best
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// probe probes a node twice per second until the router is stopped.
func (r *router) probe(n *node, address netip.AddrPort) {
	const timeout = 450 * time.Millisecond
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for misses := 0; ; {
		response, err := client.Get("http://" + address.String() + "/-/readiness")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			response.Body.Close()
		}
		if misses++; ok {
			misses = 0
		}
		r.mu.Lock()
		before := n.inRotation
		switch {
		case ok:
			n.inRotation = true
		case misses >= 2:
			n.inRotation = false
		}
		if n.inRotation != before {
			r.record.add("router: %s in rotation: %v", n.name, n.inRotation)
		}
		r.mu.Unlock()
		select {
		case <-ticker.C:
		case <-r.stop:
			return
		}
	}
}

// rotation returns the number of nodes in rotation.
func (r *router) rotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, n := range r.nodes {
		if n.inRotation {
			count++
		}
	}
	return count
}

func (r *router) contains(n *node) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return n.inRotation
}
