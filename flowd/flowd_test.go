package flowd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/daemoncmd"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/settings/flowsettings"
	"github.com/gypsumspan/gypsumspan/standin/flowends"
	"github.com/gypsumspan/gypsumspan/standin/kvstore"
	standin "github.com/gypsumspan/gypsumspan/standin/store"
	"github.com/gypsumspan/gypsumspan/store"
)

// testTimeout bounds the wait for a state. It is far above the time needed on a busy machine.
const testTimeout = 30 * time.Second

// fleet is a set of VMs and their platform on loopback addresses.
type fleet struct {
	*is.I
	t      *testing.T
	engine *standin.Engine
	store  netip.AddrPort
	port   uint16 // for packets, at every VM and caller
}

// vm is one running VM.
type vm struct {
	settings *flowsettings.Settings
	file     string
	signals  chan os.Signal
	ended    chan error
	log      *events.Recorder
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{I: is.New(t), t: t, engine: standin.NewEngine(standin.Options{})}
	server := httptest.NewServer(kvstore.Handler(f.engine))
	t.Cleanup(server.CloseClientConnections)
	t.Cleanup(server.Close)
	f.store = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	f.port = freePort(t)
	return f
}

// vmIP returns the address of a VM.
func vmIP(number int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 1, byte(number)}) }

// callerIP is the address of the callers.
var callerIP = netip.MustParseAddr("127.0.2.1")

// maxVMs is the largest number of a VM in these tests.
const maxVMs = 4

// freePort returns a UDP port that is free at the callers' address and, together with
// the next one, at every VM.
func freePort(t *testing.T) uint16 {
	for {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(callerIP, 0)))
		if err != nil {
			t.Fatal(err)
		}
		port := conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
		free := port < 65535
		for number := 1; number <= maxVMs && free; number++ {
			free = isFree(vmIP(number), port) && isFree(vmIP(number), port+1)
		}
		conn.Close()
		if free {
			return port
		}
	}
}

func isFree(ip netip.Addr, port uint16) bool {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, port)))
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

// put writes a key to the store, as operators and targets do.
func (f *fleet) put(p store.Put) {
	_, err := f.engine.Txn(store.Txn{Puts: []store.Put{p}})
	f.NoErr(err)
}

func (f *fleet) configure(version int, ports ...uint16) {
	c := kvstore.Configuration{Version: version, Services: []string{"s"}, IdleTimeout: 15 * time.Second}
	for _, port := range ports {
		c.Routes = append(c.Routes, kvstore.Route{
			Name: fmt.Sprintf("r%d", port), Address: netip.AddrPortFrom(route.Addr(), port), Service: "s",
		})
	}
	f.put(c.Put())
}

func (f *fleet) startTarget(number int, domain string) *flowends.Target {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 3, byte(number)}), 0)
	target, err := flowends.NewTarget(fmt.Sprintf("i-%x", number), uint64(number), addr, f.port)
	f.NoErr(err)
	f.t.Cleanup(target.Close)
	f.putTarget(target, domain, false)
	return target
}

func (f *fleet) putTarget(target *flowends.Target, domain string, draining bool) {
	f.put(kvstore.Target{
		ID: target.Name, Service: "s", Address: target.Address(), Domain: domain, Slots: 3, Draining: draining,
	}.Put())
}

func (f *fleet) startVM(number int, domain string) *vm {
	addrPort := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(vmIP(number), port) }
	readiness, err := net.Listen("tcp4", addrPort(0).String())
	f.NoErr(err)
	control, err := net.Listen("tcp4", addrPort(0).String())
	f.NoErr(err)
	f.NoErr(readiness.Close())
	f.NoErr(control.Close())
	text := fmt.Sprintf(`
[vm]
name = "vm-%d"
domain = %q
[listen]
packets = %q
readiness = %q
beats = %q
control = %q
[store]
address = %q
[timings]
stop_grace = "20s"
`, number, domain, addrPort(f.port), readiness.Addr(), addrPort(f.port+1), control.Addr(), f.store)
	v := &vm{
		file:    filepath.Join(f.t.TempDir(), "settings.toml"),
		signals: make(chan os.Signal, 2),
		ended:   make(chan error, 1),
	}
	f.NoErr(os.WriteFile(v.file, []byte(text), 0o600))
	v.settings, err = flowsettings.Load(v.file)
	f.NoErr(err)
	var logger *events.Logger
	v.log, logger = events.NewRecorder(nil)
	go func() {
		v.ended <- Run(context.Background(), v.file, v.settings, Options{Signals: v.signals, Logger: logger})
	}()
	f.t.Cleanup(func() {
		select {
		case v.signals <- syscall.SIGTERM:
		default:
		}
		<-v.ended
	})
	f.eventually("ready", func() bool { return v.ready() })
	return v
}

func (v *vm) ready() bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.settings.Listen.Readiness.String() + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// eventually waits until a state is reached.
func (f *fleet) eventually(what string, reached func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(testTimeout); !reached(); {
		if time.Now().After(deadline) {
			f.t.Fatalf("not reached: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func (f *fleet) newCaller() *flowends.Caller {
	caller, err := flowends.NewCaller(netip.AddrPortFrom(callerIP, f.port))
	f.NoErr(err)
	f.t.Cleanup(caller.Close)
	return caller
}

var route = netip.MustParseAddrPort("198.18.0.1:443")

// Guards against a fleet on real sockets that breaks a flow when its packets arrive at
// another VM, when a VM stops, or when the settings file is invalid, and against changes
// by operators and targets that do not take effect.
func TestFlowsOnThePlatform(t *testing.T) {
	f := newFleet(t)
	f.configure(4, 443)
	first := f.startTarget(1, "a")
	second := f.startTarget(2, "a")
	remote := f.startTarget(3, "b")
	unreadable := kvstore.Target{ID: "i-dead"}.Put()
	unreadable.Value = []byte("\x00 no entry")
	f.put(unreadable)
	one, two, three := f.startVM(1, "a"), f.startVM(2, "a"), f.startVM(3, "b")
	caller := f.newCaller()

	// A flow keeps its target, whichever VM receives its packets.
	flow, err := caller.Open(one.settings.Listen.Packets, route)
	f.NoErr(err)
	name, err := flow.Request(one.settings.Listen.Packets)
	f.NoErr(err)
	f.True(name == first.Name || name == second.Name) // in the VM's failure domain
	for _, v := range []*vm{two, three, one} {
		again, err := flow.Request(v.settings.Listen.Packets)
		f.NoErr(err)
		f.Equal(again, name)
	}

	f.checkMetrics(one)
	f.checkQueries(one, flow, name)

	// Invalid settings have no effect, valid ones take effect.
	good, err := os.ReadFile(one.file)
	f.NoErr(err)
	f.NoErr(os.WriteFile(one.file, []byte("[vm"), 0o600))
	one.signals <- syscall.SIGHUP
	f.eventually("settings rejected", func() bool { return one.log.Count(events.SettingsRejected) == 1 })
	f.NoErr(os.WriteFile(one.file, append(good, "[log]\nlevel = \"debug\"\n"...), 0o600))
	one.signals <- syscall.SIGHUP
	f.eventually("settings reloaded", func() bool { return one.log.Count(events.SettingsReloaded) >= 1 })

	// A planned stop breaks no flow.
	one.signals <- syscall.SIGTERM
	f.eventually("not ready", func() bool { return !one.ready() })
	again, err := flow.Request(one.settings.Listen.Packets)
	f.NoErr(err)
	f.Equal(again, name)
	err = <-one.ended
	f.NoErr(err)
	one.ended <- nil
	again, err = flow.Request(two.settings.Listen.Packets)
	f.NoErr(err)
	f.Equal(again, name)

	// A draining target gets no new flow.
	f.putTarget(first, "a", true)
	f.eventually("draining target applied", func() bool { return lastLoggedState(two, first.Name) == "draining" })
	opened, _, _ := first.Stats()
	for range 5 {
		_, err := caller.Open(two.settings.Listen.Packets, route)
		f.NoErr(err)
	}
	after, _, _ := first.Stats()
	f.Equal(after, opened)

	// A removed route ends its flows; a flow to an unknown route is reset immediately.
	f.configure(6, 444)
	f.eventually("route removed", func() bool { return three.log.Count(events.ConfigurationApplied) == 2 })
	f.eventually("route removed", func() bool { return two.log.Count(events.ConfigurationApplied) == 2 })
	_, err = flow.Request(two.settings.Listen.Packets)
	f.True(errors.Is(err, flowends.ErrReset))
	_, err = caller.Open(three.settings.Listen.Packets, route)
	f.True(errors.Is(err, flowends.ErrReset))

	for _, target := range []*flowends.Target{first, second, remote} {
		_, changed, foreign := target.Stats()
		f.Equal(changed, 0)
		f.Equal(foreign, 0)
	}
}

// get returns the body of a GET request to the VM's control address.
func (f *fleet) get(v *vm, path string) []byte {
	f.t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.settings.Listen.Control.String() + path)
	f.NoErr(err)
	defer response.Body.Close()
	f.Equal(response.StatusCode, http.StatusOK)
	body, err := io.ReadAll(response.Body)
	f.NoErr(err)
	return body
}

// checkMetrics compares the metrics of a VM that has served a flow with docs/flow-metrics.md.
func (f *fleet) checkMetrics(v *vm) {
	page, err := os.ReadFile("../docs/flow-metrics.md")
	f.NoErr(err)
	var documented, served []string
	for line := range strings.Lines(string(page)) {
		if cells := strings.Split(line, "|"); strings.HasPrefix(line, "| `") {
			documented = append(documented, strings.Trim(cells[1], " `")+" "+strings.TrimSpace(cells[2]))
		}
	}
	for line := range strings.Lines(string(f.get(v, "/metrics"))) {
		if words := strings.Fields(line); strings.HasPrefix(line, "# TYPE") {
			served = append(served, words[2]+" "+words[3])
		}
	}
	f.Equal(served, documented)
}

// checkQueries checks a VM's responses to queries for its status and for an open flow.
func (f *fleet) checkQueries(v *vm, flow *flowends.Flow, target string) {
	var status struct {
		VM      string `json:"vm"`
		Version int    `json:"version"`
		Ready   bool   `json:"ready"`
		Targets []struct {
			ID    string `json:"id"`
			Flows int    `json:"flows"`
		} `json:"targets"`
	}
	f.NoErr(json.Unmarshal(f.get(v, "/v1/status"), &status))
	f.Equal(status.VM, v.settings.VM.Name)
	f.True(status.Version == 4 && status.Ready && len(status.Targets) == 3)
	var explained struct {
		Known  bool   `json:"known"`
		Phase  string `json:"phase"`
		Target struct {
			ID string `json:"id"`
		} `json:"target"`
	}
	path := "/v1/explain?caller=" + flow.From.String() + "&address=" + flow.To.String()
	f.NoErr(json.Unmarshal(f.get(v, path), &explained))
	f.True(explained.Known && explained.Phase == "open")
	f.Equal(explained.Target.ID, target)
}

// lastLoggedState returns the state in the last event TargetChanged of a target.
func lastLoggedState(v *vm, target string) string {
	state := ""
	for _, line := range v.log.Lines() {
		if line.Event == events.TargetChanged && line.Fields[0].Value == target {
			state = fmt.Sprint(line.Fields[4].Value)
		}
	}
	return state
}

// Guards against a VM that discards its catalog during an outage of the store, or does
// not apply changes after it.
func TestStoreOutage(t *testing.T) {
	f := newFleet(t)
	f.configure(4, 443)
	f.startTarget(1, "a")
	v := f.startVM(4, "a")
	caller := f.newCaller()
	f.engine.SetOutage(true)
	f.eventually("outage noticed", func() bool { return v.log.Count(events.StoreLost) >= 1 })
	_, err := caller.Open(v.settings.Listen.Packets, route)
	f.NoErr(err)
	f.engine.SetOutage(false)
	f.configure(5, 444)
	f.eventually("change after the outage", func() bool { return v.log.Count(events.ConfigurationApplied) == 2 })
	_, err = caller.Open(v.settings.Listen.Packets, netip.MustParseAddrPort("198.18.0.1:444"))
	f.NoErr(err)
}

// Guards against a stopping VM whose catalog follows the store no more while it still
// forwards packets: it would reset flows of targets whose entries are back after an outage.
func TestStoppingVMFollowsTheStore(t *testing.T) {
	f := newFleet(t)
	f.configure(4, 443)
	target := f.startTarget(1, "a")
	v := f.startVM(1, "a")
	flow, err := f.newCaller().Open(v.settings.Listen.Packets, route)
	f.NoErr(err)
	v.signals <- syscall.SIGTERM
	f.eventually("not ready", func() bool { return !v.ready() })
	f.configure(5, 443, 444)
	f.putTarget(target, "a", true)
	f.eventually("changes in force while packets arrive", func() bool {
		name, err := flow.Request(v.settings.Listen.Packets)
		f.NoErr(err)
		f.Equal(name, target.Name)
		return v.log.Count(events.ConfigurationApplied) == 2 && lastLoggedState(v, target.Name) == "draining"
	})
}

// Guards against errors of the command line without a message, or with a wrong exit
// code.
func TestCommandLine(t *testing.T) {
	good := filepath.Join(t.TempDir(), "good.toml")
	bad := filepath.Join(t.TempDir(), "bad.toml")
	for file, text := range map[string]string{good: flowsettings.Example(), bad: "[vm]\nname = 3\n"} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Setenv("GYPSUMSPAN_TEST_SETTINGS", good)
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no command", nil, daemoncmd.ExitSettings, "a command is required"},
		{"unknown flag", []string{"run", "--speed"}, daemoncmd.ExitSettings, "unknown flag"},
		{"no file", []string{"check"}, daemoncmd.ExitSettings, "--config FILE"},
		{"missing file", []string{"check", "--config", good + "x"}, daemoncmd.ExitSettings, "no such file"},
		{"variable is not set", []string{"check", "--config-env", "GYPSUMSPAN_NOT_SET"}, daemoncmd.ExitSettings, "--config FILE"},
		{"valid", []string{"check", "--config", good}, daemoncmd.ExitOK, "settings are valid"},
		{"valid, by variable", []string{"check", "--config-env", "GYPSUMSPAN_TEST_SETTINGS"}, daemoncmd.ExitOK, "settings are valid"},
		{"all faults", []string{"check", "--config", bad}, daemoncmd.ExitSettings, "listen.packets"},
		{"example", []string{"settings"}, daemoncmd.ExitOK, "[listen]"},
		{"version", []string{"version"}, daemoncmd.ExitOK, "gypsumflowd"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out strings.Builder
			is.Equal(Main(c.args, Options{Stdout: &out, Stderr: &out}), c.code)
			is.True(strings.Contains(out.String(), c.want))
		})
	}
}
