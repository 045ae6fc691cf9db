package daemon

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/gypsumspan/gypsumspan/daemoncmd"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/settings"
	"github.com/gypsumspan/gypsumspan/wire"
)

// testTimeout bounds each wait of a test.
const testTimeout = 20 * time.Second

// bindingMachine responds to every Open with Bound. Its leave never ends if neverLeaves
// is set.
type bindingMachine struct {
	neverLeaves bool
	leaving     bool
}

func (b *bindingMachine) Receive(_ time.Duration, m message.Message) []message.Message {
	open, ok := m.Body.(*message.Open)
	if !ok {
		return nil
	}
	return []message.Message{{To: m.From, Body: &message.Bound{Flow: open.Flow}}}
}
func (b *bindingMachine) Tick(time.Duration) []message.Message { return nil }
func (b *bindingMachine) Leave(time.Duration) []message.Message {
	b.leaving = true
	return nil
}
func (b *bindingMachine) HasLeft() bool { return b.leaving && !b.neverLeaves }

// freeAddresses returns n addresses whose ports are free for TCP and UDP. All stay open
// until the last is found, so that none is returned twice.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for len(addresses) < n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		u, err := net.ListenPacket("udp", l.Addr().String())
		if err != nil {
			continue // the port is free for TCP only
		}
		defer u.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// testSettings returns valid settings on free addresses.
func testSettings(t *testing.T) *settings.Settings {
	t.Helper()
	text := settings.Example()
	examples := []string{"127.0.0.1:7100", "127.0.0.1:7200", "127.0.0.1:7400", "127.0.0.1:7500"}
	free := freeAddresses(t, len(examples))
	for i, exampleAddress := range examples {
		text = strings.Replace(text, exampleAddress, free[i], 1)
	}
	s, err := settings.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// process is a running daemon.
type process struct {
	t        *testing.T
	recorder *events.Recorder
	signals  chan os.Signal
	result   chan error
}

func start(t *testing.T, s *settings.Settings, m core.Machine, newServices ServiceFactory) *process {
	t.Helper()
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	recorder, logger := events.NewRecorder(nil)
	p := &process{t: t, recorder: recorder, signals: make(chan os.Signal, 2), result: make(chan error, 1)}
	go func() {
		p.result <- Run(context.Background(), s, Options{
			NewMachine:     func(MachineConfig) (core.Machine, error) { return m, nil },
			NewServices:    newServices,
			ProcessOptions: daemoncmd.ProcessOptions{Signals: p.signals, Logger: logger},
		})
	}()
	return p
}

func (p *process) waitFor(e *events.Event) {
	p.t.Helper()
	done := make(chan struct{})
	defer time.AfterFunc(testTimeout, func() { close(done) }).Stop()
	if !p.recorder.Wait(e, done) {
		p.t.Fatalf("event %s was not written", e.Number)
	}
}

func (p *process) wait() error {
	p.t.Helper()
	select {
	case err := <-p.result:
		return err
	case <-time.After(testTimeout):
		p.t.Fatal("daemon did not stop")
		return nil
	}
}

// openFlow sends an Open to the VM and returns the response.
func openFlow(t *testing.T, s *settings.Settings, flow message.FlowID) message.Body {
	t.Helper()
	conn, err := net.Dial("udp", s.Listen.Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	data, err := wire.Append(nil, &message.Open{Flow: flow})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(data); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, wire.MaxDatagram)
	n, err := conn.Read(buf)
	if err != nil {
		t.Fatal(err)
	}
	body, err := wire.Decode(buf[:n])
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// Guards against components that are not connected, and against a signal that does
// not cause a complete leave.
func TestServesUntilFirstSignal(t *testing.T) {
	is := is.New(t)
	s := testSettings(t)
	p := start(t, s, &bindingMachine{}, nil)
	p.waitFor(events.DaemonStarted)
	flow := message.FlowID{Hi: 3, Lo: 4}
	is.Equal(openFlow(t, s, flow), &message.Bound{Flow: flow})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
	response, err := client.Get("http://" + s.Listen.Admin.String() + "/v1/status")
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.True(strings.Contains(string(body), `"vm":"vm-1"`))
	p.signals <- syscall.SIGTERM
	is.NoErr(p.wait())
	is.Equal(p.recorder.Count(events.LeaveStarted), 1)
	is.Equal(p.recorder.Count(events.DaemonStopped), 1)
}

// Guards against a second signal that waits for the planned leave to end.
func TestSecondSignalStopsAtOnce(t *testing.T) {
	is := is.New(t)
	p := start(t, testSettings(t), &bindingMachine{neverLeaves: true}, nil)
	p.waitFor(events.DaemonStarted)
	p.signals <- syscall.SIGTERM
	p.waitFor(events.LeaveStarted)
	p.signals <- syscall.SIGINT
	err := p.wait()
	is.True(errors.Is(err, ErrForcedStop))
	is.Equal(exitCode(err), ExitForcedStop)
	is.Equal(p.recorder.Count(events.StopForced), 1)
	is.Equal(p.recorder.Count(events.DaemonFailed), 0)
}

// Guards against a planned leave of unlimited duration.
func TestLeaveIsBounded(t *testing.T) {
	is := is.New(t)
	s := testSettings(t)
	s.Timings.StopGrace = 50 * time.Millisecond
	p := start(t, s, &bindingMachine{neverLeaves: true}, nil)
	p.waitFor(events.DaemonStarted)
	p.signals <- syscall.SIGTERM
	err := p.wait()
	is.True(errors.Is(err, ErrLeaveTimeout))
	is.Equal(exitCode(err), ExitLeaveTimeout)
	is.Equal(p.recorder.Count(events.LeaveOverran), 1)
}

// failingService is an additional service whose blocker fails.
type failingService struct{ err error }

func (*failingService) Name() string                 { return "failing" }
func (*failingService) Dependencies() []string       { return []string{core.Name} }
func (*failingService) Setup(k *kernel.Kernel) error { return nil }
func (f *failingService) Connect(k *kernel.Kernel) error {
	k.AddBlocker(kernel.Blocker{Name: "failing", Run: func(context.Context) error { return f.err }})
	return nil
}

// Guards against a failed service that leaves the process running, and against
// additional services that are not started.
func TestFailedServiceEndsTheProcess(t *testing.T) {
	is := is.New(t)
	cause := errors.New("store has failed")
	p := start(t, testSettings(t), &bindingMachine{}, func(MachineConfig) ([]kernel.Service, error) {
		return []kernel.Service{&failingService{err: cause}}, nil
	})
	err := p.wait()
	is.True(errors.Is(err, cause))
	is.Equal(exitCode(err), daemoncmd.ExitFailed)
	is.Equal(p.recorder.Count(events.DaemonFailed), 1)
}

// Guards against errors of factories that Run does not return.
func TestFactoryErrors(t *testing.T) {
	is := is.New(t)
	cause := errors.New("no machine")
	_, logger := events.NewRecorder(nil)
	err := Run(context.Background(), testSettings(t), Options{
		NewMachine:     func(MachineConfig) (core.Machine, error) { return nil, cause },
		ProcessOptions: daemoncmd.ProcessOptions{Logger: logger, Signals: make(chan os.Signal)},
	})
	is.True(errors.Is(err, ErrAssemble))
	is.True(errors.Is(err, cause))
}

// Guards against exit codes and output that differ from the documentation.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	valid := write("valid.toml", settings.Example())
	faulty := write("faulty.toml", strings.NewReplacer(`"vm-1"`, `"vm 1"`, "127.0.0.1:7500", "admin").Replace(settings.Example()))
	cases := []struct {
		name string
		args []string
		code int
		out  []string // on standard output or standard error
	}{
		{"check valid", []string{"check", "--config", valid}, daemoncmd.ExitOK, []string{"settings are valid"}},
		{"check faulty", []string{"check", "--config", faulty}, daemoncmd.ExitSettings, []string{faulty + ":4: vm.name", faulty + ":11: listen.admin"}},
		{"run faulty", []string{"run", "--config", faulty}, daemoncmd.ExitSettings, []string{"vm.name"}},
		{"no file", []string{"check", "--config", filepath.Join(dir, "none")}, daemoncmd.ExitSettings, []string{"can't be read"}},
		{"no flag", []string{"run"}, daemoncmd.ExitSettings, []string{"--config FILE is required"}},
		{"unknown flag", []string{"run", "--fast"}, daemoncmd.ExitSettings, []string{"--fast"}},
		{"unknown command", []string{"fly"}, daemoncmd.ExitSettings, []string{"fly"}},
		{"no command", nil, daemoncmd.ExitSettings, []string{"a command is required"}},
		{"settings", []string{"settings"}, daemoncmd.ExitOK, []string{settings.Example()}},
		{"version", []string{"version"}, daemoncmd.ExitOK, []string{"gypsumspand v1.2"}},
		{"help", []string{"--help"}, daemoncmd.ExitOK, []string{"Exit codes: 0", "run", "check", "settings", "version"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			code := Main(c.args, Options{ProcessOptions: daemoncmd.ProcessOptions{Version: "v1.2", Stdout: &out, Stderr: &out}})
			is.Equal(code, c.code)
			for _, text := range c.out {
				is.True(strings.Contains(out.String(), text))
			}
		})
	}
}

// Guards against a page whose exit codes differ from the declared ones.
func TestPageListsEveryExitCode(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/gypsumspand.md")
	is.NoErr(err)
	codes := regexp.MustCompile(`(?m)^\| (\d) \| \w`).FindAllStringSubmatch(string(page), -1)
	var documented []string
	for _, c := range codes {
		documented = append(documented, c[1])
	}
	var declared []string
	for _, code := range []int{daemoncmd.ExitOK, daemoncmd.ExitFailed, daemoncmd.ExitSettings, ExitForcedStop, ExitLeaveTimeout} {
		declared = append(declared, strconv.Itoa(code))
	}
	is.Equal(documented, declared)
}
