package healthcheck

import (
	"context"
	"net"
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

// machine is a state machine that owns the given targets.
type machine struct {
	core.Machine
	targets map[message.TargetID]netip.AddrPort
}

func (m *machine) HealthTargets(yield func(message.TargetID, netip.AddrPort) bool) {
	for target, health := range m.targets {
		if !yield(target, health) {
			return
		}
	}
}

// fakeCore runs commands immediately and records reports by target.
type fakeCore struct {
	machine core.Machine
	reports map[message.TargetID][]*message.TargetReport
}

func (f *fakeCore) Name() string                   { return core.Name }
func (f *fakeCore) Dependencies() []string         { return nil }
func (f *fakeCore) Setup(k *kernel.Kernel) error   { return nil }
func (f *fakeCore) Connect(k *kernel.Kernel) error { return nil }
func (f *fakeCore) Put(m message.Message) error {
	r := m.Body.(*message.TargetReport)
	f.reports[r.Target] = append(f.reports[r.Target], r)
	return nil
}
func (f *fakeCore) Do(c core.Command) error {
	c(0, f.machine)
	return nil
}

func start(t *testing.T, timeout time.Duration, m core.Machine) (*fakeCore, *kernel.Stepper, *events.Recorder, *Service) {
	t.Helper()
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	c := &fakeCore{machine: m, reports: make(map[message.TargetID][]*message.TargetReport)}
	recorder, logger := events.NewRecorder(nil)
	s := New(Config{Interval: time.Second, Timeout: timeout, Seed: 1})
	stepper := kernel.NewStepper(1)
	k := kernel.NewStepped(stepper)
	for _, service := range []kernel.Service{logs.New(logger), c, s} {
		if err := k.Register(service); err != nil {
			t.Fatal(err)
		}
	}
	if err := stepper.Add(k); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return c, stepper, recorder, s
}

// newHealthServer starts a health endpoint with a fixed response and returns its address.
func newHealthServer(t *testing.T, status int, body string) netip.AddrPort {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/health" {
			status = http.StatusNotFound
		}
		w.WriteHeader(status)
		w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// Guards against responses that are misinterpreted, and against targets that count as
// healthy without a response.
func TestReports(t *testing.T) {
	cases := []struct {
		name, body string
		status     int
		want       message.TargetReport
		failed     bool
	}{
		{"healthy", `{"healthy":true,"in_flight":3}`, 200, message.TargetReport{Reached: true, Healthy: true, InFlight: 3}, false},
		{"draining", `{"healthy":true,"draining":true}`, 200, message.TargetReport{Reached: true, Healthy: true, Draining: true}, false},
		{"cold", `{"healthy":true,"cold":true}`, 200, message.TargetReport{Reached: true, Healthy: true, Cold: true}, false},
		{"negative load", `{"healthy":true,"in_flight":-1}`, 200, message.TargetReport{Reached: true, Healthy: true}, false},
		{"error status", `{"healthy":true}`, 503, message.TargetReport{Reached: true}, true},
		{"not JSON", `OK`, 200, message.TargetReport{}, true},
		{"too long", `{"healthy":true` + string(make([]byte, maxResponseBytes)) + `}`, 200, message.TargetReport{}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := &machine{targets: map[message.TargetID]netip.AddrPort{7: {}}}
			fake, stepper, recorder, _ := start(t, 10*time.Second, m)
			m.targets[7] = newHealthServer(t, c.status, c.body)
			stepper.Advance(500 * time.Millisecond)
			c.want.Target = 7
			is.Equal(len(fake.reports[7]), 1)
			is.Equal(*fake.reports[7][0], c.want)
			is.Equal(recorder.Count(events.HealthPollFailed) == 1, c.failed)
			stepper.Advance(10 * time.Second)
			n := len(fake.reports[7])
			is.True(n >= 10 && n <= 12) // 1 s with 10% jitter
		})
	}
}

// Guards against unresponsive targets that are not reported, or that keep other
// targets from being polled.
func TestUnresponsiveTarget(t *testing.T) {
	is := is.New(t)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer unresponsive.Close()
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(refused.Close())
	m := &machine{targets: map[message.TargetID]netip.AddrPort{}}
	fake, stepper, recorder, _ := start(t, 50*time.Millisecond, m)
	m.targets[1] = netip.MustParseAddrPort(unresponsive.Addr().String())
	m.targets[2] = netip.MustParseAddrPort(refused.Addr().String())
	stepper.Advance(500 * time.Millisecond)
	is.Equal(*fake.reports[1][0], message.TargetReport{Target: 1})
	is.Equal(*fake.reports[2][0], message.TargetReport{Target: 2})
	is.Equal(recorder.Count(events.HealthPollFailed), 2)
}

// Guards against polls that accumulate at a slow poller.
func TestBusyPollerIsSkipped(t *testing.T) {
	is := is.New(t)
	_, stepper, recorder, s := start(t, time.Second, &machine{})
	stepper.Advance(10 * time.Millisecond)
	jobs := []job{{target: 1}, {target: 2}, {target: 3}}
	s.distribute(jobs)
	s.distribute(jobs)
	waiting := 0
	for _, p := range s.pollers {
		waiting += p.ring.Len()
		for p.ring.Len() > 0 {
			p.ring.Take()
		}
	}
	is.Equal(waiting, len(jobs))
	stepper.Advance(10 * time.Millisecond)
	is.True(recorder.Count(events.HealthPollsSkipped) > 0)
}
