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

// maxBody is the largest request body that the handler reads, in bytes.
const maxBody = 8 << 20

// Handler serves the JSON form of the etcd v3 API for an Engine: the calls that
// package store makes, with the errors of etcd 3.5. It also serves the control of
// faults for scripts.
func Handler(e *Engine) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST "+etcdjson.PathRange, answer(e, e.serveRange))
	mux.Handle("POST "+etcdjson.PathTxn, answer(e, e.serveTxn))
	mux.Handle("POST "+etcdjson.PathGrant, answer(e, e.serveGrant))
	mux.Handle("POST "+etcdjson.PathKeepAlive, answer(e, e.serveKeepAlive))
	mux.HandleFunc("POST "+etcdjson.PathWatch, e.serveWatch)
	handleControl(mux, e)
	return mux
}

// answer decodes a call, makes it and encodes the result.
func answer[In, Out any](e *Engine, call func(In) (Out, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in In
		if !e.accept(w, r, &in) {
			return
		}
		out, err := call(in)
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the client has gone.
		_ = json.NewEncoder(w).Encode(out)
	})
}

func (e *Engine) accept(w http.ResponseWriter, r *http.Request, in any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(in); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			err = fmt.Errorf("%w: %w", store.ErrTooLarge, err)
		}
		writeError(w, err)
		return false
	}
	if err := e.wait(r.Context()); err != nil {
		writeError(w, err)
		return false
	}
	return true
}

// writeError answers with the status and message of etcd.
func writeError(w http.ResponseWriter, err error) {
	if errors.Is(err, store.ErrUncertain) {
		// Closes the connection without an answer.
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
	out, err := e.rangeScope(scope{start: string(in.Key), end: string(in.RangeEnd)}, store.RangeRequest{Limit: in.Limit, Revision: in.Revision, KeysOnly: in.KeysOnly})
	if err != nil {
		return etcdjson.RangeResponse{}, err
	}
	answer := etcdjson.RangeResponse{Header: etcdjson.Header{Revision: out.Revision}, More: out.More, Count: out.Count}
	for _, kv := range out.KVs {
		answer.KVs = append(answer.KVs, toWire(kv))
	}
	return answer, nil
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
			return etcdjson.TxnResponse{}, fmt.Errorf("comparison %s %s is not supported: %w", c.Target, c.Result, store.ErrProtocol)
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
			return etcdjson.TxnResponse{}, fmt.Errorf("operation is not supported: %w", store.ErrProtocol)
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
	if !e.accept(w, r, &in) {
		return
	}
	if in.Create == nil {
		writeError(w, fmt.Errorf("watch without create_request: %w", store.ErrProtocol))
		return
	}
	s, err := e.subscribe(scope{start: string(in.Create.Key), end: string(in.Create.RangeEnd)}, in.Create.StartRevision)
	if err != nil && !errors.Is(err, store.ErrCompacted) {
		writeError(w, err)
		return
	}
	stream := newStream(w)
	stream.send(etcdjson.WatchResponse{Created: true})
	if err == nil {
		err = stream.copy(r.Context(), s)
	}
	stream.fail(err)
}

// stream writes the messages of a watch.
type stream struct {
	w       http.ResponseWriter
	encoder *json.Encoder
}

func newStream(w http.ResponseWriter) *stream {
	w.Header().Set("Content-Type", "application/json")
	return &stream{w: w, encoder: json.NewEncoder(w)}
}

func (s *stream) send(m etcdjson.WatchResponse) {
	_ = s.encoder.Encode(etcdjson.Stream[etcdjson.WatchResponse]{Result: &m})
	_ = http.NewResponseController(s.w).Flush()
}

// copy sends the events of a watch until it ends; it returns the reason.
func (s *stream) copy(ctx context.Context, watch *Subscription) error {
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

// fail ends the stream as etcd does: a compacted watch is canceled with the
// oldest revision; otherwise the connection breaks.
func (s *stream) fail(err error) {
	var compacted *store.CompactedError
	if errors.As(err, &compacted) {
		s.send(etcdjson.WatchResponse{Canceled: true, CompactRevision: compacted.OldestRevision})
		return
	}
	panic(http.ErrAbortHandler)
}
