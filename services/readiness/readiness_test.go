package readiness

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/gypsumspan/gypsumspan/kernel"
)

// Guards against routers that send packets to a VM that has no catalog or is leaving.
func TestStatusFollowsReadiness(t *testing.T) {
	before := goleak.IgnoreCurrent()
	defer goleak.VerifyNone(t, before)
	defer http.DefaultClient.CloseIdleConnections()
	is := is.New(t)
	s := New(Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Path: "/readyz"})
	k := kernel.New(kernel.NewClock())
	is.NoErr(k.Register(s))
	is.NoErr(k.Assemble())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx, time.Second) }()
	get := func(path string) int {
		response, err := http.Get("http://" + s.listener.Addr().String() + path)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response.StatusCode
	}
	is.Equal(get("/readyz"), http.StatusServiceUnavailable)
	s.Set(true)
	is.Equal(get("/readyz"), http.StatusOK)
	is.Equal(get("/other"), http.StatusNotFound)
	s.Leave()
	is.Equal(get("/readyz"), http.StatusServiceUnavailable)
	s.Set(true)
	is.Equal(get("/readyz"), http.StatusServiceUnavailable)
	cancel()
	is.NoErr(<-ended)
}
