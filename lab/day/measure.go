package day

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// disruptionStart is the time after the start of the load at which the disruptions of
// measures begin.
const disruptionStart = Duration(6 * time.Second)

// Figure is the value of one measure for one policy, summed or averaged over seeds.
type Figure struct {
	Measure string  `json:"measure"`
	Policy  Policy  `json:"policy"`
	Value   float64 `json:"value"`
	// Ratio is Value divided by that of policy Gypsumspan, or 0 if that is 0.
	Ratio float64 `json:"ratio"`
}

// measure is a day of disruptions and the value that is read from its reports.
type measure struct {
	name        string
	disruptions []Disruption
	value       func(r *Report, site *Site) float64
	mean        bool // the mean over seeds instead of the sum
}

// measures returns the measures of a site, in three groups: broken flows, imbalance and
// flood effect.
func measures(site *Site) []measure {
	broken := func(r *Report, _ *Site) float64 { return float64(r.BrokenFlows) }
	first := site.Services[0].Name
	flooding := &site.Kinds[0]
	list := []measure{
		{name: "broken flows: every VM replaced in turn", value: broken,
			disruptions: []Disruption{{Kind: "vm_roll", At: disruptionStart, Share: 1}}},
		{name: "broken flows: half of the targets replaced in turn", value: broken,
			disruptions: []Disruption{{Kind: "target_release", At: disruptionStart, Share: 0.5, Scope: first}}},
		{name: "broken flows: a third of the targets added", value: broken,
			disruptions: []Disruption{{Kind: "target_add", At: disruptionStart, Count: (site.Services[0].Targets + 2) / 3, Scope: first}}},
		{name: "broken flows: a tenth of the VMs killed", value: broken,
			disruptions: []Disruption{{Kind: "vm_kill", At: disruptionStart}}},
		{name: "broken flows: a failure domain cut off", value: broken,
			disruptions: []Disruption{{Kind: "domain_cut", At: disruptionStart}}},
		{name: "imbalance: busiest target over the mean, calm", value: busiestRatio, mean: true},
		{name: "imbalance: busiest target over the mean, VMs replaced", value: busiestRatio, mean: true,
			disruptions: []Disruption{{Kind: "vm_roll", At: disruptionStart, Share: 1}}},
	}
	wait := func(r *Report, _ *Site) float64 { return r.DeadFlows.MeanWait }
	for _, kind := range []string{"target_crash", "target_cut", "target_reuse"} {
		list = append(list, measure{
			name: "seconds that requests wait on flows of dead targets: " + kind, value: wait, mean: true,
			disruptions: []Disruption{{Kind: kind, At: disruptionStart, Scope: first}},
		})
	}
	list = append(list, measure{
		name: "broken flows: a cut failure domain heals, then VMs are replaced in turn", value: broken,
		disruptions: []Disruption{
			{Kind: "domain_cut", At: disruptionStart},
			{Kind: "vm_roll", At: disruptionStart + seconds(10), Share: 0.45},
		},
	})
	for i := range site.Kinds {
		if other := &site.Kinds[i]; other != flooding && other.Service == flooding.Service {
			list = append(list, measure{
				name: fmt.Sprintf("flood effect: part of %s in time while %s floods six times", other.Name, flooding.Name),
				mean: true,
				disruptions: []Disruption{{
					Kind: "burst", At: disruptionStart, For: Duration(10 * time.Second), Magnitude: 6, Scope: flooding.Name,
				}},
				value: func(r *Report, _ *Site) float64 { return inGoalRatio(r, other.Name) },
			})
		}
	}
	return list
}

// busiestRatio returns the imbalance of the site's first service.
func busiestRatio(r *Report, site *Site) float64 {
	for _, s := range r.Services {
		if s.Name == site.Services[0].Name {
			return s.Busiest
		}
	}
	return 0
}

// inGoalRatio returns the ratio of the requests of a kind that were answered within the
// latency goal.
func inGoalRatio(r *Report, kind string) float64 {
	for _, k := range r.Kinds {
		if k.Name == kind && k.Requests > 0 {
			return float64(k.InGoal) / float64(k.Requests)
		}
	}
	return 0
}

// Measure runs every measure with every policy, for seeds 1 to seeds. With the same seed,
// all policies get the same requests, and the same VMs and targets are disrupted.
func Measure(site *Site, length time.Duration, seeds int) ([]Figure, error) {
	var figures []Figure
	for _, m := range measures(site) {
		reference := 0.0
		for _, policy := range Policies() {
			value, err := m.run(site, length, seeds, policy)
			if err != nil {
				return nil, err
			}
			figure := Figure{Measure: m.name, Policy: policy, Value: value}
			if policy == Gypsumspan {
				reference = value
			}
			if reference != 0 {
				figure.Ratio = value / reference
			}
			figures = append(figures, figure)
		}
	}
	return figures, nil
}

func (m measure) run(site *Site, length time.Duration, seeds int, policy Policy) (float64, error) {
	d := &Day{Name: m.name, Length: Duration(length), Site: site, Disruptions: m.disruptions}
	sum := 0.0
	for seed := range seeds {
		r, err := Run(d, Options{Seed: uint64(seed + 1), Policy: policy})
		if err != nil {
			return 0, err
		}
		sum += m.value(r, site)
	}
	if m.mean {
		sum /= float64(seeds)
	}
	return sum, nil
}

// WriteFigures writes a table with a row for each measure and a column for each policy.
// figures are in the order of Measure. It returns ErrReport.
func WriteFigures(w io.Writer, figures []Figure) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "measure")
	for _, p := range Policies() {
		fmt.Fprintf(t, "\t%s", p)
	}
	for i, f := range figures {
		if i%len(Policies()) == 0 {
			fmt.Fprintf(t, "\n%s", f.Measure)
		}
		fmt.Fprintf(t, "\t%.4g", f.Value)
	}
	fmt.Fprintln(t)
	if err := t.Flush(); err != nil {
		return fmt.Errorf("%w: %w", ErrReport, err)
	}
	return nil
}
