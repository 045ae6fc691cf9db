package storewatch

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/sheet"
	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/ops"
	"github.com/gypsumspan/gypsumspan/services/core"
	standin "github.com/gypsumspan/gypsumspan/standin/store"
	"github.com/gypsumspan/gypsumspan/store"
)

// fakeCore is a fake of the service "core" that merges what it receives into a replica.
type fakeCore struct {
	mu      sync.Mutex
	replica *table.Replica
	deltas  chan *message.TableDelta
}

func (*fakeCore) Name() string                 { return core.Name }
func (*fakeCore) Dependencies() []string       { return nil }
func (*fakeCore) Setup(*kernel.Kernel) error   { return nil }
func (*fakeCore) Connect(*kernel.Kernel) error { return nil }

func (c *fakeCore) Put(m message.Message) error {
	delta := m.Body.(*message.TableDelta)
	if m.From.Kind != message.PeerPlatform {
		return fmt.Errorf("message from peer kind %d", m.From.Kind)
	}
	c.mu.Lock()
	c.replica.Merge(delta.Entries)
	c.mu.Unlock()
	c.deltas <- delta
	return nil
}

func (c *fakeCore) keys() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.LiveKeys()
}

// fixture runs the service in a threaded kernel, with a fake store and a fake core.
type fixture struct {
	*is.I
	t          *testing.T
	engine     *standin.Engine
	core       *fakeCore
	service    *Service
	relay      atomic.Bool
	roleChecks chan struct{} // one item for each check of the role, while there is room
	close      func()        // set by a test: closes what it opened
	stop       func()
}

func newFixture(t *testing.T, relay bool, modify func(*Config)) *fixture {
	f := &fixture{I: is.New(t), t: t, roleChecks: make(chan struct{}, 1)}
	f.engine = standin.NewEngine(standin.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	f.core = &fakeCore{replica: table.NewReplica(), deltas: make(chan *message.TableDelta, 64)}
	f.relay.Store(relay)
	config := Config{
		Store:        standin.NewClient(f.engine),
		IsRelay:      f.isRelay,
		HasTable:     func() bool { return len(f.core.keys()) > 0 },
		LiveKeys:     f.core.keys,
		Sleep:        func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
		RoleInterval: time.Millisecond,
		ReadDelay:    time.Nanosecond,
	}
	if modify != nil {
		modify(&config)
	}
	f.service = New(config)
	return f
}

func (f *fixture) isRelay() bool {
	select {
	case f.roleChecks <- struct{}{}:
	default:
	}
	return f.relay.Load()
}

// start runs the kernel. The test must call stop.
func (f *fixture) start() {
	leaks := goleak.IgnoreCurrent()
	k := kernel.New(kernel.NewClock())
	f.NoErr(k.Register(f.core))
	f.NoErr(k.Register(f.service))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- k.Run(ctx, time.Second) }()
	f.stop = func() {
		cancel()
		f.NoErr(<-ended)
		if f.close != nil {
			f.close()
		}
		goleak.VerifyNone(f.t, leaks)
	}
}

// set writes a service, or deletes it if n is 0. It returns the revision of the store.
func (f *fixture) set(name string, n int) int64 {
	f.t.Helper()
	t := store.Txn{Deletes: []string{table.MetaKey(name), table.ShardKey(name, 0)}}
	if n > 0 {
		s := &table.Service{Name: name, Kinds: []table.Kind{{Name: "k", Urgency: table.Normal, Share: 1}}}
		entries, err := table.EncodeService(s, 1)
		f.NoErr(err)
		t = store.Txn{}
		for _, e := range entries {
			t.Puts = append(t.Puts, store.Put{Key: e.Key, Value: e.Value})
		}
	}
	answer, err := f.engine.Txn(t)
	f.NoErr(err)
	return answer.Revision
}

// next waits for the next delta and returns its entries as "key@revision", deletions with a
// minus sign.
func (f *fixture) next() string {
	delta := <-f.core.deltas
	text := ""
	for _, e := range delta.Entries {
		sign := ""
		if e.Value == nil {
			sign = "-"
		}
		text += fmt.Sprintf(" %s%s@%d", sign, e.Key[len(table.Prefix):], e.Revision)
	}
	return text[1:]
}

// Guards against changes that a relay misses or delivers twice, also after a watch failed,
// and against unnecessary full reads.
func TestRelayFollowsTheStore(t *testing.T) {
	f := newFixture(t, true, nil)
	f.set("a", 1)
	f.start()
	f.Equal(f.next(), "a/0@2 a/meta@2")
	f.set("b", 1)
	f.Equal(f.next(), "b/meta@3 b/0@3")
	f.set("a", 0)
	f.Equal(f.next(), "-a/meta@4 -a/0@4")
	f.engine.DropWatches()
	f.set("c", 1)
	f.Equal(f.next(), "c/meta@5 c/0@5")
	f.stop()
	stats := f.service.Stats()
	f.Equal(stats.Reads, uint64(1))
	f.Equal(stats.Watches, uint64(2))
	calls := f.engine.Calls()
	f.Equal(stats.Calls(), calls.Total()-calls.Txns)
	f.Equal(stats.Revision, int64(5))
	keys := f.core.keys()
	slices.Sort(keys)
	f.Equal(keys, []string{"gypsumspan/table/b/0", "gypsumspan/table/b/meta", "gypsumspan/table/c/0", "gypsumspan/table/c/meta"})
}

// Guards against a key that stays in the replica because the revision of its deletion was
// compacted during an outage.
func TestCompactionCausesAFullRead(t *testing.T) {
	failed := make(chan struct{}, 1)
	proceed := make(chan struct{})
	f := newFixture(t, true, func(c *Config) {
		c.Sleep = func(ctx context.Context, _ time.Duration) error {
			select {
			case failed <- struct{}{}:
			default:
			}
			<-proceed
			return ctx.Err()
		}
	})
	f.set("a", 1)
	f.set("b", 1)
	f.start()
	f.Equal(f.next(), "a/0@2 a/meta@2 b/0@3 b/meta@3")
	f.engine.SetOutage(true)
	<-failed
	f.engine.SetOutage(false)
	f.set("a", 0)
	f.set("c", 1)
	f.engine.Compact(f.engine.Revision())
	close(proceed)
	f.Equal(f.next(), "b/0@3 b/meta@3 c/0@5 c/meta@5")
	f.Equal(len(f.next()), len("-a/meta@5 -a/0@5"))
	f.Equal(len(f.core.keys()), 4)
	f.stop()
}

// Guards against load on the store by VMs that are not relays.
func TestOtherVMsReadAtMostOnce(t *testing.T) {
	for _, hasTable := range []bool{false, true} {
		t.Run(fmt.Sprint(hasTable), func(t *testing.T) {
			f := newFixture(t, false, func(c *Config) { c.HasTable = func() bool { return hasTable } })
			f.set("a", 1)
			f.start()
			if !hasTable {
				f.Equal(f.next(), "a/0@2 a/meta@2")
			}
			for range 20 {
				<-f.roleChecks
			}
			f.stop()
			want := standin.Calls{Txns: 1}
			if !hasTable {
				want.Ranges = 1
			}
			f.Equal(f.engine.Calls(), want)
		})
	}
}

// Guards against a VM that still watches after another became the relay, and against a full
// read when a VM becomes a relay again.
func TestRoleChanges(t *testing.T) {
	f := newFixture(t, true, nil)
	f.set("a", 1)
	f.start()
	f.Equal(f.next(), "a/0@2 a/meta@2")
	f.set("b", 1)
	f.Equal(f.next(), "b/meta@3 b/0@3")
	f.relay.Store(false)
	for range 3 {
		// The check in progress, and the next one, which ends the watch.
		<-f.roleChecks
	}
	f.set("c", 1)
	for range 20 {
		<-f.roleChecks
	}
	f.Equal(len(f.core.deltas), 0)
	f.relay.Store(true)
	f.Equal(f.next(), "c/meta@4 c/0@4")
	f.stop()
	f.Equal(f.engine.Calls(), standin.Calls{Ranges: 1, Txns: 3, Watches: 2})
}

// Guards against components on the path from an operator's change to a VM's replica that
// are incompatible: sheet, ops, store client and server, storewatch, table.
func TestOperatorsChangeReachesTheReplica(t *testing.T) {
	engine := standin.NewEngine(standin.Options{})
	server := httptest.NewServer(standin.Handler(engine))
	client, err := store.NewHTTP(store.HTTPConfig{Endpoints: []string{server.URL}})
	if err != nil {
		t.Fatal(err)
	}
	f := newFixture(t, true, func(c *Config) { c.Store = client })
	f.close = func() {
		client.Close()
		server.Close()
	}
	const text = "service,address,kind,urgency,share\nlive,192.0.2.1:7000,check-in,urgent,8\n" +
		"service,target,domain,address,health,weight,limit,state\nlive,t1,a,10.0.0.1:7300,10.0.0.1:7301,1,3,active\n"
	mine, faults := sheet.ParseCSV([]byte(text))
	f.Equal(len(faults), 0)
	operator := ops.New(ops.Config{Store: client, Operator: "ann"})
	apply := func(plan *ops.Plan, err error) int64 {
		f.NoErr(err)
		result, err := operator.Apply(t.Context(), plan)
		f.NoErr(err)
		return result.Revision
	}
	apply(operator.Plan(t.Context(), mine, nil))
	f.start()
	f.Equal(f.next(), "live/0@2 live/meta@2")
	cell := sheet.Cell{Service: "live", Target: "t1", Column: sheet.ColumnState}
	revision := apply(operator.PlanCell(t.Context(), cell, "draining"))
	f.Equal(f.next(), fmt.Sprintf("live/0@%d", revision))
	f.stop()
	f.Equal(f.core.replica.Version(), uint64(revision))
	target, _ := f.core.replica.Table().Target(message.TargetIDOf("live", "t1"))
	f.Equal(target.State, table.Draining)
}
