package packets

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/forward"
)

const (
	// longestTime is the largest time that the histograms hold; longer ones count as
	// this one.
	longestTime = 60 * time.Second
	// timeDigits is the number of significant digits of the histograms.
	timeDigits = 2
	// kinds is the number of kinds of requests.
	kinds = int(catalog.Download) + 1
)

// LatencyHistograms hold the response times of targets, in microseconds, by kind of
// request.
type LatencyHistograms struct {
	Opened   [kinds]*hdrhistogram.Histogram // first packet to the caller's next one
	Answered [kinds]*hdrhistogram.Histogram // data to the caller's progress
}

func newTimes() LatencyHistograms {
	var t LatencyHistograms
	for i := range kinds {
		t.Opened[i] = hdrhistogram.New(1, longestTime.Microseconds(), timeDigits)
		t.Answered[i] = hdrhistogram.New(1, longestTime.Microseconds(), timeDigits)
	}
	return t
}

// note takes in what a packet shows.
func (t *LatencyHistograms) note(v forward.Verdict) {
	if v.Route == nil {
		return
	}
	record(t.Opened[v.Route.Kind], v.Opened)
	record(t.Answered[v.Route.Kind], v.Answered)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	if d > 0 {
		// The value is within the histogram's range.
		_ = h.RecordValue(max(min(d, longestTime).Microseconds(), 1))
	}
}

// Quantile is one quantile of one histogram.
type Quantile struct {
	Name  string // "opened" or "answered"
	Kind  catalog.Kind
	Q     float64 // 0.5, 0.99 or 1
	Value time.Duration
	Count int64 // of recorded times
}

// Quantiles returns quantiles of all histograms that are not empty.
func (s *Service) Quantiles(ctx context.Context) ([]Quantile, error) {
	var list []Quantile
	err := s.Do(ctx, func(time.Duration, *forward.Forwarder) {
		for i := range kinds {
			list = append(list, quantiles("opened", catalog.Kind(i), s.times.Opened[i])...)
			list = append(list, quantiles("answered", catalog.Kind(i), s.times.Answered[i])...)
		}
	})
	return list, err
}

func quantiles(name string, kind catalog.Kind, h *hdrhistogram.Histogram) []Quantile {
	if h.TotalCount() == 0 {
		return nil
	}
	var list []Quantile
	for _, q := range []float64{0.5, 0.99, 1} {
		const percent = 100
		value := time.Duration(h.ValueAtQuantile(q*percent)) * time.Microsecond
		list = append(list, Quantile{Name: name, Kind: kind, Q: q, Value: value, Count: h.TotalCount()})
	}
	return list
}
