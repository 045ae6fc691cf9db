package vmlist

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/services/logs"
)

// plainMachine is a state machine without optional interfaces.
type plainMachine struct{ core.Machine }

// machine is a state machine with the service's optional interfaces.
type machine struct {
	core.Machine
	relay, peers bool
}

func (m *machine) IsRelay() bool  { return m.relay }
func (m *machine) HasPeers() bool { return m.peers }

// fakeCore runs commands immediately and records messages.
type fakeCore struct {
	machine  core.Machine
	messages []message.Message
}

func (f *fakeCore) Name() string                   { return core.Name }
func (f *fakeCore) Dependencies() []string         { return nil }
func (f *fakeCore) Setup(k *kernel.Kernel) error   { return nil }
func (f *fakeCore) Connect(k *kernel.Kernel) error { return nil }
func (f *fakeCore) Put(m message.Message) error {
	f.messages = append(f.messages, m)
	return nil
}
func (f *fakeCore) Do(c core.Command) error {
	c(0, f.machine)
	return nil
}

// fixture is the service in a stepped kernel, with a server of the VM list.
type fixture struct {
	core     *fakeCore
	recorder *events.Recorder
	stepper  *kernel.Stepper
	polls    int
}

func newFixture(t *testing.T, m core.Machine, status int, list string) *fixture {
	t.Helper()
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	f := &fixture{core: &fakeCore{machine: m}, stepper: kernel.NewStepper(1)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.polls++ // the test's goroutine makes all polls, one at a time
		w.WriteHeader(status)
		w.Write([]byte(list))
	}))
	t.Cleanup(server.Close)
	recorder, logger := events.NewRecorder(nil)
	f.recorder = recorder
	s := New(Config{URL: server.URL, Interval: 2 * time.Second, Timeout: 10 * time.Second, Seed: 1})
	k := kernel.NewStepped(f.stepper)
	for _, service := range []kernel.Service{logs.New(logger), f.core, s} {
		if err := k.Register(service); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.stepper.Add(k); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return f
}

const oneVM = `{"vms":[{"name":"vm-2","domain":"north","data":"127.0.0.2:7200","control":"127.0.0.2:7400","leaving":true}]}`

// Guards against VMs that poll the platform needlessly, and against a VM without
// peers that never discovers any.
func TestPollsOnlyWhenNeeded(t *testing.T) {
	cases := []struct {
		name    string
		machine core.Machine
		polls   bool
	}{
		{"relay", &machine{relay: true, peers: true}, true},
		{"no peers", &machine{}, true},
		{"not a relay, with peers", &machine{peers: true}, false},
		{"machine without the interfaces", &plainMachine{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, c.machine, http.StatusOK, oneVM)
			f.stepper.Advance(20 * time.Second)
			if !c.polls {
				is.Equal(f.polls, 0)
				return
			}
			is.True(f.polls >= 9 && f.polls <= 13) // 2 s with 20% jitter
			is.Equal(len(f.core.messages), f.polls)
			is.Equal(f.core.messages[0], message.Message{
				From: message.Address{Kind: message.PeerPlatform},
				Body: &message.VMList{Members: []message.Member{{
					ID: message.VMIDOf("vm-2"), Name: "vm-2", Domain: message.DomainIDOf("north"),
					Data:    netip.MustParseAddrPort("127.0.0.2:7200"),
					Control: netip.MustParseAddrPort("127.0.0.2:7400"),
					State:   message.MemberLeaving,
				}}},
			})
		})
	}
}

// Guards against invalid lists that reach the state machine or are not reported.
func TestFaultyLists(t *testing.T) {
	cases := []struct {
		name, list string
		status     int
		event      *events.Event
		messages   int
	}{
		{"server error", "", http.StatusInternalServerError, events.VMListFailed, 0},
		{"redirect", "", http.StatusFound, events.VMListFailed, 0},
		{"not JSON", "<html>", http.StatusOK, events.VMListFailed, 0},
		{"entry without address", `{"vms":[{"name":"a","domain":"d"}]}`, http.StatusOK, events.VMListEntryInvalid, 1},
		{"entry without name", `{"vms":[{"domain":"d","data":"127.0.0.1:1","control":"127.0.0.1:2"}]}`, http.StatusOK, events.VMListEntryInvalid, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, &machine{relay: true}, c.status, c.list)
			f.stepper.Advance(time.Second)
			is.Equal(f.recorder.Count(c.event), 1)
			is.Equal(len(f.core.messages), c.messages)
			for _, m := range f.core.messages {
				is.Equal(len(m.Body.(*message.VMList).Members), 0)
			}
		})
	}
}
