package day

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// busyWorld returns a world with open flows, after 5 s of load.
func busyWorld(t *testing.T) *world {
	t.Helper()
	w, err := newWorld(newDay(smallSite(t), time.Minute), Options{Seed: 1, Policy: Gypsumspan})
	if err != nil {
		t.Fatal(err)
	}
	w.operator.start()
	w.targets.start()
	w.fleet.start()
	w.timeline.at(loadDelay, func() { w.callers.start(loadDelay + time.Minute) })
	w.stepper.Advance(loadDelay + 5*time.Second)
	return w
}

// openFlow returns an open flow that its target has. The choice is deterministic.
func (w *world) openFlow(t *testing.T) *flowState {
	t.Helper()
	var best *flowState
	for _, f := range w.callers.flows {
		if f.open && f.handshakeDone && w.oracle.targetHasFlow(f) && (best == nil || f.key.Hash() < best.key.Hash()) {
			best = f
		}
	}
	if best == nil {
		t.Fatal("no open flow")
	}
	return best
}

// otherService returns a target of another service than t's.
func (w *world) otherService(t *target) *target {
	for _, other := range w.targets.all {
		if other.service != t.service {
			return other
		}
	}
	return nil
}

// Guards against an oracle that does not detect a violation. Each case provokes one.
func TestOracleDetectsViolations(t *testing.T) {
	cases := []struct {
		promise Promise
		provoke func(t *testing.T, w *world)
	}{
		{FlowReset, func(t *testing.T, w *world) {
			f := w.openFlow(t)
			w.callers.handleVMReset(w.fleet.vms[0], flow.Packet{Flow: f.key, Flags: flow.RST})
		}},
		{FlowStray, func(t *testing.T, w *world) {
			f := w.openFlow(t)
			for range minMisroutedPackets + 1 {
				w.oracle.packetReceived(w.otherService(f.target), flow.Packet{Flow: f.key, Flags: flow.ACK})
				f.misroutes.since -= time.Second
			}
		}},
		{Foreign, func(t *testing.T, w *world) {
			f := w.openFlow(t)
			other := w.otherService(f.target)
			k := f.key
			k.Caller.Port = 1
			w.targets.receive(other, flow.Packet{Flow: k, Flags: flow.SYN}, other.number, sender{vm: w.fleet.vms[0]})
		}},
		{RanTwice, func(t *testing.T, w *world) {
			r := &request{kind: &w.day.Site.Kinds[1]}
			w.oracle.requestExecuted(w.targets.all[0], r)
			w.oracle.requestExecuted(w.targets.all[1], r)
		}},
		{FalseNoRun, func(t *testing.T, w *world) {
			w.oracle.requestNotExecuted(&request{kind: &w.day.Site.Kinds[0], executions: 1})
		}},
		{Drained, func(t *testing.T, w *world) {
			x := w.targets.all[0]
			x.drain(0)
			w.stepper.Advance(w.day.Site.Bounds.DrainWithin.D() + 500*time.Millisecond)
			f := w.openFlow(t)
			k := f.key
			k.Caller.Port = 1
			w.targets.receive(x, flow.Packet{Flow: k, Flags: flow.SYN}, x.number, sender{vm: w.fleet.vms[0]})
		}},
		{Evacuated, func(t *testing.T, w *world) {
			x := w.targets.all[0]
			w.operator.evacuate(w.day.Site.Domains[x.node.domain])
			w.stepper.Advance(w.day.Site.Bounds.evacuateWithin() + 500*time.Millisecond)
			k := w.openFlow(t).key
			k.Caller.Port = 1
			w.targets.receive(x, flow.Packet{Flow: k, Flags: flow.SYN}, x.number, sender{vm: w.fleet.vms[0]})
		}},
		{ConfigReverted, func(_ *testing.T, w *world) {
			w.oracle.configurationApplied(w.fleet.vms[0], 5)
			w.oracle.configurationApplied(w.fleet.vms[0], 4)
		}},
		{Stale, func(t *testing.T, w *world) {
			f := &flowState{viaVM: w.fleet.vms[0], startedAt: w.timeline.now()}
			f.key.Address = routeAddress(500)
			w.oracle.probeOpened(f)
		}},
		{Stale, func(t *testing.T, w *world) {
			f := &flowState{viaVM: w.fleet.vms[0], startedAt: w.timeline.now()}
			f.key.Address = routeAddress(0)
			w.oracle.probeRefused(f)
		}},
	}
	for _, c := range cases {
		t.Run(string(c.promise), func(t *testing.T) {
			is := is.New(t)
			w := busyWorld(t)
			is.Equal(w.oracle.violationCount, 0)
			c.provoke(t, w)
			is.Equal(w.oracle.violationCount, 1)
			is.Equal(w.oracle.violations[0].Promise, c.promise)
		})
	}
}

// Guards against bounds that are applied to disrupted VMs and targets, for which no system
// can meet them.
func TestOracleExcusesDisruptions(t *testing.T) {
	is := is.New(t)
	w := busyWorld(t)
	f := w.openFlow(t)
	f.target.disruption.begin()
	w.callers.handleVMReset(w.fleet.vms[0], flow.Packet{Flow: f.key, Flags: flow.RST})
	is.Equal(w.oracle.violationCount, 0)
	is.Equal(w.oracle.brokenFlows, 1) // counted also for disrupted targets

	// With every domain evacuated, no target may get the flow of a probe.
	for _, domain := range w.day.Site.Domains {
		w.operator.evacuate(domain)
	}
	probe := &flowState{viaVM: w.fleet.vms[0], startedAt: w.timeline.now()}
	probe.key.Address = routeAddress(0)
	w.oracle.probeRefused(probe)
	is.Equal(w.oracle.violationCount, 0)

	settleTime := w.day.Site.Bounds.SettleTime.D()
	d := &disruptionState{}
	is.True(d.settled(0, settleTime))
	d.begin()
	is.True(!d.settled(settleTime, settleTime))
	d.end(settleTime)
	is.True(!d.settled(2*settleTime-1, settleTime))
	is.True(d.settled(2*settleTime, settleTime))
}
