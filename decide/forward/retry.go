package forward

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/flow"
)

// lastRetransmit is the number of times that callers retransmit a SYN.
const lastRetransmit = 2

// synIntervals are the times from each SYN of a flow to the next one and, from the last, to the end
// of the caller's attempt.
var synIntervals = [lastRetransmit + 1]time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// isOutdated reports whether a SYN has waited at this VM for so long that its caller has sent the
// next one or given up. Routers may have moved the flow meanwhile, so that it is open through
// another VM; a second target would then answer on an open flow. Otherwise the next SYN has come
// here as well.
func isOutdated(p flow.Packet) bool {
	return p.Age >= synIntervals[min(p.Ack, lastRetransmit)]
}

// retryAction is what happens to a retransmitted SYN, which the flow's target has not answered as
// far as this VM knows. Most often only the answer was lost: the target holds a half-open flow and
// repeats its answer. If another target got the SYN as well, both would answer, the caller would
// return the cookie of the one that it heard last, and a VM without a record of the flow would
// forward its packets to the wrong one.
type retryAction uint8

const (
	tryAgain   retryAction = iota // send it to the same target
	leaveOut                      // do not send it: the target gets no more SYNs, but may still answer
	tryAnother                    // choose another target
)

// retryOf returns what to do with a retransmitted SYN of a flow that has a target. The flow leaves
// the target when other flows show that it is silent or unreachable, or with the last
// retransmission: a live target has had the time to answer several times.
func (f *Forwarder) retryOf(now time.Duration, p flow.Packet, r *record, route *catalog.Route) retryAction {
	t := r.target
	tracker := &f.evidence[t.Slot]
	switch {
	case t.Gone(now) || r.repeated || p.Ack >= lastRetransmit:
		return tryAnother
	case tracker.SeveralUnanswered(now) || f.isDomainUnreachable(now, t):
		return tryAnother
	case f.exclusion(now, t, route) == unreachable:
		return tryAnother
	case f.exclusion(now, t, route) != notExcluded || f.cold.isLimited(now, t, tracker):
		return leaveOut
	default:
		return tryAgain
	}
}

// retrySame returns the verdict on a retransmitted SYN that is not sent to another target.
func (f *Forwarder) retrySame(now time.Duration, r *record, route *catalog.Route, action retryAction) Verdict {
	r.lastSeen, r.synAt = now, now
	r.repeated, r.leftOut = true, action == leaveOut
	t := r.target
	if action == tryAgain {
		return Verdict{Action: Forward, Reason: Repeated, Target: t, Cookie: t.Cookie, Route: route, NewDecision: true}
	}
	return Verdict{Action: Drop, Reason: f.leaveOutReason(now, t), Target: t, Route: route, NewDecision: true}
}

// leaveOutReason returns why a SYN is not sent to t once more.
func (f *Forwarder) leaveOutReason(now time.Duration, t *catalog.Target) Reason {
	if f.cold.isLimited(now, t, &f.evidence[t.Slot]) {
		// It would count as another flow of the cold target.
		return ColdLimit
	}
	return Deferred
}

// receiveDuplicateSYN returns the verdict on a duplicate of a SYN, or a retransmission that was
// queued at this VM with the original.
func (f *Forwarder) receiveDuplicateSYN(now time.Duration, r *record, route *catalog.Route) Verdict {
	t := r.target
	excluded := f.exclusion(now, t, route)
	if r.leftOut || excluded != notExcluded && excluded != coldLimit || f.cold.isLimited(now, t, &f.evidence[t.Slot]) {
		return Verdict{Action: Drop, Reason: f.leaveOutReason(now, t), Target: t, Route: route}
	}
	return f.forwardTo(now, r, route, t, Placed, false)
}
