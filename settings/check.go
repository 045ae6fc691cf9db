package settings

import (
	"net/netip"
	"strconv"

	"github.com/gypsumspan/gypsumspan/settings/document"
)

// page lists the keys.
const page = "docs/settings.md"

// checker turns one document into settings and collects its faults.
type checker struct {
	*document.Checker[Settings]
}

func parse(file string, data []byte) (*Settings, error) {
	c := checker{document.NewChecker[Settings](file, page)}
	if c.Check(data, Keys(), keys) {
		c.checkSeeds()
		c.checkAdvertised()
		c.checkDuplicates()
		c.CheckAllOrNone("tls.ca", "tls.cert", "tls.key")
		if c.Settings.Store.TLS.Cert != "" || c.Settings.Store.TLS.Key != "" {
			c.CheckAllOrNone("store.ca", "store.cert", "store.key")
		}
	}
	return c.Result()
}

// checkSeeds reads the [[seeds]] tables.
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
		c.checkRepeated(names, path+".name", seed.Name)
		c.Settings.Seeds = append(c.Settings.Seeds, seed)
	}
}

func (c checker) checkSeed(path string, values map[string]any) Seed {
	var seed Seed
	name, ok := values["name"].(string)
	if !ok || !document.IsName(name) {
		c.AddFault(path+".name", document.TypeString+", "+document.NameRange, showOptional(values, "name"))
	}
	addr, ok := document.ParseAddress(values["control"])
	if !ok || addr.Addr().IsUnspecified() {
		c.AddFault(path+".control", document.TypeAddress+", "+document.AdvertisedRange, showOptional(values, "control"))
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
	return document.FormatValue(raw)
}

// checkRepeated reports a name that another seed has.
func (c checker) checkRepeated(seen map[string]string, path, name string) {
	if first, ok := seen[name]; ok && name != "" {
		c.AddFault(path, "a name that "+first+" does not have", strconv.Quote(name))
		return
	}
	seen[name] = path
}

// checkAdvertised completes the advertised addresses.
func (c checker) checkAdvertised() {
	c.complete("advertise.data", &c.Settings.Advertise.Data, c.Settings.Listen.Data)
	c.complete("advertise.control", &c.Settings.Advertise.Control, c.Settings.Listen.Control)
}

func (c checker) complete(key string, advertised *netip.AddrPort, listen netip.AddrPort) {
	if _, ok := c.Lookup(key); ok {
		return
	}
	if listen.IsValid() && listen.Addr().IsUnspecified() {
		c.AddFault(key, document.TypeAddress+", "+document.AdvertisedRange+", since the VM listens on all addresses", "")
		return
	}
	*advertised = listen
}

// checkDuplicates reports listen addresses that overlap.
func (c checker) checkDuplicates() {
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
