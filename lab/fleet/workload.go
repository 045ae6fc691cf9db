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

// KindSpec is one kind of work of a service in a run.
type KindSpec struct {
	table.Kind
	Idempotent bool
	Work       target.RequestProfile
	Timeout    time.Duration
}

// ServiceSpec is one service of a run with equal targets.
type ServiceSpec struct {
	Name    string
	Targets int
	Slots   int
	Weight  func(i int) uint32 // nil: 1 for all
	Kinds   []KindSpec
}

// AddService writes a service to the table, its targets spread over the failure
// domains, and starts the targets.
func (f *Fleet) AddService(spec ServiceSpec) {
	s := table.Service{Name: spec.Name, Address: spec.Name + ".example:7100"}
	for _, k := range spec.Kinds {
		s.Kinds = append(s.Kinds, k.Kind)
	}
	for i := range spec.Targets {
		s.Targets = append(s.Targets, f.row(spec, i))
	}
	f.PutService(s)
	for i := range s.Targets {
		f.StartTarget(spec.Name, s.Targets[i].Name, targetConfig(spec))
	}
}

// row returns the row of the service's i-th target.
func (f *Fleet) row(spec ServiceSpec, i int) table.Target {
	weight := uint32(1)
	if spec.Weight != nil {
		weight = spec.Weight(i)
	}
	f.addresses++
	ip := netip.AddrFrom4([4]byte{10, 100, byte(f.addresses >> 8), byte(f.addresses)})
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
		config.Profiles = append(config.Profiles, k.Work)
	}
	return config
}

// StartVMs starts n VMs, spread over the failure domains, named vm01 and so on.
func (f *Fleet) StartVMs(n int) {
	for i := range n {
		f.StartVM(fmt.Sprintf("vm%02d", i+1), f.options.Domains[i%len(f.options.Domains)])
	}
}

// SetState changes the state of one row of the table.
func (f *Fleet) SetState(service, name string, state table.State) {
	f.editRow(service, name, func(row *table.Target) { row.State = state })
}

// SetWeight changes the weight of one row of the table.
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

// Load sends calls on flows that stay open.
type Load struct {
	Caller  *Caller
	Service string
	Kinds   []KindSpec
	Flows   []session.FlowID
	next    int
}

// NewLoad opens n flows of one caller to a service.
func (f *Fleet) NewLoad(spec ServiceSpec, n int) *Load {
	l := &Load{Caller: f.NewCaller(), Service: spec.Name, Kinds: spec.Kinds}
	for range n {
		l.Flows = append(l.Flows, l.Caller.Open(spec.Name))
	}
	f.loads = append(f.loads, l)
	return l
}

// Send starts one call of a kind on the next flow.
func (l *Load) Send(kind message.KindID) {
	flow := l.Flows[l.next%len(l.Flows)]
	l.next++
	k := &l.Kinds[kind]
	l.Caller.Do(flow, l.Service, kind, k.Idempotent, k.Timeout)
}

// Run sends calls of all kinds in turn, one each interval, for a time.
func (f *Fleet) Run(d, interval time.Duration, loads ...*Load) {
	end := f.Now() + d
	for n := 0; f.Now() < end; n++ {
		for _, l := range loads {
			l.Send(message.KindID(n % len(l.Kinds)))
		}
		f.Advance(interval)
	}
}

// Drain waits until no call is in progress, but at most limit, and then for late
// executions.
func (f *Fleet) Drain(limit time.Duration) {
	end := f.Now() + limit
	for f.Now() < end && f.callsInProgress() > 0 {
		f.Advance(100 * time.Millisecond)
	}
	f.Advance(2 * time.Second)
}

func (f *Fleet) callsInProgress() int {
	n := 0
	for _, c := range f.callers {
		n += c.Calls()
	}
	return n
}

// Broken returns the number of flows that callers lost.
func (f *Fleet) Broken() uint64 {
	var n uint64
	for _, c := range f.callers {
		n += c.Counters().Broken
	}
	return n
}
