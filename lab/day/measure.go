package day

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// measureTrouble is the time of the first trouble in the days of Measure.
const measureTrouble = Duration(6 * time.Second)

// Figure is one measure of one policy, summed or averaged over seeds.
type Figure struct {
	Measure string  `json:"measure"`
	Policy  Policy  `json:"policy"`
	Value   float64 `json:"value"`
	// Ratio is Value relative to gypsumspan's; 0 when that is 0.
	Ratio float64 `json:"ratio"`
}

// measure is one of the three measures, taken from the reports of one day.
type measure struct {
	name     string
	troubles []Disruption
	read     func(r *Report, site *Site) float64
	mean     bool // over the seeds; else the sum
}

// measures are broken flows, imbalance and flood effect.
func measures(site *Site) []measure {
	broken := func(r *Report, _ *Site) float64 { return float64(r.BrokenFlows) }
	first := site.Services[0].Name
	flooding := &site.Kinds[0]
	list := []measure{
		{name: "broken flows: every VM replaced in turn", read: broken,
			troubles: []Disruption{{Kind: "vm_roll", At: measureTrouble, Share: 1}}},
		{name: "broken flows: half of the targets replaced in turn", read: broken,
			troubles: []Disruption{{Kind: "target_release", At: measureTrouble, Share: 0.5, Scope: first}}},
		{name: "broken flows: a third of the targets added", read: broken,
			troubles: []Disruption{{Kind: "target_add", At: measureTrouble, Count: (site.Services[0].Targets + 2) / 3, Scope: first}}},
		{name: "broken flows: a tenth of the VMs killed", read: broken,
			troubles: []Disruption{{Kind: "vm_kill", At: measureTrouble}}},
		{name: "broken flows: a failure domain cut off", read: broken,
			troubles: []Disruption{{Kind: "domain_cut", At: measureTrouble}}},
		{name: "imbalance: busiest target over the mean, calm", read: busiest, mean: true},
		{name: "imbalance: busiest target over the mean, VMs replaced", read: busiest, mean: true,
			troubles: []Disruption{{Kind: "vm_roll", At: measureTrouble, Share: 1}}},
	}
	for i := range site.Kinds {
		if other := &site.Kinds[i]; other != flooding && other.Service == flooding.Service {
			list = append(list, measure{
				name: fmt.Sprintf("flood effect: part of %s in time while %s floods six times", other.Name, flooding.Name),
				mean: true,
				troubles: []Disruption{{
					Kind: "burst", At: measureTrouble, For: Duration(10 * time.Second), Magnitude: 6, Scope: flooding.Name,
				}},
				read: func(r *Report, _ *Site) float64 { return inGoal(r, other.Name) },
			})
		}
	}
	return list
}

// busiest returns the imbalance of the first service.
func busiest(r *Report, site *Site) float64 {
	for _, s := range r.Services {
		if s.Name == site.Services[0].Name {
			return s.Busiest
		}
	}
	return 0
}

// inGoal returns the part of the requests of a kind that were answered within the
// latency objective.
func inGoal(r *Report, kind string) float64 {
	for _, k := range r.Kinds {
		if k.Name == kind && k.Asked > 0 {
			return float64(k.InGoal) / float64(k.Asked)
		}
	}
	return 0
}

// Measure takes the three measures of every policy: with the same seeds the same
// requests come and the same VMs and targets are in trouble.
func Measure(site *Site, length time.Duration, seeds int) ([]Figure, error) {
	var figures []Figure
	for _, m := range measures(site) {
		own := 0.0
		for _, policy := range Policies() {
			value, err := m.take(site, length, seeds, policy)
			if err != nil {
				return nil, err
			}
			f := Figure{Measure: m.name, Policy: policy, Value: value}
			if policy == Gypsumspan {
				own = value
			}
			if own != 0 {
				f.Ratio = value / own
			}
			figures = append(figures, f)
		}
	}
	return figures, nil
}

func (m measure) take(site *Site, length time.Duration, seeds int, policy Policy) (float64, error) {
	d := &Day{Name: m.name, Length: Duration(length), Site: site, Disruptions: m.troubles}
	sum := 0.0
	for seed := range seeds {
		r, err := Run(d, Options{Seed: uint64(seed + 1), Policy: policy})
		if err != nil {
			return 0, err
		}
		sum += m.read(r, site)
	}
	if m.mean {
		sum /= float64(seeds)
	}
	return sum, nil
}

// WriteFigures writes a table with a row for each measure. It returns ErrReport.
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
