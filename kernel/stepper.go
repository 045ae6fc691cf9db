package kernel

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Stepper runs the duties of several kernels on the calling goroutine, under a
// virtual clock. The order of steps depends only on the seed and the calls. It
// implements Clock.
type Stepper struct {
	now     time.Duration
	rng     *rand.Rand
	kernels []*steppedKernel
	ready   []*dutyEntry
}

type steppedKernel struct {
	kernel *Kernel
	paused bool
}

// NewStepper returns a stepper at time zero.
func NewStepper(seed uint64) *Stepper {
	return &Stepper{rng: rand.New(rand.NewPCG(seed, 0))}
}

// Now implements Clock.
func (s *Stepper) Now() time.Duration {
	return s.now
}

// Add assembles k and adds its duties, which become due immediately.
func (s *Stepper) Add(k *Kernel) error {
	if err := k.Assemble(); err != nil {
		return err
	}
	for i := range k.duties {
		k.duties[i].wakeTime = s.now
	}
	s.kernels = append(s.kernels, &steppedKernel{kernel: k})
	return nil
}

// Remove stops running k immediately, as a crash does: no Stopper is called.
func (s *Stepper) Remove(k *Kernel) {
	s.kernels = slices.DeleteFunc(s.kernels, func(sk *steppedKernel) bool { return sk.kernel == k })
}

// SetPaused pauses or resumes k. Input that arrives during a pause stays in its rings.
func (s *Stepper) SetPaused(k *Kernel, paused bool) {
	for _, sk := range s.kernels {
		if sk.kernel == k {
			sk.paused = paused
		}
	}
}

// Advance runs all duties that are due until d has passed on the virtual clock.
func (s *Stepper) Advance(d time.Duration) {
	end := s.now + d
	for {
		s.runReady()
		next := s.nextWakeTime()
		if next > end {
			break
		}
		s.now = next
	}
	s.now = end
}

// runReady steps ready duties, one at a time in seeded random order, until none is ready.
func (s *Stepper) runReady() {
	for {
		s.collectReady()
		if len(s.ready) == 0 {
			return
		}
		e := s.ready[s.rng.IntN(len(s.ready))]
		e.duty.Gate.TryTake()
		e.wakeTime = e.duty.Step(s.now)
	}
}

// collectReady fills s.ready with the ready duties of all kernels that are not paused.
func (s *Stepper) collectReady() {
	s.ready = s.ready[:0]
	for _, sk := range s.kernels {
		if sk.paused {
			continue
		}
		for i := range sk.kernel.duties {
			e := &sk.kernel.duties[i]
			if e.isReady(s.now) {
				s.ready = append(s.ready, e)
			}
		}
	}
}

// isReady reports whether the duty has input or is due, and all its outputs have
// enough free slots.
func (e *dutyEntry) isReady(now time.Duration) bool {
	if e.wakeTime > now && len(e.duty.Gate.ch) == 0 {
		return false
	}
	for _, out := range e.duty.Outputs {
		if out.Available() < e.duty.MinAvailable {
			return false
		}
	}
	return true
}

// nextWakeTime returns the earliest wake time after now in all kernels that are not paused,
// or Idle.
func (s *Stepper) nextWakeTime() time.Duration {
	next := Idle
	for _, sk := range s.kernels {
		if sk.paused {
			continue
		}
		for i := range sk.kernel.duties {
			if wake := sk.kernel.duties[i].wakeTime; wake > s.now {
				next = min(next, wake)
			}
		}
	}
	return next
}
