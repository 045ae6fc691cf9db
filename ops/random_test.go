package ops

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumspan/gypsumspan/decide/sheet"
	standin "github.com/gypsumspan/gypsumspan/standin/store"
	"github.com/gypsumspan/gypsumspan/store"
)

// init sets the seed of package rapid; -rapid.seed on the command line overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

// Guards against changes that are applied twice, lost, reverted or reported wrongly
// under random faults. The oracle is the audit trail: replayed from an empty table, it
// must yield the table in the store, with one record for each change that was reported
// as applied and none for a change that was refused.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := standin.NewEngine(standin.Options{Clock: &testClock{}, WritesPerSecond: -1, ReadsPerSecond: -1})
		var now atomic.Int64
		fault := func(label string) {
			switch rapid.IntRange(0, 9).Draw(t, label) {
			case 0:
				engine.LoseAnswer(true)
			case 1:
				engine.LoseAnswer(false)
			case 2:
				engine.SetOutage(true)
			case 3, 4, 5:
				engine.SetOutage(false)
			}
		}
		ids := 0
		config := Config{
			MaxAuditRecords: math.MaxInt32,
			MaxAttempts:     3,
			Now:             func() time.Time { return time.Unix(0, now.Add(1)) },
			NewID:           func() string { ids++; return fmt.Sprint("c", ids) },
			Jitter:          func() float64 { return 0 },
			Sleep:           func(context.Context, time.Duration) error { fault("between tries"); return nil },
		}
		clean := standin.NewClient(engine)
		other := config
		other.Store = clean
		config.Store = &hookedStore{Store: clean, before: func(int, store.Txn) (store.TxnResponse, error, bool) {
			if rapid.IntRange(0, 3).Draw(t, "race") == 0 {
				_, _ = change(t, New(other)) // may fail because of a fault
			}
			return store.TxnResponse{}, nil, false
		}}
		reports := map[string]error{}
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			fault("before")
			result, err := change(t, New(config))
			if result.ChangeID != "" && (err != nil || result.Revision > 0) {
				reports[result.ChangeID] = err
			}
		}
		engine.SetOutage(false)
		verify(t, New(other), reports)
	})
}

// change edits one cell, or adds the rows of exampleCSV if the table is empty.
func change(t *rapid.T, o *Operations) (Result, error) {
	snapshot, err := o.Export(t.Context())
	if err != nil {
		return Result{}, err
	}
	mine, _ := sheet.ParseCSV([]byte(exampleCSV))
	if len(snapshot.Sheet.Targets) > 0 {
		row := rapid.SampledFrom(snapshot.Sheet.Targets).Draw(t, "row")
		cell := sheet.Cell{Service: row.Service, Target: row.Target, Column: sheet.ColumnWeight}
		if mine, err = snapshot.Sheet.Set(cell, fmt.Sprint(rapid.IntRange(1, 5).Draw(t, "weight"))); err != nil {
			return Result{}, err
		}
	}
	plan, err := o.Plan(t.Context(), mine, &snapshot.Sheet)
	if err != nil {
		return Result{}, err
	}
	return o.Apply(t.Context(), plan)
}

// verify replays the audit trail and compares it with the table and the reported results.
func verify(t *rapid.T, o *Operations, reports map[string]error) {
	records, err := o.Audit(t.Context(), Filter{Limit: math.MaxInt32})
	if err != nil {
		t.Fatal(err)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) })
	seen := map[string]int{}
	var replayed sheet.Sheet
	for _, r := range records {
		seen[r.Change]++
		if len(replayed.Targets) == 0 {
			replayed, _ = sheet.ParseCSV([]byte(exampleCSV))
			continue
		}
		for _, c := range r.Changes {
			was := slices.ContainsFunc(replayed.Targets, func(row sheet.TargetRow) bool {
				return row.Service == c.Service && row.Target == c.Target && row.Weight == c.Old
			})
			if !was {
				t.Fatalf("change %s: %s was not %s", r.Change, c.Cell, c.Old)
			}
			if replayed, err = replayed.Set(c.Cell, c.New); err != nil {
				t.Fatal(err)
			}
		}
	}
	for id, report := range reports {
		switch {
		case report == nil && seen[id] != 1:
			t.Fatalf("change %s was reported as applied and has %d records", id, seen[id])
		case report != nil && !errors.Is(report, ErrUncertain) && seen[id] != 0:
			t.Fatalf("change %s was refused (%v) and has %d records", id, report, seen[id])
		}
	}
	snapshot, err := o.Export(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if left := sheet.Diff(replayed, snapshot.Sheet); len(left) > 0 {
		t.Fatalf("the table differs from the audit trail: %v", left)
	}
}
