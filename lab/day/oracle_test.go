package day

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// busyWorld returns a world with open flows, after some seconds of load.
func busyWorld(t *testing.T) *world {
	t.Helper()
	w, err := newWorld(dayOf(small(t), time.Minute), Options{Seed: 1, Policy: Gypsumspan})
	if err != nil {
		t.Fatal(err)
	}
	w.operator.start()
	w.targets.start()
	w.fleet.start()
	w.timeline.at(loadAfter, func() { w.callers.start(loadAfter + time.Minute) })
	w.stepper.Advance(loadAfter + 5*time.Second)
	return w
}

// openFlow returns a flow whose target has it.
func (w *world) openFlow(t *testing.T) *flowState {
	t.Helper()
	var best *flowState
	for _, f := range w.callers.flows {
		if f.open && f.handshake && w.oracle.holds(f) && (best == nil || f.key.Hash() < best.key.Hash()) {
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

// Guards against an oracle that does not see a broken promise. Each case breaks one.
func TestOracleSeesBreaks(t *testing.T) {
	cases := []struct {
		promise Promise
		provoke func(t *testing.T, w *world)
	}{
		{FlowReset, func(t *testing.T, w *world) {
			f := w.openFlow(t)
			w.callers.resetBy(w.fleet.vms[0], flow.Packet{Flow: f.key, Flags: flow.RST})
		}},
		{FlowStray, func(t *testing.T, w *world) {
			f := w.openFlow(t)
			for range strayPackets + 1 {
				w.oracle.packetAt(w.otherService(f.target), flow.Packet{Flow: f.key, Flags: flow.ACK})
				f.strays.since -= time.Second
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
			w.oracle.executed(w.targets.all[0], r)
			w.oracle.executed(w.targets.all[1], r)
		}},
		{FalseNoRun, func(t *testing.T, w *world) {
			w.oracle.notRun(&request{kind: &w.day.Site.Kinds[0], ran: 1})
		}},
		{Drained, func(t *testing.T, w *world) {
			x := w.targets.all[0]
			x.drain()
			w.stepper.Advance(w.day.Site.Bounds.DrainWithin.D() + 500*time.Millisecond)
			f := w.openFlow(t)
			k := f.key
			k.Caller.Port = 1
			w.targets.receive(x, flow.Packet{Flow: k, Flags: flow.SYN}, x.number, sender{vm: w.fleet.vms[0]})
		}},
		{Stale, func(t *testing.T, w *world) {
			f := &flowState{direct: w.fleet.vms[0], startedAt: w.timeline.now()}
			f.key.Address = endpointOf(500)
			w.oracle.probeOpened(f)
		}},
		{Stale, func(t *testing.T, w *world) {
			f := &flowState{direct: w.fleet.vms[0], startedAt: w.timeline.now()}
			f.key.Address = endpointOf(0)
			w.oracle.probeRefused(f)
		}},
	}
	for _, c := range cases {
		t.Run(string(c.promise), func(t *testing.T) {
			is := is.New(t)
			w := busyWorld(t)
			is.Equal(w.oracle.broken, 0)
			c.provoke(t, w)
			is.Equal(w.oracle.broken, 1)
			is.Equal(w.oracle.breaks[0].Promise, c.promise)
		})
	}
}

// Guards against bounds that are applied to VMs and targets in trouble, so that a
// day's verdict would depend on what no system can keep.
func TestOracleExcusesTrouble(t *testing.T) {
	is := is.New(t)
	w := busyWorld(t)
	f := w.openFlow(t)
	f.target.trouble.begin()
	w.callers.resetBy(w.fleet.vms[0], flow.Packet{Flow: f.key, Flags: flow.RST})
	is.Equal(w.oracle.broken, 0)
	is.Equal(w.oracle.brokenFlows, 1) // counted all the same

	calm := w.day.Site.Bounds.SettleTime.D()
	d := &disturbance{}
	is.True(d.calm(0, calm))
	d.begin()
	is.True(!d.calm(calm, calm))
	d.end(calm)
	is.True(!d.calm(2*calm-1, calm))
	is.True(d.calm(2*calm, calm))
}
