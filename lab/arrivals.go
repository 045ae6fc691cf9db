package lab

import (
	"math"
	"math/rand/v2"
	"time"
)

// arrivals generates the times of a Poisson process. The load is open loop:
// arrivals do not depend on when earlier calls complete.
type arrivals struct {
	rate float64 // per second; 0: no arrivals
	next time.Duration
	rng  *rand.Rand
}

func newArrivals(rate float64, seed, stream uint64) *arrivals {
	return &arrivals{rate: rate, rng: rand.New(rand.NewPCG(seed, stream))}
}

// start starts the process at now.
func (a *arrivals) start(now time.Duration) {
	a.next = now
	a.advance()
}

// advance adds an exponentially distributed gap to the time of the next arrival.
func (a *arrivals) advance() {
	if a.rate <= 0 {
		a.next = math.MaxInt64
		return
	}
	gap := a.rng.ExpFloat64() / a.rate
	a.next += time.Duration(gap * float64(time.Second))
}

// popDue returns the time of the next arrival if it is due, and schedules the
// one after it.
func (a *arrivals) popDue(now time.Duration) (at time.Duration, ok bool) {
	if a.next > now {
		return 0, false
	}
	at = a.next
	a.advance()
	return at, true
}
