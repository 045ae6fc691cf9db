package store

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gypsumspan/gypsumspan/store"
)

// Engine is an in-memory multi-version store. Its methods never block and are safe for
// concurrent use; a simulation on a virtual clock may call them directly.
type Engine struct {
	options Options

	mu        sync.Mutex
	history   *history
	leases    map[store.LeaseID]*lease
	lastLease store.LeaseID
	writes    tokenBucket
	reads     tokenBucket
	watches   map[*Subscription]struct{}
	faults    faults
	era       uint32 // number of calls of Rewind
	calls     Calls
}

type lease struct {
	ttl     time.Duration
	expires time.Duration
	keys    map[string]struct{}
}

// Calls counts the calls to a store, including rejected ones. A watch counts once, when
// it is created.
type Calls struct {
	Ranges     uint64
	Txns       uint64
	Grants     uint64
	KeepAlives uint64
	Watches    uint64
}

// Total returns the sum of all counters.
func (c Calls) Total() uint64 {
	return c.Ranges + c.Txns + c.Grants + c.KeepAlives + c.Watches
}

// NewEngine returns an empty store.
func NewEngine(options Options) *Engine {
	e := &Engine{
		options: options.withDefaults(),
		history: newHistory(),
		leases:  make(map[store.LeaseID]*lease),
		watches: make(map[*Subscription]struct{}),
	}
	now := e.options.Clock.Now()
	e.writes = newTokenBucket(e.options.WritesPerSecond, now)
	e.reads = newTokenBucket(e.options.ReadsPerSecond, now)
	return e
}

// Calls returns the call counters.
func (e *Engine) Calls() Calls {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls
}

// Revision returns the newest revision.
func (e *Engine) Revision() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.history.newest
}

// admit revokes expired leases, then checks one call against the outage and the rate limit.
func (e *Engine) admit(b *tokenBucket) error {
	now := e.options.Clock.Now()
	e.expireLeases(now)
	if e.faults.outage {
		return fmt.Errorf("outage: %w", store.ErrUnavailable)
	}
	if !b.allow(now) {
		return fmt.Errorf("limit of %g calls per second: %w", b.refillRate, store.ErrRateLimited)
	}
	return nil
}

// Range reads keys; see store.Store.
func (e *Engine) Range(r store.RangeRequest) (store.RangeResponse, error) {
	s := rangeOf(r.Span)
	if r.After != "" {
		s.start = r.After + "\x00"
	}
	return e.rangeKeys(s, r)
}

func (e *Engine) rangeKeys(s keyRange, r store.RangeRequest) (store.RangeResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls.Ranges++
	if err := e.admit(&e.reads); err != nil {
		return store.RangeResponse{}, err
	}
	revision := r.Revision
	if revision == 0 {
		revision = e.history.newest
	}
	if revision < e.history.compacted {
		return store.RangeResponse{}, &store.CompactedError{OldestRevision: e.history.compacted}
	}
	if revision > e.history.newest {
		return store.RangeResponse{}, fmt.Errorf("revision %d is newer than the store: %w", revision, store.ErrProtocol)
	}
	found, count := e.history.scan(s, revision, r.Limit)
	response := store.RangeResponse{Revision: e.history.newest, Era: e.era, More: count > int64(len(found)), Count: count}
	for _, write := range found {
		kv := write.KV
		kv.Value = nil
		if !r.KeysOnly {
			kv.Value = append([]byte{}, write.KV.Value...)
		}
		response.KVs = append(response.KVs, kv)
	}
	return response, nil
}

// Txn executes a transaction; see store.Store.
func (e *Engine) Txn(t store.Txn) (store.TxnResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls.Txns++
	if err := e.admit(&e.writes); err != nil {
		return store.TxnResponse{}, err
	}
	if err := e.check(t); err != nil {
		return store.TxnResponse{}, err
	}
	fault := e.faults.nextWriteFault()
	if fault == lostNotApplied {
		return store.TxnResponse{}, fmt.Errorf("response lost: %w", store.ErrUncertain)
	}
	response := e.execute(t)
	if fault == lostApplied {
		return store.TxnResponse{}, fmt.Errorf("response lost: %w", store.ErrUncertain)
	}
	return response, nil
}

func (e *Engine) check(t store.Txn) error {
	if ops := max(len(t.Compares), len(t.Puts)+len(t.Deletes)); ops > e.options.MaxOps {
		return fmt.Errorf("%d operations exceed the limit of %d: %w", ops, e.options.MaxOps, store.ErrTooLarge)
	}
	size := 0
	seen := make(map[string]bool)
	for _, key := range t.Deletes {
		seen[key] = true
	}
	for _, p := range t.Puts {
		size += len(p.Key) + len(p.Value)
		if len(p.Value) > e.options.MaxValue {
			return fmt.Errorf("value of %d bytes exceeds the limit of %d: %w", len(p.Value), e.options.MaxValue, store.ErrTooLarge)
		}
		if seen[p.Key] || p.Key == "" {
			return fmt.Errorf("key %q is empty or written twice: %w", p.Key, store.ErrProtocol)
		}
		seen[p.Key] = true
		if _, ok := e.leases[p.Lease]; p.Lease != 0 && !ok {
			return fmt.Errorf("lease %d: %w", p.Lease, store.ErrLeaseUnknown)
		}
	}
	if size > e.options.MaxTxn {
		return fmt.Errorf("transaction of %d bytes exceeds the limit of %d: %w", size, e.options.MaxTxn, store.ErrTooLarge)
	}
	return nil
}

func (e *Engine) execute(t store.Txn) store.TxnResponse {
	for _, c := range t.Compares {
		r, exists := e.history.lookup(c.Key, e.history.newest)
		if (exists && r.KV.ModRevision != c.ModRevision) || (!exists && c.ModRevision != 0) {
			return store.TxnResponse{Revision: e.history.newest, Era: e.era}
		}
	}
	e.commit(func() {
		for _, key := range t.Deletes {
			e.detachLease(key)
			e.history.markDeleted(key)
		}
		for _, p := range t.Puts {
			e.detachLease(p.Key)
			e.history.put(store.KV{Key: p.Key, Value: append([]byte{}, p.Value...), Lease: p.Lease})
			if l := e.leases[p.Lease]; l != nil {
				l.keys[p.Key] = struct{}{}
			}
		}
	})
	return store.TxnResponse{Revision: e.history.newest, Era: e.era, Succeeded: true}
}

// commit runs apply at a new revision and signals the watches. If apply wrote nothing, the
// revision is not used up. The history is compacted to RetainedRevisions once it is twice
// as long.
func (e *Engine) commit(apply func()) {
	before := len(e.history.log)
	e.history.newest++
	apply()
	if len(e.history.log) == before {
		e.history.newest--
		return
	}
	if keep := int64(e.options.RetainedRevisions); e.history.newest-e.history.compacted > 2*keep {
		e.history.compact(e.history.newest - keep)
	}
	for s := range e.watches {
		s.signal()
	}
}

// detachLease removes a key from the lease it is attached to, if any.
func (e *Engine) detachLease(key string) {
	if r, exists := e.history.lookup(key, e.history.newest); exists && r.KV.Lease != 0 {
		if l := e.leases[r.KV.Lease]; l != nil {
			delete(l.keys, key)
		}
	}
}

// Grant creates a lease; see store.Store.
func (e *Engine) Grant(ttl time.Duration) (store.LeaseID, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls.Grants++
	if err := e.admit(&e.writes); err != nil {
		return 0, err
	}
	ttl = max(time.Second, (ttl+time.Second-1)/time.Second*time.Second)
	e.lastLease++
	e.leases[e.lastLease] = &lease{ttl: ttl, expires: e.options.Clock.Now() + ttl, keys: make(map[string]struct{})}
	if e.faults.nextWriteFault() != noWriteFault {
		return 0, fmt.Errorf("response lost: %w", store.ErrUncertain)
	}
	return e.lastLease, nil
}

// KeepAlive renews a lease; see store.Store.
func (e *Engine) KeepAlive(id store.LeaseID) (time.Duration, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls.KeepAlives++
	if err := e.admit(&e.writes); err != nil {
		return 0, err
	}
	l, ok := e.leases[id]
	if !ok {
		return 0, fmt.Errorf("lease %d: %w", id, store.ErrLeaseUnknown)
	}
	l.expires = e.options.Clock.Now() + l.ttl
	return l.ttl, nil
}

// Expire revokes the leases that have expired. Every call does so too; Expire is needed
// only for watches that would otherwise not see the deletions.
func (e *Engine) Expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLeases(e.options.Clock.Now())
}

func (e *Engine) expireLeases(now time.Duration) {
	var expired []store.LeaseID
	for id, l := range e.leases {
		if l.expires <= now {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		e.revokeLease(id)
	}
}

// revokeLease removes a lease and deletes its keys in one revision.
func (e *Engine) revokeLease(id store.LeaseID) {
	l, ok := e.leases[id]
	if !ok {
		return
	}
	delete(e.leases, id)
	e.commit(func() {
		for key := range l.keys {
			e.history.markDeleted(key)
		}
	})
}
