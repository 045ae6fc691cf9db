// Package retry decides whether the caller library may send another attempt of a request,
// and when. It also randomizes the intervals of periodic work.
//
// Budget limits retries to a fraction of the first attempts, so that retries can't
// multiply an overload: B. Beyer, C. Jones, J. Petoff, N. Murphy (eds.), "Site Reliability
// Engineering", O'Reilly 2016, chapter 21, "Handling Overload". Backoff spreads the
// remaining retries over time: M. Brooker, "Exponential Backoff And Jitter", AWS
// Architecture Blog, 2015.
//
// github.com/cenkalti/backoff/v4 is not used. Its ExponentialBackOff accepts a clock, but
// NextBackOff calls rand.Float64 of the global generator of math/rand, even with a
// randomization factor of 0, and has no option for another source. Two runs with the same
// seed would differ.
//
// The types are not safe for concurrent use. The package has no errors.
package retry
