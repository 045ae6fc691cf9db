package capacity

import (
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/vm"
)

const (
	// smallPayloadBytes is the payload size of requests and answers in experiments that do
	// not depend on it.
	smallPayloadBytes = 64
	// longDeadline is long enough that no request expires during a measurement.
	longDeadline = 100 * time.Hour
	// queueCapacity is the capacity, in requests, of the queue whose memory is measured.
	queueCapacity = 16_384
	// answerCacheBytes is enough for all recorded answers of a measurement.
	answerCacheBytes = 64 << 20
)

func flowExperiments() []Experiment {
	flows := []int{1_000, 10_000, 100_000}
	return []Experiment{
		{
			Name: "owner.flow.memory", Unit: Bytes, Per: "open flow", Sizes: flows, TinySizes: tinyHeapSizes(),
			Measure: func(m *Meter, n int) Point { return newPoint(n, flowHeap(m, n)) },
		},
		{
			Name: "owner.usedflow.memory", Unit: Bytes, Per: "open flow with an expired request", Sizes: flows, TinySizes: tinyHeapSizes(),
			Measure: func(m *Meter, n int) Point { return newPoint(n, usedFlowHeap(m, n)) },
		},
		{
			Name: "owner.entry.memory", Unit: Bytes, Per: "request log entry with an answer of 64 B", Sizes: flows, TinySizes: tinyHeapSizes(),
			Measure: func(m *Meter, n int) Point { return newPoint(n, entryHeap(m, n)) },
		},
		{
			Name: "owner.queued.memory", Unit: Bytes, Per: "queued request of 64 B",
			Sizes: []int{100, 1_000, 10_000}, TinySizes: tinyHeapSizes(),
			Measure: func(m *Meter, n int) Point { return newPoint(n, queuedHeap(m, n)) },
		},
		{
			Name: "caller.flow.memory", Unit: Bytes, Per: "open flow", Sizes: flows, TinySizes: tinyHeapSizes(),
			Measure: func(m *Meter, n int) Point { return newPoint(n, sessionHeap(m, n)) },
		},
	}
}

func flowHeap(m *Meter, n int) float64 {
	return m.Heap(func() any {
		r := newOwnerHarness(vm.Config{}, targetLimit)
		r.openAll(n)
		return r
	})
}

// usedFlowHeap measures flows that had one request each, whose log entry has expired.
func usedFlowHeap(m *Meter, n int) float64 {
	return m.Heap(func() any {
		r := newOwnerHarness(vm.Config{}, targetLimit)
		r.openAll(n)
		for i := range n {
			r.exchange(i, smallPayloadBytes, time.Second)
		}
		for range 20 {
			r.step(time.Second)
		}
		return r
	})
}

// entryHeap measures request log entries of one flow that have an answer and have not expired.
func entryHeap(m *Meter, n int) float64 {
	return m.Heap(func() any {
		r := newOwnerHarness(vm.Config{MaxAnswerBytes: answerCacheBytes}, targetLimit)
		for range n {
			r.exchange(0, smallPayloadBytes, time.Minute)
		}
		return r
	})
}

// queuedHeap measures requests of different callers that wait for a slot.
func queuedHeap(m *Meter, n int) float64 {
	return m.Heap(func() any {
		r := newOwnerHarness(vm.Config{QueueCapacity: queueCapacity}, targetLimit)
		for i := range n + targetLimit {
			from := message.CallerAddress(netip.AddrPortFrom(address(172, i), 4000))
			r.receive(message.Message{From: from, Body: r.request(0, smallPayloadBytes, longDeadline)})
		}
		return r
	})
}

// sessionHeap measures bound flows in a session of the caller library.
func sessionHeap(m *Meter, n int) float64 {
	return m.Heap(func() any {
		s := session.New(session.Config{}, [32]byte{1})
		for range n {
			_, out := s.OpenFlow(0, 1)
			open := out.Messages[0].Body.(*message.Open)
			bound := &message.Bound{Flow: open.Flow, Binding: message.Binding{Target: 1, Epoch: 1}}
			s.Receive(0, message.Message{Body: bound})
		}
		return s
	})
}
