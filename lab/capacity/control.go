package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/vm"
)

// quietTime is the time over which control traffic is counted.
const quietTime = 20 * time.Second

func controlExperiments() []Experiment {
	return []Experiment{
		{
			Name: "control.heartbeat.rate", Unit: BytesPerSecond, Per: "member",
			Sizes: []int{16, 1_000, fleetVMs}, TinySizes: []int{8, 16, 32},
			Measure: func(_ *Meter, n int) Point { return at(n, newTraffic(members(n)).rate(heartbeats)) },
		},
		{
			Name: "control.change.bytes", Unit: Bytes, Per: "gossiped change",
			Sizes: []int{20, 100, 400}, TinySizes: []int{5, 10, 20},
			Measure: func(_ *Meter, n int) Point { return at(n, changeTraffic(n)) },
		},
		{
			Name: "control.load.rate", Unit: BytesPerSecond, Per: "owned target",
			Sizes: []int{400, 1_600, 6_400}, TinySizes: []int{80, 160, 320},
			Measure: func(_ *Meter, n int) Point { return loadTraffic(n) },
		},
		serviceLoads("control.load.rest", 0, 0),
		serviceLoads("control.load.steady", newFlowsPerTarget, newFlowsPerTarget),
		serviceLoads("control.load.rise", newFlowsPerTarget, 0),
	}
}

// traffic counts the control bytes that one VM sends while its neighbours
// answer its heartbeats and send as many to it.
type traffic struct {
	*rig
	all      []message.Member
	changes  []message.Member // still to be gossiped to the VM
	perRound int
	next     int
	sum      [2]float64 // bytes by kind
	eachTick func()     // what else happens; may be nil
}

// Kinds of counted control bytes.
const (
	heartbeats = iota
	loadReports
)

func newTraffic(all []message.Member) *traffic {
	t := &traffic{rig: newRig(all, vm.Config{}), all: all}
	t.settle()
	return t
}

func (t *traffic) count(out []message.Message) {
	for _, m := range out {
		switch m.Body.(type) {
		case *message.Heartbeat, *message.HeartbeatAck:
			t.sum[heartbeats] += bytesOf(m.Body) + frameBytes
		case *message.LoadReport:
			t.sum[loadReports] += bytesOf(m.Body) + frameBytes
		}
	}
}

// run counts for quietTime.
func (t *traffic) run() {
	for until := t.now + quietTime; t.now < until; {
		t.now += tick
		if t.eachTick != nil {
			t.eachTick()
		}
		out := t.Tick(t.now)
		t.count(out)
		acks := acksFor(out)
		for _, ack := range acks {
			t.count(t.receive(ack))
			t.count(t.receive(t.heartbeat()))
		}
	}
}

// rate returns the bytes per second of one kind.
func (t *traffic) rate(kind int) float64 {
	t.run()
	return t.sum[kind] / quietTime.Seconds()
}

// heartbeat returns a heartbeat from another VM, with the next changes.
func (t *traffic) heartbeat() message.Message {
	t.next = t.next%(len(t.all)-1) + 1
	sender := t.all[t.next]
	n := min(t.perRound, len(t.changes))
	h := &message.Heartbeat{
		Self: message.Member{ID: sender.ID, Incarnation: sender.Incarnation, State: sender.State},
	}
	h.Updates = append(h.Updates, t.changes[:n]...)
	t.changes = t.changes[n:]
	return message.Message{From: memberAddress(sender), Body: h}
}

// changeTraffic returns the heartbeat bytes of a VM while n members leave or
// restart, as they arrive by gossip.
func changeTraffic(n int) float64 {
	all := members(1_000)
	t := newTraffic(all)
	t.perRound = 1 + n/100
	for i := range n {
		m := all[500+i]
		m.Incarnation++
		t.changes = append(t.changes, m)
	}
	t.run()
	return t.sum[heartbeats]
}

const (
	// loadVMs is the number of VMs in experiments on load reports.
	loadVMs = 16 * domainCount
	// newFlowsPerTarget is the number of flows opened per second and target in two
	// years: 950,000 at 160,000 targets, or 63 at a VM.
	newFlowsPerTarget = 950_000.0 / fleetTargets
	// flowsPerTarget is the number of open flows at a target in two years.
	flowsPerTarget = 110_000_000 / fleetTargets
)

// serviceLoads measures the load reports per owned target for services of
// different sizes, while every owned target opens and closes flows at random times
// (Poisson processes with the given rates per second).
func serviceLoads(name string, opened, closed float64) Experiment {
	return Experiment{
		Name: name, Unit: BytesPerSecond, Per: "target of the service",
		Sizes: []int{4, 17, 450}, TinySizes: []int{4, 17, 34},
		Measure: func(_ *Meter, n int) Point { return at(n, newLoadRig(n).perTarget(opened, closed)) },
	}
}

// loadRig is a VM that owns about as many targets as a VM in two years, with the
// flows of each.
type loadRig struct {
	*traffic
	rng   *rand.Rand
	owned []ownedFlows
	last  int // flow
}

// ownedFlows are the open flows of an owned target.
type ownedFlows struct {
	service message.ServiceID
	target  message.TargetID
	flows   []int
	binding message.Binding
}

// newLoadRig returns a rig whose services have size targets each.
func newLoadRig(size int) *loadRig {
	services := max(1, loadVMs*fleetTargets/fleetVMs/size)
	all := members(loadVMs)
	r := &loadRig{traffic: &traffic{rig: newRig(all, vm.Config{}), all: all}, rng: rand.New(rand.NewPCG(1, 1))}
	r.load(services, services*size)
	r.settle()
	for n := range services {
		s := service(n, services, services*size)
		for i := range s.Targets {
			if r.Owns(s.Targets[i].ID) {
				r.owned = append(r.owned, ownedFlows{service: s.ID, target: s.Targets[i].ID})
			}
		}
	}
	for i := range r.owned {
		for range flowsPerTarget {
			r.open(&r.owned[i])
		}
	}
	r.settle()
	return r
}

// perTarget returns the bytes per second of load reports for one owned target.
func (r *loadRig) perTarget(opened, closed float64) float64 {
	r.eachTick = func() {
		for i := range r.owned {
			if r.rng.Float64() < opened*tick.Seconds() {
				r.open(&r.owned[i])
			}
			if r.rng.Float64() < closed*tick.Seconds() {
				r.closeOne(&r.owned[i])
			}
		}
	}
	return r.rate(loadReports) / float64(len(r.owned))
}

// open opens a flow as other owners pass it on for the last time, so that the
// target takes it in any case.
func (r *loadRig) open(o *ownedFlows) {
	const passed = 4
	r.last++
	out := r.receive(r.passedOn(o, passed, &message.Open{Service: o.service, Flow: flowID(r.last)}))
	for i := range out {
		if b, ok := out[i].Body.(*message.Bound); ok {
			o.binding = b.Binding
			o.flows = append(o.flows, r.last)
			return
		}
	}
	panic(fmt.Sprintf("capacity: an Open caused %d messages and no Bound", len(out)))
}

func (r *loadRig) closeOne(o *ownedFlows) {
	i := r.rng.IntN(len(o.flows))
	flow := flowID(o.flows[i])
	o.flows[i] = o.flows[len(o.flows)-1]
	o.flows = o.flows[:len(o.flows)-1]
	r.receive(r.passedOn(o, 0, &message.Close{Service: o.service, Flow: flow, Binding: o.binding}))
}

func (r *loadRig) passedOn(o *ownedFlows, hops uint8, inner message.Body) message.Message {
	f := &message.Forward{
		Ingress: r.all[1].ID, Caller: callerAddr, Hops: hops, Target: o.target, Hinted: hops == 0, Inner: inner,
	}
	return message.Message{From: memberAddress(r.all[1]), Body: f}
}

// loadTraffic counts load reports at a VM of a fleet of 16 per failure domain.
// The size of the point is the number of targets that the VM owns.
func loadTraffic(targets int) Point {
	t := &traffic{rig: newRig(members(loadVMs), vm.Config{}), all: members(loadVMs)}
	services := servicesFor(targets)
	t.load(services, targets)
	t.settle()
	return Point{Size: float64(t.owned(services, targets)), Value: t.rate(loadReports)}
}
