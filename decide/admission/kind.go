package admission

import (
	"math"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/table"
)

const (
	// initialService is the expected service time of a kind before its first
	// finished item.
	initialService = 10 * time.Millisecond
	// minService keeps tags rising for items that take no measurable time.
	minService = time.Microsecond
	// averageWeight is the weight of a new sample in the moving averages, the
	// gain of the smoothed round-trip time in RFC 6298.
	averageWeight = 1.0 / 8
	// probeAfter is how long a kind may have no sample before one item is
	// admitted whatever the estimate says. Without it, a few very slow answers
	// could close a kind for ever, since no item would correct the estimate.
	probeAfter = time.Second
	// meterWindow is the time constant of the meters of work. Shorter
	// windows take a chance burst of a few long items for a flood.
	meterWindow = 2 * time.Second
	// recentDemand is how long after its last item a kind still counts as one
	// that others must leave slots for.
	recentDemand = 10 * time.Second
	// floodHold is how long after a refusal a kind above its share still counts
	// as flooding. Ingress VMs refuse a closed kind for up to maxClosed, and the
	// owner then sees a demand below its share, while the queue is full of it.
	floodHold = 2 * maxClosed
)

// class says in which order kinds are served.
type class uint8

const (
	withinShare class = iota // offers at most its configured and its effective share
	withinUsual              // more than one of them
	aboveShare               // more than both
)

// kind is one kind of work.
type kind struct {
	buckets
	share    float64 // configured
	weight   float64 // effective share, see setWeights
	usual    baseline
	urgency  table.Urgency
	removed  bool // no longer in the table
	inFlight int
	slots    int     // it may hold now, see classify
	class    class   // see classify
	fair     float64 // the slots of its effective share
	start    float64 // start tag of the next item, in seconds of work by share
	service  float64 // moving average of the service time, in seconds
	measured bool
	sampled  time.Duration // time of the last sample
	demand   meter         // of offered work
	served   meter         // of dispatched work
	offered  bool          // an item was offered at demand.at
	budget   float64       // longest time until the deadline, fading, in seconds
	closed   bool
	held     time.Duration // counts as flooding until then
}

func (k *kind) configure(c KindConfig) {
	k.share = float64(max(c.Share, 1))
	k.weight = k.share
	k.urgency = c.Urgency
	k.removed = false
}

// expected returns the expected service time.
func (k *kind) expected() time.Duration {
	return seconds(k.service)
}

// needed returns the time that an item must have left to be worth a slot. It is
// minService while no recent sample supports the estimate.
func (k *kind) needed(now time.Duration) time.Duration {
	if !k.measured {
		return minService
	}
	if k.inFlight == 0 && now-k.sampled > probeAfter {
		return minService
	}
	return k.expected()
}

// sample feeds a measured service time into the estimate.
func (k *kind) sample(now, took time.Duration) {
	k.sampled = now
	s := max(took, minService).Seconds()
	if !k.measured {
		k.service = s
		k.measured = true
		return
	}
	k.service += (s - k.service) * averageWeight
}

// part returns the share by which k is served now: the effective one, but no less
// than the configured one while k is within its share.
func (k *kind) part() float64 {
	if k.class == withinShare {
		return max(k.weight, k.share)
	}
	return k.weight
}

// cost is the length of one item in virtual time.
func (k *kind) cost() float64 {
	return k.service / k.part()
}

// offer counts an offered item, served or not. budget is the time until its
// deadline.
func (k *kind) offer(now, budget time.Duration) {
	k.expectBudget(now, budget)
	k.demand.add(now, k.service)
	k.offered = true
}

// expectBudget keeps the longest recent budget. An average would let one caller
// close the kind for all others by sending many requests with short deadlines.
func (k *kind) expectBudget(now, budget time.Duration) {
	age := now - k.demand.at
	faded := k.budget * math.Exp(-float64(age)/float64(recentDemand))
	k.budget = max(faded, budget.Seconds())
}

// meter measures work as an average number of busy slots over meterWindow, with
// exponentially falling weights.
type meter struct {
	work float64 // in seconds, as of at
	at   time.Duration
}

func (m *meter) add(now time.Duration, work float64) {
	m.work = m.decayed(now) + work
	m.at = now
}

func (m *meter) decayed(now time.Duration) float64 {
	return m.work * math.Exp(-float64(now-m.at)/float64(meterWindow))
}

// slots returns the average at now.
func (m *meter) slots(now time.Duration) float64 {
	return m.decayed(now) / meterWindow.Seconds()
}

// floods reports whether k's demand, together with the work that waits, exceeds
// its effective share. The meter alone falls below the share while ingress VMs refuse k.
func (k *kind) floods(now time.Duration) bool {
	waiting := float64(k.len) * k.service / meterWindow.Seconds()
	return k.demand.slots(now)+waiting > k.fair
}

// recent reports whether the kind waits, runs or was offered recently.
func (k *kind) recent(now time.Duration) bool {
	if k.len > 0 || k.inFlight > 0 {
		return true
	}
	return k.offered && now-k.demand.at <= recentDemand
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
