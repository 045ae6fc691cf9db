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
)

// RandomDay returns a day of random disruptions at a site. It is determined by the seed.
func RandomDay(site *Site, length time.Duration, seed uint64) *Day {
	const stream = 11 // differs from the streams of the timeline
	rng := rand.New(rand.NewPCG(seed, stream))
	d := &Day{Name: fmt.Sprintf("drawn-%d", seed), Length: Duration(length), Site: site}
	names, _ := DisruptionKinds()
	latest := max(length-recoveryTime, time.Second)
	for range 1 + rng.IntN(maxDisruptions) {
		disruption := Disruption{
			Kind: names[rng.IntN(len(names))],
			At:   Duration(time.Duration(rng.Int64N(int64(latest))).Round(time.Millisecond)),
		}
		randomize(rng, &disruption)
		d.Disruptions = append(d.Disruptions, disruption)
	}
	slices.SortStableFunc(d.Disruptions, func(a, b Disruption) int { return cmp.Compare(a.At, b.At) })
	return d
}

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
	case "config_change", "config_storm":
		d.Variant = []string{changeRoute, changeTimeout}[rng.IntN(2)]
	case "vm_kill", "vm_power_loss":
		const all = 0.15 // probability that all VMs are affected
		if rng.Float64() < all {
			d.Share = 1
		}
	}
}
