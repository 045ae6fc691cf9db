package ops

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/sheet"
	standin "github.com/gypsumspan/gypsumspan/standin/store"
	"github.com/gypsumspan/gypsumspan/store"
)

const exampleCSV = `service,address,kind,urgency,share
docs,192.0.2.2:7000,file,bulk,1
live,192.0.2.1:7000,check-in,urgent,8

service,target,domain,address,health,weight,limit,state
docs,t1,a,10.0.0.3:7300,10.0.0.3:7301,1,3,active
live,t1,a,10.0.0.1:7300,10.0.0.1:7301,1,3,active
live,t2,b,10.0.0.2:7300,10.0.0.2:7301,2,3,active
`

// testClock is the clock of the store and of the operators. Each delay between two
// attempts advances it.
type testClock struct{ now atomic.Int64 }

func (c *testClock) Now() time.Duration { return time.Duration(c.now.Load()) }

// hookedStore calls before ahead of each transaction with the transaction's number. If
// before returns true, its response replaces the store's.
type hookedStore struct {
	store.Store
	before func(n int, t store.Txn) (store.TxnResponse, error, bool)
	txns   int
}

func (h *hookedStore) Txn(ctx context.Context, t store.Txn) (store.TxnResponse, error) {
	h.txns++
	if h.before != nil {
		if response, err, done := h.before(h.txns, t); done {
			return response, err
		}
	}
	return h.Store.Txn(ctx, t)
}

// fixture is a store that holds the table of exampleCSV, and two operators.
type fixture struct {
	*is.I
	t        *testing.T
	clock    testClock
	engine   *standin.Engine
	hooked   *hookedStore
	ops      *Operations // of ann, through hooked
	otherOps *Operations // of bob, with direct access to the store
	onSleep  func()
	exported sheet.Sheet
}

func newFixture(t *testing.T, options standin.Options) *fixture {
	f := &fixture{I: is.New(t), t: t}
	options.Clock = &f.clock
	f.engine = standin.NewEngine(options)
	client := standin.NewClient(f.engine)
	f.hooked = &hookedStore{Store: client}
	f.ops = f.newOperations("ann", f.hooked, "a")
	f.otherOps = f.newOperations("bob", client, "b")
	f.apply(f.otherOps, f.parse(exampleCSV))
	snapshot, err := f.ops.Export(t.Context())
	f.NoErr(err)
	f.exported = snapshot.Sheet
	return f
}

func (f *fixture) newOperations(name string, s store.Store, ids string) *Operations {
	n := 0
	return New(Config{
		Store:           s,
		Operator:        name,
		MaxAuditRecords: 5,
		Now:             func() time.Time { return time.Unix(0, f.clock.now.Add(1)) },
		NewID:           func() string { n++; return fmt.Sprint(ids, n) },
		Jitter:          func() float64 { return 0.5 },
		Sleep: func(ctx context.Context, d time.Duration) error {
			f.clock.now.Add(int64(d))
			if f.onSleep != nil {
				f.onSleep()
			}
			return ctx.Err()
		},
	})
}

func (f *fixture) parse(text string) sheet.Sheet {
	f.t.Helper()
	s, faults := sheet.ParseCSV([]byte(text))
	f.Equal(len(faults), 0)
	return s
}

func (f *fixture) apply(o *Operations, s sheet.Sheet) Result {
	f.t.Helper()
	result, err := f.tryApply(o, s)
	f.NoErr(err)
	return result
}

func (f *fixture) tryApply(o *Operations, s sheet.Sheet) (Result, error) {
	plan, err := o.Plan(f.t.Context(), s, nil)
	if err != nil {
		return Result{}, err
	}
	return o.Apply(f.t.Context(), plan)
}

// withWeight returns the exported table with another weight for a target of service
// live.
func (f *fixture) withWeight(target, weight string) sheet.Sheet {
	f.t.Helper()
	s, err := f.exported.Set(sheet.Cell{Service: "live", Target: target, Column: sheet.ColumnWeight}, weight)
	f.NoErr(err)
	s.Revision = f.exported.Revision
	return s
}

// weights returns the weights of service live's targets in the store.
func (f *fixture) weights() string {
	f.t.Helper()
	snapshot, err := f.otherOps.Export(f.t.Context())
	f.NoErr(err)
	var all []string
	for _, row := range snapshot.Sheet.Targets {
		if row.Service == "live" {
			all = append(all, row.Weight)
		}
	}
	return strings.Join(all, " ")
}

// Guards against a change that is lost, applied twice, reverted or reported wrongly
// under faults of the store and concurrent edits of another operator.
func TestApplyUnderFaults(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *fixture)
		want    error
		weights string // of t1 and t2; ann sets that of t1 to 7
		records int    // audit records of ann
	}{
		{"no fault", func(f *fixture) {}, nil, "7 2", 1},
		{"response lost, write applied", func(f *fixture) { f.engine.LoseAnswer(true) }, nil, "7 2", 1},
		{"response lost, write not applied", func(f *fixture) { f.engine.LoseAnswer(false) }, nil, "7 2", 1},
		{"response lost twice", func(f *fixture) { f.engine.LoseAnswer(false); f.engine.LoseAnswer(true) }, nil, "7 2", 1},
		{"response lost, write delivered after the retry", func(f *fixture) { f.delayFirstTxn() }, nil, "7 2", 1},
		{"response lost, write applied, audit record not readable at first", func(f *fixture) {
			f.engine.LoseAnswer(true)
			f.hooked.Store = &failingReads{Store: f.hooked.Store, failing: func() bool { return f.hooked.txns == 1 }}
		}, nil, "7 2", 1},
		{"response lost, then permanent outage", func(f *fixture) {
			f.engine.LoseAnswer(true)
			f.onTxn(2, func() { f.engine.SetOutage(true) })
			f.hooked.Store = &failingReads{Store: f.hooked.Store, failing: func() bool { return f.hooked.txns > 0 }}
		}, ErrUncertain, "7 2", 1},
		{"response lost, write not applied, other cell changed before the retry", func(f *fixture) {
			f.engine.LoseAnswer(false)
			f.onTxn(2, func() { f.apply(f.otherOps, f.withWeight("t2", "9")) })
		}, nil, "7 9", 1},
		{"other cell changed before the plan", func(f *fixture) { f.apply(f.otherOps, f.withWeight("t2", "9")) }, nil, "7 9", 1},
		{"other cell changed after the plan", func(f *fixture) {
			f.onTxn(1, func() { f.apply(f.otherOps, f.withWeight("t2", "9")) })
		}, nil, "7 9", 1},
		{"same cell changed before the plan", func(f *fixture) { f.apply(f.otherOps, f.withWeight("t1", "9")) }, ErrConflict, "9 2", 0},
		{"same cell changed after the plan", func(f *fixture) {
			f.onTxn(1, func() { f.apply(f.otherOps, f.withWeight("t1", "9")) })
		}, ErrConflict, "9 2", 0},
		{"same cell set to the same value after the plan", func(f *fixture) {
			f.onTxn(1, func() { f.apply(f.otherOps, f.withWeight("t1", "7")) })
		}, nil, "7 2", 0},
		{"other change before every attempt", func(f *fixture) {
			f.hooked.before = func(n int, _ store.Txn) (store.TxnResponse, error, bool) {
				s := f.withWeight("t2", fmt.Sprint(n+2))
				s.Revision = 0
				plan, err := f.otherOps.Plan(f.t.Context(), s, &f.exported)
				if n > 1 {
					current, exportErr := f.otherOps.Export(f.t.Context())
					f.NoErr(exportErr)
					plan, err = f.otherOps.Plan(f.t.Context(), s, &current.Sheet)
				}
				f.NoErr(err)
				_, err = f.otherOps.Apply(f.t.Context(), plan)
				f.NoErr(err)
				return store.TxnResponse{}, nil, false
			}
		}, ErrContended, "1 10", 0},
		{"permanent outage after the plan", func(f *fixture) {
			f.onTxn(1, func() { f.engine.SetOutage(true) })
		}, ErrUnavailable, "1 2", 0},
		{"temporary outage after the plan", func(f *fixture) {
			f.onTxn(1, func() { f.engine.SetOutage(true) })
			f.onSleep = func() { f.engine.SetOutage(false) }
		}, nil, "7 2", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, standin.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
			c.prepare(f)
			result, err := f.tryApply(f.ops, f.withWeight("t1", "7"))
			f.engine.SetOutage(false)
			if c.want == nil {
				f.NoErr(err)
			}
			f.True(errors.Is(err, c.want))
			f.Equal(f.weights(), c.weights)
			records, err := f.otherOps.Audit(t.Context(), Filter{Who: "ann"})
			f.NoErr(err)
			f.Equal(len(records), c.records)
			if c.records > 0 {
				f.Equal(records[0].Changes, []sheet.CellChange{{Cell: sheet.Cell{Service: "live", Target: "t1", Column: "weight"}, Old: "1", New: "7"}})
				f.Equal(records[0].Change, "a1")
			}
			if c.records > 0 && c.want == nil {
				f.Equal(result, Result{ChangeID: "a1", Revision: records[0].Revision, Parts: 1})
			}
		})
	}
}

// onTxn runs f before ann's n-th transaction.
func (f *fixture) onTxn(n int, hook func()) {
	f.hooked.before = func(at int, _ store.Txn) (store.TxnResponse, error, bool) {
		if at == n {
			hook()
		}
		return store.TxnResponse{}, nil, false
	}
}

// delayFirstTxn delivers ann's first transaction after her second.
func (f *fixture) delayFirstTxn() {
	var first store.Txn
	f.hooked.before = func(n int, t store.Txn) (store.TxnResponse, error, bool) {
		if n == 1 {
			first = t
			return store.TxnResponse{}, store.ErrUncertain, true
		}
		response, err := f.engine.Txn(t)
		copied, copyErr := f.engine.Txn(first)
		f.NoErr(copyErr)
		f.True(!copied.Succeeded)
		return response, err, true
	}
}

// failingReads is a store whose reads fail while failing returns true.
type failingReads struct {
	store.Store
	failing func() bool
}

func (b *failingReads) Range(ctx context.Context, r store.RangeRequest) (store.RangeResponse, error) {
	if b.failing() {
		return store.RangeResponse{}, store.ErrUnavailable
	}
	return b.Store.Range(ctx, r)
}

// Guards against errors on conflicts, invalid cells and compacted revisions that do not
// name the cause, and against a base file that does not replace a compacted revision.
func TestErrorsNameTheCells(t *testing.T) {
	f := newFixture(t, standin.Options{})
	f.apply(f.otherOps, f.withWeight("t1", "9"))
	_, err := f.tryApply(f.ops, f.withWeight("t1", "7"))
	var conflict *ConflictError
	f.True(errors.As(err, &conflict))
	f.Equal(conflict.Conflicts, []sheet.Conflict{{Cell: sheet.Cell{Service: "live", Target: "t1", Column: "weight"}, Base: "1", Theirs: "9", Mine: "7"}})
	_, err = f.tryApply(f.ops, f.withWeight("t1", "many"))
	f.True(errors.Is(err, ErrInvalid) && strings.Contains(err.Error(), "column weight"))
	f.engine.Compact(f.engine.Revision())
	_, err = f.tryApply(f.ops, f.withWeight("t1", "7"))
	f.True(errors.Is(err, ErrBaseCompacted))
	plan, err := f.ops.Plan(t.Context(), f.withWeight("t2", "7"), &f.exported)
	f.NoErr(err)
	_, err = f.ops.Apply(t.Context(), plan)
	f.NoErr(err)
	f.Equal(f.weights(), "9 7")
}

// Guards against a file without a revision that removes or overwrites rows.
func TestFileWithoutRevisionOnlyAdds(t *testing.T) {
	f := newFixture(t, standin.Options{})
	text := strings.Replace(exampleCSV, "live,t2,b,10.0.0.2:7300,10.0.0.2:7301,2,3,active\n", "live,t3,b,10.0.0.4:7300,10.0.0.4:7301,4,3,active\n", 1)
	f.apply(f.ops, f.parse(text))
	f.Equal(f.weights(), "1 2 4")
	_, err := f.tryApply(f.ops, f.parse(strings.Replace(exampleCSV, "7301,2,3", "7301,5,3", 1)))
	f.True(errors.Is(err, ErrConflict))
}

// Guards against a change that fails at the store's rate limit instead of being
// retried.
func TestRateLimitIsWaitedFor(t *testing.T) {
	f := newFixture(t, standin.Options{WritesPerSecond: 2, ReadsPerSecond: 1000})
	for i := range 4 {
		f.apply(f.ops, f.withWeight("t1", fmt.Sprint(i+2)))
		snapshot, err := f.ops.Export(t.Context())
		f.NoErr(err)
		f.exported = snapshot.Sheet
	}
	f.Equal(f.weights(), "5 2")
}

// withBigService returns the table of exampleCSV with another service of n targets.
func withBigService(f *fixture, n int) sheet.Sheet {
	s := f.parse(exampleCSV)
	if n == 0 {
		return s
	}
	s.Kinds = append(s.Kinds, sheet.KindRow{Service: "big", Address: "192.0.2.9:7000", Kind: "k", Urgency: "bulk", Share: "1"})
	for i := range n {
		addr := fmt.Sprintf("10.%d.%d.%d", 1+i>>16, i>>8&0xff, i&0xff)
		s.Targets = append(s.Targets, sheet.TargetRow{
			Service: "big", Target: fmt.Sprintf("target-%06d", i), Domain: "a",
			Address: addr + ":7300", Health: addr + ":7301", Weight: "1", Limit: "3", State: "active",
		})
	}
	return s
}

// Guards against large services that can't be written within the store's limits, and
// against a change of the shard count that is applied in part.
func TestLargeServices(t *testing.T) {
	f := newFixture(t, standin.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	for _, step := range []struct {
		name            string
		targets, shards int
		many            bool // more than one transaction
		err             error
	}{
		{"new", 900, 1, false, nil},
		{"resharded in one transaction", 1500, 3, false, nil},
		{"too large to reshard in one transaction", 12_500, 3, false, ErrTooLarge},
		{"removed", 0, 0, false, nil},
		{"new and large", 12_500, 25, true, nil},
		{"grown", 13_000, 25, false, nil},
	} {
		mine := withBigService(f, step.targets)
		mine.Revision = f.exported.Revision
		before := f.engine.Revision()
		result, err := f.tryApply(f.ops, mine)
		f.True(errors.Is(err, step.err))
		snapshot, exportErr := f.ops.Export(t.Context())
		f.NoErr(exportErr)
		f.exported = snapshot.Sheet
		f.Equal(len(snapshot.Rejected), 0)
		f.Equal(snapshot.shardCounts["big"], step.shards)
		if step.err != nil {
			f.Equal(f.engine.Revision(), before)
			continue
		}
		f.NoErr(err)
		f.Equal(result.Parts > 1, step.many)
		f.Equal(len(snapshot.Sheet.Targets), 3+step.targets)
		f.Equal(len(snapshot.keys), 4+min(1, step.shards)+step.shards)
	}
}

// Guards against a value above the store's limit that is retried or applied in part.
func TestValueTooLarge(t *testing.T) {
	f := newFixture(t, standin.Options{MaxValue: 2000})
	_, err := f.tryApply(f.ops, withBigService(f, 100))
	f.True(errors.Is(err, ErrTooLarge))
	f.Equal(f.hooked.txns, 1)
}
