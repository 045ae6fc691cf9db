package vm

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

var (
	callerAddr  = netip.MustParseAddrPort("10.9.0.1:4000")
	targetAddrs = []netip.AddrPort{
		netip.MustParseAddrPort("10.1.0.1:8000"),
		netip.MustParseAddrPort("10.1.0.2:8000"),
	}
	flow = message.FlowID{Hi: 1, Lo: 2}
)

// harness drives one VM that owns all targets: service "a" with one target and service "b"
// with another.
type harness struct {
	*VM
	t        *testing.T
	is       *is.I
	at       time.Duration
	revision int64
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, is: is.New(t), at: time.Second}
	h.VM = New(Config{
		Self: message.Member{ID: message.VMIDOf("vm1"), Name: "vm1", Domain: message.DomainIDOf("d"), State: message.MemberAlive},
		Seed: 1,
	}, h.at)
	h.putService("a", targetAddrs[0], table.Active)
	h.putService("b", targetAddrs[1], table.Active)
	h.tick(10 * time.Millisecond)
	return h
}

// putService writes a service with one target "t" and two kinds to the table.
func (h *harness) putService(name string, addr netip.AddrPort, state table.State) {
	s := table.Service{
		Name: name, Address: name,
		Kinds: []table.Kind{{Name: "k0", Urgency: table.Urgent, Share: 1}, {Name: "k1", Urgency: table.Bulk, Share: 1}},
		Targets: []table.Target{{
			Name: "t", Domain: "d", Addr: addr, Weight: 1, Limit: 1, State: state,
		}},
	}
	entries, err := table.EncodeService(&s, 1)
	h.is.NoErr(err)
	h.revision++
	for i := range entries {
		entries[i].Revision = h.revision
	}
	h.Receive(h.at, platformMessage(&message.TableDelta{Entries: entries}))
}

func (h *harness) tick(d time.Duration) []message.Message {
	h.at += d
	return append([]message.Message(nil), h.Tick(h.at)...)
}

// call sends a caller's message to the VM and returns the messages that the VM sends.
func (h *harness) call(body message.Body) []message.Body {
	return h.receive(message.CallerAddress(callerAddr), body)
}

func (h *harness) receive(from message.Address, body message.Body) []message.Body {
	var out []message.Body
	for _, m := range h.Receive(h.at, message.Message{From: from, Body: body}) {
		out = append(out, m.Body)
	}
	return out
}

func (h *harness) open(service string) message.Binding {
	h.t.Helper()
	out := h.call(&message.Open{Service: message.ServiceIDOf(service), Flow: flow})
	bound, ok := single(out).(*message.Bound)
	if !ok {
		h.t.Fatalf("Open was answered by %T", single(out))
	}
	return bound.Binding
}

func (h *harness) request(id message.RequestID, binding message.Binding) *message.Request {
	return &message.Request{
		Service: message.ServiceIDOf("a"), Flow: flow, ID: id, Attempt: 1,
		Deadline: 5 * time.Second, Parts: 1, Binding: binding, Payload: []byte("x"),
	}
}

func (h *harness) sendAnswer(id message.RequestID, from netip.AddrPort) []message.Body {
	return h.receive(message.TargetAddress(0, from), &message.Answer{Flow: flow, ID: id, Attempt: 1, Parts: 1})
}

func single(out []message.Body) message.Body {
	if len(out) != 1 {
		return nil
	}
	return out[0]
}

// expectRefusal checks that a message was answered by one refusal and nothing else.
func (h *harness) expectRefusal(out []message.Body, reason message.RefusalReason, cause message.Cause) *message.Refusal {
	h.t.Helper()
	r, ok := single(out).(*message.Refusal)
	if !ok {
		h.t.Fatalf("want one refusal, got %d messages", len(out))
	}
	if r.Reason != reason || r.Cause != cause {
		h.t.Fatalf("refused as %v (%v), want %v (%v)", r.Reason, r.Cause, reason, cause)
	}
	return r
}

func (h *harness) expectDispatch(out []message.Body) *message.Dispatch {
	h.t.Helper()
	d, ok := single(out).(*message.Dispatch)
	if !ok {
		h.t.Fatalf("want one dispatch, got %v", out)
	}
	return d
}

// Guards against the dispatch of a request that no single request log decides on.
func TestRequestsWithoutAValidEpochAreNotDispatched(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	r := h.expectRefusal(h.call(h.request(1, message.Binding{})), message.NotRun, message.CauseNoEpoch)
	h.is.Equal(r.Binding, binding)
	stale := message.Binding{Target: binding.Target, Epoch: binding.Epoch + 2}
	r = h.expectRefusal(h.call(h.request(1, stale)), message.MayHaveRun, message.CauseStaleEpoch)
	h.is.Equal(r.Binding, binding)
	h.expectDispatch(h.call(h.request(1, binding)))
}

// Guards against a packet that reaches a target of another service by a forged or wrong
// binding.
func TestBindingOfAnotherServiceIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.open("a")
	foreign := message.Binding{Target: message.TargetIDOf("b", "t"), Epoch: h.targets[message.TargetIDOf("b", "t")].epochs[0]}
	for _, body := range h.call(h.request(1, foreign)) {
		if _, ok := body.(*message.Dispatch); ok {
			t.Fatal("a request with a binding of another service was dispatched")
		}
	}
	forward := &message.Forward{Ingress: 5, Caller: callerAddr, Target: foreign.Target, Hinted: true, Inner: h.request(2, foreign)}
	for _, body := range h.receive(message.VMAddress(5, callerAddr), forward) {
		if _, ok := body.(*message.Dispatch); ok {
			t.Fatal("a forwarded request for a target of another service was dispatched")
		}
	}
}

// Guards against a refusal as "not run" or final by a VM that lacks the service, and
// against a dispatch of an unknown kind.
func TestUnknownServiceAndKind(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	unknown := h.request(1, binding)
	unknown.Service = message.ServiceIDOf("none")
	h.expectRefusal(h.call(unknown), message.Busy, message.CauseUnknownTable)
	kind := h.request(1, binding)
	kind.Kind = 9
	h.expectRefusal(h.call(kind), message.NotRun, message.CauseUnknownTable)
}

// Guards against duplicates of a request that run again before the answer, after it, or after
// the log entry has expired.
func TestDuplicatesRunOnce(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	h.expectDispatch(h.call(h.request(1, binding)))
	h.is.Equal(len(h.call(h.request(1, binding))), 0)
	h.is.Equal(len(h.sendAnswer(1, targetAddrs[0])), 1)
	_, replayed := single(h.call(h.request(1, binding))).(*message.Answer)
	h.is.True(replayed)
	for range 40 {
		h.tick(time.Second)
	}
	h.expectRefusal(h.call(h.request(1, binding)), message.MayHaveRun, message.CauseLogEvicted)
}

// Guards against answers with a forged sender: only the target's own address counts.
func TestAnswerFromAnotherAddressIsIgnored(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	h.expectDispatch(h.call(h.request(1, binding)))
	h.is.Equal(len(h.sendAnswer(1, targetAddrs[1])), 0)
	h.is.Equal(len(h.sendAnswer(1, targetAddrs[0])), 1)
}

// Guards against a target that gets only some parts of a request.
func TestPartsAreDispatchedTogether(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	parts := make([]*message.Request, 3)
	for i := range parts {
		parts[i] = h.request(1, binding)
		parts[i].Part = uint16(i)
		parts[i].Parts = 3
	}
	h.is.Equal(len(h.call(parts[2])), 0)
	h.is.Equal(len(h.call(parts[0])), 0)
	h.is.Equal(len(h.call(parts[0])), 0)
	out := h.call(parts[1])
	h.is.Equal(len(out), 3)
	for i, body := range out {
		h.is.Equal(int(body.(*message.Dispatch).Part), i)
	}
}

// Guards against exceeding the limit of a target, and against running a cancelled request.
func TestQueuedRequestWaitsForTheSlotAndCanBeCancelled(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	h.expectDispatch(h.call(h.request(1, binding)))
	h.is.Equal(len(h.call(h.request(2, binding))), 0)
	h.is.Equal(len(h.call(h.request(3, binding))), 0)
	cancel := &message.Cancel{Service: message.ServiceIDOf("a"), Flow: flow, ID: 2, Binding: binding}
	h.expectRefusal(h.call(cancel), message.NotRun, message.CauseCancelled)
	cancel.ID = 1
	_, ok := single(h.call(cancel)).(*message.TargetCancel)
	h.is.True(ok)
	out := h.sendAnswer(1, targetAddrs[0])
	h.is.Equal(len(out), 2)
	h.is.Equal(out[1].(*message.Dispatch).ID, message.RequestID(3))
}

// Guards against a shed request that can't be retried as a new attempt.
func TestShedRequestMayBeTriedAgain(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	h.expectDispatch(h.call(h.request(1, binding)))
	shed := &message.Shed{Target: binding.Target, Flow: flow, ID: 1, Attempt: 1}
	h.expectRefusal(h.receive(message.TargetAddress(binding.Target, targetAddrs[0]), shed), message.NotRun, message.CauseTargetLost)
	h.expectRefusal(h.call(h.request(1, binding)), message.NotRun, message.CauseTargetLost)
	again := h.request(1, binding)
	again.Attempt = 2
	h.expectDispatch(h.call(again))
}

// Guards against a late duplicate that reopens a closed flow.
func TestClosedFlowStaysClosed(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	h.call(&message.Close{Service: message.ServiceIDOf("a"), Flow: flow, Binding: binding})
	h.expectRefusal(h.call(h.request(1, binding)), message.FlowUnknown, message.CauseUnknownFlow)
	late := &message.Open{Service: message.ServiceIDOf("a"), Flow: flow}
	h.expectRefusal(h.call(late), message.FlowUnknown, message.CauseUnknownFlow)
}

// Guards against dispatching to a leaving target.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	h.putService("a", targetAddrs[0], table.Leaving)
	h.is.Equal(len(h.call(h.request(1, binding))), 0)
	for _, m := range h.tick(100 * time.Millisecond) {
		if _, ok := m.Body.(*message.Dispatch); ok {
			t.Fatal("a leaving target got a request")
		}
	}
}

// Guards against a table that returns to a lower revision.
func TestOldTableEntriesChangeNothing(t *testing.T) {
	h := newHarness(t)
	version := h.TableVersion()
	entries := []message.TableEntry{{Key: table.MetaKey("a"), Revision: 0}}
	h.Receive(h.at, platformMessage(&message.TableDelta{Entries: entries}))
	h.is.Equal(h.TableVersion(), version)
	h.is.True(h.Table().Service(message.ServiceIDOf("a")) != nil)
}

// Guards against a planned leave that ends while a request is in flight.
func TestLeaveWaitsForRequestsInFlight(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	h.expectDispatch(h.call(h.request(1, binding)))
	h.Leave(h.at)
	for range 20 {
		h.tick(100 * time.Millisecond)
		h.is.True(!h.HasLeft())
	}
	h.is.Equal(len(h.sendAnswer(1, targetAddrs[0])), 1)
	for range 20 {
		h.tick(100 * time.Millisecond)
	}
	h.is.True(h.HasLeft())
}

// Guards against a draining target that gets new flows from an ingress whose
// table is older.
func TestDrainingTargetTakesNoNewFlows(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	h.putService("a", targetAddrs[0], table.Draining)
	open := &message.Open{Service: message.ServiceIDOf("a"), Flow: message.FlowID{Hi: 5}}
	forward := &message.Forward{Ingress: 5, Caller: callerAddr, Target: binding.Target, Inner: open}
	h.expectRefusal(h.receive(message.VMAddress(5, callerAddr), forward), message.Busy, message.CauseNoTarget)
	h.expectDispatch(h.call(h.request(1, binding)))
}

// Guards against a cancelled request that uses its slot until its deadline.
func TestCancelledRequestFreesItsSlot(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	h.expectDispatch(h.call(h.request(1, binding)))
	h.call(h.request(2, binding))
	h.call(&message.Cancel{Service: message.ServiceIDOf("a"), Flow: flow, ID: 1, Binding: binding})
	stopped := &message.Shed{Target: binding.Target, Flow: flow, ID: 1, Attempt: 1, Started: true}
	d := h.expectDispatch(h.receive(message.TargetAddress(binding.Target, targetAddrs[0]), stopped))
	h.is.Equal(d.ID, message.RequestID(2))
	h.expectRefusal(h.call(h.request(1, binding)), message.MayHaveRun, message.CauseLogEvicted)
}

// Guards against an idempotent request that is refused forever because its recorded answer
// was evicted.
func TestIdempotentRequestRunsAgainWhenItsAnswerIsGone(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	first := h.request(1, binding)
	first.Idempotent = true
	h.expectDispatch(h.call(first))
	h.receive(message.TargetAddress(0, targetAddrs[0]), &message.Answer{
		Flow: flow, ID: 1, Attempt: 1, Parts: 1, Payload: make([]byte, DefaultMaxAnswerBytes),
	})
	h.expectRefusal(h.call(first), message.MayHaveRun, message.CauseLogEvicted)
	again := *first
	again.Attempt = 2
	h.expectDispatch(h.call(&again))
}

// Guards against a VM that retains its targets although the platform is about to remove
// it.
func TestVMListCanStartTheLeave(t *testing.T) {
	h := newHarness(t)
	list := func(state message.MemberState) {
		self := h.config.Self
		self.State = state
		h.Receive(h.at, platformMessage(&message.VMList{Members: []message.Member{self}}))
		h.tick(10 * time.Millisecond)
	}
	list(message.MemberAlive)
	h.is.True(!h.leaving)
	list(message.MemberLeaving)
	h.is.True(h.leaving)
}

// Guards against old epochs that stay valid after an incomplete handover back: the missing
// part of the log may contain requests that ran at the other VM.
func TestIncompleteHandoverBackGetsANewEpoch(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	owned := h.targets[binding.Target]
	owned.incoming = &incoming{chunks: map[uint32]*message.Handover{0: {}}}
	h.activate(owned)
	h.expectRefusal(h.call(h.request(1, binding)), message.MayHaveRun, message.CauseStaleEpoch)
}
