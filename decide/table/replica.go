package table

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Replica is one VM's copy of the table's keys. Per key the highest revision
// wins, so replicas that merged the same entries are equal whatever the order.
// Deletions are kept as tombstones. It is not safe for concurrent use.
type Replica struct {
	states  map[message.ServiceID]*state
	table   *Table
	pool    *pool
	version uint64
	hash    uint64
}

// state holds the entries of one service. The rows that are in force share
// their memory with the table.
type state struct {
	name   string
	meta   metaRecord
	shards []shardRecord // by shard number
}

type metaRecord struct {
	revision int64 // 0: not known
	address  string
	kinds    []Kind
	count    int // number of shards; 0: deleted
}

type shardRecord struct {
	revision int64 // 0: not known
	of       int   // number of shards of the service when it was written; 0: deleted
	rows     string
}

// NewReplica returns a replica without entries.
func NewReplica() *Replica {
	return &Replica{states: make(map[message.ServiceID]*state), table: New(), pool: newPool()}
}

// Merge takes in entries, in any order and with repeats. It returns the
// services whose content in force changed, in ascending order, and the entries
// that it rejected because they are malformed; those change nothing. A service
// is in force once its meta entry and all shards written for that number of
// shards are known. Until then its previous content stays in force.
func (r *Replica) Merge(entries []message.TableEntry) (changed []message.ServiceID, rejected []EntryError) {
	touched := make(map[message.ServiceID]*state)
	for _, e := range entries {
		id, st, err := r.mergeOne(e)
		if err != nil {
			rejected = append(rejected, EntryError{Key: e.Key, Revision: e.Revision, Err: err})
			continue
		}
		if st != nil {
			touched[id] = st
		}
	}
	for id, st := range touched {
		if r.refresh(id, st) {
			changed = append(changed, id)
		}
	}
	slices.Sort(changed)
	return changed, rejected
}

// mergeOne returns the entry's service if the entry is news.
func (r *Replica) mergeOne(e message.TableEntry) (message.ServiceID, *state, error) {
	service, number, err := ParseKey(e.Key)
	if err != nil {
		return 0, nil, err
	}
	if e.Revision < 1 {
		return 0, nil, fmt.Errorf("revision %d: %w", e.Revision, ErrOutOfRange)
	}
	id := message.ServiceIDOf(service)
	st, err := r.stateOf(id, service)
	if err != nil {
		return 0, nil, err
	}
	old := st.revision(number)
	if e.Revision <= old {
		return 0, nil, nil
	}
	decoded, err := DecodeEntry(e)
	if err != nil {
		return 0, nil, err
	}
	r.states[id] = st
	st.set(decoded, e.Revision, r.pool)
	r.version = max(r.version, uint64(e.Revision))
	r.hash += pairHash(e.Key, e.Revision) - pairHash(e.Key, old)
	return id, st, nil
}

// stateOf returns the service's state. A new one is not yet part of the replica.
func (r *Replica) stateOf(id message.ServiceID, service string) (*state, error) {
	st, ok := r.states[id]
	if !ok {
		if len(r.states) >= maxServices {
			return nil, fmt.Errorf("more than %d services: %w", maxServices, ErrOutOfRange)
		}
		return &state{name: service}, nil
	}
	if st.name != service {
		return nil, fmt.Errorf("services %s and %s: %w", st.name, service, ErrCollision)
	}
	return st, nil
}

func (st *state) revision(number int) int64 {
	switch {
	case number == MetaShard:
		return st.meta.revision
	case number < len(st.shards):
		return st.shards[number].revision
	default:
		return 0
	}
}

func (st *state) set(e Entry, revision int64, p *pool) {
	if e.ShardNumber == MetaShard {
		st.meta = metaRecord{revision: revision}
		if e.Meta != nil {
			st.meta.address = e.Meta.Address
			st.meta.kinds = p.share(e.Meta.Kinds)
			st.meta.count = e.Meta.Shards
		}
		return
	}
	if e.ShardNumber >= len(st.shards) {
		st.shards = append(st.shards, make([]shardRecord, e.ShardNumber+1-len(st.shards))...)
	}
	record := shardRecord{revision: revision}
	if e.Rows != nil {
		record.of = e.Rows.ShardCount
		record.rows = p.pack(e.Rows.Targets)
	}
	st.shards[e.ShardNumber] = record
}

// refresh brings the service's content into force if it is complete.
func (r *Replica) refresh(id message.ServiceID, st *state) bool {
	if st.meta.revision == 0 {
		return false
	}
	if st.meta.count == 0 {
		_, known := r.table.services[id]
		r.table.RemoveService(id)
		return known
	}
	p := st.complete(r.pool)
	if p == nil {
		return false
	}
	if old, ok := r.table.services[id]; ok && p.equal(old.source) {
		return false
	}
	r.table.setPacked(id, p)
	return true
}

// complete returns the service if all its shards are known, or nil.
func (st *state) complete(pool *pool) *packed {
	if len(st.shards) < st.meta.count {
		return nil
	}
	for i := range st.meta.count {
		if st.shards[i].of != st.meta.count {
			return nil
		}
	}
	p := &packed{name: st.name, address: st.meta.address, kinds: st.meta.kinds, pool: pool}
	p.shards = make([]string, st.meta.count)
	for i := range p.shards {
		p.shards[i] = st.shards[i].rows
	}
	return p
}

func (p *packed) equal(other *packed) bool {
	return other != nil &&
		p.address == other.address &&
		slices.Equal(p.kinds, other.kinds) &&
		slices.Equal(p.shards, other.shards)
}

// pairHash hashes one key and revision; an unknown key (revision 0) counts 0.
func pairHash(key string, revision int64) uint64 {
	if revision == 0 {
		return 0
	}
	h := xxhash.Sum64String(key) ^ uint64(revision)*0x9e3779b97f4a7c15
	// Finalizer of MurmurHash3 (Appleby 2011).
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Version returns the highest revision merged, 0 without entries.
func (r *Replica) Version() uint64 { return r.version }

// Hash returns the sum of a hash of every key and its revision. Replicas with
// the same entries have the same hash; with equal versions and different hashes
// one of them misses entries below its version.
func (r *Replica) Hash() uint64 { return r.hash }

// Table returns the services in force. It follows later merges.
func (r *Replica) Table() *Table { return r.table }

// LiveKeys returns the keys of all entries that are not deleted, in no
// particular order.
func (r *Replica) LiveKeys() []string {
	var keys []string
	for _, st := range r.states {
		if st.meta.count > 0 {
			keys = append(keys, MetaKey(st.name))
		}
		for number := range st.shards {
			if st.shards[number].of > 0 {
				keys = append(keys, ShardKey(st.name, number))
			}
		}
	}
	return keys
}

// place names one entry of the replica.
type place struct {
	state    *state
	number   int
	revision int64
}

// Since calls yield for every entry with a revision above the given one, in
// ascending order, so that a receiver that gets only the first part can ask for
// the rest by its version. Values are encoded anew.
func (r *Replica) Since(revision int64, yield func(message.TableEntry) bool) {
	var places []place
	for _, st := range r.states {
		for number := MetaShard; number < len(st.shards); number++ {
			if at := st.revision(number); at > revision {
				places = append(places, place{state: st, number: number, revision: at})
			}
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.state.name, b.state.name), cmp.Compare(a.number, b.number))
	})
	for _, p := range places {
		if !yield(r.entry(p)) {
			return
		}
	}
}

// entry encodes one entry. Its content was checked when it was merged, so the
// encoder can't fail.
func (r *Replica) entry(p place) message.TableEntry {
	st := p.state
	if p.number == MetaShard {
		e := message.TableEntry{Key: MetaKey(st.name), Revision: p.revision}
		if m := st.meta; m.count > 0 {
			e.Value, _ = EncodeMeta(Meta{Address: m.address, Kinds: m.kinds, Shards: m.count})
		}
		return e
	}
	e := message.TableEntry{Key: ShardKey(st.name, p.number), Revision: p.revision}
	if s := st.shards[p.number]; s.of > 0 {
		e.Value, _ = EncodeShard(p.number, Shard{ShardCount: s.of, Targets: r.pool.unpack(st.name, s.rows)})
	}
	return e
}
