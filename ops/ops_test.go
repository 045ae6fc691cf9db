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

const example = `service,address,kind,urgency,share
docs,192.0.2.2:7000,file,bulk,1
live,192.0.2.1:7000,check-in,urgent,8

service,target,domain,address,health,weight,limit,state
docs,t1,a,10.0.0.3:7300,10.0.0.3:7301,1,3,active
live,t1,a,10.0.0.1:7300,10.0.0.1:7301,1,3,active
live,t2,b,10.0.0.2:7300,10.0.0.2:7301,2,3,active
`

// testClock is the time of the store and of the operators. Each delay between
// two tries advances it.
type testClock struct{ now atomic.Int64 }

func (c *testClock) Now() time.Duration { return time.Duration(c.now.Load()) }

// hooked runs a hook before each transaction; the hook may answer it instead.
type hooked struct {
	store.Store
	before func(n int, t store.Txn) (store.TxnResponse, error, bool)
	txns   int
}

func (h *hooked) Txn(ctx context.Context, t store.Txn) (store.TxnResponse, error) {
	h.txns++
	if h.before != nil {
		if answer, err, done := h.before(h.txns, t); done {
			return answer, err
		}
	}
	return h.Store.Txn(ctx, t)
}

// rig is a store that holds the example, and two operators.
type rig struct {
	*is.I
	t        *testing.T
	clock    testClock
	engine   *standin.Engine
	hook     *hooked
	ops      *Operations // through hook
	other    *Operations // directly
	onSleep  func()
	exported sheet.Sheet
}

func newRig(t *testing.T, options standin.Options) *rig {
	r := &rig{I: is.New(t), t: t}
	options.Clock = &r.clock
	r.engine = standin.NewEngine(options)
	client := standin.NewClient(r.engine)
	r.hook = &hooked{Store: client}
	r.ops = r.operator("ann", r.hook, "a")
	r.other = r.operator("bob", client, "b")
	r.apply(r.other, r.parse(example))
	snapshot, err := r.ops.Export(t.Context())
	r.NoErr(err)
	r.exported = snapshot.Sheet
	return r
}

func (r *rig) operator(name string, s store.Store, ids string) *Operations {
	n := 0
	return New(Config{
		Store:           s,
		Operator:        name,
		MaxAuditRecords: 5,
		Now:             func() time.Time { return time.Unix(0, r.clock.now.Add(1)) },
		NewID:           func() string { n++; return fmt.Sprint(ids, n) },
		Jitter:          func() float64 { return 0.5 },
		Sleep: func(ctx context.Context, d time.Duration) error {
			r.clock.now.Add(int64(d))
			if r.onSleep != nil {
				r.onSleep()
			}
			return ctx.Err()
		},
	})
}

func (r *rig) parse(text string) sheet.Sheet {
	r.t.Helper()
	s, faults := sheet.ParseCSV([]byte(text))
	r.Equal(len(faults), 0)
	return s
}

func (r *rig) apply(o *Operations, s sheet.Sheet) Result {
	r.t.Helper()
	result, err := r.try(o, s)
	r.NoErr(err)
	return result
}

func (r *rig) try(o *Operations, s sheet.Sheet) (Result, error) {
	plan, err := o.Plan(r.t.Context(), s, nil)
	if err != nil {
		return Result{}, err
	}
	return o.Apply(r.t.Context(), plan)
}

// weight returns the exported table with another weight of a target.
func (r *rig) weight(target, weight string) sheet.Sheet {
	r.t.Helper()
	s, err := r.exported.Set(sheet.Cell{Service: "live", Target: target, Column: sheet.ColumnWeight}, weight)
	r.NoErr(err)
	s.Revision = r.exported.Revision
	return s
}

// weights returns the weights in the store of live's targets.
func (r *rig) weights() string {
	r.t.Helper()
	snapshot, err := r.other.Export(r.t.Context())
	r.NoErr(err)
	var all []string
	for _, row := range snapshot.Sheet.Targets {
		if row.Service == "live" {
			all = append(all, row.Weight)
		}
	}
	return strings.Join(all, " ")
}

// Guards against a change that is lost, made twice, reverted or falsely reported
// under faults of the store and edits of another operator.
func TestApplyUnderFaults(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(r *rig)
		want    error
		weights string // of t1 and t2; ann wants 7 for t1
		records int    // of ann
	}{
		{"no fault", func(r *rig) {}, nil, "7 2", 1},
		{"answer lost, effect", func(r *rig) { r.engine.LoseAnswer(true) }, nil, "7 2", 1},
		{"answer lost, no effect", func(r *rig) { r.engine.LoseAnswer(false) }, nil, "7 2", 1},
		{"answer lost twice", func(r *rig) { r.engine.LoseAnswer(false); r.engine.LoseAnswer(true) }, nil, "7 2", 1},
		{"answer lost, late effect after the retry", func(r *rig) { r.lateCopy() }, nil, "7 2", 1},
		{"answer lost, effect, not read back at once", func(r *rig) {
			r.engine.LoseAnswer(true)
			r.hook.Store = &blindReads{Store: r.hook.Store, blind: func() bool { return r.hook.txns == 1 }}
		}, nil, "7 2", 1},
		{"answer lost, then outage for good", func(r *rig) {
			r.engine.LoseAnswer(true)
			r.onTxn(2, func() { r.engine.SetOutage(true) })
			r.hook.Store = &blindReads{Store: r.hook.Store, blind: func() bool { return r.hook.txns > 0 }}
		}, ErrUncertain, "7 2", 1},
		{"answer lost, no effect, other cell first", func(r *rig) {
			r.engine.LoseAnswer(false)
			r.onTxn(2, func() { r.apply(r.other, r.weight("t2", "9")) })
		}, nil, "7 9", 1},
		{"other cell before the plan", func(r *rig) { r.apply(r.other, r.weight("t2", "9")) }, nil, "7 9", 1},
		{"other cell after the plan", func(r *rig) {
			r.onTxn(1, func() { r.apply(r.other, r.weight("t2", "9")) })
		}, nil, "7 9", 1},
		{"same cell before the plan", func(r *rig) { r.apply(r.other, r.weight("t1", "9")) }, ErrConflict, "9 2", 0},
		{"same cell after the plan", func(r *rig) {
			r.onTxn(1, func() { r.apply(r.other, r.weight("t1", "9")) })
		}, ErrConflict, "9 2", 0},
		{"same value after the plan", func(r *rig) {
			r.onTxn(1, func() { r.apply(r.other, r.weight("t1", "7")) })
		}, nil, "7 2", 0},
		{"other changes always first", func(r *rig) {
			r.hook.before = func(n int, _ store.Txn) (store.TxnResponse, error, bool) {
				s := r.weight("t2", fmt.Sprint(n+2))
				s.Revision = 0
				plan, err := r.other.Plan(r.t.Context(), s, &r.exported)
				if n > 1 {
					current, exportErr := r.other.Export(r.t.Context())
					r.NoErr(exportErr)
					plan, err = r.other.Plan(r.t.Context(), s, &current.Sheet)
				}
				r.NoErr(err)
				_, err = r.other.Apply(r.t.Context(), plan)
				r.NoErr(err)
				return store.TxnResponse{}, nil, false
			}
		}, ErrContended, "1 10", 0},
		{"outage in the middle, for good", func(r *rig) {
			r.onTxn(1, func() { r.engine.SetOutage(true) })
		}, ErrUnavailable, "1 2", 0},
		{"outage in the middle, over in time", func(r *rig) {
			r.onTxn(1, func() { r.engine.SetOutage(true) })
			r.onSleep = func() { r.engine.SetOutage(false) }
		}, nil, "7 2", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, standin.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
			c.prepare(r)
			result, err := r.try(r.ops, r.weight("t1", "7"))
			r.engine.SetOutage(false)
			if c.want == nil {
				r.NoErr(err)
			}
			r.True(errors.Is(err, c.want))
			r.Equal(r.weights(), c.weights)
			records, err := r.other.Audit(t.Context(), Filter{Who: "ann"})
			r.NoErr(err)
			r.Equal(len(records), c.records)
			if c.records > 0 {
				r.Equal(records[0].Changes, []sheet.CellChange{{Cell: sheet.Cell{Service: "live", Target: "t1", Column: "weight"}, Old: "1", New: "7"}})
				r.Equal(records[0].Change, "a1")
			}
			if c.records > 0 && c.want == nil {
				r.Equal(result, Result{ChangeID: "a1", Revision: records[0].Revision, Parts: 1})
			}
		})
	}
}

// onTxn runs f before ann's n-th transaction.
func (r *rig) onTxn(n int, f func()) {
	r.hook.before = func(at int, _ store.Txn) (store.TxnResponse, error, bool) {
		if at == n {
			f()
		}
		return store.TxnResponse{}, nil, false
	}
}

// lateCopy delays ann's first transaction until after her second.
func (r *rig) lateCopy() {
	var late store.Txn
	r.hook.before = func(n int, t store.Txn) (store.TxnResponse, error, bool) {
		if n == 1 {
			late = t
			return store.TxnResponse{}, store.ErrUncertain, true
		}
		answer, err := r.engine.Txn(t)
		copied, copyErr := r.engine.Txn(late)
		r.NoErr(copyErr)
		r.True(!copied.Succeeded)
		return answer, err, true
	}
}

// blindReads fails reads while blind.
type blindReads struct {
	store.Store
	blind func() bool
}

func (b *blindReads) Range(ctx context.Context, r store.RangeRequest) (store.RangeResponse, error) {
	if b.blind() {
		return store.RangeResponse{}, store.ErrUnavailable
	}
	return b.Store.Range(ctx, r)
}

// Guards against conflicts, invalid cells and limits without a usable message.
func TestErrorsNameTheCells(t *testing.T) {
	r := newRig(t, standin.Options{})
	r.apply(r.other, r.weight("t1", "9"))
	_, err := r.try(r.ops, r.weight("t1", "7"))
	var conflict *ConflictError
	r.True(errors.As(err, &conflict))
	r.Equal(conflict.Conflicts, []sheet.Conflict{{Cell: sheet.Cell{Service: "live", Target: "t1", Column: "weight"}, Base: "1", Theirs: "9", Mine: "7"}})
	_, err = r.try(r.ops, r.weight("t1", "many"))
	r.True(errors.Is(err, ErrInvalid) && strings.Contains(err.Error(), "column weight"))
	r.engine.Compact(r.engine.Revision())
	_, err = r.try(r.ops, r.weight("t1", "7"))
	r.True(errors.Is(err, ErrBaseCompacted))
	plan, err := r.ops.Plan(t.Context(), r.weight("t2", "7"), &r.exported)
	r.NoErr(err)
	_, err = r.ops.Apply(t.Context(), plan)
	r.NoErr(err)
	r.Equal(r.weights(), "9 7")
}

// Guards against a file without a revision that removes or overwrites rows.
func TestFileWithoutRevisionOnlyAdds(t *testing.T) {
	r := newRig(t, standin.Options{})
	text := strings.Replace(example, "live,t2,b,10.0.0.2:7300,10.0.0.2:7301,2,3,active\n", "live,t3,b,10.0.0.4:7300,10.0.0.4:7301,4,3,active\n", 1)
	r.apply(r.ops, r.parse(text))
	r.Equal(r.weights(), "1 2 4")
	_, err := r.try(r.ops, r.parse(strings.Replace(example, "7301,2,3", "7301,5,3", 1)))
	r.True(errors.Is(err, ErrConflict))
}

// Guards against a rate limit that ends a change although waiting would do.
func TestRateLimitIsWaitedFor(t *testing.T) {
	r := newRig(t, standin.Options{WritesPerSecond: 2, ReadsPerSecond: 1000})
	for i := range 4 {
		r.apply(r.ops, r.weight("t1", fmt.Sprint(i+2)))
		snapshot, err := r.ops.Export(t.Context())
		r.NoErr(err)
		r.exported = snapshot.Sheet
	}
	r.Equal(r.weights(), "5 2")
}

// bigService returns the example with n more targets in a service of its own.
func bigService(r *rig, n int) sheet.Sheet {
	s := r.parse(example)
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

// Guards against services that can't be written because of the store's limits,
// and against a half-written reshard.
func TestLargeServices(t *testing.T) {
	r := newRig(t, standin.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	for _, step := range []struct {
		name            string
		targets, shards int
		many            bool // more than one transaction
		err             error
	}{
		{"new", 900, 1, false, nil},
		{"resharded at once", 1500, 3, false, nil},
		{"too much to reshard at once", 12_500, 3, false, ErrTooLarge},
		{"removed", 0, 0, false, nil},
		{"new and large", 12_500, 25, true, nil},
		{"grown", 13_000, 25, false, nil},
	} {
		mine := bigService(r, step.targets)
		mine.Revision = r.exported.Revision
		before := r.engine.Revision()
		result, err := r.try(r.ops, mine)
		r.True(errors.Is(err, step.err))
		snapshot, exportErr := r.ops.Export(t.Context())
		r.NoErr(exportErr)
		r.exported = snapshot.Sheet
		r.Equal(len(snapshot.Rejected), 0)
		r.Equal(snapshot.shards["big"], step.shards)
		if step.err != nil {
			r.Equal(r.engine.Revision(), before)
			continue
		}
		r.NoErr(err)
		r.Equal(result.Parts > 1, step.many)
		r.Equal(len(snapshot.Sheet.Targets), 3+step.targets)
		r.Equal(len(snapshot.keys), 4+min(1, step.shards)+step.shards)
	}
}

// Guards against a value above the store's limit that is retried or half made.
func TestValueTooLarge(t *testing.T) {
	r := newRig(t, standin.Options{MaxValue: 2000})
	_, err := r.try(r.ops, bigService(r, 100))
	r.True(errors.Is(err, ErrTooLarge))
	r.Equal(r.hook.txns, 1)
}
