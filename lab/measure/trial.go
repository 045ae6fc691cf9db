package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/lab/fleet"
)

const (
	// startupTime is the time after which every VM of a new fleet has the table and every
	// target an owner.
	startupTime = 6 * time.Second
	// stepInterval is the resolution of arrivals and observations.
	stepInterval = time.Millisecond
	// callersPerService is the number of callers over which a service's flows are spread.
	callersPerService = 32
	// openRate is the number of flows opened per second while a fleet is filled.
	openRate = 3000
	// maxCallTime is the time that calls are given to end after the load has stopped. All
	// timeouts are shorter.
	maxCallTime = 40 * time.Second
)

// flow is one flow of a caller.
type flow struct {
	caller *fleet.Caller
	id     session.FlowID
}

// stream sends calls of one kind at the arrival times of a Poisson process.
type stream struct {
	service *Service
	kind    message.KindID
	rate    float64 // calls per second
	flows   []flow
	rng     *rand.Rand
	next    time.Duration
}

// trial is a fleet with its load.
type trial struct {
	fleet    *fleet.Fleet
	site     Site
	seed     uint64
	flows    [][]flow // by service
	streams  []*stream
	vmKilled bool
}

// newTrial starts a fleet with the site's services and VMs, without flows.
func newTrial(site Site, seed uint64, vms int) *trial {
	t := &trial{
		fleet: fleet.New(site.options(seed)),
		site:  site,
		seed:  seed,
		flows: make([][]flow, len(site.Services)),
	}
	for i := range site.Services {
		t.fleet.AddService(site.Services[i].ServiceSpec)
	}
	t.fleet.StartVMs(vms)
	t.fleet.Advance(startupTime)
	return t
}

// newCaller starts a caller whose calls are counted by group.
func (t *trial) newCaller(group *tallies) *fleet.Caller {
	c := t.fleet.NewCaller()
	c.OnResult = group.record
	return c
}

// callers starts n callers whose calls are counted by group.
func (t *trial) callers(n int, group *tallies) []*fleet.Caller {
	var all []*fleet.Caller
	for range n {
		all = append(all, t.newCaller(group))
	}
	return all
}

// open opens n flows to a service at a rate per second, spread over the callers.
func (t *trial) open(service, n int, rate float64, callers []*fleet.Caller) []flow {
	var flows []flow
	start := t.fleet.Now()
	for len(flows) < n {
		due := int(math.Ceil(rate * (t.fleet.Now() - start + stepInterval).Seconds()))
		for len(flows) < min(n, due) {
			c := callers[len(flows)%len(callers)]
			flows = append(flows, flow{caller: c, id: c.OpenFlow(t.site.Services[service].Name)})
		}
		t.fleet.Advance(stepInterval)
	}
	return flows
}

// fill opens flowsPerTarget flows per target to every service and waits until the fleet has
// settled. It returns the counts of the calls on these flows.
func (t *trial) fill(flowsPerTarget float64) *tallies {
	group := newTallies()
	for i := range t.site.Services {
		n := int(math.Round(flowsPerTarget * float64(t.site.Services[i].Targets)))
		t.flows[i] = t.open(i, max(n, 1), openRate, t.callers(callersPerService, group))
	}
	t.run(2 * time.Second)
	return group
}

// addLoad adds a stream for every kind, at a fraction of the site's rates.
func (t *trial) addLoad(part float64) {
	for i := range t.site.Services {
		for k, rate := range t.site.Services[i].Rates {
			t.addStream(i, message.KindID(k), rate*part, t.flows[i])
		}
	}
}

// addStream adds a stream of calls on the given flows from now on.
func (t *trial) addStream(service int, kind message.KindID, rate float64, flows []flow) *stream {
	s := &stream{
		service: &t.site.Services[service],
		kind:    kind,
		rate:    rate,
		flows:   flows,
		rng:     rand.New(rand.NewPCG(t.seed, uint64(len(t.streams))+100)),
		next:    t.fleet.Now(),
	}
	s.schedule()
	t.streams = append(t.streams, s)
	return s
}

func (s *stream) schedule() {
	s.next += time.Duration(s.rng.ExpFloat64() / s.rate * float64(time.Second))
}

// run advances the fleet under load by d.
func (t *trial) run(d time.Duration) {
	t.runUntil(d, func() bool { return false })
}

// runUntil advances the fleet under load until done returns true, at most by d. It returns the
// elapsed virtual time.
func (t *trial) runUntil(d time.Duration, done func() bool) time.Duration {
	start := t.fleet.Now()
	for t.fleet.Now()-start < d && !done() {
		for _, s := range t.streams {
			s.send(t.fleet.Now())
		}
		t.fleet.Advance(stepInterval)
	}
	return t.fleet.Now() - start
}

// send starts the calls that are due.
func (s *stream) send(now time.Duration) {
	for s.next <= now {
		f := s.flows[s.rng.IntN(len(s.flows))]
		k := &s.service.Kinds[s.kind]
		f.caller.Do(f.id, s.service.Name, s.kind, k.Idempotent, k.Timeout)
		s.schedule()
	}
}

// probe sends a call on every flow, at most at a rate per second, so that callers detect the
// flows that the fleet has lost. The load must have been stopped.
func (t *trial) probe(rate float64) {
	for i, flows := range t.flows {
		service := &t.site.Services[i]
		k := len(service.Kinds) - 1
		rate := min(rate, service.capacity(k)/2)
		for n, start := 0, t.fleet.Now(); n < len(flows); {
			due := int(rate * (t.fleet.Now() - start + stepInterval).Seconds())
			for ; n < min(due, len(flows)); n++ {
				flows[n].caller.Do(flows[n].id, service.Name, message.KindID(k), true, probeTimeout)
			}
			t.fleet.Advance(stepInterval)
		}
	}
}

// probeTimeout is the timeout of a probe. It is long, so that a probe that only waits for a
// slot does not fail.
const probeTimeout = 30 * time.Second

// stopLoad stops the load and waits for the calls in progress.
func (t *trial) stopLoad() {
	t.streams = nil
	t.fleet.FinishCalls(maxCallTime)
}
