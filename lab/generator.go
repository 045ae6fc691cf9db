package lab

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumspan/gypsumspan/caller"
	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
)

const (
	// maxOutstanding is the number of calls in progress, and the capacity of the
	// ring for their results, which therefore never overflows.
	maxOutstanding = 1 << 16
	// openedCapacity is the number of opened flows that may wait.
	openedCapacity = 1 << 18
	// stepBatch bounds the work of one step.
	stepBatch = 256
)

// generatorPhase is what the generator does now.
type generatorPhase uint8

const (
	phaseOpening generatorPhase = iota
	phaseRunning
	phaseDraining
	phaseDone
)

// generator is the kernel service that makes the load.
type generator struct {
	workload *Workload
	seed     uint64
	run      uint64 // in every payload; tells runs apart
	duration time.Duration
	clock    *kernel.Kernel
	sessions *caller.SessionService
	gate     *kernel.Gate
	opened   *kernel.Ring[openedFlow]
	results  *kernel.Ring[endedCall]

	phase       generatorPhase
	opens       *arrivals
	unopened    []int // service of each flow that is not asked for yet
	services    []*flowSet
	streams     []*stream
	rng         *rand.Rand
	endsAt      time.Duration
	lastCall    uint64
	outstanding int
	records     map[uint64]*record     // by xxHash64 of the payload
	busy        map[session.FlowID]int // calls in progress
	impacts     *impacts
	openTimeout time.Duration
	openEnds    time.Duration
	err         error // why the load was not made; valid after done
	done        chan struct{}
}

// stream is the load of one kind.
type stream struct {
	service  int
	kind     message.KindID
	spec     *Kind
	arrivals *arrivals
	tally    *tally
}

type openedFlow struct {
	service int
	flow    session.FlowID
}

type endedCall struct {
	stream    *stream
	record    *record
	payload   []byte
	scheduled time.Duration
	at        time.Duration
	result    session.Result
}

// newGenerator returns the service "lab.load".
func newGenerator(o LoadOptions, run uint64) *generator {
	w := o.Workload
	g := &generator{
		workload: w, seed: o.Seed, run: run, duration: o.Duration, openTimeout: o.OpenTimeout,
		opens:   newArrivals(cmp.Or(o.OpenRate, w.OpenRate*w.Scale), o.Seed, 0),
		rng:     rand.New(rand.NewPCG(o.Seed, 1)),
		records: make(map[uint64]*record),
		busy:    make(map[session.FlowID]int),
		impacts: newImpacts(o.Targets, o.Duration),
		done:    make(chan struct{}),
	}
	for i := range w.Services {
		s := &w.Services[i]
		set := newFlowSet(w.flows(s), s.Churn*w.Scale, o.Seed, i)
		g.services = append(g.services, set)
		for range set.wanted {
			g.unopened = append(g.unopened, i)
		}
		g.addStreams(i, s, o.Floods)
	}
	g.rng.Shuffle(len(g.unopened), func(i, j int) { g.unopened[i], g.unopened[j] = g.unopened[j], g.unopened[i] })
	return g
}

// addStreams multiplies the rate of a kind by its factor in floods.
func (g *generator) addStreams(index int, s *Service, floods map[string]float64) {
	for j := range s.Kinds {
		k := &s.Kinds[j]
		rate := k.Rate * g.workload.Scale
		if factor, ok := floods[s.Name+"/"+k.Name]; ok {
			rate *= factor
		}
		g.streams = append(g.streams, &stream{
			service: index, kind: message.KindID(j), spec: k, tally: newTally(),
			arrivals: newArrivals(rate, g.seed, uint64(2+len(g.streams))),
		})
	}
}

// Name implements kernel.Service.
func (g *generator) Name() string { return "lab.load" }

// Dependencies implements kernel.Service.
func (g *generator) Dependencies() []string { return []string{caller.SessionName} }

// Setup implements kernel.Service.
func (g *generator) Setup(k *kernel.Kernel) error {
	g.clock = k
	g.gate = kernel.NewGate()
	g.opened = kernel.NewRing[openedFlow](k, "lab.opened", openedCapacity, kernel.Refuse, g.gate)
	g.results = kernel.NewRing[endedCall](k, "lab.results", maxOutstanding, kernel.Refuse, g.gate)
	return nil
}

// Connect implements kernel.Service.
func (g *generator) Connect(k *kernel.Kernel) error {
	var err error
	if g.sessions, err = kernel.Lookup[*caller.SessionService](k, caller.SessionName); err != nil {
		return err
	}
	k.AddDuty(kernel.Duty{Name: g.Name(), Gate: g.gate, Step: g.step})
	return nil
}

// step handles results and then does the work of the phase.
func (g *generator) step(now time.Duration) time.Duration {
	more := g.takeResults()
	wake := kernel.Idle
	switch g.phase {
	case phaseOpening:
		wake = g.open(now)
	case phaseRunning:
		wake = g.load(now)
	case phaseDraining:
		g.drain()
	}
	if more {
		return now
	}
	return wake
}

// takeResults reports whether more results may wait.
func (g *generator) takeResults() bool {
	for range stepBatch {
		e, ok := g.results.Take()
		if !ok {
			return false
		}
		g.outstanding--
		g.endOn(e.result.Flow)
		e.stream.tally.ended(e.record, e.payload, e.result, e.at-e.scheduled)
		g.impacts.ended(e.scheduled-(g.endsAt-g.duration), e.at-e.scheduled, e.result)
	}
	return true
}

func (g *generator) beginLoad(now time.Duration) time.Duration {
	g.phase = phaseRunning
	g.endsAt = now + g.duration
	for _, s := range g.streams {
		s.arrivals.begin(now)
	}
	for _, set := range g.services {
		set.churn.begin(now)
	}
	return now
}

// load starts the calls that are due and returns the time of the next one.
func (g *generator) load(now time.Duration) time.Duration {
	if now >= g.endsAt {
		g.phase = phaseDraining
		return now
	}
	g.takeOpened()
	next := min(g.endsAt, g.replaceFlows(now))
	for _, s := range g.streams {
		for range stepBatch {
			at, due := s.arrivals.take(now)
			if !due {
				break
			}
			g.call(s, at)
		}
		next = min(next, s.arrivals.next)
	}
	return next
}

// call starts one call on a random flow of the stream's service.
func (g *generator) call(s *stream, scheduled time.Duration) {
	s.tally.outcomes.Offered++
	if g.outstanding >= maxOutstanding {
		s.tally.outcomes.Overloaded++
		return
	}
	flows := g.services[s.service].flows
	flow := flows[g.rng.IntN(len(flows))]
	payload := g.payload(s)
	r := &record{service: uint8(s.service), idempotent: s.spec.Idempotent}
	request := session.Call{
		Kind: s.kind, Idempotent: s.spec.Idempotent, Payload: payload,
		Timeout: time.Duration(s.spec.TimeoutMS) * time.Millisecond,
	}
	_, err := g.sessions.Do(flow, request, func(result session.Result) {
		// The ring has room for every call in progress.
		_ = g.results.Put(endedCall{
			stream: s, record: r, payload: payload, scheduled: scheduled, at: g.clock.Now(), result: result,
		})
	})
	if err != nil {
		s.tally.outcomes.Overloaded++
		return
	}
	g.outstanding++
	g.busy[flow]++
	g.records[xxhash.Sum64(payload)] = r
}

// payload returns a request body that no other call has.
func (g *generator) payload(s *stream) []byte {
	g.lastCall++
	payload := make([]byte, s.spec.RequestBytes)
	binary.BigEndian.PutUint64(payload, g.run)
	binary.BigEndian.PutUint64(payload[8:], g.lastCall)
	return payload
}

// drain waits for the calls in progress; each ends by its deadline.
func (g *generator) drain() {
	if g.outstanding > 0 {
		return
	}
	g.phase = phaseDone
	close(g.done)
}
