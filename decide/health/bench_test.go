package health

import (
	"testing"
	"time"
)

// BenchmarkRequest is what one request costs: its outcome, and the state and
// concurrency that admission asks for.
func BenchmarkRequest(b *testing.B) {
	b.ReportAllocs()
	tr := New(Config{}, 0)
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		tr.RecordOutcome(now, Success)
		if tr.State(now) != Healthy || tr.Concurrency(now, 3) != 3 {
			b.Fatal("healthy target without full concurrency")
		}
	}
}

// BenchmarkReport is one report of the target's endpoints.
func BenchmarkReport(b *testing.B) {
	b.ReportAllocs()
	tr := New(Config{}, 0)
	now := time.Duration(0)
	for b.Loop() {
		now += time.Second
		tr.RecordReport(now, fine)
	}
}
