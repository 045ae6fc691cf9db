package catalog

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumspan/gypsumspan/decide/flow"
)

const (
	// LapseGrace is how long a removed entry is doubted after the store was
	// unavailable. Entries that lapsed meanwhile are back within about two seconds
	// of the store's return.
	LapseGrace = 2500 * time.Millisecond
	// goneRetention is how long a target is remembered after it has gone, so that
	// the packets of its flows are recognised. No flow is older than a minute.
	goneRetention = time.Minute
	// removedRetention is how long a removed route is remembered, for the same reason.
	removedRetention = time.Minute
)

// Target is a target that the view knows. Its fields change only through View.
type Target struct {
	Entry
	Cookie    flow.Cookie
	Slot      int           // small number that no other known target has
	Revision  int64         // of the last write of the entry
	ColdUntil time.Duration // the target is slow until then
	// Listed means that the entry exists and can be used.
	Listed bool
	// GoneAt is, for a target that is not listed, the time from which it counts as
	// gone.
	GoneAt time.Duration
	next   *Target // with the same cookie
}

// Gone reports whether the target has left or died, as far as the store tells.
func (t *Target) Gone(now time.Duration) bool {
	return !t.Listed && now >= t.GoneAt
}

// AcceptsFlows reports whether the target takes new flows. A lapsed entry does
// until it counts as gone.
func (t *Target) AcceptsFlows(now time.Duration) bool {
	return t.State == Ready && !t.Gone(now)
}

// View is the catalog as one VM knows it. It is not safe for concurrent use.
type View struct {
	config         *Configuration
	configRevision int64
	routes         map[flow.Endpoint]*Route
	removed        map[flow.Endpoint]time.Duration // removed routes, with the time

	targets  map[string]*Target
	tombs    map[string]tombstone // removed entries of targets that are not known
	byCookie map[flow.Cookie]*Target
	services map[string][]*Target // known targets, listed or not
	free     []int                // slots that can be used again
	slots    int
	revision int64 // of the targets: everything up to it was applied
	synced   bool
	syncedAt time.Duration
	complete bool

	storeLost   bool
	regainedAt  time.Duration
	wasRegained bool
	nextSweep   time.Duration
}

// tombstone is a removed entry.
type tombstone struct {
	revision int64
	at       time.Duration
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		routes:   make(map[flow.Endpoint]*Route),
		removed:  make(map[flow.Endpoint]time.Duration),
		targets:  make(map[string]*Target),
		tombs:    make(map[string]tombstone),
		byCookie: make(map[flow.Cookie]*Target),
		services: make(map[string][]*Target),
	}
}

// Effect says what a change did.
type Effect uint8

// The effects.
const (
	NoEffect Effect = iota
	Outdated
	ConfigurationApplied
	TargetAdded
	TargetChanged
	TargetRemoved
	Synced
)

// Apply merges a change. It ignores what is older than what it has.
func (v *View) Apply(now time.Duration, c Change) Effect {
	defer v.noteComplete()
	switch {
	case c.Configuration != nil:
		return v.configure(now, c.Revision, c.Configuration)
	case c.Target != nil:
		return v.put(now, c.Revision, c.Target)
	case c.Gone != "":
		return v.remove(now, c.Revision, c.Gone)
	case c.Synced:
		if !v.synced {
			v.synced = true
			v.syncedAt = now
		}
		v.revision = max(v.revision, c.Revision)
		return Synced
	default:
		return NoEffect
	}
}

// StoreLost notes that the store can't be reached.
func (v *View) StoreLost() { v.storeLost = true }

// StoreRegained notes that the store answers again.
func (v *View) StoreRegained(now time.Duration) {
	if v.storeLost {
		v.regainedAt = now
		v.wasRegained = true
	}
	v.storeLost = false
}

// Fresh reports whether the store answers and has done so for the time in which
// lapsed entries come back.
func (v *View) Fresh(now time.Duration) bool {
	return !v.storeLost && (!v.wasRegained || now >= v.regainedAt+LapseGrace)
}

func (v *View) configure(now time.Duration, revision int64, c *Configuration) Effect {
	if v.config != nil && (revision <= v.configRevision || c.Version < v.config.Version) {
		return Outdated
	}
	routes := make(map[flow.Endpoint]*Route, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		routes[r.Address] = r
		delete(v.removed, r.Address)
	}
	for address := range v.routes {
		if _, ok := routes[address]; !ok {
			v.removed[address] = now
		}
	}
	v.config = c
	v.configRevision = revision
	v.routes = routes
	return ConfigurationApplied
}

func (v *View) put(now time.Duration, revision int64, e *Entry) Effect {
	t := v.targets[e.ID]
	if t != nil && revision <= t.Revision || revision <= v.tombs[e.ID].revision {
		return Outdated
	}
	delete(v.tombs, e.ID)
	if t != nil && t.Service != e.Service {
		// An id that changes its service is another target.
		v.forget(t)
		t = nil
	}
	effect := TargetChanged
	if t == nil {
		t = v.add(e.ID, e.Service)
		effect = TargetAdded
	}
	if !t.Listed || t.Born != e.Born {
		t.ColdUntil = now + e.Cold
	}
	t.Entry = *e
	t.Revision = revision
	t.Listed = true
	v.revision = max(v.revision, revision)
	return effect
}

func (v *View) add(id, service string) *Target {
	t := &Target{Cookie: cookieOf(id), Slot: v.takeSlot()}
	v.targets[id] = t
	t.next = v.byCookie[t.Cookie]
	v.byCookie[t.Cookie] = t
	v.services[service] = append(v.services[service], t)
	return t
}

func (v *View) takeSlot() int {
	if n := len(v.free); n > 0 {
		slot := v.free[n-1]
		v.free = v.free[:n-1]
		return slot
	}
	v.slots++
	return v.slots - 1
}

// cookieOf returns the cookie of a target: 32 bits of a hash of its id, not 0.
// Targets with the same cookie are told apart by the service of the route.
func cookieOf(id string) flow.Cookie {
	return max(flow.Cookie(xxhash.Sum64String(id)), 1)
}

func (v *View) remove(now time.Duration, revision int64, id string) Effect {
	v.revision = max(v.revision, revision)
	t := v.targets[id]
	if t == nil {
		if revision > v.tombs[id].revision {
			v.tombs[id] = tombstone{revision: revision, at: now}
		}
		return NoEffect
	}
	if revision <= t.Revision {
		return Outdated
	}
	t.Revision = revision
	if !t.Listed {
		return NoEffect
	}
	t.Listed = false
	t.GoneAt = now
	if t.State == Ready && !v.Fresh(now) {
		t.GoneAt = max(now, v.regainedAt+LapseGrace)
	}
	return TargetRemoved
}

// Tick forgets targets and routes that are long gone, but for targets in use. It
// returns the time of the next call.
func (v *View) Tick(now time.Duration, inUse func(*Target) bool) time.Duration {
	const interval = 5 * time.Second
	if now < v.nextSweep {
		return v.nextSweep
	}
	v.nextSweep = now + interval
	for _, t := range v.targets {
		if !t.Listed && now >= t.GoneAt+goneRetention && !inUse(t) {
			v.forget(t)
		}
	}
	for id, tomb := range v.tombs {
		if now >= tomb.at+goneRetention {
			delete(v.tombs, id)
		}
	}
	for address, at := range v.removed {
		if now >= at+removedRetention {
			delete(v.removed, address)
		}
	}
	return v.nextSweep
}

func (v *View) forget(t *Target) {
	delete(v.targets, t.ID)
	v.tombs[t.ID] = tombstone{revision: t.Revision, at: v.nextSweep}
	v.unlinkCookie(t)
	list := v.services[t.Service]
	for i, other := range list {
		if other == t {
			// The list is copied: a caller may hold the old one.
			v.services[t.Service] = append(append([]*Target(nil), list[:i]...), list[i+1:]...)
			break
		}
	}
	v.free = append(v.free, t.Slot)
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

// Ready reports whether a configuration and the targets are in force. After the
// first reading a service without targets is waited for a little: its entries may
// have lapsed in an outage of the store.
func (v *View) Ready(now time.Duration) bool {
	if v.config == nil || !v.synced {
		return false
	}
	return v.complete || now >= v.syncedAt+LapseGrace
}

// noteComplete remembers whether every service that routes lead to has had targets.
func (v *View) noteComplete() {
	if v.complete || v.config == nil || !v.synced {
		return
	}
	for _, r := range v.config.Routes {
		for _, share := range r.Shares {
			if len(v.services[share.Service]) == 0 {
				return
			}
		}
	}
	v.complete = true
}

// Version returns the version of the configuration; 0 without one.
func (v *View) Version() uint64 {
	if v.config == nil {
		return 0
	}
	return v.config.Version
}

// Revision returns the revision up to which the targets are known.
func (v *View) Revision() int64 { return v.revision }

// IdleTimeout returns the age at which a flow without packets may be discarded;
// 0 when the configuration states none.
func (v *View) IdleTimeout() time.Duration {
	if v.config == nil {
		return 0
	}
	return v.config.IdleTimeout
}

// Route returns the route of an address, or nil.
func (v *View) Route(address flow.Endpoint) *Route { return v.routes[address] }

// RouteRemoved reports whether an earlier configuration had a route at address
// and the present one has none.
func (v *View) RouteRemoved(address flow.Endpoint) bool {
	_, ok := v.removed[address]
	return ok
}

// Target returns the target with the given id, or nil.
func (v *View) Target(id string) *Target { return v.targets[id] }

// Service returns the known targets of a service, also those that take no flows.
// The caller must not change the list.
func (v *View) Service(name string) []*Target { return v.services[name] }

// Slots returns a number above the slot of every target.
func (v *View) Slots() int { return v.slots }

// ByCookie returns the target that a cookie names, or nil. Among several, it
// prefers one that the route may use; route may be nil.
func (v *View) ByCookie(cookie flow.Cookie, route *Route) *Target {
	first := v.byCookie[cookie]
	if first == nil || first.next == nil || route == nil {
		return first
	}
	for t := first; t != nil; t = t.next {
		for _, share := range route.Shares {
			if share.Service == t.Service {
				return t
			}
		}
	}
	return first
}

// Routes calls yield for every route in force until it returns false.
func (v *View) Routes(yield func(*Route) bool) {
	for _, r := range v.routes {
		if !yield(r) {
			return
		}
	}
}

// Targets calls yield for every known target until it returns false.
func (v *View) Targets(yield func(*Target) bool) {
	for _, t := range v.targets {
		if !yield(t) {
			return
		}
	}
}
