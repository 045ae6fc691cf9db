package membership

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

const (
	// probersPerCandidate is the number of VMs of the fleet that probe a
	// candidate in one CandidateInterval, on average.
	probersPerCandidate = 8
	// maxCandidateFactor bounds how much longer than CandidateInterval a large
	// fleet waits between probes.
	maxCandidateFactor = 64
	// listFresh is the age up to which a VM list says that a VM that left as
	// planned still runs. Only relays read the list again and again; the other
	// VMs read it once, when they start.
	listFresh = 30 * time.Second
)

// updateCandidate puts r into the list of VMs that are probed at a slow rate, or
// takes it out. A VM that left as planned is probed only while it is listed.
func (v *View) updateCandidate(r *record) {
	if !v.isCandidate(r) {
		v.dropCandidate(r)
		return
	}
	if r.candidate >= 0 {
		return
	}
	r.candidate = int32(len(v.candidates))
	v.candidates = append(v.candidates, r)
}

func (v *View) isCandidate(r *record) bool {
	if r == v.self || !r.member.Control.IsValid() {
		return false
	}
	switch r.member.State {
	case 0:
		return v.listed(r)
	case message.MemberDead:
		return !r.left || v.listed(r) && !v.listStale
	default:
		return false
	}
}

func (v *View) dropCandidate(r *record) {
	if r.candidate < 0 {
		return
	}
	last := v.candidates[len(v.candidates)-1]
	v.candidates[r.candidate] = last
	last.candidate = r.candidate
	r.candidate = -1
	v.candidates = v.candidates[:len(v.candidates)-1]
}

// probeCandidate sends a heartbeat to a random candidate when it is time to. The
// answer revives it; the heartbeat tells it that it is held dead, so that it
// refutes.
func (v *View) probeCandidate(now time.Duration) {
	v.startProbing(now)
	if len(v.candidates) == 0 || now < v.nextCandidate {
		return
	}
	v.nextCandidate = now + v.candidateInterval(now)
	r := v.candidates[v.random()%uint64(len(v.candidates))]
	v.sendHeartbeat(r, true)
}

// startProbing puts the first probe at a random time. VMs learn of the same
// deaths at the same time; without the spread all would probe together and then
// pause together.
func (v *View) startProbing(now time.Duration) {
	probing := len(v.candidates) > 0
	if probing && !v.probing && now >= v.hotUntil {
		v.nextCandidate = now + time.Duration(v.random()%uint64(v.config.CandidateInterval))
	}
	v.probing = probing
}

func (v *View) candidateInterval(now time.Duration) time.Duration {
	if now < v.hotUntil {
		return v.config.Interval
	}
	factor := (v.reachable + 1) / (probersPerCandidate * len(v.candidates))
	factor = min(max(factor, 1), maxCandidateFactor)
	jitter := time.Duration(v.random() % uint64(v.config.Interval))
	return time.Duration(factor)*v.config.CandidateInterval + jitter
}

// noteAnswer starts fast probing when a VM answers that was held dead in the
// same incarnation: a partition has healed.
func (v *View) noteAnswer(now time.Duration, m *message.Member) {
	r := v.records[m.ID]
	if r == nil || r.member.State != message.MemberDead || r.left {
		return
	}
	v.probeFast(now)
}

// contactSoon starts fast probing since another VM holds a member alive that
// this one holds dead, and probes that member at once.
func (v *View) contactSoon(now time.Duration, r *record) {
	if !v.isCandidate(r) || now < v.hotUntil {
		return
	}
	v.probeFast(now)
	v.sendHeartbeat(r, true)
}

func (v *View) probeFast(now time.Duration) {
	if now >= v.hotUntil {
		v.nextCandidate = now
	}
	v.hotUntil = now + hotTime
}

// pull asks another VM for all members: until one has answered, and once more
// after that.
func (v *View) pull(now time.Duration) {
	if now < v.nextPull || v.joined && !v.repull {
		return
	}
	to, ok := v.pullFrom()
	if !ok {
		return
	}
	v.nextPull = now + v.config.Interval
	v.repull = false
	v.sequence++
	v.send(to, &message.Heartbeat{
		Sequence:     v.sequence,
		Self:         v.self.member,
		TableVersion: v.tableVersion,
		TableHash:    v.tableHash,
	})
	v.send(to, &message.MembersPull{})
}

func (v *View) pullFrom() (message.Address, bool) {
	draw := v.random()
	if n := uint64(len(v.neighbours)); n > 0 {
		r := v.neighbours[draw%n].record
		return message.VMAddress(r.member.ID, r.member.Control), true
	}
	if n := uint64(len(v.candidates)); n > 0 {
		r := v.candidates[draw%n]
		return message.VMAddress(r.member.ID, r.member.Control), true
	}
	if n := uint64(len(v.config.Seeds)); n > 0 {
		seed := v.config.Seeds[draw%n]
		return message.VMAddress(0, seed), seed != v.self.member.Control
	}
	return message.Address{}, false
}

// listed reports whether the last VM list has r.
func (v *View) listed(r *record) bool {
	return r.listGen != 0 && r.listGen == v.listGen
}

// ageList stops probing VMs that left as planned when the list is old.
func (v *View) ageList(now time.Duration) {
	if v.listGen != 0 && now-v.listAt >= listFresh {
		v.setListStale(true)
	}
}

func (v *View) setListStale(stale bool) {
	if v.listStale == stale {
		return
	}
	v.listStale = stale
	for _, r := range v.order {
		v.updateCandidate(r)
	}
}

// receiveList takes over the platform's VM list. It adds candidates and marks
// members as leaving. A VM that is missing in it only stops being a candidate:
// the list lags, so it must not shorten the time-out of a VM that may have just
// been restarted. An empty list is ignored as a fault of the platform.
func (v *View) receiveList(now time.Duration, list *message.VMList) {
	if len(list.Members) == 0 {
		return
	}
	v.listGen++
	v.listAt = now
	for i := range list.Members {
		v.receiveListed(now, list.Members[i])
	}
	v.setListStale(false)
	for i := len(v.order) - 1; i >= 0; i-- {
		v.dropUnlisted(now, v.order[i])
	}
}

func (v *View) receiveListed(now time.Duration, m message.Member) {
	if m.ID == 0 {
		m.ID = message.VMIDOf(m.Name)
	}
	r := v.records[m.ID]
	if r == nil {
		m.Incarnation = 0
		r = v.add(now, m)
	}
	first := r.listGen != v.listGen-1 || r.listGen == 0
	r.listGen = v.listGen
	began := m.State == message.MemberLeaving && !r.listLeaving && !first
	r.listLeaving = m.State == message.MemberLeaving
	if began {
		v.listLeaving(now, r)
	}
	if !isReachable(r.member.State) && r != v.self {
		v.readdress(now, r, m)
	}
}

// listLeaving marks a member as leaving when the list begins to say so. A first
// sight of the mark does not count: it may stem from the VM's previous life.
func (v *View) listLeaving(now time.Duration, r *record) {
	if r == v.self {
		v.leaveRequest = v.self.member.State != message.MemberLeaving
		return
	}
	if !isLive(r.member.State) {
		return
	}
	m := r.member
	m.State = message.MemberLeaving
	v.change(now, r, m)
	v.gossip(now, r)
	v.hurry(r)
}

// readdress gives a VM that is not reachable the addresses of the list.
func (v *View) readdress(now time.Duration, r *record, m message.Member) {
	m.Incarnation = r.member.Incarnation
	m.State = r.member.State
	v.change(now, r, m)
}

func (v *View) dropUnlisted(now time.Duration, r *record) {
	if v.listed(r) {
		return
	}
	r.listLeaving = false
	v.updateCandidate(r)
	if v.expired(now, r) {
		v.remove(r)
	}
}
