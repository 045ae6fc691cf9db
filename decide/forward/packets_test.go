package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// Guards against new flows that leave the local failure domain without load.
func TestNewFlowsStayInTheDomain(t *testing.T) {
	r := newHarness(t)
	counts := make(map[string]int)
	for caller := range uint16(30) {
		counts[r.openFlow(0, caller).ID]++
	}
	r.Equal(counts, map[string]int{"i-1": 10, "i-2": 10, "i-3": 10})
}

// Guards against verdicts that break flows or choose a wrong target.
func TestPackets(t *testing.T) {
	cases := []struct {
		name   string
		act    func(r *harness) Verdict
		action Action
		reason Reason
	}{
		{"no catalog", func(r *harness) Verdict {
			r.f = New(Config{Domain: "a"})
			return r.f.Receive(0, syn(1, 0))
		}, Drop, NotReady},
		{"no route", func(r *harness) Verdict {
			p := syn(1, 0)
			p.Flow.Address.Port++
			return r.f.Receive(0, p)
		}, Reset, NoRoute},
		{"route removed, new flow", func(r *harness) Verdict {
			r.configure(0)
			return r.f.Receive(0, syn(1, 0))
		}, Reset, NoRoute},
		{"route removed, open flow", func(r *harness) Verdict {
			target := r.openFlow(0, 1)
			r.configure(0)
			return r.f.Receive(ms, ackPacket(1, target.Cookie, 101, 500, 10))
		}, Reset, RouteRemoved},
		{"route not yet known at this VM, open flow", func(r *harness) Verdict {
			p := ackPacket(1, r.f.View().Target("i-1").Cookie, 101, 500, 10)
			p.Flow.Address.Port++
			return r.f.Receive(0, p)
		}, Forward, Continued},
		{"route changed to another service, open flow", func(r *harness) Verdict {
			target := r.openFlow(0, 1)
			r.configure(catalog.Idempotent, "u")
			return r.f.Receive(ms, ackPacket(1, target.Cookie, 101, 500, 10))
		}, Forward, Continued},
		{"flow of another VM", func(r *harness) Verdict {
			return r.f.Receive(0, ackPacket(1, r.f.View().Target("i-4").Cookie, 101, 500, 10))
		}, Forward, Continued},
		{"no target", func(r *harness) Verdict {
			r.configure(catalog.Idempotent, "empty")
			return r.f.Receive(0, syn(1, 0))
		}, Reset, NoTarget},
		{"all targets drain", func(r *harness) Verdict {
			r.configure(catalog.Idempotent, "u")
			r.put(0, entry(9, "u", "a", catalog.Draining))
			return r.f.Receive(0, syn(1, 0))
		}, Reset, NoTarget},
		{"target drains, open flow", func(r *harness) Verdict {
			target := r.openFlow(0, 1)
			r.put(ms, entry(int(target.Number), "s", "a", catalog.Draining))
			return r.f.Receive(2*ms, ackPacket(1, target.Cookie, 101, 500, 10))
		}, Forward, Continued},
		{"target gone, open flow", func(r *harness) Verdict {
			target := r.openFlow(0, 1)
			r.apply(2*time.Second, catalog.Change{RemovedTarget: target.ID})
			return r.f.Receive(2*time.Second, ackPacket(1, target.Cookie, 101, 500, 10))
		}, Reset, TargetGone},
		{"entry gone, but the target responds", func(r *harness) Verdict {
			target := r.openFlow(0, 1)
			r.apply(ms, catalog.Change{RemovedTarget: target.ID})
			return r.f.Receive(10*ms, ackPacket(1, target.Cookie, 101, 600, 10))
		}, Forward, Continued},
		{"entry gone during a store outage", func(r *harness) Verdict {
			target := r.openFlow(0, 1)
			r.f.StoreLost()
			r.f.StoreRegained(5 * time.Second)
			r.apply(5*time.Second, catalog.Change{RemovedTarget: target.ID})
			return r.f.Receive(7*time.Second, ackPacket(1, target.Cookie, 101, 500, 10))
		}, Forward, Continued},
		{"unknown cookie", func(r *harness) Verdict {
			return r.f.Receive(0, ackPacket(1, 12345, 101, 500, 10))
		}, Drop, UnknownCookie},
		{"unknown cookie for longer than ApplyWithin", func(r *harness) Verdict {
			r.f.Receive(ms, ackPacket(1, 12345, 101, 500, 10))
			return r.f.Receive(4*time.Second, ackPacket(1, 12345, 101, 500, 10))
		}, Reset, UnknownForLong},
		{"unknown cookie, longer ApplyWithin", func(r *harness) Verdict {
			r.f.config.ApplyWithin = 12 * time.Second
			r.f.Receive(ms, ackPacket(1, 12345, 101, 500, 10))
			return r.f.Receive(4*time.Second, ackPacket(1, 12345, 101, 500, 10))
		}, Drop, UnknownCookie},
		{"unknown cookie for longer than ApplyWithin, stale catalog", func(r *harness) Verdict {
			r.f.StoreLost()
			r.f.Receive(ms, ackPacket(1, 12345, 101, 500, 10))
			return r.f.Receive(4*time.Second, ackPacket(1, 12345, 101, 500, 10))
		}, Drop, UnknownCookie},
		{"no cookie", func(r *harness) Verdict {
			return r.f.Receive(0, ackPacket(1, 0, 101, 500, 10))
		}, Drop, NoCookie},
		{"late SYN retransmission", func(r *harness) Verdict {
			r.openFlow(0, 1)
			return r.f.Receive(200*ms, syn(1, 1))
		}, Drop, Continued},
		{"duplicate of the first SYN of an open flow", func(r *harness) Verdict {
			r.openFlow(0, 1)
			return r.f.Receive(200*ms, syn(1, 0))
		}, Drop, Continued},
		{"duplicate of the first SYN of a closed flow", func(r *harness) Verdict {
			p := ackPacket(1, r.openFlow(0, 1).Cookie, 101, 500, 0)
			p.Flags |= flow.FIN
			r.f.Receive(100*ms, p)
			return r.f.Receive(200*ms, syn(1, 0))
		}, Drop, Continued},
		{"port used again", func(r *harness) Verdict {
			r.openFlow(0, 1)
			p := syn(1, 0)
			p.Seq = 7000
			return r.f.Receive(200*ms, p)
		}, Forward, Placed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t)
			v := c.act(r)
			r.Equal(v.Action.String(), c.action.String())
			r.Equal(v.Reason.String(), c.reason.String())
			r.Equal(v.Target != nil && v.Cookie != v.Target.Cookie && v.Action == Forward, false)
		})
	}
}

// Guards against a flow that stays with a silent target, and against duplicate SYNs that open a
// flow at two targets. A single unanswered SYN does not show that a target is silent; the last
// retransmission leaves it all the same.
func TestRetransmittedSYN(t *testing.T) {
	r := newHarness(t)
	first := r.f.Receive(0, syn(1, 0))
	duplicate := r.f.Receive(ms, syn(1, 0))
	r.Equal(duplicate.Target, first.Target)
	second := r.f.Receive(200*ms, syn(1, 1))
	r.Equal(second.Reason, Repeated)
	r.Equal(second.Target, first.Target)
	duplicate = r.f.Receive(201*ms, syn(1, 1))
	r.Equal(duplicate.Target, first.Target)
	third := r.f.Receive(600*ms, syn(1, 2))
	r.Equal(third.Reason, PlacedAgain)
	r.True(third.Target != first.Target)
	duplicate = r.f.Receive(601*ms, syn(1, 2))
	r.Equal(duplicate.Target, third.Target)
	for caller := uint16(2); caller < 20; caller++ {
		v := r.f.Receive(610*ms, syn(caller, 0))
		r.True(v.Target != first.Target) // it is silent
	}
}

// Guards against flows that wait for a silent target: once a second flow shows that it does not
// answer, the first retransmission goes to another target.
func TestRetransmittedSYNLeavesASilentTarget(t *testing.T) {
	r := newHarness(t)
	targets := make(map[uint16]*catalog.Target)
	for caller := range uint16(6) { // two for each target of the domain
		targets[caller] = r.f.Receive(0, syn(caller, 0)).Target
	}
	dead := targets[0]
	moved := 0
	for caller := range uint16(6) {
		if targets[caller] != dead {
			r.f.Receive(5*ms, ackPacket(caller, targets[caller].Cookie, 101, 500, 0))
			continue
		}
		if v := r.f.Receive(200*ms, syn(caller, 1)); v.Target != dead {
			r.Equal(v.Reason, PlacedAgain)
			moved++
		}
	}
	r.Equal(moved, 1) // all but the first
}

// Guards against a second half-open flow after a lost answer (review/6): the target that did not
// open the flow repeats its answer, and the caller returns its cookie to VMs without a record.
func TestLostAnswerLeavesAFlowAtOneTarget(t *testing.T) {
	r := newHarness(t)
	for caller := range uint16(30) {
		start := time.Duration(caller) * time.Second
		first := r.f.Receive(start, syn(caller, 0))
		second := r.f.Receive(start+200*ms, syn(caller, 1)) // the answer to the first was lost
		r.Equal(second.Target, first.Target)
		r.Equal(second.Cookie, first.Cookie)
		r.Equal(r.f.Receive(start+205*ms, ackPacket(caller, second.Cookie, 101, 500, 10)).Target, first.Target)
	}
}

// Guards against a second response to the SYNs that moves an open flow: the caller
// returns the cookie that it received last.
func TestLateSecondSYNACKDoesNotMoveTheFlow(t *testing.T) {
	r := newHarness(t)
	first := r.f.Receive(0, syn(1, 0))
	r.f.Receive(200*ms, syn(1, 1))
	second := r.f.Receive(600*ms, syn(1, 2))
	r.True(first.Target != second.Target)
	r.Equal(r.f.Receive(610*ms, ackPacket(1, second.Cookie, 101, 500, 10)).Target, second.Target)
	v := r.f.Receive(300*ms, ackPacket(1, first.Cookie, 111, 600, 10))
	r.Equal(v.Target, second.Target)
	r.Equal(v.Cookie, second.Cookie)
}

// Guards against durations reported as 0, that is missing, because both packets were
// handled in one step.
func TestTimesWithinOneStep(t *testing.T) {
	r := newHarness(t)
	first := r.f.Receive(ms, syn(1, 0))
	v := r.f.Receive(ms, ackPacket(1, first.Cookie, 101, 500, 10))
	r.True(v.ConnectTime > 0 && v.ResponseTime == 0)
	v = r.f.Receive(ms, ackPacket(1, first.Cookie, 111, 600, 0))
	r.True(v.ConnectTime == 0 && v.ResponseTime > 0)
	r.f.Receive(2*ms, ackPacket(1, first.Cookie, 111, 600, 10))
	r.Equal(r.f.Receive(7*ms, ackPacket(1, first.Cookie, 121, 700, 0)).ResponseTime, 5*ms)
}

// Guards against a SYN that waited at this VM while it was paused, or before it had a catalog, and
// opens a half-open flow at a second target (review/7): its caller has sent the next one, or given
// up.
func TestOutdatedSYNIsDropped(t *testing.T) {
	cases := []struct {
		retransmits uint32
		age         time.Duration
		action      Action
	}{
		{0, 0, Forward},
		{0, 199 * ms, Forward},
		{0, 200 * ms, Drop},
		{1, 399 * ms, Forward},
		{1, 400 * ms, Drop},
		{2, 799 * ms, Forward},
		{2, 800 * ms, Drop},
		{3, 4 * time.Second, Drop},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.retransmits, " ", c.age), func(t *testing.T) {
			r := newHarness(t)
			p := syn(1, c.retransmits)
			p.Age = c.age
			v := r.f.Receive(5*time.Second, p)
			r.Equal(v.Action, c.action)
			r.Equal(v.Reason == Outdated, c.action == Drop)
		})
	}
}

// Guards against the cookie of a target that has a half-open flow, which repeats its answer after
// the flow has opened at another one: it is to get the SYN again, once, unless it may get no SYN.
func TestSupersededTargetGetsTheCookieOfTheOther(t *testing.T) {
	open := func(r *harness, at catalog.Target) Verdict {
		return r.f.Receive(610*ms, ackPacket(1, at.Cookie, 101, 500, 10))
	}
	r := newHarness(t)
	first := r.f.Receive(0, syn(1, 0)).Target
	r.f.Receive(200*ms, syn(1, 1))
	second := r.f.Receive(600*ms, syn(1, 2)).Target
	v := open(r, *second)
	r.Equal(v.Superseded, []*catalog.Target{first})
	r.Equal(v.Cookie, second.Cookie)
	r.Equal(len(open(r, *second).Superseded), 0)

	// The answer of the first one opens the flow.
	r = newHarness(t)
	first = r.f.Receive(0, syn(1, 0)).Target
	r.f.Receive(200*ms, syn(1, 1))
	second = r.f.Receive(600*ms, syn(1, 2)).Target
	r.Equal(open(r, *first).Superseded, []*catalog.Target{second})

	// The SYN before went through another VM.
	r = newHarness(t)
	second = r.f.Receive(600*ms, syn(1, 1)).Target
	r.Equal(open(r, *r.f.View().Target("i-5")).Superseded, []*catalog.Target{second})

	// It drains.
	r = newHarness(t)
	first = r.f.Receive(0, syn(1, 0)).Target
	r.f.Receive(200*ms, syn(1, 1))
	second = r.f.Receive(600*ms, syn(1, 2)).Target
	r.put(605*ms, entry(int(first.Number), "s", "a", catalog.Draining))
	r.Equal(len(open(r, *second).Superseded), 0)
}

// Guards against a route that was added and is refused by a VM that knows that its catalog is old.
func TestUnknownRouteIsNotRefusedByAnOldCatalog(t *testing.T) {
	r := newHarness(t)
	unknown := syn(1, 0)
	unknown.Flow.Address.Port++
	cases := []struct {
		change func()
		action Action
		reason Reason
	}{
		{func() {}, Reset, NoRoute},
		{func() { r.f.SetLacksChanges(true) }, Drop, UnknownRoute},
		{func() { r.f.SetLacksChanges(false) }, Reset, NoRoute},
		{r.f.StoreLost, Drop, UnknownRoute},
		{func() { r.f.StoreRegained(0) }, Reset, NoRoute},
	}
	for _, c := range cases {
		c.change()
		v := r.f.Receive(0, unknown)
		r.Equal(v.Action, c.action)
		r.Equal(v.Reason, c.reason)
	}
}
