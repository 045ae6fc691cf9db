package membership

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

// otherDomains is the number of other failure domains with a neighbour.
const otherDomains = 2

// maxTimeoutDoublings bounds the number of times that the timeout of a neighbour
// doubles. A neighbour that refutes suspicions but does not answer this VM is
// unreachable from it only; its other probers detect its death. Without the longer
// timeout each such pair would gossip a suspicion and a refutation every 1.5 s.
const maxTimeoutDoublings = 4

// neighbour is a member that this VM sends heartbeats to.
type neighbour struct {
	record        *record
	lastAnswer    time.Duration // or, before the first one, when it was chosen
	answered      bool
	refutations   uint8 // since the last answer, at most maxTimeoutDoublings
	hasFullRecord bool  // it has this VM's addresses, so a short record suffices
}

// reselect chooses the neighbours again after the set of reachable members has
// changed. It does so at most every Interval/earlyRoundDivisor, to bound the cost.
func (v *View) reselect(now time.Duration) {
	if !v.reselectDue {
		return
	}
	if len(v.neighbours) > 0 && now-v.reselectedAt < v.config.Interval/earlyRoundDivisor {
		return
	}
	v.reselectDue = false
	v.reselectedAt = now
	chosen := v.chooseNeighbours()
	next := make([]neighbour, 0, len(chosen))
	for _, r := range chosen {
		next = append(next, v.keepNeighbour(now, r))
	}
	v.neighbours = next
}

// keepNeighbour returns the existing neighbour for r, with its running timeout, or
// a new one.
func (v *View) keepNeighbour(now time.Duration, r *record) neighbour {
	if n := v.neighbour(r.member.ID); n != nil {
		return *n
	}
	return neighbour{record: r, lastAnswer: now}
}

// neighbour returns the neighbour with an id, or nil.
func (v *View) neighbour(id message.VMID) *neighbour {
	for i := range v.neighbours {
		if v.neighbours[i].record.member.ID == id {
			return &v.neighbours[i]
		}
	}
	return nil
}

// selection is one choice of neighbours.
type selection struct {
	key    uint64
	all    []*record // reachable members without this VM
	chosen []*record
}

// chooseNeighbours returns the neighbours. The successor in a ring over all members
// gives every member at least one prober, which rendezvous hashing alone would not.
func (v *View) chooseNeighbours() []*record {
	s := &selection{key: uint64(v.self.member.ID)}
	s.all = make([]*record, 0, v.reachableCount)
	for _, r := range v.order {
		if r != v.self && isReachable(r.member.State) {
			s.all = append(s.all, r)
		}
	}
	if len(s.all) <= v.config.Neighbours {
		return s.all
	}
	s.addSuccessor(v.self)
	own := v.self.member.Domain
	s.addBest(v.config.Neighbours-1, func(r *record) bool { return r.member.Domain == own })
	for range otherDomains {
		s.addFromNewDomain(own)
	}
	s.addBest(v.config.Neighbours-len(s.chosen), func(*record) bool { return true })
	return s.chosen
}

// addSuccessor adds the next member in the ring ordered by domain and id. All links
// of the ring are within a domain except for one from each domain to the next.
func (s *selection) addSuccessor(self *record) {
	var first, next *record
	for _, r := range s.all {
		if first == nil || ringLess(r, first) {
			first = r
		}
		if ringLess(self, r) && (next == nil || ringLess(r, next)) {
			next = r
		}
	}
	if next == nil {
		next = first
	}
	s.chosen = append(s.chosen, next)
}

func ringLess(a, b *record) bool {
	if a.member.Domain != b.member.Domain {
		return a.member.Domain < b.member.Domain
	}
	return a.member.ID < b.member.ID
}

// addBest adds up to n members for which accept returns true, in order of their
// rendezvous score.
func (s *selection) addBest(n int, accept func(*record) bool) {
	if n <= 0 {
		return
	}
	best := rendezvous.Top(make([]rendezvous.Ranked, n), s.key, len(s.all), func(i int) (uint64, uint32) {
		r := s.all[i]
		if !accept(r) || slices.Contains(s.chosen, r) {
			return 0, 0
		}
		return uint64(r.member.ID), 1
	})
	for _, b := range best {
		s.chosen = append(s.chosen, s.all[b.Index])
	}
}

// addFromNewDomain adds a member of the domain with the highest rendezvous score
// among those without a neighbour.
func (s *selection) addFromNewDomain(own message.DomainID) {
	var best message.DomainID
	var bestScore uint64
	for _, r := range s.all {
		d := r.member.Domain
		if d == own || s.hasDomain(d) {
			continue
		}
		if score := rendezvous.Mix(s.key, uint64(d)); score >= bestScore {
			best = d
			bestScore = score
		}
	}
	if bestScore > 0 {
		s.addBest(1, func(r *record) bool { return r.member.Domain == best })
	}
}

func (s *selection) hasDomain(d message.DomainID) bool {
	return slices.ContainsFunc(s.chosen, func(r *record) bool { return r.member.Domain == d })
}

// checkNeighbours marks neighbours that do not answer as suspect and then as dead.
// Deaths in another large failure domain are declared only by its own members, of
// whom each has a prober there, and by the check of the whole domain: with many
// suspects, refutations are paced and come late. Each refutation since the last answer
// doubles the time to suspicion and lengthens the time to death by as much.
func (v *View) checkNeighbours(now time.Duration) {
	for i := range v.neighbours {
		n := &v.neighbours[i]
		unanswered := now - n.lastAnswer - v.config.SuspectAfter*(1<<n.refutations-1)
		switch {
		case unanswered >= v.config.DeadAfter && v.inLargeRemoteDomain(n.record):
			// Back to the time of suspicion, instead of a death.
			n.lastAnswer += unanswered - v.config.SuspectAfter
		case unanswered >= v.config.DeadAfter && isReachable(n.record.member.State):
			v.stats.Deaths++
			v.markDead(now, n.record)
		case unanswered >= v.config.SuspectAfter && n.record.member.State == message.MemberAlive:
			v.stats.Suspicions++
			v.markSuspect(now, n.record, n.record.member.Incarnation)
		}
	}
}

// answeredRecently reports whether r has answered this VM within SuspectAfter.
func (v *View) answeredRecently(now time.Duration, r *record) bool {
	n := v.neighbour(r.member.ID)
	return n != nil && n.answered && now-n.lastAnswer < v.config.SuspectAfter
}

// markSuspect marks a member as suspect in an incarnation and gossips it.
func (v *View) markSuspect(now time.Duration, r *record, incarnation uint64) {
	m := r.member
	m.State = message.MemberSuspect
	m.Incarnation = incarnation
	v.updateRecord(now, r, m)
	v.gossip(now, r)
	v.requestEarlyRound(r)
}

// markDead declares a member dead and gossips it.
func (v *View) markDead(now time.Duration, r *record) {
	m := r.member
	m.State = message.MemberDead
	v.updateRecord(now, r, m)
	v.gossip(now, r)
	v.requestEarlyRound(r)
}
