package lab

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/standin/fabric"
	"github.com/gypsumspan/gypsumspan/wire"
)

const testWorkload = `
name = "test"
scale = 1.0
open_rate = 2000
[[services]]
name = "a"
slots = 3
flows_per_target = 20
targets = [{domain = "x", weights = [1, 2]}]
kinds = [
	{name = "once", rate = 100.0, request_bytes = 1500, answer_bytes = 3000, service_ms = 1.0, timeout_ms = 2000},
	{name = "often", idempotent = true, rate = 100.0, request_bytes = 20, service_ms = 1.0, timeout_ms = 2000},
]
[[services]]
name = "b"
slots = 3
flows_per_target = 20
churn = 40.0
targets = [{domain = "y", weights = [1]}]
kinds = [{name = "only", rate = 50.0, request_bytes = 20, service_ms = 1.0, timeout_ms = 2000}]
`

// fault is the misbehaviour of a stub VM.
type fault string

const (
	noFault        fault = ""
	doubleDispatch fault = "dispatches every request twice"
	falseNotRun    fault = "refuses dispatched requests as not run"
	wrongService   fault = "dispatches to another service's target"
	wrongAnswer    fault = "sends the answer of an earlier request"
)

// stubVM replaces the whole fleet: one socket, no admission control, no epochs.
type stubVM struct {
	conn        *net.UDPConn
	targets     []Target
	workload    *Workload
	fault       fault
	callers     map[message.RequestKey]netip.AddrPort
	answers     map[message.RequestKey][]*message.Answer
	dispatched  map[partKey]bool
	lastPayload []byte
}

// partKey identifies one part of one attempt of a request.
type partKey struct {
	key     message.RequestKey
	attempt uint32
	part    uint16
}

func startStub(t *testing.T, w *Workload, targets []Target, f fault) netip.AddrPort {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	vm := &stubVM{
		conn: conn, targets: targets, workload: w, fault: f,
		callers: make(map[message.RequestKey]netip.AddrPort), answers: make(map[message.RequestKey][]*message.Answer),
		dispatched: make(map[partKey]bool),
	}
	go vm.run()
	t.Cleanup(func() { conn.Close() })
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (v *stubVM) run() {
	buf := make([]byte, wire.MaxDatagram)
	for {
		n, from, err := v.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if body, err := wire.Decode(buf[:n]); err == nil {
			v.handle(from, body)
		}
	}
}

func (v *stubVM) handle(from netip.AddrPort, body message.Body) {
	switch m := body.(type) {
	case *message.Open:
		v.send(from, &message.Bound{Flow: m.Flow, Binding: message.Binding{Target: v.chooseTarget(m.Service, m.Flow).ID, Epoch: 1}})
	case *message.Request:
		v.handleRequest(from, m)
	case *message.Answer:
		v.handleAnswer(m)
	case *message.Shed:
		key := message.RequestKey{Flow: m.Flow, ID: m.ID}
		v.send(v.callers[key], &message.Refusal{Flow: m.Flow, ID: m.ID, Attempt: m.Attempt, Reason: message.NotRun})
	}
}

func (v *stubVM) chooseTarget(service message.ServiceID, flow message.FlowID) Target {
	var candidates []Target
	for _, t := range v.targets {
		matches := message.ServiceIDOf(v.workload.Services[t.Service].Name) == service
		if matches != (v.fault == wrongService) {
			candidates = append(candidates, t)
		}
	}
	return candidates[flow.Lo%uint64(len(candidates))]
}

// handleRequest dispatches each part once and replays the answers to a
// retransmission.
func (v *stubVM) handleRequest(from netip.AddrPort, m *message.Request) {
	part := partKey{m.Key(), m.Attempt, m.Part}
	if v.dispatched[part] {
		for _, a := range v.answers[m.Key()] {
			v.send(from, a)
		}
		return
	}
	v.dispatched[part] = true
	v.callers[m.Key()] = from
	t := v.chooseTarget(m.Service, m.Flow)
	d := &message.Dispatch{
		Service: m.Service, Target: t.ID, Flow: m.Flow, ID: m.ID, Attempt: m.Attempt, Kind: m.Kind, Open: true,
		Deadline: m.Deadline, Part: m.Part, Parts: m.Parts, Payload: m.Payload,
	}
	v.send(t.Requests, d)
	if v.fault == doubleDispatch {
		duplicate := *d
		duplicate.Attempt += 1000 // keeps the parts of the two dispatches apart
		v.send(t.Requests, &duplicate)
	}
	if v.fault == falseNotRun {
		refusal := &message.Refusal{Flow: m.Flow, ID: m.ID, Attempt: m.Attempt, Reason: message.NotRun, RetryAfter: time.Minute}
		v.send(from, refusal)
	}
}

func (v *stubVM) handleAnswer(m *message.Answer) {
	if m.Attempt > 1000 || v.fault == falseNotRun {
		return
	}
	if v.fault == wrongAnswer {
		m.Payload, v.lastPayload = v.lastPayload, m.Payload
	}
	v.answers[m.Key()] = append(v.answers[m.Key()], m)
	v.send(v.callers[m.Key()], m)
}

func (v *stubVM) send(to netip.AddrPort, body message.Body) {
	if data, err := wire.Append(nil, body); err == nil {
		_, _ = v.conn.WriteToUDPAddrPort(data, to)
	}
}

// freePort returns the first of count consecutive free ports.
func freePort(t *testing.T, count uint16) uint16 {
	for base := uint16(22000); base < 60000; base += 100 {
		if portsAreFree(base, count) {
			return base
		}
	}
	t.Fatal("no free ports")
	return 0
}

func portsAreFree(base, count uint16) bool {
	for port := base; port < base+count; port++ {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addr))
		if err != nil {
			return false
		}
		tcp.Close()
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		if err != nil {
			return false
		}
		udp.Close()
	}
	return true
}

// runAgainstStub runs the test workload against targets and a stub VM.
func runAgainstStub(t *testing.T, f fault, network fabric.Settings) (*Report, error) {
	w, err := ParseWorkload([]byte(testWorkload))
	if err != nil {
		t.Fatal(err)
	}
	targets := w.Targets(netip.MustParseAddr("127.0.0.1"), freePort(t, 6))
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- ServeTargets(ctx, w, targets, "", TargetOptions{Seed: 1, Backlog: 100}) }()
	defer func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}()
	network.VMs = []fabric.VM{{Addr: startStub(t, w, targets, f), Domain: "x"}}
	return Load(ctx, LoadOptions{
		Workload: w, Targets: targets, Fabric: network, Duration: 500 * time.Millisecond, Sockets: 2, Seed: 1,
	})
}

// TestLoadWithNetworkFaults guards against a generator or oracle that reports broken
// promises of a correct VM when the network loses, duplicates and reorders datagrams.
func TestLoadWithNetworkFaults(t *testing.T) {
	is := is.New(t)
	report, err := runAgainstStub(t, noFault, fabric.Settings{Loss: 0.02, Duplicate: 0.02, Reorder: 0.02})
	is.NoErr(err)
	ended, completed, flows, work := 0, 0, 0, 0
	for _, k := range report.Kinds {
		completed += k.Completed
		ended += k.Completed + k.NotRun + k.MayHaveRun + k.Deadline + k.Cancelled + k.Overloaded
		ended -= k.Offered
	}
	for _, target := range report.Targets {
		flows += target.Flows
		work += target.Executions
	}
	is.Equal(ended, 0) // every offered call ended once
	is.True(completed > 0)
	is.True(work >= completed)
	is.True(flows >= 50) // a replaced flow may not be open yet at the end
	is.True(report.Session.Opens > 60)
}

// TestLoadWithoutFleet guards against a run that waits for its flows without a timeout.
func TestLoadWithoutFleet(t *testing.T) {
	is := is.New(t)
	w, err := ParseWorkload([]byte(testWorkload))
	is.NoErr(err)
	silent, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	is.NoErr(err)
	defer silent.Close()
	network := fabric.Settings{VMs: []fabric.VM{{Addr: silent.LocalAddr().(*net.UDPAddr).AddrPort()}}}
	_, err = Load(t.Context(), LoadOptions{Workload: w, Fabric: network, Duration: time.Second, OpenTimeout: 50 * time.Millisecond})
	is.True(errors.Is(err, ErrFlowsNotOpen))
}

// TestLoadDetectsBrokenPromises guards against an oracle that misses a violation.
func TestLoadDetectsBrokenPromises(t *testing.T) {
	cases := []struct {
		fault fault
		count func(Violations) int
	}{
		{doubleDispatch, func(p Violations) int { return p.DoubleExecutions }},
		{falseNotRun, func(p Violations) int { return p.FalseNotRun }},
		{wrongService, func(p Violations) int { return p.ForeignWork }},
		{wrongAnswer, func(p Violations) int { return p.WrongAnswers }},
	}
	for _, tc := range cases {
		t.Run(string(tc.fault), func(t *testing.T) {
			is := is.New(t)
			report, err := runAgainstStub(t, tc.fault, fabric.Settings{})
			is.True(errors.Is(err, ErrPromiseBroken))
			is.True(tc.count(report.Violations) > 0)
		})
	}
}
