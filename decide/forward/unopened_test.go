package forward

import (
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/halfopen"
	"github.com/gypsumspan/gypsumspan/decide/relay"
)

// unopenedAt returns what a VM tells of a caller's flow that has not opened at t.
func unopenedAt(caller uint16, t *catalog.Target, age time.Duration) halfopen.Unopened {
	return halfopen.Unopened{Flow: key(caller), TargetCookie: uint32(t.Cookie), SYNSeq: 100, Age: age}
}

// Guards against a half-open flow at a target that another VM has chosen: that VM tells of the flow, a
// second time in case that the first is lost, and the VM at which it has opened has the target as
// superseded, whichever comes first.
func TestUnopenedFlowOfAnotherVM(t *testing.T) {
	one := newHarness(t)
	first := one.f.Receive(0, syn(1, 0)).Target
	one.f.Tick(100 * ms)
	one.Equal(len(one.f.TakeUnopened()), 0)
	one.f.Tick(600 * ms)
	u := unopenedAt(1, first, 600*ms)
	one.Equal(one.f.TakeUnopened(), []halfopen.Unopened{u})
	one.f.Tick(1200 * ms)
	one.Equal(len(one.f.TakeUnopened()), 0)
	one.f.Tick(2500 * ms) // its record has expired
	one.Equal(one.f.Flows(), 0)
	one.Equal(one.f.TakeUnopened(), []halfopen.Unopened{unopenedAt(1, first, 2500*ms)})
	one.f.Tick(4 * time.Second)
	one.Equal(len(one.f.TakeUnopened()), 0)

	for _, openFirst := range []bool{true, false} {
		other := newHarness(t)
		other.f.Receive(0, ackPacket(100, first.Cookie, 101, 500, 0)) // a flow there, so that the next goes elsewhere
		second := other.f.Receive(200*ms, syn(1, 1)).Target
		other.True(second.ID != first.ID)
		superseded := []*catalog.Target{other.f.View().Target(first.ID)}
		if openFirst {
			other.f.Receive(210*ms, ackPacket(1, second.Cookie, 101, 500, 10))
			v, outcome := other.f.HandleUnopened(700*ms, u)
			other.Equal(outcome, UnopenedSuperseded)
			other.Equal(v.Superseded, superseded)
			other.Equal(v.Cookie, second.Cookie)
		} else {
			v, outcome := other.f.HandleUnopened(205*ms, u)
			other.Equal(outcome, UnopenedOpening)
			other.Equal(len(v.Superseded), 0)
			other.Equal(other.f.Receive(210*ms, ackPacket(1, second.Cookie, 101, 500, 10)).Superseded, superseded)
		}
		// A flow that opened at that target, and one that this VM does not know.
		v, outcome := other.f.HandleUnopened(time.Second, unopenedAt(1, second, 0))
		other.Equal(outcome, UnopenedSameTarget)
		other.Equal(len(v.Superseded), 0)
		v, outcome = other.f.HandleUnopened(time.Second, unopenedAt(9, second, 0))
		other.Equal(outcome, UnopenedUnknown)
		other.Equal(len(v.Superseded), 0)
	}
}

// Guards against a SYN to a target that has given the flow up, and would take it for a new one.
func TestNoCorrectionOnceTheTargetMayHaveGivenUp(t *testing.T) {
	one, other := newHarness(t), newHarness(t)
	first := one.f.Receive(0, syn(1, 0)).Target
	other.f.Receive(0, ackPacket(100, first.Cookie, 101, 500, 0))
	second := other.f.Receive(200*ms, syn(1, 1)).Target
	other.f.Receive(210*ms, ackPacket(1, second.Cookie, 101, 500, 10))
	v, outcome := other.f.HandleUnopened(8*time.Second, unopenedAt(1, first, halfopen.MaxCorrectionAge))
	other.Equal(outcome, UnopenedTooOld)
	other.Equal(len(v.Superseded), 0)

	one.f.Tick(600 * ms)
	opened := halfopen.Opened{Flow: key(1), TargetCookie: uint32(second.Cookie), SYNSeq: 100}
	one.Equal(one.f.HandleOpened(halfopen.MaxCorrectionAge-ms, opened).Superseded, []*catalog.Target{first})
	one.Equal(len(one.f.HandleOpened(halfopen.MaxCorrectionAge, opened).Superseded), 0)
}

// Guards against a half-open flow that only its sender can correct: the VM at which it has opened has
// no SYN of it.
func TestSenderOfTheSYNCorrectsItsTarget(t *testing.T) {
	r := newHarness(t)
	first := r.f.Receive(0, syn(1, 0)).Target
	second := r.f.View().Target("i-4")
	r.f.Tick(600 * ms)
	r.f.Tick(3 * time.Second) // its record has expired
	opened := halfopen.Opened{Flow: key(1), TargetCookie: uint32(second.Cookie), SYNSeq: 100}
	v := r.f.HandleOpened(3*time.Second, opened)
	r.Equal(v.Superseded, []*catalog.Target{first})
	r.Equal(v.Target, second)
	opened.SYNSeq++ // another flow of the same four-tuple
	r.Equal(len(r.f.HandleOpened(3*time.Second, opened).Superseded), 0)
}

// Guards against flows that are named to other VMs although they opened, were retransmitted here, or
// have no target.
func TestOpenFlowsAreNotUnopened(t *testing.T) {
	r := newHarness(t)
	r.openFlow(0, 1)
	r.f.Receive(0, syn(2, 0))
	r.f.Receive(200*ms, syn(2, 1))
	r.f.Tick(600 * ms)
	r.Equal(len(r.f.TakeUnopened()), 0)
}

// Guards against flows that wait for a target which other VMs know to be silent: the VM names it once
// for many SYNs, and the first retransmission of another VM leaves it.
func TestUnansweredSYNsAreToldToOtherVMs(t *testing.T) {
	one, other := newHarness(t), newHarness(t)
	silent := one.f.Receive(0, syn(1, 0)).Target
	for caller := uint16(2); caller < 10; caller++ {
		one.f.Receive(ms, syn(caller, 0))
	}
	one.f.Receive(200*ms, syn(1, 1))
	one.Equal(one.f.TakeUnanswered(), []uint32{uint32(silent.Cookie)})
	one.Equal(len(one.f.TakeUnanswered()), 0)

	first := other.f.Receive(0, syn(1, 0)).Target
	other.Equal(first.ID, silent.ID)
	other.f.HandleUnanswered(190*ms, relay.UnansweredSYN{TargetCookie: uint32(silent.Cookie), VM: "vm-1"})
	other.True(other.f.Receive(200*ms, syn(1, 1)).Target != first)
}
