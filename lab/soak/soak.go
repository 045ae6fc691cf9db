package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gypsumspan/gypsumspan/standin/flowends"
)

// stateTimeout bounds the wait until the VMs are ready at the start, and until they have
// converged after the last fault. It leaves a large margin for a busy machine.
const stateTimeout = 30 * time.Second

// Options are the parameters of one run.
type Options struct {
	Daemon   string        // path of gypsumflowd
	Seed     uint64        // of the random faults and requests
	Network  byte          // second byte of the addresses in 127.0.0.0/8 that the run uses
	Duration time.Duration // time for which faults are injected
	MeanGap  time.Duration // mean time between faults
	// DomainLosses adds losses of all VMs of a failure domain while flows open.
	DomainLosses bool
	Dir          string    // for settings and logs; removed if no promise is broken
	Trace        io.Writer // receives a line for each fault; may be nil
}

// Report is the result of one run.
type Report struct {
	Seed       uint64   `json:"seed"`
	Counts     Counts   `json:"counts"`
	Violations []string `json:"breaks,omitempty"`
	Dir        string   `json:"dir,omitempty"` // directory of the logs, if a promise was broken
}

// Verdict returns ErrPromiseBroken if a promise was broken.
func (r *Report) Verdict() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("seed %d, logs in %s: %w", r.Seed, r.Dir, ErrPromiseBroken)
}

// WriteJSON writes the report as JSON on one line. It returns the writer's error.
func (r *Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// Run runs one fleet under faults. It returns ErrSetup if the fleet can't be started.
// Broken promises are no error: they are in the report.
func Run(o Options) (*Report, error) {
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSetup, err)
	}
	f, err := newFleet(o.Seed, o.Network, o.Daemon, o.Dir)
	defer f.close()
	if err != nil {
		return nil, err
	}
	if err := f.addCallers(); err != nil {
		return nil, err
	}
	f.checkVMs()
	f.watchStalls()
	if !f.awaitState(f.allReady) {
		return nil, fmt.Errorf("%w: VMs are not ready, logs in %s", ErrSetup, o.Dir)
	}
	f.run(o)
	f.close()
	f.checkExecutions()
	r := &Report{Seed: o.Seed, Counts: f.counts, Violations: f.violations}
	if len(r.Violations) > 0 {
		r.Dir = o.Dir
		return r, nil
	}
	return r, f.removeLogs()
}

// run injects faults into the fleet under load, then checks that it converges.
func (f *fleet) run(o Options) {
	start := time.Now()
	trace := func(text string) {
		if o.Trace != nil {
			fmt.Fprintf(o.Trace, "seed %d at %s: %s\n", o.Seed, time.Since(start).Round(time.Millisecond), text)
		}
	}
	stopCallers := make(chan struct{})
	callerDone := make(chan struct{}, len(f.callers))
	for _, c := range f.callers {
		go func() {
			c.run(stopCallers)
			callerDone <- struct{}{}
		}()
	}
	rewindsDone := make(chan struct{})
	go func() {
		defer close(rewindsDone)
		f.injectRewinds(start.Add(o.Duration), o.MeanGap, trace)
	}()
	mixesDone := make(chan struct{})
	go func() {
		defer close(mixesDone)
		f.injectMixes(start.Add(o.Duration), o.MeanGap, trace)
	}()
	lossesDone := make(chan struct{})
	go func() {
		defer close(lossesDone)
		if o.DomainLosses {
			f.injectDomainLosses(start.Add(o.Duration), o.MeanGap, trace)
		}
	}()
	f.injectFaults(start.Add(o.Duration), o.MeanGap, trace)
	<-rewindsDone
	<-mixesDone
	<-lossesDone
	f.endFaults()
	if !f.awaitState(f.converged) {
		f.recordViolation("VMs do not come to rest within %s after the last fault", stateTimeout)
	}
	close(stopCallers)
	for range f.callers {
		<-callerDone
	}
	f.checkConverged()
}

// awaitState polls until a state is reached, for at most stateTimeout.
func (f *fleet) awaitState(state func() bool) bool {
	const interval = 20 * time.Millisecond
	for deadline := time.Now().Add(stateTimeout); time.Now().Before(deadline); {
		if state() {
			return true
		}
		if !f.sleep(interval) {
			return false
		}
	}
	return false
}

func (f *fleet) allReady() bool {
	for _, v := range f.vms {
		if !v.inRotation() {
			return false
		}
	}
	return true
}

// converged reports whether every VM is ready and has the latest configuration, and has run for the time
// for which it can't tell cold targets from warm ones: it starts with their entries, which do not say when
// they were written, and refuses flows that no other target can take.
func (f *fleet) converged() bool {
	f.mu.Lock()
	version := f.version
	f.mu.Unlock()
	for _, v := range f.vms {
		s, err := v.status()
		if err != nil || !s.Ready || s.Version != version || !v.hasRunFor(coldTime) {
			return false
		}
	}
	return f.allReady()
}

// checkConverged checks the fleet after the last fault: every open flow gets answers
// through every VM, and every VM opens flows to both services.
func (f *fleet) checkConverged() {
	for _, c := range f.callers {
		for _, o := range append(c.flows, c.resting...) {
			f.checkFlow(c, o)
		}
	}
	for _, v := range f.vms {
		for _, service := range []string{streams, checkins} {
			f.checkOpening(v, service)
		}
	}
}

func (f *fleet) checkFlow(c *caller, o *openFlow) {
	for i, v := range f.vms {
		f.mu.Lock()
		alive := o.target != nil && o.target.up && !o.target.draining && o.target.HasFlow(o.From)
		stalled := time.Since(f.lastStall) < stallGracePeriod
		f.mu.Unlock()
		if !alive {
			return
		}
		name, err := o.RequestVia(v.route, fmt.Sprintf("%s-rest-%d-%d", c.name, o.From.Port(), i))
		if err == nil {
			f.checkAnswer(o, name)
			continue
		}
		if !stalled {
			f.recordViolation("flow %s to %s does not go on through %s: %v", o.From, o.target.Name, v.name, err)
		}
		return
	}
}

func (f *fleet) checkOpening(v *vm, service string) {
	const tries = 3 // a target may end meanwhile
	var err error
	for range tries {
		var flow *flowends.Flow
		if flow, err = f.callers[0].ends.Open(v.at(packetsPort), address(service)); err == nil {
			flow.Abort(v.route)
			return
		}
	}
	f.recordViolation("%s opens no flow to %s: %v", v.name, service, err)
}

// checkExecutions checks that no request was executed twice. Callers of this package
// never retry a request on another flow.
func (f *fleet) checkExecutions() {
	for request, n := range f.executions {
		if n > 1 {
			f.recordViolation("request %s was executed %d times", request, n)
		}
	}
	if f.counts.Answered == 0 {
		f.recordViolation("no request was answered")
	}
}
