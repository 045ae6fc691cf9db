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
	// ringCapacity is the largest number of queued datagrams in each direction.
	ringCapacity = 4096
	// batchSize is the largest number of datagrams handled in one step of a duty.
	batchSize = 64
	// socketBufferBytes is the requested size of the socket's receive buffer.
	socketBufferBytes = 1 << 20
)

// Addresses are the addresses on which a target listens.
type Addresses struct {
	Requests netip.AddrPort // UDP, datagrams of owners
	Health   netip.AddrPort // TCP, health, control and oracle over HTTP
}

// Server is the kernel service that runs a Machine: it has a duty for the machine, a duty for
// sending and a blocker that reads the socket. HTTP returns the service of its HTTP endpoints.
type Server struct {
	name      string
	addresses Addresses
	machine   *Machine
	conn      *net.UDPConn
	gate      *kernel.Gate
	in        *kernel.Ring[message.Message]
	commands  *kernel.Ring[serve.Command]
	sendGate  *kernel.Gate
	out       *kernel.Ring[message.Message]
	buf       []byte
}

// NewServer returns the service "target." + name for machine. The service then owns machine:
// nothing else may use it.
func NewServer(name string, addresses Addresses, machine *Machine) *Server {
	return &Server{name: "target." + name, addresses: addresses, machine: machine}
}

// HTTP returns the service of the target's HTTP API:
//
//	GET /health      Health; the connection is aborted while the target is down
//	POST /control    Control
//	GET /executions  []Execution
//	GET /stats       Stats
func (s *Server) HTTP() *serve.HTTP {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("POST /control", s.serveControl)
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, r *http.Request) {
		all, err := serve.Do(r.Context(), s.commands, func(time.Duration) []Execution { return s.machine.Executions() })
		serve.WriteJSON(w, all, err)
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, r *http.Request) {
		stats, err := serve.Do(r.Context(), s.commands, func(time.Duration) Stats { return s.machine.Stats() })
		serve.WriteJSON(w, stats, err)
	})
	return serve.NewHTTP(s.name+".http", s.addresses.Health, mux, s.name)
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	type healthResult struct {
		health  Health
		reached bool
	}
	h, err := serve.Do(r.Context(), s.commands, func(now time.Duration) healthResult {
		health, reached := s.machine.Health(now)
		return healthResult{health: health, reached: reached}
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
	invalid, err := serve.Do(r.Context(), s.commands, func(now time.Duration) error {
		return s.machine.Apply(now, control)
	})
	if invalid != nil {
		http.Error(w, invalid.Error(), http.StatusBadRequest)
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
	// Best effort: the system may limit the size.
	_ = conn.SetReadBuffer(socketBufferBytes)
	s.conn = conn
	s.gate = kernel.NewGate()
	s.sendGate = kernel.NewGate()
	s.in = kernel.NewRing[message.Message](k, s.name+".in", ringCapacity, kernel.DropNewest, s.gate)
	s.commands = serve.NewCommandRing(k, s.name+".questions", s.gate)
	s.out = kernel.NewRing[message.Message](k, s.name+".out", ringCapacity, kernel.DropNewest, s.sendGate)
	return nil
}

// Connect implements kernel.Service.
func (s *Server) Connect(k *kernel.Kernel) error {
	k.AddDuty(kernel.Duty{Name: s.name, Gate: s.gate, Step: s.step})
	k.AddDuty(kernel.Duty{Name: s.name + ".send", Gate: s.sendGate, Step: s.sendStep})
	k.AddBlocker(kernel.Blocker{Name: s.name + ".receive", Run: s.receiveLoop, Interrupt: func() { s.conn.Close() }})
	return nil
}

// Addr returns the address of the request socket. It is valid after Setup.
func (s *Server) Addr() netip.AddrPort {
	return s.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// receiveLoop passes every valid datagram to the machine's duty until the socket is closed.
func (s *Server) receiveLoop(ctx context.Context) error {
	buf := make([]byte, wire.MaxDatagram+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// An ICMP error for an earlier datagram; the socket remains usable.
			continue
		}
		body, err := wire.Decode(buf[:n])
		if err != nil {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		// A full ring drops and counts the new datagram.
		_ = s.in.Put(message.Message{From: message.VMAddress(0, from), Body: body})
	}
}

func (s *Server) step(now time.Duration) time.Duration {
	s.send(s.machine.Tick(now))
	serve.RunCommands(s.commands, now)
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
		// A full ring drops and counts the new datagram.
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
			// The owner has to handle lost datagrams, as on any network.
			_, _ = s.conn.WriteToUDPAddrPort(data, m.To.Addr)
		}
	}
	return now
}
