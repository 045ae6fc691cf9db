// Package drain is the service "drain": the planned stop of a VM that forwards packets. It
// depends on every service that a draining VM needs, so that it stops before them: while
// routers still send datagrams, the VM forwards them with a catalog that follows the store.
package drain

import (
	"context"
	"time"

	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/catalogwatch"
	"github.com/gypsumspan/gypsumspan/services/packets"
	"github.com/gypsumspan/gypsumspan/services/readiness"
	"github.com/gypsumspan/gypsumspan/services/relay"
)

// Name is the service's name.
const Name = "drain"

const (
	// quietTime is the time without datagrams after which a drain ends.
	quietTime = time.Second
	// routerDetectionTime is the time after which routers no longer send to a VM that is
	// not ready: two readiness checks, half a second apart, and their responses.
	routerDetectionTime = 1500 * time.Millisecond
)

// Receiver is the service "packets".
type Receiver interface {
	// LastReceived tells when the VM received its last datagram.
	LastReceived() time.Duration
	// StartLeaving has the VM tell others what they need to know of its flows.
	StartLeaving()
}

// Leaver makes the VM not ready for good; it is the service "readiness".
type Leaver interface {
	Leave()
}

// Service is the service "drain".
type Service struct {
	kernel   *kernel.Kernel
	receiver Receiver
	leaver   Leaver
}

// New returns the service.
func New() *Service { return &Service{} }

// Name implements kernel.Service.
func (s *Service) Name() string { return Name }

// Dependencies implements kernel.Service: the services that work until the drain has ended.
func (s *Service) Dependencies() []string {
	return []string{packets.Name, readiness.Name, relay.Name, catalogwatch.Name}
}

// Setup implements kernel.Service.
func (s *Service) Setup(k *kernel.Kernel) error {
	s.kernel = k
	return nil
}

// Connect implements kernel.Service.
func (s *Service) Connect(k *kernel.Kernel) error {
	var err error
	if s.receiver, err = kernel.Lookup[Receiver](k, packets.Name); err != nil {
		return err
	}
	s.leaver, err = kernel.Lookup[Leaver](k, readiness.Name)
	return err
}

// Stop implements kernel.Stopper: the VM reports that it is not ready, and goes on until
// routers have detected that and no datagram has arrived for quietTime, or until ctx ends.
// Packets that routers still send after that are only delayed: their callers retransmit
// them, and other VMs forward them.
func (s *Service) Stop(ctx context.Context) error {
	s.leaver.Leave()
	s.receiver.StartLeaving()
	startedAt := s.kernel.Now()
	for {
		now := s.kernel.Now()
		end := max(startedAt+routerDetectionTime, s.receiver.LastReceived()+quietTime)
		if now >= end {
			return nil
		}
		timer := time.NewTimer(end - now)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}
