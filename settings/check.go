package settings

import (
	"net/netip"
	"strconv"

	"github.com/gypsumspan/gypsumspan/settings/document"
)

// referencePage is the page that lists the keys.
const referencePage = "docs/settings.md"

// checker decodes one document into settings and collects its faults.
type checker struct {
	*document.Checker[Settings]
}

func parse(file string, data []byte) (*Settings, error) {
	c := checker{document.NewChecker[Settings](file, referencePage)}
	if c.Check(data, Keys(), keys) {
		c.checkSeeds()
		c.setAdvertised()
		c.checkOverlaps()
		c.CheckAllOrNone("tls.ca", "tls.cert", "tls.key")
		if c.Settings.Store.TLS.Cert != "" || c.Settings.Store.TLS.Key != "" {
			c.CheckAllOrNone("store.ca", "store.cert", "store.key")
		}
	}
	return c.Result()
}

// checkSeeds decodes and checks the [[seeds]] tables.
func (c checker) checkSeeds() {
	raw, ok := c.Values["seeds"]
	if !ok {
		return
	}
	list, ok := raw.([]any)
	if !ok {
		c.AddFault("seeds", "[[seeds]] tables", document.FormatValue(raw))
		return
	}
	names := make(map[string]string)
	for i, item := range list {
		path := "seeds[" + strconv.Itoa(i) + "]"
		values, ok := item.(map[string]any)
		if !ok {
			c.AddFault("seeds", "[[seeds]] tables", document.FormatValue(item))
			continue
		}
		seed := c.checkSeed(path, values)
		c.checkUniqueName(names, path+".name", seed.Name)
		c.Settings.Seeds = append(c.Settings.Seeds, seed)
	}
}

func (c checker) checkSeed(path string, values map[string]any) Seed {
	var seed Seed
	name, ok := values["name"].(string)
	if !ok || !document.IsName(name) {
		c.AddFault(path+".name", document.TypeString+", "+document.NameRange, formatOptional(values, "name"))
	}
	addr, ok := document.ParseAddress(values["control"])
	if !ok || addr.Addr().IsUnspecified() {
		c.AddFault(path+".control", document.TypeAddress+", "+document.AdvertisedRange, formatOptional(values, "control"))
	}
	seed.Name = name
	seed.Control = addr
	return seed
}

// formatOptional formats the value of key, or returns "" if it is absent.
func formatOptional(values map[string]any, key string) string {
	raw, ok := values[key]
	if !ok {
		return ""
	}
	return document.FormatValue(raw)
}

// checkUniqueName adds a fault if an earlier seed has the same name. seen maps names to
// the paths of their keys.
func (c checker) checkUniqueName(seen map[string]string, path, name string) {
	if first, ok := seen[name]; ok && name != "" {
		c.AddFault(path, "a name that "+first+" does not have", strconv.Quote(name))
		return
	}
	seen[name] = path
}

// setAdvertised sets the advertised addresses that the document does not have to the
// listen addresses.
func (c checker) setAdvertised() {
	c.setAdvertisedDefault("advertise.data", &c.Settings.Advertise.Data, c.Settings.Listen.Data)
	c.setAdvertisedDefault("advertise.control", &c.Settings.Advertise.Control, c.Settings.Listen.Control)
}

// setAdvertisedDefault sets an advertised address to the listen address if the document does
// not have key. If the VM listens on all addresses there is no default, which is a fault.
func (c checker) setAdvertisedDefault(key string, advertised *netip.AddrPort, listen netip.AddrPort) {
	if _, ok := c.Lookup(key); ok {
		return
	}
	if listen.IsValid() && listen.Addr().IsUnspecified() {
		c.AddFault(key, document.TypeAddress+", "+document.AdvertisedRange+", since the VM listens on all addresses", "")
		return
	}
	*advertised = listen
}

// checkOverlaps adds a fault for each listen address that overlaps an earlier one.
func (c checker) checkOverlaps() {
	l := c.Settings.Listen
	list := []struct {
		key  string
		addr netip.AddrPort
	}{
		{"listen.callers", l.Callers}, {"listen.data", l.Data}, {"listen.control", l.Control}, {"listen.admin", l.Admin},
	}
	for i, a := range list {
		for _, b := range list[:i] {
			if document.Overlap(a.addr, b.addr) {
				c.AddFault(a.key, "an address that "+b.key+" does not use", strconv.Quote(a.addr.String()))
				break
			}
		}
	}
}
