package kvstore

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/store"
)

// Route is a route as the operator writes it.
type Route struct {
	Name          string
	Address       netip.AddrPort
	NonIdempotent bool // its requests run at most once
	Service       string
}

// Configuration is what the operator writes, in full.
type Configuration struct {
	Version     int
	Routes      []Route
	Services    []string
	IdleTimeout time.Duration
}

// Put returns the write of the configuration.
func (c Configuration) Put() store.Put {
	type route struct {
		Name    string `json:"name"`
		Host    string `json:"host"`
		Prefix  string `json:"prefix"`
		Kind    string `json:"route_type"`
		Service string `json:"service"`
	}
	type service struct {
		Name string `json:"name"`
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
		document.Services = append(document.Services, service{name})
	}
	return store.Put{Key: "op/config", Value: encode(document)}
}

// Target is a target as its own entry describes it.
type Target struct {
	ID       string
	Service  string
	Address  netip.AddrPort
	Domain   string
	Slots    int
	Draining bool
}

// Put returns the write of the target's entry.
func (t Target) Put() store.Put {
	state := "ready"
	if t.Draining {
		state = "draining"
	}
	return store.Put{Key: t.key(), Value: encode(map[string]any{
		"service": t.Service, "address": t.Address.String(), "zone": t.Domain, "version": "v1",
		"slots": t.Slots, "state": state, "cold_remaining_ms": 0, "seq_no": 1,
	})}
}

// Delete returns the key whose deletion removes the entry.
func (t Target) Delete() string { return t.key() }

func (t Target) key() string { return "servers/" + t.ID }

// encode encodes a value of this package, which always can be encoded.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
