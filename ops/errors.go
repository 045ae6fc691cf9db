package ops

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/gypsumspan/gypsumspan/decide/sheet"
	"github.com/gypsumspan/gypsumspan/store"
)

// Errors of the package.
var (
	// ErrInvalid means that the changed table would be invalid; it wraps a
	// sheet.InvalidError.
	ErrInvalid = errors.New("change is refused")
	// ErrConflict means that another operator changed the same cell.
	ErrConflict = errors.New("another operator changed the same cell")
	// ErrUnavailable means that the store was unreachable, limited the rate or did not
	// respond before the context ended.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrUncertain means that it is unknown whether the change was applied.
	ErrUncertain = errors.New("it is not known whether the change was made")
	// ErrContended means that every attempt failed because another change had been
	// applied.
	ErrContended = errors.New("other changes kept coming first")
	// ErrTooLarge means that a service does not fit into one transaction.
	ErrTooLarge = errors.New("change is too large for one transaction of the store")
	// ErrBaseCompacted means that the store has compacted the revision of the export.
	ErrBaseCompacted = errors.New("store no longer keeps the revision of the export")
	// ErrStore means any other error of the store.
	ErrStore = errors.New("store refused the call")
	// ErrAdmin means that a VM's admin endpoint returned an error or an invalid
	// response.
	ErrAdmin = errors.New("admin endpoint of the VM")
	// ErrNotInForce means that the context ended before a revision was in force on
	// all VMs.
	ErrNotInForce = errors.New("revision is not in force everywhere")
)

// ConflictError is an ErrConflict with the conflicting cells.
type ConflictError struct {
	Conflicts []sheet.Conflict
}

// Error implements error.
func (e *ConflictError) Error() string {
	lines := []string{fmt.Sprintf("%v (%d cells)", ErrConflict, len(e.Conflicts))}
	for _, c := range e.Conflicts {
		lines = append(lines, c.String())
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// UncertainError is an ErrUncertain with the change id to look for in the audit trail.
type UncertainError struct {
	ChangeID string
	Err      error
}

// Error implements error.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("%v; change id %s: %v", ErrUncertain, e.ChangeID, e.Err)
}

// Is reports whether target is ErrUncertain.
func (e *UncertainError) Is(target error) bool { return target == ErrUncertain }

// PartialError means that some transactions of a change were applied before Err.
type PartialError struct {
	AppliedParts int   // number of transactions applied
	Revision     int64 // of the last of them
	Err          error
}

// Error implements error.
func (e *PartialError) Error() string {
	return fmt.Sprintf("%d parts of the change were made up to revision %d, the rest was not (apply the same file again): %v", e.AppliedParts, e.Revision, e.Err)
}

// Unwrap returns the error that ended the change.
func (e *PartialError) Unwrap() error { return e.Err }

// wrapStoreError wraps an error of the store in the matching error of this package.
func wrapStoreError(operation string, err error) error {
	sentinel := ErrStore
	switch {
	case errors.Is(err, store.ErrUncertain):
		sentinel = ErrUncertain
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRateLimited):
		sentinel = ErrUnavailable
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		sentinel = ErrUnavailable
	case errors.Is(err, store.ErrTooLarge):
		sentinel = ErrTooLarge
	}
	return fmt.Errorf("%s: %w: %w", operation, sentinel, err)
}
