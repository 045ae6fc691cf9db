package admin

import (
	"maps"
	"net/http"
	"strings"

	"github.com/uber-go/tally/v4"

	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/services/exposition"
)

// metrics reads all sources into a new scope and renders it. A scope of its own
// for each scrape lets metrics of things that are gone, such as a target that
// moved to another VM, disappear.
func (s *Service) metrics(w http.ResponseWriter, r *http.Request) {
	scope := exposition.NewScope()
	exposition.Rings(scope, s.kernel.Rings())
	s.readUDP(scope)
	s.readPeers(scope)
	s.readStore(scope)
	s.readCerts(scope)
	machine, err := s.readMachine(r)
	if err != nil {
		s.write(w, r, "", nil, err)
		return
	}
	for _, c := range machine.counters {
		scope.Tagged(c.tags).Counter(c.name).Inc(c.value)
	}
	for _, g := range machine.gauges {
		scope.Tagged(g.tags).Gauge(g.name).Update(g.value)
	}
	s.write(w, r, exposition.ContentType, exposition.Render(scope), nil)
}

func (s *Service) readUDP(scope tally.Scope) {
	if s.udp == nil {
		return
	}
	stats := s.udp.Stats()
	exposition.Count(scope, map[string]uint64{
		"udp_received_total": stats.Received,
		"udp_rejected_total": stats.Rejected,
		"udp_sent_total":     stats.Sent,
		"udp_failed_total":   stats.Failed,

		"udp_unauthenticated_total": stats.Unauthenticated,
	})
}

func (s *Service) readPeers(scope tally.Scope) {
	if s.peers == nil {
		return
	}
	stats := s.peers.Stats()
	scope.Gauge("peers_links").Update(float64(stats.Links))
	scope.Gauge("peers_sessions").Update(float64(stats.Sessions))
	exposition.Count(scope, map[string]uint64{
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

func (s *Service) readStore(scope tally.Scope) {
	if s.store == nil {
		return
	}
	stats := s.store.Stats()
	scope.Gauge("store_revision").Update(float64(stats.Revision))
	exposition.Count(scope, map[string]uint64{
		"store_reads_total":    stats.Reads,
		"store_watches_total":  stats.Watches,
		"store_failures_total": stats.Failures,
		"store_entries_total":  stats.Entries,
	})
}

// readCerts reports the seconds until the certificate runs out, which need no
// clock of the reader and turn negative after the end.
func (s *Service) readCerts(scope tally.Scope) {
	if s.certs == nil {
		return
	}
	stats := s.certs.Stats()
	left := stats.Expires.Sub(s.certs.Source().Now())
	scope.Gauge("certificate_left_seconds").Update(left.Seconds())
	exposition.Count(scope, map[string]uint64{
		"certificate_reloads_total":  stats.Reloads,
		"certificate_failures_total": stats.Failures,
		"admin_refused_total":        s.refused.Load(),
	})
}

// counter is one counter of the machine.
type counter struct {
	name  string
	tags  map[string]string
	value int64
}

// gauge is one gauge of the machine.
type gauge struct {
	name  string
	tags  map[string]string
	value float64
}

// machineMetrics are copied on the core duty.
type machineMetrics struct {
	counters []counter
	gauges   []gauge
}

// readMachine asks the decisions for their metrics. Counters get the suffix
// "_total" unless they have it.
func (s *Service) readMachine(r *http.Request) (machineMetrics, error) {
	found := make(chan machineMetrics, 1)
	_, err := s.ask(r.Context(), func(m core.Machine) ([]byte, error) {
		found <- collect(m)
		return nil, nil
	})
	if err != nil {
		return machineMetrics{}, err
	}
	return <-found, nil
}

func collect(m core.Machine) machineMetrics {
	var result machineMetrics
	if source, ok := m.(CounterSource); ok {
		source.Counters(func(name string, tags map[string]string, value int64) bool {
			result.counters = append(result.counters, counter{name: counterName(name), tags: cloneTags(tags), value: value})
			return true
		})
	}
	if gauger, ok := m.(GaugeSource); ok {
		gauger.Gauges(func(name string, tags map[string]string, value float64) bool {
			result.gauges = append(result.gauges, gauge{name: name, tags: cloneTags(tags), value: value})
			return true
		})
	}
	return result
}

func counterName(name string) string {
	if strings.HasSuffix(name, "_total") {
		return name
	}
	return name + "_total"
}

func cloneTags(tags map[string]string) map[string]string {
	return maps.Clone(tags)
}
