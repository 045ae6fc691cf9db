package membership

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// pendingDeath is a gossiped death of a live member that can be refuted until due.
type pendingDeath struct {
	record      *record
	incarnation uint64
	due         time.Duration
}

// merge replaces the record of a VM by m, received from another VM, if m is newer: a
// higher incarnation, or a higher state in the same one. With forward set the change
// is gossiped further.
func (v *View) merge(now time.Duration, m *message.Member, forward bool) {
	if m.ID == 0 || m.State < message.MemberAlive || m.State > message.MemberDead {
		return
	}
	if m.ID == v.self.member.ID {
		v.mergeSelf(now, m)
		return
	}
	r := v.records[m.ID]
	if r == nil {
		r = v.learn(now, m)
	}
	if r == nil || m.Incarnation == 0 || m.Incarnation < r.member.Incarnation {
		return
	}
	if m.Incarnation == r.member.Incarnation && m.State <= r.member.State {
		v.mergeNotNewer(now, r, m)
		return
	}
	if m.State == message.MemberDead && isLive(r.member.State) {
		v.mergeDeath(now, r, m.Incarnation)
		return
	}
	v.replaceRecord(now, r, m, forward)
}

// learn adds the record of an unknown VM. It returns nil for a short record and for a
// dead VM: since VMs drop dead members at different times, they would reintroduce
// them to each other forever.
func (v *View) learn(now time.Duration, m *message.Member) *record {
	if isShort(m) || m.State == message.MemberDead {
		return nil
	}
	return v.addRecord(now, *m)
}

// replaceRecord replaces a record by the newer m.
func (v *View) replaceRecord(now time.Duration, r *record, m *message.Member, forward bool) {
	old := r.member
	next := *m
	if isShort(m) {
		next = old
		next.Incarnation = m.Incarnation
		next.State = m.State
	}
	r.staleAddresses = isShort(m) && (r.staleAddresses || m.Incarnation > old.Incarnation)
	refuted := m.Incarnation > old.Incarnation && isReachable(next.State)
	if n := v.neighbour(m.ID); n != nil && refuted {
		n.lastAnswer = now // another VM has received a message from it
		n.refutations = min(n.refutations+1, maxTimeoutDoublings)
	}
	if refuted {
		v.domain(next.Domain).lastHeard = now
	}
	v.updateRecord(now, r, next)
	if !forward {
		return
	}
	v.gossip(now, r)
	if next.State != message.MemberAlive || isReachable(old.State) {
		v.requestEarlyRound(r)
	}
}

// mergeNotNewer handles a record that is not newer than the known one. It can supply
// missing addresses, or show that a dead member is live in another VM's view.
func (v *View) mergeNotNewer(now time.Duration, r *record, m *message.Member) {
	if m.Incarnation != r.member.Incarnation {
		return
	}
	if r.staleAddresses && !isShort(m) {
		next := *m
		next.State = r.member.State
		r.staleAddresses = false
		v.updateRecord(now, r, next)
	}
	if r.member.State == message.MemberDead && isLive(m.State) {
		v.probeDisputed(now, r)
	}
}

// mergeDeath handles gossip that a live member is dead. In an unstable domain, where
// refutations may come late, the member is verified while the claim is gossiped on.
// Any other member is suspect for RefutationGrace first, so that it can refute:
// without that, each side of a healed partition would adopt the deaths declared by
// the other side at once. A member that answers this VM stays suspect until it refutes.
func (v *View) mergeDeath(now time.Duration, r *record, incarnation uint64) {
	if r.member.State != message.MemberSuspect || incarnation > r.member.Incarnation {
		r.staleAddresses = r.staleAddresses || incarnation > r.member.Incarnation
		v.markSuspect(now, r, incarnation)
	}
	if v.isUnstable(now, r) {
		v.verifyMember(r)
		r.deathClaimed = true
		v.gossip(now, r)
		return
	}
	suspectedFor := now - r.since
	if r.deathPending || v.answeredRecently(now, r) {
		return
	}
	if suspectedFor >= v.config.RefutationGrace {
		v.markDead(now, r)
		return
	}
	r.deathPending = true
	due := now + max(v.config.RefutationGrace-suspectedFor, 0)
	v.pendingDeaths = append(v.pendingDeaths, pendingDeath{record: r, incarnation: incarnation, due: due})
}

// decidePendingDeaths declares members dead whose gossiped death was not refuted in
// time.
func (v *View) decidePendingDeaths(now time.Duration) {
	for len(v.pendingDeaths) > 0 && v.pendingDeaths[0].due <= now {
		d := v.pendingDeaths[0]
		v.pendingDeaths = v.pendingDeaths[1:]
		r := d.record
		if r.deathPending && v.isUnstable(now, r) {
			d.due = now + v.config.RefutationGrace
			v.pendingDeaths = append(v.pendingDeaths, d)
			continue
		}
		if !r.deathPending || r.member.Incarnation != d.incarnation {
			continue
		}
		r.deathPending = false
		if r.member.State == message.MemberSuspect && !v.answeredRecently(now, r) {
			v.markDead(now, r)
		}
	}
}

// mergeSelf refutes records of this VM with a higher state than its own, and those
// with a higher incarnation, which are of a previous run.
func (v *View) mergeSelf(now time.Duration, m *message.Member) {
	own := v.self.member
	if m.Incarnation < own.Incarnation {
		return
	}
	if m.Incarnation == own.Incarnation && m.State <= own.State {
		return
	}
	own.Incarnation = m.Incarnation + 1
	v.stats.Refutations++
	v.updateRecord(now, v.self, own)
	v.requestEarlyRound(v.self)
	if m.State == message.MemberDead {
		v.startFastProbing(now)
	}
}
