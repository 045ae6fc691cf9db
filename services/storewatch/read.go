package storewatch

import (
	"context"
	"fmt"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/store"
)

const (
	// pageSize is the number of keys in one read.
	pageSize = 100
	// maxDeltaBytes and maxDeltaEntries bound one message to core. An entry alone
	// may be larger.
	maxDeltaBytes   = 256 << 10
	maxDeltaEntries = 256
)

// readAll hands the whole table to core, page by page at one revision, and a
// deletion for each key that the VM holds and the store does not.
func (s *Service) readAll(ctx context.Context) error {
	r := store.RangeRequest{Span: store.Prefix(table.Prefix), Limit: pageSize}
	found := make(map[string]struct{})
	for more := true; more; {
		s.reads.Add(1)
		page, err := s.config.Store.Range(ctx, r)
		if err != nil {
			return fmt.Errorf("read the table: %w", err)
		}
		if r.Revision == 0 {
			r.Revision = page.Revision
		}
		var entries []message.TableEntry
		for _, kv := range page.KVs {
			found[kv.Key] = struct{}{}
			r.After = kv.Key
			entries = append(entries, message.TableEntry{Key: kv.Key, Value: kv.Value, Revision: kv.ModRevision})
		}
		more = page.More && len(page.KVs) > 0
		if err := s.put(entries, more); err != nil {
			return err
		}
	}
	if err := s.put(s.missing(found, r.Revision), false); err != nil {
		return err
	}
	s.revision.Store(r.Revision)
	return nil
}

// missing returns deletions for the VM's keys that are not in found. The key was
// absent at the revision of the read, so a write that is newer still wins.
func (s *Service) missing(found map[string]struct{}, revision int64) []message.TableEntry {
	var entries []message.TableEntry
	for _, key := range s.config.LiveKeys() {
		if _, ok := found[key]; !ok {
			entries = append(entries, message.TableEntry{Key: key, Revision: revision})
		}
	}
	return entries
}

// watch hands every change after the last revision to core. It returns the error
// that ended the watch.
func (s *Service) watch(ctx context.Context, progress func()) error {
	s.watches.Add(1)
	watcher, err := s.config.Store.Watch(ctx, store.Prefix(table.Prefix), s.revision.Load()+1)
	if err != nil {
		return fmt.Errorf("watch the table: %w", err)
	}
	defer watcher.Close()
	for {
		batch, err := watcher.Next()
		if err == nil {
			err = ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("watch the table: %w", err)
		}
		var entries []message.TableEntry
		for _, event := range batch.Events {
			entries = append(entries, entryOf(event))
		}
		if err := s.put(entries, false); err != nil {
			return err
		}
		s.revision.Store(batch.Revision)
		progress()
	}
}

func entryOf(e store.Event) message.TableEntry {
	entry := message.TableEntry{Key: e.KV.Key, Revision: e.KV.ModRevision}
	if !e.Deleted {
		entry.Value = e.KV.Value
		if entry.Value == nil {
			// An empty value is not a deletion.
			entry.Value = []byte{}
		}
	}
	return entry
}

// put hands entries to core in messages of bounded size. It waits while core's
// ring is full.
func (s *Service) put(entries []message.TableEntry, more bool) error {
	for len(entries) > 0 {
		n := headOf(entries)
		delta := &message.TableDelta{Entries: entries[:n], More: more || n < len(entries)}
		m := message.Message{From: message.Address{Kind: message.PeerPlatform}, Body: delta}
		if err := s.inbox.Put(m); err != nil {
			return fmt.Errorf("hand the table to core: %w", err)
		}
		s.entries.Add(uint64(n))
		entries = entries[n:]
	}
	return nil
}

// headOf returns the number of entries that fit into one message, at least 1.
func headOf(entries []message.TableEntry) int {
	size := 0
	for i, e := range entries {
		size += len(e.Key) + len(e.Value)
		if i > 0 && (size > maxDeltaBytes || i >= maxDeltaEntries) {
			return i
		}
	}
	return len(entries)
}
