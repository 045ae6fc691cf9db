package forward

import (
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/relay"
)

func (r *harness) evacuate(domain string, active bool) {
	r.apply(0, catalog.Change{Evacuation: &catalog.Evacuation{Domain: domain, Active: active}})
}

// Guards against new flows at targets of an evacuated failure domain, open flows there that
// are reset, and load that does not return when the request is withdrawn.
func TestEvacuatedDomainGetsNoNewFlows(t *testing.T) {
	r := newHarness(t)
	opened := r.openFlow(0, 1)
	r.Equal(opened.Domain, "a")
	r.evacuate("a", true)
	for caller := uint16(2); caller < 20; caller++ {
		r.Equal(r.openFlow(0, caller).Domain, "b")
	}
	v := r.f.Receive(ms, ackPacket(1, opened.Cookie, 101, 500, 10))
	r.Equal(v.Action, Forward)
	r.Equal(v.Target, opened)
	r.evacuate("a", false)
	r.Equal(r.openFlow(0, 30).Domain, "a")
}

// Guards against a flow that is sent to an evacuated domain, or left without an answer until
// its caller gives up, because no other domain can take it: each try, the retransmissions
// too, is reset at once.
func TestFlowIsResetWhenAllDomainsAreEvacuated(t *testing.T) {
	r := newHarness(t)
	r.evacuate("a", true)
	r.evacuate("b", true)
	for retransmits := range uint32(3) {
		v := r.f.Receive(time.Duration(retransmits)*200*ms, syn(1, retransmits))
		r.Equal(v.Action, Reset)
		r.Equal(v.Reason, Evacuated)
	}
}

// Guards against a retransmitted SYN that goes to a target of a domain which was evacuated
// after the first transmission, for lack of another target that was not tried. The first
// retransmission goes nowhere, since the target there may still answer the SYN before.
func TestRetransmissionLeavesAnEvacuatedDomain(t *testing.T) {
	r := newHarness(t)
	r.Equal(r.f.Receive(0, syn(1, 0)).Target.Domain, "a")
	r.evacuate("a", true)
	left := r.f.Receive(200*ms, syn(1, 1))
	r.Equal(left.Action, Drop)
	r.Equal(left.Reason, Deferred)
	for i, at := range []time.Duration{600 * ms, 900 * ms} {
		v := r.f.Receive(at, syn(1, uint32(i+2)))
		r.Equal(v.Action, Forward)
		r.Equal(v.Target.Domain, "b")
	}
}

// Guards against a flow of a route with home regions that reaches a target in another region,
// or in a failure domain whose region is not known.
func TestRouteReachesItsRegionsOnly(t *testing.T) {
	r := newHarness(t)
	r.f.config.Regions = map[string]string{"a": "north", "b": "south"}
	r.apply(0, catalog.Change{Configuration: &catalog.Configuration{Version: 100, Routes: []catalog.Route{{
		Address: service1, Regions: []string{"south"}, Shares: []catalog.Share{{Service: "s", Weight: 1}},
	}}}})
	for caller := uint16(1); caller < 20; caller++ {
		r.Equal(r.openFlow(0, caller).Domain, "b")
	}
	r.f.config.Regions = nil
	v := r.f.Receive(0, syn(50, 0))
	r.Equal(v.Action, Reset)
	r.Equal(v.Reason, NoTarget)
}

// Guards against callers in a partitioned domain that is also evacuated, who wait until they
// give up for targets that can't be reached.
func TestFlowIsResetWhenTheOtherDomainsAreUnreachable(t *testing.T) {
	r := newHarness(t)
	// Two flows get stuck at each target of domain b, while domain a responds.
	r.evacuate("a", true)
	var callers []uint16
	var cookies []flow.Cookie
	for caller := uint16(1); caller <= 8; caller++ {
		callers = append(callers, caller)
		cookies = append(cookies, r.openFlow(0, caller).Cookie)
	}
	r.evacuate("a", false)
	local := r.openFlow(0, 50)
	r.Equal(local.Domain, "a")
	r.evacuate("a", true)
	for i, caller := range callers {
		for _, at := range []time.Duration{1000, 1200, 1600} {
			r.f.Receive(at*ms, ackPacket(caller, cookies[i], 101, 500, 10))
		}
	}
	r.f.Receive(1650*ms, ackPacket(50, local.Cookie, 101, 500, 10))
	r.f.Receive(1700*ms, ackPacket(50, local.Cookie, 111, 900, 0)) // a response
	v := r.f.Receive(1710*ms, syn(60, 0))
	r.Equal(v.Action, Reset)
	r.Equal(v.Reason, Evacuated)
	r.evacuate("a", false)
	r.Equal(r.f.Receive(1720*ms, syn(61, 0)).Target.Domain, "a")
}

// Guards against a VM in a partitioned and evacuated domain that has seen too few flows to judge
// the other domains itself: their VMs no longer report loads, and their targets do not respond.
func TestFlowIsResetWhenTheOtherDomainsReportNothing(t *testing.T) {
	r := newHarness(t)
	loads := []relay.Load{{Domain: "a", Service: "s", TargetDomain: "a", Flows: 4}, {Domain: "b", Service: "s", TargetDomain: "b", Flows: 4}}
	r.f.SetDomainLoads(0, loads)
	r.evacuate("a", true)
	r.Equal(r.f.Receive(time.Second, syn(1, 0)).Target.Domain, "b")
	r.f.SetDomainLoads(4*time.Second, loads[:1])
	v := r.f.Receive(4*time.Second, syn(2, 0))
	r.Equal(v.Action, Reset)
	r.Equal(v.Reason, Evacuated)
	r.f.SetDomainLoads(5*time.Second, loads)
	r.Equal(r.f.Receive(5*time.Second, syn(3, 0)).Target.Domain, "b")
}

// Guards against a SYN that goes to a target of a service that the route no longer names: the copies
// of a SYN from before the change went there, which looks like an older configuration.
func TestRetransmissionLeavesAServiceThatTheRouteNoLongerNames(t *testing.T) {
	for _, at := range [][]time.Duration{{100 * ms, 200 * ms, 600 * ms}, {200 * ms, 600 * ms, 900 * ms}} {
		r := newHarness(t)
		first := r.f.Receive(0, syn(1, 0))
		r.Equal(first.Target.Service, "s")
		r.configure(catalog.Idempotent, "u")
		for i, now := range at {
			v := r.f.Receive(now, syn(1, uint32(i)))
			r.True(v.Action == Drop || v.Target.Service == "u")
		}
		r.Equal(r.f.Receive(time.Second, syn(1, 2)).Target.Service, "u")
		r.True(!r.f.mayGetSYN(time.Second, first.Target, r.f.View().Route(service1)))
	}
}
