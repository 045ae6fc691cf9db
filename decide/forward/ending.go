package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// FlowReset is a flow that is reset although no packet of it has come. A caller that
// learns early that its idle flow is useless opens another one for its next
// request, and loses nothing.
type FlowReset struct {
	Packet flow.Packet // the caller's last acknowledgement; other fields as far as known
	Reason Reason
	Target *catalog.Target
}

// TakeFlowResets returns the flows that were reset since the last call. The list is
// valid until the next call of any method.
func (f *Forwarder) TakeFlowResets() []FlowReset {
	ended := f.resets
	f.resets = f.resets[:0]
	return ended
}

// resetLost ends the flows of targets whose entries are gone.
func (f *Forwarder) resetLost(now time.Duration) {
	f.ending = slices.DeleteFunc(f.ending, func(t *catalog.Target) bool {
		if t.Listed {
			return true
		}
		if !f.isLost(now, t) {
			return false
		}
		f.endFlows(t, TargetGone, func(*record, *catalog.Route) bool { return true })
		return true
	})
}

// noteDead ends the flows of a target that has just been found dead: the idle
// ones, and those whose request may be repeated.
func (f *Forwarder) noteDead(now time.Duration, t *catalog.Target) {
	if !f.evidence[t.Slot].Dead(now) || !f.judges(now) || !f.othersAnswer(now, t) || !f.evidence[t.Slot].DeclareDead(now) {
		return
	}
	f.endFlows(t, TargetSilent, func(r *record, route *catalog.Route) bool {
		return !r.busy || route != nil && route.Kind != catalog.NonIdempotent
	})
}

// endFlows ends the open flows of t that end selects.
func (f *Forwarder) endFlows(t *catalog.Target, reason Reason, end func(*record, *catalog.Route) bool) {
	for k, r := range f.flows.records {
		if r.target != t || r.phase != open || !end(r, f.view.Route(k.Address)) {
			continue
		}
		f.resets = append(f.resets, FlowReset{
			Packet: flow.Packet{Flow: k, Flags: flow.ACK, Ack: r.ack},
			Reason: reason,
			Target: t,
		})
		f.forget(k)
	}
	slices.SortFunc(f.resets, func(a, b FlowReset) int {
		return cmp.Compare(a.Packet.Flow.Hash(), b.Packet.Flow.Hash())
	})
}
