package store

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// Guards against error answers that are reported as another error. In particular, a write
// that may have taken effect must be reported as uncertain.
func TestErrorAnswers(t *testing.T) {
	cases := []struct {
		status int
		body   string
		read   error
		write  error
	}{
		{503, `{"error":"etcdserver: no leader","code":14,"message":"etcdserver: no leader"}`, ErrUnavailable, ErrUnavailable},
		{503, `{"code":14,"message":"etcdserver: request timed out"}`, ErrUnavailable, ErrUncertain},
		{503, `{"code":14,"message":"etcdserver: leader changed"}`, ErrUnavailable, ErrUncertain},
		{502, `<html>bad gateway</html>`, ErrUnavailable, ErrUncertain},
		{429, `{"code":8,"message":"etcdserver: too many requests"}`, ErrRateLimited, ErrRateLimited},
		{429, `{"code":8,"message":"etcdserver: mvcc: database space exceeded"}`, ErrUnavailable, ErrUnavailable},
		{400, `{"code":3,"message":"etcdserver: request is too large"}`, ErrTooLarge, ErrTooLarge},
		{400, `{"code":3,"message":"etcdserver: too many operations in txn request"}`, ErrTooLarge, ErrTooLarge},
		{400, `{"code":11,"message":"etcdserver: mvcc: required revision has been compacted"}`, ErrCompacted, ErrCompacted},
		{404, `{"code":5,"message":"etcdserver: requested lease not found"}`, ErrLeaseUnknown, ErrLeaseUnknown},
		{400, `{"code":3,"message":"etcdserver: duplicate key given in txn request"}`, ErrProtocol, ErrProtocol},
		{200, `{"header":{`, ErrUnavailable, ErrUncertain},
	}
	for _, c := range cases {
		t.Run(c.body, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			client, err := NewHTTP(HTTPConfig{Endpoints: []string{server.URL}})
			is.NoErr(err)
			defer client.Close()
			_, err = client.Range(context.Background(), RangeRequest{Span: Key("k")})
			is.True(errors.Is(err, c.read))
			_, err = client.Txn(context.Background(), Txn{})
			is.True(errors.Is(err, c.write))
		})
	}
}

// Guards against a range that omits keys with the prefix or includes keys without it.
func TestSpanEnd(t *testing.T) {
	is := is.New(t)
	is.Equal(Prefix("a/").End(), "a0")
	is.Equal(Prefix("a\xff").End(), "b")
	is.Equal(Prefix("\xff").End(), "\x00")
	is.Equal(Key("a").End(), "")
}
