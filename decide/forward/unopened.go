package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/halfopen"
)

const (
	// maxUnopened bounds the unopened flows of a VM, of about 150 bytes each, and maxUnopenedNamed
	// what is kept until TakeUnopened is called.
	maxUnopened      = 4096
	maxUnopenedNamed = 48
)

// unopenedNamings are the times after a SYN at which other VMs are told of a flow that has not opened,
// the second time in case that the first is lost. Before the first its caller has sent the next SYN,
// elsewhere.
var unopenedNamings = [...]time.Duration{450 * time.Millisecond, 2 * time.Second}

// unopenedFlow is a flow that has not opened here, though this VM has sent its SYN to targets, which
// may hold it half-open. It outlives the flow's record.
type unopenedFlow struct {
	tried   []triedTarget
	synSeq  uint32
	copied  bool
	synAt   time.Duration // first SYN that was sent to any of tried
	namings int           // how many of unopenedNamings are done
}

// recordUnopened records a flow as unopened if it is: this VM has sent its SYN to a target, and has
// heard nothing of it since. A target that seems dead holds none.
func (f *Forwarder) recordUnopened(now time.Duration, k flow.Key, r *record) {
	if r.phase != opening || r.target == nil || now-r.synAt < unopenedNamings[0] || f.evidence[r.target.Slot].Suspected(now) {
		return
	}
	u := f.unopened[k]
	if u == nil && len(f.unopened) >= maxUnopened {
		f.flowsNotTold++
		return
	}
	if u == nil || u.synSeq != r.synSeq || len(u.tried) != r.tries {
		f.unopened[k] = &unopenedFlow{tried: slices.Clone(r.tried[:r.tries]), synSeq: r.synSeq, copied: r.copied, synAt: r.firstSYNAt}
	}
}

// sweepUnopened names the unopened flows that are due, in the order of their hashes, and forgets those
// that have opened here, or that no target holds any more.
func (f *Forwarder) sweepUnopened(now time.Duration) {
	var due []flow.Key
	for k, u := range f.unopened {
		r := f.flows.get(k)
		switch {
		case now-u.synAt >= halfopen.RepeatTime || r != nil && r.phase != opening && r.tries > 0:
			delete(f.unopened, k)
		case u.namings < len(unopenedNamings) && now-u.synAt >= unopenedNamings[u.namings]:
			due = append(due, k)
		}
	}
	slices.SortFunc(due, compareHashes)
	for _, k := range due {
		f.nameUnopened(now, k, f.unopened[k])
	}
}

// nameUnopened adds an unopened flow to the result of TakeUnopened, if there is room.
func (f *Forwarder) nameUnopened(now time.Duration, k flow.Key, u *unopenedFlow) {
	if len(f.unopenedToName)+len(u.tried) > maxUnopenedNamed {
		f.flowsNotTold++
		return
	}
	u.namings++
	for _, t := range u.tried {
		f.unopenedToName = append(f.unopenedToName, halfopen.Unopened{
			Flow: k, TargetCookie: uint32(t.Cookie), TargetBorn: t.born, SYNSeq: u.synSeq, Copy: u.copied, Age: now - u.synAt,
		})
	}
}

// compareHashes orders flows by their hashes.
func compareHashes(a, b flow.Key) int { return cmp.Compare(a.Hash(), b.Hash()) }

// TakeUnopened returns the flows that other VMs are to be told of since the last call. The slice is
// valid until the next call of any method.
func (f *Forwarder) TakeUnopened() []halfopen.Unopened {
	taken := f.unopenedToName
	f.unopenedToName = f.unopenedToName[:0]
	return taken
}

// FlowsNotTold returns the number of times that a flow was not kept, or other VMs not told of it, for
// lack of room.
func (f *Forwarder) FlowsNotTold() uint64 { return f.flowsNotTold }

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
