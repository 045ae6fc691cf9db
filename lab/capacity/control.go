package capacity

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/vm"
)

// trafficWindow is the time over which control traffic is counted.
const trafficWindow = 20 * time.Second

func controlExperiments() []Experiment {
	return []Experiment{
		{
			Name: "control.heartbeat.rate", Unit: BytesPerSecond, Per: "member",
			Sizes: []int{16, 1_000, fleetVMs}, TinySizes: []int{8, 16, 32},
			Measure: func(_ *Meter, n int) Point { return newPoint(n, newTraffic(members(n)).rate(heartbeats)) },
		},
		{
			Name: "control.change.bytes", Unit: Bytes, Per: "gossiped change",
			Sizes: []int{20, 100, 400}, TinySizes: []int{5, 10, 20},
			Measure: func(_ *Meter, n int) Point { return newPoint(n, changeTraffic(n)) },
		},
		{
			Name: "control.load.rate", Unit: BytesPerSecond, Per: "owned target",
			Sizes: []int{400, 1_600, 6_400}, TinySizes: []int{80, 160, 320},
			Measure: func(_ *Meter, n int) Point { return loadTraffic(n) },
		},
		serviceLoadExperiment("control.load.rest", 0, 0),
		serviceLoadExperiment("control.load.steady", newFlowsPerTarget, newFlowsPerTarget),
		serviceLoadExperiment("control.load.rise", newFlowsPerTarget, 0),
	}
}

// traffic counts the control bytes that a VM sends while its neighbours acknowledge its
// heartbeats and send it as many.
type traffic struct {
	*harness
	members             []message.Member
	changes             []message.Member // changes that have not been gossiped to the VM yet
	changesPerHeartbeat int
	nextSender          int
	bytesByKind         [2]float64 // indexed by heartbeats and loadReports
	onTick              func()     // called before each tick; may be nil
}

// Kinds of counted control bytes.
const (
	heartbeats = iota
	loadReports
)

func newTraffic(all []message.Member) *traffic {
	t := &traffic{harness: newHarness(all, vm.Config{}), members: all}
	t.settle()
	return t
}

func (t *traffic) count(out []message.Message) {
	for _, m := range out {
		switch m.Body.(type) {
		case *message.Heartbeat, *message.HeartbeatAck:
			t.bytesByKind[heartbeats] += bytesOf(m.Body) + frameBytes
		case *message.LoadReport:
			t.bytesByKind[loadReports] += bytesOf(m.Body) + frameBytes
		}
	}
}

// run counts for trafficWindow.
func (t *traffic) run() {
	for until := t.now + trafficWindow; t.now < until; {
		t.now += tick
		if t.onTick != nil {
			t.onTick()
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

// rate runs the VM for trafficWindow and returns the bytes per second of a kind.
func (t *traffic) rate(kind int) float64 {
	t.run()
	return t.bytesByKind[kind] / trafficWindow.Seconds()
}

// heartbeat returns a heartbeat from the next of the other VMs, with the next changes.
func (t *traffic) heartbeat() message.Message {
	t.nextSender = t.nextSender%(len(t.members)-1) + 1
	sender := t.members[t.nextSender]
	n := min(t.changesPerHeartbeat, len(t.changes))
	h := &message.Heartbeat{
		Self: message.Member{ID: sender.ID, Incarnation: sender.Incarnation, State: sender.State},
	}
	h.Updates = append(h.Updates, t.changes[:n]...)
	t.changes = t.changes[n:]
	return message.Message{From: memberAddress(sender), Body: h}
}

// changeTraffic returns the heartbeat bytes that a VM sends while it receives n membership
// changes by gossip.
func changeTraffic(n int) float64 {
	all := members(1_000)
	t := newTraffic(all)
	t.changesPerHeartbeat = 1 + n/100
	for i := range n {
		m := all[500+i]
		m.Incarnation++
		t.changes = append(t.changes, m)
	}
	t.run()
	return t.bytesByKind[heartbeats]
}

const (
	// loadVMs is the number of VMs in the experiments on load reports.
	loadVMs = 16 * domainCount
	// newFlowsPerTarget is the number of flows opened per second and target at the design
	// size: 950,000 for 160,000 targets, or 63 per VM.
	newFlowsPerTarget = 950_000.0 / fleetTargets
	// flowsPerTarget is the number of open flows per target at the design size.
	flowsPerTarget = 110_000_000 / fleetTargets
)

// serviceLoadExperiment measures the load reports per owned target for services of different
// sizes. Flows of each owned target are opened and closed by Poisson processes with the given
// rates per second.
func serviceLoadExperiment(name string, opened, closed float64) Experiment {
	return Experiment{
		Name: name, Unit: BytesPerSecond, Per: "target of the service",
		Sizes: []int{4, 17, 450}, TinySizes: []int{4, 17, 34},
		Measure: func(_ *Meter, n int) Point { return newPoint(n, newLoadHarness(n).perTarget(opened, closed)) },
	}
}

// loadHarness is a VM that owns about as many targets, each with as many flows, as a VM at
// the design size.
type loadHarness struct {
	*traffic
	rng      *rand.Rand
	owned    []ownedFlows
	lastFlow int // index of the last flow that was opened
}

// ownedFlows are the open flows of an owned target.
type ownedFlows struct {
	service message.ServiceID
	target  message.TargetID
	flows   []int
	binding message.Binding
}

// newLoadHarness returns a harness whose services have size targets each.
func newLoadHarness(size int) *loadHarness {
	services := max(1, loadVMs*fleetTargets/fleetVMs/size)
	all := members(loadVMs)
	r := &loadHarness{traffic: &traffic{harness: newHarness(all, vm.Config{}), members: all}, rng: rand.New(rand.NewPCG(1, 1))}
	r.mergeTable(services, services*size)
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

// perTarget returns the bytes per second of load reports per owned target, with flows opened
// and closed at the given rates per second and target.
func (r *loadHarness) perTarget(opened, closed float64) float64 {
	r.onTick = func() {
		for i := range r.owned {
			if r.rng.Float64() < opened*tick.Seconds() {
				r.open(&r.owned[i])
			}
			if r.rng.Float64() < closed*tick.Seconds() {
				r.closeRandom(&r.owned[i])
			}
		}
	}
	return r.rate(loadReports) / float64(len(r.owned))
}

// open opens a flow with an Open that owners have forwarded maxHops times, so that the
// target must accept it.
func (r *loadHarness) open(o *ownedFlows) {
	const maxHops = 4
	r.lastFlow++
	out := r.receive(r.forwarded(o, maxHops, &message.Open{Service: o.service, Flow: flowID(r.lastFlow)}))
	for i := range out {
		if b, ok := out[i].Body.(*message.Bound); ok {
			o.binding = b.Binding
			o.flows = append(o.flows, r.lastFlow)
			return
		}
	}
	panic(fmt.Sprintf("capacity: an Open caused %d messages and no Bound", len(out)))
}

func (r *loadHarness) closeRandom(o *ownedFlows) {
	i := r.rng.IntN(len(o.flows))
	flow := flowID(o.flows[i])
	o.flows[i] = o.flows[len(o.flows)-1]
	o.flows = o.flows[:len(o.flows)-1]
	r.receive(r.forwarded(o, 0, &message.Close{Service: o.service, Flow: flow, Binding: o.binding}))
}

func (r *loadHarness) forwarded(o *ownedFlows, hops uint8, inner message.Body) message.Message {
	f := &message.Forward{
		Ingress: r.members[1].ID, Caller: callerAddr, Hops: hops, Target: o.target, Hinted: hops == 0, Inner: inner,
	}
	return message.Message{From: memberAddress(r.members[1]), Body: f}
}

// loadTraffic measures the load reports of a VM in a fleet of 16 VMs per failure domain. The
// size of the point is the number of targets that the VM owns.
func loadTraffic(targets int) Point {
	t := &traffic{harness: newHarness(members(loadVMs), vm.Config{}), members: members(loadVMs)}
	services := servicesFor(targets)
	t.mergeTable(services, targets)
	t.settle()
	return Point{Size: float64(t.owned(services, targets)), Value: t.rate(loadReports)}
}
