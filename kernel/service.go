package kernel

import (
	"context"
	"math"
	"time"
)

// Service is a named part of a process.
type Service interface {
	// Name identifies the service in the registry.
	Name() string
	// Dependencies names the services that start before this one and stop after it.
	Dependencies() []string
	// Setup creates the service's rings. Other services may not be set up yet.
	Setup(k *Kernel) error
	// Connect looks up other services and declares duties. All services are set up.
	Connect(k *Kernel) error
}

// Stopper is a service that has work to finish before its duties end.
type Stopper interface {
	// Stop blocks until the work is finished or ctx ends. All duties of the
	// service, and all services that it needs, still run.
	Stop(ctx context.Context) error
}

// Idle is the result of Duty.Step when only input can cause more work.
const Idle = time.Duration(math.MaxInt64)

// Duty is one thread of work that waits on a gate and on time.
type Duty struct {
	// Name identifies the duty in errors and metrics.
	Name string
	// Gate wakes the duty. It is signalled by the rings that the duty reads.
	Gate *Gate
	// Step does a bounded amount of work at time now (since start). It returns
	// the time at which it must run again without input: Idle for never, now or
	// earlier when work is left.
	Step func(now time.Duration) time.Duration
	// Outputs are the rings of policy Block that Step writes to. A stepped
	// kernel runs the duty only while each has room for MinAvailable items.
	Outputs []Output
	// MinAvailable is the largest number of items one Step puts into one output.
	MinAvailable int
}

// Blocker is one thread of work that waits in the operating system, such as on
// a socket. It exists only in a threaded kernel.
type Blocker struct {
	// Name identifies the blocker in errors and metrics.
	Name string
	// Run works until ctx ends. An error before that ends the process.
	Run func(ctx context.Context) error
	// Interrupt makes a waiting Run return, for example by closing its socket.
	// It may be nil when Run watches ctx itself.
	Interrupt func()
}

// Clock is the service "clock".
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
