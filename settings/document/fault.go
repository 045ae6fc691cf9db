package document

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid means that a document has faults. Errors that wrap it have type Faults.
var ErrInvalid = errors.New("settings are invalid")

// Fault is one fault in a settings file.
type Fault struct {
	File     string
	Line     int    // from 1
	Key      string // such as "listen.data" or "seeds[1].name"; empty for a syntax error
	Expected string
	Found    string // empty if the key is missing
}

// String returns "file:line: key: expected ..., found ...".
func (f Fault) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	fmt.Fprintf(&b, "expected %s", f.Expected)
	if f.Found != "" {
		fmt.Fprintf(&b, ", found %s", f.Found)
	}
	return b.String()
}

// Faults are all faults of one file, sorted by line. The error wraps ErrInvalid.
type Faults []Fault

// Error returns one fault per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrInvalid.
func (f Faults) Unwrap() error {
	return ErrInvalid
}
