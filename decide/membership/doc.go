// Package membership maintains one VM's view of the live VMs of the fleet.
//
// It follows SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: scalable weakly-
// consistent infection-style process group membership protocol", DSN 2002):
// failures are detected by probing, changes are gossiped on the probes, and a
// member refutes a false suspicion with a higher incarnation. It differs from
// SWIM in that each VM sends heartbeats to a fixed set of neighbours chosen by
// ring order and rendezvous hashing, so a connection per neighbour can stay open.
// The loss of a whole failure domain is detected by direct probes instead of
// gossip of each death, and digests of each domain repair what gossip missed.
//
// The package uses no clock, random source, I/O or goroutines. Times are
// durations since start.
package membership
