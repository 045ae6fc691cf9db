package admin

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/gypsumspan/gypsumspan/certs"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/certwatch"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/services/logs"
	"github.com/gypsumspan/gypsumspan/services/peers"
	"github.com/gypsumspan/gypsumspan/services/storewatch"
	"github.com/gypsumspan/gypsumspan/services/udp"
	"github.com/gypsumspan/gypsumspan/standin/ca"
)

const testTimeout = 20 * time.Second

// plainMachine is a state machine without optional interfaces.
type plainMachine struct{}

func (*plainMachine) Receive(time.Duration, message.Message) []message.Message { return nil }
func (*plainMachine) Tick(time.Duration) []message.Message                     { return nil }
func (*plainMachine) Leave(time.Duration) []message.Message                    { return nil }
func (*plainMachine) HasLeft() bool                                            { return true }

// machine is a state machine with all optional interfaces.
type machine struct{ plainMachine }

func (*machine) TableVersion() uint64 { return 42 }
func (*machine) Status() any {
	return map[string]any{"leaving": true, "members": 3, "owned": []string{"t1"}}
}
func (*machine) Explain(flow message.FlowID, request message.RequestID) any {
	return []any{"asked for " + flow.String(), request}
}
func (*machine) Counters(yield func(string, map[string]string, int64) bool) {
	tags := map[string]string{"kind": "k0"}
	ok := yield("dispatched", tags, 7)
	tags["kind"] = "k1"
	_ = ok && yield("dispatched", tags, 4) && yield("refused_total", nil, 1) && yield("refused_total", nil, 1)
}
func (*machine) Gauges(yield func(string, map[string]string, float64) bool) {
	yield("queue-depth", map[string]string{"target": `a"b\`}, 1.5)
}

// unresponsiveCore accepts commands and never runs them; with full set it refuses them.
type unresponsiveCore struct{ full bool }

func (*unresponsiveCore) Name() string                   { return core.Name }
func (*unresponsiveCore) Dependencies() []string         { return nil }
func (*unresponsiveCore) Setup(k *kernel.Kernel) error   { return nil }
func (*unresponsiveCore) Connect(k *kernel.Kernel) error { return nil }
func (c *unresponsiveCore) Do(core.Command) error {
	if c.full {
		return kernel.ErrRingFull
	}
	return nil
}
func (*unresponsiveCore) Put(message.Message) error { return nil }

// storeStub is a stub of the service "storewatch".
type storeStub struct{}

func (storeStub) Name() string                 { return storewatch.Name }
func (storeStub) Dependencies() []string       { return nil }
func (storeStub) Setup(*kernel.Kernel) error   { return nil }
func (storeStub) Connect(*kernel.Kernel) error { return nil }
func (storeStub) Stats() storewatch.Stats      { return storewatch.Stats{Reads: 3} }

func newCA(t *testing.T) *ca.CA {
	t.Helper()
	authority, err := ca.New(ca.ValidFor(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// newSource returns the certificate source of a VM.
func newSource(t *testing.T, authority *ca.CA) *certs.Source {
	t.Helper()
	source, err := ca.Open(authority.CreateVMFiles(t.TempDir(), certs.VM{Name: "vm-1", Domain: "north"}))
	if err != nil {
		t.Fatal(err)
	}
	return source
}

func start(t *testing.T, c kernel.Service, wait time.Duration) (*Service, *events.Recorder) {
	t.Helper()
	return startWithTLS(t, c, wait, newSource(t, newCA(t)), false)
}

func startWithTLS(t *testing.T, c kernel.Service, wait time.Duration, source *certs.Source, tlsEnabled bool) (*Service, *events.Recorder) {
	t.Helper()
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	recorder, logger := events.NewRecorder(nil)
	s := New(Config{VM: "vm-1", Domain: "north", Listen: loopback, QueryTimeout: wait, TLS: tlsEnabled})
	k := kernel.New(kernel.NewClock())
	for _, service := range []kernel.Service{
		logs.New(logger), udp.New(udp.Config{Callers: loopback, Data: loopback}, nil),
		peers.New(peers.Config{Listen: loopback}), storeStub{}, certwatch.New(source, 0), s, c,
	} {
		if err := k.Register(service); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Assemble(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx, testTimeout) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, recorder
}

// get returns the status code and body of a GET request.
func get(t *testing.T, s *Service, path string) (int, string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testTimeout}
	response, err := client.Get("http://" + s.Addr().String() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// Guards against responses that differ from what the state machine returns.
func TestAnswers(t *testing.T) {
	is := is.New(t)
	s, _ := start(t, core.New(&machine{}), testTimeout)
	code, body := get(t, s, "/v1/status")
	is.Equal(code, http.StatusOK)
	var status map[string]any
	is.NoErr(json.Unmarshal([]byte(body), &status))
	is.Equal(status, map[string]any{
		"vm": "vm-1", "domain": "north", "table_revision": 42.0,
		"leaving": true, "members": 3.0, "owned": []any{"t1"},
	})
	flow := message.FlowID{Hi: 1, Lo: 0xabc}
	code, body = get(t, s, "/v1/explain?flow="+flow.String())
	is.Equal(code, http.StatusOK)
	is.Equal(body, `["asked for `+flow.String()+`",0]`)
	_, body = get(t, s, "/v1/explain?flow="+flow.String()+"&request=7")
	is.Equal(body, `["asked for `+flow.String()+`",7]`)
	code, body = get(t, s, "/healthz")
	is.Equal(code, http.StatusOK)
	is.Equal(body, "ok\n")
}

// Guards against metrics that are missing or not in the text format.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	s, _ := start(t, core.New(&machine{}), testTimeout)
	for range 2 { // a second scrape must not add to the counters
		code, body := get(t, s, "/metrics")
		is.Equal(code, http.StatusOK)
		for _, line := range []string{
			"# TYPE gypsumspan_dispatched_total counter\n" +
				"gypsumspan_dispatched_total{kind=\"k0\"} 7\ngypsumspan_dispatched_total{kind=\"k1\"} 4\n",
			"gypsumspan_refused_total 2\n",
			"# TYPE gypsumspan_queue_depth gauge\ngypsumspan_queue_depth{target=\"a\\\"b\\\\\"} 1.5\n",
			"# TYPE gypsumspan_ring_depth gauge\n",
			"gypsumspan_ring_capacity{ring=\"core.control\"} 4096\n",
			"gypsumspan_ring_drops_total{ring=\"udp.out\"} 0\n",
			"gypsumspan_udp_received_total 0\n",
			"gypsumspan_peers_sent_bytes_total 0\n",
			"gypsumspan_store_reads_total 3\n",
		} {
			if !strings.Contains(body, line) {
				t.Fatalf("metrics lack %q:\n%s", line, body)
			}
		}
	}
}

// Guards against a page that lacks a metric of the services or lists one that does
// not exist. A test of decide/vm compares the metrics of the state machine.
func TestPageListsEveryMetric(t *testing.T) {
	is := is.New(t)
	s, _ := start(t, core.New(&plainMachine{}), testTimeout)
	_, body := get(t, s, "/metrics")
	page, err := os.ReadFile("../../docs/metrics.md")
	is.NoErr(err)
	_, section, found := strings.Cut(string(page), "\n## Services\n")
	is.True(found)
	var served, documented []string
	for _, m := range regexp.MustCompile(`(?m)^# TYPE (\w+) (\w+)$`).FindAllStringSubmatch(body, -1) {
		tags := "-"
		if label := regexp.MustCompile(`(?m)^` + m[1] + `\{(\w+)=`).FindStringSubmatch(body); label != nil {
			tags = label[1]
		}
		served = append(served, m[1]+" "+m[2]+" "+tags)
	}
	for _, m := range regexp.MustCompile("(?m)^\\| `(gypsumspan_\\w+)` \\| (\\w+) \\| ([^|]+) \\|").FindAllStringSubmatch(section, -1) {
		documented = append(documented, m[1]+" "+m[2]+" "+m[3])
	}
	slices.Sort(documented)
	is.Equal(documented, served)
}

// Guards against errors that block a request or return a success status.
func TestFaults(t *testing.T) {
	cases := []struct {
		name string
		core kernel.Service
		path string
		code int
	}{
		{"core does not respond", &unresponsiveCore{}, "/v1/status", http.StatusGatewayTimeout},
		{"core does not respond to metrics", &unresponsiveCore{}, "/metrics", http.StatusGatewayTimeout},
		{"core is not healthy", &unresponsiveCore{}, "/healthz", http.StatusGatewayTimeout},
		{"too many commands", &unresponsiveCore{full: true}, "/healthz", http.StatusServiceUnavailable},
		{"flow is missing", core.New(&machine{}), "/v1/explain", http.StatusBadRequest},
		{"flow is short", core.New(&machine{}), "/v1/explain?flow=12", http.StatusBadRequest},
		{"flow is not hexadecimal", core.New(&machine{}), "/v1/explain?flow=" + strings.Repeat("z", 32), http.StatusBadRequest},
		{"request is not a number", core.New(&machine{}), "/v1/explain?request=x&flow=" + strings.Repeat("0", 32), http.StatusBadRequest},
		{"unsupported", core.New(&plainMachine{}), "/v1/explain?flow=" + strings.Repeat("0", 32), http.StatusNotImplemented},
		{"unknown path", core.New(&machine{}), "/v1/nothing", http.StatusNotFound},
		{"plain status", core.New(&plainMachine{}), "/v1/status", http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			wait := testTimeout
			if c.code == http.StatusGatewayTimeout {
				wait = 10 * time.Millisecond
			}
			s, recorder := start(t, c.core, wait)
			code, _ := get(t, s, c.path)
			is.Equal(code, c.code)
			if c.code >= http.StatusInternalServerError {
				done := make(chan struct{})
				defer time.AfterFunc(testTimeout, func() { close(done) }).Stop()
				is.True(recorder.Wait(events.AdminAnswerFailed, done))
			}
		})
	}
}

// Guards against an unbounded number of connections.
func TestConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := newLimitListener(inner, 1)
	for range 2 {
		conn, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		defer conn.Close()
	}
	first, err := l.Accept()
	is.NoErr(err)
	is.Equal(len(l.slots), cap(l.slots)) // the next Accept waits for a slot
	accepted := make(chan net.Conn)
	go func() {
		second, err := l.Accept()
		is.NoErr(err)
		accepted <- second
	}()
	select {
	case <-accepted:
		t.Fatal("accepted a connection above the limit")
	default:
	}
	is.NoErr(first.Close())
	second := <-accepted
	is.NoErr(second.Close())
	is.NoErr(l.Close())
	_, err = l.Accept()
	is.True(err != nil)
}

// Guards against responses to clients without an operator's certificate, and
// against operators that are refused.
func TestOnlyOperatorsAreAnswered(t *testing.T) {
	authority, foreign := newCA(t), newCA(t)
	operator, err := ca.Open(authority.CreateOperatorFiles(t.TempDir(), "ann"))
	if err != nil {
		t.Fatal(err)
	}
	foreignOperator, err := ca.Open(foreign.CreateOperatorFiles(t.TempDir(), "ann"))
	if err != nil {
		t.Fatal(err)
	}
	foreignTLS := foreignOperator.VMClient()
	foreignTLS.VerifyConnection = nil // the client trusts the VM, so that the VM must refuse it
	cases := []struct {
		name   string
		config *tls.Config
		ok     bool
	}{
		{"operator", operator.VMClient(), true},
		{"foreign CA", foreignTLS, false},
		{"VM", newSource(t, authority).VMClient(), false},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, recorder := startWithTLS(t, core.New(&machine{}), testTimeout, newSource(t, authority), true)
			client := &http.Client{Transport: &http.Transport{TLSClientConfig: c.config, DisableKeepAlives: true}, Timeout: testTimeout}
			response, err := client.Get("https://" + s.Addr().String() + "/v1/status")
			is.Equal(err == nil, c.ok)
			if c.ok {
				is.NoErr(response.Body.Close())
				is.Equal(response.StatusCode, http.StatusOK)
				return
			}
			done := make(chan struct{})
			defer time.AfterFunc(testTimeout, func() { close(done) }).Stop()
			is.True(recorder.Wait(events.AdminRefused, done))
			is.Equal(s.refusedClients.Load(), uint64(1))
		})
	}
}
