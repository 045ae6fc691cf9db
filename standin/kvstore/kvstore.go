// Package kvstore is a stand-in for the key-value store of the users' platform: its HTTP API
// on top of the engine of package standin/store. It is for tests only.
package kvstore

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumspan/gypsumspan/store"

	standin "github.com/gypsumspan/gypsumspan/standin/store"
)

// pageSize is the largest number of items in the response to a range request.
const pageSize = 50

// headerEra is the header of each answer, error answers included, with the era of the store:
// the number of its returns from an older copy.
const headerEra = "Store-Era"

// maxBodyBytes is the largest body of a request.
const maxBodyBytes = 4 << 20

// item is the JSON form of a key, its value and its revisions.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"create_revision,omitempty"`
	Lease          int64  `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
}

func itemOf(kv store.KV) item {
	return item{Key: kv.Key, Value: kv.Value, Revision: kv.ModRevision, CreateRevision: kv.CreateRevision, Lease: int64(kv.Lease)}
}

// server handles the HTTP requests.
type server struct {
	engine *standin.Engine
	client *standin.Client
}

// Handler returns the HTTP API of the platform's store on e. It rejects writes to the keys of
// the operator and of targets with status 403; tests write those directly to e.
func Handler(e *standin.Engine) http.Handler {
	s := &server{engine: e, client: standin.NewClient(e)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /-/kv-lease", s.serveLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeepAlive)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mux.ServeHTTP(&eraWriter{ResponseWriter: w, engine: e}, r)
	})
}

// eraWriter sets headerEra before the status is written. An answer that states revisions has
// set it by then to the era that they are of.
type eraWriter struct {
	http.ResponseWriter
	engine      *standin.Engine
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	if !w.wroteHeader && w.Header().Get(headerEra) == "" {
		era, _ := w.engine.Position()
		setEra(w, era)
	}
	w.wroteHeader = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(data []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

func setEra(w http.ResponseWriter, era uint32) {
	w.Header().Set(headerEra, strconv.FormatUint(uint64(era), 10))
}

// serveKey answers with one key. Answers are never stale here.
func (s *server) serveKey(w http.ResponseWriter, r *http.Request) {
	out, err := s.client.Range(r.Context(), store.RangeRequest{Span: store.Key(r.URL.Query().Get("key"))})
	switch {
	case err != nil:
		writeError(w, err)
	case len(out.KVs) == 0:
		setEra(w, out.Era)
		w.WriteHeader(http.StatusNotFound)
	default:
		setEra(w, out.Era)
		writeJSON(w, struct {
			item
			AsOf int64 `json:"as_of"`
		}{itemOf(out.KVs[0]), out.Revision})
	}
}

func (s *server) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	out, err := s.client.Range(r.Context(), store.RangeRequest{
		Span:  store.Prefix(query.Get("prefix")),
		After: query.Get("after"),
		Limit: pageSize,
	})
	if err != nil {
		writeError(w, err)
		return
	}
	setEra(w, out.Era)
	items := []item{}
	for _, kv := range out.KVs {
		items = append(items, itemOf(kv))
	}
	writeJSON(w, map[string]any{"items": items, "truncated": out.More, "as_of": out.Revision})
}

func (s *server) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if errAfter != nil || errWait != nil || wait > 30_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	watch, err := s.engine.Subscribe(store.Prefix(query.Get("prefix")), after+1)
	if err != nil {
		writeError(w, err)
		return
	}
	defer watch.Close()
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		batch, ok, err := watch.Poll()
		switch {
		case err != nil:
			writeError(w, err)
			return
		case ok:
			writeEvents(w, batch)
			return
		}
		select {
		case <-watch.Ready():
		case <-ctx.Done():
			era, revision := s.engine.Position()
			writeEvents(w, store.Batch{Era: era, Revision: revision})
			return
		}
	}
}

func writeEvents(w http.ResponseWriter, batch store.Batch) {
	setEra(w, batch.Era)
	items := []item{}
	for _, e := range batch.Events {
		i := itemOf(e.KV)
		i.Removed = e.Deleted
		items = append(items, i)
	}
	writeJSON(w, map[string]any{"events": items, "as_of": batch.Revision})
}

func (s *server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"delete_keys"`
	}
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var t store.Txn
	for _, e := range in.Expected {
		t.Compares = append(t.Compares, store.Compare{Key: e.Key, ModRevision: e.Revision})
	}
	t.Deletes = in.Deletes
	keys := t.Deletes
	for _, p := range in.Puts {
		keys = append(keys, p.Key)
		t.Puts = append(t.Puts, store.Put{Key: p.Key, Value: p.Value, Lease: store.LeaseID(p.Lease)})
	}
	for _, key := range keys {
		if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	out, err := s.client.Txn(r.Context(), t)
	switch {
	case err != nil:
		writeError(w, err)
	case !out.Succeeded:
		setEra(w, out.Era)
		w.WriteHeader(http.StatusPreconditionFailed)
	default:
		setEra(w, out.Era)
		writeJSON(w, map[string]any{"revision": out.Revision})
	}
}

func (s *server) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, err := s.client.Grant(r.Context(), time.Duration(in.TTL)*time.Millisecond)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, map[string]any{"lease": id, "ttl_ms": in.TTL})
}

func (s *server) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl, err := s.client.KeepAlive(r.Context(), store.LeaseID(id))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, map[string]any{"ttl_ms": ttl.Milliseconds()})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrUncertain):
		// Closes the connection without a response.
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrRateLimited):
		w.WriteHeader(http.StatusTooManyRequests)
	case errors.Is(err, store.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, store.ErrLeaseUnknown):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, store.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
