package capacity

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/vm"
)

func handoverExperiments() []Experiment {
	flows := []int{100, 1_000, 10_000}
	tiny := []int{10, 20, 40}
	return []Experiment{
		{
			Name: "handover.flow.bytes", Unit: Bytes, Per: "flow", Sizes: flows, TinySizes: tiny,
			Measure: func(_ *Meter, n int) Point { return at(n, newTransfer(n, 0).bytes()) },
		},
		{
			Name: "handover.entry.bytes", Unit: Bytes, Per: "request log entry", Sizes: flows, TinySizes: tiny,
			Measure: func(_ *Meter, n int) Point { return at(n, newTransfer(1, n).bytes()) },
		},
		{
			Name: "handover.send.cpu", Unit: Nanoseconds, Per: "flow", Sizes: flows, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point {
				return at(n, m.TimeWithSetup(func() func() { return newTransfer(n, 0).send }))
			},
		},
		{
			Name: "handover.receive.cpu", Unit: Nanoseconds, Per: "flow", Sizes: flows, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point {
				return at(n, m.TimeWithSetup(func() func() {
					t := newTransfer(n, 0)
					t.send()
					return t.receive
				}))
			},
		},
	}
}

// transfer is a planned leave of a VM with one target, whose successor is the
// only other VM.
type transfer struct {
	from    *ownerRig
	to      *rig
	address message.Address // of the sender
	sent    [][]byte
}

// newTransfer returns a transfer of flows with log entries on the first of them.
func newTransfer(flows, entries int) *transfer {
	pair := []message.Member{member(0), member(domainCount)}
	s := oneService(1, 0)
	for i := 0; !before(s.Targets[0].ID, pair[0], pair[1]); i += domainCount {
		s.Targets[0] = row(s.Name, i)
	}
	t := &transfer{address: memberAddress(pair[0])}
	t.from = &ownerRig{rig: newRig(pair, vm.Config{}), service: s}
	t.to = newRig([]message.Member{pair[1], pair[0]}, vm.Config{})
	for _, r := range []*rig{t.from.rig, t.to} {
		r.loadService(s)
		r.settle()
	}
	t.from.binding = t.from.open(0)
	t.from.openAll(flows)
	for range entries {
		t.from.exchange(0, smallPayload, time.Minute)
	}
	return t
}

// send makes the leave and encodes the handover.
func (t *transfer) send() {
	t.from.Leave(t.from.now)
	t.from.now += tick
	for _, m := range t.from.Tick(t.from.now) {
		if _, ok := m.Body.(*message.Handover); ok {
			t.sent = append(t.sent, encode(nil, m.Body))
		}
	}
	if len(t.sent) == 0 {
		panic("capacity: a leaving VM sent no handover")
	}
}

// receive decodes the handover and merges it.
func (t *transfer) receive() {
	for _, data := range t.sent {
		t.to.receive(message.Message{From: t.address, Body: decode(data)})
	}
}

// bytes returns the size of the handover with the frames of its messages.
func (t *transfer) bytes() float64 {
	t.send()
	total := 0
	for _, data := range t.sent {
		total += len(data) + frameBytes
	}
	return float64(total)
}
