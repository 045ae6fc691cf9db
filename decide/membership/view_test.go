package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

const ms = time.Millisecond

// newView returns the view of VM 0 that knows the first n VMs of 3 domains.
func newView(n int) *View {
	all := make([]message.Member, n)
	for i := range n {
		all[i] = simMember(i, 3)
	}
	v := New(Config{Self: all[0]}, 1, 0)
	v.Receive(0, message.Message{Body: &message.Members{All: all}})
	v.repull = false
	return v
}

// record returns VM i with an incarnation raised by plus and a state.
func recordOf(i int, plus uint64, state message.MemberState) message.Member {
	m := simMember(i, 3)
	m.Incarnation += plus
	m.State = state
	return m
}

// hear gives the view gossip that comes from VM from.
func hear(v *View, now time.Duration, from int, updates ...message.Member) []message.Message {
	self := simMember(from, 3)
	return v.Receive(now, message.Message{Body: &message.Heartbeat{Self: self, Updates: updates}})
}

// answerAll lets every VM but the silent ones answer the heartbeats in out.
func answerAll(v *View, now time.Duration, out []message.Message, silent ...int) {
	quiet := make(map[message.VMID]bool)
	for _, i := range silent {
		quiet[simMember(i, 3).ID] = true
	}
	acks := []message.Message{}
	for _, m := range out {
		_, isHeartbeat := m.Body.(*message.Heartbeat)
		known, ok := v.Member(m.To.VM)
		if !isHeartbeat || !ok || quiet[m.To.VM] {
			continue
		}
		known.State = message.MemberAlive
		acks = append(acks, message.Message{Body: &message.HeartbeatAck{Self: known}})
	}
	for _, a := range acks {
		v.Receive(now, a)
	}
}

// advance ticks from start to end while all but the silent VMs answer.
func advance(v *View, start, end time.Duration, silent ...int) {
	for now := start; now <= end; now += 50 * ms {
		out, _ := v.Tick(now)
		answerAll(v, now, out, silent...)
	}
}

func stateOf(v *View, i int) message.MemberState {
	m, _ := v.Member(simMember(i, 3).ID)
	return m.State
}

// Guards against records that replace newer ones, and against stale gossip that
// revives a dead member.
func TestMergeOrder(t *testing.T) {
	const alive, suspect, leaving, dead = message.MemberAlive, message.MemberSuspect, message.MemberLeaving, message.MemberDead
	cases := []struct {
		name  string
		heard []message.Member
		want  message.MemberState
	}{
		{"suspect of the same incarnation", []message.Member{recordOf(1, 0, suspect)}, suspect},
		{"alive of the same incarnation does not clear", []message.Member{recordOf(1, 0, suspect), recordOf(1, 0, alive)}, suspect},
		{"higher incarnation clears", []message.Member{recordOf(1, 0, suspect), recordOf(1, 1, alive)}, alive},
		{"older suspicion is ignored", []message.Member{recordOf(1, 2, alive), recordOf(1, 1, suspect)}, alive},
		{"leaving outranks suspect", []message.Member{recordOf(1, 0, leaving), recordOf(1, 0, suspect)}, leaving},
		{"leaving member dies at once", []message.Member{recordOf(1, 0, leaving), recordOf(1, 0, dead)}, dead},
		{"stale gossip does not revive", []message.Member{recordOf(1, 0, leaving), recordOf(1, 0, dead), recordOf(1, 0, alive)}, dead},
		{"restart revives", []message.Member{recordOf(1, 0, leaving), recordOf(1, 0, dead), recordOf(1, 9, alive)}, alive},
		{"death of a live member waits for a refutation", []message.Member{recordOf(1, 0, dead)}, suspect},
		{"invalid state is ignored", []message.Member{recordOf(1, 5, 9)}, alive},
		{"short record keeps the member", []message.Member{short(recordOf(1, 0, suspect))}, suspect},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := newView(16)
			hear(v, 10*ms, 2, c.heard...)
			is.New(t).Equal(stateOf(v, 1), c.want)
		})
	}
}

// Guards against gossiped deaths that never take effect, or take effect before
// the member could refute.
func TestGossipedDeathWaitsForGrace(t *testing.T) {
	is := is.New(t)
	v := newView(60)
	member := notNeighbour(v)
	hear(v, 0, 2, recordOf(member, 0, message.MemberDead))
	advance(v, 0, 950*ms)
	is.Equal(stateOf(v, member), message.MemberSuspect)
	advance(v, 1000*ms, 1100*ms)
	is.Equal(stateOf(v, member), message.MemberDead)

	refuted := newView(60)
	hear(refuted, 0, 2, recordOf(member, 0, message.MemberDead))
	advance(refuted, 0, 900*ms)
	hear(refuted, 900*ms, 2, recordOf(member, 1, message.MemberAlive))
	advance(refuted, 950*ms, 4*time.Second)
	is.Equal(stateOf(refuted, member), message.MemberAlive)
}

// notNeighbour returns the number of a VM that v sends no heartbeats to.
func notNeighbour(v *View) int {
	v.reselect(0)
	for i := 3; ; i++ {
		if v.neighbour(simMember(i, 3).ID) == nil {
			return i
		}
	}
}

// Guards against gossip that kills a member which answers this VM's heartbeats.
func TestOwnEvidenceOutweighsGossip(t *testing.T) {
	is := is.New(t)
	v := newView(5)
	advance(v, 0, time.Second)
	hear(v, time.Second, 2, recordOf(1, 0, message.MemberSuspect))
	advance(v, time.Second, 3*time.Second)
	hear(v, 3*time.Second, 2, recordOf(1, 0, message.MemberDead))
	advance(v, 3*time.Second, 6*time.Second)
	is.Equal(stateOf(v, 1), message.MemberSuspect) // until VM 1 refutes
}

// Guards against a neighbour that counts as answering since it was chosen a
// short time ago, so that gossip of its death is dropped.
func TestNewNeighbourIsNoEvidence(t *testing.T) {
	is := is.New(t)
	v := newView(5)
	v.Tick(0)
	hear(v, 0, 2, recordOf(1, 0, message.MemberDead))
	advance(v, 50*ms, 1050*ms, 1)
	is.Equal(stateOf(v, 1), message.MemberDead)
}

// Guards against a VM that accepts being called suspect or dead, and against
// one that keeps an incarnation below that of its previous life.
func TestRefutation(t *testing.T) {
	own := simMember(0, 3).Incarnation
	cases := []struct {
		heard message.Member
		want  uint64
	}{
		{recordOf(0, 0, message.MemberAlive), own},
		{recordOf(0, 0, message.MemberSuspect), own + 1},
		{recordOf(0, 0, message.MemberDead), own + 1},
		{recordOf(0, 7, message.MemberAlive), own + 8},
		{message.Member{ID: simMember(0, 3).ID, Incarnation: own - 1, State: message.MemberDead}, own},
	}
	for i, c := range cases {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			v := newView(6)
			out := hear(v, 10*ms, 1, c.heard)
			is.Equal(v.Self().Incarnation, c.want)
			is.Equal(v.Self().State, message.MemberAlive)
			is.Equal(out[0].Body.(*message.HeartbeatAck).Self.Incarnation, c.want)
		})
	}
}

// Guards against a paused VM that goes on as owner, or that blames its
// neighbours for the time in which it did not run.
func TestPause(t *testing.T) {
	is := is.New(t)
	v := newView(5) // all are neighbours
	advance(v, 0, 2*time.Second)
	before := v.Self().Incarnation
	_, event := v.Tick(40 * time.Second)
	is.True(event.Paused)
	is.Equal(event.Gap, 38*time.Second)
	is.Equal(v.Self().Incarnation, before+1)
	is.True(!v.Isolated(40 * time.Second))
	_, event = v.Tick(40*time.Second + 1400*ms)
	is.True(!event.Paused)
	is.Equal(v.Stats().Suspicions, uint64(0))
	is.Equal(v.Stats().Deaths, uint64(0))
	advance(v, 41450*ms, 45*time.Second, 1, 2, 3, 4)
	is.Equal(len(v.Live()), 1) // the new time-out ends
}

// Guards against suspicions after a stall of this VM that is too short to count
// as a pause.
func TestStallSuspectsNobody(t *testing.T) {
	is := is.New(t)
	v := newView(5)
	advance(v, 0, 2*time.Second)
	out, event := v.Tick(3400 * ms)
	is.True(!event.Paused)
	is.Equal(v.Stats().Suspicions, uint64(0))
	answerAll(v, 3400*ms, out, 3)
	advance(v, 3450*ms, 4700*ms, 3)
	is.Equal(stateOf(v, 3), message.MemberSuspect) // the time-out still ends
}

// Guards against owners that still count on a leaving VM, and against leaving
// VMs that never become dead.
func TestLeavingMember(t *testing.T) {
	is := is.New(t)
	v := newView(6)
	advance(v, 0, time.Second)
	version := v.Version()
	hear(v, time.Second, 1, recordOf(3, 0, message.MemberLeaving))
	is.True(v.Version() != version)
	is.Equal(len(v.Live()), 5)
	is.Equal(len(v.Reachable()), 6)
	advance(v, 1050*ms, 3450*ms, 3) // the last answer came between 0.5 and 1 s
	is.Equal(stateOf(v, 3), message.MemberLeaving)
	advance(v, 3500*ms, 4100*ms, 3)
	is.Equal(stateOf(v, 3), message.MemberDead)
	is.Equal(len(v.candidates), 0) // it left as planned and is not probed
}

// Guards against a leave that neighbours learn only with the next heartbeat.
func TestLeaveIsSentAtOnce(t *testing.T) {
	is := is.New(t)
	v := newView(16)
	advance(v, 0, time.Second)
	out := v.Leave(1010 * ms)
	is.Equal(len(out), 6)
	for _, m := range out {
		is.Equal(m.Body.(*message.Heartbeat).Self.State, message.MemberLeaving)
	}
	is.Equal(len(v.Live()), 15)
	is.Equal(len(v.Reachable()), 16)
	is.Equal(len(v.Leave(1020*ms)), 0)
	hear(v, 1030*ms, 1, recordOf(0, 0, message.MemberDead))
	is.Equal(v.Self().State, message.MemberLeaving) // a refutation does not undo it
}

// Guards against retention that ends too early or never, and against growth by
// dead members.
func TestDeadMembersAreForgotten(t *testing.T) {
	is := is.New(t)
	v := newView(6)
	advance(v, 0, 5*time.Second, 3)
	is.Equal(stateOf(v, 3), message.MemberDead)
	advance(v, 5*time.Second, time.Hour, 3)
	hear(v, time.Hour, 1, recordOf(3, 0, message.MemberAlive))
	is.Equal(stateOf(v, 3), message.MemberDead)
	advance(v, time.Hour, time.Hour+6*time.Second, 3)
	is.Equal(stateOf(v, 3), message.MemberState(0))
	is.Equal(len(v.records), 5)
	is.Equal(len(v.order), 5)
}

// Guards against owner changes caused by suspicions, and against cached lists
// that keep old records.
func TestVersionFollowsTheLiveSet(t *testing.T) {
	is := is.New(t)
	v := newView(6)
	live := v.Live()
	domain := v.InDomain(simMember(1, 3).Domain)
	version := v.Version()
	hear(v, 10*ms, 2, recordOf(1, 0, message.MemberSuspect))
	hear(v, 20*ms, 2, recordOf(1, 4, message.MemberAlive))
	is.Equal(v.Version(), version)
	for _, list := range [][]message.Member{live, domain, v.Live()} {
		for _, m := range list {
			is.True(m.ID != simMember(1, 3).ID || m.Incarnation == recordOf(1, 4, 0).Incarnation)
		}
	}
	moved := recordOf(1, 5, message.MemberAlive)
	moved.Data = simMember(77, 3).Data
	hear(v, 30*ms, 2, moved)
	is.True(v.Version() != version)
	is.Equal(testing.AllocsPerRun(100, func() {
		v.Live()
		v.InDomain(moved.Domain)
		v.IsRelay()
	}), 0.0)
}

// Guards against a partitioned VM that does not notice, and a VM that thinks it
// is alone after the others left as planned.
func TestIsolated(t *testing.T) {
	is := is.New(t)
	v := newView(4)
	advance(v, 0, time.Second)
	is.True(!v.Isolated(3450 * ms)) // the last answer came after 0.5 s
	advance(v, 1050*ms, 5*time.Second, 1, 2, 3)
	is.True(v.Isolated(5 * time.Second))
	is.Equal(len(v.Live()), 1)

	left := newView(2)
	hear(left, 0, 1, recordOf(1, 0, message.MemberLeaving))
	advance(left, 0, 5*time.Second, 1)
	is.True(!left.Isolated(5 * time.Second))
	is.True(!New(Config{Self: simMember(0, 3)}, 1, 0).Isolated(time.Hour))
}

// Guards against a takeover of a domain's targets before the domain was empty
// for long enough.
func TestDomainEmptySince(t *testing.T) {
	is := is.New(t)
	v := newView(3)
	domain := simMember(1, 3).Domain
	_, empty := v.DomainEmptyFor(domain, time.Second)
	is.True(!empty)
	advance(v, 0, 3500*ms, 1)
	died := v.records[simMember(1, 3).ID].since
	since, empty := v.DomainEmptyFor(domain, 5*time.Second)
	is.True(empty)
	is.Equal(since, 5*time.Second-died)
	since, empty = v.DomainEmptyFor(12345, 7*time.Second)
	is.True(empty)
	is.Equal(since, 7*time.Second)
	v.Tick(60 * time.Second)
	since, _ = v.DomainEmptyFor(domain, 60*time.Second)
	is.Equal(since, time.Duration(0)) // time in a pause does not count
}

// Guards against views that choose different relays, and heartbeats without the
// table's version.
func TestRelaysAndTable(t *testing.T) {
	is := is.New(t)
	v := newView(30)
	domain := simMember(0, 3).Domain
	relays := v.Relays(domain)
	is.Equal(len(relays), 2)
	is.Equal(v.IsRelay(), relays[0].ID == v.Self().ID || relays[1].ID == v.Self().ID)
	is.Equal(len(v.Relays(999)), 0)
	v.Tick(0)
	v.SetTable(7, 8)
	v.RequestHeartbeats(ms)
	out, _ := v.Tick(ms)
	is.Equal(len(out), 6)
	h := out[0].Body.(*message.Heartbeat)
	is.Equal(h.TableVersion, uint64(7))
	is.Equal(h.TableHash, uint64(8))
}

// Guards against members that can't be used since only a short record of them
// is known.
func TestShortRecordOfUnknownSender(t *testing.T) {
	is := is.New(t)
	v := newView(3)
	self := short(recordOf(9, 0, message.MemberAlive))
	out := v.Receive(0, message.Message{From: message.VMAddress(self.ID, simMember(9, 3).Control), Body: &message.Heartbeat{Self: self}})
	ack := out[0].Body.(*message.HeartbeatAck)
	is.Equal(out[0].To.Addr, simMember(9, 3).Control)
	is.True(asksForSelf(ack.Updates, self.ID))
	is.Equal(len(v.Live()), 3)
	hear(v, 0, 9)
	is.Equal(len(v.Live()), 4)
}

// Guards against a neighbour that lost this VM's record, as a restarted one has,
// and never gets it in full again.
func TestFullRecordIsRepeatedOnRequest(t *testing.T) {
	is := is.New(t)
	v := newView(2)
	ack := &message.HeartbeatAck{Self: simMember(1, 3)}
	heartbeat := func(now time.Duration) message.Member {
		v.RequestHeartbeats(now)
		out, _ := v.Tick(now)
		v.Receive(now, message.Message{Body: ack})
		return out[0].Body.(*message.Heartbeat).Self
	}
	is.Equal(heartbeat(0), v.Self())
	is.Equal(heartbeat(ms), short(v.Self()))
	ack.Updates = []message.Member{{ID: v.Self().ID, State: message.MemberDead}}
	is.Equal(heartbeat(2*ms), short(v.Self()))
	is.Equal(heartbeat(3*ms), v.Self())
	is.Equal(v.Stats().Refutations, uint64(0))
}

// Guards against an answer to a pull that is too large for one message.
func TestMembersAnswerIsChunked(t *testing.T) {
	is := is.New(t)
	v := newView(1200)
	out := v.Receive(0, message.Message{Body: &message.MembersPull{}})
	total := 0
	for _, m := range out {
		chunk := m.Body.(*message.Members).All
		is.True(len(chunk) <= membersChunk)
		total += len(chunk)
	}
	is.Equal(total, 1200)
}

// Guards against an answer to the address that a message came from. On a TCP
// link that is the sender's own end, where nothing listens.
func TestPullIsAnsweredAtTheControlAddress(t *testing.T) {
	is := is.New(t)
	v := newView(6)
	sender := simMember(3, 3)
	link := message.VMAddress(sender.ID, netip.MustParseAddrPort("127.0.0.1:50000"))
	out := v.Receive(0, message.Message{From: link, Body: &message.MembersPull{}})
	is.Equal(len(out), 1)
	is.Equal(out[0].To, message.VMAddress(sender.ID, sender.Control))
}
