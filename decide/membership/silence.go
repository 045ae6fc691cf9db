package membership

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// A failure domain that is lost or cut off would be gossiped as thousands of
// deaths. Instead each VM that hears of several suspects in another domain probes
// that domain itself. If nobody there answers, it holds the whole domain dead
// without a record for each member, and keeps the members' incarnations, so that
// the first answer after a heal brings them back the same way.
const (
	// silentMembers is the number of suspects and recent deaths in another
	// failure domain from which it is probed as a whole.
	silentMembers = 8
	// enoughNews is the number from which no more of them are gossiped.
	enoughNews = 2 * silentMembers
	// silentProbes is the number of members that are probed in each Interval. Over
	// the DeadAfter of a check that makes 18: a domain of which half the members
	// are dead stays silent by chance once in 250,000 checks.
	silentProbes = 3
	// checkPause is the time between two checks of a domain that answered.
	checkPause = 5 * time.Second
	// recentDeaths is the time for which deaths count towards silentMembers, and
	// before a cut in which a death counts as part of it.
	recentDeaths = 15 * time.Second
)

// silence is the check of one failure domain by this VM's own probes.
type silence struct {
	suspects      int           // members in state suspect
	deaths        int           // deaths since deathsAt
	deathsAt      time.Duration // start of the count
	heard         time.Duration // last message from a member
	started       time.Duration // start of the running check
	running       bool
	nextProbe     time.Duration
	nextCheck     time.Duration
	troubledUntil time.Duration
	cut           int // members held dead by this check
}

func (s *silence) noteDeath(now time.Duration) {
	if now-s.deathsAt > recentDeaths {
		s.deaths = 0
		s.deathsAt = now
	}
	s.deaths++
}

// trouble returns the number of members that are suspect or died recently.
func (s *silence) trouble() int {
	return s.suspects + s.deaths
}

// checkSilence starts, continues and ends the checks of other failure domains.
func (v *View) checkSilence(now time.Duration) {
	for _, id := range v.domainOrder {
		d := v.domains[id]
		if now-d.deathsAt > recentDeaths {
			d.deaths = 0
		}
		if id == v.self.member.Domain || d.live == 0 || !v.largeDomain(d) {
			d.running = false
			continue
		}
		if d.trouble() >= silentMembers {
			d.troubledUntil = now + recentDeaths
		}
		if !d.running && d.trouble() >= silentMembers && now >= d.nextCheck && now-d.heard >= v.config.SuspectAfter {
			d.running = true
			d.started = now
			d.nextProbe = now
		}
		if d.running {
			v.continueCheck(now, id, d)
		}
	}
}

func (v *View) continueCheck(now time.Duration, id message.DomainID, d *domain) {
	if d.heard >= d.started {
		d.running = false
		d.nextCheck = now + checkPause
		return
	}
	if now-d.started >= v.config.DeadAfter {
		d.running = false
		v.cutOff(now, id, d)
		return
	}
	if now < d.nextProbe {
		return
	}
	d.nextProbe = now + v.config.Interval
	members := v.InDomain(id)
	for range silentProbes {
		m := members[v.random()%uint64(len(members))]
		v.sendHeartbeat(v.records[m.ID], true)
	}
}

// troubled reports whether r is in another failure domain that had many suspects
// a short time ago.
func (v *View) troubled(now time.Duration, r *record) bool {
	return now < v.domain(r.member.Domain).troubledUntil && v.isLarge(r)
}

// cutOff holds all members of a failure domain dead that none of this VM's own
// probes reached, without gossip.
func (v *View) cutOff(now time.Duration, id message.DomainID, d *domain) {
	v.stats.DomainDeaths++
	for _, r := range v.order {
		if r.member.Domain != id {
			continue
		}
		m := r.member
		m.State = message.MemberDead
		if isLive(r.member.State) {
			v.change(now, r, m)
			v.setCut(r, true)
		} else if r.member.State == message.MemberDead && !r.left && now-r.since <= recentDeaths {
			v.setCut(r, true)
		}
		if r.cut {
			r.rounds = 0
		}
	}
	d.deaths = 0
	d.pullGap = 0
}

func (v *View) setCut(r *record, cut bool) {
	if r.cut == cut {
		return
	}
	r.cut = cut
	if cut {
		v.domain(r.member.Domain).cut++
	} else {
		v.domain(r.member.Domain).cut--
	}
}

// restore takes back a member that was held dead only since its domain was cut off.
func (v *View) restore(now time.Duration, r *record, state message.MemberState) {
	m := r.member
	m.State = state
	v.change(now, r, m)
}

// contact notes a message from a VM itself. If its failure domain was cut off,
// the VM is asked who else is live there.
func (v *View) contact(now time.Duration, self *message.Member) {
	r := v.records[self.ID]
	if r == nil {
		return
	}
	d := v.domain(r.member.Domain)
	d.heard = now
	v.settleDoubt(r)
	if r.cut {
		v.probeFast(now)
	}
	if r.cut && self.Incarnation == r.member.Incarnation {
		v.restore(now, r, self.State)
	}
	if d.cut > 0 {
		v.pullDomain(now, r)
	}
}
