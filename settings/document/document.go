// Package document checks a settings file: TOML into a typed struct. All faults
// are reported together, each with file, line, key and what is expected. The
// keys themselves belong to the packages that use it.
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

// Key describes one key of a settings file of type S.
type Key[S any] struct {
	Path    string // such as "listen.data"
	Type    string
	Default string // empty: the key is required, unless Optional
	Range   string
	Meaning string
	// Optional keys may be absent and have no default.
	Optional bool
	// Set stores a raw TOML value and reports whether it is in the key's range.
	Set func(s *S, raw any) bool
}

// Checker turns one document into settings and collects its faults.
type Checker[S any] struct {
	Settings *S
	// Values are the tables of the document, nil after a syntax error.
	Values map[string]any

	file   string
	page   string // that lists the keys
	pos    *positions
	faults Faults
}

// NewChecker returns a checker for file; page is the page that lists its keys.
func NewChecker[S any](file, page string) *Checker[S] {
	return &Checker[S]{Settings: new(S), file: file, page: page}
}

// Check reads the document: known are the keys that it may have, set those that
// Check stores. It reports whether the document could be read; further checks
// make sense only then.
func (c *Checker[S]) Check(data []byte, known, set []Key[S]) bool {
	if err := toml.Unmarshal(data, &c.Values); err != nil {
		c.addSyntax(err)
		return false
	}
	c.pos = findPositions(data)
	c.checkUnknown(known)
	for _, k := range set {
		c.checkKey(k)
	}
	return true
}

// Result returns the settings, or Faults by line.
func (c *Checker[S]) Result() (*S, error) {
	if len(c.faults) == 0 {
		return c.Settings, nil
	}
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return nil, c.faults
}

// addSyntax reports a document that is not TOML. There is no further checking,
// since the parser stops at the first syntax error.
func (c *Checker[S]) addSyntax(err error) {
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

// checkUnknown reports keys that the reference does not list.
func (c *Checker[S]) checkUnknown(keys []Key[S]) {
	known := make(map[string]bool)
	for _, k := range keys {
		known[k.Path] = true
	}
	for _, path := range c.pos.keys {
		if !known[withoutIndex(path)] {
			c.AddFault(path, "a key of "+c.page, "an unknown key")
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

// checkKey sets one key from the document or from its default.
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

// CheckAllOrNone reports the keys that are absent while another of them is set.
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
