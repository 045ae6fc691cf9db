package capacity

import (
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
			Sizes: []int{16, 1_000, fleetVMs}, Tiny: []int{8, 16, 32},
			Measure: func(_ *Meter, n int) Point { return at(n, newTraffic(members(n)).rate(heartbeats)) },
		},
		{
			Name: "control.change.bytes", Unit: Bytes, Per: "gossiped change",
			Sizes: []int{20, 100, 400}, Tiny: []int{5, 10, 20},
			Measure: func(_ *Meter, n int) Point { return at(n, changeTraffic(n)) },
		},
		{
			Name: "control.load.rate", Unit: BytesPerSecond, Per: "owned target",
			Sizes: []int{400, 1_600, 6_400}, Tiny: []int{80, 160, 320},
			Measure: func(_ *Meter, n int) Point { return loadTraffic(n) },
		},
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

// loadTraffic counts load reports at a VM of a fleet of 16 per failure domain.
// The size of the point is the number of targets that the VM owns.
func loadTraffic(targets int) Point {
	const vms = 16 * domainCount
	t := &traffic{rig: newRig(members(vms), vm.Config{}), all: members(vms)}
	services := servicesFor(targets)
	t.load(services, targets)
	t.settle()
	return Point{Size: float64(t.owned(services, targets)), Value: t.rate(loadReports)}
}
