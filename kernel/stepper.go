package kernel

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Stepper runs the duties of several kernels on the calling goroutine, under a
// virtual clock. For the same seed and the same calls the order of steps is the
// same. It implements Clock.
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

// Add assembles k and runs its duties from now on.
func (s *Stepper) Add(k *Kernel) error {
	if err := k.Assemble(); err != nil {
		return err
	}
	for i := range k.duties {
		k.duties[i].wake = s.now
	}
	s.kernels = append(s.kernels, &steppedKernel{kernel: k})
	return nil
}

// Remove stops running k at once, as a crash does.
func (s *Stepper) Remove(k *Kernel) {
	s.kernels = slices.DeleteFunc(s.kernels, func(sk *steppedKernel) bool { return sk.kernel == k })
}

// SetPaused freezes or resumes k. Input that arrives meanwhile stays in its rings.
func (s *Stepper) SetPaused(k *Kernel, paused bool) {
	for _, sk := range s.kernels {
		if sk.kernel == k {
			sk.paused = paused
		}
	}
}

// Advance runs everything that is due until d has passed on the virtual clock.
func (s *Stepper) Advance(d time.Duration) {
	end := s.now + d
	for {
		s.runReady()
		next := s.nextWake()
		if next > end {
			break
		}
		s.now = next
	}
	s.now = end
}

// runReady steps ready duties, one at a time in seeded order, until none is ready.
func (s *Stepper) runReady() {
	for {
		s.collectReady()
		if len(s.ready) == 0 {
			return
		}
		e := s.ready[s.rng.IntN(len(s.ready))]
		e.duty.Gate.TryTake()
		e.wake = e.duty.Step(s.now)
	}
}

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

// isReady reports whether the duty has input or is due, and has room for output.
func (e *dutyEntry) isReady(now time.Duration) bool {
	if e.wake > now && len(e.duty.Gate.ch) == 0 {
		return false
	}
	for _, out := range e.duty.Outputs {
		if out.Available() < e.duty.MinAvailable {
			return false
		}
	}
	return true
}

// nextWake returns the earliest time after now at which a duty is due.
func (s *Stepper) nextWake() time.Duration {
	next := Idle
	for _, sk := range s.kernels {
		if sk.paused {
			continue
		}
		for i := range sk.kernel.duties {
			if wake := sk.kernel.duties[i].wake; wake > s.now {
				next = min(next, wake)
			}
		}
	}
	return next
}
