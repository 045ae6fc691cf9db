package lab

import (
	"errors"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gypsumspan/gypsumspan/caller"
	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/standin/target"
)

const (
	// histogramMaxMicros is the largest latency of the histogram, in microseconds.
	histogramMaxMicros = int64(time.Minute / time.Microsecond)
	// histogramDigits is the histogram's number of significant decimal digits.
	histogramDigits = 3
)

// Outcomes counts the calls of one kind by how they ended.
type Outcomes struct {
	Offered    int `json:"offered"`
	Completed  int `json:"completed"`
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"may_have_run"`
	Deadline   int `json:"deadline"` // deadline passed without a "may have run" outcome
	Cancelled  int `json:"cancelled"`
	Overloaded int `json:"overloaded"` // not sent: too many calls in progress
	Wrong      int `json:"wrong"`      // answers that do not match the request or are incomplete
}

// kindStats holds the outcomes and latencies of the calls of one kind.
type kindStats struct {
	outcomes Outcomes
	latency  *hdrhistogram.Histogram // microseconds
}

func newKindStats() *kindStats {
	return &kindStats{latency: hdrhistogram.New(1, histogramMaxMicros, histogramDigits)}
}

// callRecord is what the oracle checks the executions of one call against.
type callRecord struct {
	service    uint8
	idempotent bool
	notRun     bool // the call ended "not run"
	completed  bool
}

// recordEnd counts the end of a call. Latency is measured from the scheduled arrival,
// so that it includes waiting in the generator.
func (s *kindStats) recordEnd(r *callRecord, payload []byte, result session.Result, latency time.Duration) {
	err := caller.Translate(result.Err)
	switch {
	case err == nil && !target.IsAnswerTo(payload, result.Payload):
		s.outcomes.Wrong++
	case err == nil:
		r.completed = true
		s.outcomes.Completed++
		// Latencies above the maximum are counted as the maximum.
		_ = s.latency.RecordValue(min(max(latency.Microseconds(), 1), histogramMaxMicros))
	case errors.Is(err, caller.ErrMayHaveRun):
		s.outcomes.MayHaveRun++
	case errors.Is(err, caller.ErrNotRun):
		r.notRun = true
		s.outcomes.NotRun++
	case errors.Is(err, caller.ErrDeadline):
		s.outcomes.Deadline++
	default:
		s.outcomes.Cancelled++
	}
}
