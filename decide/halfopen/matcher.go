package halfopen

import (
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/flow"
)

const (
	// maxEntries bounds the flows that a matcher keeps, of about 150 bytes each.
	maxEntries = 4096
	// maxUnopened is the number of targets of one flow that may hold it half-open: callers send three
	// SYNs, and the flow opens at one of their targets.
	maxUnopened = 2
	// sweepInterval is the time between two searches for expired entries.
	sweepInterval = time.Second
)

// Match is a flow of which two VMs have told different targets. An invalid address stands for the
// VM of the matcher.
type Match struct {
	Unopened   Unopened
	UnopenedAt netip.AddrPort // VM that has sent a SYN to the target of Unopened
	Opened     Opened
	OpenedAt   netip.AddrPort // VM at which the flow has opened
}

// Matcher is what a keeper knows of flows. The zero value is empty. It is not safe for concurrent
// use.
type Matcher struct {
	entries   map[attempt]*entry
	nextSweep time.Duration
	dropped   uint64
}

// attempt identifies a flow among those of its four-tuple.
type attempt struct {
	flow   flow.Key
	synSeq uint32
}

// entry is what VMs have told of one flow.
type entry struct {
	unopened  []toldUnopened
	opened    *toldOpened // nil: no VM has told of one
	expiresAt time.Duration
}

// toldUnopened is an unopened flow, whose age was that at the time of its receipt.
type toldUnopened struct {
	Unopened
	vm netip.AddrPort
	at time.Duration
}

// toldOpened is an opened flow, whose age was that at the time of its receipt.
type toldOpened struct {
	Opened
	vm netip.AddrPort
	at time.Duration
}

// Dropped returns the number of flows that were not kept for lack of room.
func (m *Matcher) Dropped() uint64 { return m.dropped }

// AddUnopened adds an unopened flow of a VM. It returns the match with the opened one, if there is
// one.
func (m *Matcher) AddUnopened(now time.Duration, u Unopened, vm netip.AddrPort) []Match {
	e := m.entry(now, attempt{u.Flow, u.SYNSeq})
	if e == nil {
		return nil
	}
	told := toldUnopened{Unopened: u, vm: vm, at: now}
	e.add(told)
	if e.opened == nil {
		return nil
	}
	return e.match(nil, now, told)
}

// AddOpened adds an opened flow of a VM. It returns the matches with unopened ones.
func (m *Matcher) AddOpened(now time.Duration, o Opened, vm netip.AddrPort) (list []Match) {
	e := m.entry(now, attempt{o.Flow, o.SYNSeq})
	if e == nil {
		return nil
	}
	e.opened = &toldOpened{Opened: o, vm: vm, at: now}
	for _, u := range e.unopened {
		list = e.match(list, now, u)
	}
	return list
}

// entry returns the entry of a flow, a new one if there is none, or nil if there is no room.
func (m *Matcher) entry(now time.Duration, a attempt) *entry {
	m.sweep(now)
	e := m.entries[a]
	if e == nil && len(m.entries) >= maxEntries {
		m.dropped++
		return nil
	}
	if e == nil {
		if m.entries == nil {
			m.entries = make(map[attempt]*entry)
		}
		e = &entry{}
		m.entries[a] = e
	}
	e.expiresAt = now + RepeatTime
	return e
}

// sweep removes expired entries.
func (m *Matcher) sweep(now time.Duration) {
	if now < m.nextSweep {
		return
	}
	m.nextSweep = now + sweepInterval
	for a, e := range m.entries {
		if now >= e.expiresAt {
			delete(m.entries, a)
		}
	}
}

// add adds an unopened flow, in place of an earlier one with the same target.
func (e *entry) add(u toldUnopened) {
	for i := range e.unopened {
		if e.unopened[i].TargetCookie == u.TargetCookie {
			e.unopened[i] = u
			return
		}
	}
	if len(e.unopened) < maxUnopened {
		e.unopened = append(e.unopened, u)
	}
}

// match appends the match of u with the opened flow to list, if their targets differ and the one of
// u may still hold the flow.
func (e *entry) match(list []Match, now time.Duration, u toldUnopened) []Match {
	unopened, opened := u.Unopened, e.opened.Opened
	unopened.Age += now - u.at
	opened.Age += now - e.opened.at
	if unopened.TargetCookie == opened.TargetCookie || unopened.Age >= RepeatTime {
		return list
	}
	return append(list, Match{Unopened: unopened, UnopenedAt: u.vm, Opened: opened, OpenedAt: e.opened.vm})
}
