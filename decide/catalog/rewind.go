package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/revision"
)

const (
	// RewindGrace is how long after a rewind of the store what was known before takes
	// precedence over the older copy. Operators and targets write again what the store has
	// lost within about two seconds of its return; entries of targets that are not alive
	// expire in three of their reports.
	RewindGrace = 10 * time.Second
	// firstReadTime is how long after a rewind was noticed a change counts as part of the
	// copy, if the end of the first complete read is not reported by a change with Synced.
	firstReadTime = time.Second
	// maxRequests is the number of evacuation requests of a domain whose revisions are kept.
	maxRequests = 8
)

// rewind reconciles what a view knew before the store returned from an older copy of its
// data with that copy.
type rewind struct {
	eraKnown  bool
	era       uint32 // newest era seen
	rewound   bool
	noticedAt time.Duration // of the last rewind
	// firstRead is the revision of the first complete read in the era, or 0 before it.
	// Later writes are not part of the copy.
	firstRead revision.Revision
	// held are changes of the copy that contradict what was known, by heldKey. They are
	// applied at the end of RewindGrace.
	held map[heldKey]Change
}

// heldKey is the id of a target, or the failure domain of an evacuation.
type heldKey struct{ target, domain string }

// enter reports whether era is newer than the one known before.
func (r *rewind) enter(era uint32) (newer bool) {
	newer = r.eraKnown && era > r.era
	if newer || !r.eraKnown {
		r.eraKnown, r.era, r.firstRead = true, era, 0
	}
	return newer
}

// notice records the time at which a rewind was noticed.
func (r *rewind) notice(now time.Duration) {
	r.noticedAt = max(r.noticedAt, now)
	r.rewound = true
}

// fromCopy reports whether a change of the current era may come from the older copy, and
// thus be older than what was known before.
func (r *rewind) fromCopy(now time.Duration, c revision.Revision) bool {
	switch {
	case !r.rewound || now >= r.noticedAt+RewindGrace:
		return false
	case r.firstRead > 0:
		return c <= r.firstRead
	default:
		return now < r.noticedAt+firstReadTime
	}
}

func (r *rewind) hold(key heldKey, c Change) {
	if r.held == nil {
		r.held = make(map[heldKey]Change)
	}
	r.held[key] = c
}

// supersede forgets the held change of key if it is older than a change at c. It reports
// false if it is not older, so that the change at c is outdated.
func (r *rewind) supersede(key heldKey, c revision.Revision) bool {
	if c <= r.held[key].Revision {
		return false
	}
	delete(r.held, key)
	return true
}

// takeDue returns the held changes whose time has come, in a fixed order.
func (r *rewind) takeDue(now time.Duration) (due []Change) {
	if len(r.held) == 0 || now < r.noticedAt+RewindGrace {
		return nil
	}
	for _, c := range r.held {
		// One of an earlier era has not been written since.
		c.Revision = max(c.Revision, revision.New(r.era, 1))
		due = append(due, c)
	}
	clear(r.held)
	slices.SortFunc(due, func(a, b Change) int { return cmp.Compare(a.heldKey().String(), b.heldKey().String()) })
	return due
}

func (k heldKey) String() string { return k.target + "/" + k.domain }

func (c *Change) heldKey() heldKey {
	if c.Evacuation != nil {
		return heldKey{domain: c.Evacuation.Domain}
	}
	return heldKey{target: c.Target.ID}
}

// report is what a view knows of a target's last report.
type report struct {
	revision  revision.Revision // of the entry, or of its removal if the entry is not known
	born, seq int64
	state     TargetState
	gone      bool
	invalid   bool // a malformed entry followed
}

// judgement is what becomes of an entry of the copy.
type judgement uint8

const (
	believe judgement = iota // the entry replaces what is known
	confirm                  // what is known stays; the entry exists
	refuse                   // what is known stays until the target writes again
	hold                     // what is known stays until the end of RewindGrace
)

// judge decides on an entry of the copy. unchanged means that it equals the known one.
// A target never writes a lower (born, seq) than before, so that an entry with a lower or
// the same one is no news.
func judge(known report, e *Entry, unchanged bool) judgement {
	if known.born == 0 || e.Born == 0 {
		// The order is not known. To stop new flows is safe.
		if e.State == Draining || unchanged && !known.gone {
			return believe
		}
		return hold
	}
	order := cmp.Or(cmp.Compare(e.Born, known.born), cmp.Compare(e.Seq, known.seq))
	switch {
	case order > 0:
		return believe
	case !known.gone && !known.invalid:
		return confirm
	case known.state == Draining:
		return refuse
	default:
		// Its entry has expired or is malformed. It is alive if the store keeps the copy's.
		return hold
	}
}

// StoreRewound records that the store has returned from an older copy of its data, as
// noticed at now. This also ends an outage of the store.
func (v *View) StoreRewound(now time.Duration) {
	v.rewind.notice(now)
	v.StoreRegained(now)
}

// TakeHeld returns the changes of the older copy that contradicted what was known, and that
// the store still holds at the end of RewindGrace. The caller applies them. While the store is
// not reachable there are none: it may have been written since.
func (v *View) TakeHeld(now time.Duration) []Change {
	if v.storeLost {
		return nil
	}
	return v.rewind.takeDue(now)
}

// reconcile decides on an entry that may come from the older copy, and keeps what is known
// unless the entry is believed.
func (v *View) reconcile(now time.Duration, c revision.Revision, e *Entry) judgement {
	t := v.targets[e.ID]
	known := v.tombstones[e.ID].report
	if t != nil {
		known = t.report(now)
	}
	if known.revision == 0 || known.revision.Era() == c.Era() || !v.rewind.fromCopy(now, c) {
		return believe
	}
	decided := judge(known, e, t != nil && sameTarget(&t.Entry, e))
	switch {
	case decided == hold:
		v.rewind.hold(heldKey{target: e.ID}, Change{Revision: c, Target: e})
	case decided == confirm:
		t.Revision = c
		t.Listed = true
	case decided == refuse && t != nil:
		t.Revision = c
	case decided == refuse:
		tomb := v.tombstones[e.ID]
		tomb.revision = c
		v.tombstones[e.ID] = tomb
	}
	return decided
}

// sameTarget reports whether two entries differ at most in the remaining warm-up.
func sameTarget(a, b *Entry) bool {
	x, y := *a, *b
	x.Cold, y.Cold = 0, 0
	return x == y
}

// report returns what the view knows of the target's last report.
func (t *Target) report(now time.Duration) report {
	return report{revision: t.reported, born: t.Born, seq: t.Seq, state: t.State, gone: t.Gone(now), invalid: t.Invalid}
}

// endFirstRead unlists what the first complete read of an era after a rewind did not contain.
func (v *View) endFirstRead(now time.Duration, c revision.Revision) {
	if !v.rewind.rewound || v.rewind.firstRead > 0 {
		return
	}
	v.rewind.firstRead = c
	for id, t := range v.targets {
		if _, held := v.rewind.held[heldKey{target: id}]; !held && t.Revision.Era() < c.Era() {
			v.removeTarget(now, c, id)
		}
	}
	for domain, e := range v.evacuations {
		if _, held := v.rewind.held[heldKey{domain: domain}]; !held && e.active && e.revision.Era() < c.Era() {
			v.applyEvacuation(now, c, Evacuation{Domain: domain})
		}
	}
}

// evacuation is what a view knows of the evacuation of a failure domain.
type evacuation struct {
	revision revision.Revision // of the last change
	active   bool
	// requests are the numbers of the last requests in the era of revision. They show whether
	// a request in an older copy is known.
	requests []int64
}

// contradicts reports whether a change that may come from the older copy must not replace
// what was known. A request that the view has not seen is no part of the history that it
// knows, and is believed: late evacuation is worse than a premature one.
func (e *evacuation) contradicts(c revision.Revision, active bool) bool {
	if e.revision == 0 || e.revision.Era() == c.Era() || active == e.active {
		return false
	}
	return !active || slices.Contains(e.requests, c.Number())
}

// update records a change.
func (e *evacuation) update(c revision.Revision, active bool) {
	if c.Era() != e.revision.Era() && active != e.active {
		e.requests = nil
	}
	if active {
		e.requests = append(e.requests, c.Number())
		e.requests = e.requests[max(0, len(e.requests)-maxRequests):]
	}
	e.revision, e.active = c, active
}

// applyEvacuation starts or ends the evacuation of a failure domain. A request that is
// written again while it is active has no effect.
func (v *View) applyEvacuation(now time.Duration, c revision.Revision, e Evacuation) Effect {
	known := v.evacuations[e.Domain]
	key := heldKey{domain: e.Domain}
	if c <= known.revision || !v.rewind.supersede(key, c) {
		return Outdated
	}
	v.revision = max(v.revision, c)
	if v.rewind.fromCopy(now, c) && known.contradicts(c, e.Active) {
		v.rewind.hold(key, Change{Revision: c, Evacuation: &e})
		return NoEffect
	}
	wasActive := known.active
	known.update(c, e.Active)
	v.evacuations[e.Domain] = known
	switch {
	case e.Active == wasActive:
		return NoEffect
	case e.Active:
		return DomainEvacuated
	default:
		return DomainRestored
	}
}

// EvacuatedDomains returns the failure domains that are evacuated, sorted.
func (v *View) EvacuatedDomains() []string {
	domains := []string{}
	for domain, e := range v.evacuations {
		if e.active {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}
