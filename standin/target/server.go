package target

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/standin/serve"
	"github.com/gypsumspan/gypsumspan/wire"
)

const (
	// ringCapacity is the number of datagrams that may wait in each direction.
	ringCapacity = 4096
	// batchSize is the number of datagrams handled in one step.
	batchSize = 64
	// socketBuffer is the kernel buffer of the socket, in bytes.
	socketBuffer = 1 << 20
)

// Addresses are what a target listens on.
type Addresses struct {
	Requests netip.AddrPort // UDP, datagrams of owners
	Health   netip.AddrPort // TCP, health, control and oracle over HTTP
}

// Server is the kernel service that runs a Machine: one duty for the machine,
// one for sending, one for reading the socket. The endpoints are those of HTTP.
type Server struct {
	name      string
	addresses Addresses
	machine   *Machine
	conn      *net.UDPConn
	gate      *kernel.Gate
	in        *kernel.Ring[message.Message]
	questions *kernel.Ring[serve.Command]
	sendGate  *kernel.Gate
	out       *kernel.Ring[message.Message]
	buf       []byte
}

// NewServer returns the service "target." + name for machine, which it uses
// alone from then on.
func NewServer(name string, addresses Addresses, machine *Machine) *Server {
	return &Server{name: "target." + name, addresses: addresses, machine: machine}
}

// HTTP returns the service of the target's HTTP endpoints:
//
//	GET /health      Health; the connection is cut while the target is down
//	POST /control    Control
//	GET /executions  []Execution
//	GET /stats       Stats
func (s *Server) HTTP() *serve.HTTP {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("POST /control", s.serveControl)
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, r *http.Request) {
		all, err := serve.Do(r.Context(), s.questions, func(time.Duration) []Execution { return s.machine.Executions() })
		serve.WriteJSON(w, all, err)
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, r *http.Request) {
		stats, err := serve.Do(r.Context(), s.questions, func(time.Duration) Stats { return s.machine.Stats() })
		serve.WriteJSON(w, stats, err)
	})
	return serve.NewHTTP(s.name+".http", s.addresses.Health, mux, s.name)
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	type reading struct {
		health  Health
		reached bool
	}
	h, err := serve.Do(r.Context(), s.questions, func(now time.Duration) reading {
		health, reached := s.machine.Health(now)
		return reading{health: health, reached: reached}
	})
	if err == nil && !h.reached {
		panic(http.ErrAbortHandler)
	}
	serve.WriteJSON(w, h.health, err)
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	var control Control
	if !serve.ReadJSON(w, r, &control) {
		return
	}
	applied, err := serve.Do(r.Context(), s.questions, func(now time.Duration) error {
		return s.machine.Apply(now, control)
	})
	if applied != nil {
		http.Error(w, applied.Error(), http.StatusBadRequest)
		return
	}
	serve.WriteJSON(w, control, err)
}

// Name implements kernel.Service.
func (s *Server) Name() string { return s.name }

// Dependencies implements kernel.Service.
func (s *Server) Dependencies() []string { return nil }

// Setup opens the socket.
func (s *Server) Setup(k *kernel.Kernel) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.addresses.Requests))
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.addresses.Requests, err)
	}
	// The system may grant less; that is not an error.
	_ = conn.SetReadBuffer(socketBuffer)
	s.conn = conn
	s.gate = kernel.NewGate()
	s.sendGate = kernel.NewGate()
	s.in = kernel.NewRing[message.Message](k, s.name+".in", ringCapacity, kernel.DropNewest, s.gate)
	s.questions = serve.NewCommandRing(k, s.name+".questions", s.gate)
	s.out = kernel.NewRing[message.Message](k, s.name+".out", ringCapacity, kernel.DropNewest, s.sendGate)
	return nil
}

// Connect implements kernel.Service.
func (s *Server) Connect(k *kernel.Kernel) error {
	k.AddDuty(kernel.Duty{Name: s.name, Gate: s.gate, Step: s.step})
	k.AddDuty(kernel.Duty{Name: s.name + ".send", Gate: s.sendGate, Step: s.sendStep})
	k.AddBlocker(kernel.Blocker{Name: s.name + ".receive", Run: s.read, Interrupt: func() { s.conn.Close() }})
	return nil
}

// Addr returns the address of the request socket, after Setup.
func (s *Server) Addr() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// read hands every valid datagram to the machine until the socket is closed.
func (s *Server) read(ctx context.Context) error {
	buf := make([]byte, wire.MaxDatagram+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error of an earlier datagram; the socket stays usable.
			continue
		}
		body, err := wire.Decode(buf[:n])
		if err != nil {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		// The ring drops the newest datagram when it is full and counts it.
		_ = s.in.Put(message.Message{From: message.VMAddress(0, from), Body: body})
	}
}

func (s *Server) step(now time.Duration) time.Duration {
	s.send(s.machine.Tick(now))
	serve.RunCommands(s.questions, now)
	for range batchSize {
		m, ok := s.in.Take()
		if !ok {
			return s.machine.NextWake()
		}
		s.send(s.machine.Receive(now, m))
	}
	return now
}

func (s *Server) send(out []message.Message) {
	for _, m := range out {
		// The ring drops the newest datagram when it is full and counts it.
		_ = s.out.Put(m)
	}
}

func (s *Server) sendStep(now time.Duration) time.Duration {
	for range batchSize {
		m, ok := s.out.Take()
		if !ok {
			return kernel.Idle
		}
		data, err := wire.Append(s.buf[:0], m.Body)
		s.buf = data
		if err == nil {
			// A lost datagram is the owner's to handle, as on any network.
			_, _ = s.conn.WriteToUDPAddrPort(data, m.To.Addr)
		}
	}
	return now
}
