package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/gypsumspan/gypsumspan/store/etcdjson"
)

// httpWatcher is a Watcher that decodes the response of a watch call, a stream of JSON
// objects.
type httpWatcher struct {
	cancel   context.CancelFunc
	response *http.Response
	decoder  *json.Decoder
}

// Watch implements Store. It returns after the store has confirmed the watch.
func (h *HTTP) Watch(ctx context.Context, span Span, from int64) (Watcher, error) {
	create := &etcdjson.WatchCreateRequest{Key: []byte(span.Key), RangeEnd: []byte(span.End()), StartRevision: from}
	body, err := json.Marshal(etcdjson.WatchRequest{Create: create})
	if err != nil {
		return nil, fmt.Errorf("encode watch: %w: %w", ErrProtocol, err)
	}
	for range h.endpoints {
		var w Watcher
		w, err = h.watchOnce(ctx, body)
		if err == nil {
			return w, nil
		}
		if !errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
			return nil, err
		}
		h.current.Add(1)
	}
	return nil, err
}

func (h *HTTP) watchOnce(ctx context.Context, body []byte) (Watcher, error) {
	ctx, cancel := context.WithCancel(ctx)
	// The call timeout applies to the confirmation only; afterwards the watch has none.
	stop := context.AfterFunc(h.withCallTimeout(ctx), cancel)
	response, err := h.post(ctx, etcdjson.PathWatch, body, false)
	if err != nil {
		cancel()
		return nil, err
	}
	w := &httpWatcher{cancel: cancel, response: response, decoder: json.NewDecoder(response.Body)}
	first, err := w.read()
	if err == nil && !first.Created {
		err = fmt.Errorf("watch was not confirmed: %w", ErrProtocol)
	}
	if err == nil && !stop() {
		err = fmt.Errorf("watch was not confirmed within the call timeout: %w", ErrUnavailable)
	}
	if err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// withCallTimeout returns a context that ends after the call timeout. Its timer is
// released when it fires or when ctx ends.
func (h *HTTP) withCallTimeout(ctx context.Context) context.Context {
	limited, cancel := context.WithTimeout(ctx, h.timeout)
	context.AfterFunc(limited, cancel)
	return limited
}

// Next implements Watcher.
func (w *httpWatcher) Next() (Batch, error) {
	for {
		m, err := w.read()
		if err != nil {
			w.Close()
			return Batch{}, err
		}
		if len(m.Events) > 0 {
			return batchOf(m), nil
		}
	}
}

// read returns the next message. It returns an error if the store has canceled the watch.
func (w *httpWatcher) read() (*etcdjson.WatchResponse, error) {
	var message etcdjson.Stream[etcdjson.WatchResponse]
	if err := w.decoder.Decode(&message); err != nil {
		return nil, fmt.Errorf("watch ended: %w: %w", ErrUnavailable, err)
	}
	switch {
	case message.Error != nil:
		return nil, streamError(message.Error)
	case message.Result == nil:
		return nil, fmt.Errorf("watch message without result: %w", ErrProtocol)
	case message.Result.CompactRevision > 0:
		return nil, &CompactedError{OldestRevision: message.Result.CompactRevision}
	case message.Result.Canceled:
		return nil, fmt.Errorf("watch was canceled: %s: %w", message.Result.CancelReason, ErrUnavailable)
	}
	return message.Result, nil
}

// batchOf returns the batch of a message. Its revision is that of the last event; the
// header has the store's revision, which may be ahead of what the watch has delivered.
func batchOf(m *etcdjson.WatchResponse) Batch {
	var b Batch
	for _, e := range m.Events {
		event := Event{Deleted: e.Type == etcdjson.EventDelete, KV: kvFromJSON(e.KV)}
		if event.Deleted {
			event.KV = KV{Key: string(e.KV.Key), ModRevision: e.KV.ModRevision}
		}
		b.Events = append(b.Events, event)
		b.Revision = max(b.Revision, e.KV.ModRevision)
	}
	return b
}

// Close implements Watcher.
func (w *httpWatcher) Close() {
	w.cancel()
	w.response.Body.Close()
}
