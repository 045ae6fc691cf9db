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
	// maxOutstanding is the maximum number of calls in progress, and the capacity of
	// the ring for their results, which therefore never overflows.
	maxOutstanding = 1 << 16
	// openedRingCapacity is the capacity of the ring of opened flows.
	openedRingCapacity = 1 << 18
	// maxStepBatch bounds the iterations of each loop of one step.
	maxStepBatch = 256
)

// generatorPhase is the state of a generator.
type generatorPhase uint8

const (
	phaseOpening generatorPhase = iota
	phaseRunning
	phaseDraining
	phaseDone
)

// generator is the kernel service that generates the load.
type generator struct {
	workload *Workload
	seed     uint64
	runID    uint64 // in every payload; distinguishes runs
	duration time.Duration
	clock    *kernel.Kernel
	sessions *caller.SessionService
	gate     *kernel.Gate
	opened   *kernel.Ring[openedFlow]
	results  *kernel.Ring[endedCall]

	phase          generatorPhase
	openArrivals   *arrivals
	unopened       []int // service index of each flow that is not requested yet
	services       []*flowSet
	streams        []*stream
	rng            *rand.Rand
	loadEnd        time.Duration
	lastCallNumber uint64
	outstanding    int
	callRecords    map[uint64]*callRecord // by xxHash64 of the payload
	callsByFlow    map[session.FlowID]int // calls in progress
	impacts        *impactCounter
	openTimeout    time.Duration
	openDeadline   time.Duration
	err            error // why no load was generated; valid once done is closed
	done           chan struct{}
}

// stream is the load of one kind.
type stream struct {
	service  int
	kind     message.KindID
	spec     *Kind
	arrivals *arrivals
	stats    *kindStats
}

// openedFlow is a flow that the session has bound.
type openedFlow struct {
	service int
	flow    session.FlowID
}

// endedCall is a call with its result.
type endedCall struct {
	stream    *stream
	record    *callRecord
	payload   []byte
	scheduled time.Duration
	endedAt   time.Duration
	result    session.Result
}

// newGenerator returns the service "lab.load".
func newGenerator(o LoadOptions, runID uint64) *generator {
	w := o.Workload
	g := &generator{
		workload: w, seed: o.Seed, runID: runID, duration: o.Duration, openTimeout: o.OpenTimeout,
		openArrivals: newArrivals(cmp.Or(o.OpenRate, w.OpenRate*w.Scale), o.Seed, 0),
		rng:          rand.New(rand.NewPCG(o.Seed, 1)),
		callRecords:  make(map[uint64]*callRecord),
		callsByFlow:  make(map[session.FlowID]int),
		impacts:      newImpactCounter(o.Targets, o.Duration),
		done:         make(chan struct{}),
	}
	for i := range w.Services {
		s := &w.Services[i]
		set := newFlowSet(w.flowCount(s), s.Churn*w.Scale, o.Seed, i)
		g.services = append(g.services, set)
		for range set.desired {
			g.unopened = append(g.unopened, i)
		}
		g.addStreams(i, s, o.Floods)
	}
	g.rng.Shuffle(len(g.unopened), func(i, j int) { g.unopened[i], g.unopened[j] = g.unopened[j], g.unopened[i] })
	return g
}

// addStreams adds a stream for each kind of a service. The rate of a kind is
// multiplied by its factor in floods.
func (g *generator) addStreams(index int, s *Service, floods map[string]float64) {
	for j := range s.Kinds {
		k := &s.Kinds[j]
		rate := k.Rate * g.workload.Scale
		if factor, ok := floods[s.Name+"/"+k.Name]; ok {
			rate *= factor
		}
		g.streams = append(g.streams, &stream{
			service: index, kind: message.KindID(j), spec: k, stats: newKindStats(),
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
	g.opened = kernel.NewRing[openedFlow](k, "lab.opened", openedRingCapacity, kernel.Refuse, g.gate)
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

// step processes results and then runs the current phase. It returns the time of
// the next step.
func (g *generator) step(now time.Duration) time.Duration {
	more := g.collectResults()
	wake := kernel.Idle
	switch g.phase {
	case phaseOpening:
		wake = g.openFlows(now)
	case phaseRunning:
		wake = g.startDueCalls(now)
	case phaseDraining:
		g.drain()
	}
	if more {
		return now
	}
	return wake
}

// collectResults processes a batch of results and reports whether more may be queued.
func (g *generator) collectResults() bool {
	for range maxStepBatch {
		e, ok := g.results.Take()
		if !ok {
			return false
		}
		g.outstanding--
		g.countCallEnd(e.result.Flow)
		e.stream.stats.recordEnd(e.record, e.payload, e.result, e.endedAt-e.scheduled)
		g.impacts.record(e.scheduled-(g.loadEnd-g.duration), e.endedAt-e.scheduled, e.result)
	}
	return true
}

// startLoad starts the load when all flows are open.
func (g *generator) startLoad(now time.Duration) time.Duration {
	g.phase = phaseRunning
	g.loadEnd = now + g.duration
	for _, s := range g.streams {
		s.arrivals.start(now)
	}
	for _, set := range g.services {
		set.churn.start(now)
	}
	return now
}

// startDueCalls starts the calls that are due and returns the time of the next one.
func (g *generator) startDueCalls(now time.Duration) time.Duration {
	if now >= g.loadEnd {
		g.phase = phaseDraining
		return now
	}
	g.collectOpened()
	next := min(g.loadEnd, g.replaceFlows(now))
	for _, s := range g.streams {
		for range maxStepBatch {
			at, due := s.arrivals.popDue(now)
			if !due {
				break
			}
			g.startCall(s, at)
		}
		next = min(next, s.arrivals.next)
	}
	return next
}

// startCall starts one call on a random flow of the stream's service.
func (g *generator) startCall(s *stream, scheduled time.Duration) {
	s.stats.outcomes.Offered++
	if g.outstanding >= maxOutstanding {
		s.stats.outcomes.Overloaded++
		return
	}
	flows := g.services[s.service].flows
	flow := flows[g.rng.IntN(len(flows))]
	payload := g.payload(s)
	r := &callRecord{service: uint8(s.service), idempotent: s.spec.Idempotent}
	request := session.Call{
		Kind: s.kind, Idempotent: s.spec.Idempotent, Payload: payload,
		Timeout: time.Duration(s.spec.TimeoutMS) * time.Millisecond,
	}
	_, err := g.sessions.Do(flow, request, func(result session.Result) {
		// The ring has room for every call in progress.
		_ = g.results.Put(endedCall{
			stream: s, record: r, payload: payload, scheduled: scheduled, endedAt: g.clock.Now(), result: result,
		})
	})
	if err != nil {
		s.stats.outcomes.Overloaded++
		return
	}
	g.outstanding++
	g.callsByFlow[flow]++
	g.callRecords[xxhash.Sum64(payload)] = r
}

// payload returns a request body that is unique to one call: the run ID, the number
// of the call and zeros.
func (g *generator) payload(s *stream) []byte {
	g.lastCallNumber++
	payload := make([]byte, s.spec.RequestBytes)
	binary.BigEndian.PutUint64(payload, g.runID)
	binary.BigEndian.PutUint64(payload[8:], g.lastCallNumber)
	return payload
}

// drain ends the run once no call is in progress. Each call ends by its deadline.
func (g *generator) drain() {
	if g.outstanding > 0 {
		return
	}
	g.phase = phaseDone
	close(g.done)
}
