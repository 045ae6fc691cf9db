package catalog

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumspan/gypsumspan/decide/flow"
	"github.com/gypsumspan/gypsumspan/decide/revision"
)

const (
	// LapseGrace is how long after a store outage a target that was ready does not count
	// as gone although its entry is removed, and how long Ready waits for the targets of
	// all services. Entries whose lease expired during the outage are written again
	// within about two seconds of its end.
	LapseGrace = 2500 * time.Millisecond
	// lateRemovalTime is how long after an outage a removal may be of that outage. The catalog of a
	// VM is up to 70% of the bound for changes behind the store, and the entry that the target has
	// written again follows as late as its removal.
	lateRemovalTime = 2 * LapseGrace
	// targetRetention is the minimum time for which a target is kept after it is gone, so
	// that packets of its flows are recognised, and for which a tombstone is kept. Flows
	// last at most a minute.
	targetRetention = time.Minute
	// routeRetention is how long a removed route is kept, for the same reason.
	routeRetention = time.Minute
)

// Target is a target in the view. Only View changes its fields.
type Target struct {
	Entry
	Cookie    flow.Cookie
	Slot      int               // small index, unique in the view; unrelated to Entry.Slots
	Revision  revision.Revision // of the last write to the entry
	ColdUntil time.Duration     // end of the warm-up, as far as the entries show it
	// Listed is set while the entry exists and is valid.
	Listed bool
	// Invalid is set while the entry is malformed.
	Invalid bool
	// GoneAt is the time from which a target that is not listed counts as gone.
	GoneAt   time.Duration
	reported revision.Revision // of the last entry that was believed
	next     *Target           // next target with the same cookie
}

// Gone reports whether the target has left or died according to the store.
func (t *Target) Gone(now time.Duration) bool {
	return !t.Listed && now >= t.GoneAt
}

// AcceptsFlows reports whether the target accepts new flows. A target whose entry has
// lapsed does until it counts as gone.
func (t *Target) AcceptsFlows(now time.Duration) bool {
	return t.State == Ready && !t.Invalid && !t.Gone(now)
}

// View is the catalog as seen by one VM. It is not safe for concurrent use.
type View struct {
	config         *Configuration
	configRevision revision.Revision
	routes         map[flow.Endpoint]*Route
	removedRoutes  map[flow.Endpoint]time.Duration // time of removal

	targets         map[string]*Target
	tombstones      map[string]tombstone // by id, of unknown and forgotten targets
	byCookie        map[flow.Cookie]*Target
	services        map[string][]*Target // targets by service, listed or not
	replaced        []*Target            // targets whose id has another service now
	freeSlots       []int                // slots of forgotten targets, for reuse
	slots           int                  // number of slots in use or in freeSlots
	revision        revision.Revision    // see Revision
	synced          bool
	syncedAt        time.Duration // time of the first Synced
	allServicesSeen bool          // every service in a route has had a target

	evacuations map[string]evacuation // by failure domain
	rewind      rewind

	storeLost  bool
	regainedAt time.Duration
	hadOutage  bool
	nextSweep  time.Duration
}

// tombstone records the last revision of a removed entry, so that an older write does
// not restore it.
type tombstone struct {
	revision revision.Revision
	at       time.Duration // start of its retention
	report   report        // the last one, if the target was known
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		routes:        make(map[flow.Endpoint]*Route),
		removedRoutes: make(map[flow.Endpoint]time.Duration),
		targets:       make(map[string]*Target),
		tombstones:    make(map[string]tombstone),
		byCookie:      make(map[flow.Cookie]*Target),
		services:      make(map[string][]*Target),
		evacuations:   make(map[string]evacuation),
	}
}

// Apply applies a change and returns its effect. Outdated changes are ignored, among them all
// of an earlier era of the store.
func (v *View) Apply(now time.Duration, c Change) Effect {
	defer v.updateServicesSeen()
	if v.rewind.enter(c.Revision.Era()) {
		v.StoreRewound(now)
	}
	if c.Revision.Era() < v.rewind.era {
		return Outdated
	}
	switch {
	case c.Configuration != nil:
		return v.applyConfiguration(now, c.Revision, c.Configuration)
	case c.Target != nil:
		return v.putTarget(now, c.Revision, c.Target)
	case c.RemovedTarget != "":
		return v.removeTarget(now, c.Revision, c.RemovedTarget)
	case c.InvalidTarget != "":
		return v.invalidateTarget(now, c.Revision, c.InvalidTarget)
	case c.Evacuation != nil:
		return v.applyEvacuation(now, c.Revision, *c.Evacuation)
	case c.Synced:
		if !v.synced {
			v.synced = true
			v.syncedAt = now
		}
		v.revision = max(v.revision, c.Revision)
		v.endFirstRead(now, c.Revision)
		return Synced
	default:
		return NoEffect
	}
}

// StoreLost records that the store has become unreachable.
func (v *View) StoreLost() { v.storeLost = true }

// StoreIsLost reports whether the store is unreachable.
func (v *View) StoreIsLost() bool { return v.storeLost }

// StoreRegained records that an outage of the store has ended at the given time, also one
// that this VM has not noticed.
func (v *View) StoreRegained(at time.Duration) {
	if !v.hadOutage || at > v.regainedAt {
		v.regainedAt = at
	}
	v.hadOutage = true
	v.storeLost = false
}

// Fresh reports whether the store is reachable and the last outage, if any, ended at
// least LapseGrace ago.
func (v *View) Fresh(now time.Duration) bool {
	return !v.storeLost && (!v.hadOutage || now >= v.regainedAt+LapseGrace)
}

// Rewound reports whether the store has returned from an older copy less than RewindGrace ago.
func (v *View) Rewound(now time.Duration) bool {
	return v.rewind.rewound && now < v.rewind.noticedAt+RewindGrace
}

// applyConfiguration replaces the configuration unless c has an older revision or version.
func (v *View) applyConfiguration(now time.Duration, revision revision.Revision, c *Configuration) Effect {
	if v.config != nil && (revision <= v.configRevision || c.Version < v.config.Version) {
		return Outdated
	}
	routes := make(map[flow.Endpoint]*Route, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		routes[r.Address] = r
		delete(v.removedRoutes, r.Address)
	}
	for address := range v.routes {
		if _, ok := routes[address]; !ok {
			v.removedRoutes[address] = now
		}
	}
	v.config = c
	v.configRevision = revision
	v.routes = routes
	return ConfigurationApplied
}

// Evacuated reports whether the operators have requested that the targets of a failure
// domain get no new flows.
func (v *View) Evacuated(domain string) bool { return v.evacuations[domain].active }

// AcceptsFlows reports whether new flows may go to t: it accepts them, and its failure domain
// is not evacuated.
func (v *View) AcceptsFlows(now time.Duration, t *Target) bool {
	return t.AcceptsFlows(now) && !v.Evacuated(t.Domain)
}

func (v *View) putTarget(now time.Duration, revision revision.Revision, e *Entry) Effect {
	t := v.targets[e.ID]
	if t != nil && revision <= t.Revision || revision <= v.tombstones[e.ID].revision || !v.rewind.supersede(heldKey{target: e.ID}, revision) {
		return Outdated
	}
	v.revision = max(v.revision, revision)
	if v.reconcile(now, revision, e) != believe {
		return NoEffect
	}
	delete(v.tombstones, e.ID)
	if t != nil && t.Service != e.Service {
		// The same id with another service is a new target. The slot of the old one stays
		// in use while flows to it are open.
		v.unlink(t)
		t.Listed, t.GoneAt = false, now
		v.replaced = append(v.replaced, t)
		t = nil
	}
	effect := TargetChanged
	if t == nil {
		t = v.addTarget(e.ID, e.Service)
		effect = TargetAdded
	}
	restarted := effect == TargetChanged && t.Born != e.Born
	if restarted {
		effect = TargetRestarted
	}
	switch end := now + e.Cold; {
	case !t.Listed || restarted || e.Cold > t.Cold:
		t.ColdUntil = end
	default:
		// Entries arrive late, so that each is an upper bound of the end.
		t.ColdUntil = min(t.ColdUntil, end)
	}
	t.Entry = *e
	t.Revision, t.reported = revision, revision
	t.Listed, t.Invalid = true, false
	return effect
}

func (v *View) addTarget(id, service string) *Target {
	t := &Target{Cookie: CookieOf(id), Slot: v.allocateSlot()}
	v.targets[id] = t
	t.next = v.byCookie[t.Cookie]
	v.byCookie[t.Cookie] = t
	v.services[service] = append(v.services[service], t)
	return t
}

// allocateSlot returns a slot that no target has, and reuses freed ones.
func (v *View) allocateSlot() int {
	if n := len(v.freeSlots); n > 0 {
		slot := v.freeSlots[n-1]
		v.freeSlots = v.freeSlots[:n-1]
		return slot
	}
	v.slots++
	return v.slots - 1
}

// CookieOf returns the cookie of a target: the low 32 bits of the xxHash of its id,
// never 0. ByCookie distinguishes targets with equal cookies by their service.
func CookieOf(id string) flow.Cookie {
	return max(flow.Cookie(xxhash.Sum64String(id)), 1)
}

// removeTarget unlists a target. If the target was ready and the view is not fresh, the
// target does not count as gone until LapseGrace after the last end of an outage.
func (v *View) removeTarget(now time.Duration, revision revision.Revision, id string) Effect {
	v.revision = max(v.revision, revision)
	t := v.targets[id]
	if t != nil && revision <= t.Revision || !v.rewind.supersede(heldKey{target: id}, revision) {
		return Outdated
	}
	if t == nil {
		if tomb := v.tombstones[id]; revision > tomb.revision {
			known := tomb.report
			if known.born == 0 {
				known = report{revision: revision, gone: true}
			}
			v.tombstones[id] = tombstone{revision: revision, at: now, report: known}
		}
		return NoEffect
	}
	t.Revision = revision
	if !t.Listed {
		return NoEffect
	}
	t.Listed = false
	t.GoneAt = now
	if t.State == Ready && !v.Fresh(now) {
		t.GoneAt = max(now, v.regainedAt+LapseGrace)
	} else if t.State == Ready && v.hadOutage && now < v.regainedAt+lateRemovalTime {
		t.GoneAt = now + LapseGrace
	}
	return TargetRemoved
}

// invalidateTarget unlists a target whose entry is malformed. It accepts no new flows, but
// its open ones go on: a target that lives writes a valid entry with its next heartbeat. It
// does not count as gone until LapseGrace after the malformed entry.
func (v *View) invalidateTarget(now time.Duration, revision revision.Revision, id string) Effect {
	effect := v.removeTarget(now, revision, id)
	if effect == TargetRemoved {
		t := v.targets[id]
		t.Invalid = true
		t.GoneAt = max(t.GoneAt, now+LapseGrace)
	}
	return effect
}

// Tick forgets gone targets, tombstones and removed routes after their retention, except
// targets for which inUse returns true. It returns the time of the next call.
func (v *View) Tick(now time.Duration, inUse func(*Target) bool) time.Duration {
	const interval = 5 * time.Second
	if now < v.nextSweep {
		return v.nextSweep
	}
	v.nextSweep = now + interval
	for _, t := range v.targets {
		if !t.Listed && now >= t.GoneAt+targetRetention && !inUse(t) {
			v.forgetTarget(t)
		}
	}
	v.replaced = slices.DeleteFunc(v.replaced, func(t *Target) bool {
		forget := now >= t.GoneAt+targetRetention && !inUse(t)
		if forget {
			v.freeSlots = append(v.freeSlots, t.Slot)
		}
		return forget
	})
	for id, tomb := range v.tombstones {
		if now >= tomb.at+targetRetention {
			delete(v.tombstones, id)
		}
	}
	for address, at := range v.removedRoutes {
		if now >= at+routeRetention {
			delete(v.removedRoutes, address)
		}
	}
	return v.nextSweep
}

// forgetTarget removes a target whose slot can be reused.
func (v *View) forgetTarget(t *Target) {
	v.unlink(t)
	known := t.report(v.nextSweep)
	v.tombstones[t.ID] = tombstone{revision: t.Revision, at: v.nextSweep, report: known}
	v.freeSlots = append(v.freeSlots, t.Slot)
}

// unlink removes a target from the indexes.
func (v *View) unlink(t *Target) {
	delete(v.targets, t.ID)
	v.unlinkCookie(t)
	list := v.services[t.Service]
	for i, other := range list {
		if other == t {
			// Copies the slice, since Service may have returned the old one.
			v.services[t.Service] = append(append([]*Target(nil), list[:i]...), list[i+1:]...)
			break
		}
	}
}

func (v *View) unlinkCookie(t *Target) {
	if v.byCookie[t.Cookie] == t {
		if t.next == nil {
			delete(v.byCookie, t.Cookie)
		} else {
			v.byCookie[t.Cookie] = t.next
		}
		return
	}
	for other := v.byCookie[t.Cookie]; other != nil; other = other.next {
		if other.next == t {
			other.next = t.next
			return
		}
	}
}

// Ready reports whether the configuration and the targets have been read, so that the VM
// can place flows. While a route leads to a service that has had no target yet, this is
// delayed until LapseGrace after the initial read: the entries of its targets may have
// lapsed during a store outage.
func (v *View) Ready(now time.Duration) bool {
	if v.config == nil || !v.synced {
		return false
	}
	return v.allServicesSeen || now >= v.syncedAt+LapseGrace
}

// SyncedAt returns the time of the initial read; ok is false before it.
func (v *View) SyncedAt() (at time.Duration, ok bool) { return v.syncedAt, v.synced }

// updateServicesSeen sets allServicesSeen once every service in a route has targets,
// listed or not, after the initial read.
func (v *View) updateServicesSeen() {
	if v.allServicesSeen || v.config == nil || !v.synced {
		return
	}
	for _, r := range v.config.Routes {
		for _, share := range r.Shares {
			if len(v.services[share.Service]) == 0 {
				return
			}
		}
	}
	v.allServicesSeen = true
}

// Version returns the version of the configuration, or 0 without one.
func (v *View) Version() uint64 {
	if v.config == nil {
		return 0
	}
	return v.config.Version
}

// Revision returns the highest store revision among the applied changes of targets and
// the changes with Synced set.
func (v *View) Revision() revision.Revision { return v.revision }

// IdleTimeout returns how long a flow without packets is kept, or 0 when the
// configuration does not set it.
func (v *View) IdleTimeout() time.Duration {
	if v.config == nil {
		return 0
	}
	return v.config.IdleTimeout
}

// Route returns the route of an address, or nil.
func (v *View) Route(address flow.Endpoint) *Route { return v.routes[address] }

// RouteRemoved reports whether a recent configuration had a route for address and the
// current one has none.
func (v *View) RouteRemoved(address flow.Endpoint) bool {
	_, ok := v.removedRoutes[address]
	return ok
}

// Target returns the target with the given id, or nil.
func (v *View) Target(id string) *Target { return v.targets[id] }

// Service returns all targets of a service, including those that accept no flows. The
// slice must not be modified.
func (v *View) Service(name string) []*Target { return v.services[name] }

// Slots returns an upper bound of the slots: every target has a smaller one.
func (v *View) Slots() int { return v.slots }

// ByCookie returns the target with the given cookie, or nil. Among several it prefers
// one of a service of route, which may be nil.
func (v *View) ByCookie(cookie flow.Cookie, route *Route) *Target {
	first := v.byCookie[cookie]
	if first == nil || first.next == nil || route == nil {
		return first
	}
	for t := first; t != nil; t = t.next {
		if route.Names(t.Service) {
			return t
		}
	}
	return first
}

// Routes calls yield for every current route until it returns false.
func (v *View) Routes(yield func(*Route) bool) {
	for _, r := range v.routes {
		if !yield(r) {
			return
		}
	}
}

// Targets calls yield for every target of the view until it returns false.
func (v *View) Targets(yield func(*Target) bool) {
	for _, t := range v.targets {
		if !yield(t) {
			return
		}
	}
}
