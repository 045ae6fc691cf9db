package forward

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/coldstart"
	"github.com/gypsumspan/gypsumspan/decide/evidence"
	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/relay"
)

const (
	// restoredDoubt is how long the targets of a failure domain count as cold after the end of
	// its evacuation, unless they have written an entry since. Targets report every 770 ms, so
	// that one which has become cold shows it in the second report at the latest.
	restoredDoubt = 1600 * time.Millisecond
	// settleDelay is the time until the step that settles new flows of cold targets; see
	// coldstart.Allowance.Settle.
	settleDelay = time.Millisecond
)

// coldLimiter decides which targets get no new flows since they are cold, or may be, and bear
// only a limited number. It concerns only services with such a limit.
type coldLimiter struct {
	services   map[string]catalog.ColdStart // those of the configuration
	limited    bool                         // one of services has a limit
	allowance  coldstart.Allowance
	entryAt    []time.Duration // last change of the entry, by slot of the target
	restoredAt map[string]time.Duration
	// respondedAt is the last response of a target, by failure domain, and silentAt the last time
	// at which a target, by slot, was silent while another one of its domain responded.
	respondedAt map[string]time.Duration
	silentAt    []time.Duration
	// placedWarm are the flows of the last second that went to a target, by slot, while it was
	// taken for warm.
	placedWarm [][]time.Duration
	wasWarm    bool // see beforeChange
	// kept is set if the present choice has kept a flow from a cold target, and keptFlows counts
	// the choices in which that happened.
	kept      bool
	keptFlows uint64
}

// hasLimit reports whether the service of t has a limit for its cold targets.
func (c *coldLimiter) hasLimit(t *catalog.Target) bool {
	return c.limited && c.services[t.Service].RequestsPerSecond > 0
}

// isLimited reports whether t gets only a limited number of new flows now: it is cold, or may be.
func (c *coldLimiter) isLimited(now time.Duration, t *catalog.Target, e *evidence.Tracker) bool {
	return c.hasLimit(t) && (now < t.ColdUntil || c.isDoubtful(now, t, e))
}

// isDoubtful reports whether t may be cold although its entry does not say so: it may be starting
// again, or has become cold while its failure domain was evacuated.
func (c *coldLimiter) isDoubtful(now time.Duration, t *catalog.Target, e *evidence.Tracker) bool {
	silentAt := c.silentAt[t.Slot]
	alive, _ := e.LastAlive()
	if e.Suspected(now) && silentAt > 0 && silentAt > alive && silentAt >= c.entryAt[t.Slot] {
		return true
	}
	at, restored := c.restoredAt[t.Domain]
	return restored && now < at+restoredDoubt && c.entryAt[t.Slot] < at
}

// recordResponse records a response of t.
func (c *coldLimiter) recordResponse(now time.Duration, t *catalog.Target) {
	if !c.hasLimit(t) {
		return
	}
	if c.respondedAt == nil {
		c.respondedAt = make(map[string]time.Duration)
	}
	c.respondedAt[t.Domain] = now
}

// recordSilence records that t has not responded to a packet that was sent to it. If no other
// target of its failure domain has responded since either, the VM or the domain is more likely cut
// off than t starting again.
func (c *coldLimiter) recordSilence(now, sentAt time.Duration, t *catalog.Target) {
	if !c.hasLimit(t) {
		return
	}
	if at, ok := c.respondedAt[t.Domain]; ok && at >= sentAt {
		c.silentAt[t.Slot] = now
	}
}

// withholds reports whether t gets no new flow now.
func (c *coldLimiter) withholds(now time.Duration, t *catalog.Target, e *evidence.Tracker) bool {
	if !c.isLimited(now, t, e) {
		return false
	}
	return c.isDoubtful(now, t, e) || !c.allowance.Allows(now, coldstart.StartOf(t))
}

// isDepleted reports whether a large part of a domain's targets, of a service with a limit, get no
// flows now since they are cold. The others would get all flows that prefer the domain, and targets
// of a failure domain often start together: some of them may be cold as well, which this VM does not
// know yet.
func (f *Forwarder) isDepleted(now time.Duration, targets []*catalog.Target, route *catalog.Route, domain string) bool {
	const part = 3 // a third
	withheld, all := 0, 0
	for _, t := range targets {
		if t.Domain != domain || !f.cold.hasLimit(t) {
			continue
		}
		switch f.exclusion(now, t, route) {
		case coldLimit:
			withheld++
			all++
		case notExcluded:
			all++
		}
	}
	return withheld > 0 && part*withheld >= all
}

// recordPlacement records that a SYN goes to t.
func (c *coldLimiter) recordPlacement(now time.Duration, t *catalog.Target) {
	switch {
	case !c.hasLimit(t):
	case now < t.ColdUntil:
		c.allowance.Place(now, coldstart.StartOf(t))
	default:
		recent := slices.DeleteFunc(c.placedWarm[t.Slot], func(at time.Duration) bool { return now-at > time.Second })
		c.placedWarm[t.Slot] = append(recent, now)
	}
}

// beginChoice starts the choice of the target of a flow.
func (c *coldLimiter) beginChoice() { c.kept = false }

// countExclusion counts a choice in which a target was excluded by its limit.
func (c *coldLimiter) countExclusion(e exclusion) {
	if e == coldLimit && !c.kept {
		c.kept = true
		c.keptFlows++
	}
}

// settle starts a step at now. It returns the time at which the next one is due, or a late time.
func (c *coldLimiter) settle(now time.Duration) time.Duration {
	const idle = time.Minute
	if c.allowance.Settle(now) {
		return now + settleDelay
	}
	return now + idle
}

// beforeChange prepares apply, before the view has applied c.
func (c *coldLimiter) beforeChange(now time.Duration, view *catalog.View, change catalog.Change) {
	if change.Target == nil {
		return
	}
	t := view.Target(change.Target.ID)
	c.wasWarm = t != nil && t.Born == change.Target.Born && now >= t.ColdUntil
}

// apply applies a change that has had an effect on the view.
func (c *coldLimiter) apply(now time.Duration, view *catalog.View, change catalog.Change, effect catalog.Effect) {
	for len(c.entryAt) < view.Slots() {
		c.entryAt = append(c.entryAt, 0)
		c.silentAt = append(c.silentAt, 0)
		c.placedWarm = append(c.placedWarm, nil)
	}
	switch effect {
	case catalog.ConfigurationApplied:
		c.services, c.limited = change.Configuration.ColdStarts, false
		for _, s := range c.services {
			c.limited = c.limited || s.RequestsPerSecond > 0
		}
	case catalog.TargetAdded, catalog.TargetChanged, catalog.TargetRestarted:
		t := view.Target(change.Target.ID)
		c.entryAt[t.Slot] = now
		if effect != catalog.TargetChanged {
			if effect == catalog.TargetRestarted && c.hasLimit(t) {
				// It may have started before any of these flows.
				c.allowance.Carry(coldstart.StartOf(t), c.placedWarm[t.Slot])
			}
			c.placedWarm[t.Slot] = nil
		}
		if c.wasWarm && now < t.ColdUntil {
			// It is cold again without a new start: the tokens were for the time before.
			c.allowance.Void(coldstart.StartOf(t))
		}
	case catalog.DomainRestored:
		if c.restoredAt == nil {
			c.restoredAt = make(map[string]time.Duration)
		}
		c.restoredAt[change.Evacuation.Domain] = now
	}
}

// forget drops tokens that are no longer of use.
func (c *coldLimiter) forget(now time.Duration, view *catalog.View) {
	c.allowance.Forget(now, isCold(now, view))
}

// isCold returns a function that reports whether a start is that of a cold target.
func isCold(now time.Duration, view *catalog.View) func(coldstart.Start) bool {
	return func(s coldstart.Start) bool {
		t := view.ByCookie(flow.Cookie(s.Cookie), nil)
		return t != nil && t.Born == s.Born && now < t.ColdUntil
	}
}

// AddGrants adds grants of this process: it may send new flows to cold targets.
func (f *Forwarder) AddGrants(now time.Duration, grants []relay.Grant) {
	f.cold.allowance.Grant(now, grants)
}

// ColdTokens returns the number of tokens of this VM for targets that are cold now.
func (f *Forwarder) ColdTokens(now time.Duration) int {
	return f.cold.allowance.Tokens(isCold(now, f.view))
}

// FlowsKeptFromColdTargets returns the number of SYNs for which a target was left out since it is
// cold and this VM may send it no more flows.
func (f *Forwarder) FlowsKeptFromColdTargets() uint64 { return f.cold.keptFlows }
