package table

import (
	"errors"
	"fmt"
)

// Errors of the package.
var (
	// ErrBadKey means that a store key is not a key of the table.
	ErrBadKey = errors.New("not a key of the table")
	// ErrBadName means that a name has a length or a character that is not allowed.
	ErrBadName = errors.New("name must have 1 to 64 of the characters A-Z a-z 0-9 . _ -")
	// ErrMalformed means that a store value can't be decoded.
	ErrMalformed = errors.New("malformed table entry")
	// ErrOutOfRange means that a number or a size is outside its limits.
	ErrOutOfRange = errors.New("value out of range")
	// ErrUnknownValue means that a state or an urgency is not one of the defined values.
	ErrUnknownValue = errors.New("unknown value")
	// ErrDuplicate means that a name occurs twice.
	ErrDuplicate = errors.New("duplicate name")
	// ErrWrongShard means that a row is in a shard that its name does not hash to.
	ErrWrongShard = errors.New("row is in the wrong shard")
	// ErrCollision means that two service names have the same id.
	ErrCollision = errors.New("two names have the same id")
)

// EntryError reports an entry that a Replica rejected, and the reason.
type EntryError struct {
	Key      string
	Revision int64
	Err      error
}

// Error implements error.
func (e EntryError) Error() string {
	return fmt.Sprintf("table entry %s at revision %d: %v", e.Key, e.Revision, e.Err)
}

// Unwrap returns the reason.
func (e EntryError) Unwrap() error { return e.Err }
