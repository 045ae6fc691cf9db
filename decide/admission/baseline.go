package admission

import (
	"math"
	"time"
)

const (
	// learnTime is the time constant with which the baselines follow the use of
	// the slots. It is far above the length of a burst, and short enough for the
	// change of demand over a day.
	learnTime = 5 * time.Minute
	// learnStep is the shortest time between two updates of the baselines, so
	// that most decisions do not pay for one.
	learnStep = 50 * time.Millisecond
	// minHistory is the calm time after which a baseline is used. In a shorter
	// time a few long items can exceed the usual load several times.
	minHistory = time.Second
	// headroom is the effective share by the baseline. The demand meter of a kind
	// with 70 items in its window deviates by about 12% from the mean; without
	// headroom, a kind at its usual load would be above its effective share half
	// of the time.
	headroom = 1.5
	// leastPart is the part of its configured share that a kind without use keeps.
	leastPart = 0.1
	// fadeTime is the time constant with which, during contention, effective
	// shares return to the configured ones.
	fadeTime = 10 * time.Minute
	// fadeByHistory bounds the fade time to this many times the calm time behind
	// the baseline. A kind that was alone in the first seconds after a cold start
	// would otherwise keep the slots for ten minutes.
	fadeByHistory = 20
)

// baseline is the usual use of slots by one kind, an average over learnTime. It
// is corrected for the missing past (D. Kingma, J. Ba, "Adam: a method for
// stochastic optimization", ICLR 2015, section 3), so that it is valid after
// minHistory.
type baseline struct {
	work    float64 // dispatched work, fading, in seconds
	history float64 // calm time behind work, fading, in seconds
	trust   float64 // part of the protection that contention has left, 0 to 1
	fresh   float64 // work dispatched since the last update, in seconds
}

// learn adds a calm time in which the work in fresh was dispatched.
func (b *baseline) learn(elapsed float64) {
	keep := math.Exp(-elapsed / learnTime.Seconds())
	b.work = b.work*keep + b.fresh
	b.history = b.history*keep + learnTime.Seconds()*(1-keep)
	b.trust = 1 - (1-b.trust)*keep
	b.fresh = 0
}

// fade reduces the protection after a time of contention.
func (b *baseline) fade(elapsed float64) {
	b.fresh = 0
	b.trust *= math.Exp(-elapsed / min(fadeTime.Seconds(), fadeByHistory*max(b.history, minHistory.Seconds())))
}

// slots returns the usual number of busy slots, and false without history.
func (b *baseline) slots() (float64, bool) {
	if b.history < minHistory.Seconds() {
		return 0, false
	}
	return b.work / b.history, true
}

// updateBaselines learns from the time since the last update, or fades during
// contention. The history of a kind starts with its first item, since the time
// between a takeover or cold start and its first load says nothing about its
// usual use.
func (q *Queue) updateBaselines(now time.Duration) {
	if !q.learning {
		// The time before the first decision says nothing about use.
		q.learning = true
		q.learned = now
	}
	elapsed := now - q.learned
	if elapsed < learnStep {
		return
	}
	q.learned = now
	contention := q.contention(now)
	for i := range q.kinds {
		k := &q.kinds[i]
		switch {
		case contention:
			k.usual.fade(elapsed.Seconds())
		case k.offered:
			k.usual.learn(elapsed.Seconds())
		}
	}
}

// contention reports whether the kinds together offer more than all slots, or a
// kind floods, whose demand may be hidden by ingress VMs that refuse it.
func (q *Queue) contention(now time.Duration) bool {
	demand := 0.0
	for i := range q.kinds {
		k := &q.kinds[i]
		if now < k.held {
			return true
		}
		demand += k.demand.slots(now)
	}
	return demand > float64(q.limit)
}

// setWeights sets the effective shares of the kinds with recent demand, whose
// configured shares add up to sum. A kind that usually needs more than its
// configured share gets it from the kinds that usually need less. No kind gets
// less than both its configured share and its baseline with headroom, and the
// effective shares add up to sum as well.
func (q *Queue) setWeights(now time.Duration, sum float64) {
	excess, slack := 0.0, 0.0
	for i := range q.kinds {
		k := &q.kinds[i]
		k.weight = k.share
		if !k.recent(now) {
			continue
		}
		wanted := q.wanted(k, sum)
		excess += max(0, wanted)
		slack += max(0, -wanted)
	}
	moved := min(excess, slack)
	if moved == 0 {
		return
	}
	for i := range q.kinds {
		k := &q.kinds[i]
		if !k.recent(now) {
			continue
		}
		if wanted := q.wanted(k, sum); wanted > 0 {
			k.weight += wanted * moved / excess
		} else {
			k.weight += wanted * moved / slack
		}
	}
}

// wanted returns what k needs above its configured share, or less than 0 if it
// can give some of it up. Shares add up to sum.
func (q *Queue) wanted(k *kind, sum float64) float64 {
	slots, ok := k.usual.slots()
	if !ok || q.limit == 0 {
		return 0
	}
	need := headroom * slots * sum / float64(q.limit)
	if need > k.share {
		return (need - k.share) * k.usual.trust
	}
	return max(need, leastPart*k.share) - k.share
}
