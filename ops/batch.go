package ops

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/gypsumspan/gypsumspan/decide/sheet"
	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/store"
)

const (
	// maxBatchKeys is the maximum number of table keys that one transaction compares. The
	// store allows 128; the rest is for the audit trail.
	maxBatchKeys = 100
	// maxBatchBytes is the maximum size of one transaction, below the store's limit of
	// 1.5 MB.
	maxBatchBytes = 1_400_000
)

// batch holds the writes of one transaction of a change.
type batch struct {
	writes       []keyWrite
	serviceCount int // the meta key of each service is compared too
	changes      []sheet.CellChange
	sizeBytes    int // writes with their changed cells in the audit record
	auditBytes   int // changed cells in the audit record
}

// keyWrite is the put or delete of one key.
type keyWrite struct {
	service    string
	key        string
	value      []byte // nil to delete the key
	changes    []sheet.CellChange
	sizeBytes  int // key, value and changed cells in the audit record
	auditBytes int // changed cells in the audit record
}

func newKeyWrite(service, key string, value []byte, changes []sheet.CellChange) keyWrite {
	w := keyWrite{service: service, key: key, value: value, changes: condenseRows(changes)}
	encoded, _ := json.Marshal(w.changes)
	w.auditBytes = len(encoded)
	w.sizeBytes = len(key) + len(value) + w.auditBytes
	return w
}

// batches splits a plan into transactions. A service is written in one transaction if
// it fits. Otherwise its keys are written in several transactions, unless VMs could
// then read shards of two different shard counts. A new service comes into force with
// its meta key, which is written last. It returns ErrTooLarge.
func (p *Plan) batches() ([]batch, error) {
	byService := make(map[string][]sheet.CellChange)
	var names []string
	for _, c := range p.Changes {
		if len(byService[c.Service]) == 0 {
			names = append(names, c.Service)
		}
		byService[c.Service] = append(byService[c.Service], c)
	}
	var all []batch
	for _, name := range names {
		writes, divisible, err := p.writesOf(name, byService[name])
		if err != nil {
			return nil, err
		}
		if all, err = appendWrites(all, writes, divisible); err != nil {
			return nil, fmt.Errorf("service %s: %w", name, err)
		}
	}
	return all, nil
}

// appendWrites adds the writes of one service to the batches, as one group if they fit
// into one transaction. It returns ErrTooLarge if they must not be split.
func appendWrites(all []batch, writes []keyWrite, divisible bool) ([]batch, error) {
	whole := &batch{}
	whole.add(writes...)
	if whole.fits() {
		return appendGroup(all, writes), nil
	}
	if !divisible {
		return nil, fmt.Errorf("%d keys, %d bytes: %w", len(writes), whole.sizeBytes, ErrTooLarge)
	}
	for i := range writes {
		all = appendGroup(all, writes[i:i+1])
	}
	return all, nil
}

// appendGroup adds writes to the last batch if they fit, otherwise to a new one.
func appendGroup(all []batch, writes []keyWrite) []batch {
	if len(all) > 0 {
		last := all[len(all)-1]
		last.writes = slices.Clone(last.writes)
		last.changes = slices.Clone(last.changes)
		last.add(writes...)
		if last.fits() {
			all[len(all)-1] = last
			return all
		}
	}
	var b batch
	b.add(writes...)
	return append(all, b)
}

func (b *batch) add(writes ...keyWrite) {
	for _, w := range writes {
		if n := len(b.writes); n == 0 || b.writes[n-1].service != w.service {
			b.serviceCount++
		}
		b.writes = append(b.writes, w)
		b.changes = append(b.changes, w.changes...)
		b.sizeBytes += w.sizeBytes
		b.auditBytes += w.auditBytes
	}
}

func (b *batch) fits() bool {
	return len(b.writes)+b.serviceCount <= maxBatchKeys && b.sizeBytes <= maxBatchBytes && b.auditBytes <= maxRecordBytes-recordOverheadBytes
}

// writesOf returns the writes for one service, and whether they may be split into
// several transactions. They are in the order in which they must then be applied.
func (p *Plan) writesOf(name string, changes []sheet.CellChange) (writes []keyWrite, divisible bool, err error) {
	service := p.services[name]
	if service == nil {
		return p.removalWrites(name, changes), true, nil
	}
	oldCount, exists := p.Current.shardCounts[name]
	shardCount, err := table.ShardCount(service.Targets, oldCount)
	if err != nil {
		return nil, false, fmt.Errorf("service %s: %w: %w", name, ErrTooLarge, err)
	}
	entries, err := table.EncodeService(service, shardCount)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	byKey := splitChanges(name, changes, shardCount)
	written := make(map[string]bool)
	for _, e := range slices.Concat(entries[1:], entries[:1]) {
		written[e.Key] = true
		if kv, ok := p.Current.keys[e.Key]; !ok || !bytes.Equal(kv.Value, e.Value) {
			writes = append(writes, newKeyWrite(name, e.Key, e.Value, byKey[e.Key]))
		}
	}
	for _, key := range p.keysOf(name) {
		if !written[key] {
			writes = append(writes, newKeyWrite(name, key, nil, nil))
		}
	}
	return writes, !exists || oldCount == shardCount, nil
}

// removalWrites returns the deletes of a service's keys. The meta key is the first,
// since without it the service is no longer in force.
func (p *Plan) removalWrites(name string, changes []sheet.CellChange) []keyWrite {
	keys := p.keysOf(name)
	metaKey := table.MetaKey(name)
	slices.SortStableFunc(keys, func(a, b string) int {
		return -cmp.Compare(boolToInt(a == metaKey), boolToInt(b == metaKey))
	})
	byKey := splitChanges(name, changes, max(1, p.Current.shardCounts[name]))
	var writes []keyWrite
	for _, key := range keys {
		writes = append(writes, newKeyWrite(name, key, nil, byKey[key]))
	}
	return writes
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// keysOf returns the service's keys in the store, in ascending order.
func (p *Plan) keysOf(name string) []string {
	var keys []string
	for shard := table.MetaShard; shard < table.MaxShards; shard++ {
		key := table.ShardKey(name, shard)
		if shard == table.MetaShard {
			key = table.MetaKey(name)
		}
		if _, ok := p.Current.keys[key]; ok {
			keys = append(keys, key)
		}
	}
	return keys
}

// splitChanges assigns each changed cell to the key that holds it.
func splitChanges(name string, changes []sheet.CellChange, shardCount int) map[string][]sheet.CellChange {
	byKey := make(map[string][]sheet.CellChange)
	for _, c := range changes {
		key := table.MetaKey(name)
		if c.Target != "" {
			key = table.ShardKey(name, table.ShardOf(c.Target, shardCount))
		}
		byKey[key] = append(byKey[key], c)
	}
	return byKey
}

// txn returns the transaction of a batch. It compares the revision of every key, and of
// the meta key of every service, with the one that was read.
func (p *Plan) txn(b *batch) store.Txn {
	var txn store.Txn
	compared := make(map[string]bool)
	compare := func(key string) {
		if !compared[key] {
			txn.Compares = append(txn.Compares, store.Compare{Key: key, ModRevision: p.Current.keys[key].ModRevision})
		}
		compared[key] = true
	}
	for _, w := range b.writes {
		compare(w.key)
		compare(table.MetaKey(w.service))
		if w.value == nil {
			txn.Deletes = append(txn.Deletes, w.key)
			continue
		}
		txn.Puts = append(txn.Puts, store.Put{Key: w.key, Value: w.value})
	}
	return txn
}

// recordApplied updates the keys after a batch was applied at a revision, since later
// batches compare the revisions.
func (p *Plan) recordApplied(b *batch, revision int64) {
	for _, w := range b.writes {
		if w.value == nil {
			delete(p.Current.keys, w.key)
			continue
		}
		p.Current.keys[w.key] = store.KV{Key: w.key, Value: w.value, ModRevision: revision}
	}
}
