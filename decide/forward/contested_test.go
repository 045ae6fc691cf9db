package forward

import (
	"slices"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/halfopen"
)

// openCopy opens a flow whose first SYN here is a copy, and returns its target.
func (r *harness) openCopy(now time.Duration, caller uint16) *catalog.Target {
	t := r.f.Receive(now, syn(caller, 1)).Target
	r.f.Receive(now+2*ms, ackPacket(caller, t.Cookie, 101, 500, 0))
	return t
}

// otherThan returns a target of the service other than t.
func (r *harness) otherThan(t *catalog.Target) *catalog.Target {
	if other := r.f.View().Target("i-4"); other != t {
		return other
	}
	return r.f.View().Target("i-5")
}

// Guards against flows that may have two targets and pass for safe, and against needless messages
// about those that can't.
func TestWhichFlowsAreContested(t *testing.T) {
	cases := []struct {
		name      string
		play      func(*harness)
		contested bool
	}{
		{"first SYN", func(r *harness) { r.openFlow(0, 1) }, false},
		{"copy without the first SYN", func(r *harness) { r.openCopy(0, 1) }, true},
		{"copy to the same target", func(r *harness) {
			target := r.f.Receive(0, syn(1, 0)).Target
			r.f.Receive(200*ms, syn(1, 1))
			r.f.Receive(210*ms, ackPacket(1, target.Cookie, 101, 500, 0))
		}, false},
		{"copies to another target", func(r *harness) {
			r.f.Receive(0, syn(1, 0))
			r.f.Receive(200*ms, syn(1, 1))
			target := r.f.Receive(600*ms, syn(1, 2)).Target
			r.f.Receive(610*ms, ackPacket(1, target.Cookie, 101, 500, 0))
		}, true},
		{"the copy has not come here", func(r *harness) {
			target := r.f.Receive(0, syn(1, 0)).Target
			r.f.Receive(250*ms, ackPacket(1, target.Cookie, 101, 500, 0))
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t)
			c.play(r)
			r.Equal(r.f.IsContested(key(1)), c.contested)
		})
	}
}

// Guards against a single message or correction that is lost: both are repeated while the flow is in
// danger, and end with it.
func TestContestedFlowIsToldWhileItIsInDanger(t *testing.T) {
	r := newHarness(t)
	target := r.openCopy(0, 1)
	other := r.otherThan(target)
	_, outcome := r.f.HandleUnopened(500*ms, unopenedAt(1, other, 600*ms))
	r.Equal(outcome, UnopenedSuperseded)
	toDomain, toKeepers, corrections := 0, 0, 0
	for now := time.Duration(0); now < halfopen.RepeatTime; now += 500 * ms {
		r.f.Tick(now)
		forDomain, forKeepers := r.f.TakeContested(), r.f.TakeForKeepers()
		for _, o := range slices.Concat(forDomain, forKeepers) {
			r.Equal(o.TargetCookie, uint32(target.Cookie))
			r.Equal(o.SYNSeq, uint32(100))
		}
		toDomain += len(forDomain)
		toKeepers += len(forDomain) + len(forKeepers)
		for _, c := range r.f.TakeCorrections() {
			r.Equal(c, Correction{Flow: key(1), Target: target, Superseded: []*catalog.Target{other}})
			corrections++
		}
	}
	r.Equal(toDomain, 2)
	r.Equal(toKeepers, len(contestedTellTimes))
	r.Equal(corrections, len(contestedTellTimes)-1)
	r.True(r.f.IsContested(key(1)))
	r.f.Receive(halfopen.RepeatTime, ackPacket(1, other.Cookie, 101, 500, 10))
	r.True(r.f.IsContested(key(1))) // the caller still returns the wrong cookie
	r.f.Receive(halfopen.RepeatTime+10*ms, ackPacket(1, target.Cookie, 111, 600, 0))
	r.True(!r.f.IsContested(key(1)))
}

// Guards against a correction that opens a flow at a target which has started again, and holds nothing of
// before: it would count against its limit while it is cold.
func TestRestartedTargetGetsNoCorrection(t *testing.T) {
	r := newHarness(t)
	target := r.openCopy(0, 1)
	other := r.otherThan(target)
	u := unopenedAt(1, other, 600*ms)
	u.TargetBorn = 1000
	restarted := entry(4, "s", "b", catalog.Ready)
	restarted.Born = 2000
	if other.ID == "i-5" {
		restarted = entry(5, "s", "b", catalog.Ready)
		restarted.Born = 2000
	}
	r.put(500*ms, restarted)
	v, outcome := r.f.HandleUnopened(500*ms, u)
	r.Equal(outcome, UnopenedExcluded)
	r.Equal(len(v.Superseded), 0)
	for now := time.Duration(0); now < halfopen.RepeatTime; now += 500 * ms {
		r.f.Tick(now)
	}
	r.Equal(len(r.f.TakeCorrections()), 0)
}

// Guards against a VM that is killed soon after a flow has opened there, so that nobody knows of its
// target: the keepers are told at once.
func TestKeepersAreToldOfAContestedFlowAtOnce(t *testing.T) {
	r := newHarness(t)
	target := r.openCopy(0, 1)
	r.Equal(r.f.TakeForKeepers(), []halfopen.Opened{{Flow: key(1), TargetCookie: uint32(target.Cookie), SYNSeq: 100}})
}

// Guards against messages about flows that have ended.
func TestClosedFlowIsNotContested(t *testing.T) {
	r := newHarness(t)
	target := r.openCopy(0, 1)
	r.f.TakeContested()
	r.f.Receive(10*ms, flow.Packet{Flow: key(1), Flags: flow.FIN | flow.ACK, Cookie: target.Cookie, Seq: 101, Ack: 500})
	for now := time.Duration(0); now < 8*time.Second; now += 500 * ms {
		r.f.Tick(now)
	}
	r.Equal(len(r.f.TakeContested()), 0)
	r.Equal(r.f.Contested(), 0)

	r.openCopy(10*time.Second, 2)
	r.f.Receive(10010*ms, flow.Packet{Flow: key(2), Flags: flow.FIN | flow.ACK, Cookie: target.Cookie, Seq: 101, Ack: 500})
	r.f.Tick(10500 * ms)
	r.f.Receive(10600*ms, ackPacket(2, target.Cookie, 101, 500, 0)) // after the end of the flow
}

// Guards against a VM that sees the cookie of another target on an open flow and passes over it: that
// target holds the flow half-open, whoever has sent it the SYN.
func TestForeignCookieShowsTheOtherTarget(t *testing.T) {
	r := newHarness(t)
	target := r.openFlow(0, 1)
	other := r.otherThan(target)
	v := r.f.Receive(time.Second, ackPacket(1, other.Cookie, 101, 500, 10))
	r.Equal(v.Target, target)
	r.Equal(v.Superseded, []*catalog.Target{other})
	r.True(r.f.IsContested(key(1)))
	r.Equal(len(r.f.Receive(1010*ms, ackPacket(1, other.Cookie, 111, 600, 10)).Superseded), 0) // once
}

// Guards against a flow whose handshake ends through a VM that has sent no SYN of it: nobody else knows
// that it is open. Packets in the middle of a flow show nothing.
func TestHandshakeThroughAnotherVM(t *testing.T) {
	r := newHarness(t)
	target := r.f.View().Target("i-2")
	r.f.Receive(0, ackPacket(1, target.Cookie, 101, 500, 0))
	r.f.Receive(0, ackPacket(2, target.Cookie, 101, 500, 10))
	r.Equal(r.f.TakeForKeepers(), []halfopen.Opened{{Flow: key(1), TargetCookie: uint32(target.Cookie), SYNSeq: 100}})

	u := unopenedAt(1, target, 500*ms)
	r.f.HandleUnopened(500*ms, u)
	r.True(!r.f.IsContested(key(1))) // the first SYN: there is no other target
	u.Copy = true
	r.f.HandleUnopened(500*ms, u)
	r.True(r.f.IsContested(key(1)))
	_, outcome := r.f.HandleUnopened(600*ms, unopenedAt(1, r.otherThan(target), 600*ms))
	r.Equal(outcome, UnopenedSuperseded)
}

// Guards against a planned stop that leaves other VMs without what they need: its contested flows, and
// what it has been told itself.
func TestLeavingVMTellsWhatItKnows(t *testing.T) {
	r := newHarness(t)
	target := r.openCopy(0, 1)
	r.f.HandleOpened(0, halfopen.Opened{Flow: key(2), TargetCookie: uint32(target.Cookie), SYNSeq: 7, Age: time.Second})
	r.f.TakeContested()
	r.f.StartLeaving(3 * time.Second)
	r.Equal(r.f.TakeContested(), []halfopen.Opened{
		{Flow: key(1), TargetCookie: uint32(target.Cookie), SYNSeq: 100, Age: 3*time.Second - 2*ms},
		{Flow: key(2), TargetCookie: uint32(target.Cookie), SYNSeq: 7, Age: 4 * time.Second},
	})
	sent := r.f.Receive(3100*ms, syn(3, 0)).Target
	r.f.Tick(3500 * ms)
	r.f.Tick(3600 * ms)
	r.Equal(r.f.TakeUnopened(), []halfopen.Unopened{unopenedAt(3, sent, 500*ms)})
}

// Guards against memory and messages that grow in a storm of copies, and against drops that are not
// counted.
func TestContestedFlowsAreBounded(t *testing.T) {
	r := newHarness(t)
	target := r.f.View().Target("i-1")
	for caller := range uint16(maxTellQueue + 100) {
		r.f.Receive(0, syn(caller, 1))
		r.f.Receive(2*ms, ackPacket(caller, target.Cookie, 101, 500, 0))
	}
	r.f.Tick(500 * ms)
	const flows = maxTellQueue + 100
	r.Equal(r.f.FlowsNotTold(), uint64(flows-maxForKeepers+flows-maxTellQueue))
	r.Equal(len(r.f.TakeForKeepers()), maxForKeepers)
	r.Equal(len(r.f.TakeContested()), maxToldAtOnce)
	for n := range maxHints + 100 {
		k := key(1)
		k.Caller.Port, k.Caller.IP[3] = uint16(n), byte(n>>16)
		r.f.HandleOpened(0, halfopen.Opened{Flow: k, TargetCookie: uint32(target.Cookie)})
	}
	r.Equal(r.f.Hints(), maxHints)
}
