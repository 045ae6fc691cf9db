package membership

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

const (
	// otherBurst is the part of the gossip burst that news of other failure
	// domains may use. The rest is kept for the own domain, whose news decide on
	// owners; other domains matter only for choosing a receiver.
	otherBurst = 4_000
	// smallDomain is the number of members from which news of another failure
	// domain are paced.
	smallDomain = 16
	// smallFleet is the number of known VMs up to which nothing is paced. There
	// a partial partition keeps suspicions and refutations going between so few VMs
	// that late refutations would cause false deaths.
	smallFleet = 64
	// pacedMembers is the number of suspects and recent deaths in another failure
	// domain from which its news are paced.
	pacedMembers = 4
	// roundBytes is about what a heartbeat and its ack cost without updates.
	roundBytes = 112
	// shortBytes and fullBytes are about what one update costs on the wire.
	shortBytes = 22
	fullBytes  = 76
)

// budget is a token bucket of bytes for gossip. Its level can fall below 0.
type budget struct {
	level float64
	at    time.Duration
}

// refill adds what has accrued since the last call.
func (v *View) refill(now time.Duration) {
	gain := (now - v.budget.at).Seconds() * float64(v.config.GossipRate)
	v.budget.at = now
	v.budget.level = min(v.budget.level+gain, float64(v.config.GossipBurst))
	if len(v.order) <= smallFleet {
		v.budget.level = float64(v.config.GossipBurst)
	}
}

// allows reports whether the budget covers cost bytes of news of the own failure
// domain, or of another one.
func (v *View) allows(cost int, other bool) bool {
	left := v.budget.level - float64(cost)
	if other {
		return left >= float64(v.config.GossipBurst-otherBurst)
	}
	return left >= 0
}

func (v *View) spend(bytes int) {
	v.budget.level -= float64(bytes)
}

// fanout is the number of messages that carry one batch: a heartbeat to each
// neighbour, and on average as many acks.
func (v *View) fanout() int {
	return 2 * len(v.neighbours)
}

// isLarge reports whether r is in another failure domain that is too large to
// gossip all its members at once.
func (v *View) isLarge(r *record) bool {
	return r.member.Domain != v.self.member.Domain && v.largeDomain(v.domain(r.member.Domain))
}

func (v *View) largeDomain(d *domain) bool {
	return len(v.order) > smallFleet && d.live+d.cut >= smallDomain
}

// isOther reports whether a record is paced as news of another failure domain.
// The first few of a domain are not, so that a refutation comes in time.
func (v *View) isOther(r *record) bool {
	d := v.domain(r.member.Domain)
	return v.isLarge(r) && d.trouble() >= pacedMembers
}

// hurry asks for a round of heartbeats before the next one is due.
func (v *View) hurry(r *record) {
	if v.isOther(r) {
		v.urgentOther = true
		return
	}
	v.urgent = true
}

// earlyRound reports whether changes justify a round before the next one is due,
// and charges it.
func (v *View) earlyRound(now time.Duration) bool {
	least := v.config.Interval / earlyDivisor
	if v.budget.level < float64(v.config.GossipBurst/2) {
		least = v.config.Interval / 2
	}
	if now-v.lastRound < least {
		return false
	}
	cost := roundBytes * len(v.neighbours)
	own := v.urgent && len(v.queue) <= v.config.MaxUpdates && v.allows(cost, false)
	other := v.urgentOther && len(v.otherQueue) <= v.config.MaxUpdates && v.allows(cost, true)
	if own || other {
		v.spend(cost)
	}
	return own || other
}

// fillBatch takes the records for the next round from the queues, those of the
// own failure domain first, as far as the budget goes.
func (v *View) fillBatch() {
	v.batch = nil
	v.queue = v.take(v.queue, false)
	v.otherQueue = v.take(v.otherQueue, true)
}

// take moves records from a queue into the batch, newest first, and returns the
// rest. A record that leaves others waiting is sent in one round only.
func (v *View) take(queue []*record, other bool) []*record {
	var again []*record
	n := len(queue)
	for n > 0 && len(v.batch) < v.config.MaxUpdates {
		r := queue[n-1]
		if r.rounds == 0 { // its failure domain was cut off meanwhile
			n--
			continue
		}
		m := gossipForm(r)
		cost := v.fanout() * updateBytes(m)
		if !v.allows(cost, other) {
			break
		}
		n--
		v.spend(cost)
		v.batch = append(v.batch, m)
		if r.rounds--; r.rounds > 0 {
			again = append(again, r)
		}
	}
	if n > 0 {
		for _, r := range again {
			r.rounds = 0
		}
		return queue[:n]
	}
	return again
}

func updateBytes(m message.Member) int {
	if isShort(&m) {
		return shortBytes
	}
	return fullBytes
}
