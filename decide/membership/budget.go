package membership

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

const (
	// pacedBurst is the part of GossipBurst, in bytes, that paced records may use.
	// The rest is reserved for the own failure domain, whose changes decide on
	// owners; other domains matter only for the choice of a receiver.
	pacedBurst = 4_000
	// minPacedDomainSize is the number of members from which changes of another
	// failure domain are paced.
	minPacedDomainSize = 16
	// maxUnpacedFleetSize is the number of known VMs up to which nothing is paced. In
	// a partial partition of so few VMs suspicions and refutations recur so often
	// that late refutations would cause false deaths.
	maxUnpacedFleetSize = 64
	// pacingThreshold is the number of suspects and recent deaths in another failure
	// domain from which its changes are paced.
	pacingThreshold = 4
	// roundBytes is the approximate size of a heartbeat and its ack without updates.
	roundBytes = 112
	// shortBytes and fullBytes are the approximate encoded sizes of an update.
	shortBytes = 22
	fullBytes  = 76
)

// budget is a token bucket for gossip, in bytes. Its level can fall below 0.
type budget struct {
	level float64
	at    time.Duration
}

// refill adds the tokens that have accrued since the last call.
func (v *View) refill(now time.Duration) {
	gain := (now - v.budget.at).Seconds() * float64(v.config.GossipRate)
	v.budget.at = now
	v.budget.level = min(v.budget.level+gain, float64(v.config.GossipBurst))
	if len(v.order) <= maxUnpacedFleetSize {
		v.budget.level = float64(v.config.GossipBurst)
	}
}

// budgetAllows reports whether the budget covers cost bytes, of paced records or of
// others.
func (v *View) budgetAllows(cost int, paced bool) bool {
	remaining := v.budget.level - float64(cost)
	if paced {
		return remaining >= float64(v.config.GossipBurst-pacedBurst)
	}
	return remaining >= 0
}

func (v *View) spend(bytes int) {
	v.budget.level -= float64(bytes)
}

// fanout is the number of messages that carry one batch: a heartbeat to each
// neighbour, and on average as many acks.
func (v *View) fanout() int {
	return 2 * len(v.neighbours)
}

// inLargeRemoteDomain reports whether r is in another failure domain that is too
// large to gossip all its members at once.
func (v *View) inLargeRemoteDomain(r *record) bool {
	return r.member.Domain != v.self.member.Domain && v.isLargeDomain(v.domain(r.member.Domain))
}

// isLargeDomain reports whether a domain, in a fleet that needs pacing, has at least
// minPacedDomainSize members.
func (v *View) isLargeDomain(d *domain) bool {
	return len(v.order) > maxUnpacedFleetSize && d.liveCount+d.diedWithDomain >= minPacedDomainSize
}

// isPaced reports whether gossip of a record is paced: r is in another large failure
// domain with several recent failures. The first few changes of a domain are not
// paced, so that a refutation arrives in time.
func (v *View) isPaced(r *record) bool {
	d := v.domain(r.member.Domain)
	return v.inLargeRemoteDomain(r) && d.recentFailures() >= pacingThreshold
}

// requestEarlyRound requests a round of heartbeats before the next one is due, to
// gossip r.
func (v *View) requestEarlyRound(r *record) {
	if v.isPaced(r) {
		v.urgentPaced = true
		return
	}
	v.urgent = true
}

// earlyRound reports whether a requested early round may be sent now, and charges
// the budget for it. While less than half of GossipBurst is left, early rounds are at
// least Interval/2 apart.
func (v *View) earlyRound(now time.Duration) bool {
	minGap := v.config.Interval / earlyRoundDivisor
	if v.budget.level < float64(v.config.GossipBurst/2) {
		minGap = v.config.Interval / 2
	}
	if now-v.lastRound < minGap {
		return false
	}
	cost := roundBytes * len(v.neighbours)
	unpaced := v.urgent && len(v.queue) <= v.config.MaxUpdates && v.budgetAllows(cost, false)
	paced := v.urgentPaced && len(v.pacedQueue) <= v.config.MaxUpdates && v.budgetAllows(cost, true)
	if unpaced || paced {
		v.spend(cost)
	}
	return unpaced || paced
}

// fillBatch moves records from the queues into the batch for the next round, paced
// ones last, as far as the budget allows.
func (v *View) fillBatch() {
	v.batch = nil
	v.queue = v.dequeue(v.queue, false)
	v.pacedQueue = v.dequeue(v.pacedQueue, true)
}

// dequeue moves records from a queue into the batch, newest first, and returns the
// rest of the queue. While records remain unsent, those that were sent are not
// sent again in a second round.
func (v *View) dequeue(queue []*record, paced bool) []*record {
	var requeued []*record
	n := len(queue)
	for n > 0 && len(v.batch) < v.config.MaxUpdates {
		r := queue[n-1]
		if r.roundsLeft == 0 { // its failure domain was declared dead meanwhile
			n--
			continue
		}
		m := gossipForm(r)
		cost := v.fanout() * updateBytes(m)
		if !v.budgetAllows(cost, paced) {
			break
		}
		n--
		v.spend(cost)
		v.batch = append(v.batch, m)
		if r.roundsLeft--; r.roundsLeft > 0 {
			requeued = append(requeued, r)
		}
	}
	if n > 0 {
		for _, r := range requeued {
			r.roundsLeft = 0
		}
		return queue[:n]
	}
	return requeued
}

// updateBytes returns the approximate encoded size of an update.
func updateBytes(m message.Member) int {
	if isShort(&m) {
		return shortBytes
	}
	return fullBytes
}
