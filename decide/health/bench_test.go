package health

import (
	"testing"
	"time"
)

// BenchmarkRequest measures the cost of one request: recording its outcome, and the
// state and concurrency that admission reads.
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

// BenchmarkReport measures the cost of one report from the target's endpoints.
func BenchmarkReport(b *testing.B) {
	b.ReportAllocs()
	tr := New(Config{}, 0)
	now := time.Duration(0)
	for b.Loop() {
		now += time.Second
		tr.RecordReport(now, healthy)
	}
}
