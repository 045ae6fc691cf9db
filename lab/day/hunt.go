package day

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxTroubles is the largest number of troubles that a drawn day has beside
	// planned work.
	maxTroubles = 6
	// lastTrouble is the time before the end of a drawn day after which no trouble
	// begins, so that recovery is seen.
	lastTrouble = 8 * time.Second
)

// RandomDay returns a day of random disruptions at a site. The same seed gives the same day.
func RandomDay(site *Site, length time.Duration, seed uint64) *Day {
	const stream = 11 // apart from the randomness of the day itself
	rng := rand.New(rand.NewPCG(seed, stream))
	d := &Day{Name: fmt.Sprintf("drawn-%d", seed), Length: Duration(length), Site: site}
	names, _ := DisruptionKinds()
	latest := max(length-lastTrouble, time.Second)
	for range 1 + rng.IntN(maxTroubles) {
		t := Disruption{
			Kind: names[rng.IntN(len(names))],
			At:   Duration(time.Duration(rng.Int64N(int64(latest))).Round(time.Millisecond)),
		}
		vary(rng, &t)
		d.Disruptions = append(d.Disruptions, t)
	}
	slices.SortStableFunc(d.Disruptions, func(a, b Disruption) int { return cmp.Compare(a.At, b.At) })
	return d
}

// vary changes a trouble's length, extent and way.
func vary(rng *rand.Rand, t *Disruption) {
	kind := troubleKinds[t.Kind].defaults
	if kind.For > 0 {
		t.For = Duration((time.Duration(float64(kind.For) * (0.3 + 1.4*rng.Float64()))).Round(time.Millisecond))
	}
	if kind.Share > 0 {
		t.Share = min(kind.Share*(0.5+2*rng.Float64()), 1)
	}
	switch t.Kind {
	case "target_grey":
		t.Variant = []string{greyErrors, greyHang, greyReset, greySlow}[rng.IntN(4)]
	case "config_change", "config_storm":
		t.Variant = []string{changeRoute, changeTimeout}[rng.IntN(2)]
	case "vm_kill", "vm_power_loss":
		const all = 0.15 // chance that every VM is hit
		if rng.Float64() < all {
			t.Share = 1
		}
	}
}
