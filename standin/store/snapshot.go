package store

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/gypsumspan/gypsumspan/store"
)

// ErrSnapshot means that a snapshot could not be written or read.
var ErrSnapshot = errors.New("snapshot of the store")

// snapshot is the JSON form of a store's contents. It has no leases: a restart takes longer
// than their TTL, so keys attached to a lease are deleted too.
type snapshot struct {
	Newest    int64           `json:"newest"`
	Compacted int64           `json:"compacted"`
	Writes    []snapshotWrite `json:"writes"` // in the order in which they were applied
}

type snapshotWrite struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Create  int64  `json:"create,omitempty"`
	Mod     int64  `json:"mod"`
	Version int64  `json:"version,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Save writes the contents with their history as JSON, in place of the store's files on
// disk. It revokes all leases. It returns ErrSnapshot.
func (e *Engine) Save(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(e.snapshot()); err != nil {
		return fmt.Errorf("%w: write: %w", ErrSnapshot, err)
	}
	return nil
}

func (e *Engine) snapshot() snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.leases {
		e.revokeLease(id)
	}
	s := snapshot{Newest: e.history.newest, Compacted: e.history.compacted}
	// The log has the order of the writes within a revision. For writes that were compacted
	// from the log that order does not matter.
	order := make(map[writeID]int, len(e.history.log))
	for i, event := range e.history.log {
		order[writeID{event.KV.Key, event.KV.ModRevision}] = i + 1
	}
	for _, writes := range e.history.writes {
		for _, w := range writes {
			s.Writes = append(s.Writes, snapshotWrite{
				Key: w.KV.Key, Value: w.KV.Value, Create: w.KV.CreateRevision,
				Mod: w.KV.ModRevision, Version: w.version, Deleted: w.Deleted,
			})
		}
	}
	slices.SortFunc(s.Writes, func(a, b snapshotWrite) int {
		return cmp.Or(cmp.Compare(a.Mod, b.Mod), cmp.Compare(order[a.id()], order[b.id()]))
	})
	return s
}

// writeID identifies one write of one key.
type writeID struct {
	key string
	mod int64
}

func (w snapshotWrite) id() writeID { return writeID{w.Key, w.Mod} }

// Load replaces the contents of a new engine with a snapshot written by Save. It returns
// ErrSnapshot.
func (e *Engine) Load(r io.Reader) error {
	var s snapshot
	if err := json.NewDecoder(r).Decode(&s); err != nil {
		return fmt.Errorf("%w: read: %w", ErrSnapshot, err)
	}
	h := newHistory()
	h.newest, h.compacted = s.Newest, s.Compacted
	for _, w := range s.Writes {
		event := store.Event{Deleted: w.Deleted, KV: store.KV{Key: w.Key, ModRevision: w.Mod}}
		if !w.Deleted {
			event.KV.Value = append([]byte{}, w.Value...) // empty, not nil
			event.KV.CreateRevision = w.Create
		}
		if i, ok := slices.BinarySearch(h.keys, w.Key); !ok {
			h.keys = slices.Insert(h.keys, i, w.Key)
		}
		h.writes[w.Key] = append(h.writes[w.Key], write{Event: event, version: w.Version})
		if w.Mod >= s.Compacted {
			h.log = append(h.log, event)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history = h
	return nil
}
