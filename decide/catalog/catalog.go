// Package catalog holds a VM's view of routes and targets. The view only moves
// forward: each part carries the revision of its last write in the store, and an
// older one never replaces a newer one.
package catalog

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// Kind says how the requests of a route may be repeated.
type Kind uint8

// The kinds of requests.
const (
	Idempotent    Kind = iota // may be repeated after any failure
	NonIdempotent             // runs at most once
	Download                  // idempotent, with a large answer
)

// String returns the kind as it appears in logs.
func (k Kind) String() string {
	switch k {
	case NonIdempotent:
		return "non_idempotent"
	case Download:
		return "download"
	default:
		return "idempotent"
	}
}

// Share is a service's part of a route's new flows.
type Share struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"` // relative to the route's other shares
}

// Route says where the flows of one address go.
type Route struct {
	Name     string
	Address  flow.Endpoint
	Kind     Kind
	Priority int           // 0 is the most urgent
	Timeout  time.Duration // of a request; 0: not stated
	Latency  time.Duration // latency objective; 0: not stated
	Shares   []Share       // at least one, each of a weight above 0
}

// Configuration is what the operators have set, in full.
type Configuration struct {
	Version  uint64 // rises with each change
	Routes   []Route
	Services []string
	// IdleTimeout is the age at which a flow without packets may be discarded.
	IdleTimeout time.Duration
}

// TargetState is what a target says of itself.
type TargetState uint8

// The states of a target.
const (
	Ready    TargetState = iota
	Draining             // takes no new flows
)

// String returns the state as it appears in logs.
func (s TargetState) String() string {
	if s == Draining {
		return "draining"
	}
	return "ready"
}

// Entry is the description of one target.
type Entry struct {
	ID      string
	Number  uint64 // by which the target recognises packets that are meant for it
	Service string
	Address flow.Endpoint
	Domain  string // failure domain
	Slots   int    // requests that it processes at the same time
	State   TargetState
	Cold    time.Duration // how long it stays slow after its start
	Born    int64         // start, in Unix milliseconds; 0: not stated
}

// Change is one write in the store.
type Change struct {
	Revision int64
	// Exactly one of the following is set.
	Configuration *Configuration
	Target        *Entry
	// Gone is the id of a target whose entry was removed or can't be used.
	Gone string
	// Synced means that everything up to Revision was handed over.
	Synced bool
}
