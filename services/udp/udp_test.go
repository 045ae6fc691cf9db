package udp

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/wire"
)

// testTimeout bounds each wait of a test.
const testTimeout = 20 * time.Second

// marker is the flow id of datagrams whose arrival a test waits for.
var marker = message.FlowID{Hi: 0x6d61726b, Lo: 1}

// inbox is a fake of the service "core" that delivers only messages with the marker.
type inbox struct {
	markers  chan message.Message
	forwards bool // also those inside a Forward
}

func (i *inbox) Name() string                   { return core.Name }
func (i *inbox) Dependencies() []string         { return []string{core.UDPName} }
func (i *inbox) Setup(k *kernel.Kernel) error   { return nil }
func (i *inbox) Connect(k *kernel.Kernel) error { return nil }
func (i *inbox) Put(m message.Message) error {
	body := m.Body
	if f, ok := body.(*message.Forward); ok && i.forwards {
		body = f.Inner
	}
	if open, ok := body.(*message.Open); ok && open.Flow == marker {
		i.markers <- m
	}
	return nil
}

// assemble returns a service on loopback sockets without keys, its kernel and its inbox.
func assemble(t *testing.T, onReject func(netip.AddrPort, error)) (*Service, *kernel.Kernel, *inbox) {
	t.Helper()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	return assembleWith(t, Config{Callers: loopback, Data: loopback}, onReject)
}

func assembleWith(t *testing.T, config Config, onReject func(netip.AddrPort, error)) (*Service, *kernel.Kernel, *inbox) {
	t.Helper()
	s := New(config, onReject)
	in := &inbox{markers: make(chan message.Message, 1)}
	k := kernel.New(kernel.NewClock())
	for _, service := range []kernel.Service{s, in} {
		if err := k.Register(service); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Assemble(); err != nil {
		t.Fatal(err)
	}
	return s, k, in
}

// start runs k until the test ends.
func start(t *testing.T, k *kernel.Kernel) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx, testTimeout) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func checkLeaks(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
}

func encode(t *testing.T, body message.Body) []byte {
	t.Helper()
	data, err := wire.Append(nil, body)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// caller is a client that sends datagrams to the callers' socket.
type caller struct {
	t    *testing.T
	conn net.Conn
	in   *inbox
}

func newCaller(t *testing.T, s *Service, in *inbox) *caller {
	t.Helper()
	conn, err := net.Dial("udp", s.callers.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &caller{t: t, conn: conn, in: in}
}

func (c *caller) send(data []byte) {
	c.t.Helper()
	if _, err := c.conn.Write(data); err != nil {
		c.t.Fatal(err)
	}
}

// sync sends a marker and waits for it: the service has then handled all earlier
// datagrams.
func (c *caller) sync() message.Message {
	c.t.Helper()
	c.send(encode(c.t, &message.Open{Flow: marker}))
	select {
	case m := <-c.in.markers:
		return m
	case <-time.After(testTimeout):
		c.t.Fatal("valid datagram was not accepted")
		return message.Message{}
	}
}

// Guards against datagrams that are accepted although they are malformed or not allowed
// on the callers' socket, or that are rejected without being counted and reported.
func TestRejectedDatagrams(t *testing.T) {
	valid := encode(t, &message.Request{Flow: marker, Parts: 1, Payload: make([]byte, 100)})
	cases := []struct {
		name string
		data []byte
	}{
		{"empty", nil},
		{"garbage", []byte("\xff\xfe\xfd\xfc")},
		{"text", []byte("GET / HTTP/1.0\r\n\r\n")},
		{"truncated", valid[:len(valid)/2]},
		{"unsupported version", append([]byte{0x08, wire.Version + 1}, valid[2:]...)},
		{"oversized", make([]byte, wire.MaxDatagram+1)},
		{"8 times the size limit", make([]byte, 8*wire.MaxDatagram)},
		{"too many parts", encode(t, &message.Request{Parts: message.MaxParts + 1})},
		{"message of a VM", encode(t, &message.Forward{Inner: &message.Open{Flow: marker}})},
		{"message of a target", encode(t, &message.Answer{Parts: 1})},
		{"control message", encode(t, &message.MembersPull{})},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checkLeaks(t)
			is := is.New(t)
			var reported atomic.Int64
			s, k, in := assemble(t, func(from netip.AddrPort, err error) {
				if from.IsValid() && err != nil {
					reported.Add(1)
				}
			})
			start(t, k)
			sender := newCaller(t, s, in)
			sender.send(c.data)
			m := sender.sync()
			is.Equal(m.From, message.CallerAddress(sender.conn.LocalAddr().(*net.UDPAddr).AddrPort()))
			is.Equal(s.Stats().Rejected, uint64(1))
			is.Equal(reported.Load(), int64(1))
			is.Equal(s.Stats().Received, uint64(2))
		})
	}
}

// Guards against a malformed datagram that stops the process.
func TestMutatedDatagramsDoNotStopTheService(t *testing.T) {
	const rounds, perRound = 100, 20
	checkLeaks(t)
	s, k, in := assemble(t, nil)
	start(t, k)
	sender := newCaller(t, s, in)
	rng := rand.New(rand.NewPCG(4, 0))
	templates := [][]byte{
		encode(t, &message.Open{Service: 5, Flow: message.FlowID{Hi: 1, Lo: 2}, Binding: message.Binding{Target: 3, Epoch: 4}}),
		encode(t, &message.Request{Service: 5, Flow: message.FlowID{Hi: 1, Lo: 2}, ID: 9, Parts: 2, Payload: make([]byte, 64)}),
		encode(t, &message.Forward{Target: 7, Inner: &message.Request{Parts: 1, Payload: make([]byte, 32)}}),
	}
	for range rounds {
		for range perRound {
			data := append([]byte(nil), templates[rng.IntN(len(templates))]...)
			for range 1 + rng.IntN(4) {
				data[rng.IntN(len(data))] = byte(rng.Uint32())
			}
			sender.send(data[:rng.IntN(len(data)+1)])
		}
		sender.sync()
	}
	is.New(t).True(s.Stats().Rejected > rounds)
}

// Guards against a stop that drops datagrams that were queued before it.
func TestStopSendsWaitingDatagrams(t *testing.T) {
	checkLeaks(t)
	is := is.New(t)
	receiver, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer receiver.Close()
	s, k, _ := assemble(t, nil)
	to := message.CallerAddress(receiver.LocalAddr().(*net.UDPAddr).AddrPort())
	const count = 10 * batchSize
	for range count {
		s.Send(message.Message{To: to, Body: &message.Bound{Flow: marker}})
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(k.Run(ctx, testTimeout))
	is.Equal(s.Stats().Sent, uint64(count))
}
