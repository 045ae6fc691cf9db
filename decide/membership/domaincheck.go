package membership

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// The loss or partition of a failure domain would be gossiped as thousands of
// deaths. Instead each VM that learns of several suspects in another domain probes
// that domain itself. If no member answers, it declares the whole domain dead
// without gossip of each member. It keeps the members' incarnations, so that the
// first answer after a heal restores the domain the same way.
const (
	// checkThreshold is the number of suspects and recent deaths in another failure
	// domain from which the domain is checked as a whole.
	checkThreshold = 8
	// maxGossipedFailures is the number of suspects and recent deaths in a domain
	// above which further ones are not gossiped while the domain is checked.
	maxGossipedFailures = 2 * checkThreshold
	// probesPerRound is the number of members that are probed in each Interval. Over
	// the DeadAfter of a check that makes 18 probes: for a domain of which half the
	// members are dead, all of them fail by chance once in 250,000 checks.
	probesPerRound = 3
	// recheckDelay is the time between two checks of a domain that answered.
	recheckDelay = 5 * time.Second
	// deathWindow is the time for which deaths count towards checkThreshold. A member
	// that died within this time before its domain was declared dead is treated as
	// having died with it.
	deathWindow = 15 * time.Second
)

// domainCheck is the state of the check of one failure domain by this VM's own
// probes.
type domainCheck struct {
	suspects       int           // members in state suspect
	deaths         int           // deaths since deathsSince
	deathsSince    time.Duration // start of the count
	lastHeard      time.Duration // time of the last message from a member
	checkStarted   time.Duration // start of the running check
	checkRunning   bool
	nextProbe      time.Duration
	nextCheck      time.Duration
	unstableUntil  time.Duration // see isUnstable
	diedWithDomain int           // members with record.diedWithDomain set
}

// countDeath counts the death of a member in the current window.
func (s *domainCheck) countDeath(now time.Duration) {
	if now-s.deathsSince > deathWindow {
		s.deaths = 0
		s.deathsSince = now
	}
	s.deaths++
}

// recentFailures returns the number of members that are suspect or died recently.
func (s *domainCheck) recentFailures() int {
	return s.suspects + s.deaths
}

// checkDomains starts, continues and ends the checks of other failure domains.
func (v *View) checkDomains(now time.Duration) {
	for _, id := range v.domainOrder {
		d := v.domains[id]
		if now-d.deathsSince > deathWindow {
			d.deaths = 0
		}
		if id == v.self.member.Domain || d.liveCount == 0 || !v.isLargeDomain(d) {
			d.checkRunning = false
			continue
		}
		if d.recentFailures() >= checkThreshold {
			d.unstableUntil = now + deathWindow
		}
		if !d.checkRunning && d.recentFailures() >= checkThreshold && now >= d.nextCheck && now-d.lastHeard >= v.config.SuspectAfter {
			d.checkRunning = true
			d.checkStarted = now
			d.nextProbe = now
		}
		if d.checkRunning {
			v.continueDomainCheck(now, id, d)
		}
	}
}

// continueDomainCheck sends the next probes of a running check. The check ends when a
// member has answered or DeadAfter has passed.
func (v *View) continueDomainCheck(now time.Duration, id message.DomainID, d *domain) {
	if d.lastHeard >= d.checkStarted {
		d.checkRunning = false
		d.nextCheck = now + recheckDelay
		return
	}
	if now-d.checkStarted >= v.config.DeadAfter {
		d.checkRunning = false
		v.declareDomainDead(now, id, d)
		return
	}
	if now < d.nextProbe {
		return
	}
	d.nextProbe = now + v.config.Interval
	members := v.InDomain(id)
	for range probesPerRound {
		m := members[v.random()%uint64(len(members))]
		v.sendHeartbeat(v.records[m.ID], true)
	}
}

// isUnstable reports whether r is in another large failure domain that had at least
// checkThreshold recent failures within the last deathWindow.
func (v *View) isUnstable(now time.Duration, r *record) bool {
	return now < v.domain(r.member.Domain).unstableUntil && v.inLargeRemoteDomain(r)
}

// declareDomainDead declares all members of a failure domain dead, without gossip,
// after none of this VM's probes was answered.
func (v *View) declareDomainDead(now time.Duration, id message.DomainID, d *domain) {
	v.stats.DomainDeaths++
	for _, r := range v.order {
		if r.member.Domain != id {
			continue
		}
		m := r.member
		m.State = message.MemberDead
		if isLive(r.member.State) {
			v.updateRecord(now, r, m)
			v.setDiedWithDomain(r, true)
		} else if r.member.State == message.MemberDead && !r.leftPlanned && now-r.since <= deathWindow {
			v.setDiedWithDomain(r, true)
		}
		if r.diedWithDomain {
			r.roundsLeft = 0
		}
	}
	d.deaths = 0
	d.pullBackoff = 0
}

// setDiedWithDomain sets the flag of a record and updates the count of its domain.
func (v *View) setDiedWithDomain(r *record, diedWithDomain bool) {
	if r.diedWithDomain == diedWithDomain {
		return
	}
	r.diedWithDomain = diedWithDomain
	if diedWithDomain {
		v.domain(r.member.Domain).diedWithDomain++
	} else {
		v.domain(r.member.Domain).diedWithDomain--
	}
}

// restore revives, in the same incarnation, a member that was dead only because its
// whole domain was declared dead.
func (v *View) restore(now time.Duration, r *record, state message.MemberState) {
	m := r.member
	m.State = state
	v.updateRecord(now, r, m)
}

// recordContact records a message sent by a VM itself. If the VM's failure domain
// was declared dead as a whole, it pulls the domain's live members from the VM.
func (v *View) recordContact(now time.Duration, self *message.Member) {
	r := v.records[self.ID]
	if r == nil {
		return
	}
	d := v.domain(r.member.Domain)
	d.lastHeard = now
	v.endVerification(r)
	if r.diedWithDomain {
		v.startFastProbing(now)
	}
	if r.diedWithDomain && self.Incarnation == r.member.Incarnation {
		v.restore(now, r, self.State)
	}
	if d.diedWithDomain > 0 {
		v.pullDomain(now, r)
	}
}
