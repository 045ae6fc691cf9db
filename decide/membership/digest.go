package membership

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

const (
	// membersPerBucket is the approximate number of members in one bucket of a
	// DomainPull.
	membersPerBucket = 8
	maxBuckets       = 256
	// maxAnswerMembers bounds the members in one answer to a DomainPull, to about 8 kB.
	maxAnswerMembers = 112
	// ignoredIncarnationBits is the number of low bits of incarnations that digests
	// leave out, since refutations raise the incarnation by one. Incarnations are
	// milliseconds at start, so the other bits distinguish a restarted VM from its
	// previous run if the starts are more than about a minute apart.
	ignoredIncarnationBits = 16
	// mismatchDelay is the time for which another VM's digest must differ, while this
	// VM's own stays the same, before the domain is pulled. Changes that are still
	// being gossiped arrive earlier.
	mismatchDelay = 4 * time.Second
	// minPullBackoff is the time until a domain that was declared dead as a whole is
	// pulled again. It doubles up to maxPullBackoff while some members do not return,
	// since they may really be dead.
	minPullBackoff = 2 * time.Second
	maxPullBackoff = 2 * time.Minute
	// maxVerifications bounds the members that are verified at a time.
	maxVerifications = 32
)

// bucketSalt makes the choice of buckets independent of other hashes of ids.
const bucketSalt = 0x6275636b6574

// digestComparison is the state of the comparison of one failure domain with the
// views of other VMs.
type digestComparison struct {
	digest        uint64        // sum over the live members
	mismatch      uint64        // own digest while another VM's differs, 0 if equal
	mismatchSince time.Duration // start of the mismatch
	pulledAt      time.Duration
	pullBackoff   time.Duration
}

// verification is the probe of a member that is live in this view, but not in that
// of another VM. The member is declared dead only if it does not answer this VM.
type verification struct {
	record   *record
	probedAt time.Duration // 0 before the probe
}

func memberDigest(m *message.Member) uint64 {
	return rendezvous.Mix(uint64(m.ID), m.Incarnation>>ignoredIncarnationBits)
}

func bucketOf(id message.VMID, buckets uint32) uint32 {
	return uint32(rendezvous.Mix(bucketSalt, uint64(id)) % uint64(buckets))
}

// addDigest adds the digest of one domain to a heartbeat. Each neighbour receives
// the domains in turn.
func (v *View) addDigest(h *message.Heartbeat) {
	turn := v.roundCount / len(v.neighbours) % len(v.domainOrder)
	h.DigestDomain = v.domainOrder[turn]
	h.Digest = v.domains[h.DigestDomain].digest
}

// compareDigest compares the digest in a heartbeat with this VM's own. It pulls the
// domain from the sender after a mismatch of mismatchDelay.
func (v *View) compareDigest(now time.Duration, sender *record, h *message.Heartbeat) {
	d := v.domains[h.DigestDomain]
	if d == nil || d.checkRunning || sender == nil {
		return
	}
	if d.diedWithDomain > 0 && sender.member.Domain != h.DigestDomain {
		return // only its own members restore a domain that was declared dead, see recordContact
	}
	if h.Digest == d.digest {
		d.mismatch = 0
		return
	}
	if d.mismatch != d.digest || d.mismatch == 0 {
		d.mismatch = d.digest
		d.mismatchSince = now
		return
	}
	if now-d.mismatchSince < mismatchDelay || !v.budgetAllows(0, false) {
		return
	}
	d.mismatch = 0
	v.sendDomainPull(now, sender, h.DigestDomain)
}

// pullDomain pulls the live members of a domain that was declared dead as a whole
// from one of its members.
func (v *View) pullDomain(now time.Duration, r *record) {
	d := v.domain(r.member.Domain)
	if d.pulledAt > 0 && now-d.pulledAt < max(d.pullBackoff, minPullBackoff) || !v.budgetAllows(0, false) {
		return
	}
	d.pullBackoff = min(max(2*d.pullBackoff, minPullBackoff), maxPullBackoff)
	v.sendDomainPull(now, r, r.member.Domain)
}

// sendDomainPull sends the digests of a domain by bucket to a VM, which answers with the
// members of the buckets that differ.
func (v *View) sendDomainPull(now time.Duration, to *record, id message.DomainID) {
	d := v.domain(id)
	d.pulledAt = now
	count := uint32(1)
	for int(count)*membersPerBucket < d.liveCount+d.diedWithDomain && count < maxBuckets {
		count *= 2
	}
	v.spend(int(4*count) + roundBytes)
	address := message.VMAddress(to.member.ID, to.member.Control)
	v.send(address, &message.DomainPull{Domain: id, Buckets: v.bucketDigests(id, count, true)})
}

// bucketDigests returns the digests of a domain's live members by bucket. With
// includeDiedWithDomain set it includes those that are dead only because the whole
// domain was declared dead.
func (v *View) bucketDigests(id message.DomainID, count uint32, includeDiedWithDomain bool) []uint32 {
	digests := make([]uint32, count)
	for _, r := range v.order {
		if r.member.Domain == id && (isLive(r.member.State) || includeDiedWithDomain && r.diedWithDomain) {
			digests[bucketOf(r.member.ID, count)] += uint32(memberDigest(&r.member))
		}
	}
	return digests
}

// answerDomainPull answers with the buckets that differ, and with the members of as
// many of them as fit into the answer and the gossip budget.
func (v *View) answerDomainPull(from message.Address, m *message.DomainPull) {
	count := uint32(len(m.Buckets))
	if count == 0 || count > maxBuckets || v.domains[m.Domain] == nil {
		return
	}
	answer := &message.DomainMembers{Domain: m.Domain, Buckets: count}
	for i, digest := range v.bucketDigests(m.Domain, count, false) {
		if digest != m.Buckets[i] {
			answer.Differing = append(answer.Differing, uint32(i))
		}
	}
	v.listMembers(answer)
	v.spend(roundBytes + 2*len(answer.Differing) + fullBytes*len(answer.Members))
	v.send(v.replyTo(from), answer)
}

// listMembers adds the live members of the differing buckets to an answer, bucket
// by bucket, up to maxAnswerMembers and the gossip budget.
func (v *View) listMembers(answer *message.DomainMembers) {
	byBucket := make(map[uint32][]message.Member)
	for _, r := range v.order {
		if r.member.Domain == answer.Domain && isLive(r.member.State) {
			i := bucketOf(r.member.ID, answer.Buckets)
			byBucket[i] = append(byBucket[i], r.member)
		}
	}
	for _, i := range answer.Differing {
		if len(answer.Members)+len(byBucket[i]) > maxAnswerMembers {
			return
		}
		if !v.budgetAllows(fullBytes*(len(answer.Members)+len(byBucket[i])), false) {
			return
		}
		answer.Members = append(answer.Members, byBucket[i]...)
		answer.Listed++
	}
}

// receiveDomainMembers handles the answer to a DomainPull: it restores members of a
// domain that was declared dead as a whole, adds new members, and verifies those
// that are not live at the sender.
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
	v.endDomainDeath(m)
}

// endDomainDeath ends the special treatment of a domain that was declared dead as a
// whole and is back: members that a complete answer did not restore are then dead
// like any other. An answer that restored less than half of the domain is not
// trusted, since its sender may be starting. After an incomplete answer the rest
// is pulled soon.
func (v *View) endDomainDeath(m *message.DomainMembers) {
	d := v.domains[m.Domain]
	if int(m.Listed) < len(m.Differing) {
		d.pullBackoff = 0
		return
	}
	if d.diedWithDomain == 0 || d.liveCount < d.diedWithDomain {
		return
	}
	for _, r := range v.order {
		if r.member.Domain == m.Domain {
			v.setDiedWithDomain(r, false)
		}
	}
}

// compareMember compares one record with an answer. listed is the member in the
// answer, or nil if it is not there. A member whose bucket does not differ is live
// at the sender. A member that died with its domain is restored if the sender has it
// live in the same incarnation. A live one that is missing from a bucket that the answer
// lists is verified.
func (v *View) compareMember(now time.Duration, r *record, m *message.DomainMembers, listed *message.Member) {
	at := slices.Index(m.Differing, bucketOf(r.member.ID, m.Buckets))
	switch {
	case at < 0 || listed != nil && listed.Incarnation == r.member.Incarnation:
		if r.diedWithDomain {
			v.restore(now, r, message.MemberAlive)
		}
	case at < int(m.Listed) && listed == nil && isLive(r.member.State):
		v.domain(r.member.Domain).countDeath(now)
		v.verifyMember(r)
	}
}

// verifyMember queues the verification of a live member.
func (v *View) verifyMember(r *record) {
	if r.verifying {
		return
	}
	r.verifying = true
	v.verifications = append(v.verifications, verification{record: r})
}

// endVerification drops the verification of a member if there is one.
func (v *View) endVerification(r *record) {
	if r.verifying {
		r.verifying = false
		v.verifications = slices.DeleteFunc(v.verifications, func(d verification) bool { return d.record == r })
	}
}

// runVerifications probes the members to verify, maxVerifications at a time, and
// declares dead those that do not answer within RefutationGrace.
func (v *View) runVerifications(now time.Duration) {
	for len(v.verifications) > 0 {
		d := v.verifications[0]
		r := d.record
		obsolete := !isLive(r.member.State) || v.domain(r.member.Domain).checkRunning
		if !obsolete && (d.probedAt == 0 || now-d.probedAt < v.config.RefutationGrace) {
			break
		}
		v.endVerification(r)
		if !obsolete && !v.answeredRecently(now, r) {
			v.stats.Deaths++
			v.markDead(now, r)
		}
	}
	for i := range v.verifications[:min(len(v.verifications), maxVerifications)] {
		if d := &v.verifications[i]; d.probedAt == 0 {
			d.probedAt = now
			v.sendHeartbeat(d.record, true)
		}
	}
}
