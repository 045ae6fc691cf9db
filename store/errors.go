package store

import (
	"errors"
	"fmt"
)

// Errors of the package. CompactedError matches ErrCompacted in errors.Is.
var (
	// ErrUnavailable means that the store did not process a write, or that a read, a watch
	// or a KeepAlive failed. Nothing was changed, except that KeepAlive may have renewed
	// the lease.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrRateLimited means that the store refused the call because of its rate
	// limit: nothing was changed.
	ErrRateLimited = errors.New("store's rate limit is reached")
	// ErrUncertain means that the answer to a write was lost: it may have taken effect.
	ErrUncertain = errors.New("answer of the store was lost, the write may have taken effect")
	// ErrCompacted means that the store no longer has the requested revision.
	ErrCompacted = errors.New("revision is compacted")
	// ErrRewound means that the store has returned from an older copy of its data, so that
	// revisions that the caller knows no longer apply.
	ErrRewound = errors.New("store has returned from an older copy")
	// ErrBacklog means that the changes to be delivered exceed what is useful to receive: reading the
	// keys takes less.
	ErrBacklog = errors.New("changes are larger than the keys")
	// ErrTooLarge means that a value or a transaction exceeds the store's limits.
	ErrTooLarge = errors.New("value or transaction is too large for the store")
	// ErrLeaseUnknown means that a lease has expired or never existed.
	ErrLeaseUnknown = errors.New("lease is unknown")
	// ErrProtocol means that the store's answer does not have the published format, or
	// that the store rejected a call as invalid. Configuration errors of the client are
	// also of this kind.
	ErrProtocol = errors.New("store does not follow the protocol")
)

// CompactedError is ErrCompacted with the oldest revision that the store still has.
type CompactedError struct {
	OldestRevision int64
}

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("revisions below %d are compacted", e.OldestRevision)
}

// Is reports whether target is ErrCompacted.
func (e *CompactedError) Is(target error) bool { return target == ErrCompacted }
