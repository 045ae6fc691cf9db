package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store as its calls show it.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_revision,omitempty"`
	Lease          int64  `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
}

// mode is how the store treats the calls that arrive at one of its listeners.
type mode int

const (
	serving mode = iota
	busy         // answers 503
	silent       // does not answer
)

// store stands in for the platform's metadata store. Each VM has a listener of its own, so that
// the store can turn single VMs away.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	changed  chan struct{} // closed at the next write
	modes    map[string]mode
	down     bool // for everybody, the operator and the backends included
	servers  []*http.Server
}

func newStore() *store {
	return &store{revision: 100, items: make(map[string]item), changed: make(chan struct{}), modes: make(map[string]mode)}
}

// listen serves the store's calls at an address.
func (s *store) listen(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch s.modeOf(address) {
		case busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case silent:
			<-r.Context().Done()
		default:
			mux.ServeHTTP(w, r)
		}
	})}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (s *store) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

func (s *store) modeOf(address string) mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return busy
	}
	return s.modes[address]
}

// setDown takes the store down, or back. Waiting watches are cut.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// isDown reports whether the store is down.
func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// setMode sets how calls at an address are treated. Waiting watches are not cut.
func (s *store) setMode(address string, m mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes[address] = m
}

// write puts and deletes keys in one revision, as the operator and the backends do, and returns it.
func (s *store) write(puts map[string][]byte, deletes ...string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(puts, deletes)
}

// apply needs s.mu.
func (s *store) apply(puts map[string][]byte, deletes []string) int64 {
	s.revision++
	for key, value := range puts {
		i := item{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision}
		if old, ok := s.items[key]; ok {
			i.CreateRevision = old.CreateRevision
		}
		s.items[key] = i
		s.events = append(s.events, i)
	}
	for _, key := range deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.events = append(s.events, item{Key: key, Revision: s.revision, Removed: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"as_of": asOf})
		return
	}
	reply(w, http.StatusOK, map[string]any{
		"key": i.Key, "value": i.Value, "revision": i.Revision, "create_revision": i.CreateRevision, "lease": 0, "as_of": asOf,
	})
}

// serveRange answers with all keys of a prefix on one page.
func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": list, "truncated": false, "as_of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if errAfter != nil || errWait != nil || wait > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		list := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				list = append(list, e)
			}
		}
		asOf, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(list) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": list, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": list, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
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
	puts := make(map[string][]byte)
	keys := append([]string{}, in.Deletes...)
	for _, p := range in.Puts {
		puts[p.Key] = p.Value
		keys = append(keys, p.Key)
	}
	for _, key := range keys {
		if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	states := []item{}
	for _, e := range in.Expected {
		state := s.items[e.Key]
		state.Key = e.Key
		states = append(states, state)
		failed = failed || state.Revision != e.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": states})
		return
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.apply(puts, in.Deletes)})
}
