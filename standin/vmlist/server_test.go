package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/kernel"
)

// TestServer guards against endpoints that lose a change or accept an invalid list.
func TestServer(t *testing.T) {
	is := is.New(t)
	server := NewServer(New(nil))
	endpoint := server.HTTP(netip.MustParseAddrPort("127.0.0.1:0"))
	k := kernel.New(kernel.NewClock())
	is.NoErr(k.Register(endpoint))
	is.NoErr(k.Register(server))
	is.NoErr(k.Assemble())
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx, time.Second) }()

	base := "http://" + endpoint.Addr().String()
	status, body := request(is, http.MethodGet, base+"/vms", "")
	is.Equal(status, http.StatusOK)
	is.Equal(strings.TrimSpace(body), `{"vms":[]}`)
	list := `{"vms":[{"name":"vm1","domain":"a","data":"127.0.0.1:7200","control":"127.0.0.1:7201","leaving":true}]}`
	status, _ = request(is, http.MethodPut, base+"/vms", list)
	is.Equal(status, http.StatusOK)
	_, body = request(is, http.MethodGet, base+"/vms", "")
	is.Equal(strings.TrimSpace(body), list)
	status, _ = request(is, http.MethodPut, base+"/vms", `{"vms":[{"name":""}]}`)
	is.Equal(status, http.StatusBadRequest)
	status, _ = request(is, http.MethodPut, base+"/lag", `{"ms":60000}`)
	is.Equal(status, http.StatusOK)
	var doc Document
	_, body = request(is, http.MethodGet, base+"/vms", "")
	is.NoErr(json.Unmarshal([]byte(body), &doc))
	is.Equal(len(doc.VMs), 1)
	stop()
	is.NoErr(<-ended)
}

func request(is *is.I, method, url, body string) (int, string) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	is.NoErr(err)
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, string(data)
}
