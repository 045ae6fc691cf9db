package store

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gypsumspan/gypsumspan/store"
)

// Engine is the store in memory. Its methods never wait and are safe for
// concurrent use; a simulation on a virtual clock may call them directly.
type Engine struct {
	options Options

	mu        sync.Mutex
	history   *history
	leases    map[store.LeaseID]*lease
	lastLease store.LeaseID
	writes    bucket
	reads     bucket
	watches   map[*Subscription]struct{}
	faults    faults
	calls     Calls
}

type lease struct {
	ttl     time.Duration
	expires time.Duration
	keys    map[string]struct{}
}

// Calls counts the calls to a store, refused ones included. A waiting watch is
// one call.
type Calls struct {
	Ranges     uint64
	Txns       uint64
	Grants     uint64
	KeepAlives uint64
	Watches    uint64
}

// Total returns the number of all calls.
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
	e.writes = newBucket(e.options.WritesPerSecond, now)
	e.reads = newBucket(e.options.ReadsPerSecond, now)
	return e
}

// Calls returns the counters.
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

// admit applies expired leases, outage and rate limit to one call.
func (e *Engine) admit(b *bucket) error {
	now := e.options.Clock.Now()
	e.expire(now)
	if e.faults.outage {
		return fmt.Errorf("outage: %w", store.ErrUnavailable)
	}
	if !b.take(now) {
		return fmt.Errorf("%g calls per second: %w", b.rate, store.ErrRateLimited)
	}
	return nil
}

// Range reads keys; see store.Store.
func (e *Engine) Range(r store.RangeRequest) (store.RangeResponse, error) {
	s := scopeOf(r.Span)
	if r.After != "" {
		s.start = r.After + "\x00"
	}
	return e.rangeScope(s, r)
}

func (e *Engine) rangeScope(s scope, r store.RangeRequest) (store.RangeResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls.Ranges++
	if err := e.admit(&e.reads); err != nil {
		return store.RangeResponse{}, err
	}
	at := r.Revision
	if at == 0 {
		at = e.history.newest
	}
	if at < e.history.compacted {
		return store.RangeResponse{}, &store.CompactedError{OldestRevision: e.history.compacted}
	}
	if at > e.history.newest {
		return store.RangeResponse{}, fmt.Errorf("revision %d is in the future: %w", at, store.ErrProtocol)
	}
	found, count := e.history.scan(s, at, r.Limit)
	answer := store.RangeResponse{Revision: e.history.newest, More: count > int64(len(found)), Count: count}
	for _, write := range found {
		kv := write.KV
		kv.Value = nil
		if !r.KeysOnly {
			kv.Value = append([]byte{}, write.KV.Value...)
		}
		answer.KVs = append(answer.KVs, kv)
	}
	return answer, nil
}

// Txn makes a transaction; see store.Store.
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
	loss := e.faults.nextLoss()
	if loss == lostBefore {
		return store.TxnResponse{}, fmt.Errorf("answer lost: %w", store.ErrUncertain)
	}
	answer := e.execute(t)
	if loss == lostAfter {
		return store.TxnResponse{}, fmt.Errorf("answer lost: %w", store.ErrUncertain)
	}
	return answer, nil
}

func (e *Engine) check(t store.Txn) error {
	if ops := max(len(t.Compares), len(t.Puts)+len(t.Deletes)); ops > e.options.MaxOps {
		return fmt.Errorf("%d operations, at most %d: %w", ops, e.options.MaxOps, store.ErrTooLarge)
	}
	size := 0
	seen := make(map[string]bool)
	for _, key := range t.Deletes {
		seen[key] = true
	}
	for _, p := range t.Puts {
		size += len(p.Key) + len(p.Value)
		if len(p.Value) > e.options.MaxValue {
			return fmt.Errorf("value of %d bytes, at most %d: %w", len(p.Value), e.options.MaxValue, store.ErrTooLarge)
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
		return fmt.Errorf("transaction of %d bytes, at most %d: %w", size, e.options.MaxTxn, store.ErrTooLarge)
	}
	return nil
}

func (e *Engine) execute(t store.Txn) store.TxnResponse {
	for _, c := range t.Compares {
		r, exists := e.history.at(c.Key, e.history.newest)
		if (exists && r.KV.ModRevision != c.ModRevision) || (!exists && c.ModRevision != 0) {
			return store.TxnResponse{Revision: e.history.newest}
		}
	}
	e.commit(func() {
		for _, key := range t.Deletes {
			e.detach(key)
			e.history.remove(key)
		}
		for _, p := range t.Puts {
			e.detach(p.Key)
			e.history.put(store.KV{Key: p.Key, Value: append([]byte{}, p.Value...), Lease: p.Lease})
			if l := e.leases[p.Lease]; l != nil {
				l.keys[p.Key] = struct{}{}
			}
		}
	})
	return store.TxnResponse{Revision: e.history.newest, Succeeded: true}
}

// commit runs writes at a new revision, which is taken back when they change
// nothing, and wakes the watches.
func (e *Engine) commit(write func()) {
	before := len(e.history.log)
	e.history.newest++
	write()
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

// detach takes a key away from its lease.
func (e *Engine) detach(key string) {
	if r, exists := e.history.at(key, e.history.newest); exists && r.KV.Lease != 0 {
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
	if e.faults.nextLoss() != notLost {
		return 0, fmt.Errorf("answer lost: %w", store.ErrUncertain)
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

// Expire applies the leases that have expired. Every call does so too; only
// waiting watches depend on it.
func (e *Engine) Expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire(e.options.Clock.Now())
}

func (e *Engine) expire(now time.Duration) {
	var expired []store.LeaseID
	for id, l := range e.leases {
		if l.expires <= now {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		e.drop(id)
	}
}

// drop ends a lease and deletes its keys at one revision.
func (e *Engine) drop(id store.LeaseID) {
	l, ok := e.leases[id]
	if !ok {
		return
	}
	delete(e.leases, id)
	e.commit(func() {
		for key := range l.keys {
			e.history.remove(key)
		}
	})
}
