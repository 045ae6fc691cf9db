package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or with removed an event.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_revision,omitempty"`
	Lease          int64  `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
}

// maxPage is the number of items of a page.
const maxPage = 500

// store is the platform's store. It answers in 4 ms and loses nothing, except by rewind.
type store struct {
	rec      *record
	address  netip.AddrPort
	server   *http.Server
	delay    time.Duration
	withEras bool

	mu       sync.Mutex
	revision int64
	era      int
	items    map[string]item
	events   []item
	oldest   int64         // watches after an earlier revision get 410
	changed  chan struct{} // closed with each change
	copies   []storeCopy
	refuse   func(r *http.Request) bool // answers 503
}

type storeCopy struct {
	at       time.Time
	revision int64
	items    map[string]item
}

func newStore(rec *record, ip string) (*store, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{
		rec: rec, delay: 4 * time.Millisecond, revision: 100, oldest: 100, era: 1,
		items: make(map[string]item), changed: make(chan struct{}),
		address: listener.Addr().(*net.TCPAddr).AddrPort(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(s.delay)
		s.mu.Lock()
		refuse, era := s.refuse, s.era
		s.mu.Unlock()
		if s.withEras && r.URL.Path != "/-/kv-watch" {
			w.Header().Set("Store-Era", strconv.Itoa(era))
		}
		if refuse != nil && refuse(r) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"as_of"`
	}{it, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	truncated := len(list) > maxPage
	list = list[:min(len(list), maxPage)]
	answer(w, http.StatusOK, map[string]any{"items": list, "truncated": truncated, "as_of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err1 != nil || err2 != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.withEras {
			w.Header().Set("Store-Era", strconv.Itoa(s.era))
		}
		if after < s.oldest || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		found := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				found = append(found, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": found, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"events": found, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type txnBody struct {
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

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in txnBody
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	held := true
	for _, e := range in.Expected {
		it, ok := s.items[e.Key]
		if ok {
			current = append(current, it)
		}
		held = held && it.Revision == e.Revision
	}
	if !held {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.revision++
	for _, p := range in.Puts {
		s.write(p.Key, p.Value)
	}
	for _, key := range in.Deletes {
		s.remove(key)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// write, remove and notify need s.mu.
func (s *store) write(key string, value []byte) {
	created := s.items[key].CreateRevision
	if created == 0 {
		created = s.revision
	}
	it := item{Key: key, Value: value, Revision: s.revision, CreateRevision: created}
	s.items[key] = it
	s.events = append(s.events, it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a backend does, and returns its revision.
func (s *store) put(key string, value any) int64 {
	text, ok := value.([]byte)
	if !ok {
		text, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, text)
	s.notify()
	return s.revision
}

// delete removes a key as the operator, a backend or a lapse does.
func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// get returns the value of a key.
func (s *store) get(key string) (value []byte, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it.Value, ok
}

// saveCopy keeps a copy of the data, for rewind.
func (s *store) saveCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = append(s.copies, storeCopy{time.Now(), s.revision, maps.Clone(s.items)})
}

// rewind returns the store to the last copy, in a new era.
func (s *store) rewind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copies[len(s.copies)-1]
	s.rec.log("store returns from its copy of revision %d, %.1f s old; it was at %d", c.revision, time.Since(c.at).Seconds(), s.revision)
	s.revision, s.items, s.events, s.oldest = c.revision, maps.Clone(c.items), nil, c.revision
	s.era++
	s.notify()
}

func (s *store) String() string { return fmt.Sprintf("store %s", s.address) }
