package membership

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
)

// otherDomains is the number of other failure domains with a neighbour.
const otherDomains = 2

// maxVouched bounds the number of times that the time-out of a neighbour doubles.
// A neighbour that refutes suspicions but does not answer this VM is cut off from
// it only; its other probers see it die. Without that, each such pair floods a
// suspicion and a refutation every 1.5 s.
const maxVouched = 4

// neighbour is a member that this VM sends heartbeats to.
type neighbour struct {
	record     *record
	lastAnswer time.Duration // or, before the first one, when it was chosen
	answered   bool
	vouched    uint8 // refutations since the last answer, at most maxVouched
	knowsUs    bool  // it has this VM's addresses, so that short records do
}

// reselect chooses the neighbours anew after the set of reachable members
// changed. When many change at once it waits, to bound the cost.
func (v *View) reselect(now time.Duration) {
	if !v.reselectDue {
		return
	}
	if len(v.neighbours) > 0 && now-v.reselected < v.config.Interval/earlyDivisor {
		return
	}
	v.reselectDue = false
	v.reselected = now
	chosen := v.choose()
	next := make([]neighbour, 0, len(chosen))
	for _, r := range chosen {
		next = append(next, v.keepNeighbour(now, r))
	}
	v.neighbours = next
}

// keepNeighbour returns the neighbour for r with its time-out, or a new one with
// a full time-out.
func (v *View) keepNeighbour(now time.Duration, r *record) neighbour {
	if n := v.neighbour(r.member.ID); n != nil {
		return *n
	}
	return neighbour{record: r, lastAnswer: now}
}

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

// choose returns the neighbours. The successor in a ring over all members gives
// every member at least one prober, which rendezvous hashing alone does not.
func (v *View) choose() []*record {
	s := &selection{key: uint64(v.self.member.ID)}
	s.all = make([]*record, 0, v.reachable)
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

// addSuccessor adds the next member in the ring ordered by domain and id. The
// ring stays within a domain but for one link from each domain to the next.
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

// addBest adds up to n members that keep accepts, best first by rendezvous hash.
func (s *selection) addBest(n int, keep func(*record) bool) {
	if n <= 0 {
		return
	}
	best := rendezvous.Top(make([]rendezvous.Ranked, n), s.key, len(s.all), func(i int) (uint64, uint32) {
		r := s.all[i]
		if !keep(r) || slices.Contains(s.chosen, r) {
			return 0, 0
		}
		return uint64(r.member.ID), 1
	})
	for _, b := range best {
		s.chosen = append(s.chosen, s.all[b.Index])
	}
}

// addFromNewDomain adds a member of the best domain, by rendezvous hash, that
// has no neighbour yet.
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

// judge moves neighbours that do not answer to suspect and then to dead. In
// another large failure domain only its own members, of whom each has a prober
// there, and a check of the whole domain decide on deaths: with many suspects,
// refutations are paced and come late.
func (v *View) judge(now time.Duration) {
	for i := range v.neighbours {
		n := &v.neighbours[i]
		silent := now - n.lastAnswer - v.config.SuspectAfter*(1<<n.vouched-1)
		switch {
		case silent >= v.config.DeadAfter && v.isLarge(n.record):
			n.lastAnswer += silent - v.config.SuspectAfter
		case silent >= v.config.DeadAfter && isReachable(n.record.member.State):
			v.stats.Deaths++
			v.die(now, n.record)
		case silent >= v.config.SuspectAfter && n.record.member.State == message.MemberAlive:
			v.stats.Suspicions++
			v.suspect(now, n.record, n.record.member.Incarnation)
		}
	}
}

// answers reports whether this VM itself has a recent answer of r.
func (v *View) answers(now time.Duration, r *record) bool {
	n := v.neighbour(r.member.ID)
	return n != nil && n.answered && now-n.lastAnswer < v.config.SuspectAfter
}

func (v *View) suspect(now time.Duration, r *record, incarnation uint64) {
	m := r.member
	m.State = message.MemberSuspect
	m.Incarnation = incarnation
	v.change(now, r, m)
	v.gossip(now, r)
	v.hurry(r)
}

func (v *View) die(now time.Duration, r *record) {
	m := r.member
	m.State = message.MemberDead
	v.change(now, r, m)
	v.gossip(now, r)
	v.hurry(r)
}
