package forward

import (
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/halfopen"
	"github.com/gypsumspan/gypsumspan/decide/relay"
)

// limitCold sets the configuration of newHarness, with a limit for cold targets of service s
// unless perSecond is 0.
func (r *harness) limitCold(perSecond float64) {
	r.apply(0, catalog.Change{Configuration: &catalog.Configuration{
		Version:    200,
		Routes:     []catalog.Route{{Address: service1, Shares: []catalog.Share{{Service: "s", Weight: 1}}}},
		ColdStarts: map[string]catalog.ColdStart{"s": {Duration: 5 * time.Second, RequestsPerSecond: perSecond}},
	}})
}

// cool makes targets cold that have started at born, or makes them warm.
func (r *harness) cool(now time.Duration, born int64, cold time.Duration, ids ...int) {
	for _, id := range ids {
		e := entry(id, "s", map[bool]string{true: "a", false: "b"}[id <= 3], catalog.Ready)
		e.Born, e.Cold = born, cold
		r.put(now, e)
	}
}

func (r *harness) grant(now time.Duration, id int, born int64, tokens uint32) {
	cookie := uint32(r.f.View().Target(entry(id, "s", "a", catalog.Ready).ID).Cookie)
	r.f.AddGrants(now, []relay.Grant{{TargetCookie: cookie, Born: born, Tokens: tokens}})
}

// Guards against flows at a cold target without a token, at more than one for each token in a
// second, and with tokens of another start; and against a target that stays limited when it is warm.
func TestColdTargetGetsAFlowForEachToken(t *testing.T) {
	r := newHarness(t)
	r.limitCold(4)
	r.cool(0, 7, 5*time.Second, 1, 2, 3, 4, 5)
	r.grant(0, 2, 7, 2)
	r.grant(0, 3, 6, 9)
	reset := 0
	for i := range 100 {
		now := time.Duration(i) * 10 * ms
		v := r.f.Receive(now, syn(uint16(i+1), 0))
		if v.Action == Reset {
			r.Equal(v.Reason, ColdLimit)
			reset++
			continue
		}
		r.Equal(v.Target.ID, "i-2")
	}
	r.Equal(reset, 98)
	r.Equal(r.f.FlowsKeptFromColdTargets(), uint64(100))
	r.Equal(r.f.ColdTokens(time.Second), 2)
	r.Equal(r.f.Receive(5*time.Second, syn(200, 0)).Action, Forward)
	r.Equal(r.f.ColdTokens(5*time.Second), 0)
}

// Guards against copies of a SYN that reach a cold target, each counting as another flow, and
// against a reset while the target may still answer the first one.
func TestCopyOfASYNIsNotSentToAColdTarget(t *testing.T) {
	r := newHarness(t)
	r.limitCold(4)
	r.cool(0, 7, 5*time.Second, 1, 2, 3, 4, 5)
	r.grant(0, 2, 7, 9)
	r.Equal(r.f.Receive(0, syn(1, 0)).Action, Forward)
	for i, at := range []time.Duration{10 * ms, 200 * ms, 600 * ms} {
		v := r.f.Receive(at, syn(1, uint32(i)))
		r.Equal(v.Action, Drop)
		r.Equal(v.Reason, ColdLimit)
	}
	r.cool(700*ms, 8, 0, 4)
	r.Equal(r.f.Receive(800*ms, syn(1, 3)).Target.ID, "i-4")
}

// Guards against flows at a target that may be starting again under the same id: it has left a
// SYN unanswered. It gets flows again when it responds or writes another entry.
func TestSuspectedTargetOfALimitedServiceGetsNothing(t *testing.T) {
	r := newHarness(t)
	r.limitCold(4)
	first := r.f.Receive(0, syn(1, 0)).Target
	r.Equal(first.Domain, "a")
	r.Equal(r.openFlow(100*ms, 2).Domain, "a")
	r.Equal(r.f.Receive(200*ms, syn(1, 1)).Action, Drop) // first may still answer the SYN before
	again := r.f.Receive(600*ms, syn(1, 2)).Target
	r.True(again != first)
	for i := range uint16(40) {
		at := 2*time.Second + time.Duration(i)*50*ms // the avoidance has ended
		r.True(r.openFlow(at, 100+i) != first)
	}
	e := first.Entry
	e.Slots++
	r.put(5*time.Second, &e)
	got := false
	for i := range uint16(20) {
		got = got || r.openFlow(5*time.Second, 200+i) == first
	}
	r.True(got)
}

// Guards against a VM that was cut off from all targets, and then resets new flows for the time
// for which the evidence lasts: unanswered SYNs do not show that a target starts again if none of
// its failure domain has responded since.
func TestCutOffVMUsesItsTargetsAgain(t *testing.T) {
	r := newHarness(t)
	r.limitCold(4)
	for i := range uint16(10) {
		for copies := range uint32(3) {
			r.f.Receive(time.Duration(copies)*300*ms, syn(10+i, copies))
		}
	}
	for i := range uint16(20) {
		r.openFlow(2*time.Second+time.Duration(i)*ms, 100+i)
	}
}

// Guards against a rush to targets that have become cold while their failure domain was
// evacuated, before their entries show it.
func TestRestoredDomainCountsAsCold(t *testing.T) {
	r := newHarness(t)
	r.limitCold(4)
	r.evacuate("a", true)
	r.apply(10*time.Second, catalog.Change{Evacuation: &catalog.Evacuation{Domain: "a"}})
	for i := range uint16(15) {
		r.Equal(r.openFlow(10*time.Second+time.Duration(i)*100*ms, 10+i).Domain, "b")
	}
	r.cool(11500*ms, 0, 0, 2)
	r.Equal(r.openFlow(11550*ms, 50).ID, "i-2")
	r.Equal(r.openFlow(10*time.Second+restoredDoubt, 51).Domain, "a")
}

// Guards against any change of decisions for services without a limit: with and without a
// configured cold time, with tokens, suspected targets and a restored domain, the verdicts are
// those of a forwarder whose configuration has no cold starts.
func TestServicesWithoutALimitAreUntouched(t *testing.T) {
	with, without := newHarness(t), newHarness(t)
	with.limitCold(0)
	without.apply(0, catalog.Change{Configuration: &catalog.Configuration{Version: 200, Routes: []catalog.Route{
		{Address: service1, Shares: []catalog.Share{{Service: "s", Weight: 1}}},
	}}})
	for _, r := range []*harness{with, without} {
		r.cool(0, 7, 3*time.Second, 1, 2, 4)
	}
	with.grant(0, 1, 7, 3)
	for i := range 400 {
		now := time.Duration(i) * 20 * ms
		if i == 150 || i == 200 {
			for _, r := range []*harness{with, without} {
				r.apply(now, catalog.Change{Evacuation: &catalog.Evacuation{Domain: "a", Active: i == 150}})
			}
		}
		caller, copies := uint16(i/3+1), uint32(i%3)
		a, b := with.f.Receive(now, syn(caller, copies)), without.f.Receive(now, syn(caller, copies))
		with.Equal(a.Action, b.Action)
		with.Equal(a.Reason, b.Reason)
		with.Equal(a.Cookie, b.Cookie)
		with.Equal(a.NewDecision, b.NewDecision)
		if a.Action == Forward && i%7 == 0 {
			with.f.Receive(now, ackPacket(caller, a.Cookie, 101, 500, 10))
			without.f.Receive(now, ackPacket(caller, b.Cookie, 101, 500, 10))
		}
		with.Equal(with.f.Tick(now), without.f.Tick(now))
	}
	with.Equal(with.f.FlowsKeptFromColdTargets(), uint64(0))
}

// Guards against tokens that come on top of the flows of the last second, which this VM sent to the
// target before it knew that the target had started again.
func TestFlowsBeforeTheNewsCountAgainstTokens(t *testing.T) {
	r := newHarness(t)
	r.limitCold(4)
	for id := 2; id <= 5; id++ {
		r.apply(0, catalog.Change{RemovedTarget: entry(id, "s", "a", catalog.Ready).ID})
	}
	for i := range uint16(3) {
		r.Equal(r.f.Receive(time.Duration(i)*100*ms, syn(1+i, 0)).Target.ID, "i-1")
	}
	r.cool(250*ms, 7, 5*time.Second, 1)
	r.grant(250*ms, 1, 7, 4)
	var sent []time.Duration
	for now := 260 * ms; now < 2*time.Second; now += 20 * ms {
		if v := r.f.Receive(now, syn(uint16(100+now/ms), 0)); v.Action == Forward {
			sent = append(sent, now)
		}
		r.f.Tick(now + ms)
	}
	within := func(from time.Duration) (n int) {
		for _, at := range append([]time.Duration{0, 100 * ms, 200 * ms}, sent...) {
			if at >= from && at < from+time.Second {
				n++
			}
		}
		return n
	}
	for from := time.Duration(0); from < time.Second; from += 20 * ms {
		r.True(within(from) <= 4)
	}
	r.True(len(sent) >= 4)
}

// Guards against targets that get the flows of all others of their domain, which have started
// again: they may have started too, and the VM does not know yet.
func TestFlowsLeaveADepletedDomain(t *testing.T) {
	r := newHarness(t)
	r.limitCold(4)
	r.Equal(r.openFlow(0, 1).Domain, "a")
	r.cool(10*ms, 7, 5*time.Second, 1)
	counts := make(map[string]int)
	for caller := range uint16(40) {
		counts[r.openFlow(20*ms, 100+caller).ID]++
	}
	r.Equal(counts["i-1"], 0)
	for id := 2; id <= 5; id++ {
		n := counts[entry(id, "s", "a", catalog.Ready).ID]
		r.True(n >= 5 && n <= 15)
	}
}

// Guards against a target that keeps its own cookie for a flow which has opened elsewhere, since it
// is cold or may be: it has got the SYN before, so that it takes no other flow.
func TestSupersededColdTargetGetsTheCookie(t *testing.T) {
	r := newHarness(t)
	r.limitCold(4)
	r.cool(0, 7, 5*time.Second, 1, 2, 3)
	r.grant(0, 2, 7, 1)
	first := r.f.Receive(0, syn(1, 0)).Target
	if first.ID != "i-2" { // the domain is depleted
		first = r.f.View().Target("i-2")
		r.f.HandleUnopened(10*ms, halfopen.Unopened{Flow: key(1), TargetCookie: uint32(first.Cookie)})
	}
	r.Equal(r.f.Receive(200*ms, syn(1, 1)).Action, Forward)
	second := r.f.Receive(600*ms, syn(1, 2)).Target
	r.True(second != first)
	v := r.f.Receive(610*ms, ackPacket(1, second.Cookie, 101, 500, 10))
	found := false
	for _, t := range v.Superseded {
		found = found || t == first
	}
	r.True(found)
}
