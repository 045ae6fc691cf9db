package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/wire"
)

// Meter measures time and memory on this machine.
type Meter struct {
	// MinLoopTime is the minimum duration of a timing loop.
	MinLoopTime time.Duration
	// HeapSamples is the number of objects over which a memory measurement is averaged.
	HeapSamples int
}

// Time returns the mean duration of a call of step, in nanoseconds.
func (m *Meter) Time(step func()) float64 {
	step()
	for calls := 1; ; calls *= 2 {
		start := time.Now()
		for range calls {
			step()
		}
		if took := time.Since(start); took >= m.MinLoopTime {
			return float64(took.Nanoseconds()) / float64(calls)
		}
	}
}

// TimeWithSetup returns the mean duration of the functions that setup returns, in
// nanoseconds, without that of setup itself.
func (m *Meter) TimeWithSetup(setup func() func()) float64 {
	setup()()
	var took time.Duration
	calls := 0
	for took < m.MinLoopTime {
		step := setup()
		start := time.Now()
		step()
		took += time.Since(start)
		calls++
	}
	return float64(took.Nanoseconds()) / float64(calls)
}

// Heap returns the mean number of heap bytes that the result of build occupies after garbage
// collection.
func (m *Meter) Heap(build func() any) float64 {
	objects := make([]any, max(m.HeapSamples, 1))
	before := liveHeap()
	for i := range objects {
		objects[i] = build()
	}
	after := liveHeap()
	runtime.KeepAlive(objects)
	return (float64(after) - float64(before)) / float64(len(objects))
}

// liveHeap returns the number of heap bytes in use. The second collection frees what
// finalizers and pools retained during the first.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// referenceTime returns the duration of one pass of the reference loop, in nanoseconds: it
// encodes a heartbeat with 32 short updates into a reused buffer.
func (m *Meter) referenceTime() (float64, error) {
	const updates = 32
	heartbeat := &message.Heartbeat{Sequence: 1, Self: member(0), TableVersion: 1, TableHash: 1}
	for i := range updates {
		full := member(i + 1)
		short := message.Member{ID: full.ID, Incarnation: full.Incarnation, State: full.State}
		heartbeat.Updates = append(heartbeat.Updates, short)
	}
	buffer, err := wire.Append(nil, heartbeat)
	if err != nil {
		return 0, fmt.Errorf("reference loop: %w", err)
	}
	return m.Time(func() { buffer, _ = wire.Append(buffer[:0], heartbeat) }), nil
}

// bytesOf returns the encoded size of a message, in bytes.
func bytesOf(body message.Body) float64 {
	out, err := wire.Append(nil, body)
	if err != nil {
		panic(fmt.Sprintf("capacity: %v", err))
	}
	return float64(len(out))
}
