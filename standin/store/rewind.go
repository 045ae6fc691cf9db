package store

import (
	"maps"
	"slices"

	"github.com/gypsumspan/gypsumspan/store"
)

// Copy is the state of an Engine at one time, to which Rewind returns.
type Copy struct {
	history *history
	leases  map[store.LeaseID]*lease
}

// Copy returns a copy of the contents and leases.
func (e *Engine) Copy() *Copy {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLeases(e.options.Clock.Now())
	return &Copy{history: e.history.clone(), leases: cloneLeases(e.leases)}
}

// Rewind replaces the contents and leases by a copy, as the restoration of a store from a
// backup does. What was written and granted since the copy is gone, revisions are given out
// again, the era rises by one, and open watches end. Identifiers of leases are not given out
// again.
func (e *Engine) Rewind(c *Copy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endWatches()
	e.history, e.leases = c.history.clone(), cloneLeases(c.leases)
	e.era++
}

// Position returns the era and the newest revision.
func (e *Engine) Position() (era uint32, revision int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era, e.history.newest
}

// clone returns a copy. Writes are never changed, so that the copies share them.
func (h *history) clone() *history {
	c := *h
	c.keys = slices.Clone(h.keys)
	c.log = slices.Clone(h.log)
	c.writes = make(map[string][]write, len(h.writes))
	for key, writes := range h.writes {
		c.writes[key] = slices.Clone(writes)
	}
	return &c
}

func cloneLeases(leases map[store.LeaseID]*lease) map[store.LeaseID]*lease {
	c := make(map[store.LeaseID]*lease, len(leases))
	for id, l := range leases {
		c[id] = &lease{ttl: l.ttl, expires: l.expires, keys: maps.Clone(l.keys)}
	}
	return c
}
