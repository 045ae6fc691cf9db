package forward

import (
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/relay"
)

// Guards against a loaded domain that keeps all new flows while others have capacity.
func TestFlowsLeaveADomainUnderPressure(t *testing.T) {
	r := newHarness(t)
	loads := []relay.Load{{Domain: "a", TargetDomain: "a", Service: "s", ActiveRequests: 30}, {Domain: "b", TargetDomain: "b", Service: "s", ActiveRequests: 1}}
	for range 20 {
		r.f.SetDomainLoads(0, loads)
	}
	domains := make(map[string]int)
	for caller := range uint16(300) {
		domains[r.f.Receive(0, syn(caller, 0)).Target.Domain]++
	}
	r.True(domains["a"] > 30 && domains["b"] > 150)
	// Reports older than loadReportTTL are ignored.
	for caller := range uint16(50) {
		r.Equal(r.f.Receive(4*time.Second, syn(1000+caller, 0)).Target.Domain, "a")
	}
}

// Guards against loads that differ from the sums over the flow records.
func TestLoadsFollowFlows(t *testing.T) {
	r := newHarness(t)
	for caller := range uint16(20) {
		target := r.openFlow(0, caller)
		if caller%2 == 0 {
			r.f.Receive(3*ms, ackPacket(caller, target.Cookie, 101, 500, 10))
		}
	}
	r.Equal(r.f.Loads(), []relay.Load{{TargetDomain: "a", Service: "s", Flows: 20, ActiveRequests: 10}})
	r.f.Tick(time.Minute)
	r.Equal(len(r.f.Loads()), 0)
	for _, load := range r.f.loads {
		r.True(load.Flows == 0 && load.ActiveRequests == 0)
	}
}

// Guards against a load that counts requests which were answered through another VM or given
// up by their callers: after all VMs had lost power, such requests kept a service limited for
// five seconds, and new flows were refused although targets had free slots.
func TestOldRequestsAreNoLoad(t *testing.T) {
	r := newHarness(t)
	for caller := range uint16(20) {
		target := r.openFlow(0, caller)
		r.f.Receive(3*ms, ackPacket(caller, target.Cookie, 101, 500, 10))
	}
	r.f.Tick(600 * ms)
	r.Equal(r.f.Loads()[0].ActiveRequests, uint32(20))
	r.f.Tick(1100 * ms)
	r.Equal(r.f.Loads(), []relay.Load{{TargetDomain: "a", Service: "s", Flows: 20}})
	r.Equal(r.f.serviceLoad("s").ActiveRequests, 0)
	// The next request of a flow counts again, and as long as its caller sends copies.
	first := r.f.flows.get(key(0)).target
	r.f.Receive(1200*ms, ackPacket(0, first.Cookie, 111, 600, 10))
	for _, at := range []time.Duration{1400 * ms, 1800 * ms, 2600 * ms} {
		r.f.Receive(at, ackPacket(0, first.Cookie, 111, 600, 10))
		r.f.Tick(at)
		r.Equal(r.f.Loads()[0].ActiveRequests, uint32(1))
	}
	r.f.Tick(time.Minute)
	r.Equal(len(r.f.Loads()), 0)
	for slot, load := range r.f.loads {
		r.True(load.Flows == 0 && load.ActiveRequests == 0 && r.f.recentRequests[slot] == 0)
	}
}

// Guards against loads that become negative when the entry of a target changes its service:
// the new target must not get the slot of the old one while flows to that are open.
func TestTargetChangesService(t *testing.T) {
	r := newHarness(t)
	for caller := range uint16(20) {
		target := r.openFlow(0, caller)
		r.f.Receive(3*ms, ackPacket(caller, target.Cookie, 101, 500, 10))
	}
	for id := 1; id <= 3; id++ {
		r.apply(4*ms, catalog.Change{Target: entry(id, "other", "a", catalog.Ready)})
	}
	r.f.Tick(time.Minute)
	for slot, load := range r.f.loads {
		r.True(load.Flows >= 0 && load.ActiveRequests >= 0 && r.f.recentRequests[slot] >= 0)
	}
	r.Equal(len(r.f.Loads()), 0)
	// Slots are reused once no flow needs them.
	slots := r.f.View().Slots()
	r.f.Tick(2 * time.Minute)
	for id := 11; id <= 13; id++ {
		r.apply(2*time.Minute, catalog.Change{Target: entry(id, "other", "a", catalog.Ready)})
	}
	r.Equal(r.f.View().Slots(), slots)
}

// Guards against late copies of SYNs that fill the targets after an outage, when callers
// repeat what they could not send: requests that can still be in time go first.
func TestLateCopiesAreDeferred(t *testing.T) {
	r := newHarness(t)
	route := r.f.view.Route(service1)
	route.Latency = 200 * ms
	r.f.SetFleetSize(6) // two slots for this VM
	r.Equal(r.f.Receive(0, syn(100, 1)).Action, Forward)
	for caller := range uint16(4) {
		target := r.openFlow(0, caller)
		r.f.Receive(3*ms, ackPacket(caller, target.Cookie, 101, 500, 10))
	}
	v := r.f.Receive(4*ms, syn(101, 1))
	r.True(v.Action == Drop && v.Reason == Deferred)
	r.Equal(r.f.Receive(4*ms, syn(102, 0)).Action, Forward) // may still be in time
	r.Equal(r.f.Receive(4*ms, syn(100, 2)).Action, Forward) // was admitted before
	r.Equal(r.f.Receive(startPeriod, syn(103, 1)).Action, Forward)
	route.Latency = time.Second
	r.Equal(r.f.Receive(4*ms, syn(101, 2)).Action, Forward)
}
