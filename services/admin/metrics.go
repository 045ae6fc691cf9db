package admin

import (
	"maps"
	"net/http"
	"strings"

	"github.com/uber-go/tally/v4"

	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/services/exposition"
)

// metrics serves GET /metrics. Each scrape fills a new scope, so that metrics of
// removed objects disappear, such as those of a target that moved to another VM.
func (s *Service) metrics(w http.ResponseWriter, r *http.Request) {
	scope := exposition.NewScope()
	exposition.AddRingMetrics(scope, s.kernel.Rings())
	s.addUDPMetrics(scope)
	s.addPeerMetrics(scope)
	s.addStoreMetrics(scope)
	s.addCertMetrics(scope)
	machine, err := s.queryMachineMetrics(r)
	if err != nil {
		s.writeResponse(w, r, "", nil, err)
		return
	}
	for _, c := range machine.counters {
		scope.Tagged(c.tags).Counter(c.name).Inc(c.value)
	}
	for _, g := range machine.gauges {
		scope.Tagged(g.tags).Gauge(g.name).Update(g.value)
	}
	s.writeResponse(w, r, exposition.ContentType, exposition.Render(scope), nil)
}

func (s *Service) addUDPMetrics(scope tally.Scope) {
	if s.udp == nil {
		return
	}
	stats := s.udp.Stats()
	exposition.AddCounters(scope, map[string]uint64{
		"udp_received_total": stats.Received,
		"udp_rejected_total": stats.Rejected,
		"udp_sent_total":     stats.Sent,
		"udp_failed_total":   stats.Failed,

		"udp_unauthenticated_total": stats.Unauthenticated,
	})
}

func (s *Service) addPeerMetrics(scope tally.Scope) {
	if s.peers == nil {
		return
	}
	stats := s.peers.Stats()
	scope.Gauge("peers_links").Update(float64(stats.Links))
	scope.Gauge("peers_sessions").Update(float64(stats.Sessions))
	exposition.AddCounters(scope, map[string]uint64{
		"peers_sent_total":             stats.Sent,
		"peers_received_total":         stats.Received,
		"peers_sent_bytes_total":       stats.BytesSent,
		"peers_received_bytes_total":   stats.BytesReceived,
		"peers_dials_failed_total":     stats.DialsFailed,
		"peers_links_failed_total":     stats.LinksFailed,
		"peers_sessions_failed_total":  stats.SessionsFailed,
		"peers_sessions_refused_total": stats.SessionsRefused,
		"peers_backoff_drops_total":    stats.BackoffDrops,
		"peers_failed_drops_total":     stats.FailedDrops,
		"peers_refused_total":          stats.CertificatesRefused,
		"peers_mismatches_total":       stats.IdentityMismatches,
	})
}

func (s *Service) addStoreMetrics(scope tally.Scope) {
	if s.store == nil {
		return
	}
	stats := s.store.Stats()
	scope.Gauge("store_revision").Update(float64(stats.Revision))
	exposition.AddCounters(scope, map[string]uint64{
		"store_reads_total":    stats.Reads,
		"store_watches_total":  stats.Watches,
		"store_failures_total": stats.Failures,
		"store_entries_total":  stats.Entries,
	})
}

// addCertMetrics adds the metrics of certificates. The gauge is the time until the
// expiry, negative afterwards; unlike a date, it doesn't depend on the scraper's clock.
func (s *Service) addCertMetrics(scope tally.Scope) {
	if s.certs == nil {
		return
	}
	stats := s.certs.Stats()
	remaining := stats.Expires.Sub(s.certs.Source().Now())
	scope.Gauge("certificate_left_seconds").Update(remaining.Seconds())
	exposition.AddCounters(scope, map[string]uint64{
		"certificate_reloads_total":  stats.Reloads,
		"certificate_failures_total": stats.Failures,
		"admin_refused_total":        s.refusedClients.Load(),
	})
}

// counter is one counter of the state machine.
type counter struct {
	name  string
	tags  map[string]string
	value int64
}

// gauge is one gauge of the state machine.
type gauge struct {
	name  string
	tags  map[string]string
	value float64
}

// machineMetrics is a copy of the state machine's metrics, made on the core duty.
type machineMetrics struct {
	counters []counter
	gauges   []gauge
}

// queryMachineMetrics returns the state machine's metrics.
func (s *Service) queryMachineMetrics(r *http.Request) (machineMetrics, error) {
	metrics := make(chan machineMetrics, 1)
	_, err := s.query(r.Context(), func(m core.Machine) ([]byte, error) {
		metrics <- collectMachineMetrics(m)
		return nil, nil
	})
	if err != nil {
		return machineMetrics{}, err
	}
	return <-metrics, nil
}

// collectMachineMetrics copies the metrics of m, if it has any.
func collectMachineMetrics(m core.Machine) machineMetrics {
	var result machineMetrics
	if counters, ok := m.(CounterSource); ok {
		counters.Counters(func(name string, tags map[string]string, value int64) bool {
			result.counters = append(result.counters, counter{name: counterName(name), tags: cloneTags(tags), value: value})
			return true
		})
	}
	if gauges, ok := m.(GaugeSource); ok {
		gauges.Gauges(func(name string, tags map[string]string, value float64) bool {
			result.gauges = append(result.gauges, gauge{name: name, tags: cloneTags(tags), value: value})
			return true
		})
	}
	return result
}

// counterName appends the suffix "_total" unless name has it.
func counterName(name string) string {
	if strings.HasSuffix(name, "_total") {
		return name
	}
	return name + "_total"
}

func cloneTags(tags map[string]string) map[string]string {
	return maps.Clone(tags)
}
