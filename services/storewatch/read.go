package storewatch

import (
	"context"
	"fmt"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/store"
)

const (
	// pageSize is the number of keys in one page of a full read.
	pageSize = 100
	// maxDeltaBytes (of keys and values) and maxDeltaEntries bound one message to core. A
	// single entry may exceed maxDeltaBytes.
	maxDeltaBytes   = 256 << 10
	maxDeltaEntries = 256
)

// readAll passes the whole table to core, page by page at one revision, and then a
// deletion for each key that the VM's replica has and the store had not at that revision.
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
	if err := s.put(s.deletions(found, r.Revision), false); err != nil {
		return err
	}
	s.revision.Store(r.Revision)
	return nil
}

// deletions returns deletions for the keys of the VM's replica that are not in found. They
// have the revision of the read, at which the key was absent, so that a newer write
// prevails.
func (s *Service) deletions(found map[string]struct{}, revision int64) []message.TableEntry {
	var entries []message.TableEntry
	for _, key := range s.config.LiveKeys() {
		if _, ok := found[key]; !ok {
			entries = append(entries, message.TableEntry{Key: key, Revision: revision})
		}
	}
	return entries
}

// watch passes every change after the last revision to core. It calls onProgress after
// each batch, and returns the error that ended the watch.
func (s *Service) watch(ctx context.Context, onProgress func()) error {
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
		onProgress()
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

// put passes entries to core in messages of bounded size. TableDelta.More is set in all but
// the last message, and in that one too if more is set. put blocks while core's ring is full.
func (s *Service) put(entries []message.TableEntry, more bool) error {
	for len(entries) > 0 {
		n := batchLen(entries)
		delta := &message.TableDelta{Entries: entries[:n], More: more || n < len(entries)}
		m := message.Message{From: message.Address{Kind: message.PeerPlatform}, Body: delta}
		if err := s.inbox.Put(m); err != nil {
			return fmt.Errorf("pass the table to core: %w", err)
		}
		s.entries.Add(uint64(n))
		entries = entries[n:]
	}
	return nil
}

// batchLen returns how many of the first entries fit into one message, at least 1.
func batchLen(entries []message.TableEntry) int {
	size := 0
	for i, e := range entries {
		size += len(e.Key) + len(e.Value)
		if i > 0 && (size > maxDeltaBytes || i >= maxDeltaEntries) {
			return i
		}
	}
	return len(entries)
}
