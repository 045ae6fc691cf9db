package fleet

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/standin/target"
)

// KindSpec is a kind of requests of a service and the profile of their service times and
// answers.
type KindSpec struct {
	table.Kind
	Idempotent bool
	Profile    target.RequestProfile
	Timeout    time.Duration
}

// ServiceSpec describes a service whose targets differ in weight only.
type ServiceSpec struct {
	Name    string
	Targets int
	Slots   int
	Weight  func(i int) uint32 // weight of the i-th target; nil: 1 for all
	Kinds   []KindSpec
}

// AddService adds a service to the table, with its targets spread over the failure domains,
// and starts the targets.
func (f *Fleet) AddService(spec ServiceSpec) {
	s := table.Service{Name: spec.Name, Address: spec.Name + ".example:7100"}
	for _, k := range spec.Kinds {
		s.Kinds = append(s.Kinds, k.Kind)
	}
	for i := range spec.Targets {
		s.Targets = append(s.Targets, f.newRow(spec, i))
	}
	f.PutService(s)
	for i := range s.Targets {
		f.StartTarget(spec.Name, s.Targets[i].Name, targetConfig(spec))
	}
}

// newRow returns a table row for the service's i-th target, with a new address.
func (f *Fleet) newRow(spec ServiceSpec, i int) table.Target {
	weight := uint32(1)
	if spec.Weight != nil {
		weight = spec.Weight(i)
	}
	f.targetAddresses++
	ip := netip.AddrFrom4([4]byte{10, 100, byte(f.targetAddresses >> 8), byte(f.targetAddresses)})
	return table.Target{
		Name:   fmt.Sprintf("t%02d", i),
		Domain: f.options.Domains[i%len(f.options.Domains)],
		Addr:   netip.AddrPortFrom(ip, 8000),
		Health: netip.AddrPortFrom(ip, 8001),
		Weight: weight,
		Limit:  uint32(spec.Slots),
		State:  table.Active,
	}
}

func targetConfig(spec ServiceSpec) target.Config {
	config := target.Config{Slots: spec.Slots}
	for _, k := range spec.Kinds {
		config.Profiles = append(config.Profiles, k.Profile)
	}
	return config
}

// StartVMs starts n VMs, spread over the failure domains, named vm01 and so on.
func (f *Fleet) StartVMs(n int) {
	for i := range n {
		f.StartVM(fmt.Sprintf("vm%02d", i+1), f.options.Domains[i%len(f.options.Domains)])
	}
}

// SetState changes the state of a target's row in the table.
func (f *Fleet) SetState(service, name string, state table.State) {
	f.editRow(service, name, func(row *table.Target) { row.State = state })
}

// SetWeight changes the weight of a target's row in the table.
func (f *Fleet) SetWeight(service, name string, weight uint32) {
	f.editRow(service, name, func(row *table.Target) { row.Weight = weight })
}

func (f *Fleet) editRow(service, name string, edit func(*table.Target)) {
	s := f.Service(service)
	for i := range s.Targets {
		if s.Targets[i].Name == name {
			edit(&s.Targets[i])
		}
	}
	f.PutService(s)
}

// Load sends calls on a set of open flows in turn.
type Load struct {
	Caller   *Caller
	Service  string
	Kinds    []KindSpec
	Flows    []session.FlowID
	nextFlow int
}

// NewLoad starts a caller and opens n flows to a service.
func (f *Fleet) NewLoad(spec ServiceSpec, n int) *Load {
	l := &Load{Caller: f.NewCaller(), Service: spec.Name, Kinds: spec.Kinds}
	for range n {
		l.Flows = append(l.Flows, l.Caller.OpenFlow(spec.Name))
	}
	f.loads = append(f.loads, l)
	return l
}

// Send starts a call of a kind on the next flow.
func (l *Load) Send(kind message.KindID) {
	flow := l.Flows[l.nextFlow%len(l.Flows)]
	l.nextFlow++
	k := &l.Kinds[kind]
	l.Caller.Do(flow, l.Service, kind, k.Idempotent, k.Timeout)
}

// Run advances the fleet by d. Each load sends a call at every interval, of its kinds in turn.
func (f *Fleet) Run(d, interval time.Duration, loads ...*Load) {
	end := f.Now() + d
	for n := 0; f.Now() < end; n++ {
		for _, l := range loads {
			l.Send(message.KindID(n % len(l.Kinds)))
		}
		f.Advance(interval)
	}
}

// FinishCalls advances the fleet until no call is in progress, at most by limit, and then by
// 2 s more for executions that outlast their calls.
func (f *Fleet) FinishCalls(limit time.Duration) {
	end := f.Now() + limit
	for f.Now() < end && f.callsInProgress() > 0 {
		f.Advance(100 * time.Millisecond)
	}
	f.Advance(2 * time.Second)
}

func (f *Fleet) callsInProgress() int {
	n := 0
	for _, c := range f.callers {
		n += c.CallsInProgress()
	}
	return n
}

// BrokenFlows returns the number of flows that callers found broken.
func (f *Fleet) BrokenFlows() uint64 {
	var n uint64
	for _, c := range f.callers {
		n += c.Counters().Broken
	}
	return n
}
