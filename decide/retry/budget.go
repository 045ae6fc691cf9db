package retry

// Defaults of BudgetConfig.
const (
	// DefaultRetriesPerMille lets retries add 10% to the load of first attempts.
	DefaultRetriesPerMille = 100
	// DefaultInitialRetries lets a caller that has just started retry a few times.
	DefaultInitialRetries = 3
	// DefaultCapacity bounds the burst of retries after a long time without failures.
	DefaultCapacity = 20
)

// unit is one token in thousandths. Whole numbers keep ten tenths equal to one token.
const unit = 1000

// BudgetConfig sets up a Budget. Values of 0 or less select the defaults.
type BudgetConfig struct {
	RetriesPerMille int // thousandths of a retry that each first attempt earns
	InitialRetries  int // retries available at the start
	Capacity        int // largest number of retries that can be saved
}

// Budget is a token bucket of retries, counted and not timed: first attempts
// fill it and retries empty it.
type Budget struct {
	earned   int
	capacity int
	tokens   int
}

// NewBudget returns a budget that holds its reserve.
func NewBudget(c BudgetConfig) *Budget {
	b := &Budget{
		earned:   positive(c.RetriesPerMille, DefaultRetriesPerMille),
		capacity: unit * positive(c.Capacity, DefaultCapacity),
	}
	b.tokens = min(unit*positive(c.InitialRetries, DefaultInitialRetries), b.capacity)
	return b
}

// RecordFirstAttempt counts the first attempt of a request.
func (b *Budget) RecordFirstAttempt() {
	b.tokens = min(b.tokens+b.earned, b.capacity)
}

// AllowRetry reports whether a further attempt may be sent now, and pays for it if so.
func (b *Budget) AllowRetry() bool {
	if b.tokens < unit {
		return false
	}
	b.tokens -= unit
	return true
}

// Available returns the number of retries that may be sent now.
func (b *Budget) Available() int {
	return b.tokens / unit
}

func positive[T ~int | ~int64](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
