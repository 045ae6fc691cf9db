package retry

import (
	"math/rand/v2"
	"time"
)

// JitteredInterval returns a uniformly distributed random interval around mean, so that processes
// that start together do not poll at the same moments. It deviates from mean by at most
// the given fraction, from 0 to 1.
func JitteredInterval(rng *rand.Rand, mean time.Duration, fraction float64) time.Duration {
	factor := 1 + fraction*(2*rng.Float64()-1)
	return time.Duration(float64(mean) * factor)
}
