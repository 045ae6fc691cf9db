package forward

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/relay"
)

// maxUnansweredBy bounds the targets that are kept until TakeUnanswered is called.
const maxUnansweredBy = 32

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
