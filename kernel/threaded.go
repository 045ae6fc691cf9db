package kernel

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
)

// runner runs the duties and blockers of one kernel, each on its own goroutine.
type runner struct {
	kernel *Kernel
	pool   *ants.Pool
	fail   context.CancelCauseFunc
	groups map[string]*dutyGroup
}

// dutyGroup is the set of running duties and blockers of one service.
type dutyGroup struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Run starts all services and blocks until ctx ends, a duty panics or a blocker
// fails or panics. It then stops the services in reverse start order: Stop of each
// Stopper returns before the service's duties and blockers end. All Stoppers share a
// context that ends after grace, or when a duty or blocker fails; the wait for duties and
// blockers to end is not bounded. Run returns the error of Assemble, of the panic or of the
// blocker, or else those of the Stoppers; nil if ctx ended and no Stopper failed.
func (k *Kernel) Run(ctx context.Context, grace time.Duration) error {
	if err := k.Assemble(); err != nil {
		return err
	}
	failed, fail := context.WithCancelCause(context.Background())
	defer fail(nil)
	r := &runner{kernel: k, fail: fail, groups: make(map[string]*dutyGroup)}
	if err := r.start(); err != nil {
		return err
	}
	defer r.pool.Release()
	select {
	case <-ctx.Done():
	case <-failed.Done():
	}
	stopErr := r.stop(failed, grace)
	if cause := context.Cause(failed); cause != nil {
		return cause
	}
	return stopErr
}

func (r *runner) start() error {
	size := len(r.kernel.duties) + len(r.kernel.blockers)
	// Duties and blockers are long-lived, so there are no idle workers to purge.
	pool, err := ants.NewPool(max(size, 1), ants.WithPanicHandler(r.handlePanic), ants.WithDisablePurge(true))
	if err != nil {
		return fmt.Errorf("create pool for %d duties: %w", size, err)
	}
	r.pool = pool
	for _, name := range r.kernel.order {
		ctx, cancel := context.WithCancel(context.Background())
		r.groups[name] = &dutyGroup{ctx: ctx, cancel: cancel}
	}
	for _, e := range r.kernel.duties {
		if err := r.submit(e.service, func(ctx context.Context) { r.runDuty(ctx, e.duty) }); err != nil {
			return err
		}
	}
	for _, e := range r.kernel.blockers {
		if err := r.submit(e.service, func(ctx context.Context) { r.runBlocker(ctx, e.blocker) }); err != nil {
			return err
		}
	}
	return nil
}

// submit starts run on the pool, as a duty or blocker of a service.
func (r *runner) submit(service string, run func(ctx context.Context)) error {
	g := r.groups[service]
	g.wg.Add(1)
	err := r.pool.Submit(func() {
		defer g.wg.Done()
		run(g.ctx)
	})
	if err != nil {
		g.wg.Done()
		return fmt.Errorf("start duty of service %s: %w", service, err)
	}
	return nil
}

// handlePanic is the pool's panic handler. It stops all services.
func (r *runner) handlePanic(v any) {
	r.fail(fmt.Errorf("%w: %v", ErrPanic, v))
}

// runDuty steps a duty whenever its gate is signalled or its wake time is reached.
func (r *runner) runDuty(ctx context.Context, d Duty) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for ctx.Err() == nil {
		now := r.kernel.Now()
		wake := d.Step(now)
		if wake <= now {
			continue
		}
		timer.Reset(wake - now)
		select {
		case <-d.Gate.C():
		case <-timer.C:
		case <-ctx.Done():
		}
	}
}

// runBlocker runs a blocker. An error before ctx ends stops all services.
func (r *runner) runBlocker(ctx context.Context, b Blocker) {
	if b.Interrupt != nil {
		stop := context.AfterFunc(ctx, b.Interrupt)
		defer stop()
	}
	if err := b.Run(ctx); err != nil && ctx.Err() == nil {
		r.fail(fmt.Errorf("%s: %w", b.Name, err))
	}
}

// stop stops all services in reverse start order. The end of failed or of grace ends the
// Stoppers' context.
func (r *runner) stop(failed context.Context, grace time.Duration) error {
	ctx, cancel := context.WithTimeout(failed, grace)
	defer cancel()
	var errs []error
	for i := len(r.kernel.order) - 1; i >= 0; i-- {
		name := r.kernel.order[i]
		if s, ok := r.kernel.services[name].(Stopper); ok {
			if err := s.Stop(ctx); err != nil {
				errs = append(errs, fmt.Errorf("stop service %s: %w", name, err))
			}
		}
		r.groups[name].cancel()
		r.groups[name].wg.Wait()
		r.kernel.closeRings(name)
	}
	return errors.Join(errs...)
}
