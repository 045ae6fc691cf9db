package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/certs"
	"github.com/gypsumspan/gypsumspan/ops"
	"github.com/gypsumspan/gypsumspan/standin/ca"
	standin "github.com/gypsumspan/gypsumspan/standin/store"
	"github.com/gypsumspan/gypsumspan/store"
)

const exampleCSV = `service,address,kind,urgency,share
live,192.0.2.1:7000,check-in,urgent,8

service,target,domain,address,health,weight,limit,state
live,t1,a,10.0.0.1:7300,10.0.0.1:7301,1,3,active
live,t2,b,10.0.0.2:7300,10.0.0.2:7301,2,3,active
`

// fixture runs commands against a stand-in store that holds the table of exampleCSV.
type fixture struct {
	*is.I
	t      *testing.T
	engine *standin.Engine
	dir    string
	env    map[string]string
	stdin  string
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{I: is.New(t), t: t, dir: t.TempDir(), env: map[string]string{"USER": "ann"}}
	f.engine = standin.NewEngine(standin.Options{})
	f.writeFile("table.csv", exampleCSV)
	code, _, _ := f.run("table", "apply", f.path("table.csv"), "--yes")
	f.Equal(code, ExitOK)
	return f
}

func (f *fixture) path(name string) string { return filepath.Join(f.dir, name) }

func (f *fixture) writeFile(name, text string) {
	f.NoErr(os.WriteFile(f.path(name), []byte(text), 0o600))
}

func (f *fixture) run(args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	code = Run(f.t.Context(), append(args, "--store", "stand-in"), Environment{
		Stdin:     strings.NewReader(f.stdin),
		Stdout:    &out,
		Stderr:    &errOut,
		Getenv:    func(name string) string { return f.env[name] },
		OpenStore: func([]string) (store.Store, error) { return standin.NewClient(f.engine), nil },
	})
	return code, out.String(), errOut.String()
}

// exportAndEdit exports the table to edited.csv and replaces a text in the file.
func (f *fixture) exportAndEdit(old, updated string) {
	f.t.Helper()
	code, _, _ := f.run("table", "export", "--file", f.path("edited.csv"))
	f.Equal(code, ExitOK)
	data, err := os.ReadFile(f.path("edited.csv"))
	f.NoErr(err)
	f.True(strings.Contains(string(data), old))
	f.writeFile("edited.csv", strings.Replace(string(data), old, updated, 1))
}

// Guards against wrong exit codes and error messages that do not name the cause or the
// remedy.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *fixture)
		args    string // FILE is replaced by the path of the edited file
		code    int
		stderr  string // a part of the error output
	}{
		{"done", nil, "table apply FILE --yes", ExitOK, ""},
		{"unknown command", nil, "tables", ExitUsage, "--help"},
		{"missing argument", nil, "table apply", ExitUsage, "accepts 1 arg"},
		{"unknown flag", nil, "status --colour", ExitUsage, "unknown flag"},
		{"unknown output", nil, "audit --output csv", ExitUsage, "--output csv"},
		{"no file", nil, "table apply nothing.csv", ExitUsage, "nothing.csv"},
		{"bad settings", func(f *fixture) { f.writeFile("c.toml", "colour = 1"); f.env[configPathVariable] = f.path("c.toml") }, "audit", ExitUsage, "unknown setting"},
		{"no admin address", nil, "status", ExitUsage, "--admin"},
		{"wait without admin address", nil, "table apply FILE --yes --wait", ExitUsage, "--admin"},
		{"bad time", nil, "audit --since soon", ExitUsage, "--since"},
		{"bad flow", nil, "explain 12 --vm 127.0.0.1:1", ExitUsage, "32 hexadecimal digits"},
		{"no VM", nil, "explain 00112233445566778899aabbccddeeff", ExitUsage, "--vm"},
		{"unreachable VM", nil, "explain 00112233445566778899aabbccddeeff --vm 127.0.0.1:1", ExitFailure, "Check that the VM runs"},
		{"unreachable VMs", nil, "status --admin 127.0.0.1:1", ExitFailure, "1 of 1 VMs did not answer"},
		{"invalid cell", func(f *fixture) { f.exportAndEdit("t2,b", "t2,") }, "table apply FILE --yes", ExitUsage, "line 8, column domain"},
		{"invalid value", nil, "table set live t1 weight heavy", ExitUsage, "service live, target t1, column weight"},
		{"no such row", nil, "table set live t9 weight 1", ExitUsage, "there is no such row"},
		{"conflict", func(f *fixture) { _, _, _ = f.run("table", "set", "live", "t2", "weight", "9") }, "table apply FILE --yes", ExitConflict, `was "2", is now "9", you want "5"`},
		{"outage", func(f *fixture) { f.engine.SetOutage(true) }, "table apply FILE --yes", ExitUncertain, "Nothing was changed."},
		{"compacted revision of the export", func(f *fixture) {
			_, _, _ = f.run("table", "set", "live", "t1", "weight", "9")
			f.engine.Compact(f.engine.Revision())
		}, "table apply FILE --yes", ExitUsage, "--base"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.exportAndEdit("7301,2,3", "7301,5,3")
			if c.prepare != nil {
				c.prepare(f)
			}
			code, _, stderr := f.run(strings.Fields(strings.ReplaceAll(c.args, "FILE", f.path("edited.csv")))...)
			f.Equal(code, c.code)
			f.True(strings.Contains(stderr, c.stderr))
		})
	}
}

// Guards against a change with an unknown result that is reported as failed, and against
// one that fails although the lost response could be recovered.
func TestUncertainChange(t *testing.T) {
	is := is.New(t)
	err := &ops.PartialError{AppliedParts: 1, Err: &ops.UncertainError{ChangeID: "x", Err: ops.ErrUnavailable}}
	code, advice := classify(err)
	is.Equal(code, ExitUncertain)
	is.True(strings.Contains(advice, "audit --change"))
	is.True(!changedNothing(err) && !changedNothing(err.Err))
	f := newFixture(t)
	f.engine.LoseAnswer(true)
	code, out, _ := f.run("table", "set", "live", "t1", "weight", "4")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "is stored at revision"))
}

// Guards against a change that is applied without showing the difference and asking for
// confirmation.
func TestApplyShowsAndAsks(t *testing.T) {
	f := newFixture(t)
	f.exportAndEdit("7301,2,3", "7301,5,3")
	before := f.engine.Revision()
	for _, args := range []string{"", "--dry-run --yes"} {
		f.stdin = "n\n"
		code, out, _ := f.run(append([]string{"table", "apply", f.path("edited.csv")}, strings.Fields(args)...)...)
		f.Equal(code, ExitOK)
		f.True(strings.Contains(out, "live     t2   weight  2    5"))
		f.Equal(f.engine.Revision(), before)
	}
	f.stdin = "y\n"
	code, out, _ := f.run("table", "apply", f.path("edited.csv"), "--output", "json")
	f.Equal(code, ExitOK)
	var result changeOutput
	f.NoErr(json.Unmarshal([]byte(out), &result))
	f.True(result.Applied)
	f.Equal(result.Revision, before+1)
	code, out, _ = f.run("table", "apply", f.path("edited.csv"))
	f.Equal(code, ExitOK)
	f.True(strings.Contains(out, "like this already"))
	code, out, _ = f.run("audit", "--change", result.ChangeID, "--since", "1h")
	f.Equal(code, ExitOK)
	f.True(strings.Contains(out, "ann"))
	f.Equal(strings.Count(out, "\n"), 2)
}

// Guards against settings in the file that are ignored, and against fields that are
// missing from the output of commands that query VMs.
func TestVMs(t *testing.T) {
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/v1/status" {
			fmt.Fprint(w, `{"vm":"vm-7","domain":"a","table_revision":99}`)
			return
		}
		fmt.Fprintf(w, `{"flow":%q,"request":%q,"ranking":[{"target":"t1","score":1.5},{"target":"t2"}]}`,
			request.URL.Query().Get("flow"), request.URL.Query().Get("request"))
	}))
	defer vm.Close()
	f := newFixture(t)
	f.writeFile("gypsumctl.toml", fmt.Sprintf("operator = %q\nadmin = [%q]\n", "cy", vm.URL))
	config := []string{"--config", f.path("gypsumctl.toml")}
	code, out, _ := f.run(append(config, "table", "set", "live", "t1", "state", "draining", "--wait")...)
	f.Equal(code, ExitOK)
	f.True(strings.Contains(out, "in force in failure domain a"))
	_, out, _ = f.run("audit", "--who", "cy", "--output", "json")
	f.True(strings.Contains(out, `"draining"`))
	_, out, _ = f.run(append(config, "status")...)
	f.True(strings.Contains(out, "vm-7") && strings.Contains(out, "99"))
	_, out, _ = f.run("explain", "00112233445566778899AABBCCDDEEFF", "--vm", vm.URL)
	f.True(strings.Contains(out, "ranking[0].score   1.5\nranking[0].target  t1\n"))
	_, out, _ = f.run("explain", "00112233445566778899AABBCCDDEEFF", "--request", "42", "--vm", vm.URL)
	f.True(regexp.MustCompile(`request +42\n`).MatchString(out))
	_, out, _ = f.run("table", "export", "-o", "json")
	f.True(strings.Contains(out, `"state": "draining"`))
	code, out, _ = f.run("completion", "bash")
	f.Equal(code, ExitOK)
	f.True(strings.Contains(out, "gypsumctl"))
}

// Guards against an audit record that names an operator other than the one in the
// certificate, and against certificate settings that are ignored.
func TestOperatorOfCertificate(t *testing.T) {
	authority, err := ca.New(ca.ValidFor(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name, settings, args string
		code                 int
	}{
		{"certificate", "", "", ExitOK},
		{"same name", `operator = "bob"`, "", ExitOK},
		{"another name in the file", `operator = "ann"`, "", ExitUsage},
		{"another name in a flag", "", " --operator ann", ExitUsage},
		{"certificate of a VM", `cert = "DIR/vm.pem"` + "\n" + `key = "DIR/vm.key"`, "", ExitUsage},
		{"no key", `key = ""`, "", ExitUsage},
		{"no such file", `ca = "DIR/none.pem"`, "", ExitUsage},
		{"no such CA of the store", `store_ca = "DIR/none.pem"`, "", ExitUsage},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			_, err := authority.CreateOperatorFiles(f.dir, "bob")
			f.NoErr(err)
			_, err = authority.CreateVMFiles(f.dir, certs.VM{Name: "vm", Domain: "north"})
			f.NoErr(err)
			text := c.settings + "\n"
			for key, file := range map[string]string{"ca": "ca.pem", "cert": "bob.pem", "key": "bob.key"} {
				if !strings.Contains("\n"+c.settings, "\n"+key+" =") {
					text += key + ` = "DIR/` + file + "\"\n"
				}
			}
			f.writeFile("c.toml", strings.ReplaceAll(text, "DIR", f.dir))
			f.env[configPathVariable] = f.path("c.toml")
			code, _, stderr := f.run(strings.Fields("table set live t1 weight 9 --yes" + c.args)...)
			if code != c.code {
				t.Fatalf("exit code %d, want %d: %s", code, c.code, stderr)
			}
			_, out, _ := f.run("audit", "--who", "bob")
			f.Equal(strings.Contains(out, "weight"), c.code == ExitOK)
		})
	}
}
