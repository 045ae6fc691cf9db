package store

import (
	"slices"

	"github.com/gypsumspan/gypsumspan/store"
)

// write is a put or a deletion of one key.
type write struct {
	store.Event
	version int64 // number of puts since the key was created, as in etcd
}

// history stores all versions of all keys (multi-version concurrency control).
type history struct {
	newest    int64              // revision of the last committed write
	compacted int64              // oldest available revision; reads and watches of earlier ones fail
	keys      []string           // sorted
	writes    map[string][]write // by key, in ascending order of revision
	log       []store.Event      // all keys in ascending order of revision
}

func newHistory() *history {
	// The first write of an empty etcd has revision 2.
	return &history{newest: 1, writes: make(map[string][]write)}
}

// lookup returns the newest write of a key up to a revision, and whether the key exists at
// that revision.
func (h *history) lookup(key string, revision int64) (write, bool) {
	writes := h.writes[key]
	for i := len(writes) - 1; i >= 0; i-- {
		if writes[i].KV.ModRevision <= revision {
			return writes[i], !writes[i].Deleted
		}
	}
	return write{}, false
}

func (h *history) put(kv store.KV) {
	old, exists := h.lookup(kv.Key, h.newest)
	kv.ModRevision = h.newest
	kv.CreateRevision = h.newest
	if exists {
		kv.CreateRevision = old.KV.CreateRevision
	}
	if i, ok := slices.BinarySearch(h.keys, kv.Key); !ok {
		h.keys = slices.Insert(h.keys, i, kv.Key)
	}
	h.record(write{Event: store.Event{KV: kv}, version: old.version + 1})
}

// markDeleted records the deletion of a key and reports whether the key existed.
func (h *history) markDeleted(key string) bool {
	if _, exists := h.lookup(key, h.newest); !exists {
		return false
	}
	h.record(write{Event: store.Event{Deleted: true, KV: store.KV{Key: key, ModRevision: h.newest}}})
	return true
}

func (h *history) record(r write) {
	h.writes[r.KV.Key] = append(h.writes[r.KV.Key], r)
	h.log = append(h.log, r.Event)
}

// keyRange is a set of keys as etcd encodes it: without an end only the key start, with the
// end "\x00" all keys from start on, otherwise the keys from start up to, but not including,
// end.
type keyRange struct {
	start, end string
}

func rangeOf(span store.Span) keyRange {
	return keyRange{start: span.Key, end: span.End()}
}

func (s keyRange) contains(key string) bool {
	switch s.end {
	case "":
		return key == s.start
	case "\x00":
		return key >= s.start
	default:
		return key >= s.start && key < s.end
	}
}

// scan returns the keys of a range that exist at a revision, at most limit of them (0: all),
// and the number of all such keys.
func (h *history) scan(s keyRange, revision, limit int64) (found []write, count int64) {
	first, _ := slices.BinarySearch(h.keys, s.start)
	for _, key := range h.keys[first:] {
		if !s.contains(key) {
			break
		}
		r, exists := h.lookup(key, revision)
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

// compact discards the writes that only reads before revision oldest need.
func (h *history) compact(oldest int64) {
	h.compacted = max(h.compacted, min(oldest, h.newest))
	drop, _ := slices.BinarySearchFunc(h.log, h.compacted, func(e store.Event, at int64) int {
		return int(e.KV.ModRevision - at)
	})
	h.log = slices.Clone(h.log[drop:])
	h.keys = slices.DeleteFunc(h.keys, h.compactKey)
}

// compactKey discards the obsolete writes of a key and reports whether none are left.
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

// eventsSince returns the events of a key range from a revision on.
func (h *history) eventsSince(s keyRange, revision int64) []store.Event {
	first, _ := slices.BinarySearchFunc(h.log, revision, func(e store.Event, at int64) int {
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
