package kernel

import (
	"fmt"
	"sync"
	"time"
)

// Kernel is the registry of one process's services, rings and duties.
type Kernel struct {
	clock   Clock
	stepped bool

	mu             sync.Mutex
	services       map[string]Service
	names          []string // in order of registration
	order          []string // start order
	rings          []ringEntry
	duties         []dutyEntry
	blockers       []blockerEntry
	currentService string // name of the service that is being set up or connected
}

// ringEntry is a ring and the service that created it.
type ringEntry struct {
	service string
	ring    interface {
		Stats() RingStats
		Close()
	}
}

type dutyEntry struct {
	service  string
	duty     Duty
	wakeTime time.Duration // used by the stepper only
}

type blockerEntry struct {
	service string
	blocker Blocker
}

// New returns a kernel for Run.
func New(clock Clock) *Kernel {
	return &Kernel{clock: clock, services: make(map[string]Service)}
}

// Build returns an assembled kernel for Run with the given services. It returns
// ErrDuplicateName, ErrUnknownService, ErrDependencyCycle, or the error of the service
// that failed.
func Build(services ...Service) (*Kernel, error) {
	k := New(NewClock())
	for _, s := range services {
		if err := k.Register(s); err != nil {
			return nil, err
		}
	}
	if err := k.Assemble(); err != nil {
		return nil, err
	}
	return k, nil
}

// NewStepped returns a kernel for a Stepper; clock is usually the stepper itself.
func NewStepped(clock Clock) *Kernel {
	k := New(clock)
	k.stepped = true
	return k
}

// Stepped reports whether the kernel is run by a Stepper.
func (k *Kernel) Stepped() bool {
	return k.stepped
}

// Now returns the time since start by the kernel's clock.
func (k *Kernel) Now() time.Duration {
	return k.clock.Now()
}

// TimeOfDay returns the time of day, without a reading of the monotonic clock. That of a stepped
// kernel runs with its clock.
func (k *Kernel) TimeOfDay() time.Time {
	if k.stepped {
		return time.Time{}.Add(k.Now())
	}
	return time.Now().Round(0)
}

// Register adds a service. It returns ErrDuplicateName if the name is taken.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, ok := k.services[s.Name()]; ok {
		return fmt.Errorf("register %s: %w", s.Name(), ErrDuplicateName)
	}
	k.services[s.Name()] = s
	k.names = append(k.names, s.Name())
	return nil
}

// Lookup returns the service with the given name as a T, usually an interface. It returns
// ErrUnknownService or ErrWrongType.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	k.mu.Lock()
	s, ok := k.services[name]
	k.mu.Unlock()
	if !ok {
		return zero, fmt.Errorf("look up %s: %w", name, ErrUnknownService)
	}
	t, ok := s.(T)
	if !ok {
		return zero, fmt.Errorf("look up %s as %T: %w", name, &zero, ErrWrongType)
	}
	return t, nil
}

// AddDuty declares a duty of the service that is being connected.
func (k *Kernel) AddDuty(d Duty) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.duties = append(k.duties, dutyEntry{service: k.currentService, duty: d})
}

// AddBlocker declares a blocker of the service that is being connected.
func (k *Kernel) AddBlocker(b Blocker) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.blockers = append(k.blockers, blockerEntry{service: k.currentService, blocker: b})
}

// Rings returns the metrics of every ring, in order of creation.
func (k *Kernel) Rings() []RingStats {
	k.mu.Lock()
	rings := k.rings
	k.mu.Unlock()
	stats := make([]RingStats, 0, len(rings))
	for _, r := range rings {
		stats = append(stats, r.ring.Stats())
	}
	return stats
}

func (k *Kernel) addRing(r interface {
	Stats() RingStats
	Close()
}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rings = append(k.rings, ringEntry{service: k.currentService, ring: r})
}

// closeRings closes the rings of a service whose duties have ended, so that no
// producer stays blocked on them.
func (k *Kernel) closeRings(service string) {
	for _, r := range k.rings {
		if r.service == service {
			r.ring.Close()
		}
	}
}

// Assemble sets up all services and then connects them, both in start order. It returns
// ErrUnknownService, ErrDependencyCycle, or the error of the service that failed. Run and
// Stepper.Add call it; calls after a successful one have no effect.
func (k *Kernel) Assemble() error {
	if k.order != nil {
		return nil
	}
	order, err := k.startOrder()
	if err != nil {
		return err
	}
	for _, name := range order {
		k.currentService = name
		if err := k.services[name].Setup(k); err != nil {
			return fmt.Errorf("set up service %s: %w", name, err)
		}
	}
	for _, name := range order {
		k.currentService = name
		if err := k.services[name].Connect(k); err != nil {
			return fmt.Errorf("connect service %s: %w", name, err)
		}
	}
	k.order = order
	return nil
}

// startOrder sorts the services topologically: each follows its dependencies. It
// returns ErrDependencyCycle or ErrUnknownService.
func (k *Kernel) startOrder() ([]string, error) {
	const (
		visiting = 1
		done     = 2
	)
	order := make([]string, 0, len(k.names))
	state := make(map[string]int, len(k.names))
	var visit func(name string) error
	visit = func(name string) error {
		switch state[name] {
		case done:
			return nil
		case visiting:
			return fmt.Errorf("service %s: %w", name, ErrDependencyCycle)
		}
		state[name] = visiting
		s, ok := k.services[name]
		if !ok {
			return fmt.Errorf("service %s: %w", name, ErrUnknownService)
		}
		for _, dependency := range s.Dependencies() {
			if err := visit(dependency); err != nil {
				return fmt.Errorf("dependency of %s: %w", s.Name(), err)
			}
		}
		state[name] = done
		order = append(order, name)
		return nil
	}
	for _, name := range k.names {
		if err := visit(name); err != nil {
			return nil, err
		}
	}
	return order, nil
}
