// Package store is the narrow interface to the platform's key-value store and
// its client in the JSON-over-HTTP form of the etcd v3 API
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
	CreateRevision int64 // of the write that created the key
	ModRevision    int64 // of the last write
	Lease          LeaseID
}

// LeaseID identifies a lease; 0 is no lease.
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

// End returns the exclusive upper end of the span in the form of the protocol:
// empty for a single key, "\x00" for no upper end.
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
	After    string // only keys above it, for the next page; empty for the first
	Limit    int64  // largest number of keys, 0 for no limit
	Revision int64  // read at this revision, 0 for the newest
	KeysOnly bool   // leave out the values
}

// RangeResponse is one page of keys.
type RangeResponse struct {
	Revision int64 // the store's revision at the time of the answer
	KVs      []KV
	More     bool  // further keys follow
	Count    int64 // number of keys in the whole span above RangeRequest.After
}

// Compare is a condition of a transaction: the key was last written at
// ModRevision. 0 means that the key does not exist.
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

// Txn writes and deletes keys at one revision if all comparisons hold. A key
// may occur once in Puts and Deletes together.
type Txn struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// TxnResponse is the answer to a transaction.
type TxnResponse struct {
	Revision  int64 // of the transaction if it succeeded
	Succeeded bool  // all comparisons held and the writes were made
}

// Event is one write that a watch saw.
type Event struct {
	Deleted bool
	KV      KV // of a deletion only Key and ModRevision
}

// Batch is what a watch delivers at once: all events of one or more revisions.
type Batch struct {
	Revision int64 // all events up to it were delivered
	Events   []Event
}

// Watcher delivers the events of one watch in the order of their revisions.
type Watcher interface {
	// Next waits for the next batch. It returns ErrCompacted or ErrUnavailable;
	// after an error the watch has ended.
	Next() (Batch, error)
	// Close ends the watch and a waiting Next.
	Close()
}

// Store is the platform's store. All methods are safe for concurrent use. They
// return ErrUnavailable, ErrRateLimited or ErrProtocol besides the errors that
// are named; the context's error is wrapped when it ended the call.
type Store interface {
	// Range reads keys. It returns ErrCompacted for an old RangeRequest.Revision.
	Range(ctx context.Context, r RangeRequest) (RangeResponse, error)
	// Txn makes a transaction. It returns ErrUncertain, ErrTooLarge or ErrLeaseUnknown.
	Txn(ctx context.Context, t Txn) (TxnResponse, error)
	// Grant creates a lease that expires after ttl, rounded up to full seconds.
	// A lost answer (ErrUncertain) leaves a lease that expires by itself.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its time to live. It returns
	// ErrLeaseUnknown when the lease has expired.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Watch delivers the events of a span from revision from on; 0 is from now
	// on. It ends with ctx. ErrCompacted may come from Watch or from Next.
	Watch(ctx context.Context, span Span, from int64) (Watcher, error)
}

// ReadAll reads all keys that r asks for, at one revision, in pages of r.Limit
// keys, and returns them with that revision. Each page is one call.
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
