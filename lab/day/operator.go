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
	// probeInterval is the time between two probes of a changed route at one VM, and
	// probeFor how long a change is probed.
	probeInterval = 200 * time.Millisecond
	probeFor      = 6 * time.Second
)

// routeChange is the time at which a route began or ceased to exist.
type routeChange struct {
	at     time.Duration
	exists bool
}

// operator is the service "operator": it changes the configuration.
type operator struct {
	part
	site     *Site
	timeline *timeline
	store    *store
	fleet    *fleet
	callers  *callers

	rng     *rand.Rand
	config  catalog.Configuration
	next    int // number of the next route
	changes map[flow.Endpoint][]routeChange
	allowed map[flow.Endpoint]map[string]bool // services that a route ever had
	changed int
}

func newOperator(site *Site) *operator {
	return &operator{
		part:    part{operatorName},
		site:    site,
		changes: make(map[flow.Endpoint][]routeChange),
		allowed: make(map[flow.Endpoint]map[string]bool),
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

// start writes the first configuration: one route for each kind of request.
func (o *operator) start() {
	o.config = catalog.Configuration{Version: 1, IdleTimeout: o.site.Bounds.IdleTimeout.D()}
	for _, s := range o.site.Services {
		o.config.Services = append(o.config.Services, s.Name)
	}
	for i := range o.site.Kinds {
		k := &o.site.Kinds[i]
		o.config.Routes = append(o.config.Routes, catalog.Route{
			Name:     k.Name,
			Address:  endpointOf(i),
			Kind:     k.kind(),
			Priority: k.Priority,
			Timeout:  k.Timeout.D(),
			Latency:  k.LatencyGoal.D(),
			Shares:   []catalog.Share{{Service: k.Service, Weight: 1}},
		})
	}
	o.next = len(o.site.Kinds)
	o.write()
}

// endpointOf returns the address of the route with a number.
func endpointOf(i int) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{198, 18, byte(i >> 8), byte(i)}, Port: 443}
}

// addressOf returns the address of a kind of request.
func (o *operator) addressOf(k *Kind) flow.Endpoint {
	i := slices.IndexFunc(o.site.Kinds, func(other Kind) bool { return other.Name == k.Name })
	return endpointOf(i)
}

// write writes the configuration, and notes which routes exist from now on.
func (o *operator) write() bool {
	config := o.config
	if !o.store.put(catalog.Change{Configuration: &config}) {
		return false
	}
	o.changed++
	now := o.timeline.now()
	exists := make(map[flow.Endpoint]bool)
	for _, r := range o.config.Routes {
		exists[r.Address] = true
		if o.allowed[r.Address] == nil {
			o.allowed[r.Address] = make(map[string]bool)
		}
		for _, share := range r.Shares {
			o.allowed[r.Address][share.Service] = true
		}
		if !o.exists(r.Address) {
			o.changes[r.Address] = append(o.changes[r.Address], routeChange{now, true})
		}
	}
	for address := range o.changes {
		if o.exists(address) && !exists[address] {
			o.changes[address] = append(o.changes[address], routeChange{now, false})
		}
	}
	return true
}

// exists reports whether a route exists now.
func (o *operator) exists(address flow.Endpoint) bool {
	list := o.changes[address]
	return len(list) > 0 && list[len(list)-1].exists
}

// allows reports whether a route ever led to a service.
func (o *operator) allows(address flow.Endpoint, service string) bool {
	return o.allowed[address][service]
}

// couldExist reports whether a VM may still, or already, know a route at a time.
func (o *operator) couldExist(address flow.Endpoint, at time.Duration) bool {
	return o.could(address, at, true)
}

// couldBeMissing reports whether a VM may still, or already, not know a route.
func (o *operator) couldBeMissing(address flow.Endpoint, at time.Duration) bool {
	return o.could(address, at, false)
}

// could reports whether a route was in a state at any time within the bound of
// changes before at, or since.
func (o *operator) could(address flow.Endpoint, at time.Duration, state bool) bool {
	present := false
	from := at - o.site.Bounds.ApplyWithin.D()
	for _, c := range o.changes[address] {
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

// change makes one change. how is route (one more, and the oldest added one less)
// or timeout.
func (o *operator) change(how string) {
	before := o.config
	o.config.Version += uint64(1 + o.rng.IntN(4))
	var probes []flow.Endpoint
	if how == changeTimeout {
		o.config.Routes = slices.Clone(o.config.Routes)
		r := &o.config.Routes[o.rng.IntN(len(o.site.Kinds))]
		r.Timeout += time.Millisecond
	} else {
		probes = o.swapRoute()
	}
	if !o.write() {
		o.config = before
		return
	}
	o.probe(probes)
}

// swapRoute adds a route and removes the oldest that was added before. It returns
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
	o.next++
	service := o.site.Services[o.next%len(o.site.Services)].Name
	return catalog.Route{
		Name:    fmt.Sprintf("route-%d", o.next),
		Address: endpointOf(o.next),
		Shares:  []catalog.Share{{Service: service, Weight: 1}},
	}
}

// grow adds many routes at once.
func (o *operator) grow(n int) {
	before := o.config
	o.config.Version++
	o.config.Routes = slices.Clone(o.config.Routes)
	for range n {
		o.config.Routes = append(o.config.Routes, o.newRoute())
	}
	if !o.write() {
		o.config = before
	}
}

// probe opens flows to addresses through every VM for a while.
func (o *operator) probe(addresses []flow.Endpoint) {
	if len(addresses) == 0 {
		return
	}
	till := o.timeline.now() + probeFor
	o.timeline.every(probeInterval, func() bool {
		for _, v := range o.fleet.vms {
			if !v.isReady() {
				continue
			}
			for _, address := range addresses {
				o.callers.probe(v, address)
			}
		}
		return o.timeline.now() < till
	})
}
