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

// bench is one VM that owns everything, with service "a" on one target and
// service "b" on another.
type bench struct {
	*VM
	t        *testing.T
	is       *is.I
	at       time.Duration
	revision int64
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, is: is.New(t), at: time.Second}
	b.VM = New(Config{
		Self: message.Member{ID: message.VMIDOf("vm1"), Name: "vm1", Domain: message.DomainIDOf("d"), State: message.MemberAlive},
		Seed: 1,
	}, b.at)
	b.put("a", targetAddrs[0], table.Active)
	b.put("b", targetAddrs[1], table.Active)
	b.tick(10 * time.Millisecond)
	return b
}

// put writes a service with one target "t" and two kinds.
func (b *bench) put(name string, addr netip.AddrPort, state table.State) {
	s := table.Service{
		Name: name, Address: name,
		Kinds: []table.Kind{{Name: "k0", Urgency: table.Urgent, Share: 1}, {Name: "k1", Urgency: table.Bulk, Share: 1}},
		Targets: []table.Target{{
			Name: "t", Domain: "d", Addr: addr, Weight: 1, Limit: 1, State: state,
		}},
	}
	entries, err := table.EncodeService(&s, 1)
	b.is.NoErr(err)
	b.revision++
	for i := range entries {
		entries[i].Revision = b.revision
	}
	b.Receive(b.at, platformMessage(&message.TableDelta{Entries: entries}))
}

func (b *bench) tick(d time.Duration) []message.Message {
	b.at += d
	return append([]message.Message(nil), b.Tick(b.at)...)
}

// call sends a caller's message and returns what the VM sends.
func (b *bench) call(body message.Body) []message.Body {
	return b.receive(message.CallerAddress(callerAddr), body)
}

func (b *bench) receive(from message.Address, body message.Body) []message.Body {
	var out []message.Body
	for _, m := range b.Receive(b.at, message.Message{From: from, Body: body}) {
		out = append(out, m.Body)
	}
	return out
}

func (b *bench) open(service string) message.Binding {
	b.t.Helper()
	out := b.call(&message.Open{Service: message.ServiceIDOf(service), Flow: flow})
	bound, ok := only(out).(*message.Bound)
	if !ok {
		b.t.Fatalf("Open was answered by %T", only(out))
	}
	return bound.Binding
}

func (b *bench) request(id message.RequestID, binding message.Binding) *message.Request {
	return &message.Request{
		Service: message.ServiceIDOf("a"), Flow: flow, ID: id, Attempt: 1,
		Deadline: 5 * time.Second, Parts: 1, Binding: binding, Payload: []byte("x"),
	}
}

func (b *bench) answer(id message.RequestID, from netip.AddrPort) []message.Body {
	return b.receive(message.TargetAddress(0, from), &message.Answer{Flow: flow, ID: id, Attempt: 1, Parts: 1})
}

func only(out []message.Body) message.Body {
	if len(out) != 1 {
		return nil
	}
	return out[0]
}

// expectRefusal checks that a message was answered by one refusal and nothing else.
func (b *bench) expectRefusal(out []message.Body, reason message.RefusalReason, cause message.Cause) *message.Refusal {
	b.t.Helper()
	r, ok := only(out).(*message.Refusal)
	if !ok {
		b.t.Fatalf("want one refusal, got %d messages", len(out))
	}
	if r.Reason != reason || r.Cause != cause {
		b.t.Fatalf("refused as %v (%v), want %v (%v)", r.Reason, r.Cause, reason, cause)
	}
	return r
}

func (b *bench) expectDispatch(out []message.Body) *message.Dispatch {
	b.t.Helper()
	d, ok := only(out).(*message.Dispatch)
	if !ok {
		b.t.Fatalf("want one dispatch, got %v", out)
	}
	return d
}

// Guards against a request that no single log decides on.
func TestRequestsWithoutAValidStampAreNotDispatched(t *testing.T) {
	b := newBench(t)
	binding := b.open("a")
	r := b.expectRefusal(b.call(b.request(1, message.Binding{})), message.NotRun, message.CauseNoStamp)
	b.is.Equal(r.Binding, binding)
	stale := message.Binding{Target: binding.Target, Epoch: binding.Epoch + 2}
	r = b.expectRefusal(b.call(b.request(1, stale)), message.MayHaveRun, message.CauseStaleEpoch)
	b.is.Equal(r.Binding, binding)
	b.expectDispatch(b.call(b.request(1, binding)))
}

// Guards against a packet that reaches a target of another service by a forged or
// confused binding.
func TestBindingOfAnotherServiceIsIgnored(t *testing.T) {
	b := newBench(t)
	b.open("a")
	foreign := message.Binding{Target: message.TargetIDOf("b", "t"), Epoch: b.targets[message.TargetIDOf("b", "t")].epochs[0]}
	for _, body := range b.call(b.request(1, foreign)) {
		if _, ok := body.(*message.Dispatch); ok {
			t.Fatal("a request with a binding of another service was dispatched")
		}
	}
	forward := &message.Forward{Ingress: 5, Caller: callerAddr, Target: foreign.Target, Hinted: true, Inner: b.request(2, foreign)}
	for _, body := range b.receive(message.VMAddress(5, callerAddr), forward) {
		if _, ok := body.(*message.Dispatch); ok {
			t.Fatal("a forwarded request for a target of another service was dispatched")
		}
	}
}

// Guards against refusals that claim more than this VM knows.
func TestUnknownServiceAndKind(t *testing.T) {
	b := newBench(t)
	binding := b.open("a")
	unknown := b.request(1, binding)
	unknown.Service = message.ServiceIDOf("none")
	b.expectRefusal(b.call(unknown), message.Busy, message.CauseUnknownTable)
	kind := b.request(1, binding)
	kind.Kind = 9
	b.expectRefusal(b.call(kind), message.NotRun, message.CauseUnknownTable)
}

// Guards against copies that run again, before the answer, after it, and after
// the log entry is gone.
func TestCopiesRunOnce(t *testing.T) {
	b := newBench(t)
	binding := b.open("a")
	b.expectDispatch(b.call(b.request(1, binding)))
	b.is.Equal(len(b.call(b.request(1, binding))), 0)
	b.is.Equal(len(b.answer(1, targetAddrs[0])), 1)
	_, replayed := only(b.call(b.request(1, binding))).(*message.Answer)
	b.is.True(replayed)
	for range 40 {
		b.tick(time.Second)
	}
	b.expectRefusal(b.call(b.request(1, binding)), message.MayHaveRun, message.CauseLogEvicted)
}

// Guards against an answer that another process sends in the target's name.
func TestAnswerFromAnotherAddressIsIgnored(t *testing.T) {
	b := newBench(t)
	binding := b.open("a")
	b.expectDispatch(b.call(b.request(1, binding)))
	b.is.Equal(len(b.answer(1, targetAddrs[1])), 0)
	b.is.Equal(len(b.answer(1, targetAddrs[0])), 1)
}

// Guards against a target that gets part of a request.
func TestPartsAreDispatchedTogether(t *testing.T) {
	b := newBench(t)
	binding := b.open("a")
	parts := make([]*message.Request, 3)
	for i := range parts {
		parts[i] = b.request(1, binding)
		parts[i].Part = uint16(i)
		parts[i].Parts = 3
	}
	b.is.Equal(len(b.call(parts[2])), 0)
	b.is.Equal(len(b.call(parts[0])), 0)
	b.is.Equal(len(b.call(parts[0])), 0)
	out := b.call(parts[1])
	b.is.Equal(len(out), 3)
	for i, body := range out {
		b.is.Equal(int(body.(*message.Dispatch).Part), i)
	}
}

// Guards against a limit that is passed, and against a cancelled request that runs.
func TestQueuedRequestWaitsForTheSlotAndCanBeCancelled(t *testing.T) {
	b := newBench(t)
	binding := b.open("a")
	b.expectDispatch(b.call(b.request(1, binding)))
	b.is.Equal(len(b.call(b.request(2, binding))), 0)
	b.is.Equal(len(b.call(b.request(3, binding))), 0)
	cancel := &message.Cancel{Service: message.ServiceIDOf("a"), Flow: flow, ID: 2, Binding: binding}
	b.expectRefusal(b.call(cancel), message.NotRun, message.CauseCancelled)
	cancel.ID = 1
	_, ok := only(b.call(cancel)).(*message.TargetCancel)
	b.is.True(ok)
	out := b.answer(1, targetAddrs[0])
	b.is.Equal(len(out), 2)
	b.is.Equal(out[1].(*message.Dispatch).ID, message.RequestID(3))
}

// Guards against "not run" for a request that the target started.
func TestShedRequestMayBeTriedAgain(t *testing.T) {
	b := newBench(t)
	binding := b.open("a")
	b.expectDispatch(b.call(b.request(1, binding)))
	shed := &message.Shed{Target: binding.Target, Flow: flow, ID: 1, Attempt: 1}
	b.expectRefusal(b.receive(message.TargetAddress(binding.Target, targetAddrs[0]), shed), message.NotRun, message.CauseTargetLost)
	b.expectRefusal(b.call(b.request(1, binding)), message.NotRun, message.CauseTargetLost)
	again := b.request(1, binding)
	again.Attempt = 2
	b.expectDispatch(b.call(again))
}

// Guards against a late copy that opens a closed flow again.
func TestClosedFlowStaysClosed(t *testing.T) {
	b := newBench(t)
	binding := b.open("a")
	b.call(&message.Close{Service: message.ServiceIDOf("a"), Flow: flow, Binding: binding})
	b.expectRefusal(b.call(b.request(1, binding)), message.FlowUnknown, message.CauseUnknownFlow)
	late := &message.Open{Service: message.ServiceIDOf("a"), Flow: flow}
	b.expectRefusal(b.call(late), message.FlowUnknown, message.CauseUnknownFlow)
}

// Guards against new work for a target that is leaving.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	b := newBench(t)
	binding := b.open("a")
	b.put("a", targetAddrs[0], table.Leaving)
	b.is.Equal(len(b.call(b.request(1, binding))), 0)
	for _, m := range b.tick(100 * time.Millisecond) {
		if _, ok := m.Body.(*message.Dispatch); ok {
			t.Fatal("a leaving target got a request")
		}
	}
}

// Guards against a table that goes back to a lower revision.
func TestOldTableEntriesChangeNothing(t *testing.T) {
	b := newBench(t)
	version := b.TableVersion()
	entries := []message.TableEntry{{Key: table.MetaKey("a"), Revision: 0}}
	b.Receive(b.at, platformMessage(&message.TableDelta{Entries: entries}))
	b.is.Equal(b.TableVersion(), version)
	b.is.True(b.Table().Service(message.ServiceIDOf("a")) != nil)
}

// Guards against a planned leave that ends while a request is in flight.
func TestLeaveWaitsForRequestsInFlight(t *testing.T) {
	b := newBench(t)
	binding := b.open("a")
	b.expectDispatch(b.call(b.request(1, binding)))
	b.Leave(b.at)
	for range 20 {
		b.tick(100 * time.Millisecond)
		b.is.True(!b.HasLeft())
	}
	b.is.Equal(len(b.answer(1, targetAddrs[0])), 1)
	for range 20 {
		b.tick(100 * time.Millisecond)
	}
	b.is.True(b.HasLeft())
}

// Guards against a draining target that gets new flows from an ingress whose
// table is older.
func TestDrainingTargetTakesNoNewFlows(t *testing.T) {
	b := newBench(t)
	binding := b.open("a")
	b.put("a", targetAddrs[0], table.Draining)
	open := &message.Open{Service: message.ServiceIDOf("a"), Flow: message.FlowID{Hi: 5}}
	forward := &message.Forward{Ingress: 5, Caller: callerAddr, Target: binding.Target, Inner: open}
	b.expectRefusal(b.receive(message.VMAddress(5, callerAddr), forward), message.Busy, message.CauseNoTarget)
	b.expectDispatch(b.call(b.request(1, binding)))
}

// Guards against a slot that a cancelled request keeps until its deadline.
func TestCancelledRequestFreesItsSlot(t *testing.T) {
	b := newBench(t)
	binding := b.open("a")
	b.expectDispatch(b.call(b.request(1, binding)))
	b.call(b.request(2, binding))
	b.call(&message.Cancel{Service: message.ServiceIDOf("a"), Flow: flow, ID: 1, Binding: binding})
	stopped := &message.Shed{Target: binding.Target, Flow: flow, ID: 1, Attempt: 1, Started: true}
	d := b.expectDispatch(b.receive(message.TargetAddress(binding.Target, targetAddrs[0]), stopped))
	b.is.Equal(d.ID, message.RequestID(2))
	b.expectRefusal(b.call(b.request(1, binding)), message.MayHaveRun, message.CauseLogEvicted)
}

// Guards against an idempotent request that is refused for ever because its
// recorded answer was dropped to make room.
func TestIdempotentRequestRunsAgainWhenItsAnswerIsGone(t *testing.T) {
	b := newBench(t)
	binding := b.open("a")
	first := b.request(1, binding)
	first.Idempotent = true
	b.expectDispatch(b.call(first))
	b.receive(message.TargetAddress(0, targetAddrs[0]), &message.Answer{
		Flow: flow, ID: 1, Attempt: 1, Parts: 1, Payload: make([]byte, DefaultAnswerBytes),
	})
	b.expectRefusal(b.call(first), message.MayHaveRun, message.CauseLogEvicted)
	again := *first
	again.Attempt = 2
	b.expectDispatch(b.call(&again))
}

// Guards against a VM that keeps its targets although the platform is about to
// take it away.
func TestVMListCanStartTheLeave(t *testing.T) {
	b := newBench(t)
	list := func(state message.MemberState) {
		self := b.config.Self
		self.State = state
		b.Receive(b.at, platformMessage(&message.VMList{Members: []message.Member{self}}))
		b.tick(10 * time.Millisecond)
	}
	list(message.MemberAlive)
	b.is.True(!b.leaving)
	list(message.MemberLeaving)
	b.is.True(b.leaving)
}

// Guards against old stamps that stay valid when a target comes back in part: the
// missing part of the log may hold requests that ran at the other VM.
func TestTargetThatCameBackInPartGetsANewEpoch(t *testing.T) {
	b := newBench(t)
	binding := b.open("a")
	owned := b.targets[binding.Target]
	owned.incoming = &incoming{chunks: map[uint32]*message.Handover{0: {}}}
	b.activate(owned)
	b.expectRefusal(b.call(b.request(1, binding)), message.MayHaveRun, message.CauseStaleEpoch)
}
