package lab

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/gypsumspan/gypsumspan/caller"
	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/standin/fabric"
)

// Report is the result of a load run.
type Report struct {
	Workload    string             `json:"workload"`
	Seed        uint64             `json:"seed"`
	Seconds     float64            `json:"seconds"` // duration of the load, without opening and draining
	BrokenFlows uint64             `json:"broken_flows"`
	Violations  Violations         `json:"promises"`
	Kinds       []KindReport       `json:"kinds"`
	Targets     []TargetReport     `json:"targets"`
	Impacts     []DomainImpact     `json:"impacts"` // by failure domain of the targets
	Session     session.Counters   `json:"session"`
	Sockets     caller.SocketStats `json:"sockets"`
	Fabric      fabric.Stats       `json:"fabric"`
}

// KindReport is the result of the calls of one kind.
type KindReport struct {
	Service string  `json:"service"`
	Kind    string  `json:"kind"`
	P50MS   float64 `json:"p50_ms"` // of completed calls, from the scheduled arrival
	P99MS   float64 `json:"p99_ms"`
	Outcomes
}

// TargetReport compares a target's flows and executions with its weight.
type TargetReport struct {
	Service            string  `json:"service"`
	Target             string  `json:"target"`
	Domain             string  `json:"domain"`
	Weight             uint32  `json:"weight"`
	Slots              int     `json:"slots"`
	Flows              int     `json:"flows"`           // bound to the target at the end, as callers see it
	FlowDeviation      float64 `json:"flow_deviation"`  // relative to the weighted share; 0.05 is 5%
	Executions         int     `json:"work"`            // executions of this run
	ExecutionDeviation float64 `json:"work_deviation"`  // relative to the weighted share
	PeakInFlight       int     `json:"peak_in_flight"`  // at the target, since it started
	Shed               uint64  `json:"shed"`            // by the target, since it started
	RecordsMissing     bool    `json:"records_missing"` // the target's oracle endpoints could not be read
}

// WriteJSON writes the report as one JSON document.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(r); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteTable writes the report as text tables.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s, seed %d, %.0f s of load\n\n", r.Workload, r.Seed, r.Seconds)
	fmt.Fprintln(t, "service\tkind\toffered\tcompleted\tnot run\tmay have run\tdeadline\toverloaded\twrong\tp50 ms\tp99 ms\t")
	for _, k := range r.Kinds {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", k.Service, k.Kind, k.Offered,
			k.Completed, k.NotRun, k.MayHaveRun, k.Deadline, k.Overloaded, k.Wrong, k.P50MS, k.P99MS)
	}
	fmt.Fprintln(t)
	fmt.Fprintln(t, "service\ttarget\tdomain\tweight\tflows\tdeviation\twork\tdeviation\tpeak\tslots\tshed\t")
	for _, g := range r.Targets {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%+.1f%%\t%d\t%+.1f%%\t%d\t%d\t%d\t\n", g.Service, g.Target, g.Domain,
			g.Weight, g.Flows, 100*g.FlowDeviation, g.Executions, 100*g.ExecutionDeviation, g.PeakInFlight, g.Slots, g.Shed)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if err := r.writeImpacts(w); err != nil {
		return err
	}
	v := r.Violations
	c := r.Session
	_, err := fmt.Fprintf(w, "\nrefusals: not run %d, may have run %d, flow unknown %d, busy %d; retries %d, retransmitted datagrams %d\n%s"+
		"broken flows %d, wrong answers %d, double executions %d, false not run %d, foreign work %d, targets without records %d\n",
		c.NotRun, c.MayHaveRun, c.FlowUnknown, c.Busy, c.Retries, c.Retransmitted, r.imbalance(),
		r.BrokenFlows, v.WrongAnswers, v.DoubleExecutions, v.FalseNotRun, v.ForeignWork, r.missingRecords())
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// writeImpacts writes the failure domains in which calls were affected.
func (r *Report) writeImpacts(w io.Writer) error {
	text := ""
	for _, d := range r.Impacts {
		text += d.String() + "\n"
	}
	if _, err := fmt.Fprintf(w, "\n%s", text); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// imbalance returns a line for each service that names the target whose flows exceed
// its weighted share most.
func (r *Report) imbalance() string {
	worst := make(map[string]*TargetReport)
	text := ""
	for i := range r.Targets {
		t := &r.Targets[i]
		if w := worst[t.Service]; w == nil || t.FlowDeviation > w.FlowDeviation {
			worst[t.Service] = t
		}
	}
	for i := range r.Targets {
		if t := &r.Targets[i]; worst[t.Service] == t {
			text += fmt.Sprintf("imbalance of %s: %+.1f%% of its share at %s (%d flows)\n", t.Service, 100*t.FlowDeviation, t.Target, t.Flows)
		}
	}
	return text
}

// missingRecords counts the targets whose records could not be read.
func (r *Report) missingRecords() int {
	count := 0
	for _, t := range r.Targets {
		if t.RecordsMissing {
			count++
		}
	}
	return count
}

// kindReports summarizes the generator's streams.
func (g *generator) kindReports() []KindReport {
	var all []KindReport
	for _, s := range g.streams {
		all = append(all, KindReport{
			Service:  g.workload.Services[s.service].Name,
			Kind:     s.spec.Name,
			P50MS:    float64(s.stats.latency.ValueAtQuantile(50)) / 1000,
			P99MS:    float64(s.stats.latency.ValueAtQuantile(99)) / 1000,
			Outcomes: s.stats.outcomes,
		})
	}
	return all
}

// targetReports compares the flows and executions of targets with their weighted shares.
func targetReports(w *Workload, targets []Target, flows map[message.TargetID]int, executions []int) []TargetReport {
	all := make([]TargetReport, len(targets))
	sums := make([]struct{ weight, flows, executions float64 }, len(w.Services))
	for i, t := range targets {
		sum := &sums[t.Service]
		sum.weight += float64(t.Weight)
		sum.flows += float64(flows[t.ID])
		sum.executions += float64(executions[i])
	}
	for i, t := range targets {
		sum := sums[t.Service]
		share := float64(t.Weight) / sum.weight
		all[i] = TargetReport{
			Service: w.Services[t.Service].Name, Target: t.Name, Domain: t.Domain, Weight: t.Weight, Slots: t.Slots,
			Flows: flows[t.ID], FlowDeviation: deviation(float64(flows[t.ID]), share*sum.flows),
			Executions: executions[i], ExecutionDeviation: deviation(float64(executions[i]), share*sum.executions),
		}
	}
	return all
}

// deviation returns value/expected - 1, or 0 if expected is 0 or NaN.
func deviation(value, expected float64) float64 {
	if expected == 0 || math.IsNaN(expected) {
		return 0
	}
	return value/expected - 1
}
