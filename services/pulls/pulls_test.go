package pulls

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/relay"
	"github.com/gypsumspan/gypsumspan/decide/revision"
	"github.com/gypsumspan/gypsumspan/wire/relaywire"
)

// Guards against large answers that are sent uncompressed, and compressed ones that are not
// understood.
func TestPullsAcceptCompressedAnswers(t *testing.T) {
	is := is.New(t)
	update := relay.Update{Revision: revision.New(1, 9), Items: []relay.Item{{Key: "config", Value: bytes.Repeat([]byte("route "), 50_000), Revision: revision.New(1, 9)}}}
	for _, compressed := range []bool{true, false} {
		sent := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			is.True(strings.Contains(r.Header.Get("Accept-Encoding"), "gzip"))
			is.Equal(r.URL.RawQuery, "after=8&era=1")
			body, err := relaywire.EncodeUpdate(update)
			if compressed {
				w.Header().Set("Content-Encoding", "gzip")
				var c relaywire.Compressor
				body, err = c.EncodeUpdate(8, update)
			}
			is.NoErr(err)
			sent = len(body)
			_, _ = w.Write(body)
		}))
		got, err := New().pull(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()), revision.New(1, 8))
		server.Close()
		is.NoErr(err)
		is.Equal(got, update)
		is.Equal(sent < 20_000, compressed)
	}
}
