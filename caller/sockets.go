package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/caller/session"
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/wire"
)

const (
	// sendQueueSize is the capacity of the queue of outgoing datagrams.
	sendQueueSize = 8192
	// maxBatch is the maximum number of items that a duty takes from a ring in one step.
	maxBatch = 64
)

// Sockets is the kernel service SocketsName. It sends and receives datagrams.
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

// outgoing is an entry of the send queue: a datagram, or a channel that is closed when
// all entries before it have been sent.
type outgoing struct {
	message session.Outgoing
	flushed chan struct{}
}

// SocketStats counts datagrams since start.
type SocketStats struct {
	Received uint64 `json:"received"`
	Rejected uint64 `json:"rejected"` // malformed, unsupported version or not a reply to callers
	Sent     uint64 `json:"sent"`
	Failed   uint64 `json:"failed"` // not sent because of an error
}

// NewSockets returns the service with count sockets of the transport, at least one.
func NewSockets(transport Transport, count int) *Sockets {
	return &Sockets{transport: transport, count: max(count, 1)}
}

// Name implements kernel.Service.
func (s *Sockets) Name() string { return SocketsName }

// Dependencies implements kernel.Service. The session depends on the sockets, which
// are therefore stopped after it and still send the messages that close its flows.
func (s *Sockets) Dependencies() []string { return nil }

// Setup opens the sockets.
func (s *Sockets) Setup(k *kernel.Kernel) error {
	s.gate = kernel.NewGate()
	s.out = kernel.NewRing[outgoing](k, "caller.out", sendQueueSize, kernel.DropNewest, s.gate)
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

// inbox receives decoded messages; the service SessionName implements it.
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

// read passes every valid datagram to the session until the socket is closed.
func (s *Sockets) read(ctx context.Context, conn Conn, in inbox) error {
	buf := make([]byte, wire.MaxDatagram+1)
	var pause kernel.ErrorPause
	for {
		n, err := conn.Receive(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error for an earlier datagram; the socket is still usable.
			pause.Wait(ctx)
			continue
		}
		pause.Succeeded()
		s.received.Add(1)
		body, err := wire.Decode(buf[:n])
		if err != nil || n > wire.MaxDatagram || !isForCaller(body) {
			s.rejected.Add(1)
			continue
		}
		// A full ring drops and counts the message.
		_ = in.Put(body)
	}
}

// isForCaller reports whether the message is of a type that VMs send to callers.
func isForCaller(body message.Body) bool {
	switch body.(type) {
	case *message.Bound, *message.Answer, *message.Refusal:
		return true
	default:
		return false
	}
}

// Send queues a datagram. It does not block: if the queue is full, the datagram is
// dropped and counted.
func (s *Sockets) Send(m session.Outgoing) {
	_ = s.out.Put(outgoing{message: m})
}

// Stop implements kernel.Stopper: it waits until all queued datagrams have been sent.
func (s *Sockets) Stop(ctx context.Context) error {
	flushed := make(chan struct{})
	_ = s.out.Put(outgoing{flushed: flushed})
	select {
	case <-flushed:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("send queued datagrams: %w", ctx.Err())
	}
}

func (s *Sockets) step(now time.Duration) time.Duration {
	for range maxBatch {
		o, ok := s.out.Take()
		if !ok {
			return kernel.Idle
		}
		if o.flushed != nil {
			close(o.flushed)
			continue
		}
		s.write(o.message)
	}
	return now
}

// write encodes and sends a message. All messages of a flow use the same socket.
func (s *Sockets) write(m session.Outgoing) {
	data, err := wire.Append(s.buf[:0], m.Body)
	s.buf = data
	if err == nil {
		conn := s.conns[message.FlowOf(m.Body).Lo%uint64(len(s.conns))]
		err = conn.Send(data, m.Path)
	}
	if err != nil {
		s.failed.Add(1)
		return
	}
	s.sent.Add(1)
}

// Stats returns the counters since start.
func (s *Sockets) Stats() SocketStats {
	return SocketStats{
		Received: s.received.Load(),
		Rejected: s.rejected.Load(),
		Sent:     s.sent.Load(),
		Failed:   s.failed.Load(),
	}
}
