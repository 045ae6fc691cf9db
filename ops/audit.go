package ops

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/sheet"
	"github.com/gypsumspan/gypsumspan/store"
)

const (
	// AuditPrefix starts the store keys of the audit trail. A time in nanoseconds
	// follows, so that the keys are in the order of the writers' clocks.
	AuditPrefix = "gypsumspan/audit/"
	// DefaultAuditLimit is the number of records that Audit returns by default.
	DefaultAuditLimit = 100
	// ColumnRow stands for all cells of a target's row that was added or removed.
	ColumnRow = "row"
	// maxRecord is the largest audit record, in bytes, below the store's 1 MB.
	maxRecord = 1_000_000
	// recordHead is the room in a record for all but the changes, in bytes.
	recordHead = 1000
)

// Record is one record of the audit trail: one transaction.
type Record struct {
	Change   string             `json:"change"` // change id
	Part     int                `json:"part"`   // from 1, of a change of several transactions
	Who      string             `json:"who"`
	When     time.Time          `json:"when"`
	Revision int64              `json:"revision,omitempty"` // not in the stored form
	Changes  []sheet.CellChange `json:"changes"`
}

func recordKey(when time.Time, id string, part int) string {
	return fmt.Sprintf("%s%020d-%s-%d", AuditPrefix, when.UnixNano(), id, part)
}

func (a *application) record(b *batch, part int) Record {
	return Record{Change: a.id, Part: part, Who: a.config.Operator, When: a.config.Now().UTC(), Changes: b.changes}
}

func (r Record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode audit record: %w", err)
	}
	if len(data) > maxRecord {
		return nil, fmt.Errorf("audit record of %d bytes: %w", len(data), ErrTooLarge)
	}
	return data, nil
}

// condense writes an added or removed target as one change of ColumnRow, whose
// value lists the cells in the order of the sheet. It keeps records of whole
// services small.
func condense(changes []sheet.CellChange) []sheet.CellChange {
	var out []sheet.CellChange
	for i := 0; i < len(changes); i++ {
		c := changes[i]
		if c.Target == "" || c.Column != sheet.ColumnDomain || (c.Old != "" && c.New != "") {
			out = append(out, c)
			continue
		}
		var old, updated []string
		for ; i < len(changes) && changes[i].Target == c.Target && changes[i].Service == c.Service; i++ {
			old = append(old, changes[i].Old)
			updated = append(updated, changes[i].New)
		}
		i--
		c.Column = ColumnRow
		c.Old = joinCells(old)
		c.New = joinCells(updated)
		out = append(out, c)
	}
	return out
}

func joinCells(cells []string) string {
	return strings.Trim(strings.Join(cells, ","), ",")
}

// oldRecords returns keys of the oldest records beyond the maximum, counting the
// record that is about to be written. It is best effort: the next change deletes
// what this one leaves.
func (o *Operations) oldRecords(ctx context.Context) []string {
	answer, err := o.config.Store.Range(ctx, store.RangeRequest{Span: store.Prefix(AuditPrefix), Limit: pruneKeys, KeysOnly: true})
	if err != nil {
		return nil
	}
	excess := answer.Count + 1 - int64(o.config.MaxAuditRecords)
	var keys []string
	for i := range answer.KVs {
		if int64(i) < excess {
			keys = append(keys, answer.KVs[i].Key)
		}
	}
	return keys
}

// Filter selects records of the audit trail. Zero fields select all.
type Filter struct {
	Who     string
	Service string
	Change  string
	Since   time.Time
	Limit   int // newest records; 0 is DefaultAuditLimit
}

func (f Filter) matches(r *Record) bool {
	if f.Who != "" && r.Who != f.Who || f.Change != "" && r.Change != f.Change || r.When.Before(f.Since) {
		return false
	}
	if f.Service == "" {
		return true
	}
	for _, c := range r.Changes {
		if c.Service == f.Service {
			return true
		}
	}
	return false
}

// Audit returns the newest records that match, oldest first. It reads the trail
// from Filter.Since on. It returns ErrUnavailable or ErrStore.
func (o *Operations) Audit(ctx context.Context, f Filter) ([]Record, error) {
	if f.Limit <= 0 {
		f.Limit = DefaultAuditLimit
	}
	request := store.RangeRequest{Span: store.Prefix(AuditPrefix), Limit: pageSize}
	if !f.Since.IsZero() {
		request.After = fmt.Sprintf("%s%020d", AuditPrefix, max(0, f.Since.UnixNano()))
	}
	var found []Record
	for more := true; more; {
		answer, err := o.config.Store.Range(ctx, request)
		if err != nil {
			return nil, translate("read the audit trail", err)
		}
		for _, kv := range answer.KVs {
			found = appendMatch(found, kv, f)
			request.After = kv.Key
		}
		more = answer.More && len(answer.KVs) > 0
	}
	return found, nil
}

// appendMatch adds the record of one key if it matches. A record that can't be
// read is skipped: this package does not write such records.
func appendMatch(found []Record, kv store.KV, f Filter) []Record {
	var r Record
	if json.Unmarshal(kv.Value, &r) != nil || !f.matches(&r) {
		return found
	}
	r.Revision = kv.ModRevision
	found = append(found, r)
	if len(found) > f.Limit {
		found = found[1:]
	}
	return found
}
