// Package peers is the service "peers": the control links between VMs.
package peers

import (
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/core"
)

// Service is the service "peers".
type Service struct{}

// New returns the service.
func New() *Service { return &Service{} }

// Name implements kernel.Service.
func (s *Service) Name() string { return core.PeersName }

// Needs implements kernel.Service.
func (s *Service) Needs() []string { return nil }

// Setup implements kernel.Service.
func (s *Service) Setup(k *kernel.Kernel) error { return nil }

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error { return nil }

// Send implements core.Output.
func (s *Service) Send(m message.Message) {}
