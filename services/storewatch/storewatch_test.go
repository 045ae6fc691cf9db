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

// fakeCore is the service "core" with a replica.
type fakeCore struct {
	mu      sync.Mutex
	replica *table.Replica
	news    chan *message.TableDelta
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
	c.news <- delta
	return nil
}

func (c *fakeCore) keys() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replica.LiveKeys()
}

// rig runs the service in a threaded kernel.
type rig struct {
	*is.I
	t      *testing.T
	engine *standin.Engine
	core   *fakeCore
	watch  *Service
	relay  atomic.Bool
	roles  chan struct{} // one item for each check of the role
	close  func()        // closes what the test opened after start
	stop   func()
}

func newRig(t *testing.T, relay bool, adapt func(*Config)) *rig {
	r := &rig{I: is.New(t), t: t, roles: make(chan struct{}, 1)}
	r.engine = standin.NewEngine(standin.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	r.core = &fakeCore{replica: table.NewReplica(), news: make(chan *message.TableDelta, 64)}
	r.relay.Store(relay)
	config := Config{
		Store:        standin.NewClient(r.engine),
		IsRelay:      r.isRelay,
		HasTable:     func() bool { return len(r.core.keys()) > 0 },
		LiveKeys:     r.core.keys,
		Sleep:        func(ctx context.Context, _ time.Duration) error { return ctx.Err() },
		RoleInterval: time.Millisecond,
		ReadDelay:    time.Nanosecond,
	}
	if adapt != nil {
		adapt(&config)
	}
	r.watch = New(config)
	return r
}

func (r *rig) isRelay() bool {
	select {
	case r.roles <- struct{}{}:
	default:
	}
	return r.relay.Load()
}

// start runs the kernel; the test's end stops it.
func (r *rig) start() {
	leaks := goleak.IgnoreCurrent()
	k := kernel.New(kernel.NewClock())
	r.NoErr(k.Register(r.core))
	r.NoErr(k.Register(r.watch))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- k.Run(ctx, time.Second) }()
	r.stop = func() {
		cancel()
		r.NoErr(<-ended)
		if r.close != nil {
			r.close()
		}
		goleak.VerifyNone(r.t, leaks)
	}
}

// set writes a service with n targets, or deletes it.
func (r *rig) set(name string, n int) int64 {
	r.t.Helper()
	t := store.Txn{Deletes: []string{table.MetaKey(name), table.ShardKey(name, 0)}}
	if n > 0 {
		s := &table.Service{Name: name, Kinds: []table.Kind{{Name: "k", Urgency: table.Normal, Share: 1}}}
		entries, err := table.EncodeService(s, 1)
		r.NoErr(err)
		t = store.Txn{}
		for _, e := range entries {
			t.Puts = append(t.Puts, store.Put{Key: e.Key, Value: e.Value})
		}
	}
	answer, err := r.engine.Txn(t)
	r.NoErr(err)
	return answer.Revision
}

// next waits for the next delta and returns "key@revision" of its entries, with
// a minus before deletions.
func (r *rig) next() string {
	delta := <-r.core.news
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

// Guards against changes that a relay misses or repeats, also after the watch
// was lost, and against full reads that are not needed.
func TestRelayFollowsTheStore(t *testing.T) {
	r := newRig(t, true, nil)
	r.set("a", 1)
	r.start()
	r.Equal(r.next(), "a/0@2 a/meta@2")
	r.set("b", 1)
	r.Equal(r.next(), "b/meta@3 b/0@3")
	r.set("a", 0)
	r.Equal(r.next(), "-a/meta@4 -a/0@4")
	r.engine.DropWatches()
	r.set("c", 1)
	r.Equal(r.next(), "c/meta@5 c/0@5")
	r.stop()
	stats := r.watch.Stats()
	r.Equal(stats.Reads, uint64(1))
	r.Equal(stats.Watches, uint64(2))
	calls := r.engine.Calls()
	r.Equal(stats.Calls(), calls.Total()-calls.Txns)
	r.Equal(stats.Revision, int64(5))
	keys := r.core.keys()
	slices.Sort(keys)
	r.Equal(keys, []string{"gypsumspan/table/b/0", "gypsumspan/table/b/meta", "gypsumspan/table/c/0", "gypsumspan/table/c/meta"})
}

// Guards against deletions that are lost with the compacted revisions.
func TestCompactionCausesAFullRead(t *testing.T) {
	failed := make(chan struct{}, 1)
	proceed := make(chan struct{})
	r := newRig(t, true, func(c *Config) {
		c.Sleep = func(ctx context.Context, _ time.Duration) error {
			select {
			case failed <- struct{}{}:
			default:
			}
			<-proceed
			return ctx.Err()
		}
	})
	r.set("a", 1)
	r.set("b", 1)
	r.start()
	r.Equal(r.next(), "a/0@2 a/meta@2 b/0@3 b/meta@3")
	r.engine.SetOutage(true)
	<-failed
	r.engine.SetOutage(false)
	r.set("a", 0)
	r.set("c", 1)
	r.engine.Compact(r.engine.Revision())
	close(proceed)
	r.Equal(r.next(), "b/0@3 b/meta@3 c/0@5 c/meta@5")
	r.Equal(len(r.next()), len("-a/meta@5 -a/0@5"))
	r.Equal(len(r.core.keys()), 4)
	r.stop()
}

// Guards against VMs that are no relays and load the store.
func TestOtherVMsReadAtMostOnce(t *testing.T) {
	for _, hasTable := range []bool{false, true} {
		t.Run(fmt.Sprint(hasTable), func(t *testing.T) {
			r := newRig(t, false, func(c *Config) { c.HasTable = func() bool { return hasTable } })
			r.set("a", 1)
			r.start()
			if !hasTable {
				r.Equal(r.next(), "a/0@2 a/meta@2")
			}
			for range 20 {
				<-r.roles
			}
			r.stop()
			want := standin.Calls{Txns: 1}
			if !hasTable {
				want.Ranges = 1
			}
			r.Equal(r.engine.Calls(), want)
		})
	}
}

// Guards against a VM that goes on watching after another became the relay, and
// against one that starts from nothing when it becomes a relay again.
func TestRoleChanges(t *testing.T) {
	r := newRig(t, true, nil)
	r.set("a", 1)
	r.start()
	r.Equal(r.next(), "a/0@2 a/meta@2")
	r.set("b", 1)
	r.Equal(r.next(), "b/meta@3 b/0@3")
	r.relay.Store(false)
	for range 3 {
		// The check that was running and the one after it.
		<-r.roles
	}
	r.set("c", 1)
	for range 20 {
		<-r.roles
	}
	r.Equal(len(r.core.news), 0)
	r.relay.Store(true)
	r.Equal(r.next(), "c/meta@4 c/0@4")
	r.stop()
	r.Equal(r.engine.Calls(), standin.Calls{Ranges: 1, Txns: 3, Watches: 2})
}

// Guards against parts of the path from an operator's change to a VM's copy that
// don't fit together.
func TestOperatorsChangeReachesTheReplica(t *testing.T) {
	engine := standin.NewEngine(standin.Options{})
	server := httptest.NewServer(standin.Handler(engine))
	client, err := store.NewHTTP(store.HTTPConfig{Endpoints: []string{server.URL}})
	if err != nil {
		t.Fatal(err)
	}
	r := newRig(t, true, func(c *Config) { c.Store = client })
	r.close = func() {
		client.Close()
		server.Close()
	}
	const text = "service,address,kind,urgency,share\nlive,192.0.2.1:7000,check-in,urgent,8\n" +
		"service,target,domain,address,health,weight,limit,state\nlive,t1,a,10.0.0.1:7300,10.0.0.1:7301,1,3,active\n"
	mine, faults := sheet.ParseCSV([]byte(text))
	r.Equal(len(faults), 0)
	operator := ops.New(ops.Config{Store: client, Operator: "ann"})
	apply := func(plan *ops.Plan, err error) int64 {
		r.NoErr(err)
		result, err := operator.Apply(t.Context(), plan)
		r.NoErr(err)
		return result.Revision
	}
	apply(operator.Plan(t.Context(), mine, nil))
	r.start()
	r.Equal(r.next(), "live/0@2 live/meta@2")
	cell := sheet.Cell{Service: "live", Target: "t1", Column: sheet.ColumnState}
	revision := apply(operator.PlanCell(t.Context(), cell, "draining"))
	r.Equal(r.next(), fmt.Sprintf("live/0@%d", revision))
	r.stop()
	r.Equal(r.core.replica.Version(), uint64(revision))
	target, _ := r.core.replica.Table().Target(message.TargetIDOf("live", "t1"))
	r.Equal(target.State, table.Draining)
}
