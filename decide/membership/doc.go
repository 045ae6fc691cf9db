// Package membership is one VM's view of the live VMs.
//
// It follows SWIM (A. Das, I. Gupta, A. Motivala, "SWIM: scalable weakly-
// consistent infection-style process group membership protocol", DSN 2002):
// failures are found by probing, changes are gossiped on the probes, and a
// member refutes a false suspicion with a higher incarnation. It differs from
// SWIM in that each VM sends heartbeats to a fixed set of neighbours chosen by
// ring order and rendezvous hashing, so a connection per neighbour can stay open.
//
// The package has no clock, randomness, I/O or goroutines. Times are durations
// since start.
package membership
