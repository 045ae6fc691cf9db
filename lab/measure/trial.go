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
	// startTime is the time until a new fleet has its table and owners everywhere.
	startTime = 6 * time.Second
	// step is the resolution of arrivals and observations.
	step = time.Millisecond
	// callersPerService is the number of caller processes that share a service's flows.
	callersPerService = 32
	// openRate is the number of flows opened per second while a fleet is filled.
	openRate = 3000
	// drainLimit is the longest time that calls may need after the load has ended;
	// all time-outs are shorter.
	drainLimit = 40 * time.Second
)

// flow is one flow of a caller.
type flow struct {
	caller *fleet.Caller
	id     session.FlowID
}

// stream is calls of one kind at random times (a Poisson process).
type stream struct {
	service *Service
	kind    message.KindID
	rate    float64 // calls per second
	flows   []flow
	rng     *rand.Rand
	next    time.Duration
}

// trial is one fleet with its load.
type trial struct {
	fleet   *fleet.Fleet
	site    Site
	seed    uint64
	flows   [][]flow // by service
	streams []*stream
	killed  bool // a VM was killed
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
	t.fleet.Advance(startTime)
	return t
}

// newCaller starts a caller whose calls are counted by group.
func (t *trial) newCaller(group *tallies) *fleet.Caller {
	c := t.fleet.NewCaller()
	c.OnResult = group.count
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

// open opens flows to a service at a rate a second, shared by the callers.
func (t *trial) open(service, n int, rate float64, callers []*fleet.Caller) []flow {
	var flows []flow
	start := t.fleet.Now()
	for len(flows) < n {
		due := int(math.Ceil(rate * (t.fleet.Now() - start + step).Seconds()))
		for len(flows) < min(n, due) {
			c := callers[len(flows)%len(callers)]
			flows = append(flows, flow{caller: c, id: c.OpenFlow(t.site.Services[service].Name)})
		}
		t.fleet.Advance(step)
	}
	return flows
}

// fill opens the given number of flows a target to every service, and lets the
// fleet settle.
func (t *trial) fill(flowsPerTarget float64) *tallies {
	group := newTallies()
	for i := range t.site.Services {
		n := int(math.Round(flowsPerTarget * float64(t.site.Services[i].Targets)))
		t.flows[i] = t.open(i, max(n, 1), openRate, t.callers(callersPerService, group))
	}
	t.run(2 * time.Second)
	return group
}

// load adds streams of every kind, at a part of the site's rates.
func (t *trial) load(part float64) {
	for i := range t.site.Services {
		for k, rate := range t.site.Services[i].Rates {
			t.addStream(i, message.KindID(k), rate*part, t.flows[i])
		}
	}
}

// addStream adds a stream of calls over the given flows from now on.
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

// run advances the fleet under load.
func (t *trial) run(d time.Duration) {
	t.runUntil(d, func() bool { return false })
}

// runUntil advances the fleet under load until done says so, at most d. It
// returns the time that passed.
func (t *trial) runUntil(d time.Duration, done func() bool) time.Duration {
	start := t.fleet.Now()
	for t.fleet.Now()-start < d && !done() {
		for _, s := range t.streams {
			s.send(t.fleet.Now())
		}
		t.fleet.Advance(step)
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

// probe sends one call on every flow, paced, so that a flow that the fleet has
// lost shows. The load must have been stopped.
func (t *trial) probe(rate float64) {
	for i, flows := range t.flows {
		service := &t.site.Services[i]
		k := len(service.Kinds) - 1
		rate := min(rate, service.capacity(k)/2)
		for n, start := 0, t.fleet.Now(); n < len(flows); {
			due := int(rate * (t.fleet.Now() - start + step).Seconds())
			for ; n < min(due, len(flows)); n++ {
				flows[n].caller.Do(flows[n].id, service.Name, message.KindID(k), true, probeTimeout)
			}
			t.fleet.Advance(step)
		}
	}
}

// probeTimeout is the time-out of a probe. It is long, so that a probe that waits
// for a slot is not taken for a fault.
const probeTimeout = 30 * time.Second

// stop ends the load and waits for the calls in progress.
func (t *trial) stop() {
	t.streams = nil
	t.fleet.FinishCalls(drainLimit)
}
