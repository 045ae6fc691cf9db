package day

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/kernel"
)

const (
	operatorName = "operator"
	// probeInterval is the interval between probes of a changed route at one VM, and
	// probeDuration the time for which a change is probed.
	probeInterval = 200 * time.Millisecond
	probeDuration = 6 * time.Second
)

// routeChange records that a route was added, or removed, at a time.
type routeChange struct {
	at     time.Duration
	exists bool // it was added
}

// operator is the service "operator": it changes the configuration.
type operator struct {
	baseService
	site     *Site
	timeline *timeline
	store    *store
	fleet    *fleet
	callers  *callers

	rng             *rand.Rand
	config          catalog.Configuration
	lastRoute       int // number of the last route
	routeHistory    map[flow.Endpoint][]routeChange
	allowedServices map[flow.Endpoint]map[string]bool // services that a route has ever had
	changeCount     int
	writtenAt       time.Duration                 // of the last write that the store accepted
	evacuations     map[string]*evacuationRequest // by failure domain
}

func newOperator(site *Site) *operator {
	return &operator{
		baseService:     baseService{operatorName},
		site:            site,
		routeHistory:    make(map[flow.Endpoint][]routeChange),
		allowedServices: make(map[flow.Endpoint]map[string]bool),
		evacuations:     make(map[string]*evacuationRequest),
	}
}

// Connect implements kernel.Service.
func (o *operator) Connect(k *kernel.Kernel) error {
	if err := connect(k, &o.timeline, &o.store, &o.fleet, &o.callers); err != nil {
		return err
	}
	o.rng = o.timeline.stream(operatorName)
	return nil
}

// start writes the initial configuration: one route for each kind of request.
func (o *operator) start() {
	o.config = catalog.Configuration{Version: 1, IdleTimeout: o.site.Bounds.IdleTimeout.D(), ColdStarts: make(map[string]catalog.ColdStart)}
	for _, s := range o.site.Services {
		o.config.Services = append(o.config.Services, s.Name)
		if s.ColdPerSecond > 0 {
			o.config.ColdStarts[s.Name] = catalog.ColdStart{Duration: s.Cold.D(), RequestsPerSecond: s.ColdPerSecond}
		}
	}
	for i := range o.site.Kinds {
		k := &o.site.Kinds[i]
		o.config.Routes = append(o.config.Routes, catalog.Route{
			Name:     k.Name,
			Address:  routeAddress(i),
			Kind:     k.catalogKind(),
			Priority: k.Priority,
			Timeout:  k.Timeout.D(),
			Latency:  k.LatencyGoal.D(),
			Shares:   []catalog.Share{{Service: k.Service, Weight: 1}},
		})
	}
	o.lastRoute = len(o.site.Kinds)
	o.writeConfig()
}

// routeAddress returns the address of the route with number i.
func routeAddress(i int) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{198, 18, byte(i >> 8), byte(i)}, Port: 443}
}

// addressOf returns the address of the route of a kind of request.
func (o *operator) addressOf(k *Kind) flow.Endpoint {
	i := slices.IndexFunc(o.site.Kinds, func(other Kind) bool { return other.Name == k.Name })
	return routeAddress(i)
}

// writeConfig writes the configuration and records the added and removed routes. It
// returns false if the store is down.
func (o *operator) writeConfig() bool {
	config := o.config
	if !o.store.put(catalog.Change{Configuration: &config}) {
		return false
	}
	o.changeCount++
	now := o.timeline.now()
	o.writtenAt = now
	exists := make(map[flow.Endpoint]bool)
	for _, r := range o.config.Routes {
		exists[r.Address] = true
		if o.allowedServices[r.Address] == nil {
			o.allowedServices[r.Address] = make(map[string]bool)
		}
		for _, share := range r.Shares {
			o.allowedServices[r.Address][share.Service] = true
		}
		if !o.exists(r.Address) {
			o.routeHistory[r.Address] = append(o.routeHistory[r.Address], routeChange{now, true})
		}
	}
	for address := range o.routeHistory {
		if o.exists(address) && !exists[address] {
			o.routeHistory[address] = append(o.routeHistory[address], routeChange{now, false})
		}
	}
	return true
}

// exists reports whether a route exists in the store now.
func (o *operator) exists(address flow.Endpoint) bool {
	list := o.routeHistory[address]
	return len(list) > 0 && list[len(list)-1].exists
}

// allows reports whether a route has ever had a service.
func (o *operator) allows(address flow.Endpoint, service string) bool {
	return o.allowedServices[address][service]
}

// mayExist reports whether a VM may have a route at a time, still or already.
func (o *operator) mayExist(address flow.Endpoint, at time.Duration) bool {
	return o.hadState(address, at, true)
}

// mayBeMissing reports whether a VM may lack a route at a time, still or already.
func (o *operator) mayBeMissing(address flow.Endpoint, at time.Duration) bool {
	return o.hadState(address, at, false)
}

// hadState reports whether a route was in a state, existing or not, at any time since
// Bounds.ApplyWithin before at.
func (o *operator) hadState(address flow.Endpoint, at time.Duration, state bool) bool {
	present := false
	from := at - o.site.Bounds.ApplyWithin.D()
	for _, c := range o.routeHistory[address] {
		if c.at <= from {
			present = c.exists
			continue
		}
		if present == state {
			return true
		}
		present = c.exists
	}
	return present == state
}

// change makes one change of the configuration. Variant route adds a route and removes the
// oldest one that was added before; variant timeout changes the timeout of a route.
func (o *operator) change(variant string) {
	before := o.config
	o.config.Version += uint64(1 + o.rng.IntN(4))
	var probes []flow.Endpoint
	if variant == changeTimeout {
		o.config.Routes = slices.Clone(o.config.Routes)
		r := &o.config.Routes[o.rng.IntN(len(o.site.Kinds))]
		r.Timeout += time.Millisecond
	} else {
		probes = o.swapRoute()
	}
	if !o.writeConfig() {
		o.config = before
		return
	}
	o.probe(probes)
}

// swapRoute adds a route and removes the oldest one that was added before. It returns
// their addresses.
func (o *operator) swapRoute() []flow.Endpoint {
	routes := slices.Clone(o.config.Routes)
	added := o.newRoute()
	probes := []flow.Endpoint{added.Address}
	if kinds := len(o.site.Kinds); len(routes) > kinds {
		probes = append(probes, routes[kinds].Address)
		routes = slices.Delete(routes, kinds, kinds+1)
	}
	o.config.Routes = append(routes, added)
	return probes
}

func (o *operator) newRoute() catalog.Route {
	o.lastRoute++
	service := o.site.Services[o.lastRoute%len(o.site.Services)].Name
	return catalog.Route{
		Name:    fmt.Sprintf("route-%d", o.lastRoute),
		Address: routeAddress(o.lastRoute),
		Shares:  []catalog.Share{{Service: service, Weight: 1}},
	}
}

// addRoutes adds n routes in one change.
func (o *operator) addRoutes(n int) {
	before := o.config
	o.config.Version++
	o.config.Routes = slices.Clone(o.config.Routes)
	for range n {
		o.config.Routes = append(o.config.Routes, o.newRoute())
	}
	if !o.writeConfig() {
		o.config = before
	}
}

// probe opens flows to addresses through every ready VM, repeatedly for probeDuration.
func (o *operator) probe(addresses []flow.Endpoint) {
	if len(addresses) == 0 {
		return
	}
	until := o.timeline.now() + probeDuration
	o.timeline.every(probeInterval, func() bool {
		for _, v := range o.fleet.vms {
			if !v.isReady() {
				continue
			}
			for _, address := range addresses {
				o.callers.probe(v, address)
			}
		}
		return o.timeline.now() < until
	})
}
