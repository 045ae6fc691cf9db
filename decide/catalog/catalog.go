// Package catalog holds a VM's view of the routes and targets in the store. Changes may
// arrive in any order and more than once: every item carries the store revision of its
// last write, and an older revision never replaces a newer one.
package catalog

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/revision"
)

// Kind is whether the requests of a route may be retried.
type Kind uint8

// The kinds of requests.
const (
	Idempotent    Kind = iota // may be retried after any failure
	NonIdempotent             // must run at most once
	Download                  // idempotent, with a large response
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

// Share is the share of a service in the new flows of a route.
type Share struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"` // relative to the other shares of the route
}

// Route maps the flows to one address to services.
type Route struct {
	Name     string
	Address  flow.Endpoint
	Kind     Kind
	Priority int           // 0 is the most urgent
	Timeout  time.Duration // of a request; 0: none configured
	Latency  time.Duration // latency objective of a request; 0: none configured
	// Regions are the regions whose targets new flows may reach; empty: all.
	Regions []string
	Shares  []Share // at least one, each with a weight above 0
}

// Names reports whether new flows of the route may go to a service.
func (r *Route) Names(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service })
}

// ColdStart is how the targets of a service behave after their start.
type ColdStart struct {
	Duration time.Duration // for which a target is cold
	// RequestsPerSecond is what a cold target bears; 0: no limit is configured.
	RequestsPerSecond float64
}

// Evacuation is a request of the operators for a failure domain: while it is active, its
// targets get no new flows.
type Evacuation struct {
	Domain string
	Active bool
}

// Configuration is the complete configuration written by the operators.
type Configuration struct {
	Version  uint64 // increases with each change
	Routes   []Route
	Services []string
	// ColdStarts holds the services that have one, by name.
	ColdStarts map[string]ColdStart
	// IdleTimeout is how long a flow without packets is kept; 0: not configured.
	IdleTimeout time.Duration
}

// TargetState is the state that a target reports of itself.
type TargetState uint8

// The states of a target.
const (
	Ready    TargetState = iota
	Draining             // accepts no new flows
)

// String returns the state as it appears in logs.
func (s TargetState) String() string {
	if s == Draining {
		return "draining"
	}
	return "ready"
}

// Entry is the description of one target in the store.
type Entry struct {
	ID      string
	Number  uint64 // prefixed to forwarded packets to identify the target that is meant
	Service string
	Address flow.Endpoint
	Domain  string // failure domain
	Slots   int    // requests that it processes concurrently
	State   TargetState
	Cold    time.Duration // remaining warm-up time when the entry was written
	Born    int64         // start time in Unix milliseconds; 0: not reported
	// Seq counts the target's reports since its start.
	Seq int64
}

// Change is one write to the store, or the end of the initial read.
type Change struct {
	Revision revision.Revision
	// Exactly one of the following is set.
	Configuration *Configuration
	Target        *Entry
	// RemovedTarget is the id of a target whose entry was removed.
	RemovedTarget string
	// InvalidTarget is the id of a target whose entry is malformed, perhaps written by
	// another writer. It says nothing of the target.
	InvalidTarget string
	Evacuation    *Evacuation
	// Synced means that all changes up to Revision have been delivered.
	Synced bool
}
