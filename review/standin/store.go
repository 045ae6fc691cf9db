package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kvItem is one item of the store as its API shows it, or an event.
type kvItem struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_revision,omitempty"`
	Lease          int64  `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
}

// history is history_s of the deployment: events are available for that long.
const history = 20 * time.Second

// storedEvent is an event with the time of its change.
type storedEvent struct {
	kvItem
	at time.Time
}

// metaStore is the platform's metadata store. It loses nothing and answers at once. No
// lease call is served, since the system makes none.
type metaStore struct {
	mu       sync.Mutex
	revision int64
	dropped  int64 // revision up to which events are no longer available
	items    map[string]kvItem
	events   []storedEvent
	changed  chan struct{} // closed at the next change
	server   *http.Server
}

func newMetaStore(address netip.AddrPort) (*metaStore, error) {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, err
	}
	s := &metaStore{revision: 20, items: map[string]kvItem{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *metaStore) close() { s.server.Close() }

// put writes an item and returns the revision, with which the store acknowledges it.
func (s *metaStore) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(key, value, false)
}

func (s *metaStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.apply(key, nil, true)
	}
}

// apply makes one change. The caller holds mu.
func (s *metaStore) apply(key string, value []byte, removed bool) int64 {
	s.revision++
	item := kvItem{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision, Removed: removed}
	if old, ok := s.items[key]; ok {
		item.CreateRevision = old.CreateRevision
	}
	if removed {
		item.CreateRevision = 0
		delete(s.items, key)
	} else {
		s.items[key] = item
	}
	now := time.Now()
	s.events = append(s.events, storedEvent{item, now})
	for len(s.events) > 0 && now.Sub(s.events[0].at) > history {
		s.dropped = s.events[0].Revision
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// get returns the value of a key, or nil.
func (s *metaStore) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *metaStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		kvItem
		AsOf int64 `json:"as_of"`
	}{item, revision})
}

func (s *metaStore) serveRange(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	query := r.URL.Query()
	s.mu.Lock()
	items := []kvItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b kvItem) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(items) > pageSize
	if truncated {
		items = items[:pageSize]
	}
	reply(w, map[string]any{"items": items, "truncated": truncated, "as_of": revision})
}

func (s *metaStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(query.Get("wait_ms"))
	if errAfter != nil || errWait != nil || wait > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events := []kvItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e.kvItem)
			}
		}
		revision, dropped, changed := s.revision, s.dropped, s.changed
		s.mu.Unlock()
		if after < dropped {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || ended {
			reply(w, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *metaStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"puts"`
		Deletes []string `json:"delete_keys"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	forbidden := func(key string) bool {
		return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []kvItem{}
	matches := true
	for _, e := range in.Expected {
		item, ok := s.items[e.Key]
		matches = matches && item.Revision == e.Revision
		if ok {
			current = append(current, item)
		}
	}
	if !matches {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": current})
		return
	}
	for _, p := range in.Puts {
		if forbidden(p.Key) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, key := range in.Deletes {
		if forbidden(key) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, p := range in.Puts {
		s.apply(p.Key, p.Value, false)
	}
	for _, key := range in.Deletes {
		if _, ok := s.items[key]; ok {
			s.apply(key, nil, true)
		}
	}
	reply(w, map[string]any{"revision": s.revision})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
