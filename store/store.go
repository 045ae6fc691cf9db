// Package store defines the interface to the platform's key-value store and implements a
// client for the JSON-over-HTTP gateway of the etcd v3 API
// (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/).
package store

import (
	"context"
	"fmt"
	"time"
)

// KV is a key with its value.
type KV struct {
	Key            string
	Value          []byte
	CreateRevision int64   // of the write that created the key
	ModRevision    int64   // of the last write
	Lease          LeaseID // that the key is attached to
}

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// Span is a set of keys: one key, or all keys with a prefix.
type Span struct {
	Key    string
	Prefix bool
}

// Key returns the span of one key.
func Key(key string) Span { return Span{Key: key} }

// Prefix returns the span of all keys that start with prefix.
func Prefix(prefix string) Span { return Span{Key: prefix, Prefix: true} }

// End returns the exclusive end of the span as the etcd protocol defines range_end: empty
// for a single key, "\x00" for no end.
func (s Span) End() string {
	if !s.Prefix {
		return ""
	}
	end := []byte(s.Key)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return string(end[:i+1])
		}
	}
	return "\x00"
}

// RangeRequest asks for the keys of a span in ascending order.
type RangeRequest struct {
	Span     Span
	After    string // return only greater keys, for the next page; empty for the first page
	Limit    int64  // maximum number of keys; 0: no limit
	Revision int64  // revision to read at; 0: the newest
	KeysOnly bool   // omit the values
	// AllowStale allows an answer that is some seconds old, which costs the store less.
	AllowStale bool
}

// RangeResponse is one page of keys.
type RangeResponse struct {
	Revision int64 // the store's revision at the time of the answer
	// Era counts the returns of the store from an older copy of its data; 0 for a store that
	// does not count them. Revisions of different eras can't be compared.
	Era   uint32
	KVs   []KV
	More  bool  // further keys follow
	Count int64 // number of keys in the whole span above RangeRequest.After
}

// Compare is a condition of a transaction: the key was last written at ModRevision, or
// does not exist if that is 0.
type Compare struct {
	Key         string
	ModRevision int64
}

// Put writes a key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a transaction: it writes and deletes keys at one revision if all comparisons
// hold. A key may occur only once in Puts and Deletes together.
type Txn struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// TxnResponse is the answer to a transaction.
type TxnResponse struct {
	Revision  int64  // of the transaction if it succeeded
	Era       uint32 // see RangeResponse
	Succeeded bool   // whether all comparisons held and the writes took effect
}

// Event is one write or deletion that a watch delivers.
type Event struct {
	Deleted bool
	KV      KV // only Key and ModRevision are set for a deletion
}

// Batch is a group of events that a watch delivers together: all events of one or more
// revisions.
type Batch struct {
	Revision int64  // all events up to this revision have been delivered
	Era      uint32 // see RangeResponse
	Events   []Event
}

// Watcher delivers the events of one watch in the order of their revisions.
type Watcher interface {
	// Next waits for the next batch. An error, such as ErrCompacted or ErrUnavailable,
	// ends the watch.
	Next() (Batch, error)
	// Close ends the watch and unblocks Next.
	Close()
}

// Store is the platform's key-value store. All methods are safe for concurrent use. In
// addition to the errors listed at each method they return ErrUnavailable, ErrRateLimited
// or ErrProtocol. If the context ended the call, its error is wrapped, too.
type Store interface {
	// Range reads a page of keys. It returns ErrCompacted if the store no longer has
	// r.Revision.
	Range(ctx context.Context, r RangeRequest) (RangeResponse, error)
	// Txn executes a transaction. It returns ErrUncertain, ErrTooLarge or
	// ErrLeaseUnknown. A comparison that does not hold is not an error.
	Txn(ctx context.Context, t Txn) (TxnResponse, error)
	// Grant creates a lease that expires after ttl, rounded up to full seconds. If it
	// returns ErrUncertain, a lease may have been created; it expires after ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its time to live. It returns ErrLeaseUnknown
	// if the lease has expired.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Watch starts a watch of a span: it delivers all events at and after revision from,
	// or only new events if from is 0. The watch ends when ctx ends. If the store no
	// longer has the revision, Watch or the Next of its Watcher returns ErrCompacted.
	Watch(ctx context.Context, span Span, from int64) (Watcher, error)
}

// ReadAll reads all keys that r selects at one revision, in pages of r.Limit keys, and
// returns them and the revision. Each page is one call.
func ReadAll(ctx context.Context, s Store, r RangeRequest) ([]KV, int64, error) {
	var all []KV
	for {
		answer, err := s.Range(ctx, r)
		if err != nil {
			return nil, 0, fmt.Errorf("read %s: %w", r.Span.Key, err)
		}
		all = append(all, answer.KVs...)
		if r.Revision == 0 {
			r.Revision = answer.Revision
		}
		if !answer.More || len(answer.KVs) == 0 {
			return all, r.Revision, nil
		}
		r.After = answer.KVs[len(answer.KVs)-1].Key
	}
}
