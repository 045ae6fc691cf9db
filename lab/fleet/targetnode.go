package fleet

import (
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/standin/target"
)

// targetRingSize is the capacity of a target's input ring, in messages.
const targetRingSize = 1 << 14

// Target is a target of the fleet: the state machine of a stand-in target and its kernel.
type Target struct {
	fleet   *Fleet
	id      message.TargetID
	service message.ServiceID
	domain  string
	addr    netip.AddrPort
	machine *target.Machine
	kernel  *kernel.Kernel
	gate    *kernel.Gate
	in      *kernel.Ring[message.Message]
}

func (t *Target) Name() string           { return "target" }
func (t *Target) Dependencies() []string { return nil }

// Setup implements kernel.Service.
func (t *Target) Setup(k *kernel.Kernel) error {
	t.gate = kernel.NewGate()
	t.in = kernel.NewRing[message.Message](k, "target.in", targetRingSize, kernel.DropNewest, t.gate)
	return nil
}

// Connect implements kernel.Service.
func (t *Target) Connect(k *kernel.Kernel) error {
	k.AddDuty(kernel.Duty{Name: "target", Gate: t.gate, Step: t.step})
	return nil
}

func (t *Target) step(now time.Duration) time.Duration {
	for {
		m, ok := t.in.Take()
		if !ok {
			break
		}
		t.fleet.oracle.checkDispatch(t, m)
		t.emit(t.machine.Receive(now, m))
	}
	t.emit(t.machine.Tick(now))
	return t.machine.NextWake()
}

func (t *Target) emit(out []message.Message) {
	from := message.TargetAddress(t.id, t.addr)
	for _, m := range out {
		t.fleet.net.send(t.domain, from, m)
	}
}

// Machine returns the state machine of the stand-in, for its statistics.
func (t *Target) Machine() *target.Machine {
	return t.machine
}

// Control changes the target's behaviour, for example makes it crash.
func (t *Target) Control(c target.Control) {
	t.fleet.must(t.machine.Apply(t.fleet.Now(), c))
	t.gate.Signal()
}

// StartTarget starts the stand-in target of a table row, or returns it if it runs already.
// It runs until the end of the run.
func (f *Fleet) StartTarget(service, name string, config target.Config) *Target {
	id := message.TargetIDOf(service, name)
	if t := f.targets[id]; t != nil {
		return t
	}
	s := f.services[service]
	t := &Target{fleet: f, id: id, service: s.ID}
	for i := range s.Targets {
		if s.Targets[i].ID == id {
			t.domain = s.Targets[i].Domain
			t.addr = s.Targets[i].Addr
		}
	}
	config.ID = id
	t.machine = target.New(config, f.rng.Uint64())
	t.kernel = kernel.NewStepped(f.stepper)
	f.must(t.kernel.Register(t))
	f.must(f.stepper.Add(t.kernel))
	f.targets[id] = t
	f.net.targets[id] = &endpoint{domain: t.domain, put: func(m message.Message) { _ = t.in.Put(m) }}
	return t
}

// Target returns a started target, or nil.
func (f *Fleet) Target(service, name string) *Target {
	return f.targets[message.TargetIDOf(service, name)]
}

// healthReport returns the result of a health check of a target from a failure domain.
func (f *Fleet) healthReport(domain string, id message.TargetID) *message.TargetReport {
	report := &message.TargetReport{Target: id}
	t := f.targets[id]
	if t == nil || f.net.separated(domain, t.domain) {
		return report
	}
	health, ok := t.machine.Health(f.Now())
	if !ok {
		return report
	}
	report.Reached = true
	report.Healthy = health.Healthy
	report.Draining = health.Draining
	report.Cold = health.Cold
	report.InFlight = health.InFlight
	return report
}
