package membership

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// record is the view's state of one VM. member.State is 0 for a VM that is only in
// the platform's VM list.
type record struct {
	member         message.Member
	since          time.Duration // last change of state or incarnation
	candidate      int32         // index in View.candidates, or -1
	listGen        uint32        // View.listGen of the last VM list with this VM, 0 if none
	roundsLeft     uint8         // rounds of heartbeats that still carry the record
	listLeaving    bool          // the last VM list marked it as leaving
	leftPlanned    bool          // it was leaving before it died
	staleAddresses bool          // addresses are of an older incarnation
	deathPending   bool          // in View.pendingDeaths
	deathClaimed   bool          // gossiped as dead by others, but not yet verified
	verifying      bool          // in View.verifications
	diedWithDomain bool          // dead only because its whole domain was declared dead
}

// deadRecord is a record that became dead at diedAt, queued for removal.
type deadRecord struct {
	record *record
	diedAt time.Duration
}

func isLive(s message.MemberState) bool {
	return s == message.MemberAlive || s == message.MemberSuspect
}

func isReachable(s message.MemberState) bool {
	return isLive(s) || s == message.MemberLeaving
}

// isShort reports whether m has only id, incarnation and state.
func isShort(m *message.Member) bool {
	return m.Name == ""
}

// short returns m without the fields that do not change during an incarnation.
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

// addRecord creates the record of a VM, with state 0.
func (v *View) addRecord(now time.Duration, m message.Member) *record {
	m.State = 0
	r := &record{member: m, since: now, candidate: -1}
	i, _ := slices.BinarySearchFunc(v.order, m.ID, compareID)
	v.order = slices.Insert(v.order, i, r)
	v.records[m.ID] = r
	v.otherCount += v.countsAsOther(r)
	return r
}

// removeRecord removes the record of a VM that is not reachable.
func (v *View) removeRecord(r *record) {
	i, found := slices.BinarySearchFunc(v.order, r.member.ID, compareID)
	if !found {
		return
	}
	v.otherCount -= v.countsAsOther(r)
	v.setDiedWithDomain(r, false)
	v.endVerification(r)
	v.order = slices.Delete(v.order, i, i+1)
	delete(v.records, r.member.ID)
	v.dropCandidate(r)
}

// countsAsOther returns 1 if a missing answer of r can mean that this VM is
// isolated, else 0.
func (v *View) countsAsOther(r *record) int {
	if v.self == nil || r == v.self {
		return 0
	}
	if r.member.State == message.MemberDead && r.leftPlanned {
		return 0
	}
	return 1
}

// updateRecord sets the member of a record and updates all state derived from it.
func (v *View) updateRecord(now time.Duration, r *record, m message.Member) {
	old := r.member
	v.otherCount -= v.countsAsOther(r)
	r.leftPlanned = m.State == message.MemberDead && (old.State == message.MemberLeaving || r.leftPlanned)
	if old.State != m.State || old.Incarnation != m.Incarnation {
		r.since = now
		r.deathPending = false
		r.deathClaimed = false
		v.setDiedWithDomain(r, false)
	}
	r.member = m
	v.recordChange(r, old.State, m.State)
	v.otherCount += v.countsAsOther(r)
	v.adjustCounts(now, old, -1, r)
	v.adjustCounts(now, m, 1, r)
	v.updateCandidate(r)
	v.updateCaches(old, m)
	if m.State == message.MemberDead && old.State != message.MemberDead {
		v.deadRecords = append(v.deadRecords, deadRecord{record: r, diedAt: now})
		v.domain(m.Domain).countDeath(now)
	}
}

// adjustCounts adds step, 1 or -1, to all counts to which a member with the state and
// domain of m contributes.
func (v *View) adjustCounts(now time.Duration, m message.Member, step int, r *record) {
	if isReachable(m.State) && r != v.self {
		v.reachableCount += step
	}
	if m.State == message.MemberLeaving {
		v.leavingCount += step
	}
	if !isLive(m.State) {
		return
	}
	d := v.domain(m.Domain)
	d.liveCount += step
	if m.State == message.MemberSuspect {
		d.suspects += step
	}
	d.digest += uint64(step) * memberDigest(&m)
	if d.liveCount == 0 {
		d.emptySince = now
	}
}

// updateCaches invalidates the cached lists if the set of members has changed, and
// otherwise patches the member in them.
func (v *View) updateCaches(old, m message.Member) {
	v.recordsVersion++
	moved := old.Domain != m.Domain || old.Data != m.Data || old.Control != m.Control
	if isReachable(old.State) != isReachable(m.State) || moved {
		v.reselectDue = true
	}
	if isLive(old.State) != isLive(m.State) || moved && isLive(m.State) {
		v.version++
		return
	}
	if isLive(m.State) {
		v.liveCache.patch(v.version, m)
		v.domain(m.Domain).members.patch(v.version, m)
	}
}

// removeExpired removes members that have been dead for DeadRetention. An isolated
// VM removes none, since it can rejoin only through them.
func (v *View) removeExpired(now time.Duration) {
	for len(v.deadRecords) > 0 && now-v.deadRecords[0].diedAt > v.config.DeadRetention {
		if v.Isolated(now) {
			return
		}
		d := v.deadRecords[0]
		v.deadRecords = v.deadRecords[1:]
		if d.record.since == d.diedAt && v.expired(now, d.record) {
			v.removeRecord(d.record)
		}
	}
}

// expired reports whether a record is not needed any more: it is not in the last VM
// list, and its VM has been dead for DeadRetention or never had a state.
func (v *View) expired(now time.Duration, r *record) bool {
	if v.inList(r) {
		return false
	}
	if r.member.State == message.MemberDead {
		return now-r.since > v.config.DeadRetention
	}
	return r.member.State == 0
}
