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
	// histogramMax is the largest latency that is told apart, in microseconds.
	histogramMax = int64(time.Minute / time.Microsecond)
	// histogramDigits is the number of significant decimal digits.
	histogramDigits = 3
)

// Outcomes counts the calls of one kind by how they ended.
type Outcomes struct {
	Offered    int `json:"offered"`
	Completed  int `json:"completed"`
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"may_have_run"`
	Deadline   int `json:"deadline"` // and not known to have an uncertain outcome
	Cancelled  int `json:"cancelled"`
	Overloaded int `json:"overloaded"` // not sent: the generator had too many calls in progress
	Wrong      int `json:"wrong"`      // answers that are not the whole answer to the request
}

// tally holds what the generator measured of one kind.
type tally struct {
	outcomes Outcomes
	latency  *hdrhistogram.Histogram // microseconds
}

func newTally() *tally {
	return &tally{latency: hdrhistogram.New(1, histogramMax, histogramDigits)}
}

// record is what the oracle has to know of one call.
type record struct {
	service    uint8
	idempotent bool
	notRun     bool // the call ended "not run"
	completed  bool
}

// ended counts the end of a call. Latency runs from the scheduled arrival, so
// that waiting in the generator counts too.
func (t *tally) ended(r *record, payload []byte, result session.Result, latency time.Duration) {
	err := caller.Translate(result.Err)
	switch {
	case err == nil && !target.IsAnswerTo(payload, result.Payload):
		t.outcomes.Wrong++
	case err == nil:
		r.completed = true
		t.outcomes.Completed++
		// Latencies above the maximum are counted as the maximum.
		_ = t.latency.RecordValue(min(max(latency.Microseconds(), 1), histogramMax))
	case errors.Is(err, caller.ErrMayHaveRun):
		t.outcomes.MayHaveRun++
	case errors.Is(err, caller.ErrNotRun):
		r.notRun = true
		t.outcomes.NotRun++
	case errors.Is(err, caller.ErrDeadline):
		t.outcomes.Deadline++
	default:
		t.outcomes.Cancelled++
	}
}
