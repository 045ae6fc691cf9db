// Package udp is the service "udp": it receives and sends the VM's datagrams, on one
// socket for callers and one for other VMs and targets.
package udp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/wire"
	"github.com/gypsumspan/gypsumspan/wire/seal"
)

const (
	// ringCapacity is the number of outgoing datagrams that may be queued.
	ringCapacity = 8192
	// batchSize bounds the datagrams sent in one step.
	batchSize = 64
	// socketBuffer is the size in bytes of each socket's send and receive buffers, which
	// hold the datagrams that arrive while the reader is not scheduled.
	socketBuffer = 4 << 20
	// keyReloadInterval is the time between two reads of the key file.
	keyReloadInterval = 10 * time.Second
)

// ErrUnexpectedMessage means that a datagram has a type that is not accepted on its socket.
var ErrUnexpectedMessage = errors.New("message type is not accepted on this socket")

// Inbox receives decoded messages; it is the service "core".
type Inbox interface {
	Put(m message.Message) error
}

// Config configures the service.
type Config struct {
	Callers netip.AddrPort // address for datagrams from callers
	Data    netip.AddrPort // address for datagrams from VMs and targets
	// Keys authenticate the datagrams between VMs; nil disables authentication.
	Keys *seal.Source
	// OnKeysReload is called by a duty after the key file has changed, with the new keys,
	// or can't be read, with the keys still in use and an error. It may be nil.
	OnKeysReload func(keys *seal.Keys, err error)
}

// Stats counts datagrams since start.
type Stats struct {
	Received uint64
	Rejected uint64 // malformed, too large, of an unsupported version or type, or not sealed as required
	Sent     uint64
	Failed   uint64 // not sent because of an error; full rings count their drops themselves
	// Unauthenticated counts those of Rejected whose seal was wrong, missing, or present on a
	// type that is not sealed.
	Unauthenticated uint64
}

// Service is the service "udp".
type Service struct {
	config        Config
	onReject      func(from netip.AddrPort, err error)
	callers       *net.UDPConn
	data          *net.UDPConn
	gate          *kernel.Gate
	out           *kernel.Ring[message.Message]
	buf           []byte
	sealer        *seal.Sealer // used by the sending duty; nil without keys
	reloadGate    *kernel.Gate
	nextKeyReload time.Duration // time of the next read of the key file

	flush   chan struct{} // closed by Stop
	flushed chan struct{} // closed by the sending duty
	once    sync.Once

	received atomic.Uint64
	rejected atomic.Uint64
	sent     atomic.Uint64
	failed   atomic.Uint64

	unauthenticated atomic.Uint64
}

// ErrNoKeys means that a datagram is sealed, but this VM has no keys.
var ErrNoKeys = errors.New("datagram is sealed, but no keys are set")

// New returns the service. onReject is called concurrently by the readers of both sockets
// for each rejected datagram, and must limit the rate of its log lines; it may be nil.
func New(config Config, onReject func(from netip.AddrPort, err error)) *Service {
	if onReject == nil {
		onReject = func(netip.AddrPort, error) {}
	}
	return &Service{
		config:   config,
		onReject: onReject,
		flush:    make(chan struct{}),
		flushed:  make(chan struct{}),
	}
}

// Name implements kernel.Service.
func (s *Service) Name() string { return core.UDPName }

// Dependencies implements kernel.Service.
func (s *Service) Dependencies() []string { return nil }

// Setup implements kernel.Service: it opens the sockets.
func (s *Service) Setup(k *kernel.Kernel) error {
	var err error
	if s.callers, err = listen(s.config.Callers); err != nil {
		return err
	}
	if s.data, err = listen(s.config.Data); err != nil {
		return errors.Join(err, s.callers.Close())
	}
	s.gate = kernel.NewGate()
	s.out = kernel.NewRing[message.Message](k, "udp.out", ringCapacity, kernel.DropNewest, s.gate)
	return nil
}

func listen(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	}
	// The system may limit the buffers to less than socketBuffer; that is not an error.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	inbox, err := kernel.Lookup[Inbox](k, core.Name)
	if err != nil {
		return err
	}
	s.addReader(k, "udp.callers", s.callers, inbox, callerPolicy)
	s.addReader(k, "udp.data", s.data, inbox, s.dataPolicy())
	if s.config.Keys != nil {
		s.sealer = seal.NewSealer(s.config.Keys)
		s.reloadGate = kernel.NewGate()
		k.AddDuty(kernel.Duty{Name: "udp.keys", Gate: s.reloadGate, Step: s.reloadKeys})
	}
	k.AddDuty(kernel.Duty{Name: "udp.send", Gate: s.gate, Step: s.sendStep})
	return nil
}

// policy determines which datagrams one socket accepts. It is not safe for concurrent use.
type policy struct {
	// sender returns the sender's address, or false if the message type is not accepted.
	sender  func(from netip.AddrPort, body message.Body) (message.Address, bool)
	sealer  *seal.Sealer // verifies the datagrams of VMs; nil without keys
	fromVMs bool         // other VMs send to this socket
}

var callerPolicy = policy{sender: callerSender}

func (s *Service) dataPolicy() policy {
	p := policy{sender: dataSender, fromVMs: true}
	if s.config.Keys != nil {
		p.sealer = seal.NewSealer(s.config.Keys)
	}
	return p
}

// isBetweenVMs reports whether datagrams with this type of message are sent from one VM to
// another, and so are sealed if there are keys.
func isBetweenVMs(body message.Body) bool {
	switch body.(type) {
	case *message.Forward, *message.KindClosed:
		return true
	default:
		return false
	}
}

func callerSender(from netip.AddrPort, body message.Body) (message.Address, bool) {
	switch body.(type) {
	case *message.Open, *message.Request, *message.Cancel, *message.Close:
		return message.CallerAddress(from), true
	default:
		return message.Address{}, false
	}
}

func dataSender(from netip.AddrPort, body message.Body) (message.Address, bool) {
	switch m := body.(type) {
	case *message.Forward:
		return message.VMAddress(m.Ingress, from), true
	case *message.KindClosed:
		return message.VMAddress(0, from), true
	case *message.Answer:
		return message.TargetAddress(0, from), true
	case *message.Shed:
		return message.TargetAddress(m.Target, from), true
	default:
		return message.Address{}, false
	}
}

func (s *Service) addReader(k *kernel.Kernel, name string, conn *net.UDPConn, inbox Inbox, policy policy) {
	k.AddBlocker(kernel.Blocker{
		Name:      name,
		Run:       func(ctx context.Context) error { return s.read(ctx, conn, inbox, policy) },
		Interrupt: func() { conn.Close() },
	})
}

// read passes accepted datagrams to the inbox until ctx ends, or the socket or the inbox is
// closed.
func (s *Service) read(ctx context.Context, conn *net.UDPConn, inbox Inbox, policy policy) error {
	// One byte more than the largest sealed datagram, so that a longer one is rejected.
	buf := make([]byte, wire.MaxDatagram+seal.Size+1)
	var pause kernel.ErrorPause
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The error of an earlier datagram, reported by ICMP; the socket stays usable.
			pause.Wait(ctx)
			continue
		}
		pause.Succeeded()
		s.received.Add(1)
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		m, err := decode(buf[:n], from, policy)
		if err != nil {
			s.rejected.Add(1)
			if errors.Is(err, seal.ErrUnauthenticated) {
				s.unauthenticated.Add(1)
			}
			s.onReject(from, err)
			continue
		}
		if err := inbox.Put(m); errors.Is(err, kernel.ErrRingClosed) {
			return nil
		}
	}
}

// decode decodes a datagram that arrived under the given policy. It returns ErrNoKeys,
// ErrUnexpectedMessage, seal.ErrUnauthenticated or an error of package wire.
func decode(data []byte, from netip.AddrPort, policy policy) (message.Message, error) {
	sealed := policy.fromVMs && seal.IsSealed(data)
	if sealed && policy.sealer == nil {
		return message.Message{}, ErrNoKeys
	}
	if sealed {
		var err error
		if data, err = policy.sealer.Open(data); err != nil {
			return message.Message{}, err
		}
	}
	if len(data) > wire.MaxDatagram {
		return message.Message{}, fmt.Errorf("datagram above %d bytes: %w", wire.MaxDatagram, wire.ErrOutOfRange)
	}
	body, err := wire.Decode(data)
	if err != nil {
		return message.Message{}, err
	}
	if policy.sealer != nil && isBetweenVMs(body) != sealed {
		return message.Message{}, fmt.Errorf("%T, sealed: %t: %w", body, sealed, seal.ErrUnauthenticated)
	}
	sender, ok := policy.sender(from, body)
	if !ok {
		return message.Message{}, fmt.Errorf("%T: %w", body, ErrUnexpectedMessage)
	}
	return message.Message{From: sender, Body: body}, nil
}

// reloadKeys is a step of the duty "udp.keys": it reads the key file at each interval.
func (s *Service) reloadKeys(now time.Duration) time.Duration {
	if now < s.nextKeyReload {
		return s.nextKeyReload
	}
	s.nextKeyReload = now + keyReloadInterval
	changed, err := s.config.Keys.Reload()
	if (changed || err != nil) && s.config.OnKeysReload != nil {
		s.config.OnKeysReload(s.config.Keys.Current(), err)
	}
	return s.nextKeyReload
}

// Send implements core.Output.
func (s *Service) Send(m message.Message) {
	// A full ring drops the datagram and counts it.
	_ = s.out.Put(m)
}

func (s *Service) sendStep(now time.Duration) time.Duration {
	for range batchSize {
		m, ok := s.out.Take()
		if !ok {
			s.signalFlushed()
			return kernel.Idle
		}
		s.write(m)
	}
	return now
}

func (s *Service) signalFlushed() {
	select {
	case <-s.flush:
		s.once.Do(func() { close(s.flushed) })
	default:
	}
}

// Stop implements kernel.Stopper: it waits until the queued datagrams are sent. It returns an
// error if ctx ends first.
func (s *Service) Stop(ctx context.Context) error {
	close(s.flush)
	s.gate.Signal()
	select {
	case <-s.flushed:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("send queued datagrams: %w", ctx.Err())
	}
}

func (s *Service) write(m message.Message) {
	sealed := s.sealer != nil && isBetweenVMs(m.Body)
	var room [seal.Size]byte
	data := s.buf[:0]
	if sealed {
		data = append(data, room[:]...) // room for the seal
	}
	data, err := wire.Append(data, m.Body)
	s.buf = data
	if err == nil {
		if sealed {
			s.sealer.Seal(data)
		}
		conn := s.data
		if m.To.Kind == message.PeerCaller {
			conn = s.callers
		}
		_, err = conn.WriteToUDPAddrPort(data, m.To.Addr)
	}
	if err != nil {
		s.failed.Add(1)
		return
	}
	s.sent.Add(1)
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	return Stats{
		Received: s.received.Load(),
		Rejected: s.rejected.Load(),
		Sent:     s.sent.Load(),
		Failed:   s.failed.Load(),

		Unauthenticated: s.unauthenticated.Load(),
	}
}
