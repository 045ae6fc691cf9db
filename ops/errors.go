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
	// ErrUnavailable means that the store did not take the change.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrUncertain means that it is not known whether the change was made.
	ErrUncertain = errors.New("it is not known whether the change was made")
	// ErrContended means that other changes kept coming first.
	ErrContended = errors.New("other changes kept coming first")
	// ErrTooLarge means that a service does not fit into one transaction.
	ErrTooLarge = errors.New("change is too large for one transaction of the store")
	// ErrBaseCompacted means that the store has compacted the revision of the export.
	ErrBaseCompacted = errors.New("store no longer keeps the revision of the export")
	// ErrStore means another error of the store.
	ErrStore = errors.New("store refused the call")
	// ErrAdmin means that a VM's admin endpoint did not give a usable answer.
	ErrAdmin = errors.New("admin endpoint of the VM")
	// ErrNotInForce means that a revision was not in force everywhere in time.
	ErrNotInForce = errors.New("revision is not in force everywhere")
)

// ConflictError is ErrConflict with the cells.
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

// UncertainError is ErrUncertain with the id to look for in the audit trail.
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

// PartialError says that the first transactions of a change of several were
// made before Err.
type PartialError struct {
	AppliedParts int   // transactions
	Revision     int64 // of the last one
	Err          error
}

// Error implements error.
func (e *PartialError) Error() string {
	return fmt.Sprintf("%d parts of the change were made up to revision %d, the rest was not (apply the same file again): %v", e.AppliedParts, e.Revision, e.Err)
}

// Unwrap returns the error that ended the change.
func (e *PartialError) Unwrap() error { return e.Err }

// translate wraps an error of the store.
func translate(what string, err error) error {
	kind := ErrStore
	switch {
	case errors.Is(err, store.ErrUncertain):
		kind = ErrUncertain
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRateLimited):
		kind = ErrUnavailable
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		kind = ErrUnavailable
	case errors.Is(err, store.ErrTooLarge):
		kind = ErrTooLarge
	}
	return fmt.Errorf("%s: %w: %w", what, kind, err)
}
