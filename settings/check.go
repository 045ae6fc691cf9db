package settings

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// checker turns one document into settings and collects its faults.
type checker struct {
	file     string
	settings *Settings
	doc      map[string]any
	pos      *positions
	faults   Faults
}

func (c *checker) run(data []byte) {
	if err := toml.Unmarshal(data, &c.doc); err != nil {
		c.addSyntax(err)
		return
	}
	c.pos = findPositions(data)
	c.checkUnknown()
	for _, k := range keys {
		c.checkKey(k)
	}
	c.checkSeeds()
	c.checkAdvertised()
	c.checkDuplicates()
	c.checkTogether("tls.ca", "tls.cert", "tls.key")
	if c.settings.Store.TLS.Cert != "" || c.settings.Store.TLS.Key != "" {
		c.checkTogether("store.ca", "store.cert", "store.key")
	}
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
}

// addSyntax reports a document that is not TOML. There is no further checking,
// since the parser stops at the first syntax error.
func (c *checker) addSyntax(err error) {
	line := 1
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ = decodeErr.Position()
	}
	c.faults = append(c.faults, Fault{File: c.file, Line: line, Expected: "TOML", Found: err.Error()})
}

func (c *checker) add(key, expected, found string) {
	c.faults = append(c.faults, Fault{
		File:     c.file,
		Line:     c.pos.line(key),
		Key:      key,
		Expected: expected,
		Found:    found,
	})
}

// checkUnknown reports keys that the reference does not list.
func (c *checker) checkUnknown() {
	known := make(map[string]bool)
	for _, k := range Keys() {
		known[k.Path] = true
	}
	for _, path := range c.pos.keys {
		if !known[withoutIndex(path)] {
			c.add(path, "a key of docs/settings.md", "an unknown key")
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
func (c *checker) checkKey(k Key) {
	raw, ok := c.find(k.Path)
	if !ok && k.Optional {
		return
	}
	if !ok && k.Default == "" {
		c.add(k.Path, k.Type+", "+k.Range, "")
		return
	}
	if !ok {
		raw = k.Default
	}
	if !k.set(c.settings, raw) {
		c.add(k.Path, k.Type+", "+k.Range, show(raw))
	}
}

// find returns the value at a path of the form "table.key".
func (c *checker) find(path string) (any, bool) {
	table, key, _ := strings.Cut(path, ".")
	values, ok := c.doc[table].(map[string]any)
	if !ok {
		return nil, false
	}
	raw, ok := values[key]
	return raw, ok
}

func show(raw any) string {
	if text, ok := raw.(string); ok {
		return strconv.Quote(text)
	}
	return fmt.Sprintf("%v (%T)", raw, raw)
}

// checkSeeds reads the [[seeds]] tables.
func (c *checker) checkSeeds() {
	raw, ok := c.doc["seeds"]
	if !ok {
		return
	}
	list, ok := raw.([]any)
	if !ok {
		c.add("seeds", "[[seeds]] tables", show(raw))
		return
	}
	names := make(map[string]string)
	for i, item := range list {
		path := "seeds[" + strconv.Itoa(i) + "]"
		values, ok := item.(map[string]any)
		if !ok {
			c.add("seeds", "[[seeds]] tables", show(item))
			continue
		}
		seed := c.checkSeed(path, values)
		c.checkRepeated(names, path+".name", seed.Name)
		c.settings.Seeds = append(c.settings.Seeds, seed)
	}
}

func (c *checker) checkSeed(path string, values map[string]any) Seed {
	var seed Seed
	name, ok := values["name"].(string)
	if !ok || !nameForm.MatchString(name) {
		c.add(path+".name", typeString+", "+nameRange, showOptional(values, "name"))
	}
	addr, ok := parseAddress(values["control"])
	if !ok || addr.Addr().IsUnspecified() {
		c.add(path+".control", typeAddress+", "+advertisedRange, showOptional(values, "control"))
	}
	seed.Name = name
	seed.Control = addr
	return seed
}

func showOptional(values map[string]any, key string) string {
	raw, ok := values[key]
	if !ok {
		return ""
	}
	return show(raw)
}

// checkRepeated reports a name that another seed has.
func (c *checker) checkRepeated(seen map[string]string, path, name string) {
	if first, ok := seen[name]; ok && name != "" {
		c.add(path, "a name that "+first+" does not have", strconv.Quote(name))
		return
	}
	seen[name] = path
}

// checkAdvertised completes the advertised addresses.
func (c *checker) checkAdvertised() {
	c.complete("advertise.data", &c.settings.Advertise.Data, c.settings.Listen.Data)
	c.complete("advertise.control", &c.settings.Advertise.Control, c.settings.Listen.Control)
}

func (c *checker) complete(key string, advertised *netip.AddrPort, listen netip.AddrPort) {
	if _, ok := c.find(key); ok {
		return
	}
	if listen.IsValid() && listen.Addr().IsUnspecified() {
		c.add(key, typeAddress+", "+advertisedRange+", since the VM listens on all addresses", "")
		return
	}
	*advertised = listen
}

// checkTogether reports keys that are absent while another of them is set.
func (c *checker) checkTogether(keys ...string) {
	var set string
	for _, key := range keys {
		if _, ok := c.find(key); ok {
			set = key
		}
	}
	for _, key := range keys {
		if _, ok := c.find(key); !ok && set != "" {
			c.add(key, typePath+", "+pathRange+", since "+set+" is set", "")
		}
	}
}

// checkDuplicates reports listen addresses that overlap.
func (c *checker) checkDuplicates() {
	l := c.settings.Listen
	list := []struct {
		key  string
		addr netip.AddrPort
	}{
		{"listen.callers", l.Callers}, {"listen.data", l.Data}, {"listen.control", l.Control}, {"listen.admin", l.Admin},
	}
	for i, a := range list {
		for _, b := range list[:i] {
			if overlap(a.addr, b.addr) {
				c.add(a.key, "an address that "+b.key+" does not use", strconv.Quote(a.addr.String()))
				break
			}
		}
	}
}

// overlap reports whether two sockets can't listen on a and b together.
func overlap(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}
