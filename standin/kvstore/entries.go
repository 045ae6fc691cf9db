package kvstore

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/store"
)

// Route is a route of the operator's configuration.
type Route struct {
	Name          string
	Address       netip.AddrPort
	NonIdempotent bool // its requests are executed at most once
	Service       string
}

// Configuration is the whole configuration that the operator writes to the store.
type Configuration struct {
	Version     int
	Routes      []Route
	Services    []string
	IdleTimeout time.Duration
	ColdStarts  map[string]ColdStart // by service
}

// ColdStart says how the targets of a service behave after their start.
type ColdStart struct {
	Duration          time.Duration
	RequestsPerSecond float64 // that a cold target bears
}

// Put returns the put that stores the configuration.
func (c Configuration) Put() store.Put {
	type route struct {
		Name    string `json:"name"`
		Host    string `json:"host"`
		Prefix  string `json:"prefix"`
		Kind    string `json:"route_type"`
		Service string `json:"service"`
	}
	type service struct {
		Name          string  `json:"name"`
		ColdSeconds   float64 `json:"cold_start_s"`
		ColdPerSecond float64 `json:"cold_per_s"`
	}
	var document struct {
		Version  int       `json:"version"`
		Routes   []route   `json:"routes"`
		Services []service `json:"services"`
		Limits   struct {
			Idle int64 `json:"idle_timeout_ms"`
		} `json:"limits"`
	}
	document.Version = c.Version
	document.Limits.Idle = c.IdleTimeout.Milliseconds()
	for _, r := range c.Routes {
		kind := "safe"
		if r.NonIdempotent {
			kind = "unsafe"
		}
		document.Routes = append(document.Routes, route{
			Name: r.Name, Host: r.Address.Addr().String(), Prefix: fmt.Sprintf("/%d/", r.Address.Port()),
			Kind: kind, Service: r.Service,
		})
	}
	for _, name := range c.Services {
		cold := c.ColdStarts[name]
		document.Services = append(document.Services, service{name, cold.Duration.Seconds(), cold.RequestsPerSecond})
	}
	return store.Put{Key: "op/config", Value: mustMarshal(document)}
}

// Target is the entry of a target, which the target itself writes to the store.
type Target struct {
	ID       string
	Service  string
	Address  netip.AddrPort
	Domain   string // failure domain
	Slots    int    // concurrent requests
	Draining bool
	Cold     time.Duration // remaining warm-up time
	Born     int64         // start in Unix milliseconds; 0: not reported
}

// Put returns the put that stores the target's entry.
func (t Target) Put() store.Put {
	state := "ready"
	if t.Draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": t.Service, "address": t.Address.String(), "zone": t.Domain, "version": "v1",
		"slots": t.Slots, "state": state, "cold_remaining_ms": t.Cold.Milliseconds(), "seq_no": 1,
	}
	if t.Born > 0 {
		entry["born"] = t.Born
	}
	return store.Put{Key: t.key(), Value: mustMarshal(entry)}
}

// Delete returns the key to delete to remove the entry.
func (t Target) Delete() string { return t.key() }

func (t Target) key() string { return "servers/" + t.ID }

// mustMarshal returns v as JSON. It panics on an error, which no value of this package causes.
func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
