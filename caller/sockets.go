package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/wire"
)

const (
	// outCapacity is the number of outgoing datagrams that may wait.
	outCapacity = 8192
	// batchSize is the number of items that a duty handles in one step.
	batchSize = 64
)

// Sockets is the service SocketsName.
type Sockets struct {
	transport Transport
	count     int
	conns     []Conn
	gate      *kernel.Gate
	out       *kernel.Ring[outgoing]
	buf       []byte

	received atomic.Uint64
	rejected atomic.Uint64
	sent     atomic.Uint64
	failed   atomic.Uint64
}

// outgoing is a datagram, or a mark whose channel is closed when it is reached.
type outgoing struct {
	body message.Body
	mark chan struct{}
}

// SocketStats counts datagrams since start.
type SocketStats struct {
	Received uint64 `json:"received"`
	Rejected uint64 `json:"rejected"` // malformed, foreign version or foreign type
	Sent     uint64 `json:"sent"`
	Failed   uint64 `json:"failed"` // not sent because of an error
}

// NewSockets returns a service with count sockets (at least one) of transport.
func NewSockets(transport Transport, count int) *Sockets {
	return &Sockets{transport: transport, count: max(count, 1)}
}

// Name implements kernel.Service.
func (s *Sockets) Name() string { return SocketsName }

// Dependencies implements kernel.Service. The sockets outlive the session, so that it
// can still close its flows.
func (s *Sockets) Dependencies() []string { return nil }

// Setup opens the sockets.
func (s *Sockets) Setup(k *kernel.Kernel) error {
	s.gate = kernel.NewGate()
	s.out = kernel.NewRing[outgoing](k, "caller.out", outCapacity, kernel.DropNewest, s.gate)
	for range s.count {
		conn, err := s.transport.Open()
		if err != nil {
			s.closeAll()
			return err
		}
		s.conns = append(s.conns, conn)
	}
	return nil
}

func (s *Sockets) closeAll() {
	for _, conn := range s.conns {
		conn.Close()
	}
}

// inbox takes decoded messages; it is the service SessionName.
type inbox interface {
	Put(body message.Body) error
}

// Connect implements kernel.Service.
func (s *Sockets) Connect(k *kernel.Kernel) error {
	in, err := kernel.Lookup[inbox](k, SessionName)
	if err != nil {
		return err
	}
	for i, conn := range s.conns {
		k.AddBlocker(kernel.Blocker{
			Name:      fmt.Sprintf("caller.receive.%d", i),
			Run:       func(ctx context.Context) error { return s.read(ctx, conn, in) },
			Interrupt: func() { conn.Close() },
		})
	}
	k.AddDuty(kernel.Duty{Name: "caller.send", Gate: s.gate, Step: s.step})
	return nil
}

// read hands every valid datagram to the session until the socket is closed.
func (s *Sockets) read(ctx context.Context, conn Conn, in inbox) error {
	buf := make([]byte, wire.MaxDatagram+1)
	for {
		n, err := conn.Receive(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error of an earlier datagram; the socket stays usable.
			continue
		}
		s.received.Add(1)
		body, err := wire.Decode(buf[:n])
		if err != nil || n > wire.MaxDatagram || !isForCaller(body) {
			s.rejected.Add(1)
			continue
		}
		// The ring drops the newest message when it is full and counts it.
		_ = in.Put(body)
	}
}

func isForCaller(body message.Body) bool {
	switch body.(type) {
	case *message.Bound, *message.Answer, *message.Refusal:
		return true
	default:
		return false
	}
}

// Send queues a datagram. It never waits; a full ring drops and counts it.
func (s *Sockets) Send(body message.Body) {
	_ = s.out.Put(outgoing{body: body})
}

// Stop implements kernel.Stopper: it sends what is queued.
func (s *Sockets) Stop(ctx context.Context) error {
	mark := make(chan struct{})
	_ = s.out.Put(outgoing{mark: mark})
	select {
	case <-mark:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("send queued datagrams: %w", ctx.Err())
	}
}

func (s *Sockets) step(now time.Duration) time.Duration {
	for range batchSize {
		o, ok := s.out.Take()
		if !ok {
			return kernel.Idle
		}
		if o.mark != nil {
			close(o.mark)
			continue
		}
		s.write(o.body)
	}
	return now
}

// write sends all datagrams of a flow from the same socket.
func (s *Sockets) write(body message.Body) {
	data, err := wire.Append(s.buf[:0], body)
	s.buf = data
	if err == nil {
		conn := s.conns[message.FlowOf(body).Lo%uint64(len(s.conns))]
		err = conn.Send(data)
	}
	if err != nil {
		s.failed.Add(1)
		return
	}
	s.sent.Add(1)
}

// Stats returns the counters.
func (s *Sockets) Stats() SocketStats {
	return SocketStats{
		Received: s.received.Load(),
		Rejected: s.rejected.Load(),
		Sent:     s.sent.Load(),
		Failed:   s.failed.Load(),
	}
}
