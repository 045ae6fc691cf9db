package balance

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against new flows to a loaded target while another is less loaded.
func TestChoose(t *testing.T) {
	cases := []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"none", nil, -1},
		{"fewest flows", []Candidate{{ID: 1, Slots: 3, Load: Load{Flows: 4}}, {ID: 2, Slots: 3, Load: Load{Flows: 3}}}, 1},
		{"requests in progress count more", []Candidate{{ID: 1, Slots: 3, Load: Load{Flows: 3}}, {ID: 2, Slots: 3, Load: Load{Flows: 2, ActiveRequests: 1}}}, 0},
		{"more slots", []Candidate{{ID: 1, Slots: 2, Load: Load{Flows: 3}}, {ID: 2, Slots: 4, Load: Load{Flows: 5}}}, 1},
		{"cold", []Candidate{{ID: 1, Slots: 3, Load: Load{Flows: 3}}, {ID: 2, Slots: 3, Load: Load{Flows: 2}, Cold: true}}, 0},
		{"cold, but far less loaded", []Candidate{{ID: 1, Slots: 3, Load: Load{Flows: 7}}, {ID: 2, Slots: 3, Load: Load{Flows: 2}, Cold: true}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Choose(77, c.candidates), c.want)
		})
	}
}

// Guards against VMs that all choose the same target among equally loaded ones.
func TestEqualsAreSpread(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{{ID: 1, Slots: 3}, {ID: 2, Slots: 3}, {ID: 3, Slots: 3}}
	counts := make([]int, len(candidates))
	const keys = 3000
	for key := range uint64(keys) {
		counts[Choose(key*0x9e3779b97f4a7c15, candidates)]++
	}
	for _, n := range counts {
		// Five standard deviations of a binomial count.
		is.True(n > keys/3-130 && n < keys/3+130)
	}
}

// Guards against a wrong fraction of flows that leave a loaded domain.
func TestSpill(t *testing.T) {
	cases := []struct {
		name    string
		domains []Domain
		want    map[string]int // percent of new flows, each within 2
	}{
		{"calm", []Domain{{"a", 12, 7}, {"b", 12, 0}}, map[string]int{"a": 100}},
		{"all under the same pressure", []Domain{{"a", 12, 12}, {"b", 12, 12}}, map[string]int{"a": 100}},
		{"only domain", []Domain{{"a", 12, 40}}, map[string]int{"a": 100}},
		{"others have no targets", []Domain{{"a", 12, 40}, {"b", 0, 0}}, map[string]int{"a": 100}},
		{"under pressure", []Domain{{"a", 10, 10}, {"b", 10, 6}}, map[string]int{"a": 50, "b": 50}},
		{"far above", []Domain{{"a", 6, 18}, {"b", 15, 3}, {"c", 15, 6}}, map[string]int{"a": 20, "b": 49, "c": 31}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			const draws = 10_000
			counts := make(map[string]int)
			for i := range draws {
				counts[Spill("a", c.domains, SpillThresholdIdempotent, (float64(i)+0.5)/draws)]++
			}
			for _, d := range c.domains {
				percent := counts[d.Name] * 100 / draws
				is.True(percent >= c.want[d.Name]-2 && percent <= c.want[d.Name]+2)
			}
		})
	}
}

// Guards against flows that leave a domain below the threshold, or go to one with no
// less pressure.
func TestSpillGoesOnlyToLighterDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var domains []Domain
		for _, name := range []string{"a", "b", "c", "d"}[:rapid.IntRange(1, 4).Draw(t, "n")] {
			domains = append(domains, Domain{
				Name:           name,
				Slots:          rapid.IntRange(0, 40).Draw(t, "slots"),
				ActiveRequests: rapid.Float64Range(0, 100).Draw(t, "busy"),
			})
		}
		calm := rapid.SampledFrom([]float64{SpillThresholdIdempotent, SpillThresholdNonIdempotent}).Draw(t, "calm")
		chosen := Spill("a", domains, calm, rapid.Float64Range(0, 0.999999).Draw(t, "draw"))
		if chosen == "a" {
			return
		}
		home := domains[0]
		for _, d := range domains {
			if d.Name != chosen {
				continue
			}
			if home.pressure() <= calm || d.pressure() >= home.pressure() || d.Slots == 0 {
				t.Fatalf("from %+v to %+v", home, d)
			}
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	candidates := make([]Candidate, 14)
	for i := range candidates {
		candidates[i] = Candidate{ID: uint64(i), Slots: 3, Load: Load{Flows: i % 5}}
	}
	b.ReportAllocs()
	for b.Loop() {
		Choose(12345, candidates)
	}
}
