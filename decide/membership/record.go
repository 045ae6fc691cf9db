package membership

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// record is what the view holds of one VM. State 0 means that the VM is only
// listed by the platform.
type record struct {
	member      message.Member
	since       time.Duration // start of the present state
	candidate   int32         // position in View.candidates, or -1
	listGen     uint32        // number of the last VM list with this VM, 0 if none
	rounds      uint8         // rounds of heartbeats that still carry the record
	listLeaving bool          // the last VM list marked it as leaving
	left        bool          // it was leaving before it died
	stale       bool          // addresses come from an older incarnation
	doomed      bool          // a verdict is pending
	claimed     bool          // gossip says that it is dead, this VM is not sure
	doubted     bool          // in View.doubts
	cut         bool          // dead only since its failure domain was cut off
}

// death remembers when a record became dead, for its removal.
type death struct {
	record *record
	at     time.Duration
}

func isLive(s message.MemberState) bool {
	return s == message.MemberAlive || s == message.MemberSuspect
}

func isReachable(s message.MemberState) bool {
	return isLive(s) || s == message.MemberLeaving
}

// isShort reports whether m carries only id, incarnation and state.
func isShort(m *message.Member) bool {
	return m.Name == ""
}

// short returns the form of a record that leaves out what does not change
// during an incarnation.
func short(m message.Member) message.Member {
	return message.Member{ID: m.ID, Incarnation: m.Incarnation, State: m.State}
}

func compareID(r *record, id message.VMID) int {
	switch {
	case r.member.ID < id:
		return -1
	case r.member.ID > id:
		return 1
	default:
		return 0
	}
}

// add creates the record of a VM without a state.
func (v *View) add(now time.Duration, m message.Member) *record {
	m.State = 0
	r := &record{member: m, since: now, candidate: -1}
	i, _ := slices.BinarySearchFunc(v.order, m.ID, compareID)
	v.order = slices.Insert(v.order, i, r)
	v.records[m.ID] = r
	v.others += v.countsAsOther(r)
	return r
}

// remove forgets a record that is not reachable.
func (v *View) remove(r *record) {
	i, found := slices.BinarySearchFunc(v.order, r.member.ID, compareID)
	if !found {
		return
	}
	v.others -= v.countsAsOther(r)
	v.setCut(r, false)
	v.settleDoubt(r)
	v.order = slices.Delete(v.order, i, i+1)
	delete(v.records, r.member.ID)
	v.dropCandidate(r)
}

// countsAsOther returns 1 if silence of r can mean that this VM is isolated.
func (v *View) countsAsOther(r *record) int {
	if v.self == nil || r == v.self {
		return 0
	}
	if r.member.State == message.MemberDead && r.left {
		return 0
	}
	return 1
}

// change gives a record its new content and keeps everything derived from it.
func (v *View) change(now time.Duration, r *record, m message.Member) {
	old := r.member
	v.others -= v.countsAsOther(r)
	r.left = m.State == message.MemberDead && (old.State == message.MemberLeaving || r.left)
	if old.State != m.State || old.Incarnation != m.Incarnation {
		r.since = now
		r.doomed = false
		r.claimed = false
		v.setCut(r, false)
	}
	r.member = m
	v.noteChange(r, old.State, m.State)
	v.others += v.countsAsOther(r)
	v.count(now, old, -1, r)
	v.count(now, m, 1, r)
	v.updateCandidate(r)
	v.updateCaches(old, m)
	if m.State == message.MemberDead && old.State != message.MemberDead {
		v.deaths = append(v.deaths, death{record: r, at: now})
		v.domain(m.Domain).noteDeath(now)
	}
}

func (v *View) count(now time.Duration, m message.Member, step int, r *record) {
	if isReachable(m.State) && r != v.self {
		v.reachable += step
	}
	if m.State == message.MemberLeaving {
		v.leaving += step
	}
	if !isLive(m.State) {
		return
	}
	d := v.domain(m.Domain)
	d.live += step
	if m.State == message.MemberSuspect {
		d.suspects += step
	}
	d.digest += uint64(step) * memberDigest(&m)
	if d.live == 0 {
		d.emptySince = now
	}
}

// updateCaches renews what depends on the set of members, or patches the cached
// record when the set stays the same.
func (v *View) updateCaches(old, m message.Member) {
	v.changes++
	moved := old.Domain != m.Domain || old.Data != m.Data || old.Control != m.Control
	if isReachable(old.State) != isReachable(m.State) || moved {
		v.reselectDue = true
	}
	if isLive(old.State) != isLive(m.State) || moved && isLive(m.State) {
		v.version++
		return
	}
	if isLive(m.State) {
		v.live.patch(v.version, m)
		v.domain(m.Domain).members.patch(v.version, m)
	}
}

// forget removes members that have been dead for the retention time. A VM that
// is isolated forgets nobody, since they are its way back.
func (v *View) forget(now time.Duration) {
	for len(v.deaths) > 0 && now-v.deaths[0].at > v.config.DeadRetention {
		if v.Isolated(now) {
			return
		}
		d := v.deaths[0]
		v.deaths = v.deaths[1:]
		if d.record.since == d.at && v.expired(now, d.record) {
			v.remove(d.record)
		}
	}
}

// expired reports whether nothing needs the record any more.
func (v *View) expired(now time.Duration, r *record) bool {
	if v.listed(r) {
		return false
	}
	if r.member.State == message.MemberDead {
		return now-r.since > v.config.DeadRetention
	}
	return r.member.State == 0
}
