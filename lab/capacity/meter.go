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
	// MinLoopTime is the least time of one timing loop.
	MinLoopTime time.Duration
	// HeapSamples is the number of objects of which a memory measurement takes
	// the mean.
	HeapSamples int
}

// Time returns the mean time of one call of step, in nanoseconds.
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

// TimeWithSetup returns the mean time of the functions that prepare returns, in
// nanoseconds. The time of prepare itself does not count.
func (m *Meter) TimeWithSetup(prepare func() func()) float64 {
	prepare()()
	var took time.Duration
	calls := 0
	for took < m.MinLoopTime {
		step := prepare()
		start := time.Now()
		step()
		took += time.Since(start)
		calls++
	}
	return float64(took.Nanoseconds()) / float64(calls)
}

// Heap returns the mean heap bytes that stay in use by what build returns, after
// garbage collection.
func (m *Meter) Heap(build func() any) float64 {
	kept := make([]any, max(m.HeapSamples, 1))
	before := liveHeap()
	for i := range kept {
		kept[i] = build()
	}
	after := liveHeap()
	runtime.KeepAlive(kept)
	return (float64(after) - float64(before)) / float64(len(kept))
}

// liveHeap returns the heap bytes in use. The second collection frees what
// finalizers and pools held through the first one.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// reference returns the nanoseconds of the reference loop: the encoding of one
// heartbeat with 32 short updates into a reused buffer.
func (m *Meter) reference() (float64, error) {
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
