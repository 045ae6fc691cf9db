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
	// maxBatchKeys is the number of table keys that one transaction compares. The
	// store allows 128; the rest is for the audit trail.
	maxBatchKeys = 100
	// maxBatchBytes is the size of one transaction, below the 1.5 MB that the
	// store allows.
	maxBatchBytes = 1_400_000
)

// batch is one transaction of a change.
type batch struct {
	units    []unit
	services int // number of services; their meta keys are compared too
	changes  []sheet.CellChange
	size     int // bytes of the units and their audit
	audit    int // bytes of the audit
}

// unit is the write of one key.
type unit struct {
	service string
	key     string
	value   []byte // nil deletes the key
	changes []sheet.CellChange
	size    int // bytes, with the audit
	audit   int // bytes
}

func newUnit(service, key string, value []byte, changes []sheet.CellChange) unit {
	u := unit{service: service, key: key, value: value, changes: condense(changes)}
	encoded, _ := json.Marshal(u.changes)
	u.audit = len(encoded)
	u.size = len(key) + len(value) + u.audit
	return u
}

// batches splits a plan into transactions. A service goes into one transaction
// if it fits. Otherwise its keys may be written apart, if no VM can then see a
// mixture of two numbers of shards; a new service comes into force with its meta
// key, which is written last. It returns ErrTooLarge.
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
		units, divisible, err := p.unitsOf(name, byService[name])
		if err != nil {
			return nil, err
		}
		if all, err = appendUnits(all, units, divisible); err != nil {
			return nil, fmt.Errorf("service %s: %w", name, err)
		}
	}
	return all, nil
}

func appendUnits(all []batch, units []unit, divisible bool) ([]batch, error) {
	whole := &batch{}
	whole.add(units...)
	if whole.fits() {
		return appendGroup(all, units), nil
	}
	if !divisible {
		return nil, fmt.Errorf("%d keys, %d bytes: %w", len(units), whole.size, ErrTooLarge)
	}
	for i := range units {
		all = appendGroup(all, units[i:i+1])
	}
	return all, nil
}

// appendGroup adds units to the last batch if they fit, or else to a new one.
func appendGroup(all []batch, units []unit) []batch {
	if len(all) > 0 {
		last := all[len(all)-1]
		last.units = slices.Clone(last.units)
		last.changes = slices.Clone(last.changes)
		last.add(units...)
		if last.fits() {
			all[len(all)-1] = last
			return all
		}
	}
	var b batch
	b.add(units...)
	return append(all, b)
}

func (b *batch) add(units ...unit) {
	for _, u := range units {
		if n := len(b.units); n == 0 || b.units[n-1].service != u.service {
			b.services++
		}
		b.units = append(b.units, u)
		b.changes = append(b.changes, u.changes...)
		b.size += u.size
		b.audit += u.audit
	}
}

func (b *batch) fits() bool {
	return len(b.units)+b.services <= maxBatchKeys && b.size <= maxBatchBytes && b.audit <= maxRecord-recordHead
}

// unitsOf returns the writes for one service in the order in which they may be
// made apart, and whether they may.
func (p *Plan) unitsOf(name string, changes []sheet.CellChange) (units []unit, divisible bool, err error) {
	service := p.services[name]
	if service == nil {
		return p.removalOf(name, changes), true, nil
	}
	old, exists := p.Current.shards[name]
	count, err := table.ShardCount(service.Targets, old)
	if err != nil {
		return nil, false, fmt.Errorf("service %s: %w: %w", name, ErrTooLarge, err)
	}
	entries, err := table.EncodeService(service, count)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	byKey := splitChanges(name, changes, count)
	written := make(map[string]bool)
	for _, e := range slices.Concat(entries[1:], entries[:1]) {
		written[e.Key] = true
		if kv, ok := p.Current.keys[e.Key]; !ok || !bytes.Equal(kv.Value, e.Value) {
			units = append(units, newUnit(name, e.Key, e.Value, byKey[e.Key]))
		}
	}
	for _, key := range p.keysOf(name) {
		if !written[key] {
			units = append(units, newUnit(name, key, nil, nil))
		}
	}
	return units, !exists || old == count, nil
}

// removalOf deletes the meta key first: without it the service is not in force.
func (p *Plan) removalOf(name string, changes []sheet.CellChange) []unit {
	keys := p.keysOf(name)
	meta := table.MetaKey(name)
	slices.SortStableFunc(keys, func(a, b string) int {
		return -cmp.Compare(boolToInt(a == meta), boolToInt(b == meta))
	})
	byKey := splitChanges(name, changes, max(1, p.Current.shards[name]))
	var units []unit
	for _, key := range keys {
		units = append(units, newUnit(name, key, nil, byKey[key]))
	}
	return units
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
	for number := table.MetaShard; number < table.MaxShards; number++ {
		key := table.ShardKey(name, number)
		if number == table.MetaShard {
			key = table.MetaKey(name)
		}
		if _, ok := p.Current.keys[key]; ok {
			keys = append(keys, key)
		}
	}
	return keys
}

// splitChanges assigns each changed cell to the key that holds it.
func splitChanges(name string, changes []sheet.CellChange, count int) map[string][]sheet.CellChange {
	byKey := make(map[string][]sheet.CellChange)
	for _, c := range changes {
		key := table.MetaKey(name)
		if c.Target != "" {
			key = table.ShardKey(name, table.ShardOf(c.Target, count))
		}
		byKey[key] = append(byKey[key], c)
	}
	return byKey
}

// txn returns the transaction of a batch: every key, and the meta key of every
// service, must be as it was read.
func (p *Plan) txn(b *batch) store.Txn {
	var t store.Txn
	compared := make(map[string]bool)
	compare := func(key string) {
		if !compared[key] {
			t.Compares = append(t.Compares, store.Compare{Key: key, ModRevision: p.Current.keys[key].ModRevision})
		}
		compared[key] = true
	}
	for _, u := range b.units {
		compare(u.key)
		compare(table.MetaKey(u.service))
		if u.value == nil {
			t.Deletes = append(t.Deletes, u.key)
			continue
		}
		t.Puts = append(t.Puts, store.Put{Key: u.key, Value: u.value})
	}
	return t
}

// rebase notes that a batch was made at a revision, for the batches after it.
func (p *Plan) rebase(b *batch, revision int64) {
	for _, u := range b.units {
		if u.value == nil {
			delete(p.Current.keys, u.key)
			continue
		}
		p.Current.keys[u.key] = store.KV{Key: u.key, Value: u.value, ModRevision: revision}
	}
}
