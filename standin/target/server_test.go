package target

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/wire"
)

// TestServer guards against a server that loses requests, responds to health checks while it
// is down, or does not report its executions.
func TestServer(t *testing.T) {
	is := is.New(t)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	server := NewServer("t1", Addresses{Requests: loopback, Health: loopback}, New(Config{}, 1))
	endpoint := server.HTTP()
	k := kernel.New(kernel.NewClock())
	is.NoErr(k.Register(endpoint))
	is.NoErr(k.Register(server))
	is.NoErr(k.Assemble())
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx, time.Second) }()

	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(server.Addr()))
	is.NoErr(err)
	defer conn.Close()
	data, err := wire.Append(nil, request(1).Body)
	is.NoErr(err)
	_, err = conn.Write(data)
	is.NoErr(err)
	buf := make([]byte, wire.MaxDatagram)
	n, err := conn.Read(buf)
	is.NoErr(err)
	body, err := wire.Decode(buf[:n])
	is.NoErr(err)
	is.True(IsAnswerTo([]byte{1}, body.(*message.Answer).Payload))

	base := "http://" + endpoint.Addr().String()
	var health Health
	getJSON(is, base+"/health", &health)
	is.Equal(health, Health{Healthy: true})
	var executions []Execution
	getJSON(is, base+"/executions", &executions)
	is.Equal(len(executions), 1)
	is.Equal(executions[0].Count, 1)
	is.Equal(post(is, base+"/control", `{"slow":0}`), http.StatusBadRequest)
	is.Equal(post(is, base+"/control", `{"crash":true}`), http.StatusOK)
	_, err = http.Get(base + "/health")
	is.True(err != nil)
	stop()
	is.NoErr(<-ended)
}

func getJSON(is *is.I, url string, v any) {
	response, err := http.Get(url)
	is.NoErr(err)
	defer response.Body.Close()
	is.NoErr(json.NewDecoder(response.Body).Decode(v))
}

func post(is *is.I, url, body string) int {
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	is.NoErr(err)
	defer response.Body.Close()
	return response.StatusCode
}
