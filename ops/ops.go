// Package ops is the operators' library: it exports the table, plans and applies
// changes with an audit trail, and reports when a change is in force.
package ops

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/sheet"
	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/store"
)

const (
	// DefaultMaxAudit is the number of audit records that are kept.
	DefaultMaxAudit = 10_000
	// DefaultAttempts is the number of times a transaction is tried. With the
	// delays between them they last about 6 s.
	DefaultAttempts = 8
	// pageSize is the number of keys in one read; values have up to 100 KB.
	pageSize = 200
	// adminTimeout bounds one question to a VM's admin endpoint.
	adminTimeout = 2 * time.Second
)

// Config configures Operations. Store and Operator must be set; the other fields
// have defaults.
type Config struct {
	Store    store.Store
	Operator string // name in the audit trail
	MaxAudit int    // audit records that are kept
	Attempts int    // tries of one transaction
	// Now gives the time of audit records.
	Now func() time.Time
	// NewID returns a new change id.
	NewID func() string
	// Sleep waits between two tries.
	Sleep func(ctx context.Context, d time.Duration) error
	// Jitter returns a random number from 0 to 1.
	Jitter func() float64
	// HTTP asks the VMs' admin endpoints.
	HTTP *http.Client
}

// Operations works on one store for one operator. It is safe for concurrent use.
type Operations struct {
	config Config
}

// New returns Operations with the defaults filled in.
func New(config Config) *Operations {
	if config.MaxAudit == 0 {
		config.MaxAudit = DefaultMaxAudit
	}
	if config.Attempts == 0 {
		config.Attempts = DefaultAttempts
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.NewID == nil {
		config.NewID = randomID
	}
	if config.Sleep == nil {
		config.Sleep = sleep
	}
	if config.Jitter == nil {
		config.Jitter = mathrand.Float64
	}
	if config.HTTP == nil {
		config.HTTP = &http.Client{Timeout: adminTimeout}
	}
	return &Operations{config: config}
}

func randomID() string {
	const idBytes = 12
	id := make([]byte, idBytes)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Snapshot is the table in the store at one revision.
type Snapshot struct {
	Revision int64
	Sheet    sheet.Sheet
	// Rejected are entries that no VM accepts. Their services may be missing or
	// outdated in Sheet.
	Rejected []table.EntryError

	services map[string]*table.Service
	shards   map[string]int      // number of shards by service
	keys     map[string]store.KV // all keys of the table
}

// Export reads the table. It returns ErrUnavailable or ErrStore.
func (o *Operations) Export(ctx context.Context) (*Snapshot, error) {
	snapshot, err := o.read(ctx, 0)
	if err != nil {
		return nil, translate("export the table", err)
	}
	return snapshot, nil
}

// read reads the table at a revision; 0 is the newest. Errors are the store's.
func (o *Operations) read(ctx context.Context, revision int64) (*Snapshot, error) {
	request := store.RangeRequest{Span: store.Prefix(table.Prefix), Limit: pageSize, Revision: revision}
	kvs, at, err := store.ReadAll(ctx, o.config.Store, request)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{
		Revision: at,
		services: make(map[string]*table.Service),
		shards:   make(map[string]int),
		keys:     make(map[string]store.KV, len(kvs)),
	}
	entries := make([]message.TableEntry, 0, len(kvs))
	for _, kv := range kvs {
		s.keys[kv.Key] = kv
		entry := message.TableEntry{Key: kv.Key, Value: kv.Value, Revision: kv.ModRevision}
		entries = append(entries, entry)
		if decoded, err := table.DecodeEntry(entry); err == nil && decoded.Meta != nil {
			s.shards[decoded.Service] = decoded.Meta.Shards
		}
	}
	replica := table.NewReplica()
	_, s.Rejected = replica.Merge(entries)
	var services []*table.Service
	replica.Table().Services(func(service *table.Service) bool {
		services = append(services, service)
		s.services[service.Name] = service
		return true
	})
	s.Sheet = sheet.FromServices(services)
	s.Sheet.Revision = at
	return s, nil
}

// Plan is a change that was checked against the table in the store.
type Plan struct {
	Base     sheet.Sheet // the table that the operator edited
	Mine     sheet.Sheet // the table that the operator wants
	Current  *Snapshot   // the table in the store
	Merged   sheet.Sheet // the table after the change
	Changes  []sheet.CellChange
	services map[string]*table.Service // of Merged
}

// Plan checks an edited sheet, merges it with the changes that others made since
// it was exported, and returns the difference to the table in the store. base is
// the sheet as it was exported; nil reads it from the store at mine.Revision. A
// sheet without revision and base adds rows and never changes or removes any.
// It returns ErrInvalid, ErrConflict, ErrBaseGone, ErrUnavailable or ErrStore.
func (o *Operations) Plan(ctx context.Context, mine sheet.Sheet, base *sheet.Sheet) (*Plan, error) {
	if faults := mine.Validate(); len(faults) > 0 {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, &sheet.InvalidError{Faults: faults})
	}
	p := &Plan{Mine: mine}
	switch {
	case base != nil:
		p.Base = *base
	case mine.Revision > 0:
		snapshot, err := o.read(ctx, mine.Revision)
		if errors.Is(err, store.ErrCompacted) {
			return nil, fmt.Errorf("revision %d: %w: %w", mine.Revision, ErrBaseGone, err)
		}
		if err != nil {
			return nil, translate("read the table as it was exported", err)
		}
		p.Base = snapshot.Sheet
	}
	return o.replan(ctx, p)
}

// replan reads the table in the store and computes the change anew.
func (o *Operations) replan(ctx context.Context, old *Plan) (*Plan, error) {
	current, err := o.Export(ctx)
	if err != nil {
		return nil, err
	}
	p := &Plan{Base: old.Base, Mine: old.Mine, Current: current}
	merged, conflicts := sheet.Merge(p.Base, current.Sheet, p.Mine)
	if len(conflicts) > 0 {
		return nil, &ConflictError{Conflicts: conflicts}
	}
	services, faults := merged.Services()
	if len(faults) > 0 {
		return nil, fmt.Errorf("together with the changes of others: %w: %w", ErrInvalid, &sheet.InvalidError{Faults: faults})
	}
	p.Merged = merged
	p.Changes = sheet.Diff(current.Sheet, merged)
	p.services = make(map[string]*table.Service, len(services))
	for _, service := range services {
		p.services[service.Name] = service
	}
	return p, nil
}
