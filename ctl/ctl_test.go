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

const example = `service,address,kind,urgency,share
live,192.0.2.1:7000,check-in,urgent,8

service,target,domain,address,health,weight,limit,state
live,t1,a,10.0.0.1:7300,10.0.0.1:7301,1,3,active
live,t2,b,10.0.0.2:7300,10.0.0.2:7301,2,3,active
`

// rig runs commands against a stand-in store that holds the example.
type rig struct {
	*is.I
	t      *testing.T
	engine *standin.Engine
	dir    string
	env    map[string]string
	input  string
}

func newRig(t *testing.T) *rig {
	r := &rig{I: is.New(t), t: t, dir: t.TempDir(), env: map[string]string{"USER": "ann"}}
	r.engine = standin.NewEngine(standin.Options{})
	r.write("table.csv", example)
	code, _, _ := r.run("table", "apply", r.path("table.csv"), "--yes")
	r.Equal(code, ExitOK)
	return r
}

func (r *rig) path(name string) string { return filepath.Join(r.dir, name) }

func (r *rig) write(name, text string) {
	r.NoErr(os.WriteFile(r.path(name), []byte(text), 0o600))
}

func (r *rig) run(args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	code = Run(r.t.Context(), append(args, "--store", "stand-in"), Environment{
		Stdin:     strings.NewReader(r.input),
		Stdout:    &out,
		Stderr:    &errOut,
		Getenv:    func(name string) string { return r.env[name] },
		OpenStore: func([]string) (store.Store, error) { return standin.NewClient(r.engine), nil },
	})
	return code, out.String(), errOut.String()
}

// edit exports the table and writes the file again with a replacement.
func (r *rig) edit(old, updated string) {
	r.t.Helper()
	code, _, _ := r.run("table", "export", "--file", r.path("edited.csv"))
	r.Equal(code, ExitOK)
	data, err := os.ReadFile(r.path("edited.csv"))
	r.NoErr(err)
	r.True(strings.Contains(string(data), old))
	r.write("edited.csv", strings.Replace(string(data), old, updated, 1))
}

// Guards against wrong exit codes and errors that leave an operator alone.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(r *rig)
		args    string // FILE stands for the edited file
		code    int
		stderr  string
	}{
		{"done", nil, "table apply FILE --yes", ExitOK, ""},
		{"unknown command", nil, "tables", ExitUsage, "--help"},
		{"missing argument", nil, "table apply", ExitUsage, "accepts 1 arg"},
		{"unknown flag", nil, "status --colour", ExitUsage, "unknown flag"},
		{"unknown output", nil, "audit --output csv", ExitUsage, "--output csv"},
		{"no file", nil, "table apply nothing.csv", ExitUsage, "nothing.csv"},
		{"bad settings", func(r *rig) { r.write("c.toml", "colour = 1"); r.env[configVariable] = r.path("c.toml") }, "audit", ExitUsage, "unknown setting"},
		{"no admin address", nil, "status", ExitUsage, "--admin"},
		{"no admin address to wait", nil, "table apply FILE --yes --wait", ExitUsage, "--admin"},
		{"bad time", nil, "audit --since soon", ExitUsage, "--since"},
		{"bad flow", nil, "explain 12 --vm 127.0.0.1:1", ExitUsage, "32 hexadecimal digits"},
		{"no VM", nil, "explain 00112233445566778899aabbccddeeff", ExitUsage, "--vm"},
		{"silent VM", nil, "explain 00112233445566778899aabbccddeeff --vm 127.0.0.1:1", ExitFailure, "Check that the VM runs"},
		{"silent VMs", nil, "status --admin 127.0.0.1:1", ExitFailure, "1 of 1 VMs did not answer"},
		{"invalid cell", func(r *rig) { r.edit("t2,b", "t2,") }, "table apply FILE --yes", ExitUsage, "line 8, column domain"},
		{"invalid value", nil, "table set live t1 weight heavy", ExitUsage, "service live, target t1, column weight"},
		{"no such row", nil, "table set live t9 weight 1", ExitUsage, "there is no such row"},
		{"conflict", func(r *rig) { _, _, _ = r.run("table", "set", "live", "t2", "weight", "9") }, "table apply FILE --yes", ExitConflict, `was "2", is now "9", you want "5"`},
		{"outage", func(r *rig) { r.engine.SetOutage(true) }, "table apply FILE --yes", ExitUncertain, "Nothing was changed."},
		{"old export", func(r *rig) {
			_, _, _ = r.run("table", "set", "live", "t1", "weight", "9")
			r.engine.Compact(r.engine.Revision())
		}, "table apply FILE --yes", ExitUsage, "--base"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.edit("7301,2,3", "7301,5,3")
			if c.prepare != nil {
				c.prepare(r)
			}
			code, _, stderr := r.run(strings.Fields(strings.ReplaceAll(c.args, "FILE", r.path("edited.csv")))...)
			r.Equal(code, c.code)
			r.True(strings.Contains(stderr, c.stderr))
		})
	}
}

// Guards against an uncertain change that is reported as failed.
func TestUncertainChange(t *testing.T) {
	is := is.New(t)
	err := &ops.PartialError{AppliedParts: 1, Err: &ops.UncertainError{ChangeID: "x", Err: ops.ErrUnavailable}}
	code, advice := classify(err)
	is.Equal(code, ExitUncertain)
	is.True(strings.Contains(advice, "audit --change"))
	is.True(!changedNothing(err) && !changedNothing(err.Err))
	r := newRig(t)
	r.engine.LoseAnswer(true)
	code, out, _ := r.run("table", "set", "live", "t1", "weight", "4")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "is stored at revision"))
}

// Guards against a change that is made without the difference and the question.
func TestApplyShowsAndAsks(t *testing.T) {
	r := newRig(t)
	r.edit("7301,2,3", "7301,5,3")
	before := r.engine.Revision()
	for _, args := range []string{"", "--dry-run --yes"} {
		r.input = "n\n"
		code, out, _ := r.run(append([]string{"table", "apply", r.path("edited.csv")}, strings.Fields(args)...)...)
		r.Equal(code, ExitOK)
		r.True(strings.Contains(out, "live     t2   weight  2    5"))
		r.Equal(r.engine.Revision(), before)
	}
	r.input = "y\n"
	code, out, _ := r.run("table", "apply", r.path("edited.csv"), "--output", "json")
	r.Equal(code, ExitOK)
	var result changeOutput
	r.NoErr(json.Unmarshal([]byte(out), &result))
	r.True(result.Applied)
	r.Equal(result.Revision, before+1)
	code, out, _ = r.run("table", "apply", r.path("edited.csv"))
	r.Equal(code, ExitOK)
	r.True(strings.Contains(out, "like this already"))
	code, out, _ = r.run("audit", "--change", result.ChangeID, "--since", "1h")
	r.Equal(code, ExitOK)
	r.True(strings.Contains(out, "ann"))
	r.Equal(strings.Count(out, "\n"), 2)
}

// Guards against settings in the file that are not used, and against lists of
// VMs that leave out a field.
func TestVMs(t *testing.T) {
	vm := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/status" {
			fmt.Fprint(w, `{"vm":"vm-7","domain":"a","table_revision":99}`)
			return
		}
		fmt.Fprintf(w, `{"flow":%q,"request":%q,"ranking":[{"target":"t1","score":1.5},{"target":"t2"}]}`,
			r.URL.Query().Get("flow"), r.URL.Query().Get("request"))
	}))
	defer vm.Close()
	r := newRig(t)
	r.write("gypsumctl.toml", fmt.Sprintf("operator = %q\nadmin = [%q]\n", "cy", vm.URL))
	config := []string{"--config", r.path("gypsumctl.toml")}
	code, out, _ := r.run(append(config, "table", "set", "live", "t1", "state", "draining", "--wait")...)
	r.Equal(code, ExitOK)
	r.True(strings.Contains(out, "in force in failure domain a"))
	_, out, _ = r.run("audit", "--who", "cy", "--output", "json")
	r.True(strings.Contains(out, `"draining"`))
	_, out, _ = r.run(append(config, "status")...)
	r.True(strings.Contains(out, "vm-7") && strings.Contains(out, "99"))
	_, out, _ = r.run("explain", "00112233445566778899AABBCCDDEEFF", "--vm", vm.URL)
	r.True(strings.Contains(out, "ranking[0].score   1.5\nranking[0].target  t1\n"))
	_, out, _ = r.run("explain", "00112233445566778899AABBCCDDEEFF", "--request", "42", "--vm", vm.URL)
	r.True(regexp.MustCompile(`request +42\n`).MatchString(out))
	_, out, _ = r.run("table", "export", "-o", "json")
	r.True(strings.Contains(out, `"state": "draining"`))
	code, out, _ = r.run("completion", "bash")
	r.Equal(code, ExitOK)
	r.True(strings.Contains(out, "gypsumctl"))
}

// Guards against an audit trail that names another operator than the certificate,
// and against certificate settings that are ignored.
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
			r := newRig(t)
			_, err := authority.CreateOperatorFiles(r.dir, "bob")
			r.NoErr(err)
			_, err = authority.CreateVMFiles(r.dir, certs.VM{Name: "vm", Domain: "north"})
			r.NoErr(err)
			text := c.settings + "\n"
			for key, file := range map[string]string{"ca": "ca.pem", "cert": "bob.pem", "key": "bob.key"} {
				if !strings.Contains("\n"+c.settings, "\n"+key+" =") {
					text += key + ` = "DIR/` + file + "\"\n"
				}
			}
			r.write("c.toml", strings.ReplaceAll(text, "DIR", r.dir))
			r.env[configVariable] = r.path("c.toml")
			code, _, stderr := r.run(strings.Fields("table set live t1 weight 9 --yes" + c.args)...)
			if code != c.code {
				t.Fatalf("exit code %d, want %d: %s", code, c.code, stderr)
			}
			_, out, _ := r.run("audit", "--who", "bob")
			r.Equal(strings.Contains(out, "weight"), c.code == ExitOK)
		})
	}
}
