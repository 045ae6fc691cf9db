package day

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxDisruptions is the largest number of disruptions of a random day.
	maxDisruptions = 6
	// recoveryTime is the time at the end of a random day in which no disruption begins,
	// so that the day includes the recovery.
	recoveryTime = 8 * time.Second
	// afterCutProbability is the probability that a random day also has a cut that heals,
	// and planned work after it.
	afterCutProbability = 0.5
	// rewindProbability is the probability that a random day also has an evacuation whose
	// request or withdrawal is lost in a rewind of the store.
	rewindProbability = 0.3
	// maxWorkDelay is the longest time from the end of the cut to the planned work.
	maxWorkDelay = 30 * time.Second
)

// mixedKinds are kinds of disruption that random days have in certain mixes only.
var mixedKinds = []string{"answer_loss", "target_restart", "flows_rest"}

// RandomDay returns a day of random disruptions at a site, with some of the mixes that have shown
// faults before. It is determined by the seed.
func RandomDay(site *Site, length time.Duration, seed uint64) *Day {
	d := unmixedDay(site, length, seed)
	addMixes(d, seed)
	slices.SortStableFunc(d.Disruptions, func(a, b Disruption) int { return cmp.Compare(a.At, b.At) })
	return d
}

// unmixedDay returns the part of a random day that is not of a mix.
func unmixedDay(site *Site, length time.Duration, seed uint64) *Day {
	const stream = 11 // differs from the streams of the timeline
	rng := rand.New(rand.NewPCG(seed, stream))
	d := &Day{Name: fmt.Sprintf("drawn-%d", seed), Length: Duration(length), Site: site}
	names, _ := DisruptionKinds()
	names = slices.DeleteFunc(names, func(name string) bool { return slices.Contains(mixedKinds, name) })
	latest := max(length-recoveryTime, time.Second)
	for range 1 + rng.IntN(maxDisruptions) {
		disruption := Disruption{
			Kind: names[rng.IntN(len(names))],
			At:   Duration(time.Duration(rng.Int64N(int64(latest))).Round(time.Millisecond)),
		}
		randomize(rng, &disruption)
		d.Disruptions = append(d.Disruptions, disruption)
	}
	if rng.Float64() < afterCutProbability {
		d.Disruptions = append(d.Disruptions, workAfterCut(rng, site, latest)...)
	}
	if rng.Float64() < rewindProbability {
		d.Disruptions = append(d.Disruptions, evacuationInRewind(rng, site, latest)...)
	}
	slices.SortStableFunc(d.Disruptions, func(a, b Disruption) int { return cmp.Compare(a.At, b.At) })
	return d
}

// workAfterCut returns a cut, and planned work up to maxWorkDelay after its end. What VMs
// concluded from the cut must not outlast it. One failure domain has bursts until after the
// cut, which send its flows to other domains; the work moves flows to other VMs.
func workAfterCut(rng *rand.Rand, site *Site, latest time.Duration) []Disruption {
	domains := rng.Perm(len(site.Domains))
	busy, other := site.Domains[domains[0]], site.Domains[domains[len(domains)-1]]
	length := uniform(rng, 2*time.Second, 8*time.Second)
	cutAt := uniform(rng, 0, max(latest-length, time.Second)/2)
	healedAt := cutAt + length
	workAt := uniform(rng, healedAt, max(min(healedAt+maxWorkDelay, latest), healedAt))
	cut := Disruption{
		Kind: []string{"domain_cut", "domain_cut", "target_cut", "vm_cut"}[rng.IntN(4)], At: inMilliseconds(cutAt), For: inMilliseconds(length), Domain: other,
	}
	if cut.Kind != "domain_cut" {
		cut.Share = uniformFloat(rng, 0.1, 0.6)
	}
	work := Disruption{
		Kind: []string{"vm_roll", "vm_roll", "target_release"}[rng.IntN(3)], At: inMilliseconds(workAt), Share: uniformFloat(rng, 0.2, 1),
	}
	list := []Disruption{cut, work}
	burstAt := max(cutAt-uniform(rng, 2*time.Second, 5*time.Second), 0)
	magnitude := uniformFloat(rng, 1.5, 3)
	for i := range site.Kinds {
		list = append(list, Disruption{
			Kind: "burst", At: inMilliseconds(burstAt), For: inMilliseconds(healedAt + 6*time.Second - burstAt),
			Magnitude: magnitude, Domain: busy, Scope: site.Kinds[i].Name,
		})
	}
	return list
}

// evacuationInRewind returns an evacuation, a rewind to before its request or its withdrawal, and
// a fault or planned change close to the rewind. A request that is lost was in force before, and
// is not withdrawn for some seconds after the store's return.
func evacuationInRewind(rng *rand.Rand, site *Site, latest time.Duration) []Disruption {
	const margin = 500 * time.Millisecond
	requestAt := uniform(rng, 0, max(latest/3, time.Second))
	away := uniform(rng, 100*time.Millisecond, 4*time.Second)
	inForceAt := requestAt + site.Bounds.evacuateWithin() + margin
	length := uniform(rng, time.Second, 9*time.Second)
	lost, rewindAt := requestAt, uniform(rng, inForceAt, inForceAt+3*time.Second)
	if rng.IntN(3) == 0 {
		lost = requestAt + length
		rewindAt = lost + uniform(rng, 200*time.Millisecond, 5*time.Second)
	} else {
		length += rewindAt + away - requestAt
	}
	rewindAt = min(rewindAt, latest)
	evacuation := Disruption{
		Kind: "domain_evacuate", At: inMilliseconds(requestAt), For: inMilliseconds(length), Domain: site.Domains[rng.IntN(len(site.Domains))],
		Variant: []string{evacuateCold, evacuateWarm}[rng.IntN(2)],
	}
	rewind := Disruption{
		Kind: "store_rewind", At: inMilliseconds(rewindAt), For: inMilliseconds(away),
		Magnitude: max(rewindAt-lost, 0).Seconds() + uniformFloat(rng, 0.1, 3),
	}
	other := Disruption{
		Kind: []string{"vm_kill", "vm_cut", "domain_cut", "store_refuses", "store_rewind", "target_release", "target_leave", "config_change", "vm_roll"}[rng.IntN(9)],
		At:   inMilliseconds(min(max(rewindAt+uniform(rng, -3*time.Second, 5*time.Second), 0), latest)),
	}
	randomize(rng, &other)
	return []Disruption{evacuation, rewind, other}
}

func inMilliseconds(d time.Duration) Duration { return Duration(d.Round(time.Millisecond)) }

// uniformFloat returns a random number from low to high.
func uniformFloat(rng *rand.Rand, low, high float64) float64 { return low + (high-low)*rng.Float64() }

// randomize sets a disruption's duration, share and variant to random values.
func randomize(rng *rand.Rand, d *Disruption) {
	defaults := disruptionKinds[d.Kind].defaults
	if defaults.For > 0 {
		d.For = Duration((time.Duration(float64(defaults.For) * (0.3 + 1.4*rng.Float64()))).Round(time.Millisecond))
	}
	if defaults.Share > 0 {
		d.Share = min(defaults.Share*(0.5+2*rng.Float64()), 1)
	}
	switch d.Kind {
	case "target_grey":
		d.Variant = []string{greyErrors, greyHang, greyReset, greySlow}[rng.IntN(4)]
	case "store_down":
		d.Variant = []string{outageKeep, outageLapse}[rng.IntN(2)]
	case "config_change", "config_storm":
		d.Variant = []string{changeRoute, changeTimeout}[rng.IntN(2)]
	case "domain_evacuate":
		d.Variant = []string{evacuateCold, evacuateWarm}[rng.IntN(2)]
	case "store_rewind":
		d.Magnitude = uniformFloat(rng, 0.2, 12)
	case "vm_kill", "vm_power_loss":
		const all = 0.15 // probability that all VMs are affected
		if rng.Float64() < all {
			d.Share = 1
		}
	}
}
