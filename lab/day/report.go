package day

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"
)

// percent is the number of percent in 1.
const percent = 100

// Report is the result of one day.
type Report struct {
	Day     string  `json:"day"`
	Policy  Policy  `json:"policy"`
	Seed    uint64  `json:"seed"`
	VMs     int     `json:"vms"`
	Seconds float64 `json:"seconds"`

	ServiceLevel float64         `json:"service"`      // service level: ratio of earned to attainable value, 0 to 1
	WorstWindow  float64         `json:"worst_window"` // lowest service level of a window of two seconds
	WorstDomain  float64         `json:"worst_domain"` // lowest service level of a failure domain
	Waiting      WaitShare       `json:"waiting"`      // share of the requests' time at targets spent in queues
	Total        counts          `json:"total"`
	Kinds        []KindReport    `json:"kinds"`
	Services     []ServiceReport `json:"services"`
	Windows      []float64       `json:"windows"` // service level of each window of two seconds

	BrokenFlows    int            `json:"broken_flows"` // open flows that ended although their target was up and had them
	DeadFlows      DeadFlowReport `json:"dead_flows"`
	OpenTimes      OpenTimes      `json:"open_times"`
	OpenTimesDead  OpenTimes      `json:"open_times_dead"` // of flows of which a SYN went to a target that was down
	ViolationCount int            `json:"broken"`          // of promises
	Violations     []Violation    `json:"breaks,omitempty"`
	StoreCalls     int            `json:"store_calls"`
	HeartbeatBytes float64        `json:"beat_bytes"` // per VM and second
	Events         map[string]int `json:"events,omitempty"`
}

// KindReport is the outcome of the requests of one kind.
type KindReport struct {
	Name string `json:"name"`
	counts
	MeanMS float64 `json:"mean_ms"` // response time of answered requests
	P99MS  float64 `json:"p99_ms"`
}

// ServiceReport is the distribution of requests over the targets of a service.
type ServiceReport struct {
	Name    string    `json:"name"`
	Targets int       `json:"targets"`
	Busiest float64   `json:"busiest"` // maximum over mean of requests per target, of targets that were up all day
	Waiting WaitShare `json:"waiting"`
	Peak    int       `json:"peak"` // most requests at one target at a time, including queued ones
}

func (w *world) report() *Report {
	t := w.tally
	r := &Report{
		Day:            w.day.Name,
		Policy:         w.fleet.policy,
		Seed:           w.seed,
		VMs:            len(w.fleet.vms),
		Seconds:        w.day.Length.D().Seconds(),
		ServiceLevel:   t.total.serviceLevel(),
		WorstWindow:    1,
		WorstDomain:    1,
		Waiting:        w.targets.waits.share(nil),
		Total:          t.total.counts,
		BrokenFlows:    w.oracle.brokenFlows,
		DeadFlows:      w.oracle.deadFlows.report(),
		OpenTimes:      openTimesOf(w.oracle.openTimes.all),
		OpenTimesDead:  openTimesOf(w.oracle.openTimes.atDead),
		ViolationCount: w.oracle.violationCount,
		Violations:     w.oracle.violations,
		StoreCalls:     w.store.calls,
		Events:         w.oracle.events,
	}
	for _, window := range t.windows {
		r.Windows = append(r.Windows, window.serviceLevel())
		r.WorstWindow = min(r.WorstWindow, window.serviceLevel())
	}
	for _, domain := range t.domains {
		r.WorstDomain = min(r.WorstDomain, domain.serviceLevel())
	}
	for i := range w.day.Site.Kinds {
		k := &w.day.Site.Kinds[i]
		r.Kinds = append(r.Kinds, t.kindReport(k))
	}
	for _, s := range w.day.Site.Services {
		r.Services = append(r.Services, w.serviceReport(s.Name))
	}
	bytes := 0
	for _, v := range w.fleet.vms {
		bytes += v.heartbeatBytes
	}
	r.HeartbeatBytes = float64(bytes) / float64(len(w.fleet.vms)) / w.stepper.Now().Seconds()
	return r
}

// serviceReport reports on a service. Busiest is over the targets that were there at the
// start of the load and are up and not draining at the end.
func (w *world) serviceReport(name string) ServiceReport {
	r := ServiceReport{Name: name, Waiting: w.targets.waits.share(w.day.Site.service(name))}
	var requests []int
	for _, t := range w.targets.all {
		if t.service.Name != name {
			continue
		}
		r.Targets++
		r.Peak = max(r.Peak, t.peakRequests)
		if t.up && !t.draining && !t.startedUnderLoad {
			requests = append(requests, t.startedRequests)
		}
	}
	sum := 0
	for _, n := range requests {
		sum += n
	}
	if sum > 0 {
		r.Busiest = float64(slices.Max(requests)) * float64(len(requests)) / float64(sum)
	}
	return r
}

// Verdict returns ErrPromiseBroken if a promise was broken.
func (r *Report) Verdict() error {
	if r.ViolationCount == 0 {
		return nil
	}
	return fmt.Errorf("%s, seed %d: %d times: %w", r.Day, r.Seed, r.ViolationCount, ErrPromiseBroken)
}

// WriteJSON writes the report as a JSON document. It returns ErrReport.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("%w: %w", ErrReport, err)
	}
	return nil
}

// WriteFile writes the report as JSON to a file, which ReadReport reads. It returns
// ErrReport.
func (r *Report) WriteFile(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrReport, err)
	}
	if err := r.WriteJSON(f); err != nil {
		_ = f.Close() // the error of the write is returned
		return err
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("%w: %w", ErrReport, err)
	}
	return nil
}

// ReadReport reads a report from a file that WriteFile wrote. It returns ErrReport.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrReport, err)
	}
	r := &Report{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, ErrReport, err)
	}
	return r, nil
}

// WriteTable writes the report as text with tables. It returns ErrReport.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s, %s, seed %d, %d VMs, %.0f s\n", r.Day, r.Policy, r.Seed, r.VMs, r.Seconds)
	fmt.Fprintf(t, "service %.3f, worst two seconds %.3f, worst domain %.3f\n", r.ServiceLevel, r.WorstWindow, r.WorstDomain)
	fmt.Fprintf(t, "broken flows %d, broken promises %d, store calls %d, beats %.0f B a VM and second\n",
		r.BrokenFlows, r.ViolationCount, r.StoreCalls, r.HeartbeatBytes)
	fmt.Fprintf(t, "flows of dead targets: %d requests, wait %.3f s, 95%% %.3f s, worst %.3f s, %d timed out\n",
		r.DeadFlows.Requests, r.DeadFlows.MeanWait, r.DeadFlows.P95Wait, r.DeadFlows.WorstWait, r.DeadFlows.TimedOut)
	for _, row := range []struct {
		name  string
		times OpenTimes
	}{{"flows", r.OpenTimes}, {"flows with a SYN at a dead target", r.OpenTimesDead}} {
		fmt.Fprintf(t, "%s: %d opened, mean %.1f ms, 95%% %.0f ms, 99%% %.0f ms\n", row.name, row.times.Flows, row.times.MeanMS, row.times.P95MS, row.times.P99MS)
	}
	fmt.Fprintf(t, "waiting while another target is free %.2f%%, waiting in all %.2f%% of the time of requests at targets\n\n",
		percent*r.Waiting.Avoidable, percent*r.Waiting.All)
	fmt.Fprintln(t, "kind\tasked\tin goal\tlate\tfailed\tmean ms\t99% ms")
	for _, k := range r.Kinds {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\n", k.Name, k.Requests, k.InGoal, k.Late, k.Failed, k.MeanMS, k.P99MS)
	}
	fmt.Fprintln(t, "\nservice\ttargets\tbusiest/mean\tpeak\twaiting while another is free")
	for _, s := range r.Services {
		fmt.Fprintf(t, "%s\t%d\t%.2f\t%d\t%.2f%%\n", s.Name, s.Targets, s.Busiest, s.Peak, percent*s.Waiting.Avoidable)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(t, "%s: %s: %s\n", v.At.Round(time.Millisecond), v.Promise, v.Text)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("%w: %w", ErrReport, err)
	}
	return nil
}

// Compare writes a table of the figures of two reports, and of the differences b - a. It
// returns ErrReport if the reports are of different days or seeds.
func Compare(w io.Writer, a, b *Report) error {
	if a.Day != b.Day || a.Seed != b.Seed {
		return fmt.Errorf("%w: %w", ErrReport, errors.New("reports are of different days or seeds"))
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s, seed %d\t%s\t%s\tdifference\n", a.Day, a.Seed, a.Policy, b.Policy)
	for _, row := range []struct {
		name string
		x, y float64
	}{
		{"service", a.ServiceLevel, b.ServiceLevel},
		{"worst two seconds", a.WorstWindow, b.WorstWindow},
		{"worst domain", a.WorstDomain, b.WorstDomain},
		{"in goal", float64(a.Total.InGoal), float64(b.Total.InGoal)},
		{"late", float64(a.Total.Late), float64(b.Total.Late)},
		{"failed", float64(a.Total.Failed), float64(b.Total.Failed)},
		{"waiting while another is free, %", percent * a.Waiting.Avoidable, percent * b.Waiting.Avoidable},
		{"broken flows", float64(a.BrokenFlows), float64(b.BrokenFlows)},
		{"wait on dead flows, s", a.DeadFlows.MeanWait, b.DeadFlows.MeanWait},
		{"time to open a flow, ms", a.OpenTimes.MeanMS, b.OpenTimes.MeanMS},
		{"time to open one with a SYN at a dead target, ms", a.OpenTimesDead.MeanMS, b.OpenTimesDead.MeanMS},
		{"broken promises", float64(a.ViolationCount), float64(b.ViolationCount)},
		{"store calls", float64(a.StoreCalls), float64(b.StoreCalls)},
	} {
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%+.4g\n", row.name, row.x, row.y, row.y-row.x)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("%w: %w", ErrReport, err)
	}
	return nil
}
