package retry

import (
	"math/rand/v2"
	"time"
)

// Interval returns a uniform random time around mean. It deviates by at most the
// given fraction of mean, from 0 to 1, so that processes that start together do
// not poll at the same moments.
func Interval(rng *rand.Rand, mean time.Duration, fraction float64) time.Duration {
	factor := 1 + fraction*(2*rng.Float64()-1)
	return time.Duration(float64(mean) * factor)
}
