package kernel

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
)

// runner runs the duties of one kernel, a goroutine each.
type runner struct {
	kernel *Kernel
	pool   *ants.Pool
	cancel context.CancelCauseFunc
	groups map[string]*group
}

// group is the set of running duties of one service.
type group struct {
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Run starts all services and blocks until ctx ends or a duty fails. It then
// stops the services in reverse start order: each finishes its work (Stopper),
// then its duties end. grace bounds the time for all Stoppers together. Run
// returns nil after a stop through ctx without errors.
func (k *Kernel) Run(ctx context.Context, grace time.Duration) error {
	if err := k.Assemble(); err != nil {
		return err
	}
	failed, fail := context.WithCancelCause(context.Background())
	defer fail(nil)
	r := &runner{kernel: k, cancel: fail, groups: make(map[string]*group)}
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
	// Duties are long-lived, so there are no idle workers to purge.
	pool, err := ants.NewPool(max(size, 1), ants.WithPanicHandler(r.panicked), ants.WithDisablePurge(true))
	if err != nil {
		return fmt.Errorf("create pool for %d duties: %w", size, err)
	}
	r.pool = pool
	for _, name := range r.kernel.order {
		ctx, cancel := context.WithCancel(context.Background())
		r.groups[name] = &group{ctx: ctx, cancel: cancel}
	}
	for _, e := range r.kernel.duties {
		if err := r.submit(e.service, func(ctx context.Context) { r.loop(ctx, e.duty) }); err != nil {
			return err
		}
	}
	for _, e := range r.kernel.blockers {
		if err := r.submit(e.service, func(ctx context.Context) { r.block(ctx, e.blocker) }); err != nil {
			return err
		}
	}
	return nil
}

func (r *runner) submit(service string, run func(ctx context.Context)) error {
	g := r.groups[service]
	g.done.Add(1)
	err := r.pool.Submit(func() {
		defer g.done.Done()
		run(g.ctx)
	})
	if err != nil {
		g.done.Done()
		return fmt.Errorf("start duty of service %s: %w", service, err)
	}
	return nil
}

// panicked is the pool's panic handler. It stops all services.
func (r *runner) panicked(v any) {
	r.cancel(fmt.Errorf("%w: %v", ErrPanic, v))
}

// loop steps a duty whenever its gate is signalled or its wake time comes.
func (r *runner) loop(ctx context.Context, d Duty) {
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

func (r *runner) block(ctx context.Context, b Blocker) {
	if b.Interrupt != nil {
		stop := context.AfterFunc(ctx, b.Interrupt)
		defer stop()
	}
	if err := b.Run(ctx); err != nil && ctx.Err() == nil {
		r.cancel(fmt.Errorf("%s: %w", b.Name, err))
	}
}

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
		r.groups[name].done.Wait()
		r.kernel.closeRings(name)
	}
	return errors.Join(errs...)
}
