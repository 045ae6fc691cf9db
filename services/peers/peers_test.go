package peers

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/certwatch"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/services/logs"
	"github.com/gypsumspan/gypsumspan/wire"
)

// testTimeout bounds each wait of a test.
const testTimeout = 20 * time.Second

// inbox is a fake of the service "core".
type inbox struct {
	messages chan message.Message
}

func (i *inbox) Name() string                   { return core.Name }
func (i *inbox) Dependencies() []string         { return []string{core.PeersName} }
func (i *inbox) Setup(k *kernel.Kernel) error   { return nil }
func (i *inbox) Connect(k *kernel.Kernel) error { return nil }
func (i *inbox) Put(m message.Message) error {
	i.messages <- m
	return nil
}

// node is a VM with the services "peers" and "logs" and a fake core.
type node struct {
	*Service
	t        testing.TB
	inbox    *inbox
	recorder *events.Recorder
	certs    *certwatch.Service // nil: plain TCP
	cancel   context.CancelFunc
	done     chan error
}

func newNode(t testing.TB, k *kernel.Kernel, config Config, certServices ...*certwatch.Service) *node {
	t.Helper()
	if !config.Listen.IsValid() {
		config.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	}
	recorder, logger := events.NewRecorder(nil)
	n := &node{Service: New(config), t: t, recorder: recorder, inbox: &inbox{messages: make(chan message.Message, 64)}}
	services := []kernel.Service{logs.New(logger), n.Service, n.inbox}
	for _, s := range certServices {
		n.certs = s
		services = append(services, s)
	}
	for _, s := range services {
		if err := k.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	return n
}

// startNode runs a node in a threaded kernel until the test ends.
func startNode(t testing.TB, config Config, certServices ...*certwatch.Service) *node {
	t.Helper()
	k := kernel.New(kernel.NewClock())
	n := newNode(t, k, config, certServices...)
	if err := k.Assemble(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.done = make(chan error, 1)
	go func() { n.done <- k.Run(ctx, testTimeout) }()
	t.Cleanup(n.stop)
	return n
}

func (n *node) stop() {
	if n.cancel == nil {
		return
	}
	n.cancel()
	n.cancel = nil
	if err := <-n.done; err != nil {
		n.t.Error(err)
	}
}

// steppedNode returns a sending node whose duties run in steps of the returned stepper.
func steppedNode(t testing.TB, config Config, certServices ...*certwatch.Service) (*node, *kernel.Stepper) {
	t.Helper()
	stepper := kernel.NewStepper(1)
	k := kernel.NewStepped(stepper)
	n := newNode(t, k, config, certServices...)
	if err := stepper.Add(k); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.close)
	return n, stepper
}

func (n *node) address() message.Address {
	return message.VMAddress(n.config.Self, n.Addr())
}

func (n *node) receive() message.Message {
	n.t.Helper()
	select {
	case m := <-n.inbox.messages:
		return m
	case <-time.After(testTimeout):
		n.t.Fatal("no message arrived")
		return message.Message{}
	}
}

func (n *node) waitFor(e *events.Event) {
	n.t.Helper()
	done := make(chan struct{})
	defer time.AfterFunc(testTimeout, func() { close(done) }).Stop()
	if !n.recorder.Wait(e, done) {
		n.t.Fatalf("event %s was not written", e.Number)
	}
}

// checkLeaks fails the test if goroutines are left after all its cleanups.
func checkLeaks(t testing.TB) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
}

func heartbeat(sequence uint64) message.Body {
	return &message.Heartbeat{Sequence: sequence, Self: message.Member{ID: 1, Name: "a"}, Updates: []message.Member{}}
}

// Guards against messages that are lost, reordered or attributed to another VM.
func TestMessagesBetweenThreeVMs(t *testing.T) {
	checkLeaks(t)
	is := is.New(t)
	a, b, c := startNode(t, Config{Self: 1}), startNode(t, Config{Self: 2}), startNode(t, Config{Self: 3})
	for i := range uint64(20) {
		a.Send(message.Message{To: b.address(), Body: heartbeat(i)})
		a.Send(message.Message{To: c.address(), Body: heartbeat(100 + i)})
	}
	for i := range uint64(20) {
		m := b.receive()
		is.Equal(m.From.Kind, message.PeerVM)
		is.Equal(m.From.VM, message.VMID(1))
		is.Equal(m.Body, heartbeat(i))
		is.Equal(c.receive().Body, heartbeat(100+i))
	}
	b.Send(message.Message{To: a.address(), Body: &message.MembersPull{}})
	is.Equal(a.receive().From.VM, message.VMID(2))
	a.stop()
	is.Equal(a.Stats().Sent, uint64(40))
	is.True(a.Stats().BytesSent >= b.Stats().BytesReceived+c.Stats().BytesReceived)
}

// Guards against a stop that drops messages that were queued before it.
func TestStopSendsWaitingMessages(t *testing.T) {
	checkLeaks(t)
	a, b := startNode(t, Config{Self: 1}), startNode(t, Config{Self: 2})
	for i := range uint64(50) {
		a.Send(message.Message{To: b.address(), Body: heartbeat(i)})
	}
	a.stop()
	for i := range uint64(50) {
		is.New(t).Equal(b.receive().Body, heartbeat(i))
	}
	b.stop()
}

// Guards against a dead peer that is dialled for every message, or not redialled after
// its backoff.
func TestRefusingPeerIsBackedOff(t *testing.T) {
	checkLeaks(t)
	is := is.New(t)
	dead, live := startNode(t, Config{Self: 2}), startNode(t, Config{Self: 2})
	to := dead.address()
	dead.stop()
	a, stepper := steppedNode(t, Config{Self: 1})
	for range 10 {
		a.Send(message.Message{To: to, Body: heartbeat(1)})
	}
	a.Send(message.Message{To: live.address(), Body: heartbeat(2)}) // same duty: same VMID
	stepper.Advance(minBackoff / 2)
	is.Equal(live.receive().Body, heartbeat(2))
	is.Equal(a.Stats().DialsFailed, uint64(1))
	is.Equal(a.Stats().BackoffDrops, uint64(9))
	is.Equal(a.recorder.Count(events.PeerUnreachable), 1)
	stepper.Advance(minBackoff)
	a.Send(message.Message{To: to, Body: heartbeat(1)})
	stepper.Advance(time.Millisecond)
	is.Equal(a.Stats().DialsFailed, uint64(2))
	is.Equal(a.recorder.Count(events.PeerUnreachable), 1) // one line for the outage
}

// Guards against a sending duty that is blocked all the time by dials to unreachable
// peers.
func TestFailedAttemptsAreSpacedByTheirDuration(t *testing.T) {
	checkLeaks(t)
	is := is.New(t)
	dead := startNode(t, Config{Self: 2})
	to := dead.address()
	dead.stop()
	a, stepper := steppedNode(t, Config{Self: 1})
	d := a.senders[0]
	const dialTime = 500 * time.Millisecond // a dial that times out
	stepper.Advance(dialTime)
	d.backOff(d.peer(netip.MustParseAddrPort("127.0.0.9:1")), 0)
	other := d.peer(to.Addr)
	other.failures = 1 // its own backoff has ended
	d.send(message.Message{To: to, Body: heartbeat(1)})
	is.Equal(a.Stats().BackoffDrops, uint64(1))
	stepper.Advance(retrySpacingFactor * dialTime)
	d.send(message.Message{To: to, Body: heartbeat(1)})
	is.Equal(a.Stats().BackoffDrops, uint64(1))
	is.Equal(a.Stats().DialsFailed, uint64(1))
}

// Guards against a peer that stays unreachable after a restart at the same address.
func TestPeerRestartsAtSameAddress(t *testing.T) {
	checkLeaks(t)
	is := is.New(t)
	a, stepper := steppedNode(t, Config{Self: 1})
	b := startNode(t, Config{Self: 2})
	a.Send(message.Message{To: b.address(), Body: heartbeat(1)})
	stepper.Advance(time.Millisecond)
	is.Equal(b.receive().Body, heartbeat(1))
	to := b.address()
	b.stop()
	b = startNode(t, Config{Self: 2, Listen: to.Addr})
	// Messages on the broken link may be lost; after the backoff they must arrive again.
	for i := uint64(2); len(b.inbox.messages) == 0 && i < 50; i++ {
		a.Send(message.Message{To: to, Body: heartbeat(i)})
		stepper.Advance(minBackoff)
	}
	is.True(b.receive().Body.(*message.Heartbeat).Sequence >= 2)
}

// Guards against idle links that stay open.
func TestIdleLinkIsClosed(t *testing.T) {
	checkLeaks(t)
	is := is.New(t)
	b := startNode(t, Config{Self: 2})
	a, stepper := steppedNode(t, Config{Self: 1})
	a.Send(message.Message{To: b.address(), Body: heartbeat(1)})
	stepper.Advance(DefaultIdleTimeout - time.Second)
	is.Equal(a.Stats().Links, int64(1))
	stepper.Advance(2 * time.Second)
	is.Equal(a.Stats().Links, int64(0))
	b.receive()
	b.stop()
	is.Equal(b.Stats().SessionsFailed, uint64(0))
}

// Guards against a sending duty that is blocked by a peer that accepts connections but
// never reads from them.
func TestStalledPeerIsGivenUp(t *testing.T) {
	checkLeaks(t)
	is := is.New(t)
	stalled, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer stalled.Close()
	live := startNode(t, Config{Self: 2})
	a, stepper := steppedNode(t, Config{Self: 1, WriteTimeout: 50 * time.Millisecond})
	to := message.VMAddress(2, stalled.Addr().(*net.TCPAddr).AddrPort())
	large := &message.TableDelta{Entries: []message.TableEntry{{Key: "k", Value: make([]byte, 200<<10)}}}
	a.Send(message.Message{To: to, Body: large})
	a.Send(message.Message{To: to, Body: large}) // exceeds the stream's window
	a.Send(message.Message{To: live.address(), Body: heartbeat(1)})
	stepper.Advance(time.Millisecond)
	is.Equal(live.receive().Body, heartbeat(1))
	is.Equal(a.Stats().LinksFailed, uint64(1))
	is.Equal(a.Stats().Links, int64(1)) // the one to the live peer
}

// Guards against invalid input on the control address that stops the process, is accepted
// as a message, or leaves the session open.
func TestBrokenSessions(t *testing.T) {
	frame := func(body message.Body) []byte {
		data, err := appendFrame(appendHello(nil, 7), body)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	hello := appendHello(nil, 7)
	cases := []struct {
		name string
		raw  []byte // instead of a yamux session
		data []byte // on a stream
		want error
	}{
		{"garbage", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), nil, yamux.ErrInvalidVersion},
		{"no hello", nil, []byte("this is no hello"), ErrHello},
		{"unsupported version", nil, []byte("GSPL\x00\x02\x00\x00\x00\x00\x00\x00\x00\x07"), ErrVersion},
		{"oversized message", nil, append(hello[:len(hello):len(hello)], 0, 16, 0, 1), ErrOversized},
		{"malformed message", nil, append(hello[:len(hello):len(hello)], 0, 0, 0, 1, 0xff), wire.ErrMalformed},
		{"datagram type", nil, frame(&message.Bound{}), ErrUnexpectedMessage},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checkLeaks(t)
			is := is.New(t)
			b := startNode(t, Config{Self: 2})
			conn, err := net.Dial("tcp", b.Addr().String())
			is.NoErr(err)
			if c.raw != nil {
				_, err = conn.Write(c.raw)
				is.NoErr(err)
			} else {
				l := dialRaw(t, conn)
				// The receiver may close the session before Write returns, so Write's
				// error says nothing; the event below shows what arrived.
				_, _ = l.stream.Write(c.data)
				defer l.session.Close()
			}
			b.waitFor(events.PeerSessionFailed)
			logged := b.recorder.Lines()[0].Fields[1].Value.(error)
			if !errors.Is(logged, c.want) {
				t.Fatalf("got error %v, want %v", logged, c.want)
			}
			_, err = io.Copy(io.Discard, conn) // ends when the session is closed
			is.True(err == nil || !isTimeout(err))
			conn.Close()
			a := startNode(t, Config{Self: 1})
			a.Send(message.Message{To: b.address(), Body: heartbeat(1)})
			is.Equal(b.receive().Body, heartbeat(1))
			is.Equal(b.Stats().SessionsFailed, uint64(1))
		})
	}
}

// Guards against an unlimited number of incoming links.
func TestSessionsAreBounded(t *testing.T) {
	checkLeaks(t)
	is := is.New(t)
	b := startNode(t, Config{Self: 2, MaxSessions: 1})
	a, c := startNode(t, Config{Self: 1}), startNode(t, Config{Self: 3})
	a.Send(message.Message{To: b.address(), Body: heartbeat(1)})
	is.Equal(b.receive().Body, heartbeat(1))
	c.Send(message.Message{To: b.address(), Body: heartbeat(2)})
	b.waitFor(events.PeerSessionsFull)
	is.Equal(b.Stats().SessionsRefused, uint64(1))
}

// dialRaw starts a session on conn without a hello.
func dialRaw(t testing.TB, conn net.Conn) *link {
	t.Helper()
	session, err := yamux.Client(conn, yamuxConfig(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	stream, err := session.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	return &link{session: session, stream: stream}
}
