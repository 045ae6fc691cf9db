// Package ops is the operators' library: it exports the table, plans and applies
// changes with an audit trail, and reports when a change is in force.
package ops

import (
	"context"
	"crypto/rand"
	"crypto/tls"
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
	// DefaultMaxAuditRecords is the number of audit records that are kept.
	DefaultMaxAuditRecords = 10_000
	// DefaultMaxAttempts is the number of times a transaction is attempted. With the
	// delays between them they last about 6 s.
	DefaultMaxAttempts = 8
	// pageSize is the number of keys in one read; values have up to 100 KB.
	pageSize = 200
	// adminTimeout bounds one question to a VM's admin endpoint.
	adminTimeout = 2 * time.Second
)

// Config configures Operations. Store and Operator must be set; the other fields
// have defaults.
type Config struct {
	Store           store.Store
	Operator        string // name in the audit trail
	MaxAuditRecords int    // audit records that are kept
	MaxAttempts     int    // tries of one transaction
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
	// TLS is for HTTPS to the admin endpoints; nil means plain HTTP to addresses
	// without a scheme. It is not used with HTTP set.
	TLS *tls.Config
}

// Operations works on one store for one operator. It is safe for concurrent use.
type Operations struct {
	config Config
}

// New returns Operations with the defaults filled in.
func New(config Config) *Operations {
	if config.MaxAuditRecords == 0 {
		config.MaxAuditRecords = DefaultMaxAuditRecords
	}
	if config.MaxAttempts == 0 {
		config.MaxAttempts = DefaultMaxAttempts
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
		if config.TLS != nil {
			config.HTTP.Transport = &http.Transport{TLSClientConfig: config.TLS}
		}
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
	return o.export(ctx, table.Prefix)
}

// export reads the keys of the table with a prefix.
func (o *Operations) export(ctx context.Context, prefix string) (*Snapshot, error) {
	snapshot, err := o.read(ctx, prefix, 0)
	if err != nil {
		return nil, translate("export the table", err)
	}
	return snapshot, nil
}

// read reads the keys with a prefix at a revision; 0 is the newest. Errors are
// the store's.
func (o *Operations) read(ctx context.Context, prefix string, revision int64) (*Snapshot, error) {
	request := store.RangeRequest{Span: store.Prefix(prefix), Limit: pageSize, Revision: revision}
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
		s.noteShards(entry)
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

// noteShards keeps the number of shards that a valid meta entry states.
func (s *Snapshot) noteShards(entry message.TableEntry) {
	service, number, err := table.ParseKey(entry.Key)
	if err != nil || number != table.MetaShard {
		return
	}
	if decoded, err := table.DecodeEntry(entry); err == nil && decoded.Meta != nil {
		s.shards[service] = decoded.Meta.Shards
	}
}

// Plan is a change that was checked against the table in the store.
type Plan struct {
	Base     sheet.Sheet // the table that the operator edited
	Mine     sheet.Sheet // the table that the operator wants
	Current  *Snapshot   // the table in the store
	Merged   sheet.Sheet // the table after the change
	Changes  []sheet.CellChange
	services map[string]*table.Service // of Merged
	prefix   string                    // of the keys that the sheets hold
}

// Plan checks an edited sheet, merges it with the changes that others made since
// it was exported, and returns the difference to the table in the store. base is
// the sheet as it was exported; nil reads it from the store at mine.Revision. A
// sheet without revision and base adds rows and never changes or removes any.
// It returns ErrInvalid, ErrConflict, ErrBaseCompacted, ErrUnavailable or ErrStore.
func (o *Operations) Plan(ctx context.Context, mine sheet.Sheet, base *sheet.Sheet) (*Plan, error) {
	if faults := mine.Validate(); len(faults) > 0 {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, &sheet.InvalidError{Faults: faults})
	}
	p := &Plan{Mine: mine, prefix: table.Prefix}
	switch {
	case base != nil:
		p.Base = *base
	case mine.Revision > 0:
		snapshot, err := o.read(ctx, table.Prefix, mine.Revision)
		if errors.Is(err, store.ErrCompacted) {
			return nil, fmt.Errorf("revision %d: %w: %w", mine.Revision, ErrBaseCompacted, err)
		}
		if err != nil {
			return nil, translate("read the table as it was exported", err)
		}
		p.Base = snapshot.Sheet
	}
	return o.replan(ctx, p)
}

// PlanCell plans the change of one cell. Unless the cell is an address, which no
// other target may have, it reads the keys of the cell's service only. It returns
// ErrInvalid, ErrUnavailable or ErrStore.
func (o *Operations) PlanCell(ctx context.Context, cell sheet.Cell, value string) (*Plan, error) {
	if err := table.CheckName(cell.Service); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	prefix := table.Prefix + cell.Service + "/"
	if cell.Column == sheet.ColumnAddress {
		prefix = table.Prefix
	}
	current, err := o.export(ctx, prefix)
	if err != nil {
		return nil, err
	}
	mine, err := current.Sheet.Set(cell, value)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	p := &Plan{Base: current.Sheet, Mine: mine, prefix: prefix}
	return p.onto(current)
}

// replan reads the table in the store and computes the change anew.
func (o *Operations) replan(ctx context.Context, old *Plan) (*Plan, error) {
	current, err := o.export(ctx, old.prefix)
	if err != nil {
		return nil, err
	}
	return old.onto(current)
}

// onto computes the change to a newer table.
func (old *Plan) onto(current *Snapshot) (*Plan, error) {
	p := &Plan{Base: old.Base, Mine: old.Mine, Current: current, prefix: old.prefix}
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
