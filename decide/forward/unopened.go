package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/halfopen"
)

// maxUnopened bounds the unopened flows of a VM, of about 150 bytes each.
const maxUnopened = 4096

// unopenedTellTimes are the times after a SYN at which other VMs are told of a flow that has not opened,
// the second time in case that the first is lost. Before the first its caller has sent the next SYN,
// elsewhere.
var unopenedTellTimes = [...]time.Duration{450 * time.Millisecond, 2 * time.Second}

// unopenedFlow is a flow that has not opened here, though this VM has sent its SYN to targets, which
// may hold it half-open. It outlives the flow's record.
type unopenedFlow struct {
	tried  []triedTarget
	synSeq uint32
	copied bool
	synAt  time.Duration // first SYN that was sent to any of tried
	told   int           // how many of unopenedTellTimes are done
}

// recordUnopened records a flow as unopened if it is: this VM has sent its SYN to a target, and has
// heard nothing of it since. A target that seems dead holds none.
func (f *Forwarder) recordUnopened(now time.Duration, k flow.Key, r *record) {
	if r.phase != opening || r.target == nil || now-r.synAt < unopenedTellTimes[0] || f.evidence[r.target.Slot].Suspected(now) {
		return
	}
	u := f.halfOpen.unopened[k]
	if u == nil && len(f.halfOpen.unopened) >= maxUnopened {
		f.halfOpen.notTold++
		return
	}
	if u == nil || u.synSeq != r.synSeq || len(u.tried) != r.tries {
		f.halfOpen.unopened[k] = &unopenedFlow{tried: slices.Clone(r.tried[:r.tries]), synSeq: r.synSeq, copied: r.copied, synAt: r.firstSYNAt}
	}
}

// sweepUnopened tells of the unopened flows that are due, in the order of their hashes, and forgets those
// that have opened here, or that no target holds any more.
func (f *Forwarder) sweepUnopened(now time.Duration) {
	var due []flow.Key
	for k, u := range f.halfOpen.unopened {
		r := f.flows.get(k)
		switch {
		case now-u.synAt >= halfopen.RepeatTime || r != nil && r.phase != opening && r.tries > 0:
			delete(f.halfOpen.unopened, k)
		case u.told < len(unopenedTellTimes) && now-u.synAt >= unopenedTellTimes[u.told]:
			due = append(due, k)
		}
	}
	slices.SortFunc(due, compareHashes)
	for _, k := range due {
		f.tellUnopened(now, k, f.halfOpen.unopened[k])
	}
}

// tellUnopened adds an unopened flow to the result of TakeUnopened, if there is room.
func (f *Forwarder) tellUnopened(now time.Duration, k flow.Key, u *unopenedFlow) {
	if len(f.halfOpen.unopenedToTell)+len(u.tried) > maxToldAtOnce {
		f.halfOpen.notTold++
		return
	}
	u.told++
	for _, t := range u.tried {
		f.halfOpen.unopenedToTell = append(f.halfOpen.unopenedToTell, halfopen.Unopened{
			Flow: k, TargetCookie: uint32(t.Cookie), TargetBorn: t.born, SYNSeq: u.synSeq, Copy: u.copied, Age: now - u.synAt,
		})
	}
}

// compareHashes orders flows by their hashes.
func compareHashes(a, b flow.Key) int { return cmp.Compare(a.Hash(), b.Hash()) }

// TakeUnopened returns the flows that other VMs are to be told of since the last call. The slice is
// valid until the next call of any method.
func (f *Forwarder) TakeUnopened() []halfopen.Unopened {
	taken := f.halfOpen.unopenedToTell
	f.halfOpen.unopenedToTell = f.halfOpen.unopenedToTell[:0]
	return taken
}

// UnopenedOutcome is what a VM makes of a flow that has not opened at another one.
type UnopenedOutcome uint8

// The outcomes.
const (
	UnopenedUnknown    UnopenedOutcome = iota // this VM has no record of the flow, or does not know the target
	UnopenedSameTarget                        // the flow has opened at that target, or that is known to be another one
	UnopenedOpening                           // the flow is opening here: its target will be known
	UnopenedTooOld                            // the other target may have given the flow up
	UnopenedExcluded                          // the other target may get no SYN now, or has started again
	UnopenedSuperseded                        // the other target gets the cookie of the flow's target
)

// String returns the outcome as it appears in logs.
func (o UnopenedOutcome) String() string {
	return [...]string{"unknown", "same_target", "opening", "too_old", "excluded", "superseded"}[o]
}

// HandleUnopened handles a flow that has not opened at another VM, which has sent its SYN to a
// target. If it has opened here at another target, it is contested, and the verdict has the first one as
// superseded; if it is opening here, it will have. The verdict also has the flow's target here.
func (f *Forwarder) HandleUnopened(now time.Duration, u halfopen.Unopened) (Verdict, UnopenedOutcome) {
	route := f.view.Route(u.Flow.Address)
	t := f.view.ByCookie(flow.Cookie(u.TargetCookie), route)
	r := f.flows.get(u.Flow)
	if t == nil || r == nil || r.target == nil {
		return Verdict{}, UnopenedUnknown
	}
	v := Verdict{Target: r.target, Cookie: r.target.Cookie}
	other := triedTarget{t, u.TargetBorn}
	switch {
	case r.target == t || r.wasTried(t):
		if r.phase == open && u.Copy && u.SYNSeq == r.synSeq {
			f.contest(now, u.Flow, r)
		}
		return v, UnopenedSameTarget
	case u.Age >= halfopen.MaxCorrectionAge:
		return v, UnopenedTooOld
	case r.phase == opening:
		r.addTried(other)
		return v, UnopenedOpening
	}
	f.contest(now, u.Flow, r, other)
	v.Superseded = f.holders(now, []triedTarget{other}, r.target, route)
	if len(v.Superseded) == 0 {
		return v, UnopenedExcluded
	}
	return v, UnopenedSuperseded
}
