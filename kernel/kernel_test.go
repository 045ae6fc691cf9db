package kernel

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// fakeService is a service whose methods are functions; nil ones do nothing.
type fakeService struct {
	name         string
	dependencies []string
	setup        func(k *Kernel) error
	connect      func(k *Kernel) error
	stop         func(ctx context.Context) error
}

func (f *fakeService) Name() string           { return f.name }
func (f *fakeService) Dependencies() []string { return f.dependencies }

func (f *fakeService) Setup(k *Kernel) error {
	if f.setup == nil {
		return nil
	}
	return f.setup(k)
}

func (f *fakeService) Connect(k *Kernel) error {
	if f.connect == nil {
		return nil
	}
	return f.connect(k)
}

func (f *fakeService) Stop(ctx context.Context) error {
	if f.stop == nil {
		return nil
	}
	return f.stop(ctx)
}

func mustRegister(t *testing.T, k *Kernel, services ...Service) {
	t.Helper()
	for _, s := range services {
		if err := k.Register(s); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a full ring that drops or retains the wrong items.
func TestFullRingFollowsItsPolicy(t *testing.T) {
	cases := []struct {
		policy OverflowPolicy
		err    error
		want   []int
		drops  uint64
	}{
		{DropNewest, nil, []int{1, 2}, 1},
		{DropOldest, nil, []int{2, 3}, 1},
		{Refuse, ErrRingFull, []int{1, 2}, 1},
		{Block, ErrRingFull, []int{1, 2}, 1}, // in a stepped kernel
	}
	for _, c := range cases {
		t.Run(c.policy.String(), func(t *testing.T) {
			is := is.New(t)
			r := NewRing[int](NewStepped(NewStepper(1)), "r", 2, c.policy, NewGate())
			is.NoErr(r.Put(1))
			is.NoErr(r.Put(2))
			is.True(errors.Is(r.Put(3), c.err))
			is.Equal(r.Stats().Drops, c.drops)
			for _, want := range c.want {
				got, ok := r.Take()
				is.True(ok)
				is.Equal(got, want)
			}
			_, ok := r.Take()
			is.True(!ok)
		})
	}
}

// Guards against a producer that stays blocked after its ring is closed.
func TestCloseReleasesBlockedPut(t *testing.T) {
	is := is.New(t)
	r := NewRing[int](New(NewClock()), "r", 1, Block, NewGate())
	is.NoErr(r.Put(1))
	result := make(chan error)
	go func() { result <- r.Put(2) }()
	r.Close()
	is.True(errors.Is(<-result, ErrRingClosed))
}

// Guards against services that start before their dependencies, and against missing or
// cyclic dependencies that are not reported.
func TestAssembleOrdersServicesByDependencies(t *testing.T) {
	cases := []struct {
		name         string
		dependencies map[string][]string
		order        []string
		err          error
	}{
		{"chain", map[string][]string{"a": {"b"}, "b": {"c"}, "c": nil}, []string{"c", "b", "a"}, nil},
		{"missing", map[string][]string{"a": {"x"}, "b": nil, "c": nil}, nil, ErrUnknownService},
		{"cycle", map[string][]string{"a": {"b"}, "b": {"a"}, "c": nil}, nil, ErrDependencyCycle},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := New(NewClock())
			var order []string
			for _, name := range []string{"a", "b", "c"} {
				mustRegister(t, k, &fakeService{name: name, dependencies: c.dependencies[name], setup: func(*Kernel) error {
					order = append(order, name)
					return nil
				}})
			}
			is.True(errors.Is(k.Assemble(), c.err))
			is.Equal(order, c.order)
		})
	}
}

// Guards against duplicate names that are accepted, and against lookups of an unknown name
// or of another type that succeed.
func TestLookupErrors(t *testing.T) {
	is := is.New(t)
	k := New(NewClock())
	mustRegister(t, k, &fakeService{name: "a"})
	is.True(errors.Is(k.Register(&fakeService{name: "a"}), ErrDuplicateName))
	_, err := Lookup[Service](k, "b")
	is.True(errors.Is(err, ErrUnknownService))
	_, err = Lookup[Clock](k, "a")
	is.True(errors.Is(err, ErrWrongType))
}

// Guards against a panic that leaves other duties running or leaks goroutines.
func TestPanicInDutyEndsRun(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	is := is.New(t)
	k := New(NewClock())
	mustRegister(t, k,
		&fakeService{name: "idle", connect: func(k *Kernel) error {
			k.AddDuty(Duty{Name: "idle", Gate: NewGate(), Step: func(time.Duration) time.Duration { return Idle }})
			return nil
		}},
		&fakeService{name: "bad", connect: func(k *Kernel) error {
			k.AddDuty(Duty{Name: "bad", Gate: NewGate(), Step: func(time.Duration) time.Duration { panic("boom") }})
			return nil
		}})
	is.True(errors.Is(k.Run(context.Background(), time.Second), ErrPanic))
}

// Guards against a service that is stopped before its dependants have stopped.
func TestRunStopsDependantsFirst(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	is := is.New(t)
	var stopped []string
	service := func(name string, dependencies ...string) *fakeService {
		return &fakeService{name: name, dependencies: dependencies, stop: func(context.Context) error {
			stopped = append(stopped, name)
			return nil
		}}
	}
	k := New(NewClock())
	mustRegister(t, k, service("low"), service("high", "low"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(k.Run(ctx, time.Second))
	is.Equal(stopped, []string{"high", "low"})
}

// newPipeline registers two services at k and returns k: a source that puts n numbers
// into a ring of 2 items, and a sink that appends them to out and its steps to trace.
func newPipeline(k *Kernel, n int, out *[]int, trace *[]string) *Kernel {
	gate := NewGate()
	var ring *Ring[int]
	sink := &fakeService{
		name:  "sink",
		setup: func(k *Kernel) error { ring = NewRing[int](k, "numbers", 2, Block, gate); return nil },
		connect: func(k *Kernel) error {
			k.AddDuty(Duty{Name: "sink", Gate: gate, Step: func(now time.Duration) time.Duration {
				*trace = append(*trace, fmt.Sprint("sink ", now))
				v, ok := ring.Take()
				if !ok {
					return Idle
				}
				*out = append(*out, v)
				return now
			}})
			return nil
		},
	}
	next := 0
	source := &fakeService{name: "source", dependencies: []string{"sink"}, connect: func(k *Kernel) error {
		k.AddDuty(Duty{Name: "source", Gate: NewGate(), Outputs: []Output{ring}, MinAvailable: 1,
			Step: func(now time.Duration) time.Duration {
				if next == n {
					return Idle
				}
				if err := ring.Put(next); err != nil {
					panic(err)
				}
				next++
				return now + time.Millisecond
			}})
		return nil
	}}
	for _, s := range []Service{sink, source} {
		if err := k.Register(s); err != nil {
			panic(err)
		}
	}
	return k
}

// Guards against stepped runs that can't be reproduced from their seed, and
// against a stepped producer that overflows a ring with policy Block.
func TestSteppedRunIsRepeatable(t *testing.T) {
	is := is.New(t)
	run := func(seed uint64) ([]int, []string) {
		var out []int
		var trace []string
		s := NewStepper(seed)
		is.NoErr(s.Add(newPipeline(NewStepped(s), 20, &out, &trace)))
		s.Advance(time.Second)
		return out, trace
	}
	out, trace := run(7)
	again, traceAgain := run(7)
	is.Equal(len(out), 20)
	is.Equal(out, again)
	is.Equal(trace, traceAgain)
}

// Guards against a paused kernel that keeps running or never resumes.
func TestPausedKernelDoesNothing(t *testing.T) {
	is := is.New(t)
	var out []int
	var trace []string
	s := NewStepper(1)
	k := newPipeline(NewStepped(s), 20, &out, &trace)
	is.NoErr(s.Add(k))
	s.Advance(5 * time.Millisecond)
	s.SetPaused(k, true)
	before := len(out)
	s.Advance(time.Second)
	is.Equal(len(out), before)
	s.SetPaused(k, false)
	s.Advance(time.Second)
	is.Equal(len(out), 20)
}

// Guards against a threaded run that doesn't deliver every item, as a stepped run does.
func TestThreadedRunMatchesSteppedRun(t *testing.T) {
	is := is.New(t)
	var out []int
	var trace []string
	k := newPipeline(New(NewClock()), 20, &out, &trace)
	finished := make(chan struct{})
	mustRegister(t, k, &fakeService{name: "watch", connect: func(k *Kernel) error {
		k.AddDuty(Duty{Name: "watch", Gate: NewGate(), Step: func(now time.Duration) time.Duration {
			if k.Rings()[0].Puts == 20 && k.Rings()[0].Depth == 0 {
				close(finished)
				return Idle
			}
			return now + time.Millisecond
		}})
		return nil
	}})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-finished; cancel() }()
	is.NoErr(k.Run(ctx, time.Second))
	is.Equal(len(out), 20)
}

// Guards against a producer that stays blocked on a ring whose service has ended.
func TestStoppedServiceReleasesItsProducers(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	is := is.New(t)
	k := New(NewClock())
	gate := NewGate()
	var ring *Ring[int]
	result := make(chan error, 1)
	mustRegister(t, k,
		&fakeService{name: "producer", connect: func(k *Kernel) error {
			k.AddBlocker(Blocker{Name: "producer", Run: func(ctx context.Context) error {
				for {
					if err := ring.Put(1); err != nil {
						result <- err
						return nil
					}
				}
			}})
			return nil
		}},
		&fakeService{name: "consumer", dependencies: []string{"producer"}, setup: func(k *Kernel) error {
			ring = NewRing[int](k, "consumer.in", 1, Block, gate)
			return nil
		}})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(k.Run(ctx, time.Second))
	is.True(errors.Is(<-result, ErrRingClosed))
}

// Guards against a blocker that spins while its socket returns an error each time, and
// against a pause after a single error.
func TestErrorPause(t *testing.T) {
	is := is.New(t)
	var p ErrorPause
	for range freeFailures {
		is.Equal(p.next(), time.Duration(0))
	}
	is.Equal(p.next(), failurePause)
	p.Succeeded()
	is.Equal(p.next(), time.Duration(0))
}
