package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/relay"
)

const (
	// unopenedAfter is the time after a SYN from which a flow counts as unopened. Its caller has sent
	// the next one, elsewhere.
	unopenedAfter = 450 * time.Millisecond
	// maxUnopened bounds the unopened flows that are kept until TakeUnopened is called, and
	// maxUnansweredBy the targets until TakeUnanswered is. Each is told to all VMs of the domain.
	maxUnopened     = 8
	maxUnansweredBy = 32
)

// recordUnopened records a flow as unopened if it is: this VM has sent its SYN to a target, which may
// hold a half-open flow, and has heard nothing of it since. A target that seems dead holds none. If
// the flow has opened through another VM, that one can give the target the flow's cookie.
func (f *Forwarder) recordUnopened(now time.Duration, k flow.Key, r *record) {
	if r.phase != opening || r.target == nil || r.announced || now-r.synAt < unopenedAfter {
		return
	}
	if len(f.unopened) >= maxUnopened || f.evidence[r.target.Slot].Suspected(now) {
		return
	}
	r.announced = true
	f.unopened = append(f.unopened, relay.UnopenedFlow{Flow: k, TargetCookie: uint32(r.target.Cookie)})
}

// TakeUnopened returns the flows that have become unopened since the last call, sorted by hash. The
// slice is valid until the next call of any method.
func (f *Forwarder) TakeUnopened() []relay.UnopenedFlow {
	taken := f.unopened
	f.unopened = f.unopened[:0]
	slices.SortFunc(taken, func(a, b relay.UnopenedFlow) int { return cmp.Compare(a.Flow.Hash(), b.Flow.Hash()) })
	return taken
}

// recordUnansweredBy records that t has left a SYN of this VM unanswered, so that other VMs learn of
// it, and that it has not responded to this VM since.
func (f *Forwarder) recordUnansweredBy(now, sentAt time.Duration, t *catalog.Target) {
	alive, ok := f.evidence[t.Slot].LastAlive()
	cookie := uint32(t.Cookie)
	if ok && alive >= sentAt || !f.canJudgeTargets(now) || len(f.unansweredBy) >= maxUnansweredBy || slices.Contains(f.unansweredBy, cookie) {
		return
	}
	f.unansweredBy = append(f.unansweredBy, cookie)
}

// TakeUnanswered returns the cookies of the targets that have left a SYN unanswered since the last
// call. The slice is valid until the next call of any method.
func (f *Forwarder) TakeUnanswered() []uint32 {
	taken := f.unansweredBy
	f.unansweredBy = f.unansweredBy[:0]
	return taken
}

// HandleUnanswered handles a target that has left a SYN of another VM unanswered.
func (f *Forwarder) HandleUnanswered(now time.Duration, u relay.UnansweredSYN) {
	if t := f.view.ByCookie(flow.Cookie(u.TargetCookie), nil); t != nil {
		f.evidence[t.Slot].RecordUnansweredElsewhere(now, u.VM)
	}
}

// UnopenedOutcome is what a VM makes of a flow that has not opened at another one.
type UnopenedOutcome uint8

// The outcomes.
const (
	UnopenedUnknown    UnopenedOutcome = iota // this VM has no record of the flow, or not of the target
	UnopenedSameTarget                        // the flow has opened at that target, or that is known to be another one
	UnopenedOpening                           // the flow is opening here: its target will be known
	UnopenedExcluded                          // the other target may get no SYN now
	UnopenedSuperseded                        // the other target gets the cookie of the flow's target
)

// String returns the outcome as it appears in logs.
func (o UnopenedOutcome) String() string {
	return [...]string{"unknown", "same_target", "opening", "excluded", "superseded"}[o]
}

// HandleUnopened handles a flow that has not opened at another VM, which has sent its SYN to a
// target. If it has opened here at another target, the verdict has the first one as superseded; if it
// is opening here, it will have. The verdict also has the flow's target here.
func (f *Forwarder) HandleUnopened(now time.Duration, u relay.UnopenedFlow) (Verdict, UnopenedOutcome) {
	route := f.view.Route(u.Flow.Address)
	t := f.view.ByCookie(flow.Cookie(u.TargetCookie), route)
	r := f.flows.get(u.Flow)
	if t == nil || r == nil || r.target == nil {
		return Verdict{}, UnopenedUnknown
	}
	v := Verdict{Target: r.target, Cookie: r.target.Cookie}
	switch {
	case r.target == t || r.wasTried(t):
		return v, UnopenedSameTarget
	case r.phase == opening:
		if r.tries < maxTries {
			r.tried[r.tries] = t
			r.tries++
		}
		return v, UnopenedOpening
	case !f.mayGetSYN(now, t, route):
		return v, UnopenedExcluded
	}
	v.Superseded = []*catalog.Target{t}
	return v, UnopenedSuperseded
}
