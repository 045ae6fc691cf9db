package store

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/store"
)

// Guards against a control endpoint that accepts invalid requests or has no effect.
func TestControl(t *testing.T) {
	is := is.New(t)
	e := NewEngine(Options{})
	server := httptest.NewServer(Handler(e))
	defer server.Close()
	post := func(body string) int {
		response, err := server.Client().Post(server.URL+PathControl, "application/json", strings.NewReader(body))
		is.NoErr(err)
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		is.NoErr(err)
		return response.StatusCode
	}
	for _, wrong := range []string{`{"delay_ms":-1}`, `{"lose_answers":-1}`, `{"lose_writes":1000000}`, `{"lag":1}`, `[`} {
		is.Equal(post(wrong), http.StatusBadRequest)
	}
	write := func(key string) error {
		_, err := e.Txn(store.Txn{Puts: []store.Put{{Key: key}}})
		return err
	}
	is.Equal(post(`{"lose_answers":1,"lose_writes":1}`), http.StatusOK)
	is.True(errors.Is(write("a"), store.ErrUncertain))
	is.True(errors.Is(write("b"), store.ErrUncertain))
	is.NoErr(write("c"))
	response, err := e.Range(store.RangeRequest{Span: store.Prefix("")})
	is.NoErr(err)
	is.Equal(len(response.KVs), 2) // a and c
	is.Equal(post(`{"outage":true}`), http.StatusOK)
	is.True(errors.Is(write("d"), store.ErrUnavailable))
	is.Equal(post(`{"outage":false,"drop_watches":true}`), http.StatusOK)
	is.NoErr(write("d"))
	is.Equal(post(`{"delay_ms":7}`), http.StatusOK)
	is.Equal(e.delay().Milliseconds(), int64(7))
}

// Guards against a restart from a snapshot that loses keys, their revisions, or the history
// that a watch or a read of an older revision needs.
func TestSnapshot(t *testing.T) {
	is := is.New(t)
	saved := NewEngine(Options{})
	write := func(e *Engine, txn store.Txn) int64 {
		response, err := e.Txn(txn)
		is.NoErr(err)
		return response.Revision
	}
	first := write(saved, store.Txn{Puts: []store.Put{{Key: "a", Value: []byte("1")}, {Key: "b"}}})
	write(saved, store.Txn{Puts: []store.Put{{Key: "a", Value: []byte("2")}}, Deletes: []string{"b"}})
	var data bytes.Buffer
	is.NoErr(saved.Save(&data))
	loaded := NewEngine(Options{})
	is.NoErr(loaded.Load(bytes.NewReader(data.Bytes())))
	is.Equal(loaded.Revision(), saved.Revision())
	for _, revision := range []int64{0, first} {
		r := store.RangeRequest{Span: store.Prefix(""), Revision: revision}
		want, err := saved.Range(r)
		is.NoErr(err)
		got, err := loaded.Range(r)
		is.NoErr(err)
		is.Equal(got, want)
	}
	is.Equal(loaded.history.eventsSince(rangeOf(store.Prefix("")), 0), saved.history.eventsSince(rangeOf(store.Prefix("")), 0))
	is.Equal(write(loaded, store.Txn{Puts: []store.Put{{Key: "b"}}}), saved.Revision()+1)
	is.True(errors.Is(loaded.Load(strings.NewReader("{")), ErrSnapshot))
}
