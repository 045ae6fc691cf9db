package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gypsumspan/gypsumspan/standin/flowends"
)

// patience bounds the wait for a state at the start and after the last fault. It is
// far above what a busy machine takes.
const patience = 30 * time.Second

// Options are the choices of one run.
type Options struct {
	Daemon   string        // path of gypsumflowd
	Seed     uint64        // of faults and requests
	Network  byte          // second byte of the addresses in 127.0.0.0/8 that the run uses
	Duration time.Duration // of the faults
	MeanGap  time.Duration // between two faults
	Dir      string        // for settings and logs; removed when no promise is broken
	Trace    io.Writer     // gets a line for each fault; may be nil
}

// Report is the result of one run.
type Report struct {
	Seed       uint64   `json:"seed"`
	Counts     Counts   `json:"counts"`
	Violations []string `json:"breaks,omitempty"`
	Dir        string   `json:"dir,omitempty"` // logs, when a promise was broken
}

// Verdict returns ErrBroken when a promise was broken.
func (r *Report) Verdict() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("seed %d, logs in %s: %w", r.Seed, r.Dir, ErrPromise)
}

// WriteJSON writes the report in one line. It returns the writer's error.
func (r *Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// Run runs one fleet under faults. It returns ErrSetup when the fleet can't be
// started; broken promises are in the report.
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
	f.watchVMs()
	f.watchStalls()
	if !f.reached(f.allReady) {
		return nil, fmt.Errorf("%w: VMs are not ready, logs in %s", ErrSetup, o.Dir)
	}
	f.play(o)
	f.close()
	f.checkExecutions()
	r := &Report{Seed: o.Seed, Counts: f.counts, Violations: f.breaks}
	if len(r.Violations) > 0 {
		r.Dir = o.Dir
		return r, nil
	}
	return r, f.removeLogs()
}

// play disturbs the fleet under load, then checks that it comes to rest.
func (f *fleet) play(o Options) {
	begin := time.Now()
	trace := func(text string) {
		if o.Trace != nil {
			fmt.Fprintf(o.Trace, "seed %d at %s: %s\n", o.Seed, time.Since(begin).Round(time.Millisecond), text)
		}
	}
	enough := make(chan struct{})
	ended := make(chan struct{}, len(f.callers))
	for _, c := range f.callers {
		go func() {
			c.run(enough)
			ended <- struct{}{}
		}()
	}
	f.disturb(begin.Add(o.Duration), o.MeanGap, trace)
	f.heal()
	if !f.reached(f.atRest) {
		f.broken("VMs do not come to rest within %s after the last fault", patience)
	}
	close(enough)
	for range f.callers {
		<-ended
	}
	f.checkRest()
}

// reached waits until a state is reached, for at most patience.
func (f *fleet) reached(state func() bool) bool {
	const interval = 20 * time.Millisecond
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		if state() {
			return true
		}
		if !f.pause(interval) {
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

// atRest reports whether every VM is ready with the newest configuration.
func (f *fleet) atRest() bool {
	f.mu.Lock()
	version := f.version
	f.mu.Unlock()
	for _, v := range f.vms {
		s, err := v.status()
		if err != nil || !s.Ready || s.Version != version {
			return false
		}
	}
	return f.allReady()
}

// checkRest checks the fleet after its last fault: every open flow goes on through
// every VM, and every VM opens flows to both services, none at a target that leaves.
func (f *fleet) checkRest() {
	for _, c := range f.callers {
		for _, o := range c.flows {
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
		alive := o.target != nil && o.target.up && !o.target.draining && o.target.Holds(o.From)
		stalled := time.Since(f.stalled) < stallExcuse
		f.mu.Unlock()
		if !alive {
			return
		}
		name, err := o.AskBy(v.route, fmt.Sprintf("%s-rest-%d-%d", c.name, o.From.Port(), i))
		if err == nil {
			f.judgeAnswer(o, name)
			continue
		}
		if !stalled {
			f.broken("flow %s to %s does not go on through %s: %v", o.From, o.target.Name, v.name, err)
		}
		return
	}
}

func (f *fleet) checkOpening(v *vm, service string) {
	const tries = 3 // a target may end in this moment
	var err error
	for range tries {
		var flow *flowends.Flow
		if flow, err = f.callers[0].ends.Open(v.at(packetsPort), address(service)); err == nil {
			flow.Abort(v.route)
			return
		}
	}
	f.broken("%s opens no flow to %s: %v", v.name, service, err)
}

// checkExecutions checks that no request was executed twice. Callers of this package
// never repeat a request on another flow.
func (f *fleet) checkExecutions() {
	for request, n := range f.ran {
		if n > 1 {
			f.broken("request %s was executed %d times", request, n)
		}
	}
	if f.counts.Answered == 0 {
		f.broken("no request was answered")
	}
}
