package kernel

import (
	"context"
	"math"
	"time"
)

// Service is a named component of a process.
type Service interface {
	// Name identifies the service in the registry.
	Name() string
	// Dependencies returns the names of the services that start before this one and
	// stop after it.
	Dependencies() []string
	// Setup creates the service's rings and opens its sockets. Other services may not
	// be set up yet.
	Setup(k *Kernel) error
	// Connect looks up other services and declares duties and blockers. All services
	// are set up.
	Connect(k *Kernel) error
}

// Stopper is a service with work to complete before its duties end.
type Stopper interface {
	// Stop blocks until the work is complete or ctx ends. The duties of the service
	// and all services that it depends on still run.
	Stop(ctx context.Context) error
}

// Idle is the result of Duty.Step if only input can cause more work.
const Idle = time.Duration(math.MaxInt64)

// Duty is an event loop of a service: Step is called at the start, and then whenever the
// gate is signalled or the wake time is reached. A threaded kernel runs each duty on its
// own goroutine.
type Duty struct {
	// Name identifies the duty in errors and metrics.
	Name string
	// Gate wakes the duty. The rings that the duty reads signal it.
	Gate *Gate
	// Step does a bounded amount of work at time now (since start). It returns the
	// wake time, at which it runs again without input: Idle for never, now or earlier
	// if work remains.
	Step func(now time.Duration) time.Duration
	// Outputs are the rings of policy Block that Step writes to. A stepped kernel
	// runs the duty only while each has MinAvailable free slots.
	Outputs []Output
	// MinAvailable is the largest number of items that one Step puts into one output.
	MinAvailable int
}

// Blocker is a long-lived goroutine of a service that blocks in system calls, such as
// reads of a socket. Only a threaded kernel runs it.
type Blocker struct {
	// Name identifies the blocker in errors and metrics.
	Name string
	// Run runs until ctx ends. An error or a panic before that stops all services.
	Run func(ctx context.Context) error
	// Interrupt unblocks Run when ctx ends, for example by closing its socket. It
	// may be nil if Run returns when ctx ends.
	Interrupt func()
}

// Clock is the time source of a kernel.
type Clock interface {
	// Now returns the time since the process (or the simulation) started.
	Now() time.Duration
}

// monotonicClock reads the operating system's monotonic clock.
type monotonicClock struct {
	start time.Time
}

// NewClock returns a clock that starts at zero and follows real time.
func NewClock() Clock {
	return &monotonicClock{start: time.Now()}
}

// Now implements Clock.
func (c *monotonicClock) Now() time.Duration {
	return time.Since(c.start)
}
