// Package ops is the operators' library. It exports the table, plans and applies changes
// with an audit trail, and reports when a change is in force on the VMs. A change is in
// force on a VM when the VM's table has the revision of the change or a later one.
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
	// delays between them, the attempts last about 6 s.
	DefaultMaxAttempts = 8
	// pageSize is the number of keys in one read. A value has up to 100 KB.
	pageSize = 200
	// adminRequestTimeout is the timeout of one request to a VM's admin endpoint.
	adminRequestTimeout = 2 * time.Second
)

// Config configures Operations. Store and Operator must be set; the other fields
// have defaults.
type Config struct {
	Store           store.Store
	Operator        string // name in the audit trail
	MaxAuditRecords int    // older audit records are deleted
	MaxAttempts     int    // attempts of one transaction
	// Now returns the time of audit records.
	Now func() time.Time
	// NewID returns a new change id.
	NewID func() string
	// Sleep waits between two attempts.
	Sleep func(ctx context.Context, d time.Duration) error
	// Jitter returns a random number from 0 to 1.
	Jitter func() float64
	// HTTP is the client for the VMs' admin endpoints.
	HTTP *http.Client
	// TLS configures HTTPS to the admin endpoints; nil means plain HTTP to addresses
	// without a scheme. If HTTP is set, it only selects the scheme.
	TLS *tls.Config
}

// Operations reads and changes the table in one store on behalf of one operator. It is
// safe for concurrent use.
type Operations struct {
	config Config
}

// New returns Operations with defaults for the unset fields of config.
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
		config.HTTP = &http.Client{Timeout: adminRequestTimeout}
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
	// Rejected holds the entries that VMs reject as invalid. Their services may be
	// missing or outdated in Sheet.
	Rejected []table.EntryError

	services    map[string]*table.Service
	shardCounts map[string]int      // by service
	keys        map[string]store.KV // the entries that were read
}

// Export reads the table. It returns ErrUnavailable or ErrStore.
func (o *Operations) Export(ctx context.Context) (*Snapshot, error) {
	return o.export(ctx, table.Prefix)
}

// export reads the part of the table whose keys have a prefix.
func (o *Operations) export(ctx context.Context, prefix string) (*Snapshot, error) {
	snapshot, err := o.read(ctx, prefix, 0)
	if err != nil {
		return nil, wrapStoreError("export the table", err)
	}
	return snapshot, nil
}

// read reads the keys with a prefix at a revision; 0 means the newest. It returns
// errors of the store unwrapped.
func (o *Operations) read(ctx context.Context, prefix string, revision int64) (*Snapshot, error) {
	request := store.RangeRequest{Span: store.Prefix(prefix), Limit: pageSize, Revision: revision}
	kvs, at, err := store.ReadAll(ctx, o.config.Store, request)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{
		Revision:    at,
		services:    make(map[string]*table.Service),
		shardCounts: make(map[string]int),
		keys:        make(map[string]store.KV, len(kvs)),
	}
	entries := make([]message.TableEntry, 0, len(kvs))
	for _, kv := range kvs {
		s.keys[kv.Key] = kv
		entry := message.TableEntry{Key: kv.Key, Value: kv.Value, Revision: kv.ModRevision}
		entries = append(entries, entry)
		s.recordShardCount(entry)
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

// recordShardCount records the shard count in a valid meta entry.
func (s *Snapshot) recordShardCount(entry message.TableEntry) {
	service, number, err := table.ParseKey(entry.Key)
	if err != nil || number != table.MetaShard {
		return
	}
	if decoded, err := table.DecodeEntry(entry); err == nil && decoded.Meta != nil {
		s.shardCounts[service] = decoded.Meta.ShardCount
	}
}

// Plan is a change that was merged with the table in the store by a three-way merge.
type Plan struct {
	Base     sheet.Sheet // the table that the operator edited
	Mine     sheet.Sheet // the table that the operator wants
	Current  *Snapshot   // the table in the store
	Merged   sheet.Sheet // the table after the change
	Changes  []sheet.CellChange
	services map[string]*table.Service // of Merged
	prefix   string                    // of the store keys that the sheets cover
}

// Plan validates an edited sheet, merges it with the changes that others made since it
// was exported, and computes the difference from the table in the store. base is the
// sheet as it was exported; if it is nil, Plan reads it from the store at
// mine.Revision. A sheet with neither a revision nor a base only adds rows: a row that
// differs from one in the store is a conflict.
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
			return nil, wrapStoreError("read the table as it was exported", err)
		}
		p.Base = snapshot.Sheet
	}
	return o.replan(ctx, p)
}

// PlanCell plans the change of one cell. It reads only the keys of the cell's service,
// or the whole table if the cell is an address, since addresses must be unique. It
// returns ErrInvalid, ErrUnavailable or ErrStore.
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
	return p.mergeOnto(current)
}

// replan reads the table in the store and computes the change again.
func (o *Operations) replan(ctx context.Context, old *Plan) (*Plan, error) {
	current, err := o.export(ctx, old.prefix)
	if err != nil {
		return nil, err
	}
	return old.mergeOnto(current)
}

// mergeOnto returns the plan of the same change to the table in current.
func (p *Plan) mergeOnto(current *Snapshot) (*Plan, error) {
	updated := &Plan{Base: p.Base, Mine: p.Mine, Current: current, prefix: p.prefix}
	merged, conflicts := sheet.Merge(updated.Base, current.Sheet, updated.Mine)
	if len(conflicts) > 0 {
		return nil, &ConflictError{Conflicts: conflicts}
	}
	services, faults := merged.Services()
	if len(faults) > 0 {
		return nil, fmt.Errorf("together with the changes of others: %w: %w", ErrInvalid, &sheet.InvalidError{Faults: faults})
	}
	updated.Merged = merged
	updated.Changes = sheet.Diff(current.Sheet, merged)
	updated.services = make(map[string]*table.Service, len(services))
	for _, service := range services {
		updated.services[service.Name] = service
	}
	return updated, nil
}
