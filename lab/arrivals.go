package lab

import (
	"math"
	"math/rand/v2"
	"time"
)

// arrivals is a Poisson process: the load is open loop, so slow answers do not
// slow the arrivals down.
type arrivals struct {
	rate float64 // per second; 0: no arrivals
	next time.Duration
	rng  *rand.Rand
}

func newArrivals(rate float64, seed, stream uint64) *arrivals {
	return &arrivals{rate: rate, rng: rand.New(rand.NewPCG(seed, stream))}
}

// begin starts the process at now.
func (a *arrivals) begin(now time.Duration) {
	a.next = now
	a.advance()
}

func (a *arrivals) advance() {
	if a.rate <= 0 {
		a.next = math.MaxInt64
		return
	}
	gap := a.rng.ExpFloat64() / a.rate
	a.next += time.Duration(gap * float64(time.Second))
}

// take returns the time of the next arrival if it is due.
func (a *arrivals) take(now time.Duration) (at time.Duration, ok bool) {
	if a.next > now {
		return 0, false
	}
	at = a.next
	a.advance()
	return at, true
}
