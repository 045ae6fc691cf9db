package store

import (
	"slices"

	"github.com/gypsumspan/gypsumspan/store"
)

// revision is one write of one key.
type revision struct {
	store.Event
	version int64 // number of writes since the key was created
}

// history keeps the writes of all keys, as a store with multiple versions does.
type history struct {
	newest    int64 // revision of the last transaction
	compacted int64 // reads and watches below it are refused
	keys      []string
	writes    map[string][]revision // per key, ascending
	log       []store.Event         // ascending
}

func newHistory() *history {
	// The first write of an empty etcd has revision 2.
	return &history{newest: 1, writes: make(map[string][]revision)}
}

// at returns the key's last write up to the given revision.
func (h *history) at(key string, at int64) (revision, bool) {
	writes := h.writes[key]
	for i := len(writes) - 1; i >= 0; i-- {
		if writes[i].KV.ModRevision <= at {
			return writes[i], !writes[i].Deleted
		}
	}
	return revision{}, false
}

func (h *history) put(kv store.KV) {
	old, exists := h.at(kv.Key, h.newest)
	kv.ModRevision = h.newest
	kv.CreateRevision = h.newest
	if exists {
		kv.CreateRevision = old.KV.CreateRevision
	}
	if i, ok := slices.BinarySearch(h.keys, kv.Key); !ok {
		h.keys = slices.Insert(h.keys, i, kv.Key)
	}
	h.record(revision{Event: store.Event{KV: kv}, version: old.version + 1})
}

// remove deletes a key and reports whether it existed.
func (h *history) remove(key string) bool {
	if _, exists := h.at(key, h.newest); !exists {
		return false
	}
	h.record(revision{Event: store.Event{Deleted: true, KV: store.KV{Key: key, ModRevision: h.newest}}})
	return true
}

func (h *history) record(r revision) {
	h.writes[r.KV.Key] = append(h.writes[r.KV.Key], r)
	h.log = append(h.log, r.Event)
}

// scope is a set of keys in the form of the protocol.
type scope struct {
	start, end string
}

func scopeOf(span store.Span) scope {
	return scope{start: span.Key, end: span.End()}
}

func (s scope) contains(key string) bool {
	switch s.end {
	case "":
		return key == s.start
	case "\x00":
		return key >= s.start
	default:
		return key >= s.start && key < s.end
	}
}

// scan returns the keys of a scope at a revision, up to a limit, and the number
// of all keys in the scope.
func (h *history) scan(s scope, at, limit int64) (found []revision, count int64) {
	first, _ := slices.BinarySearch(h.keys, s.start)
	for _, key := range h.keys[first:] {
		if !s.contains(key) {
			break
		}
		r, exists := h.at(key, at)
		if !exists {
			continue
		}
		count++
		if limit == 0 || count <= limit {
			found = append(found, r)
		}
	}
	return found, count
}

// compact drops what is only needed for revisions below oldest.
func (h *history) compact(oldest int64) {
	h.compacted = max(h.compacted, min(oldest, h.newest))
	drop, _ := slices.BinarySearchFunc(h.log, h.compacted, func(e store.Event, at int64) int {
		return int(e.KV.ModRevision - at)
	})
	h.log = slices.Clone(h.log[drop:])
	h.keys = slices.DeleteFunc(h.keys, h.compactKey)
}

// compactKey drops the key's old writes and reports whether none are left.
func (h *history) compactKey(key string) bool {
	writes := h.writes[key]
	for len(writes) > 1 && writes[1].KV.ModRevision <= h.compacted {
		writes = writes[1:]
	}
	if len(writes) == 1 && writes[0].Deleted && writes[0].KV.ModRevision <= h.compacted {
		delete(h.writes, key)
		return true
	}
	h.writes[key] = slices.Clone(writes)
	return false
}

// since returns the writes of a scope from a revision on.
func (h *history) since(s scope, from int64) []store.Event {
	first, _ := slices.BinarySearchFunc(h.log, from, func(e store.Event, at int64) int {
		return int(e.KV.ModRevision - at)
	})
	var events []store.Event
	for _, e := range h.log[first:] {
		if s.contains(e.KV.Key) {
			events = append(events, e)
		}
	}
	return events
}
