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
	// minService keeps start tags increasing for items without measurable service time.
	minService = time.Microsecond
	// averageGain is the weight of a new sample in the moving averages, equal to the
	// gain of the smoothed round-trip time in RFC 6298.
	averageGain = 1.0 / 8
	// estimateMaxAge is the age of the last sample above which one item is admitted
	// regardless of the estimate. Without it, a few very slow answers could close a
	// kind forever, since no item would correct the estimate.
	estimateMaxAge = time.Second
	// meterWindow is the time constant of the meters of work. With shorter windows
	// a chance burst of a few long items counts as a flood.
	meterWindow = 2 * time.Second
	// recentDemandTime is how long after its last item a kind still has recent
	// demand, so that other kinds must leave slots for it. It is also the time
	// constant with which the longest recent budget decays.
	recentDemandTime = 10 * time.Second
	// floodHoldTime is how long after a refusal a kind above its share still counts
	// as flooding. Ingress VMs refuse a closed kind for up to maxClosed, so the owner
	// measures a demand below its share although the queue is full of its items.
	floodHoldTime = 2 * maxClosed
)

// class is the priority in which kinds are served, lowest value first. See classify
// for kinds after a flood and for starved ones.
type class uint8

const (
	withinBothShares class = iota // offered work is within its configured and its effective share
	aboveOneShare                 // offered work exceeds one of them
	aboveBothShares               // offered work exceeds both
)

// kind is one kind of work.
type kind struct {
	buckets
	share          float64 // configured
	effectiveShare float64 // see setEffectiveShares
	usage          baseline
	urgency        table.Urgency
	removed        bool // no longer in the table
	inFlight       int
	slotLimit      int           // largest number of slots it may use now, see classify
	class          class         // see classify
	fairSlots      float64       // its effective share, in slots, see classify
	startTag       float64       // of the next item, in seconds of work per unit of share
	service        float64       // moving average of the service time, in seconds
	measured       bool          // service has a sample
	lastSample     time.Duration // time of the last service time sample
	demand         meter         // of offered work
	served         meter         // of dispatched work
	everOffered    bool          // an item was offered at demand.at
	budget         float64       // longest time until the deadline, decaying, in seconds
	closed         bool
	floodingUntil  time.Duration // see floodHoldTime
}

func (k *kind) configure(c KindConfig) {
	k.share = float64(max(c.Share, 1))
	k.effectiveShare = k.share
	k.urgency = c.Urgency
	k.removed = false
}

// expectedService returns the expected service time.
func (k *kind) expectedService() time.Duration {
	return seconds(k.service)
}

// minTimeLeft returns the time that an item must have left before its deadline to
// be dispatched. It is minService while there is no sample, or none is recent and no
// item of the kind is in flight that could give one.
func (k *kind) minTimeLeft(now time.Duration) time.Duration {
	if !k.measured {
		return minService
	}
	if k.inFlight == 0 && now-k.lastSample > estimateMaxAge {
		return minService
	}
	return k.expectedService()
}

// recordServiceTime adds a measured service time to the estimate.
func (k *kind) recordServiceTime(now, serviceTime time.Duration) {
	k.lastSample = now
	s := max(serviceTime, minService).Seconds()
	if !k.measured {
		k.service = s
		k.measured = true
		return
	}
	k.service += (s - k.service) * averageGain
}

// servingShare returns the share with which k is scheduled now: the effective one,
// but no less than the configured one while k is within both shares.
func (k *kind) servingShare() float64 {
	if k.class == withinBothShares {
		return max(k.effectiveShare, k.share)
	}
	return k.effectiveShare
}

// cost returns the length of one item in virtual time.
func (k *kind) cost() float64 {
	return k.service / k.servingShare()
}

// recordOffer counts an offered item, admitted or not. budget is the time until its
// deadline.
func (k *kind) recordOffer(now, budget time.Duration) {
	k.updateBudget(now, budget)
	k.demand.add(now, k.service)
	k.everOffered = true
}

// updateBudget keeps the longest recent budget. With an average, one caller that
// sends many requests with short deadlines could close the kind for all others. It
// reads the time of the previous offer from demand.at, so it must run before
// demand.add.
func (k *kind) updateBudget(now, budget time.Duration) {
	age := now - k.demand.at
	decayed := k.budget * math.Exp(-float64(age)/float64(recentDemandTime))
	k.budget = max(decayed, budget.Seconds())
}

// meter measures work as an average number of busy slots, exponentially weighted
// with time constant meterWindow.
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

// flooding reports whether k's demand, including its waiting items, exceeds its
// effective share. The meter alone falls below the share while ingress VMs refuse k.
func (k *kind) flooding(now time.Duration) bool {
	waiting := float64(k.len) * k.service / meterWindow.Seconds()
	return k.demand.slots(now)+waiting > k.fairSlots
}

// hasRecentDemand reports whether the kind has waiting or dispatched items or was
// offered one within recentDemandTime.
func (k *kind) hasRecentDemand(now time.Duration) bool {
	if k.len > 0 || k.inFlight > 0 {
		return true
	}
	return k.everOffered && now-k.demand.at <= recentDemandTime
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
