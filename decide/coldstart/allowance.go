package coldstart

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/relay"
)

// Allowance holds the tokens of one process and how it has used them. The zero value has none.
// Times are those of the VM's monotonic clock.
type Allowance struct {
	usages map[Start]*usage
	// unsettled are the usages with flows at stepAt, see Settle.
	unsettled []*usage
	stepAt    time.Duration
}

// usage is the use of the tokens for one start.
type usage struct {
	tokens    int
	grantedAt time.Duration
	placed    []time.Duration // of the flows within spacing, oldest first
	unsettled int             // flows at Allowance.stepAt, not yet in placed
}

// Grant adds grants. A repeated grant replaces an equal one: tokens for the same start never add
// up, and a smaller grant that arrives late does not count.
func (a *Allowance) Grant(now time.Duration, grants []relay.Grant) {
	for _, g := range grants {
		u := a.usageOf(Start{Cookie: g.TargetCookie, Born: g.Born})
		u.tokens = max(u.tokens, int(g.Tokens))
		u.grantedAt = now
	}
}

// Carry counts flows against the tokens for a start that went to the target within the last second,
// when this VM did not know of the start yet. placed is in ascending order.
func (a *Allowance) Carry(start Start, placed []time.Duration) {
	u := a.usageOf(start)
	u.placed = append(slices.Clone(placed), u.placed...)
}

// usageOf returns the usage of a start, which it creates if needed.
func (a *Allowance) usageOf(start Start) *usage {
	if a.usages == nil {
		a.usages = make(map[Start]*usage)
	}
	u := a.usages[start]
	if u == nil {
		u = &usage{}
		a.usages[start] = u
	}
	return u
}

// Allows reports whether a new flow may go to a cold target now. Of n tokens, no n+1 flows are
// within a second.
func (a *Allowance) Allows(now time.Duration, start Start) bool {
	u := a.usages[start]
	if u == nil {
		return false
	}
	a.Settle(now)
	recent := u.unsettled
	for _, at := range u.placed {
		if now-at <= spacing {
			recent++
		}
	}
	return recent < u.tokens
}

// Place records that a new flow goes to a cold target. Allows must have returned true.
func (a *Allowance) Place(now time.Duration, start Start) {
	u := a.usages[start]
	if u == nil {
		return
	}
	a.Settle(now)
	if u.unsettled == 0 {
		a.unsettled = append(a.unsettled, u)
	}
	u.unsettled++
	a.stepAt = now
}

// Settle records the flows of an earlier step as placed now, and reports whether there are flows
// of this step. The duty that forwards packets handles many of them at the same time stamp, also
// such as arrive during the step. A flow counts from the next step on, since its caller may have
// sent it after the time stamp of its own. Settle is to be called early in each step.
func (a *Allowance) Settle(now time.Duration) (unsettled bool) {
	if len(a.unsettled) == 0 || now <= a.stepAt {
		return len(a.unsettled) > 0
	}
	for _, u := range a.unsettled {
		for range u.unsettled {
			u.placed = append(u.placed, now)
		}
		u.placed = slices.DeleteFunc(u.placed, func(at time.Duration) bool { return now-at > spacing })
		u.unsettled = 0
	}
	a.unsettled = a.unsettled[:0]
	return false
}

// Void takes the tokens for a start back: they were for a cold time that is over.
func (a *Allowance) Void(start Start) {
	if u := a.usages[start]; u != nil {
		u.tokens = 0
	}
}

// Forget drops tokens that were not granted again for a while and that are not for a cold
// target. It may be called rarely.
func (a *Allowance) Forget(now time.Duration, isCold func(Start) bool) {
	for start, u := range a.usages {
		if now-u.grantedAt >= usageRetention && u.unsettled == 0 && !isCold(start) {
			delete(a.usages, start)
		}
	}
}

// Tokens returns the number of tokens for starts that are cold.
func (a *Allowance) Tokens(isCold func(Start) bool) int {
	n := 0
	for start, u := range a.usages {
		if isCold(start) {
			n += u.tokens
		}
	}
	return n
}
