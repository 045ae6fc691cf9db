// Package flowmetrics is the service "flowmetrics": the HTTP handlers on the control
// address of a VM that forwards opaque flows.
//
//	GET /metrics                            metrics in the Prometheus text format 0.0.4
//	GET /v1/status                          JSON: routes, targets with their health evidence, age of the catalog
//	GET /v1/explain?caller=A:P&address=A:P  JSON: state of one flow, and the target that it would get
package flowmetrics

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/forward"
	decide "github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/catalogwatch"
	"github.com/gypsumspan/gypsumspan/services/control"
	"github.com/gypsumspan/gypsumspan/services/exposition"
	"github.com/gypsumspan/gypsumspan/services/packets"
	"github.com/gypsumspan/gypsumspan/services/relay"
)

// Name is the service's name.
const Name = "flowmetrics"

// queryTimeout bounds the time that a request waits for the forwarding duty.
const queryTimeout = time.Second

// Packets is the service "packets".
type Packets interface {
	Stats() packets.Stats
	Quantiles(ctx context.Context) ([]packets.Quantile, error)
	Do(ctx context.Context, run func(now time.Duration, f *forward.Forwarder)) error
}

// Status is the response to /v1/status.
type Status struct {
	VM       string `json:"vm"`
	Domain   string `json:"domain"`
	Relay    bool   `json:"relay"`    // watches the store for its failure domain
	Watching bool   `json:"watching"` // watches the store, as relay or because the relay fails
	AgeMS    int64  `json:"age_ms"`   // since the catalog was last known to match the store
	forward.Status
}

// Service is the service "flowmetrics".
type Service struct {
	vm, domain string
	kernel     *kernel.Kernel
	packets    Packets
	relay      interface{ Stats() relay.Stats }
	watch      interface{ Stats() catalogwatch.Stats }
}

// New returns the service of the VM with the given name and failure domain.
func New(vm, domain string) *Service { return &Service{vm: vm, domain: domain} }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string {
	return []string{control.Name, packets.Name, relay.Name, catalogwatch.Name}
}

// Setup implements kernel.Service.
func (s *Service) Setup(k *kernel.Kernel) error {
	s.kernel = k
	return nil
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	mux, err := kernel.Lookup[control.Mux](k, control.Name)
	if err != nil {
		return err
	}
	if s.packets, err = kernel.Lookup[Packets](k, packets.Name); err != nil {
		return err
	}
	if s.relay, err = kernel.Lookup[interface{ Stats() relay.Stats }](k, relay.Name); err != nil {
		return err
	}
	if s.watch, err = kernel.Lookup[interface{ Stats() catalogwatch.Stats }](k, catalogwatch.Name); err != nil {
		return err
	}
	mux.Handle("GET /metrics", s.metrics)
	mux.Handle("GET /v1/status", s.status)
	mux.Handle("GET /v1/explain", s.explain)
	return nil
}

func (s *Service) metrics(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	quantiles, err := s.packets.Quantiles(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	evacuated := make(chan int, 1)
	err = s.packets.Do(ctx, func(_ time.Duration, f *forward.Forwarder) { evacuated <- len(f.View().EvacuatedDomains()) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	scope := exposition.NewScope()
	scope.Gauge("domains_evacuated").Update(float64(<-evacuated))
	exposition.AddRingMetrics(scope, s.kernel.Rings())
	s.addPacketMetrics(scope)
	s.addRelayMetrics(scope)
	for _, q := range quantiles {
		tagged := scope.Tagged(map[string]string{"kind": q.Kind.String(), "quantile": strconv.FormatFloat(q.Q, 'g', -1, 64)})
		tagged.Gauge("flow_" + q.Name + "_seconds").Update(q.Value.Seconds())
		scope.Tagged(map[string]string{"kind": q.Kind.String()}).Gauge("flow_" + q.Name + "_count").Update(float64(q.Count))
	}
	w.Header().Set("Content-Type", exposition.ContentType)
	// A failed write means that the client closed the connection.
	_, _ = w.Write(exposition.Render(scope))
}

func (s *Service) addPacketMetrics(scope tally.Scope) {
	stats := s.packets.Stats()
	scope.Gauge("flows_remembered").Update(float64(stats.Flows))
	scope.Gauge("flows_contested").Update(float64(stats.Contested))
	scope.Gauge("flows_hinted").Update(float64(stats.Hints))
	scope.Gauge("targets_put_aside").Update(float64(stats.Outliers))
	scope.Gauge("cold_tokens").Update(float64(stats.ColdTokens))
	scope.Gauge("targets_load_spread").Update(stats.LoadSpread)
	scope.Gauge("targets_speed_spread").Update(stats.SpeedSpread)
	exposition.AddCounters(scope, map[string]uint64{
		"packets_received_total":  stats.Received,
		"packets_malformed_total": stats.Malformed,
		"packets_forwarded_total": stats.Forwarded,
		"packets_realigned_total": stats.Realigned,
		"flows_by_hint_total":     stats.AdoptedByHint,
		"flows_not_told_total":    stats.FlowsNotTold,
		"packets_resets_total":    stats.Resets,
		"packets_dropped_total":   stats.Dropped,
		"packets_failed_total":    stats.Failed,
		"cold_syns_kept_total":    stats.KeptFromCold,
	})
	for i, n := range stats.ByReason {
		scope.Tagged(map[string]string{"reason": forward.Reason(i).String()}).Counter("packets_by_reason_total").Inc(int64(n))
	}
}

func (s *Service) addRelayMetrics(scope tally.Scope) {
	stats := s.relay.Stats()
	scope.Gauge("relay_is_relay").Update(boolValue(stats.IsRelay))
	scope.Gauge("relay_watching").Update(boolValue(stats.Watching))
	scope.Gauge("relay_age_seconds").Update(stats.Age.Seconds())
	scope.Gauge("relay_revision").Update(float64(stats.Revision))
	scope.Gauge("relay_behind_longest_seconds").Update(stats.LongestBehind.Seconds())
	for i, n := range stats.Arrivals {
		scope.Tagged(map[string]string{"way": decide.Way(i).String()}).Counter("relay_changes_total").Inc(int64(n))
	}
	scope.Gauge("cold_permits_held").Update(float64(stats.PermitsHeld))
	watch := s.watch.Stats()
	exposition.AddCounters(scope, map[string]uint64{
		"relay_beats_sent_total":            stats.HeartbeatsSent,
		"relay_beats_received_total":        stats.HeartbeatsReceived,
		"relay_beats_malformed_total":       stats.Malformed,
		"relay_pulls_total":                 stats.Pulls,
		"relay_pulls_failed_total":          stats.PullsFailed,
		"relay_pulls_answered_total":        stats.PullsAnswered,
		"relay_flows_not_kept_total":        stats.FlowsNotKept,
		"relay_announcements_dropped_total": stats.AnnouncementsDropped,
		"catalog_values_invalid_total":      stats.Invalid,
		"store_reads_total":                 watch.Reads,
		"store_polls_total":                 watch.WatchBatches,
		"store_writes_total":                watch.Writes,
		"store_failures_total":              watch.Failures,
	})
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (s *Service) status(w http.ResponseWriter, r *http.Request) {
	stats := s.relay.Stats()
	status := Status{VM: s.vm, Domain: s.domain, Relay: stats.IsRelay, Watching: stats.Watching, AgeMS: stats.Age.Milliseconds()}
	s.writeJSON(w, r, func(now time.Duration, f *forward.Forwarder) any {
		status.Status = f.Status(now)
		return status
	})
}

func (s *Service) explain(w http.ResponseWriter, r *http.Request) {
	caller, okCaller := endpointParam(r, "caller")
	address, okAddress := endpointParam(r, "address")
	if !okCaller || !okAddress {
		http.Error(w, "caller and address must be ip:port", http.StatusBadRequest)
		return
	}
	s.writeJSON(w, r, func(now time.Duration, f *forward.Forwarder) any {
		return f.Explain(now, flow.Key{Caller: caller, Address: address})
	})
}

func endpointParam(r *http.Request, name string) (flow.Endpoint, bool) {
	addr, err := netip.ParseAddrPort(r.URL.Query().Get(name))
	e, ok := flow.EndpointOf(addr)
	return e, ok && err == nil
}

// writeJSON runs query on the forwarding duty and writes its result as JSON.
func (s *Service) writeJSON(w http.ResponseWriter, r *http.Request, query func(now time.Duration, f *forward.Forwarder) any) {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	result := make(chan any, 1)
	err := s.packets.Do(ctx, func(now time.Duration, f *forward.Forwarder) { result <- query(now, f) })
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client closed the connection.
	_ = json.NewEncoder(w).Encode(<-result)
}
