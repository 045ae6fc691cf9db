package packets

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/forward"
)

const (
	// maxLatency is the upper bound of the histograms; longer times are recorded as it.
	maxLatency = 60 * time.Second
	// significantDigits is the number of significant decimal digits of the histograms.
	significantDigits = 2
	// kindCount is the number of request kinds; catalog.Download is the last one.
	kindCount = int(catalog.Download) + 1
)

// LatencyHistograms are HDR histograms of the response times of targets, in
// microseconds, by kind of request.
type LatencyHistograms struct {
	ConnectTime  [kindCount]*hdrhistogram.Histogram // last placed SYN to the caller's next packet
	ResponseTime [kindCount]*hdrhistogram.Histogram // first data of a request to the caller's next progress
}

func newLatencyHistograms() LatencyHistograms {
	var h LatencyHistograms
	for i := range kindCount {
		h.ConnectTime[i] = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
		h.ResponseTime[i] = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	}
	return h
}

// recordVerdict records the times that were measured with a packet.
func (h *LatencyHistograms) recordVerdict(v forward.Verdict) {
	if v.Route == nil {
		return
	}
	record(h.ConnectTime[v.Route.Kind], v.ConnectTime)
	record(h.ResponseTime[v.Route.Kind], v.ResponseTime)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	if d > 0 {
		// No error: the value is within the histogram's range.
		_ = h.RecordValue(max(min(d, maxLatency).Microseconds(), 1))
	}
}

// Quantile is a quantile of the response times of one kind of request.
type Quantile struct {
	Name  string // "opened" for ConnectTime, "answered" for ResponseTime
	Kind  catalog.Kind
	Q     float64 // 0.5, 0.99 or 1
	Value time.Duration
	Count int64 // number of recorded times
}

// Quantiles returns the quantiles of all histograms that are not empty. It returns
// ErrNoAnswer if the forwarding duty does not respond in time.
func (s *Service) Quantiles(ctx context.Context) ([]Quantile, error) {
	var list []Quantile
	err := s.Do(ctx, func(time.Duration, *forward.Forwarder) {
		for i := range kindCount {
			list = append(list, quantiles("opened", catalog.Kind(i), s.latencies.ConnectTime[i])...)
			list = append(list, quantiles("answered", catalog.Kind(i), s.latencies.ResponseTime[i])...)
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
