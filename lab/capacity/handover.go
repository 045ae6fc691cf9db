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
			Measure: func(_ *Meter, n int) Point { return newPoint(n, newTransfer(n, 0).bytes()) },
		},
		{
			Name: "handover.entry.bytes", Unit: Bytes, Per: "request log entry", Sizes: flows, TinySizes: tiny,
			Measure: func(_ *Meter, n int) Point { return newPoint(n, newTransfer(1, n).bytes()) },
		},
		{
			Name: "handover.send.cpu", Unit: Nanoseconds, Per: "flow", Sizes: flows, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point {
				return newPoint(n, m.TimeWithSetup(func() func() { return newTransfer(n, 0).leave }))
			},
		},
		{
			Name: "handover.receive.cpu", Unit: Nanoseconds, Per: "flow", Sizes: flows, TinySizes: tiny,
			Measure: func(m *Meter, n int) Point {
				return newPoint(n, m.TimeWithSetup(func() func() {
					t := newTransfer(n, 0)
					t.leave()
					return t.receive
				}))
			},
		},
	}
}

// transfer is the planned leave of a VM that owns one target, in a fleet of two VMs.
type transfer struct {
	from    *ownerHarness
	to      *harness
	address message.Address // of the leaving VM
	chunks  [][]byte
}

// newTransfer returns a transfer of a number of flows, with request log entries on the first.
func newTransfer(flows, entries int) *transfer {
	pair := []message.Member{member(0), member(domainCount)}
	s := oneService(1, 0)
	for i := 0; !ranksBefore(s.Targets[0].ID, pair[0], pair[1]); i += domainCount {
		s.Targets[0] = targetRow(s.Name, i)
	}
	t := &transfer{address: memberAddress(pair[0])}
	t.from = &ownerHarness{harness: newHarness(pair, vm.Config{}), service: s}
	t.to = newHarness([]message.Member{pair[1], pair[0]}, vm.Config{})
	for _, r := range []*harness{t.from.harness, t.to} {
		r.mergeService(s)
		r.settle()
	}
	t.from.binding = t.from.open(0)
	t.from.openAll(flows)
	for range entries {
		t.from.exchange(0, smallPayloadBytes, time.Minute)
	}
	return t
}

// leave starts the leave and encodes the messages of the handover.
func (t *transfer) leave() {
	t.from.Leave(t.from.now)
	t.from.now += tick
	for _, m := range t.from.Tick(t.from.now) {
		if _, ok := m.Body.(*message.Handover); ok {
			t.chunks = append(t.chunks, encode(nil, m.Body))
		}
	}
	if len(t.chunks) == 0 {
		panic("capacity: a leaving VM sent no handover")
	}
}

// receive decodes the handover and delivers it to the new owner.
func (t *transfer) receive() {
	for _, data := range t.chunks {
		t.to.receive(message.Message{From: t.address, Body: decode(data)})
	}
}

// bytes returns the size of the handover, with the framing of its messages.
func (t *transfer) bytes() float64 {
	t.leave()
	total := 0
	for _, data := range t.chunks {
		total += len(data) + frameBytes
	}
	return float64(total)
}
