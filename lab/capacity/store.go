package capacity

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/sheet"
	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/ops"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/services/storewatch"
	standin "github.com/gypsumspan/gypsumspan/standin/store"
	"github.com/gypsumspan/gypsumspan/store"
)

func storeExperiments() []Experiment {
	return []Experiment{
		{
			Name: "store.read.calls", Unit: Calls, Per: "service in the table",
			Sizes: []int{100, 1_000, 4_000}, TinySizes: []int{10, 60, 110},
			Measure: func(_ *Meter, n int) Point { return newPoint(n, relayCalls(1, n)) },
		},
		{
			Name: "store.relay.calls", Unit: Calls, Per: "relay", Sizes: []int{2, 8, 16}, TinySizes: []int{1, 2, 3},
			Measure: func(_ *Meter, n int) Point { return newPoint(n, relayCalls(n, 1)) },
		},
		{
			Name: "store.edit.calls", Unit: Calls, Per: "change of one cell", Sizes: []int{5, 10, 20}, TinySizes: []int{1, 2, 3},
			Measure: func(_ *Meter, n int) Point { return newPoint(n, editCalls(n)) },
		},
	}
}

// newStore returns a store without rate limits that contains services of 9 targets each.
func newStore(services int) *standin.Engine {
	engine := standin.NewEngine(standin.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	for n := range services {
		putService(engine, service(n, services, 9*services))
	}
	return engine
}

// putService writes all entries of a service to the store.
func putService(engine *standin.Engine, s *table.Service) {
	var t store.Txn
	for _, e := range entriesOf(s, 1) {
		t.Puts = append(t.Puts, store.Put{Key: e.Key, Value: e.Value})
	}
	if _, err := engine.Txn(t); err != nil {
		panic("capacity: " + err.Error())
	}
}

// sink takes the place of the service "core" of a relay and counts the entries that it
// receives. It signals done when it has the wanted number, and for each later delta.
type sink struct {
	wanted  int64
	entries atomic.Int64
	done    chan struct{}
}

func (*sink) Name() string                 { return core.Name }
func (*sink) Dependencies() []string       { return nil }
func (*sink) Setup(*kernel.Kernel) error   { return nil }
func (*sink) Connect(*kernel.Kernel) error { return nil }

// Put implements storewatch.Inbox.
func (s *sink) Put(m message.Message) error {
	delta := m.Body.(*message.TableDelta)
	if s.entries.Add(int64(len(delta.Entries))) >= s.wanted {
		select {
		case s.done <- struct{}{}:
		default:
		}
	}
	return nil
}

// relayCalls counts the calls to the store while relays read a table and watch it until they
// have received one changed service. The calls that write that service are not counted.
func relayCalls(relays, services int) float64 {
	engine := newStore(services)
	before := engine.Calls().Total()
	sinks := make([]*sink, relays)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, relays)
	for i := range sinks {
		sinks[i] = &sink{wanted: int64(2 * services), done: make(chan struct{}, 1)}
		go func() { ended <- runRelay(ctx, engine, sinks[i]) }()
	}
	for _, s := range sinks {
		<-s.done
	}
	reads := engine.Calls()
	putService(engine, service(0, 1, 9))
	for _, s := range sinks {
		<-s.done
	}
	calls := engine.Calls().Total() - before - (engine.Calls().Txns - reads.Txns)
	cancel()
	for range sinks {
		if err := <-ended; err != nil {
			panic("capacity: " + err.Error())
		}
	}
	return float64(calls)
}

func runRelay(ctx context.Context, engine *standin.Engine, s *sink) error {
	k := kernel.New(kernel.NewClock())
	watch := storewatch.New(storewatch.Config{
		Store:    standin.NewClient(engine),
		IsRelay:  func() bool { return true },
		HasTable: func() bool { return s.entries.Load() > 0 },
		LiveKeys: func() []string { return nil },
	})
	for _, service := range []kernel.Service{s, watch} {
		if err := k.Register(service); err != nil {
			return err
		}
	}
	return k.Run(ctx, time.Second)
}

// editCalls counts the calls to the store of n operators who change one cell each.
func editCalls(n int) float64 {
	engine := newStore(n)
	before := engine.Calls().Total()
	for i := range n {
		if err := editCell(engine, serviceName(i), i); err != nil {
			panic("capacity: " + err.Error())
		}
	}
	return float64(engine.Calls().Total() - before)
}

func editCell(engine *standin.Engine, name string, i int) error {
	o := ops.New(ops.Config{
		Store:    standin.NewClient(engine),
		Operator: "capacity",
		NewID:    func() string { return fmt.Sprintf("change-%06d", i) },
	})
	// Service i has 9 targets, from 9*i on.
	cell := sheet.Cell{Service: name, Target: targetRow(name, 9*i).Name, Column: sheet.ColumnWeight}
	plan, err := o.PlanCell(context.Background(), cell, "77")
	if err != nil {
		return err
	}
	_, err = o.Apply(context.Background(), plan)
	return err
}
