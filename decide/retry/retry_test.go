package retry

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a retry storm: while all requests fail, retries stay at the initial ones
// plus 10% of the first attempts, and a time without failures saves at most the capacity.
func TestBudget(t *testing.T) {
	cases := []struct {
		name     string
		config   BudgetConfig
		quiet    int // successful first attempts before the failures
		failures int // failing first attempts, each retried while the budget allows it
		want     int // number of retries
	}{
		{"initial retries only", BudgetConfig{}, 0, 1, 3},
		{"one retry for ten first attempts", BudgetConfig{}, 0, 10, 4},
		{"outage", BudgetConfig{}, 0, 10_000, 1003},
		{"outage after a time without failures", BudgetConfig{}, 10_000, 1, 20},
		{"initial retries above the capacity", BudgetConfig{InitialRetries: 50, Capacity: 5}, 0, 1, 5},
		{"negative values", BudgetConfig{RetriesPerMille: -1, InitialRetries: -1, Capacity: -1}, 0, 10, 4},
		{"one retry for two first attempts", BudgetConfig{RetriesPerMille: 500, InitialRetries: 1}, 0, 100, 51},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := NewBudget(c.config)
			for range c.quiet {
				b.RecordFirstAttempt()
			}
			retries := 0
			for range c.failures {
				b.RecordFirstAttempt()
				for b.AllowRetry() {
					retries++
				}
			}
			is.Equal(retries, c.want)
			is.Equal(b.Available(), 0)
		})
	}
}

// Guards against delays out of range, overflow for late retries, and a minimum that
// cancels the jitter.
func TestDelayRange(t *testing.T) {
	cases := []struct {
		name    string
		config  BackoffConfig
		retry   int
		minimum time.Duration
		limit   time.Duration
	}{
		{"first", BackoffConfig{}, 1, 0, DefaultBase},
		{"third", BackoffConfig{}, 3, 0, 4 * DefaultBase},
		{"capped", BackoffConfig{}, 7, 0, DefaultMax},
		{"very late", BackoffConfig{}, math.MaxInt, 0, DefaultMax},
		{"before the first", BackoffConfig{}, 0, 0, DefaultBase},
		{"retry after", BackoffConfig{}, 1, time.Second, DefaultBase},
		{"retry after above the cap", BackoffConfig{}, 9, time.Minute, DefaultMax},
		{"negative retry after", BackoffConfig{}, 1, -time.Second, DefaultBase},
		{"base above the cap", BackoffConfig{Base: time.Minute, Max: time.Second}, 1, 0, time.Second},
		{"largest range", BackoffConfig{Base: 1, Max: math.MaxInt64}, 100, 0, MaxDelayTerm},
		{"largest retry after", BackoffConfig{}, 1, math.MaxInt64, DefaultBase},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := NewBackoff(c.config, 1)
			const draws = 2000
			low, high, sum := math.Inf(1), 0.0, 0.0
			for range draws {
				d := b.Delay(c.retry, c.minimum)
				part := float64(d-min(max(c.minimum, 0), MaxDelayTerm)) / float64(c.limit)
				low, high, sum = min(low, part), max(high, part), sum+part
			}
			if low < 0 || low > 0.01 || high < 0.99 || high > 1 || math.Abs(sum/draws-0.5) > 0.03 {
				t.Fatalf("delays are between %.3f and %.3f of the range, %.3f on average", low, high, sum/draws)
			}
		})
	}
}

// Guards simulations against randomness that does not come from the seed, and callers
// against synchronized retries.
func TestDelaySeeds(t *testing.T) {
	is := is.New(t)
	a, same, other := NewBackoff(BackoffConfig{}, 1), NewBackoff(BackoffConfig{}, 1), NewBackoff(BackoffConfig{}, 2)
	differ := 0
	for retry := range 20 {
		d := a.Delay(retry, 0)
		is.Equal(d, same.Delay(retry, 0))
		if d != other.Delay(retry, 0) {
			differ++
		}
	}
	is.True(differ >= 19)
}

func BenchmarkDelay(b *testing.B) {
	b.ReportAllocs()
	backoff := NewBackoff(BackoffConfig{}, 1)
	for b.Loop() {
		backoff.Delay(8, 0)
	}
}
