package relay

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/revision"
)

// tombstoneRetention is the time for which a deleted key is kept. A VM that missed
// changes for longer gets a full snapshot.
const tombstoneRetention = 2 * time.Minute

// Item is the last write of one key of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision revision.Revision
	Deleted  bool
}

// storedItem is an item with the time at which it was merged.
type storedItem struct {
	Item
	mergedAt time.Duration
}

// Replica is a VM's copy of the catalog's keys. The highest revision of a key wins, so
// that the order in which items are merged does not matter.
type Replica struct {
	items          map[string]storedItem
	revision       revision.Revision // all writes up to this revision were merged
	prunedRevision revision.Revision // deletions up to this revision may be missing
}

// NewReplica returns an empty replica.
func NewReplica() *Replica { return &Replica{items: make(map[string]storedItem)} }

// Revision returns the revision up to which all writes were merged, 0 if the replica is
// empty.
func (r *Replica) Revision() revision.Revision { return r.revision }

// Len returns the number of keys, retained deletions included.
func (r *Replica) Len() int { return len(r.items) }

// Get returns the item of a key. It reports false for a deleted or unknown key.
func (r *Replica) Get(key string) (Item, bool) {
	stored, ok := r.items[key]
	return stored.Item, ok && !stored.Deleted
}

// Merge merges the writes up to revision and returns those that changed the replica, in
// the order given. With complete set, items hold every key that exists at revision. Keys
// that are missing are then deleted, and these deletions are returned last.
//
// Nothing is merged from an earlier era than that of the replica, and from a later one only a
// complete read: revisions of different eras have no common history.
func (r *Replica) Merge(now time.Duration, items []Item, revision revision.Revision, complete bool) []Item {
	if !r.accepts(revision, complete) {
		return nil
	}
	var changed []Item
	outdated := !complete || revision < r.revision
	for _, item := range items {
		if outdated && r.hasForgotten(item) {
			continue
		}
		if r.mergeOne(now, item) {
			changed = append(changed, item)
		}
	}
	if complete {
		changed = append(changed, r.deleteMissing(now, items, revision)...)
		// A complete read does not show which keys were deleted before it.
		r.prunedRevision = max(r.prunedRevision, revision)
	}
	r.revision = max(r.revision, revision)
	return changed
}

// accepts reports whether Merge uses an answer of the given revision.
func (r *Replica) accepts(revision revision.Revision, complete bool) bool {
	return revision.Era() == r.revision.Era() || complete && revision > r.revision
}

// hasForgotten reports whether an item was deleted and the deletion pruned: the replica held
// every key that existed at its revision, and it does not hold this one. An answer that was
// read earlier, and arrives late, may still contain such an item.
func (r *Replica) hasForgotten(item Item) bool {
	_, known := r.items[item.Key]
	return !known && item.Revision <= r.revision
}

func (r *Replica) mergeOne(now time.Duration, item Item) bool {
	if known, ok := r.items[item.Key]; ok && known.Revision >= item.Revision {
		return false
	}
	r.items[item.Key] = storedItem{Item: item, mergedAt: now}
	return true
}

// deleteMissing deletes the keys that a complete read at revision did not return and
// returns the deletions, sorted by key. A key that was written later stays.
func (r *Replica) deleteMissing(now time.Duration, items []Item, revision revision.Revision) []Item {
	found := make(map[string]struct{}, len(items))
	for _, item := range items {
		found[item.Key] = struct{}{}
	}
	var deleted []Item
	for key, stored := range r.items {
		if _, ok := found[key]; ok || stored.Deleted || stored.Revision > revision {
			continue
		}
		item := Item{Key: key, Revision: revision, Deleted: true}
		if r.mergeOne(now, item) {
			deleted = append(deleted, item)
		}
	}
	slices.SortFunc(deleted, compareKeys)
	return deleted
}

// Since returns the items written after revision, by ascending revision. If deletions
// after revision may have been pruned, or revision is 0, it returns all existing keys
// instead, and complete is true.
func (r *Replica) Since(revision revision.Revision) (items []Item, complete bool) {
	complete = revision < r.prunedRevision || revision == 0
	for _, stored := range r.items {
		if complete && stored.Deleted || !complete && stored.Revision <= revision {
			continue
		}
		items = append(items, stored.Item)
	}
	slices.SortFunc(items, func(a, b Item) int {
		if a.Revision != b.Revision {
			return int(min(max(a.Revision-b.Revision, -1), 1))
		}
		return compareKeys(a, b)
	})
	return items, complete
}

func compareKeys(a, b Item) int {
	switch {
	case a.Key < b.Key:
		return -1
	case a.Key > b.Key:
		return 1
	default:
		return 0
	}
}

// Prune removes deletions that are older than tombstoneRetention.
func (r *Replica) Prune(now time.Duration) {
	for key, stored := range r.items {
		if stored.Deleted && now-stored.mergedAt >= tombstoneRetention {
			r.prunedRevision = max(r.prunedRevision, stored.Revision)
			delete(r.items, key)
		}
	}
}
