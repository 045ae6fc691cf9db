package relay

import (
	"slices"
	"time"
)

// tombstoneRetention is how long a deletion is remembered. A VM that has missed
// news for longer gets everything.
const tombstoneRetention = 2 * time.Minute

// Item is one key of the store at its last write.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// held is an item with the time at which it was merged.
type held struct {
	Item
	at time.Duration
}

// Replica is a VM's copy of the catalog's keys. Per key the highest revision wins,
// so that replicas with the same items are equal whatever the order.
type Replica struct {
	items    map[string]held
	revision int64 // everything up to it was merged
	pruned   int64 // deletions up to this revision may not be known
}

// NewReplica returns an empty replica.
func NewReplica() *Replica { return &Replica{items: make(map[string]held)} }

// Revision returns the revision up to which everything was merged; 0: nothing yet.
func (r *Replica) Revision() int64 { return r.revision }

// Len returns the number of keys, deleted ones included.
func (r *Replica) Len() int { return len(r.items) }

// Get returns the item of a key that exists.
func (r *Replica) Get(key string) (Item, bool) {
	h, ok := r.items[key]
	return h.Item, ok && !h.Deleted
}

// Merge takes in items and returns those that are news, in the order given.
// complete means that items hold every key that exists at revision.
func (r *Replica) Merge(now time.Duration, items []Item, revision int64, complete bool) []Item {
	var news []Item
	for _, item := range items {
		if r.mergeOne(now, item) {
			news = append(news, item)
		}
	}
	if complete {
		news = append(news, r.deleteMissing(now, items, revision)...)
		// A whole reading does not show which keys were deleted before it.
		r.pruned = max(r.pruned, revision)
	}
	r.revision = max(r.revision, revision)
	return news
}

func (r *Replica) mergeOne(now time.Duration, item Item) bool {
	if known, ok := r.items[item.Key]; ok && known.Revision >= item.Revision {
		return false
	}
	r.items[item.Key] = held{Item: item, at: now}
	return true
}

// deleteMissing deletes the keys that a whole reading at revision did not find. A
// key that was written later stays.
func (r *Replica) deleteMissing(now time.Duration, items []Item, revision int64) []Item {
	found := make(map[string]struct{}, len(items))
	for _, item := range items {
		found[item.Key] = struct{}{}
	}
	var news []Item
	for key, h := range r.items {
		if _, ok := found[key]; ok || h.Deleted || h.Revision > revision {
			continue
		}
		item := Item{Key: key, Revision: revision, Deleted: true}
		if r.mergeOne(now, item) {
			news = append(news, item)
		}
	}
	slices.SortFunc(news, byKey)
	return news
}

// Since returns the items written after revision, by rising revision. complete
// means that they are all that exist, since deletions after revision may have
// been forgotten.
func (r *Replica) Since(revision int64) (items []Item, complete bool) {
	complete = revision < r.pruned || revision == 0
	for _, h := range r.items {
		if complete && h.Deleted || !complete && h.Revision <= revision {
			continue
		}
		items = append(items, h.Item)
	}
	slices.SortFunc(items, func(a, b Item) int {
		if a.Revision != b.Revision {
			return int(min(max(a.Revision-b.Revision, -1), 1))
		}
		return byKey(a, b)
	})
	return items, complete
}

func byKey(a, b Item) int {
	switch {
	case a.Key < b.Key:
		return -1
	case a.Key > b.Key:
		return 1
	default:
		return 0
	}
}

// Prune forgets old deletions.
func (r *Replica) Prune(now time.Duration) {
	for key, h := range r.items {
		if h.Deleted && now-h.at >= tombstoneRetention {
			r.pruned = max(r.pruned, h.Revision)
			delete(r.items, key)
		}
	}
}
