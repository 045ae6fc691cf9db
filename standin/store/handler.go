package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gypsumspan/gypsumspan/store"
	"github.com/gypsumspan/gypsumspan/store/etcdjson"
)

// maxBodyBytes is the largest request body that the handler reads, in bytes.
const maxBodyBytes = 8 << 20

// Handler serves an Engine through the JSON mapping of the etcd v3 API: only the calls that
// package store makes, with the errors of etcd 3.5. It also serves PathControl and PathCalls
// for scripts.
func Handler(e *Engine) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+etcdjson.PathRange, handleCall(e, e.serveRange))
	mux.Handle("POST "+etcdjson.PathTxn, handleCall(e, e.serveTxn))
	mux.Handle("POST "+etcdjson.PathGrant, handleCall(e, e.serveGrant))
	mux.Handle("POST "+etcdjson.PathKeepAlive, handleCall(e, e.serveKeepAlive))
	mux.HandleFunc("POST "+etcdjson.PathWatch, e.serveWatch)
	handleControl(mux, e)
	return mux
}

// handleCall returns a handler that decodes a request, executes it and encodes the response.
func handleCall[In, Out any](e *Engine, call func(In) (Out, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in In
		if !e.decodeRequest(w, r, &in) {
			return
		}
		out, err := call(in)
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(out)
	})
}

// decodeRequest decodes the body of a request into in and applies the injected delay. On an
// error it sends the error response and returns false.
func (e *Engine) decodeRequest(w http.ResponseWriter, r *http.Request, in any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(in); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			err = fmt.Errorf("%w: %w", store.ErrTooLarge, err)
		}
		writeError(w, err)
		return false
	}
	if err := e.delayCall(r.Context()); err != nil {
		writeError(w, err)
		return false
	}
	return true
}

// writeError sends the status and message that etcd uses for err.
func writeError(w http.ResponseWriter, err error) {
	if errors.Is(err, store.ErrUncertain) {
		// Closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	status, code, message := http.StatusBadRequest, etcdjson.CodeInvalidArgument, err.Error()
	switch {
	case errors.Is(err, store.ErrUnavailable):
		status, code, message = http.StatusServiceUnavailable, etcdjson.CodeUnavailable, "etcdserver: no leader"
	case errors.Is(err, store.ErrRateLimited):
		status, code, message = http.StatusTooManyRequests, etcdjson.CodeResourceExhausted, "etcdserver: too many requests"
	case errors.Is(err, store.ErrCompacted):
		code, message = etcdjson.CodeOutOfRange, "etcdserver: mvcc: required revision has been compacted"
	case errors.Is(err, store.ErrTooLarge):
		message = "etcdserver: request is too large"
	case errors.Is(err, store.ErrLeaseUnknown):
		status, code, message = http.StatusNotFound, etcdjson.CodeNotFound, "etcdserver: requested lease not found"
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(etcdjson.Error{Error: message, Code: code, Message: message})
}

func (e *Engine) serveRange(in etcdjson.RangeRequest) (etcdjson.RangeResponse, error) {
	out, err := e.rangeKeys(keyRange{start: string(in.Key), end: string(in.RangeEnd)}, store.RangeRequest{Limit: in.Limit, Revision: in.Revision, KeysOnly: in.KeysOnly})
	if err != nil {
		return etcdjson.RangeResponse{}, err
	}
	response := etcdjson.RangeResponse{Header: etcdjson.Header{Revision: out.Revision}, More: out.More, Count: out.Count}
	for _, kv := range out.KVs {
		response.KVs = append(response.KVs, toWire(kv))
	}
	return response, nil
}

func toWire(kv store.KV) etcdjson.KeyValue {
	return etcdjson.KeyValue{
		Key:            []byte(kv.Key),
		CreateRevision: kv.CreateRevision,
		ModRevision:    kv.ModRevision,
		Value:          kv.Value,
		Lease:          int64(kv.Lease),
	}
}

func (e *Engine) serveTxn(in etcdjson.TxnRequest) (etcdjson.TxnResponse, error) {
	var t store.Txn
	if len(in.Failure) > 0 {
		return etcdjson.TxnResponse{}, fmt.Errorf("failure operations are not supported: %w", store.ErrProtocol)
	}
	for _, c := range in.Compare {
		if c.Target != "MOD" || c.Result != "EQUAL" && c.Result != "" {
			return etcdjson.TxnResponse{}, fmt.Errorf("unsupported comparison %s %s: %w", c.Target, c.Result, store.ErrProtocol)
		}
		t.Compares = append(t.Compares, store.Compare{Key: string(c.Key), ModRevision: c.ModRevision})
	}
	for _, op := range in.Success {
		switch {
		case op.Put != nil:
			t.Puts = append(t.Puts, store.Put{Key: string(op.Put.Key), Value: op.Put.Value, Lease: store.LeaseID(op.Put.Lease)})
		case op.Delete != nil && len(op.Delete.RangeEnd) == 0:
			t.Deletes = append(t.Deletes, string(op.Delete.Key))
		default:
			return etcdjson.TxnResponse{}, fmt.Errorf("unsupported operation: %w", store.ErrProtocol)
		}
	}
	out, err := e.Txn(t)
	return etcdjson.TxnResponse{Header: etcdjson.Header{Revision: out.Revision}, Succeeded: out.Succeeded}, err
}

func (e *Engine) serveGrant(in etcdjson.GrantRequest) (etcdjson.GrantResponse, error) {
	ttl := time.Duration(in.TTL) * time.Second
	id, err := e.Grant(ttl)
	return etcdjson.GrantResponse{ID: int64(id), TTL: in.TTL}, err
}

func (e *Engine) serveKeepAlive(in etcdjson.KeepAliveRequest) (etcdjson.Stream[etcdjson.KeepAliveResponse], error) {
	ttl, err := e.KeepAlive(store.LeaseID(in.ID))
	if errors.Is(err, store.ErrLeaseUnknown) {
		// The protocol reports an unknown lease as TTL 0.
		ttl, err = 0, nil
	}
	result := &etcdjson.KeepAliveResponse{ID: in.ID, TTL: int64(ttl / time.Second)}
	return etcdjson.Stream[etcdjson.KeepAliveResponse]{Result: result}, err
}

func (e *Engine) serveWatch(w http.ResponseWriter, r *http.Request) {
	var in etcdjson.WatchRequest
	if !e.decodeRequest(w, r, &in) {
		return
	}
	if in.Create == nil {
		writeError(w, fmt.Errorf("watch without create_request: %w", store.ErrProtocol))
		return
	}
	s, err := e.subscribe(keyRange{start: string(in.Create.Key), end: string(in.Create.RangeEnd)}, in.Create.StartRevision)
	if err != nil && !errors.Is(err, store.ErrCompacted) {
		writeError(w, err)
		return
	}
	stream := newWatchStream(w)
	stream.send(etcdjson.WatchResponse{Created: true})
	if err == nil {
		err = stream.forwardEvents(r.Context(), s)
	}
	stream.finish(err)
}

// watchStream writes the response messages of a watch.
type watchStream struct {
	w       http.ResponseWriter
	encoder *json.Encoder
}

func newWatchStream(w http.ResponseWriter) *watchStream {
	w.Header().Set("Content-Type", "application/json")
	return &watchStream{w: w, encoder: json.NewEncoder(w)}
}

func (s *watchStream) send(m etcdjson.WatchResponse) {
	_ = s.encoder.Encode(etcdjson.Stream[etcdjson.WatchResponse]{Result: &m})
	_ = http.NewResponseController(s.w).Flush()
}

// forwardEvents sends the events of a watch until the watch or ctx ends, and returns the
// reason as an error.
func (s *watchStream) forwardEvents(ctx context.Context, watch *Subscription) error {
	defer watch.Close()
	for {
		b, ok, err := watch.Poll()
		if err != nil {
			return err
		}
		if ok {
			s.send(watchResponse(b))
			continue
		}
		select {
		case <-watch.Ready():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func watchResponse(b store.Batch) etcdjson.WatchResponse {
	m := etcdjson.WatchResponse{Header: etcdjson.Header{Revision: b.Revision}}
	for _, event := range b.Events {
		out := etcdjson.Event{KV: toWire(event.KV)}
		if event.Deleted {
			out.Type = etcdjson.EventDelete
		}
		m.Events = append(m.Events, out)
	}
	return m
}

// finish ends the stream as etcd does: a compacted watch is canceled with the oldest
// available revision; any other error aborts the connection.
func (s *watchStream) finish(err error) {
	var compacted *store.CompactedError
	if errors.As(err, &compacted) {
		s.send(etcdjson.WatchResponse{Canceled: true, CompactRevision: compacted.OldestRevision})
		return
	}
	panic(http.ErrAbortHandler)
}
