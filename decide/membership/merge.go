package membership

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// verdict is gossip of a death that waits for a refutation.
type verdict struct {
	record      *record
	incarnation uint64
	due         time.Duration
}

// merge takes over a record from another VM if it is newer: a higher
// incarnation, or a higher state in the same one. With spread set the change is
// gossiped further.
func (v *View) merge(now time.Duration, m *message.Member, spread bool) {
	if m.ID == 0 || m.State < message.MemberAlive || m.State > message.MemberDead {
		return
	}
	if m.ID == v.self.member.ID {
		v.hearSelf(now, m)
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
		v.hearAgain(now, r, m)
		return
	}
	if m.State == message.MemberDead && isLive(r.member.State) {
		v.hearDead(now, r, m.Incarnation)
		return
	}
	v.takeOver(now, r, m, spread)
}

// learn creates the record of a VM that was unknown. Unknown dead VMs are not
// learned: VMs that forget them at different times would bring them back to each
// other without end.
func (v *View) learn(now time.Duration, m *message.Member) *record {
	if isShort(m) || m.State == message.MemberDead {
		return nil
	}
	return v.add(now, *m)
}

// takeOver replaces the record by the newer m.
func (v *View) takeOver(now time.Duration, r *record, m *message.Member, spread bool) {
	old := r.member
	next := *m
	if isShort(m) {
		next = old
		next.Incarnation = m.Incarnation
		next.State = m.State
	}
	r.stale = isShort(m) && (r.stale || m.Incarnation > old.Incarnation)
	refuted := m.Incarnation > old.Incarnation && isReachable(next.State)
	if n := v.neighbour(m.ID); n != nil && refuted {
		n.lastAnswer = now // somebody heard from it
		n.vouched = min(n.vouched+1, maxVouched)
	}
	if refuted {
		v.domain(next.Domain).heard = now
	}
	v.change(now, r, next)
	if !spread {
		return
	}
	v.gossip(now, r)
	if next.State != message.MemberAlive || isReachable(old.State) {
		v.hurry(r)
	}
}

// hearAgain handles a record that is not newer than the known one.
func (v *View) hearAgain(now time.Duration, r *record, m *message.Member) {
	if m.Incarnation != r.member.Incarnation {
		return
	}
	if r.stale && !isShort(m) {
		next := *m
		next.State = r.member.State
		r.stale = false
		v.change(now, r, next)
	}
	if r.member.State == message.MemberDead && isLive(m.State) {
		v.contactSoon(now, r)
	}
}

// hearDead handles gossip that a live member is dead. A member of another failure
// domain with many suspects, whose refutation may be late, is probed while the
// claim goes on. Any other is held
// suspect for RefutationGrace first, so that it can refute; without that, each side of a
// healed partition would take over the other side's deaths at once.
func (v *View) hearDead(now time.Duration, r *record, incarnation uint64) {
	if r.member.State != message.MemberSuspect || incarnation > r.member.Incarnation {
		r.stale = r.stale || incarnation > r.member.Incarnation
		v.suspect(now, r, incarnation)
	}
	if v.troubled(now, r) {
		v.doubtMember(r)
		r.claimed = true
		v.gossip(now, r)
		return
	}
	held := now - r.since
	if r.doomed || v.answers(now, r) {
		return
	}
	if held >= v.config.RefutationGrace {
		v.die(now, r)
		return
	}
	r.doomed = true
	due := now + max(v.config.RefutationGrace-held, 0)
	v.verdicts = append(v.verdicts, verdict{record: r, incarnation: incarnation, due: due})
}

// decideVerdicts declares members dead whose death was gossiped and not refuted.
func (v *View) decideVerdicts(now time.Duration) {
	for len(v.verdicts) > 0 && v.verdicts[0].due <= now {
		d := v.verdicts[0]
		v.verdicts = v.verdicts[1:]
		r := d.record
		if r.doomed && v.troubled(now, r) {
			d.due = now + v.config.RefutationGrace
			v.verdicts = append(v.verdicts, d)
			continue
		}
		if !r.doomed || r.member.Incarnation != d.incarnation {
			continue
		}
		r.doomed = false
		if r.member.State == message.MemberSuspect && !v.answers(now, r) {
			v.die(now, r)
		}
	}
}

// hearSelf refutes records that call this VM worse than it is, and those with a
// higher incarnation than its own, which a previous life left behind.
func (v *View) hearSelf(now time.Duration, m *message.Member) {
	own := v.self.member
	if m.Incarnation < own.Incarnation {
		return
	}
	if m.Incarnation == own.Incarnation && m.State <= own.State {
		return
	}
	own.Incarnation = m.Incarnation + 1
	v.stats.Refutations++
	v.change(now, v.self, own)
	v.hurry(v.self)
	if m.State == message.MemberDead {
		v.probeFast(now)
	}
}
