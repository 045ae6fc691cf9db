package retry

// Defaults of BudgetConfig.
const (
	// DefaultRetriesPerMille limits retries to 10% of the first attempts.
	DefaultRetriesPerMille = 100
	// DefaultInitialRetries allows a caller that has just started a few retries.
	DefaultInitialRetries = 3
	// DefaultCapacity bounds the burst of retries after a long time without failures.
	DefaultCapacity = 20
)

// milliTokensPerRetry is the cost of a retry. Integers avoid rounding errors: ten tenths
// of a token are exactly one.
const milliTokensPerRetry = 1000

// BudgetConfig configures a Budget. Values of 0 or less select the defaults.
type BudgetConfig struct {
	RetriesPerMille int // retries allowed for 1,000 first attempts
	InitialRetries  int // retries available at the start
	Capacity        int // largest number of retries available
}

// Budget is a token bucket of retries that is refilled by first attempts instead of time.
type Budget struct {
	refill      int // milli-tokens for each first attempt
	capacity    int // in milli-tokens
	milliTokens int
}

// NewBudget returns a budget with c.InitialRetries, at most c.Capacity.
func NewBudget(c BudgetConfig) *Budget {
	b := &Budget{
		refill:   positive(c.RetriesPerMille, DefaultRetriesPerMille),
		capacity: milliTokensPerRetry * positive(c.Capacity, DefaultCapacity),
	}
	b.milliTokens = min(milliTokensPerRetry*positive(c.InitialRetries, DefaultInitialRetries), b.capacity)
	return b
}

// RecordFirstAttempt refills the budget for the first attempt of a request.
func (b *Budget) RecordFirstAttempt() {
	b.milliTokens = min(b.milliTokens+b.refill, b.capacity)
}

// AllowRetry reports whether a further attempt may be sent now. If so it spends one retry.
func (b *Budget) AllowRetry() bool {
	if b.milliTokens < milliTokensPerRetry {
		return false
	}
	b.milliTokens -= milliTokensPerRetry
	return true
}

// Available returns the number of retries that may be sent now.
func (b *Budget) Available() int {
	return b.milliTokens / milliTokensPerRetry
}

func positive[T ~int | ~int64](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
