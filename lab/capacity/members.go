package capacity

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/membership"
	"github.com/gypsumspan/gypsumspan/decide/message"
)

// tick is the interval between two ticks of a VM, as in the service "core".
const tick = 10 * time.Millisecond

func memberExperiments() []Experiment {
	sizes := []int{16, 1_000, fleetVMs}
	tiny := []int{8, 16, 32}
	return []Experiment{
		{
			Name: "members.memory", Unit: Bytes, Per: "member", Sizes: sizes, TinySizes: tinyHeapSizes(),
			Measure: func(m *Meter, n int) Point { return newPoint(n, membersHeap(m, n)) },
		},
		{
			Name: "members.tick.cpu", Unit: Nanoseconds, Per: "member", Sizes: sizes, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point { return newPoint(n, memberTickTime(m, n)) },
		},
		{
			Name: "members.change.cpu", Unit: Nanoseconds, Per: "member", Sizes: sizes, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point { return newPoint(n, memberChangeTime(m, n)) },
		},
	}
}

// newView returns the membership view of the first VM, which has all others as members.
func newView(all []message.Member) *membership.View {
	v := membership.New(membership.Config{Self: all[0]}, 1, 0)
	v.Receive(0, message.Message{Body: &message.Members{All: all}})
	v.Tick(0)
	return v
}

func membersHeap(m *Meter, n int) float64 {
	all := members(n)
	return m.Heap(func() any {
		v := newView(all)
		v.Live()
		for d := range domainCount {
			v.InDomain(domainID(d))
		}
		return v
	})
}

// acknowledge passes an ack for each heartbeat in out to receive, so that no member is
// suspected.
func acknowledge(out []message.Message, receive func(message.Message)) {
	for _, ack := range acksFor(out) {
		receive(ack)
	}
}

func acksFor(out []message.Message) []message.Message {
	var acks []message.Message
	for _, m := range out {
		h, ok := m.Body.(*message.Heartbeat)
		if !ok {
			continue
		}
		self := message.Member{ID: m.To.VM, Incarnation: member(0).Incarnation, State: message.MemberAlive}
		ack := &message.HeartbeatAck{
			Sequence: h.Sequence, Self: self, TableVersion: h.TableVersion, TableHash: h.TableHash,
		}
		acks = append(acks, message.Message{From: m.To, Body: ack})
	}
	return acks
}

// memberTickTime measures one tick, with the acks of its heartbeats, while no member changes.
func memberTickTime(m *Meter, n int) float64 {
	v := newView(members(n))
	now := time.Duration(0)
	return m.Time(func() {
		now += tick
		out, _ := v.Tick(now)
		acknowledge(out, func(ack message.Message) { v.Receive(now, ack) })
	})
}

// toggle makes heartbeats with a change of one member, alternately to leaving and to alive.
type toggle struct {
	sender  message.Member
	subject message.Member
}

func newToggle(all []message.Member) *toggle {
	return &toggle{sender: all[1], subject: all[len(all)/2]}
}

func (t *toggle) next() message.Message {
	t.subject.Incarnation++
	if t.subject.State == message.MemberAlive {
		t.subject.State = message.MemberLeaving
	} else {
		t.subject.State = message.MemberAlive
	}
	h := &message.Heartbeat{Self: t.sender, Updates: []message.Member{t.subject}}
	return message.Message{From: message.VMAddress(t.sender.ID, t.sender.Control), Body: h}
}

// memberChangeTime measures one membership change, with the choice of neighbours and the
// rebuilding of the lists of live members that follow.
func memberChangeTime(m *Meter, n int) float64 {
	all := members(n)
	v := newView(all)
	t := newToggle(all)
	now := time.Duration(0)
	return m.Time(func() {
		// The view chooses neighbours at most once every 100 ms.
		now += 10 * tick
		v.Receive(now, t.next())
		out, _ := v.Tick(now)
		acknowledge(out, func(ack message.Message) { v.Receive(now, ack) })
		v.Live()
		v.InDomain(all[0].Domain)
	})
}
