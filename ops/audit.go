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
	// AuditPrefix is the prefix of the store keys of the audit trail. A Unix time in
	// nanoseconds follows, so that the keys are sorted by the writers' clocks.
	AuditPrefix = "gypsumspan/audit/"
	// DefaultAuditLimit is the maximum number of records that Audit returns by default.
	DefaultAuditLimit = 100
	// ColumnRow is the column of a change that stands for all cells of an added or
	// removed target.
	ColumnRow = "row"
	// maxRecordBytes is the maximum size of an audit record, below the store's limit of
	// 1 MB per value.
	maxRecordBytes = 1_000_000
	// recordOverheadBytes is the space reserved in a record for all fields but the
	// changes.
	recordOverheadBytes = 1000
)

// Record is one record of the audit trail. It describes one transaction.
type Record struct {
	Change   string             `json:"change"` // change id
	Part     int                `json:"part"`   // number of the transaction within the change, from 1
	Who      string             `json:"who"`
	When     time.Time          `json:"when"`
	Revision int64              `json:"revision,omitempty"` // of the transaction; not stored
	Changes  []sheet.CellChange `json:"changes"`
}

func recordKey(when time.Time, id string, part int) string {
	return fmt.Sprintf("%s%020d-%s-%d", AuditPrefix, when.UnixNano(), id, part)
}

func (a *applyState) newRecord(b *batch, part int) Record {
	return Record{Change: a.changeID, Part: part, Who: a.config.Operator, When: a.config.Now().UTC(), Changes: b.changes}
}

func (r Record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode audit record: %w", err)
	}
	if len(data) > maxRecordBytes {
		return nil, fmt.Errorf("audit record of %d bytes: %w", len(data), ErrTooLarge)
	}
	return data, nil
}

// condenseRows replaces the changes of an added or removed target by one change of
// ColumnRow, whose value lists the cells in the order of the sheet. This limits the
// size of the records of whole services.
func condenseRows(changes []sheet.CellChange) []sheet.CellChange {
	var condensed []sheet.CellChange
	for i := 0; i < len(changes); i++ {
		c := changes[i]
		if c.Target == "" || c.Column != sheet.ColumnDomain || (c.Old != "" && c.New != "") {
			condensed = append(condensed, c)
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
		condensed = append(condensed, c)
	}
	return condensed
}

func joinCells(cells []string) string {
	return strings.Trim(strings.Join(cells, ","), ",")
}

// excessRecords returns the keys of the oldest records above MaxAuditRecords, including
// the record that is about to be written. It returns at most maxPrunedRecords, and none
// if the store fails; the next change deletes the rest.
func (o *Operations) excessRecords(ctx context.Context) []string {
	response, err := o.config.Store.Range(ctx, store.RangeRequest{Span: store.Prefix(AuditPrefix), Limit: maxPrunedRecords, KeysOnly: true})
	if err != nil {
		return nil
	}
	excess := response.Count + 1 - int64(o.config.MaxAuditRecords)
	var keys []string
	for i := range response.KVs {
		if int64(i) < excess {
			keys = append(keys, response.KVs[i].Key)
		}
	}
	return keys
}

// Filter selects records of the audit trail. Zero fields match all records.
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

// Audit returns the newest records that match, oldest first. It reads the audit trail
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
		response, err := o.config.Store.Range(ctx, request)
		if err != nil {
			return nil, wrapStoreError("read the audit trail", err)
		}
		for _, kv := range response.KVs {
			found = appendMatch(found, kv, f)
			request.After = kv.Key
		}
		more = response.More && len(response.KVs) > 0
	}
	return found, nil
}

// appendMatch appends the record of one key if it matches. It skips a record that can't
// be decoded, since this package writes none.
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
