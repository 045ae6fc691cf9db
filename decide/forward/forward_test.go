package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/relay"
)

const ms = time.Millisecond

func endpoint(last byte, port uint16) flow.Endpoint {
	return flow.Endpoint{IP: [4]byte{10, 0, 0, last}, Port: port}
}

var service1 = endpoint(200, 443)

func key(caller uint16) flow.Key {
	return flow.Key{Caller: endpoint(1, caller), Address: service1}
}

func syn(caller uint16, copies uint32) flow.Packet {
	return flow.Packet{Flow: key(caller), Flags: flow.SYN, Seq: 100, Ack: copies}
}

// later is a packet of an open flow.
func later(caller uint16, cookie flow.Cookie, seq, ack uint32, length int) flow.Packet {
	return flow.Packet{Flow: key(caller), Flags: flow.ACK, Cookie: cookie, Seq: seq, Ack: ack, Len: length}
}

func entry(id int, service, domain string, state catalog.TargetState) *catalog.Entry {
	return &catalog.Entry{
		ID: fmt.Sprint("i-", id), Number: uint64(id), Service: service,
		Address: endpoint(byte(id), 8080), Domain: domain, Slots: 3, State: state,
	}
}

// rig is a forwarder with its catalog's revision.
type rig struct {
	*is.I
	f        *Forwarder
	revision int64
}

// newRig returns a forwarder of domain a. Service s has targets 1 to 3 there and
// 4 and 5 in domain b, service u has target 9; the route at service1 leads to s.
func newRig(t *testing.T) *rig {
	r := &rig{I: is.New(t), f: New(Config{Domain: "a", Seed: 1})}
	r.configure(catalog.Idempotent, "s")
	for id := 1; id <= 3; id++ {
		r.put(0, entry(id, "s", "a", catalog.Ready))
	}
	r.put(0, entry(4, "s", "b", catalog.Ready))
	r.put(0, entry(5, "s", "b", catalog.Ready))
	r.put(0, entry(9, "u", "a", catalog.Ready))
	r.apply(0, catalog.Change{Synced: true})
	return r
}

func (r *rig) apply(now time.Duration, c catalog.Change) {
	r.revision++
	c.Revision = r.revision
	r.f.Apply(now, c)
}

func (r *rig) put(now time.Duration, e *catalog.Entry) { r.apply(now, catalog.Change{Target: e}) }

func (r *rig) configure(kind catalog.Kind, services ...string) {
	c := &catalog.Configuration{Version: uint64(r.revision + 1), IdleTimeout: 15 * time.Second}
	if len(services) > 0 {
		route := catalog.Route{Address: service1, Kind: kind}
		for _, s := range services {
			route.Shares = append(route.Shares, catalog.Share{Service: s, Weight: 1})
		}
		c.Routes = []catalog.Route{route}
	}
	r.apply(0, catalog.Change{Configuration: c})
}

// openFlow opens a flow and returns its target.
func (r *rig) openFlow(now time.Duration, caller uint16) *catalog.Target {
	v := r.f.Receive(now, syn(caller, 0))
	r.Equal(v.Action, Forward)
	r.Equal(r.f.Receive(now+2*ms, later(caller, v.Cookie, 101, 500, 0)).Target, v.Target)
	return v.Target
}

// Guards against new flows that leave their failure domain without need.
func TestNewFlowsStayInTheDomain(t *testing.T) {
	r := newRig(t)
	counts := make(map[string]int)
	for caller := range uint16(30) {
		counts[r.openFlow(0, caller).ID]++
	}
	r.Equal(counts, map[string]int{"i-1": 10, "i-2": 10, "i-3": 10})
}

// Guards against decisions on packets that break flows or reach a wrong target.
func TestPackets(t *testing.T) {
	cases := []struct {
		name   string
		act    func(r *rig) Verdict
		action Action
		reason Reason
	}{
		{"no catalog", func(r *rig) Verdict {
			r.f = New(Config{Domain: "a"})
			return r.f.Receive(0, syn(1, 0))
		}, Drop, NotReady},
		{"no route", func(r *rig) Verdict {
			p := syn(1, 0)
			p.Flow.Address.Port++
			return r.f.Receive(0, p)
		}, Reset, NoRoute},
		{"route removed, new flow", func(r *rig) Verdict {
			r.configure(0)
			return r.f.Receive(0, syn(1, 0))
		}, Reset, NoRoute},
		{"route removed, open flow", func(r *rig) Verdict {
			target := r.openFlow(0, 1)
			r.configure(0)
			return r.f.Receive(ms, later(1, target.Cookie, 101, 500, 10))
		}, Reset, RouteRemoved},
		{"route that is not known here yet, open flow", func(r *rig) Verdict {
			p := later(1, r.f.View().Target("i-1").Cookie, 101, 500, 10)
			p.Flow.Address.Port++
			return r.f.Receive(0, p)
		}, Forward, Continued},
		{"route leads to another service now, open flow", func(r *rig) Verdict {
			target := r.openFlow(0, 1)
			r.configure(catalog.Idempotent, "u")
			return r.f.Receive(ms, later(1, target.Cookie, 101, 500, 10))
		}, Forward, Continued},
		{"flow of another VM", func(r *rig) Verdict {
			return r.f.Receive(0, later(1, r.f.View().Target("i-4").Cookie, 101, 500, 10))
		}, Forward, Continued},
		{"no target", func(r *rig) Verdict {
			r.configure(catalog.Idempotent, "empty")
			return r.f.Receive(0, syn(1, 0))
		}, Reset, NoTarget},
		{"all targets leave", func(r *rig) Verdict {
			r.configure(catalog.Idempotent, "u")
			r.put(0, entry(9, "u", "a", catalog.Draining))
			return r.f.Receive(0, syn(1, 0))
		}, Reset, NoTarget},
		{"target leaves, open flow", func(r *rig) Verdict {
			target := r.openFlow(0, 1)
			r.put(ms, entry(int(target.Number), "s", "a", catalog.Draining))
			return r.f.Receive(2*ms, later(1, target.Cookie, 101, 500, 10))
		}, Forward, Continued},
		{"target gone, open flow", func(r *rig) Verdict {
			target := r.openFlow(0, 1)
			r.apply(2*time.Second, catalog.Change{Gone: target.ID})
			return r.f.Receive(2*time.Second, later(1, target.Cookie, 101, 500, 10))
		}, Reset, TargetGone},
		{"entry gone, but the target answers", func(r *rig) Verdict {
			target := r.openFlow(0, 1)
			r.apply(ms, catalog.Change{Gone: target.ID})
			return r.f.Receive(10*ms, later(1, target.Cookie, 101, 600, 10))
		}, Forward, Continued},
		{"entry gone in an outage of the store", func(r *rig) Verdict {
			target := r.openFlow(0, 1)
			r.f.StoreLost()
			r.f.StoreRegained(5 * time.Second)
			r.apply(5*time.Second, catalog.Change{Gone: target.ID})
			return r.f.Receive(7*time.Second, later(1, target.Cookie, 101, 500, 10))
		}, Forward, Continued},
		{"unknown cookie", func(r *rig) Verdict {
			return r.f.Receive(0, later(1, 12345, 101, 500, 10))
		}, Drop, UnknownCookie},
		{"unknown cookie for long", func(r *rig) Verdict {
			r.f.Receive(ms, later(1, 12345, 101, 500, 10))
			return r.f.Receive(4*time.Second, later(1, 12345, 101, 500, 10))
		}, Reset, UnknownForLong},
		{"unknown cookie, changes take longer", func(r *rig) Verdict {
			r.f.config.ApplyWithin = 12 * time.Second
			r.f.Receive(ms, later(1, 12345, 101, 500, 10))
			return r.f.Receive(4*time.Second, later(1, 12345, 101, 500, 10))
		}, Drop, UnknownCookie},
		{"unknown cookie for long, old catalog", func(r *rig) Verdict {
			r.f.StoreLost()
			r.f.Receive(ms, later(1, 12345, 101, 500, 10))
			return r.f.Receive(4*time.Second, later(1, 12345, 101, 500, 10))
		}, Drop, UnknownCookie},
		{"no cookie", func(r *rig) Verdict {
			return r.f.Receive(0, later(1, 0, 101, 500, 10))
		}, Drop, NoCookie},
		{"late copy of a first packet", func(r *rig) Verdict {
			r.openFlow(0, 1)
			return r.f.Receive(200*ms, syn(1, 1))
		}, Drop, Continued},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			v := c.act(r)
			r.Equal(v.Action.String(), c.action.String())
			r.Equal(v.Reason.String(), c.reason.String())
			r.Equal(v.Target != nil && v.Cookie != v.Target.Cookie && v.Action == Forward, false)
		})
	}
}

// Guards against copies of a first packet that go to the silent target again, and
// against duplicates that open a flow at two targets.
func TestCopiesOfAFirstPacket(t *testing.T) {
	r := newRig(t)
	first := r.f.Receive(0, syn(1, 0))
	duplicate := r.f.Receive(ms, syn(1, 0))
	r.Equal(duplicate.Target, first.Target)
	second := r.f.Receive(200*ms, syn(1, 1))
	third := r.f.Receive(600*ms, syn(1, 2))
	r.Equal(second.Reason, PlacedAgain)
	r.True(second.Target != first.Target && third.Target != first.Target && third.Target != second.Target)
	for caller := uint16(2); caller < 20; caller++ {
		v := r.f.Receive(610*ms, syn(caller, 0))
		r.True(v.Target != first.Target && v.Target != second.Target) // both are silent
	}
}

// Guards against a second answer to the first packets that moves an open flow: the
// caller returns the cookie that it has received last.
func TestALateSecondAnswerDoesNotMoveTheFlow(t *testing.T) {
	r := newRig(t)
	first := r.f.Receive(0, syn(1, 0))
	second := r.f.Receive(200*ms, syn(1, 1))
	r.True(first.Target != second.Target)
	r.Equal(r.f.Receive(210*ms, later(1, second.Cookie, 101, 500, 10)).Target, second.Target)
	v := r.f.Receive(300*ms, later(1, first.Cookie, 111, 600, 10))
	r.Equal(v.Target, second.Target)
	r.Equal(v.Cookie, second.Cookie)
}

// Guards against a VM that was paused and takes the copies that have waited at it
// for the silence of a target.
func TestAPausedVMBlamesNoTarget(t *testing.T) {
	r := newRig(t)
	r.keepAlive(0, nil)
	dead := r.f.View().Target("i-1")
	const woke = 3 * time.Second
	r.keepAlive(woke, dead)
	for copies := range uint32(3) {
		for caller := uint16(1); caller <= 5; caller++ {
			v := r.f.Receive(woke+time.Duration(copies)*ms, later(caller, dead.Cookie, 101, 500, 10))
			r.Equal(v.Action, Forward)
		}
	}
	first := r.f.Receive(woke, syn(50, 0))
	for copies := uint32(1); copies <= 2; copies++ {
		v := r.f.Receive(woke+time.Duration(copies)*ms, syn(50, copies))
		r.Equal(v.Target, first.Target)
	}
	r.Equal(len(r.f.TakeEnded()), 0)
	r.True(!r.f.evidence[first.Target.Slot].Silent(woke + 10*ms))
}

// keepAlive lets a flow make progress at every target of the domain but one.
func (r *rig) keepAlive(now time.Duration, dead *catalog.Target) {
	for id := 1; id <= 3; id++ {
		target := r.f.View().Target(fmt.Sprint("i-", id))
		if target == dead {
			continue
		}
		caller := uint16(1000 + id)
		r.f.Receive(now, later(caller, target.Cookie, 1, uint32(now/ms), 0))
	}
}

// Guards against flows that wait for a dead target until their time limit, and
// against flows that are reset though their request may not be repeated.
func TestFlowsOfADeadTarget(t *testing.T) {
	cases := []struct {
		name  string
		kind  catalog.Kind
		reset bool // of a flow whose request is in progress
	}{
		{"idempotent", catalog.Idempotent, true},
		{"download", catalog.Download, true},
		{"non-idempotent", catalog.NonIdempotent, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.configure(c.kind, "s")
			r.keepAlive(0, nil)
			dead := r.f.View().Target("i-1")
			r.f.Receive(0, later(3, dead.Cookie, 101, 500, 0)) // stays idle
			var verdicts []Verdict
			for at := time.Duration(0); at <= 1400*ms; at += 100 * ms {
				r.keepAlive(at, dead)
				for caller := uint16(1); caller <= 2; caller++ {
					if at == 0 || at == 200*ms || at == 600*ms || at == 1400*ms {
						verdicts = append(verdicts, r.f.Receive(at, later(caller, dead.Cookie, 101, 500, 10)))
					}
				}
			}
			resets := 0
			for _, v := range verdicts {
				if v.Action == Reset {
					r.Equal(v.Reason, TargetSilent)
					resets++
				}
			}
			var idle, busy int
			for _, e := range r.f.TakeEnded() {
				r.Equal(e.Target, dead)
				if e.Packet.Flow == key(3) || e.Packet.Flow == key(1001) {
					idle++
				} else {
					busy++
				}
			}
			r.Equal(idle, 2) // of caller 3 and of keepAlive
			r.Equal(resets+busy > 0, c.reset)
			r.True(r.f.Receive(1410*ms, syn(7, 0)).Target != dead)
		})
	}
}

// Guards against a VM that is slow, or busy with the catalogs of others, and takes
// targets for dead whose answers it has not seen yet.
func TestASlowVMResetsNothing(t *testing.T) {
	cases := []struct {
		name   string
		set    func(f *Forwarder)
		resets bool
	}{
		{"neither", func(*Forwarder) {}, true},
		{"slow a moment ago", func(f *Forwarder) { f.SetLate(500 * ms) }, false},
		{"slow long ago", func(f *Forwarder) { f.SetLate(-lateFor) }, true},
		{"burdened", func(f *Forwarder) { f.SetBurdened(true) }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			r.keepAlive(0, nil)
			dead := r.f.View().Target("i-1")
			c.set(r.f)
			resets := 0
			for at := time.Duration(0); at <= 1400*ms; at += 100 * ms {
				r.keepAlive(at, dead)
				for caller := uint16(1); caller <= 3; caller++ {
					if at != 0 && at != 200*ms && at != 600*ms && at != 1400*ms {
						continue
					}
					if r.f.Receive(at, later(caller, dead.Cookie, 101, 500, 10)).Action == Reset {
						resets++
					}
				}
			}
			r.Equal(resets+len(r.f.TakeEnded()) > 0, c.resets)
		})
	}
}

// Guards against a VM that is cut off itself and resets the flows of live targets.
func TestAVMThatIsCutOffResetsNothing(t *testing.T) {
	r := newRig(t)
	for id := 1; id <= 3; id++ {
		cookie := r.f.View().Target(fmt.Sprint("i-", id)).Cookie
		for caller := uint16(0); caller < 4; caller++ {
			for _, at := range []time.Duration{0, 200 * ms, 600 * ms, 1400 * ms} {
				v := r.f.Receive(at, later(100*uint16(id)+caller, cookie, 101, 500, 10))
				r.Equal(v.Action, Forward)
			}
		}
	}
	r.Equal(len(r.f.TakeEnded()), 0)
}

// Guards against flows that wait for a failure domain that is cut off, one flow at
// each of its targets.
func TestFlowsToADomainThatIsCutOff(t *testing.T) {
	r := newRig(t)
	r.keepAlive(0, nil)
	resets := 0
	for at := time.Duration(0); at <= 1400*ms; at += 100 * ms {
		r.keepAlive(at, nil)
		for id := 4; id <= 5; id++ {
			if at == 0 || at == 200*ms || at == 600*ms || at == 1400*ms {
				cookie := r.f.View().Target(fmt.Sprint("i-", id)).Cookie
				if r.f.Receive(at, later(uint16(id), cookie, 101, 500, 10)).Action == Reset {
					resets++
				}
			}
		}
	}
	r.Equal(resets, 2)
	r.f.SetDomainLoads(1400*ms, []relay.Load{{At: "a", Service: "s", Busy: 900}})
	for caller := range uint16(50) {
		r.Equal(r.f.Receive(1410*ms, syn(2000+caller, 0)).Target.Domain, "a")
	}
}

// Guards against new flows that go to a target whose entry lapsed in an outage of
// the store and that does not answer.
func TestLapsedAndSilentTargetsGetNoFlows(t *testing.T) {
	r := newRig(t)
	dead := r.f.Receive(0, syn(1, 0)).Target
	r.f.Receive(200*ms, syn(1, 1))
	r.f.StoreLost()
	r.f.StoreRegained(300 * ms)
	for id := 1; id <= 3; id++ {
		r.apply(300*ms, catalog.Change{Gone: fmt.Sprint("i-", id)})
	}
	// The avoidance is over, and all entries of the domain are in doubt.
	for caller := uint16(2); caller < 20; caller++ {
		target := r.f.Receive(2*time.Second, syn(caller, 0)).Target
		r.True(target != dead && target.Domain == "a")
	}
}

// Guards against flows to live targets of another domain that are reset because one
// target there is dead.
func TestOneDeadTargetIsNotACutDomain(t *testing.T) {
	r := newRig(t)
	r.keepAlive(0, nil)
	dead, alive := r.f.View().Target("i-4"), r.f.View().Target("i-5")
	r.f.Receive(0, later(30, alive.Cookie, 101, 500, 0))
	r.f.Receive(50*ms, later(30, alive.Cookie, 101, 600, 0)) // the last sign of life
	for at := time.Duration(0); at <= 1400*ms; at += 100 * ms {
		r.keepAlive(at, nil)
		for caller := uint16(1); caller <= 3; caller++ {
			if at == 0 || at == 200*ms || at == 600*ms || at == 1400*ms {
				r.f.Receive(at, later(caller, dead.Cookie, 101, 500, 10))
			}
		}
		if at == 1100*ms || at == 1300*ms {
			// A request that takes long.
			r.Equal(r.f.Receive(at, later(30, alive.Cookie, 101, 600, 10)).Action, Forward)
		}
	}
	for _, e := range r.f.TakeEnded() {
		r.Equal(e.Target, dead)
	}
}

// Guards against idle flows of a target that has left: their next request would be lost.
func TestIdleFlowsOfAGoneTargetAreReset(t *testing.T) {
	r := newRig(t)
	target := r.openFlow(0, 1)
	r.put(ms, entry(int(target.Number), "s", "a", catalog.Draining))
	r.apply(5*time.Second, catalog.Change{Gone: target.ID})
	r.f.Tick(5 * time.Second)
	ended := r.f.TakeEnded()
	r.Equal(len(ended), 1)
	r.Equal(ended[0].Packet.Flow, key(1))
	r.Equal(ended[0].Reason, TargetGone)
	r.Equal(r.f.Flows(), 0)
}

// Guards against a domain that keeps flows that others could serve.
func TestFlowsLeaveADomainUnderPressure(t *testing.T) {
	r := newRig(t)
	loads := []relay.Load{{Domain: "a", At: "a", Service: "s", Busy: 30}, {Domain: "b", At: "b", Service: "s", Busy: 1}}
	for range 20 {
		r.f.SetDomainLoads(0, loads)
	}
	domains := make(map[string]int)
	for caller := range uint16(300) {
		domains[r.f.Receive(0, syn(caller, 0)).Target.Domain]++
	}
	r.True(domains["a"] > 30 && domains["b"] > 150)
	// Old reports say nothing.
	for caller := range uint16(50) {
		r.Equal(r.f.Receive(4*time.Second, syn(1000+caller, 0)).Target.Domain, "a")
	}
}

// Guards against loads that drift from the flows that are remembered.
func TestLoadsFollowFlows(t *testing.T) {
	r := newRig(t)
	for caller := range uint16(20) {
		target := r.openFlow(0, caller)
		if caller%2 == 0 {
			r.f.Receive(3*ms, later(caller, target.Cookie, 101, 500, 10))
		}
	}
	r.Equal(r.f.Loads(), []relay.Load{{At: "a", Service: "s", Flows: 20, Busy: 10}})
	r.f.Tick(time.Minute)
	r.Equal(len(r.f.Loads()), 0)
	for _, load := range r.f.loads {
		r.True(load.Flows == 0 && load.Busy == 0)
	}
}

// Guards against a table of flows that grows without bound.
func TestTableOfFlowsIsBounded(t *testing.T) {
	r := newRig(t)
	r.f.flows.capacity = 100
	for caller := range uint16(1000) {
		r.Equal(r.f.Receive(0, syn(caller, 0)).Action, Forward)
	}
	r.Equal(r.f.Flows(), 100)
	r.Equal(r.f.Loads(), []relay.Load{{At: "a", Service: "s", Flows: 100}})
}

// Guards against a decision that allocates on the path of every packet.
func TestOpenFlowsAllocateNothing(t *testing.T) {
	r := newRig(t)
	target := r.openFlow(0, 1)
	ack := uint32(500)
	allocations := testing.AllocsPerRun(1000, func() {
		ack++
		r.f.Receive(ms, later(1, target.Cookie, ack, ack, 10))
	})
	r.Equal(allocations, 0.0)
}

func benchmarkForwarder(targets int) *Forwarder {
	f := New(Config{Domain: "a"})
	var routes []catalog.Route
	for i := range targets / 9 {
		name := fmt.Sprint("s", i)
		routes = append(routes, catalog.Route{
			Address: flow.Endpoint{IP: [4]byte{10, 9, byte(i >> 8), byte(i)}, Port: 443},
			Shares:  []catalog.Share{{Service: name, Weight: 1}},
		})
		for j := range 9 {
			e := entry(i*9+j, name, "a", catalog.Ready)
			f.Apply(0, catalog.Change{Revision: int64(i*9 + j + 1), Target: e})
		}
	}
	f.Apply(0, catalog.Change{Revision: 1 << 30, Configuration: &catalog.Configuration{Version: 1, Routes: routes}})
	f.Apply(0, catalog.Change{Revision: 1 << 30, Synced: true})
	return f
}

func BenchmarkContinue(b *testing.B) {
	for _, targets := range []int{18, 999, 9999} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			f := benchmarkForwarder(targets)
			p := syn(1, 0)
			p.Flow.Address = flow.Endpoint{IP: [4]byte{10, 9, 0, 0}, Port: 443}
			v := f.Receive(0, p)
			p.Flags, p.Cookie, p.Len = flow.ACK, v.Cookie, 10
			b.ReportAllocs()
			for b.Loop() {
				p.Seq += 10
				p.Ack += 10
				f.Receive(ms, p)
			}
		})
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, targets := range []int{18, 999, 9999} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			f := benchmarkForwarder(targets)
			p := syn(1, 0)
			p.Flow.Address = flow.Endpoint{IP: [4]byte{10, 9, 0, 0}, Port: 443}
			b.ReportAllocs()
			for b.Loop() {
				p.Flow.Caller.Port++
				f.Receive(0, p)
			}
		})
	}
}

// Guards against times that are lost because both packets were decided in one step.
func TestTimesWithinOneStep(t *testing.T) {
	r := newRig(t)
	first := r.f.Receive(ms, syn(1, 0))
	v := r.f.Receive(ms, later(1, first.Cookie, 101, 500, 10))
	r.True(v.Opened > 0 && v.Answered == 0)
	v = r.f.Receive(ms, later(1, first.Cookie, 111, 600, 0))
	r.True(v.Opened == 0 && v.Answered > 0)
	r.f.Receive(2*ms, later(1, first.Cookie, 111, 600, 10))
	r.Equal(r.f.Receive(7*ms, later(1, first.Cookie, 121, 700, 0)).Answered, 5*ms)
}

// BenchmarkPlaceInAPool places flows of a service with many targets in three
// domains, which the VM's evidence is asked about.
func BenchmarkPlaceInAPool(b *testing.B) {
	for _, targets := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			r := &rig{I: is.New(b), f: New(Config{Domain: "a", Seed: 1})}
			r.configure(catalog.Idempotent, "s")
			for id := range targets {
				r.put(0, entry(id+1, "s", string(rune('a'+id%3)), catalog.Ready))
			}
			r.apply(0, catalog.Change{Synced: true})
			b.ReportAllocs()
			caller := uint16(0)
			for b.Loop() {
				caller++
				r.f.Receive(time.Duration(caller)*ms, syn(caller, 0))
			}
		})
	}
}
