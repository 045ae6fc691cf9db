package membership

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

const (
	// probersPerCandidate is the number of VMs of the fleet that probe a
	// candidate in one CandidateInterval, on average.
	probersPerCandidate = 8
	// maxCandidateIntervalFactor bounds the factor by which a large fleet
	// extends CandidateInterval.
	maxCandidateIntervalFactor = 64
	// maxListAge is the age up to which a VM list is evidence that a VM that left
	// as planned still runs. Only relays read the list repeatedly; the other VMs
	// read it once, at start.
	maxListAge = 30 * time.Second
)

// updateCandidate adds r to the candidates or removes it. Candidates are VMs that
// are dead or only in the VM list, and are probed at a low rate. A VM that left as
// planned is one only while it is in a recent list.
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
		return v.inList(r)
	case message.MemberDead:
		return !r.leftPlanned || v.inList(r) && !v.listStale
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

// probeCandidate sends a heartbeat to a random candidate if one is due. An answer
// revives the candidate. The heartbeat carries its record as dead, so that it
// refutes it.
func (v *View) probeCandidate(now time.Duration) {
	v.spreadFirstProbe(now)
	if len(v.candidates) == 0 || now < v.nextCandidate {
		return
	}
	v.nextCandidate = now + v.candidateInterval(now)
	r := v.candidates[v.random()%uint64(len(v.candidates))]
	v.sendHeartbeat(r, true)
}

// spreadFirstProbe schedules the first probe at a random time. VMs learn of the
// same deaths at the same time; without the spread all would probe together and then
// pause together.
func (v *View) spreadFirstProbe(now time.Duration) {
	probing := len(v.candidates) > 0
	if probing && !v.probing && now >= v.fastProbingUntil {
		v.nextCandidate = now + time.Duration(v.random()%uint64(v.config.CandidateInterval))
	}
	v.probing = probing
}

// candidateInterval returns the time until the next probe of a candidate. The more
// VMs share the probing of few candidates, the longer it is.
func (v *View) candidateInterval(now time.Duration) time.Duration {
	if now < v.fastProbingUntil {
		return v.config.Interval
	}
	factor := (v.reachableCount + 1) / (probersPerCandidate * len(v.candidates))
	factor = min(max(factor, 1), maxCandidateIntervalFactor)
	jitter := time.Duration(v.random() % uint64(v.config.Interval))
	return time.Duration(factor)*v.config.CandidateInterval + jitter
}

// detectHeal starts fast probing when a VM that is recorded as dead answers,
// since a partition may have healed.
func (v *View) detectHeal(now time.Duration, m *message.Member) {
	r := v.records[m.ID]
	if r == nil || r.member.State != message.MemberDead || r.leftPlanned {
		return
	}
	v.startFastProbing(now)
}

// probeDisputed starts fast probing, and probes r at once, since another VM
// reports r as live that is dead in this view.
func (v *View) probeDisputed(now time.Duration, r *record) {
	if !v.isCandidate(r) || now < v.fastProbingUntil {
		return
	}
	v.startFastProbing(now)
	v.sendHeartbeat(r, true)
}

func (v *View) startFastProbing(now time.Duration) {
	if now >= v.fastProbingUntil {
		v.nextCandidate = now
	}
	v.fastProbingUntil = now + fastProbingTime
}

// pullMembers requests all members from another VM until one has answered, and
// once more after that.
func (v *View) pullMembers(now time.Duration) {
	if now < v.nextPull || v.joined && !v.secondPullDue {
		return
	}
	to, ok := v.pullSource()
	if !ok {
		return
	}
	v.nextPull = now + v.config.Interval
	v.secondPullDue = false
	v.sequence++
	v.send(to, &message.Heartbeat{
		Sequence:     v.sequence,
		Self:         v.self.member,
		TableVersion: v.tableVersion,
		TableHash:    v.tableHash,
	})
	v.send(to, &message.MembersPull{})
}

// pullSource returns a random neighbour or, if there is none, a random candidate
// or seed.
func (v *View) pullSource() (message.Address, bool) {
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

// inList reports whether r is in the last VM list.
func (v *View) inList(r *record) bool {
	return r.listGen != 0 && r.listGen == v.listGen
}

// expireList stops the probing of VMs that left as planned once the VM list is
// older than maxListAge.
func (v *View) expireList(now time.Duration) {
	if v.listGen != 0 && now-v.listAt >= maxListAge {
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

// receiveList handles the platform's VM list. It adds candidates and marks members
// as leaving. A VM that is missing from the list only stops being a candidate: the
// list lags, so it must not shorten the timeout of a VM that may just have been
// restarted. An empty list is ignored as a fault of the platform.
func (v *View) receiveList(now time.Duration, list *message.VMList) {
	if len(list.Members) == 0 {
		return
	}
	v.listGen++
	v.listAt = now
	for i := range list.Members {
		v.mergeListed(now, list.Members[i])
	}
	v.setListStale(false)
	for i := len(v.order) - 1; i >= 0; i-- {
		v.dropUnlisted(now, v.order[i])
	}
}

func (v *View) mergeListed(now time.Duration, m message.Member) {
	if m.ID == 0 {
		m.ID = message.VMIDOf(m.Name)
	}
	r := v.records[m.ID]
	if r == nil {
		m.Incarnation = 0
		r = v.addRecord(now, m)
	}
	first := r.listGen != v.listGen-1 || r.listGen == 0
	r.listGen = v.listGen
	began := m.State == message.MemberLeaving && !r.listLeaving && !first
	r.listLeaving = m.State == message.MemberLeaving
	if began {
		v.markLeaving(now, r)
	}
	if !isReachable(r.member.State) && r != v.self {
		v.updateAddresses(now, r, m)
	}
}

// markLeaving marks a member as leaving when the list starts to mark it so. A mark
// in the first list with the VM does not count: it may be of the VM's previous run.
func (v *View) markLeaving(now time.Duration, r *record) {
	if r == v.self {
		v.leaveRequest = v.self.member.State != message.MemberLeaving
		return
	}
	if !isLive(r.member.State) {
		return
	}
	m := r.member
	m.State = message.MemberLeaving
	v.updateRecord(now, r, m)
	v.gossip(now, r)
	v.requestEarlyRound(r)
}

// updateAddresses replaces the addresses of a VM that is not reachable by those of
// the list.
func (v *View) updateAddresses(now time.Duration, r *record, m message.Member) {
	m.Incarnation = r.member.Incarnation
	m.State = r.member.State
	v.updateRecord(now, r, m)
}

// dropUnlisted updates a VM that is missing from the last list, and removes its
// record if that has expired.
func (v *View) dropUnlisted(now time.Duration, r *record) {
	if v.inList(r) {
		return
	}
	r.listLeaving = false
	v.updateCandidate(r)
	if v.expired(now, r) {
		v.removeRecord(r)
	}
}
