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

// newView returns the view of VM 0, which knows the first n VMs of 3 domains.
func newView(n int) *View {
	all := make([]message.Member, n)
	for i := range n {
		all[i] = simMember(i, 3)
	}
	v := New(Config{Self: all[0]}, 1, 0)
	v.Receive(0, message.Message{Body: &message.Members{All: all}})
	v.secondPullDue = false
	return v
}

// memberWith returns the record of VM i with its incarnation raised by raise and a state.
func memberWith(i int, raise uint64, state message.MemberState) message.Member {
	m := simMember(i, 3)
	m.Incarnation += raise
	m.State = state
	return m
}

// receiveGossip delivers a heartbeat of VM from with updates to the view.
func receiveGossip(v *View, now time.Duration, from int, updates ...message.Member) []message.Message {
	self := simMember(from, 3)
	return v.Receive(now, message.Message{Body: &message.Heartbeat{Self: self, Updates: updates}})
}

// answerAll delivers acks of the heartbeats in out from all VMs except the silent ones.
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

// advance ticks the view from start to end while all VMs except the silent ones answer.
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
		{"suspect of the same incarnation", []message.Member{memberWith(1, 0, suspect)}, suspect},
		{"alive of the same incarnation does not clear", []message.Member{memberWith(1, 0, suspect), memberWith(1, 0, alive)}, suspect},
		{"higher incarnation clears", []message.Member{memberWith(1, 0, suspect), memberWith(1, 1, alive)}, alive},
		{"older suspicion is ignored", []message.Member{memberWith(1, 2, alive), memberWith(1, 1, suspect)}, alive},
		{"leaving outranks suspect", []message.Member{memberWith(1, 0, leaving), memberWith(1, 0, suspect)}, leaving},
		{"leaving member dies at once", []message.Member{memberWith(1, 0, leaving), memberWith(1, 0, dead)}, dead},
		{"stale gossip does not revive", []message.Member{memberWith(1, 0, leaving), memberWith(1, 0, dead), memberWith(1, 0, alive)}, dead},
		{"restart revives", []message.Member{memberWith(1, 0, leaving), memberWith(1, 0, dead), memberWith(1, 9, alive)}, alive},
		{"death of a live member waits for a refutation", []message.Member{memberWith(1, 0, dead)}, suspect},
		{"invalid state is ignored", []message.Member{memberWith(1, 5, 9)}, alive},
		{"short record keeps the member", []message.Member{short(memberWith(1, 0, suspect))}, suspect},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := newView(16)
			receiveGossip(v, 10*ms, 2, c.heard...)
			is.New(t).Equal(stateOf(v, 1), c.want)
		})
	}
}

// Guards against gossiped deaths that never take effect, or take effect before the
// member could refute them.
func TestGossipedDeathWaitsForGrace(t *testing.T) {
	is := is.New(t)
	v := newView(60)
	member := notNeighbour(v)
	receiveGossip(v, 0, 2, memberWith(member, 0, message.MemberDead))
	advance(v, 0, 950*ms)
	is.Equal(stateOf(v, member), message.MemberSuspect)
	advance(v, 1000*ms, 1100*ms)
	is.Equal(stateOf(v, member), message.MemberDead)

	refuted := newView(60)
	receiveGossip(refuted, 0, 2, memberWith(member, 0, message.MemberDead))
	advance(refuted, 0, 900*ms)
	receiveGossip(refuted, 900*ms, 2, memberWith(member, 1, message.MemberAlive))
	advance(refuted, 950*ms, 4*time.Second)
	is.Equal(stateOf(refuted, member), message.MemberAlive)
}

// notNeighbour returns the index of a VM that is not a neighbour of v.
func notNeighbour(v *View) int {
	v.reselect(0)
	for i := 3; ; i++ {
		if v.neighbour(simMember(i, 3).ID) == nil {
			return i
		}
	}
}

// Guards against gossip that makes a member dead although it answers this VM's
// heartbeats.
func TestOwnEvidenceOutweighsGossip(t *testing.T) {
	is := is.New(t)
	v := newView(5)
	advance(v, 0, time.Second)
	receiveGossip(v, time.Second, 2, memberWith(1, 0, message.MemberSuspect))
	advance(v, time.Second, 3*time.Second)
	receiveGossip(v, 3*time.Second, 2, memberWith(1, 0, message.MemberDead))
	advance(v, 3*time.Second, 6*time.Second)
	is.Equal(stateOf(v, 1), message.MemberSuspect) // until VM 1 refutes
}

// Guards against a neighbour that counts as having answered because it was chosen only
// recently, so that gossip of its death is dropped.
func TestUnansweredNeighbourDoesNotOutweighGossip(t *testing.T) {
	is := is.New(t)
	v := newView(5)
	v.Tick(0)
	receiveGossip(v, 0, 2, memberWith(1, 0, message.MemberDead))
	advance(v, 50*ms, 1050*ms, 1)
	is.Equal(stateOf(v, 1), message.MemberDead)
}

// Guards against a VM that does not refute being suspect or dead, and against one that
// keeps an incarnation below that of its previous run.
func TestRefutation(t *testing.T) {
	own := simMember(0, 3).Incarnation
	cases := []struct {
		heard message.Member
		want  uint64
	}{
		{memberWith(0, 0, message.MemberAlive), own},
		{memberWith(0, 0, message.MemberSuspect), own + 1},
		{memberWith(0, 0, message.MemberDead), own + 1},
		{memberWith(0, 7, message.MemberAlive), own + 8},
		{message.Member{ID: simMember(0, 3).ID, Incarnation: own - 1, State: message.MemberDead}, own},
	}
	for i, c := range cases {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			is := is.New(t)
			v := newView(6)
			out := receiveGossip(v, 10*ms, 1, c.heard)
			is.Equal(v.Self().Incarnation, c.want)
			is.Equal(v.Self().State, message.MemberAlive)
			is.Equal(out[0].Body.(*message.HeartbeatAck).Self.Incarnation, c.want)
		})
	}
}

// Guards against a paused VM that remains an owner, or that counts the time in which it
// did not run as silence of its neighbours.
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
	is.Equal(len(v.Live()), 1) // the restarted timeouts expire
}

// Guards against suspicions caused by a stall of this VM that is too short to count as a
// pause.
func TestStallSuspectsNobody(t *testing.T) {
	is := is.New(t)
	v := newView(5)
	advance(v, 0, 2*time.Second)
	out, event := v.Tick(3400 * ms)
	is.True(!event.Paused)
	is.Equal(v.Stats().Suspicions, uint64(0))
	answerAll(v, 3400*ms, out, 3)
	advance(v, 3450*ms, 4700*ms, 3)
	is.Equal(stateOf(v, 3), message.MemberSuspect) // the extended timeout expires
}

// Guards against a leaving VM that stays in the live list, and against leaving VMs that
// never become dead.
func TestLeavingMember(t *testing.T) {
	is := is.New(t)
	v := newView(6)
	advance(v, 0, time.Second)
	version := v.Version()
	receiveGossip(v, time.Second, 1, memberWith(3, 0, message.MemberLeaving))
	is.True(v.Version() != version)
	is.Equal(len(v.Live()), 5)
	is.Equal(len(v.Reachable()), 6)
	advance(v, 1050*ms, 3450*ms, 3) // the last answer came between 0.5 and 1 s
	is.Equal(stateOf(v, 3), message.MemberLeaving)
	advance(v, 3500*ms, 4100*ms, 3)
	is.Equal(stateOf(v, 3), message.MemberDead)
	is.Equal(len(v.candidates), 0) // it left as planned and is not probed
}

// Guards against a leave that neighbours learn of only with the next regular heartbeat.
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
	receiveGossip(v, 1030*ms, 1, memberWith(0, 0, message.MemberDead))
	is.Equal(v.Self().State, message.MemberLeaving) // a refutation does not undo it
}

// Guards against dead members that are removed before DeadRetention or never.
func TestDeadMembersAreForgotten(t *testing.T) {
	is := is.New(t)
	v := newView(6)
	advance(v, 0, 5*time.Second, 3)
	is.Equal(stateOf(v, 3), message.MemberDead)
	advance(v, 5*time.Second, time.Hour, 3)
	receiveGossip(v, time.Hour, 1, memberWith(3, 0, message.MemberAlive))
	is.Equal(stateOf(v, 3), message.MemberDead)
	advance(v, time.Hour, time.Hour+6*time.Second, 3)
	is.Equal(stateOf(v, 3), message.MemberState(0))
	is.Equal(len(v.records), 5)
	is.Equal(len(v.order), 5)
}

// Guards against a new version, and so owner changes, caused by suspicions, and against
// cached lists with outdated records.
func TestVersionFollowsTheLiveSet(t *testing.T) {
	is := is.New(t)
	v := newView(6)
	live := v.Live()
	domain := v.InDomain(simMember(1, 3).Domain)
	version := v.Version()
	receiveGossip(v, 10*ms, 2, memberWith(1, 0, message.MemberSuspect))
	receiveGossip(v, 20*ms, 2, memberWith(1, 4, message.MemberAlive))
	is.Equal(v.Version(), version)
	for _, list := range [][]message.Member{live, domain, v.Live()} {
		for _, m := range list {
			is.True(m.ID != simMember(1, 3).ID || m.Incarnation == memberWith(1, 4, 0).Incarnation)
		}
	}
	moved := memberWith(1, 5, message.MemberAlive)
	moved.Data = simMember(77, 3).Data
	receiveGossip(v, 30*ms, 2, moved)
	is.True(v.Version() != version)
	is.Equal(testing.AllocsPerRun(100, func() {
		v.Live()
		v.InDomain(moved.Domain)
		v.IsRelay()
	}), 0.0)
}

// Guards against a partitioned VM that does not report itself isolated, and against a VM
// that does so after the others left as planned.
func TestIsolated(t *testing.T) {
	is := is.New(t)
	v := newView(4)
	advance(v, 0, time.Second)
	is.True(!v.Isolated(3450 * ms)) // the last answer came after 0.5 s
	advance(v, 1050*ms, 5*time.Second, 1, 2, 3)
	is.True(v.Isolated(5 * time.Second))
	is.Equal(len(v.Live()), 1)

	left := newView(2)
	receiveGossip(left, 0, 1, memberWith(1, 0, message.MemberLeaving))
	advance(left, 0, 5*time.Second, 1)
	is.True(!left.Isolated(5 * time.Second))
	is.True(!New(Config{Self: simMember(0, 3)}, 1, 0).Isolated(time.Hour))
}

// Guards against a wrong time since a domain became empty, which would lead to a
// takeover of its targets too early.
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
	is.Equal(since, time.Duration(0)) // the time of a pause does not count
}

// Guards against a wrong choice of relays, and against heartbeats without the table's
// version and hash.
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

// Guards against members that stay unusable because only their short record is known.
func TestShortRecordOfUnknownSender(t *testing.T) {
	is := is.New(t)
	v := newView(3)
	self := short(memberWith(9, 0, message.MemberAlive))
	out := v.Receive(0, message.Message{From: message.VMAddress(self.ID, simMember(9, 3).Control), Body: &message.Heartbeat{Self: self}})
	ack := out[0].Body.(*message.HeartbeatAck)
	is.Equal(out[0].To.Addr, simMember(9, 3).Control)
	is.True(requestsFullRecord(ack.Updates, self.ID))
	is.Equal(len(v.Live()), 3)
	receiveGossip(v, 0, 9)
	is.Equal(len(v.Live()), 4)
}

// Guards against a neighbour that lost this VM's record, for example by a restart, and
// never receives the full record again.
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

// Guards against an answer to a pull that exceeds the size of one message.
func TestMembersAnswerIsChunked(t *testing.T) {
	is := is.New(t)
	v := newView(1200)
	out := v.Receive(0, message.Message{Body: &message.MembersPull{}})
	total := 0
	for _, m := range out {
		chunk := m.Body.(*message.Members).All
		is.True(len(chunk) <= maxChunkMembers)
		total += len(chunk)
	}
	is.Equal(total, 1200)
}

// Guards against an answer to the source address of a message. For a TCP connection that
// is the sender's ephemeral port, on which nothing listens.
func TestPullIsAnsweredAtTheControlAddress(t *testing.T) {
	is := is.New(t)
	v := newView(6)
	sender := simMember(3, 3)
	link := message.VMAddress(sender.ID, netip.MustParseAddrPort("127.0.0.1:50000"))
	out := v.Receive(0, message.Message{From: link, Body: &message.MembersPull{}})
	is.Equal(len(out), 1)
	is.Equal(out[0].To, message.VMAddress(sender.ID, sender.Control))
}
