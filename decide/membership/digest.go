package membership

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

const (
	// bucketMembers is about the number of members in one bucket of a DomainPull.
	bucketMembers = 8
	maxBuckets    = 256
	// answerMembers bounds the members in one answer, about 8 kB.
	answerMembers = 112
	// incarnationBits are left out of digests, since refutations raise the
	// incarnation by one. Incarnations are milliseconds at start, so that the rest
	// tells a restarted VM from its previous life after about a minute.
	incarnationBits = 16
	// mismatchTime is the time for which a digest must differ while this VM's own
	// stays the same. News that are still being gossiped arrive earlier.
	mismatchTime = 4 * time.Second
	// pullGap is the time until a domain is asked for again; it doubles up to
	// maxPullGap while members stay cut off, since they may be dead.
	pullGap    = 2 * time.Second
	maxPullGap = 2 * time.Minute
	// maxDoubts bounds the members that are probed at a time since another VM does
	// not hold them live.
	maxDoubts = 32
)

// bucketSalt keeps the choice of buckets apart from other hashes of ids.
const bucketSalt = 0x6275636b6574

// comparison is the state of comparing one failure domain with other VMs.
type comparison struct {
	digest    uint64        // over the live members
	differs   uint64        // own digest when another VM's differed, 0 if equal
	differsAt time.Duration // when it began to differ
	pulled    time.Duration
	pullGap   time.Duration
}

// doubt is a live member that another VM does not hold live. It is declared dead
// only if it does not answer this VM.
type doubt struct {
	record *record
	asked  time.Duration // 0 before the probe
}

func memberDigest(m *message.Member) uint64 {
	return rendezvous.Mix(uint64(m.ID), m.Incarnation>>incarnationBits)
}

func bucketOf(id message.VMID, buckets uint32) uint32 {
	return uint32(rendezvous.Mix(bucketSalt, uint64(id)) % uint64(buckets))
}

// addDigest puts the digest of one domain into a heartbeat. Each neighbour gets
// the domains in turn.
func (v *View) addDigest(h *message.Heartbeat) {
	turn := v.rounds / len(v.neighbours) % len(v.domainOrder)
	h.DigestDomain = v.domainOrder[turn]
	h.Digest = v.domains[h.DigestDomain].digest
}

// compareDigest asks the sender for a domain whose live set has differed for
// some time.
func (v *View) compareDigest(now time.Duration, sender *record, h *message.Heartbeat) {
	d := v.domains[h.DigestDomain]
	if d == nil || d.running || sender == nil {
		return
	}
	if d.cut > 0 && sender.member.Domain != h.DigestDomain {
		return // only the domain's own members bring it back, see contact
	}
	if h.Digest == d.digest {
		d.differs = 0
		return
	}
	if d.differs != d.digest || d.differs == 0 {
		d.differs = d.digest
		d.differsAt = now
		return
	}
	if now-d.differsAt < mismatchTime || !v.allows(0, false) {
		return
	}
	d.differs = 0
	v.sendDomainPull(now, sender, h.DigestDomain)
}

// pullDomain asks a member of a domain that was cut off who is live there.
func (v *View) pullDomain(now time.Duration, r *record) {
	d := v.domain(r.member.Domain)
	if d.pulled > 0 && now-d.pulled < max(d.pullGap, pullGap) || !v.allows(0, false) {
		return
	}
	d.pullGap = min(max(2*d.pullGap, pullGap), maxPullGap)
	v.sendDomainPull(now, r, r.member.Domain)
}

func (v *View) sendDomainPull(now time.Duration, to *record, id message.DomainID) {
	d := v.domain(id)
	d.pulled = now
	count := uint32(1)
	for int(count)*bucketMembers < d.live+d.cut && count < maxBuckets {
		count *= 2
	}
	v.spend(int(4*count) + roundBytes)
	address := message.VMAddress(to.member.ID, to.member.Control)
	v.send(address, &message.DomainPull{Domain: id, Buckets: v.buckets(id, count, true)})
}

// buckets returns the digests of a domain's live members by bucket, and with
// withCut set also of those held dead since the domain was cut off.
func (v *View) buckets(id message.DomainID, count uint32, withCut bool) []uint32 {
	digests := make([]uint32, count)
	for _, r := range v.order {
		if r.member.Domain == id && (isLive(r.member.State) || withCut && r.cut) {
			digests[bucketOf(r.member.ID, count)] += uint32(memberDigest(&r.member))
		}
	}
	return digests
}

// answerDomainPull names the buckets that differ, with the members of as many as
// an answer and the budget hold.
func (v *View) answerDomainPull(from message.Address, m *message.DomainPull) {
	count := uint32(len(m.Buckets))
	if count == 0 || count > maxBuckets || v.domains[m.Domain] == nil {
		return
	}
	answer := &message.DomainMembers{Domain: m.Domain, Buckets: count}
	for i, digest := range v.buckets(m.Domain, count, false) {
		if digest != m.Buckets[i] {
			answer.Differing = append(answer.Differing, uint32(i))
		}
	}
	v.listMembers(answer)
	v.spend(roundBytes + 2*len(answer.Differing) + fullBytes*len(answer.Members))
	v.send(v.replyTo(from), answer)
}

func (v *View) listMembers(answer *message.DomainMembers) {
	byBucket := make(map[uint32][]message.Member)
	for _, r := range v.order {
		if r.member.Domain == answer.Domain && isLive(r.member.State) {
			i := bucketOf(r.member.ID, answer.Buckets)
			byBucket[i] = append(byBucket[i], r.member)
		}
	}
	for _, i := range answer.Differing {
		if len(answer.Members)+len(byBucket[i]) > answerMembers {
			return
		}
		if !v.allows(fullBytes*(len(answer.Members)+len(byBucket[i])), false) {
			return
		}
		answer.Members = append(answer.Members, byBucket[i]...)
		answer.Listed++
	}
}

// receiveDomainMembers takes back members of a domain that was cut off, takes
// over members that are new, and probes those that the sender does not hold live.
func (v *View) receiveDomainMembers(now time.Duration, m *message.DomainMembers) {
	if m.Buckets == 0 || m.Buckets > maxBuckets || int(m.Listed) > len(m.Differing) || v.domains[m.Domain] == nil {
		return
	}
	live := make(map[message.VMID]*message.Member, len(m.Members))
	for i := range m.Members {
		live[m.Members[i].ID] = &m.Members[i]
	}
	for _, r := range v.order {
		if r.member.Domain == m.Domain && r != v.self {
			v.compareMember(now, r, m, live[r.member.ID])
		}
	}
	for i := range m.Members {
		if isLive(m.Members[i].State) {
			v.merge(now, &m.Members[i], false)
		}
	}
	v.endCut(m)
}

// endCut holds the members of a domain that was cut off and is back, of which the
// whole answer does not tell, dead like any other. An answer with less than half
// of the domain may come from a VM that is starting. The rest of an answer that
// is not whole is asked for soon.
func (v *View) endCut(m *message.DomainMembers) {
	d := v.domains[m.Domain]
	if int(m.Listed) < len(m.Differing) {
		d.pullGap = 0
		return
	}
	if d.cut == 0 || d.live < d.cut {
		return
	}
	for _, r := range v.order {
		if r.member.Domain == m.Domain {
			v.setCut(r, false)
		}
	}
}

// compareMember compares one record with an answer, in which its bucket is equal
// or holds the member as listed, or nil.
func (v *View) compareMember(now time.Duration, r *record, m *message.DomainMembers, listed *message.Member) {
	at := slices.Index(m.Differing, bucketOf(r.member.ID, m.Buckets))
	switch {
	case at < 0 || listed != nil && listed.Incarnation == r.member.Incarnation:
		if r.cut {
			v.restore(now, r, message.MemberAlive)
		}
	case at < int(m.Listed) && listed == nil && isLive(r.member.State):
		v.domain(r.member.Domain).noteDeath(now)
		v.doubtMember(r)
	}
}

// doubtMember probes a member that another VM does not hold live.
func (v *View) doubtMember(r *record) {
	if r.doubted {
		return
	}
	r.doubted = true
	v.doubts = append(v.doubts, doubt{record: r})
}

func (v *View) settleDoubt(r *record) {
	if r.doubted {
		r.doubted = false
		v.doubts = slices.DeleteFunc(v.doubts, func(d doubt) bool { return d.record == r })
	}
}

// decideDoubts probes doubted members, maxDoubts at a time, and declares those
// dead that do not answer.
func (v *View) decideDoubts(now time.Duration) {
	for len(v.doubts) > 0 {
		d := v.doubts[0]
		r := d.record
		over := !isLive(r.member.State) || v.domain(r.member.Domain).running
		if !over && (d.asked == 0 || now-d.asked < v.config.RefutationGrace) {
			break
		}
		v.settleDoubt(r)
		if !over && !v.answers(now, r) {
			v.stats.Deaths++
			v.die(now, r)
		}
	}
	for i := range v.doubts[:min(len(v.doubts), maxDoubts)] {
		if d := &v.doubts[i]; d.asked == 0 {
			d.asked = now
			v.sendHeartbeat(d.record, true)
		}
	}
}
