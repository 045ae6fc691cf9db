// Package document decodes a settings file: TOML into a typed struct. All faults are
// reported together, each with its file, line, key and the expected value. The packages
// that use it define the keys.
package document

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Key describes one key of a settings file that is decoded into an S.
type Key[S any] struct {
	Path    string // such as "listen.data"
	Type    string // such as TypeAddress, for faults and the reference
	Default string // empty: the key is required, unless Optional
	Range   string // valid values, for faults and the reference
	Meaning string // description, for the reference
	// Optional means that the key may be absent and has no default.
	Optional bool
	// Set stores a raw TOML value in s and reports whether it has the key's type and range.
	Set func(s *S, raw any) bool
}

// Checker decodes one document into settings and collects its faults.
type Checker[S any] struct {
	Settings *S
	// Values is the decoded document by table; nil after a syntax error.
	Values map[string]any

	file          string
	referencePage string // page that lists the keys
	pos           *positions
	faults        Faults
}

// NewChecker returns a checker for file; referencePage is the page that lists its keys.
func NewChecker[S any](file, referencePage string) *Checker[S] {
	return &Checker[S]{Settings: new(S), file: file, referencePage: referencePage}
}

// Check decodes the document data. It adds a fault for each key that is not in known, and
// stores the values of the keys in set. It returns false after a syntax error; further
// checks make sense only if it returns true.
func (c *Checker[S]) Check(data []byte, known, set []Key[S]) bool {
	if err := toml.Unmarshal(data, &c.Values); err != nil {
		c.addSyntaxFault(err)
		return false
	}
	c.pos = findPositions(data)
	c.checkUnknown(known)
	for _, k := range set {
		c.checkKey(k)
	}
	return true
}

// Result returns the settings, or Faults sorted by line.
func (c *Checker[S]) Result() (*S, error) {
	if len(c.faults) == 0 {
		return c.Settings, nil
	}
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return nil, c.faults
}

// addSyntaxFault records that the document is not valid TOML. It is the only fault then,
// since the parser stops at the first syntax error.
func (c *Checker[S]) addSyntaxFault(err error) {
	line := 1
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ = decodeErr.Position()
	}
	c.faults = append(c.faults, Fault{File: c.file, Line: line, Expected: "TOML", Found: err.Error()})
}

// AddFault records a fault of a key; found is empty when the key is absent.
func (c *Checker[S]) AddFault(key, expected, found string) {
	c.faults = append(c.faults, Fault{
		File:     c.file,
		Line:     c.pos.line(key),
		Key:      key,
		Expected: expected,
		Found:    found,
	})
}

// checkUnknown adds a fault for each key of the document that is not in keys.
func (c *Checker[S]) checkUnknown(keys []Key[S]) {
	known := make(map[string]bool)
	for _, k := range keys {
		known[k.Path] = true
	}
	for _, path := range c.pos.keys {
		if !known[withoutIndex(path)] {
			c.AddFault(path, "a key of "+c.referencePage, "an unknown key")
		}
	}
}

// withoutIndex turns "seeds[3].name" into "seeds[].name".
func withoutIndex(path string) string {
	open := strings.IndexByte(path, '[')
	closing := strings.IndexByte(path, ']')
	if open < 0 || closing < open {
		return path
	}
	return path[:open+1] + path[closing:]
}

// checkKey stores the value of one key, or its default, and adds a fault if the value is
// invalid or a required key is missing.
func (c *Checker[S]) checkKey(k Key[S]) {
	raw, ok := c.Lookup(k.Path)
	if !ok && k.Optional {
		return
	}
	if !ok && k.Default == "" {
		c.AddFault(k.Path, k.Type+", "+k.Range, "")
		return
	}
	if !ok {
		raw = k.Default
	}
	if !k.Set(c.Settings, raw) {
		c.AddFault(k.Path, k.Type+", "+k.Range, FormatValue(raw))
	}
}

// Lookup returns the value at a path of the form "table.key".
func (c *Checker[S]) Lookup(path string) (any, bool) {
	table, key, _ := strings.Cut(path, ".")
	values, ok := c.Values[table].(map[string]any)
	if !ok {
		return nil, false
	}
	raw, ok := values[key]
	return raw, ok
}

// FormatValue formats a raw TOML value for Fault.Found.
func FormatValue(raw any) string {
	if text, ok := raw.(string); ok {
		return strconv.Quote(text)
	}
	return fmt.Sprintf("%v (%T)", raw, raw)
}

// CheckAllOrNone adds a fault for each key that is absent while another one is set.
func (c *Checker[S]) CheckAllOrNone(keys ...string) {
	var set string
	for _, key := range keys {
		if _, ok := c.Lookup(key); ok {
			set = key
		}
	}
	for _, key := range keys {
		if _, ok := c.Lookup(key); !ok && set != "" {
			c.AddFault(key, TypePath+", "+PathRange+", since "+set+" is set", "")
		}
	}
}
