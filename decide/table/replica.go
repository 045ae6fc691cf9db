package table

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Replica is one VM's copy of the table's entries. The highest revision of each key
// wins, so replicas that merged the same entries in any order are equal. Deletions
// are kept as tombstones. It is not safe for concurrent use.
type Replica struct {
	states  map[message.ServiceID]*serviceState
	table   *Table
	pool    *pool
	version uint64
	hash    uint64
}

// serviceState holds the entries of one service. Rows in force share their memory with
// the table.
type serviceState struct {
	name   string
	meta   metaRecord
	shards []shardRecord // by shard number
}

type metaRecord struct {
	revision int64 // 0: unknown
	address  string
	kinds    []Kind
	count    int // number of shards; 0: deleted
}

type shardRecord struct {
	revision   int64 // 0: unknown
	shardCount int   // number of shards of the service when it was written; 0: deleted
	rows       string
}

// NewReplica returns a replica without entries.
func NewReplica() *Replica {
	return &Replica{states: make(map[message.ServiceID]*serviceState), table: New(), pool: newPool()}
}

// Merge merges entries, in any order and with duplicates. It returns the services
// whose content in force changed, in ascending order of their ids, and the rejected
// entries, which have no effect. It ignores an entry whose revision is not above that of
// its key. A service comes into force once its meta entry and all shards written for that
// number of shards are known. Until then its previous content stays in force. The deletion
// of its meta entry removes it at once.
func (r *Replica) Merge(entries []message.TableEntry) (changed []message.ServiceID, rejected []EntryError) {
	touched := make(map[message.ServiceID]*serviceState)
	for _, e := range entries {
		id, st, err := r.mergeEntry(e)
		if err != nil {
			rejected = append(rejected, EntryError{Key: e.Key, Revision: e.Revision, Err: err})
			continue
		}
		if st != nil {
			touched[id] = st
		}
	}
	for id, st := range touched {
		if r.activate(id, st) {
			changed = append(changed, id)
		}
	}
	slices.Sort(changed)
	return changed, rejected
}

// mergeEntry merges one entry. It returns the state of its service, or nil if the
// replica already has the entry or a newer one. It returns the errors of ParseKey,
// stateOf and DecodeEntry, and ErrOutOfRange for a revision below 1.
func (r *Replica) mergeEntry(e message.TableEntry) (message.ServiceID, *serviceState, error) {
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
	r.hash += entryHash(e.Key, e.Revision) - entryHash(e.Key, old)
	return id, st, nil
}

// stateOf returns the state of a service. It does not add a new state to the replica. It
// returns ErrCollision if another service has the id, and ErrOutOfRange if there are too
// many services, deleted ones included.
func (r *Replica) stateOf(id message.ServiceID, service string) (*serviceState, error) {
	st, ok := r.states[id]
	if !ok {
		if len(r.states) >= maxServices {
			return nil, fmt.Errorf("more than %d services: %w", maxServices, ErrOutOfRange)
		}
		return &serviceState{name: service}, nil
	}
	if st.name != service {
		return nil, fmt.Errorf("services %s and %s: %w", st.name, service, ErrCollision)
	}
	return st, nil
}

// revision returns the revision of a shard or of the meta entry, or 0 if it is unknown.
func (st *serviceState) revision(number int) int64 {
	switch {
	case number == MetaShard:
		return st.meta.revision
	case number < len(st.shards):
		return st.shards[number].revision
	default:
		return 0
	}
}

// set stores a decoded entry.
func (st *serviceState) set(e Entry, revision int64, p *pool) {
	if e.ShardNumber == MetaShard {
		st.meta = metaRecord{revision: revision}
		if e.Meta != nil {
			st.meta.address = e.Meta.Address
			st.meta.kinds = p.intern(e.Meta.Kinds)
			st.meta.count = e.Meta.ShardCount
		}
		return
	}
	if e.ShardNumber >= len(st.shards) {
		st.shards = append(st.shards, make([]shardRecord, e.ShardNumber+1-len(st.shards))...)
	}
	record := shardRecord{revision: revision}
	if e.Shard != nil {
		record.shardCount = e.Shard.ShardCount
		record.rows = p.pack(e.Shard.Targets)
	}
	st.shards[e.ShardNumber] = record
}

// activate brings the content of a service into force if it is complete. It reports
// whether the content in force changed.
func (r *Replica) activate(id message.ServiceID, st *serviceState) bool {
	if st.meta.revision == 0 {
		return false
	}
	if st.meta.count == 0 {
		_, known := r.table.services[id]
		r.table.RemoveService(id)
		return known
	}
	p := st.assemble(r.pool)
	if p == nil {
		return false
	}
	if old, ok := r.table.services[id]; ok && p.equal(old.source) {
		return false
	}
	r.table.setPacked(id, p)
	return true
}

// assemble returns the service if all shards for the number of shards in its meta entry
// are known, or nil.
func (st *serviceState) assemble(pool *pool) *packed {
	if len(st.shards) < st.meta.count {
		return nil
	}
	for i := range st.meta.count {
		if st.shards[i].shardCount != st.meta.count {
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

// entryHash returns a hash of a key and its revision, or 0 for an unknown key (revision 0).
func entryHash(key string, revision int64) uint64 {
	if revision == 0 {
		return 0
	}
	h := xxhash.Sum64String(key) ^ uint64(revision)*0x9e3779b97f4a7c15
	// Finalizer of MurmurHash3 (Appleby 2011).
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Version returns the highest merged revision, 0 without entries.
func (r *Replica) Version() uint64 { return r.version }

// Hash returns the sum of the hashes of all keys with their revisions. Replicas with
// the same entries have the same hash. If two replicas have equal versions and
// different hashes, at least one lacks entries of revisions up to its version.
func (r *Replica) Hash() uint64 { return r.hash }

// Table returns the services in force. Later merges update it.
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
			if st.shards[number].shardCount > 0 {
				keys = append(keys, ShardKey(st.name, number))
			}
		}
	}
	return keys
}

// entryRef identifies one entry of the replica.
type entryRef struct {
	serviceState *serviceState
	number       int // shard number, or MetaShard
	revision     int64
}

// Since calls yield for every entry with a revision above the given one, in ascending
// order of revisions, until it returns false. A receiver of only a part can request the
// rest by its version if the part ends between two revisions. Values are encoded again.
func (r *Replica) Since(revision int64, yield func(message.TableEntry) bool) {
	var refs []entryRef
	for _, st := range r.states {
		for number := MetaShard; number < len(st.shards); number++ {
			if at := st.revision(number); at > revision {
				refs = append(refs, entryRef{serviceState: st, number: number, revision: at})
			}
		}
	}
	slices.SortFunc(refs, func(a, b entryRef) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.serviceState.name, b.serviceState.name), cmp.Compare(a.number, b.number))
	})
	for _, ref := range refs {
		if !yield(r.entry(ref)) {
			return
		}
	}
}

// entry encodes one entry. Its content was checked by the merge, so encoding does not
// fail.
func (r *Replica) entry(ref entryRef) message.TableEntry {
	st := ref.serviceState
	if ref.number == MetaShard {
		e := message.TableEntry{Key: MetaKey(st.name), Revision: ref.revision}
		if m := st.meta; m.count > 0 {
			e.Value, _ = EncodeMeta(Meta{Address: m.address, Kinds: m.kinds, ShardCount: m.count})
		}
		return e
	}
	e := message.TableEntry{Key: ShardKey(st.name, ref.number), Revision: ref.revision}
	if s := st.shards[ref.number]; s.shardCount > 0 {
		e.Value, _ = EncodeShard(ref.number, Shard{ShardCount: s.shardCount, Targets: r.pool.unpack(st.name, s.rows)})
	}
	return e
}
