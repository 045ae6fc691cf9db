package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// FlowReset is the reset of a flow that the VM decides on without a packet of the flow.
// The caller learns early that the target is gone or dead: it opens another flow for its next
// request, or retries the one in progress.
type FlowReset struct {
	Packet flow.Packet // has only the four-tuple, the ACK flag and the last acknowledgement
	Reason Reason
	Target *catalog.Target
}

// TakeFlowResets returns the resets decided on since the last call. The slice is valid
// until the next call of any method.
func (f *Forwarder) TakeFlowResets() []FlowReset {
	taken := f.resets
	f.resets = f.resets[:0]
	return taken
}

// resetGone resets the flows of removed targets that are confirmed gone.
func (f *Forwarder) resetGone(now time.Duration) {
	f.removedTargets = slices.DeleteFunc(f.removedTargets, func(t *catalog.Target) bool {
		if t.Listed {
			return true
		}
		if !f.isConfirmedGone(now, t) {
			return false
		}
		f.resetFlows(t, TargetGone, func(*record, *catalog.Route) bool { return true })
		return true
	})
}

// resetDead resets flows of t when it is first found dead: the idle ones, and those
// whose request may be retried.
func (f *Forwarder) resetDead(now time.Duration, t *catalog.Target) {
	if !f.evidence[t.Slot].Dead(now) || !f.canJudgeTargets(now) || !f.othersRespond(now, t) || !f.evidence[t.Slot].DeclareDead(now) {
		return
	}
	f.recordDeath(now, t)
	f.resetFlows(t, TargetSilent, func(r *record, route *catalog.Route) bool {
		return !r.active || route != nil && route.Kind != catalog.NonIdempotent
	})
}

// resetFlows resets the open flows of t for which selected returns true. It sorts the
// resets, so that their order does not depend on the iteration over the map of flows.
func (f *Forwarder) resetFlows(t *catalog.Target, reason Reason, selected func(*record, *catalog.Route) bool) {
	for k, r := range f.flows.records {
		if r.target != t || r.phase != open || !selected(r, f.view.Route(k.Address)) {
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
