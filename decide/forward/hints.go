package forward

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/halfopen"
)

const (
	// maxHints bounds the hints of a VM, of about 60 bytes each.
	maxHints = 8192
	// maxFlowBytes bounds what a caller sends on one flow. A packet further from the SYN of a hint is
	// of another flow of the same four-tuple.
	maxFlowBytes = 1 << 26
)

// hint is the target of a flow that is open at another VM, as that one has told. The cookie of the
// flow's packets may be that of another target.
type hint struct {
	cookie    flow.Cookie
	synSeq    uint32
	openedAt  time.Duration // by this VM's clock
	expiresAt time.Duration
}

// HandleOpened handles a flow that has opened at another VM. The VM keeps a hint, in case that routers
// move the flow to it. Targets that got the flow's SYN from this VM and may hold it half-open are
// superseded. If the VM has adopted the flow by its cookie, the flow goes to the right target.
func (f *Forwarder) HandleOpened(now time.Duration, o halfopen.Opened) Verdict {
	t := f.view.ByCookie(flow.Cookie(o.TargetCookie), f.view.Route(o.Flow.Address))
	r := f.flows.get(o.Flow)
	switch {
	case r == nil || r.phase == opening:
		f.addHint(now, o)
	case r.phase == open && r.tries == 0 && !r.sawHandshake && t != nil && !t.Gone(now):
		f.assign(r, t)
	}
	u := f.halfOpen.unopened[o.Flow]
	if t == nil || u == nil || u.synSeq != o.SYNSeq || now-u.synAt >= halfopen.MaxCorrectionAge {
		return Verdict{}
	}
	return Verdict{Target: t, Cookie: t.Cookie, Superseded: f.holders(now, u.tried, t, f.view.Route(o.Flow.Address))}
}

// addHint keeps a hint for as long as the caller may return a wrong cookie: until no target repeats its
// answer, and for the idle time-out after that. A flow in use gets the right cookie from its target.
func (f *Forwarder) addHint(now time.Duration, o halfopen.Opened) {
	openedAt := now - o.Age
	h := hint{cookie: flow.Cookie(o.TargetCookie), synSeq: o.SYNSeq, openedAt: openedAt, expiresAt: openedAt + halfopen.RepeatTime + f.idleTimeout()}
	if now >= h.expiresAt {
		return
	}
	if _, known := f.halfOpen.hints[o.Flow]; !known && len(f.halfOpen.hints) >= maxHints {
		f.halfOpen.notTold++
		return
	}
	f.halfOpen.hints[o.Flow] = h
}

// hintOf returns the hint for a packet, if there is one.
func (f *Forwarder) hintOf(now time.Duration, p flow.Packet) (hint, bool) {
	if len(f.halfOpen.hints) == 0 {
		return hint{}, false
	}
	h, ok := f.halfOpen.hints[p.Flow]
	return h, ok && now < h.expiresAt && p.Seq-h.synSeq < maxFlowBytes
}

// hintedTarget returns the target that a hint names for a packet of an open flow, or nil.
func (f *Forwarder) hintedTarget(now time.Duration, p flow.Packet, route *catalog.Route) *catalog.Target {
	h, ok := f.hintOf(now, p)
	if !ok {
		return nil
	}
	t := f.view.ByCookie(h.cookie, route)
	if t == nil || t.Gone(now) {
		return nil
	}
	return t
}

// isKnownOpen reports whether a SYN without a record is a late copy of a flow that is open through
// another VM. A first SYN ends the hint of an earlier flow.
func (f *Forwarder) isKnownOpen(now time.Duration, p flow.Packet) bool {
	h, ok := f.hintOf(now, p)
	if ok && p.Seq == h.synSeq && p.Ack > 0 {
		return true
	}
	delete(f.halfOpen.hints, p.Flow)
	return false
}

// sweepHints removes expired hints.
func (f *Forwarder) sweepHints(now time.Duration) {
	for k, h := range f.halfOpen.hints {
		if now >= h.expiresAt {
			delete(f.halfOpen.hints, k)
		}
	}
}

// queueHints queues all hints for TakeContested.
func (f *Forwarder) queueHints(now time.Duration) {
	for k, h := range f.halfOpen.hints {
		if now < h.expiresAt {
			f.queueForDomain(halfopen.Opened{Flow: k, TargetCookie: uint32(h.cookie), SYNSeq: h.synSeq, Age: now - h.openedAt})
		}
	}
}

// Hints returns the number of hints.
func (f *Forwarder) Hints() int { return len(f.halfOpen.hints) }
