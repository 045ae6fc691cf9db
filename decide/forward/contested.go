package forward

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/halfopen"
)

// maxContested bounds the contested flows of a VM. Further ones are not protected.
const maxContested = 4096

// contestedTellTimes are the times after a flow has become contested at which its keepers are told of it,
// and from the second on the other targets get its cookie: again, since a datagram may be lost, and as
// long as the other targets may take a SYN (halfopen.MaxCorrectionAge). VMs of the own domain, each of
// which costs a datagram, are told at some of these times; flows of a single request have ended by then.
var contestedTellTimes = [...]struct {
	after    time.Duration
	toDomain bool
}{{0, false}, {250 * time.Millisecond, true}, {time.Second, false}, {3 * time.Second, true}, {6 * time.Second, false}}

// contestedSweepInterval is the minimum time between two searches for contested flows that are due.
const contestedSweepInterval = 100 * time.Millisecond

// contestedFlow is the state of a flow that has opened here, while another target may hold it
// half-open.
type contestedFlow struct {
	since time.Duration
	told  int // how many of contestedTellTimes are done
}

// Correction is a flow whose SYN other targets get again, with the cookie of the one at which it is
// open.
type Correction struct {
	Flow       flow.Key
	Target     *catalog.Target
	Superseded []*catalog.Target
}

// isContested reports whether another target may hold a flow that now opens here: several have got its
// SYN, or the caller has sent one that has not come here, before the first one here or after the last.
func (r *record) isContested(now time.Duration) bool {
	if r.copied || r.tries > 1 {
		return true
	}
	return now-r.synAt >= synIntervals[0]
}

// contest records that the flow of r, which is open, is contested by other targets, if these are known.
// A flow whose SYN is not known can't be told apart from others of its four-tuple.
func (f *Forwarder) contest(now time.Duration, k flow.Key, r *record, others ...triedTarget) {
	if r.untracked || r.tries == 0 && !r.sawHandshake {
		return
	}
	for _, other := range others {
		r.addTried(other)
	}
	if r.contested {
		return
	}
	if len(f.halfOpen.contested) >= maxContested {
		f.halfOpen.notTold++
		return
	}
	r.contested = true
	c := &contestedFlow{since: now}
	f.halfOpen.contested[k] = c
	f.tellContested(now, k, r, c)
}

// tellContested queues a contested flow for TakeContested or TakeForKeepers.
func (f *Forwarder) tellContested(now time.Duration, k flow.Key, r *record, c *contestedFlow) {
	o := halfopen.Opened{Flow: k, TargetCookie: uint32(r.target.Cookie), SYNSeq: r.synSeq, Age: now - c.since}
	if contestedTellTimes[c.told].toDomain {
		f.queueForDomain(o)
	} else {
		f.queueForKeepers(o)
	}
	c.told++
}

func (f *Forwarder) queueForDomain(o halfopen.Opened) {
	if len(f.halfOpen.contestedToTell) >= maxTellQueue {
		f.halfOpen.notTold++
		return
	}
	f.halfOpen.contestedToTell = append(f.halfOpen.contestedToTell, o)
}

func (f *Forwarder) queueForKeepers(o halfopen.Opened) {
	if len(f.halfOpen.openedForKeepers) >= maxForKeepers {
		f.halfOpen.notTold++
		return
	}
	f.halfOpen.openedForKeepers = append(f.halfOpen.openedForKeepers, o)
}

// recordAdopted records a flow without a record whose first packet may end its handshake: the VM that
// has sent its SYN does not know that it has opened. Other packets have a later sequence number than
// the flow's SYN says, and match no unopened flow.
func (f *Forwarder) recordAdopted(p flow.Packet, r *record, t *catalog.Target) {
	if p.Len > 0 || p.Flags != flow.ACK || p.Cookie != t.Cookie {
		return
	}
	r.sawHandshake, r.synSeq = true, p.Seq-1
	f.queueForKeepers(halfopen.Opened{Flow: p.Flow, TargetCookie: uint32(t.Cookie), SYNSeq: r.synSeq})
}

// TakeForKeepers returns flows that have opened here and that only their keepers are to be told of: those
// of recordAdopted, and contested ones between the times at which the domain is told as well. Flows that
// have ended are left out. The slice is valid until the next call of any method.
func (f *Forwarder) TakeForKeepers() []halfopen.Opened {
	taken := slices.DeleteFunc(f.halfOpen.openedForKeepers, func(o halfopen.Opened) bool {
		r := f.flows.get(o.Flow)
		return r == nil || r.phase != open
	})
	f.halfOpen.openedForKeepers = f.halfOpen.openedForKeepers[:0]
	return taken
}

// TakeContested returns contested flows that other VMs are to be told of, the oldest first. The slice is
// valid until the next call of any method.
func (f *Forwarder) TakeContested() []halfopen.Opened {
	n := min(len(f.halfOpen.contestedToTell), maxToldAtOnce)
	taken := f.halfOpen.contestedToTell[:n:n]
	f.halfOpen.contestedToTell = f.halfOpen.contestedToTell[n:]
	return taken
}

// TakeCorrections returns the corrections that are due since the last call. The slice is valid until the
// next call of any method.
func (f *Forwarder) TakeCorrections() []Correction {
	taken := f.halfOpen.corrections
	f.halfOpen.corrections = f.halfOpen.corrections[:0]
	return taken
}

// IsContested reports whether a flow is contested.
func (f *Forwarder) IsContested(k flow.Key) bool { return f.halfOpen.contested[k] != nil }

// Contested returns the number of contested flows.
func (f *Forwarder) Contested() int { return len(f.halfOpen.contested) }

// sweepContested tells of the contested flows that are due, in the order of their hashes, and forgets
// those that have ended.
func (f *Forwarder) sweepContested(now time.Duration) {
	if len(f.halfOpen.contested) == 0 || now < f.halfOpen.nextContestedSweep {
		return
	}
	f.halfOpen.nextContestedSweep = now + contestedSweepInterval
	var due []flow.Key
	for k, c := range f.halfOpen.contested {
		r := f.flows.get(k)
		switch {
		case r == nil || !r.contested:
			delete(f.halfOpen.contested, k)
		case r.phase != open || r.target == nil:
			r.contested = false
			delete(f.halfOpen.contested, k)
		case c.told < len(contestedTellTimes) && now-c.since >= contestedTellTimes[c.told].after:
			due = append(due, k)
		}
	}
	slices.SortFunc(due, compareHashes)
	for _, k := range due {
		r := f.flows.get(k)
		f.tellContested(now, k, r, f.halfOpen.contested[k])
		f.correct(now, k, r)
	}
}

// correct queues a correction of the other targets of a contested flow.
func (f *Forwarder) correct(now time.Duration, k flow.Key, r *record) {
	others := f.holders(now, r.tried[:r.tries], r.target, f.view.Route(k.Address))
	if len(others) > 0 {
		f.halfOpen.corrections = append(f.halfOpen.corrections, Correction{Flow: k, Target: r.target, Superseded: others})
	}
}

// foreignCookie handles the cookie of a packet of an open flow. One of another target shows that this one
// holds the flow half-open and has answered last: it is returned as superseded.
func (f *Forwarder) foreignCookie(now time.Duration, p flow.Packet, r *record, t *catalog.Target, route *catalog.Route) []*catalog.Target {
	if p.Cookie == t.Cookie {
		if r.contested {
			f.endContest(now, p.Flow, r)
		}
		return nil
	}
	if p.Cookie == 0 || r.phase != open || r.tries == 0 && !r.sawHandshake {
		return nil
	}
	other := f.view.ByCookie(p.Cookie, route)
	if other == nil || other == t || r.wasTried(other) {
		return nil
	}
	shown := triedTarget{other, other.Born}
	f.contest(now, p.Flow, r, shown)
	return f.holders(now, []triedTarget{shown}, t, route)
}

// endContest ends the danger of a flow whose caller returns the right cookie, once no target repeats its
// answer any more.
func (f *Forwarder) endContest(now time.Duration, k flow.Key, r *record) {
	if c := f.halfOpen.contested[k]; c != nil && now-c.since < halfopen.RepeatTime {
		return
	}
	r.contested = false
	delete(f.halfOpen.contested, k)
}

// StartLeaving has the VM tell others of all its contested flows and hints at once, and of unopened
// flows as soon as they are: it will be gone.
func (f *Forwarder) StartLeaving(now time.Duration) {
	f.leaving = true
	f.nextSweep = now
	for k, c := range f.halfOpen.contested {
		if r := f.flows.get(k); r != nil && r.target != nil {
			f.queueForDomain(halfopen.Opened{Flow: k, TargetCookie: uint32(r.target.Cookie), SYNSeq: r.synSeq, Age: now - c.since})
		}
	}
	f.queueHints(now)
	slices.SortFunc(f.halfOpen.contestedToTell, func(a, b halfopen.Opened) int { return compareHashes(a.Flow, b.Flow) })
}
