package settings

import (
	"errors"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/events"
)

// referenceRow returns the table row of a key in docs/settings.md.
func referenceRow(k Key) string {
	def := "required"
	if k.Optional {
		def = "none"
	}
	if k.Default != "" {
		def = "`" + k.Default + "`"
	}
	return "| `" + k.Path + "` | " + k.Type + " | " + def + " | " + k.Range + " | " + k.Meaning + " |"
}

// Guards against a reference page that lacks a key, or lists one that does not exist.
func TestReferenceListsEveryKey(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/settings.md")
	is.NoErr(err)
	var documented, declared []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `") {
			documented = append(documented, strings.TrimSpace(line))
		}
	}
	for _, k := range Keys() {
		declared = append(declared, referenceRow(k))
	}
	is.Equal(strings.Join(documented, "\n"), strings.Join(declared, "\n"))
	is.True(strings.Contains(string(page), Example()))
}

// Guards against an example with faults, and wrong defaults.
func TestExampleIsValid(t *testing.T) {
	is := is.New(t)
	s, err := Parse("f", []byte(Example()))
	is.NoErr(err)
	is.Equal(s.VM, VM{Name: "vm-1", Domain: "north"})
	is.Equal(s.Advertise.Control, netip.MustParseAddrPort("127.0.0.1:7400"))
	is.Equal(s.Log, Log{Format: events.Text, Level: events.Info})
	is.Equal(s.Timings.HealthTimeout, 500*time.Millisecond)
	uncommented := strings.NewReplacer("# [", "[", "# data", "data", "# control", "control",
		"# url", "url", "# name", "name", "# ca", "ca", "# cert", "cert", "# key", "key").Replace(Example())
	uncommented = strings.Replace(uncommented, "[advertise] is needed", "# is needed", 1)
	uncommented = strings.Replace(uncommented, "[tls] authenticates", "# authenticates", 1)
	s, err = Parse("f", []byte(uncommented))
	is.NoErr(err)
	is.Equal(s.Seeds, []Seed{{Name: "vm-2", Control: netip.MustParseAddrPort("127.0.0.2:7400")}})
	is.Equal(s.Advertise.Data, netip.MustParseAddrPort("192.0.2.1:7200"))
	is.Equal(s.VMList.URL, "http://127.0.0.1:7900/vms")
	is.Equal(s.TLS, TLS{CA: "/etc/gypsumspan/ca.pem", Cert: "/etc/gypsumspan/vm-1.pem", Key: "/etc/gypsumspan/vm-1.key"})
}

// Guards against faults that are not reported, or with the wrong line or key.
func TestFaults(t *testing.T) {
	cases := []struct {
		name, old, new string
		line           int
		key            string
	}{
		{"unknown key", `domain = "north"`, "domain = \"north\"\ncolour = 1", 6, "vm.colour"},
		{"unknown table", "[log]", "[paint]\nred = 1\n[log]", 35, "paint.red"},
		{"top-level key", "[vm]", "name = \"x\"\n[vm]", 3, "name"},
		{"missing key", `name = "vm-1"`, "", 3, "vm.name"},
		{"missing table", "[store]\nendpoints = [\"http://127.0.0.1:2379\"]", "", 1, "store.endpoints"},
		{"name with space", `"vm-1"`, `"vm 1"`, 4, "vm.name"},
		{"name of wrong type", `"vm-1"`, `17`, 4, "vm.name"},
		{"address without port", `"127.0.0.1:7100"`, `"127.0.0.1"`, 8, "listen.callers"},
		{"address with a host name", `"127.0.0.1:7100"`, `"localhost:7100"`, 8, "listen.callers"},
		{"port 0", `"127.0.0.1:7200"`, `"127.0.0.1:0"`, 9, "listen.data"},
		{"duplicate address", "127.0.0.1:7500", "127.0.0.1:7400", 11, "listen.admin"},
		{"overlap with all addresses", "127.0.0.1:7500", "0.0.0.0:7400", 11, "listen.admin"},
		{"nothing to advertise", "127.0.0.1:7200", "0.0.0.0:7200", 1, "advertise.data"},
		{"advertised unspecified", "[store]", "[advertise]\ndata = \"0.0.0.0:1\"\n[store]", 19, "advertise.data"},
		{"outgoing address with a port", "[store]", "[outgoing]\naddress = \"127.0.0.1:1\"\n[store]", 19, "outgoing.address"},
		{"outgoing unspecified", "[store]", "[outgoing]\naddress = \"::\"\n[store]", 19, "outgoing.address"},
		{"no endpoints", `["http://127.0.0.1:2379"]`, `[]`, 19, "store.endpoints"},
		{"endpoint without scheme", `"http://127.0.0.1:2379"`, `"127.0.0.1:2379"`, 19, "store.endpoints"},
		{"certificate without CA", "[log]", "[tls]\ncert = \"c\"\nkey = \"k\"\n[log]", 34, "tls.ca"},
		{"store key without certificate", "# [vm_list]", "ca = \"a\"\nkey = \"k\"\n# [vm_list]", 18, "store.cert"},
		{"empty key file", "[log]", "[datagrams]\nkeys = \"\"\n[log]", 35, "datagrams.keys"},
		{"empty path", "[log]", "[tls]\nca = \"\"\ncert = \"c\"\nkey = \"k\"\n[log]", 35, "tls.ca"},
		{"log level", `level = "info"`, `level = "loud"`, 36, "log.level"},
		{"log format", `format = "text"`, `format = "xml"`, 35, "log.format"},
		{"duration above range", `"30s"`, `"30h"`, 39, "timings.stop_grace"},
		{"duration without unit", `"30s"`, `30`, 39, "timings.stop_grace"},
		{"seed without control", "[log]", "[[seeds]]\nname = \"a\"\n[log]", 34, "seeds[0].control"},
		{"seed repeated", "[log]", strings.Repeat("[[seeds]]\nname = \"a\"\ncontrol = \"127.0.0.1:1\"\n", 2) + "[log]", 38, "seeds[1].name"},
		{"seeds of wrong type", "# Settings", "seeds = 3\n# Settings", 1, "seeds"},
		{"inline table", "[log]", "[x]\ny = { z = 1 }\n[log]", 35, "x.y.z"},
		{"syntax", `name = "vm-1"`, `name = `, 4, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(Example(), c.old, c.new, 1)
			is.True(text != Example())
			_, err := Parse("f.toml", []byte(text))
			var faults Faults
			is.True(errors.As(err, &faults))
			is.True(errors.Is(err, ErrInvalid))
			found := false
			for _, f := range faults {
				found = found || f.Key == c.key && f.Line == c.line && f.File == "f.toml" && f.Expected != ""
			}
			if !found {
				t.Fatalf("no fault at line %d, key %q in:\n%v", c.line, c.key, err)
			}
		})
	}
}

// Guards against a check that stops at the first fault.
func TestAllFaultsAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := Parse("f", nil)
	var faults Faults
	is.True(errors.As(err, &faults))
	is.Equal(len(faults), 7) // all required keys
	_, err = Load("does-not-exist.toml")
	is.True(errors.Is(err, ErrFile))
}

// Guards against files that make Parse panic instead of returning Faults.
func FuzzParse(f *testing.F) {
	f.Add(Example())
	f.Add("vm = 3\nseeds = [{ name = \"a\" }, 4]\n[[listen]]\ncallers = [[1]]\n[log]\n\"a.b\".c = { d = {} }\n")
	f.Add("[[seeds]]\n[seeds.x]\ny = 1979-05-27T07:32:00Z\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("f", []byte(text))
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v and error %v", s, err)
		}
	})
}
