package admission

import (
	"math"
	"time"
)

const (
	// baselineTimeConstant is the time constant of the moving average of slot use.
	// It is far above the length of a burst, and short enough to follow the change
	// of demand over a day.
	baselineTimeConstant = 5 * time.Minute
	// baselineUpdateInterval is the minimum time between two updates of the
	// baselines. It keeps their cost out of most scheduling decisions.
	baselineUpdateInterval = 50 * time.Millisecond
	// minHistory is the uncontended time that a baseline must cover before it is
	// used. In a shorter time a few long items can exceed the usual load several
	// times.
	minHistory = time.Second
	// baselineHeadroom is the ratio of the effective share to the baseline. The
	// demand meter of a kind with 70 items in its window deviates by about 12% from
	// the mean; without headroom, a kind at its usual load would be above its
	// effective share half of the time.
	baselineHeadroom = 1.5
	// minShareFraction is the fraction of its configured share that a kind without
	// use keeps.
	minShareFraction = 0.1
	// protectionDecayTime is the time constant with which effective shares return to
	// the configured ones during contention.
	protectionDecayTime = 10 * time.Minute
	// maxDecayPerHistory bounds the decay time to this multiple of the uncontended
	// time that the baseline covers. Otherwise a kind that was alone in the first
	// seconds after a cold start would keep the slots for ten minutes.
	maxDecayPerHistory = 20
)

// baseline is the usual number of slots that one kind uses: an exponential moving
// average with time constant baselineTimeConstant. Its initialization bias is
// corrected (D. Kingma, J. Ba, "Adam: a method for stochastic optimization", ICLR
// 2015, section 3), so that it is valid after minHistory.
type baseline struct {
	work       float64 // dispatched work, decaying, in seconds
	history    float64 // uncontended time covered by work, decaying, in seconds
	protection float64 // protected fraction of the excess over the configured share, 0 to 1
	pending    float64 // work dispatched since the last update, in seconds
}

// update adds an uncontended time, in seconds, in which the pending work was
// dispatched. The protection rises towards 1 with the same time constant.
func (b *baseline) update(elapsed float64) {
	decay := math.Exp(-elapsed / baselineTimeConstant.Seconds())
	b.work = b.work*decay + b.pending
	b.history = b.history*decay + baselineTimeConstant.Seconds()*(1-decay)
	b.protection = 1 - (1-b.protection)*decay
	b.pending = 0
}

// decayProtection lowers the protection after a time of contention, in seconds. Work
// dispatched in that time is not part of the usual use and is dropped.
func (b *baseline) decayProtection(elapsed float64) {
	b.pending = 0
	b.protection *= math.Exp(-elapsed / min(protectionDecayTime.Seconds(), maxDecayPerHistory*max(b.history, minHistory.Seconds())))
}

// slots returns the usual number of busy slots. It returns false while the history
// is shorter than minHistory.
func (b *baseline) slots() (float64, bool) {
	if b.history < minHistory.Seconds() {
		return 0, false
	}
	return b.work / b.history, true
}

// updateBaselines adds the time since the last update to the baselines, or lets
// their protection decay during contention. The history of a kind starts with its
// first item: the idle time between a takeover or cold start and the first load is
// not part of its usual use.
func (q *Queue) updateBaselines(now time.Duration) {
	if !q.baselinesStarted {
		// The time before the first decision is not part of the usual use.
		q.baselinesStarted = true
		q.baselinesUpdatedAt = now
	}
	elapsed := now - q.baselinesUpdatedAt
	if elapsed < baselineUpdateInterval {
		return
	}
	q.baselinesUpdatedAt = now
	contended := q.contended(now)
	for i := range q.kinds {
		k := &q.kinds[i]
		switch {
		case contended:
			k.usage.decayProtection(elapsed.Seconds())
		case k.everOffered:
			k.usage.update(elapsed.Seconds())
		}
	}
}

// contended reports whether the kinds together offer more work than all slots can
// take, or a kind is flooding. The demand of a flooding kind may be invisible here
// while ingress VMs refuse its requests.
func (q *Queue) contended(now time.Duration) bool {
	demand := 0.0
	for i := range q.kinds {
		k := &q.kinds[i]
		if now < k.floodingUntil {
			return true
		}
		demand += k.demand.slots(now)
	}
	return demand > float64(q.limit)
}

// setEffectiveShares sets the effective shares of the kinds with recent demand,
// whose configured shares add up to sum. A kind that usually needs more than its
// configured share gets the excess from the kinds that usually need less. No kind
// gets less than the smaller of its configured share and its baseline with
// headroom, and the effective shares add up to sum as well.
func (q *Queue) setEffectiveShares(now time.Duration, sum float64) {
	excess, slack := 0.0, 0.0
	for i := range q.kinds {
		k := &q.kinds[i]
		k.effectiveShare = k.share
		if !k.hasRecentDemand(now) {
			continue
		}
		shareDelta := q.shareDelta(k, sum)
		excess += max(0, shareDelta)
		slack += max(0, -shareDelta)
	}
	moved := min(excess, slack)
	if moved == 0 {
		return
	}
	for i := range q.kinds {
		k := &q.kinds[i]
		if !k.hasRecentDemand(now) {
			continue
		}
		if shareDelta := q.shareDelta(k, sum); shareDelta > 0 {
			k.effectiveShare += shareDelta * moved / excess
		} else {
			k.effectiveShare += shareDelta * moved / slack
		}
	}
}

// shareDelta returns the share that k usually needs beyond its configured one. It
// is negative if k can cede a part. A positive result is reduced by the lost
// protection. The shares add up to sum.
func (q *Queue) shareDelta(k *kind, sum float64) float64 {
	slots, ok := k.usage.slots()
	if !ok || q.limit == 0 {
		return 0
	}
	need := baselineHeadroom * slots * sum / float64(q.limit)
	if need > k.share {
		return (need - k.share) * k.usage.protection
	}
	return max(need, minShareFraction*k.share) - k.share
}
