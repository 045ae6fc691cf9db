package lab

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gypsumspan/gypsumspan/caller"
	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/standin/fabric"
)

// DefaultOpenTimeout covers the flows of the workload files at their opening rate,
// with a margin for retransmissions.
const DefaultOpenTimeout = 2 * time.Minute

// LoadOptions configure a load run.
type LoadOptions struct {
	Workload *Workload
	Targets  []Target // of the workload; their records are read
	Fabric   fabric.Settings
	Duration time.Duration // of the load, once all flows are open
	// OpenTimeout bounds the time until all flows are open; 0: DefaultOpenTimeout.
	OpenTimeout time.Duration
	Sockets     int
	Seed        uint64
	Floods      map[string]float64 // rate factors by "service/kind"
	Session     session.Config
	// OpenRate is the number of flows opened per second; 0: the workload's rate
	// times its scale.
	OpenRate float64
	// NoBrokenFlows treats a broken flow as a broken promise, for runs in which
	// targets stay alive and reachable.
	NoBrokenFlows bool
	// NoInterruptedCalls treats a call that ends as "may have run", at its deadline or
	// cancelled as a broken promise, for runs of planned changes only.
	NoInterruptedCalls bool
	// NoUntypedFailures treats a call that ends neither by an answer nor by a typed
	// refusal or its deadline as a broken promise.
	NoUntypedFailures bool
	// AllowMissingRecords accepts a run in which the records of some targets can't be
	// read, for experiments that kill targets. Their executions are not checked.
	AllowMissingRecords bool
}

// Load opens the workload's flows, generates the load and checks the result. It
// returns a report, and with it ErrPromiseBroken if an invariant was violated or
// ErrRecordsUnavailable if that could not be checked. Without a report it returns
// ErrInvalidOption, ErrFlowsNotOpen, the context's error or an error of the client.
func Load(ctx context.Context, o LoadOptions) (*Report, error) {
	if err := o.validate(); err != nil {
		return nil, err
	}
	network := fabric.New(o.Seed, o.Fabric)
	sockets := caller.NewSockets(network, o.Sockets)
	// Flow ids and payloads must differ from those of earlier runs against the
	// same fleet, so they do not depend on the seed alone.
	runID := rand.Uint64()
	sessions := caller.NewSessionService(session.New(o.Session, sessionSeed(o.Seed, runID)))
	if o.OpenTimeout <= 0 {
		o.OpenTimeout = DefaultOpenTimeout
	}
	g := newGenerator(o, runID)
	state, err := runLoad(ctx, g, sockets, sessions)
	if err != nil {
		return nil, err
	}
	report := g.report(ctx, o, state)
	report.Sockets = sockets.Stats()
	report.Fabric = network.Stats()
	return report, report.verdict(o)
}

func (o *LoadOptions) validate() error {
	if o.Duration <= 0 || len(o.Fabric.VMs) == 0 {
		return fmt.Errorf("duration and VMs are required: %w", ErrInvalidOption)
	}
	kinds := make(map[string]bool)
	for _, s := range o.Workload.Services {
		for _, k := range s.Kinds {
			kinds[s.Name+"/"+k.Name] = true
		}
	}
	for name, factor := range o.Floods {
		if !kinds[name] || factor <= 0 {
			return fmt.Errorf("flood %s=%v: unknown service/kind or factor not above 0: %w", name, factor, ErrInvalidOption)
		}
	}
	return nil
}

// verdict returns ErrPromiseBroken, ErrRecordsUnavailable or nil.
func (r *Report) verdict(o LoadOptions) error {
	if r.Violations.Any() {
		return fmt.Errorf("%+v: %w", r.Violations, ErrPromiseBroken)
	}
	if o.NoBrokenFlows && r.BrokenFlows > 0 {
		return fmt.Errorf("%d broken flows: %w", r.BrokenFlows, ErrPromiseBroken)
	}
	if interrupted := r.interruptedCalls(); o.NoInterruptedCalls && interrupted > 0 {
		return fmt.Errorf("%d calls were interrupted: %w", interrupted, ErrPromiseBroken)
	}
	if untyped := r.untypedFailures(); o.NoUntypedFailures && untyped > 0 {
		return fmt.Errorf("%d calls failed without a typed reason: %w", untyped, ErrPromiseBroken)
	}
	if missing := r.missingRecords(); missing > 0 && !o.AllowMissingRecords {
		return fmt.Errorf("%d targets: %w", missing, ErrRecordsUnavailable)
	}
	return nil
}

// interruptedCalls counts the calls that ended without an answer or a definite
// refusal.
func (r *Report) interruptedCalls() int {
	count := 0
	for _, k := range r.Kinds {
		count += k.MayHaveRun + k.Deadline + k.Cancelled
	}
	return count
}

// untypedFailures counts the calls that failed otherwise than by a refusal or
// their deadline.
func (r *Report) untypedFailures() int {
	count := 0
	for _, k := range r.Kinds {
		count += k.Cancelled
	}
	return count
}

// sessionSeed returns the seed of the session's random numbers.
func sessionSeed(seed, runID uint64) (s [32]byte) {
	binary.BigEndian.PutUint64(s[:], seed)
	binary.BigEndian.PutUint64(s[8:], runID)
	return s
}

// sessionState is the state of the session at the end of a run.
type sessionState struct {
	counters session.Counters
	flows    map[message.TargetID]int // number of flows bound to each target
}

// runLoad runs the kernel until the generator is done.
func runLoad(ctx context.Context, g *generator, sockets *caller.Sockets, sessions *caller.SessionService) (sessionState, error) {
	k := kernel.New(kernel.NewClock())
	for _, s := range []kernel.Service{sockets, sessions, g} {
		if err := k.Register(s); err != nil {
			return sessionState{}, err
		}
	}
	running, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- k.Run(running, stopGrace) }()
	select {
	case <-g.done:
	case err := <-ended:
		return sessionState{}, fmt.Errorf("load run stopped early: %w", firstError(err, ctx.Err()))
	}
	state, err := g.readSession(ctx, sessions)
	stop()
	return state, firstError(g.err, firstError(err, <-ended))
}

// firstError returns err, or other if err is nil.
func firstError(err, other error) error {
	if err != nil {
		return err
	}
	return other
}

// readSession reads the session's counters and flow bindings on the session's duty.
func (g *generator) readSession(ctx context.Context, sessions *caller.SessionService) (sessionState, error) {
	result := make(chan sessionState, 1)
	err := sessions.Inspect(func(s *session.Session) {
		state := sessionState{counters: s.Counters(), flows: make(map[message.TargetID]int)}
		for _, set := range g.services {
			for _, flow := range set.flows {
				binding, _ := s.Binding(flow)
				state.flows[binding.Target]++
			}
		}
		result <- state
	})
	if err != nil {
		return sessionState{}, caller.Translate(err)
	}
	select {
	case state := <-result:
		return state, nil
	case <-ctx.Done():
		return sessionState{}, fmt.Errorf("read the session's counters: %w", ctx.Err())
	}
}

// report reads the targets' records and checks the run against them.
func (g *generator) report(ctx context.Context, o LoadOptions, state sessionState) *Report {
	observed := make([]targetRecords, len(o.Targets))
	missing := make([]bool, len(o.Targets))
	for i, t := range o.Targets {
		var err error
		observed[i], err = fetchRecords(ctx, t.Health)
		missing[i] = err != nil
	}
	violations, executions := checkExecutions(g.callRecords, o.Targets, observed)
	r := &Report{
		Workload: o.Workload.Name, Seed: o.Seed, Seconds: o.Duration.Seconds(), BrokenFlows: state.counters.Broken,
		Violations: violations, Kinds: g.kindReports(), Session: state.counters,
		Targets: targetReports(o.Workload, o.Targets, state.flows, executions),
		Impacts: g.impacts.report(),
	}
	for i := range r.Targets {
		r.Targets[i].PeakInFlight = observed[i].stats.PeakInFlight
		r.Targets[i].Shed = observed[i].stats.Shed
		r.Targets[i].RecordsMissing = missing[i]
	}
	for _, k := range r.Kinds {
		r.Violations.WrongAnswers += k.Wrong
	}
	r.Violations.FalseNotRun += int(state.counters.FalseNotRun)
	return r
}
