package vmlist

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/standin/serve"
)

// Name is the name of the service that owns the list.
const Name = "vmlist"

// Server is the kernel service that owns a List.
type Server struct {
	list     *List
	gate     *kernel.Gate
	commands *kernel.Ring[serve.Command]
}

// NewServer returns the service for list. The service then owns list: nothing else may use it.
func NewServer(list *List) *Server {
	return &Server{list: list}
}

// Lag is the JSON body of PUT /lag.
type Lag struct {
	MS int `json:"ms"` // delay after which a change is shown, in milliseconds
}

// HTTP returns the service of the list's HTTP API:
//
//	GET /vms  Document
//	PUT /vms  Document, replaces the list
//	PUT /lag  Lag
func (s *Server) HTTP(addr netip.AddrPort) *serve.HTTP {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		doc, err := serve.Do(r.Context(), s.commands, s.list.Get)
		serve.WriteJSON(w, doc, err)
	})
	mux.HandleFunc("PUT /vms", s.serveSet)
	mux.HandleFunc("PUT /lag", s.serveLag)
	return serve.NewHTTP(Name+".http", addr, mux, Name)
}

func (s *Server) serveSet(w http.ResponseWriter, r *http.Request) {
	var doc Document
	if !serve.ReadJSON(w, r, &doc) {
		return
	}
	invalid, err := serve.Do(r.Context(), s.commands, func(now time.Duration) error { return s.list.Set(now, doc) })
	if invalid != nil {
		http.Error(w, invalid.Error(), http.StatusBadRequest)
		return
	}
	serve.WriteJSON(w, doc, err)
}

func (s *Server) serveLag(w http.ResponseWriter, r *http.Request) {
	var lag Lag
	if !serve.ReadJSON(w, r, &lag) {
		return
	}
	_, err := serve.Do(r.Context(), s.commands, func(time.Duration) struct{} {
		s.list.SetLag(time.Duration(lag.MS) * time.Millisecond)
		return struct{}{}
	})
	serve.WriteJSON(w, lag, err)
}

// Name implements kernel.Service.
func (s *Server) Name() string { return Name }

// Dependencies implements kernel.Service.
func (s *Server) Dependencies() []string { return nil }

// Setup implements kernel.Service.
func (s *Server) Setup(k *kernel.Kernel) error {
	s.gate = kernel.NewGate()
	s.commands = serve.NewCommandRing(k, Name+".questions", s.gate)
	return nil
}

// Connect implements kernel.Service.
func (s *Server) Connect(k *kernel.Kernel) error {
	k.AddDuty(kernel.Duty{Name: Name, Gate: s.gate, Step: func(now time.Duration) time.Duration {
		serve.RunCommands(s.commands, now)
		return kernel.Idle
	}})
	return nil
}
