package membership

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// vmListOf returns a VM list of the first n VMs, with the given ones marked as leaving.
func vmListOf(n int, leaving ...int) message.Message {
	list := &message.VMList{}
	for i := range n {
		m := simMember(i, 3)
		m.Incarnation = 0
		list.Members = append(list.Members, m)
	}
	for _, i := range leaving {
		list.Members[i].State = message.MemberLeaving
	}
	return message.Message{Body: list}
}

// Guards against a lagging VM list that kills or removes VMs that answer.
func TestVMListNeverKills(t *testing.T) {
	is := is.New(t)
	v := newView(6)
	version := v.Version()
	v.Receive(0, vmListOf(6))
	v.Receive(ms, vmListOf(2))
	v.Receive(2*ms, message.Message{Body: &message.VMList{}})
	advance(v, 0, 6*time.Second)
	is.Equal(len(v.Live()), 6)
	is.Equal(v.Version(), version)
}

// Guards against VMs that count as live because they are listed, and against
// listed VMs that are never probed.
func TestVMListAddsCandidates(t *testing.T) {
	is := is.New(t)
	v := newView(3)
	v.Receive(0, vmListOf(5))
	is.Equal(len(v.Live()), 3)
	is.Equal(len(v.candidates), 2)
	_, known := v.Member(simMember(4, 3).ID)
	is.True(!known)
	probed := make(map[message.VMID]bool)
	for now := time.Duration(0); now < time.Minute; now += 100 * ms {
		out, _ := v.Tick(now)
		for _, m := range out {
			probed[m.To.VM] = true
		}
		answerAll(v, now, out)
	}
	is.True(probed[simMember(3, 3).ID] && probed[simMember(4, 3).ID])
	v.Receive(time.Minute, vmListOf(3))
	is.Equal(len(v.candidates), 0)
	is.Equal(len(v.records), 3)
}

// Guards against a restarted VM that is marked as leaving because the list still shows
// its previous run, and against marks that are lost.
func TestVMListMarksLeavingOnChange(t *testing.T) {
	is := is.New(t)
	v := newView(6)
	v.Receive(0, vmListOf(6, 0, 1))
	is.Equal(stateOf(v, 1), message.MemberAlive)
	v.Receive(ms, vmListOf(6))
	v.Receive(2*ms, vmListOf(6, 0, 1))
	is.Equal(stateOf(v, 1), message.MemberLeaving)
	_, event := v.Tick(3 * ms)
	is.True(event.LeaveRequested)
	is.Equal(v.Self().State, message.MemberAlive)
	receiveGossip(v, 4*ms, 2, memberWith(1, 1, message.MemberAlive))
	v.Receive(5*ms, vmListOf(6, 0, 1))
	is.Equal(stateOf(v, 1), message.MemberAlive) // it refuted; the mark is not repeated
	_, event = v.Tick(6 * ms)
	is.True(!event.LeaveRequested)
}

// Guards against a VM without a list that can't join through its seeds.
func TestJoinThroughSeed(t *testing.T) {
	is := is.New(t)
	seed := simMember(1, 3).Control
	v := New(Config{Self: simMember(0, 3), Seeds: []netip.AddrPort{seed}}, 1, 0)
	out, _ := v.Tick(0)
	is.Equal(len(out), 2)
	is.Equal(out[0].To, message.VMAddress(0, seed))
	is.Equal(out[0].Body.(*message.Heartbeat).Self, v.Self())
	_, ok := out[1].Body.(*message.MembersPull)
	is.True(ok)
	v.Receive(ms, message.Message{Body: &message.Members{All: []message.Member{simMember(1, 3), simMember(2, 3)}}})
	is.Equal(len(v.Live()), 3)
	is.Equal(v.lastAnswer, ms)
}

// Guards against VMs that read the list once, at start, and probe VMs that left as
// planned until their records expire.
func TestOldListDoesNotKeepProbes(t *testing.T) {
	is := is.New(t)
	v := newView(6)
	v.Receive(0, vmListOf(6))
	receiveGossip(v, ms, 1, memberWith(5, 0, message.MemberLeaving))
	receiveGossip(v, 2*ms, 1, memberWith(5, 0, message.MemberDead))
	gone := simMember(5, 3).ID
	lateProbes := 0
	for now := time.Duration(0); now < 3*time.Minute; now += 100 * ms {
		out, _ := v.Tick(now)
		for _, m := range out {
			if m.To.VM == gone && now > time.Minute {
				lateProbes++
			}
		}
		answerAll(v, now, out, 5)
	}
	is.Equal(stateOf(v, 5), message.MemberDead)
	is.Equal(lateProbes, 0)
}
