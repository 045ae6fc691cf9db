package daemon

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/gypsumspan/gypsumspan/events"
	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/services/admin"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/services/healthcheck"
	"github.com/gypsumspan/gypsumspan/services/logs"
	"github.com/gypsumspan/gypsumspan/services/peers"
	"github.com/gypsumspan/gypsumspan/services/udp"
	"github.com/gypsumspan/gypsumspan/services/vmlist"
	"github.com/gypsumspan/gypsumspan/settings"
	"github.com/gypsumspan/gypsumspan/wire/seal"
)

// assemble returns an assembled kernel: its sockets are open, its duties start with Run.
// It returns ErrAssemble.
func assemble(s *settings.Settings, o Options, log *logs.Service, signals kernel.Service) (*kernel.Kernel, error) {
	config := machineConfig(s)
	machine, err := o.NewMachine(config)
	if err != nil {
		return nil, fmt.Errorf("%w: state machine: %w", ErrAssemble, err)
	}
	certServices, err := newCertServices(s)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrAssemble, err)
	}
	keys, err := openDatagramKeys(s)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrAssemble, err)
	}
	// The order matters for services that do not depend on each other: admin and signals
	// stop after core, so that they run during the planned leave.
	services := []kernel.Service{
		log,
		signals,
		newUDP(s, log, keys),
		newPeers(s, config),
		newAdmin(s),
		core.New(machine),
		newHealthcheck(s, config),
	}
	services = append(services, certServices...)
	if s.VMList.URL != "" {
		services = append(services, newVMList(s, config))
	}
	if o.NewServices != nil {
		additional, err := o.NewServices(config)
		if err != nil {
			return nil, fmt.Errorf("%w: additional services: %w", ErrAssemble, err)
		}
		services = append(services, additional...)
	}
	k, err := kernel.Build(services...)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrAssemble, err)
	}
	return k, nil
}

func newUDP(s *settings.Settings, log *logs.Service, keys *seal.Source) *udp.Service {
	config := udp.Config{
		Callers:      s.Listen.Callers,
		Data:         s.Listen.Data,
		Keys:         keys,
		OnKeysReload: func(keys *seal.Keys, err error) { logKeyReload(log, keys, err) },
	}
	return udp.New(config, func(from netip.AddrPort, err error) {
		event := events.DatagramRejected
		if errors.Is(err, seal.ErrUnauthenticated) {
			event = events.DatagramUnauthenticated
		}
		log.Log(event, events.F("from", from), events.F("error", err))
	})
}

// logKeyReload logs the reload of the datagram keys, or the error that prevented it.
func logKeyReload(log *logs.Service, keys *seal.Keys, err error) {
	if err != nil {
		log.Log(events.DatagramKeysUnusable, events.F("error", err))
		return
	}
	log.Log(events.DatagramKeysReloaded, events.F("keys", keys.Len()), events.F("signs", keys.SigningID()))
}

func newPeers(s *settings.Settings, config MachineConfig) *peers.Service {
	return peers.New(peers.Config{
		Self:         config.Self.ID,
		Listen:       s.Listen.Control,
		LocalAddr:    s.Outgoing.Address,
		DialTimeout:  s.Timings.PeerDialTimeout,
		WriteTimeout: s.Timings.PeerWriteTimeout,
		IdleTimeout:  s.Timings.PeerIdleTimeout,
		TLS:          s.TLS.Enabled(),
	})
}

func newAdmin(s *settings.Settings) *admin.Service {
	return admin.New(admin.Config{
		VM:           s.VM.Name,
		Domain:       s.VM.Domain,
		Listen:       s.Listen.Admin,
		QueryTimeout: s.Timings.AdminQueryTimeout,
		TLS:          s.TLS.Enabled(),
	})
}

func newHealthcheck(s *settings.Settings, config MachineConfig) *healthcheck.Service {
	return healthcheck.New(healthcheck.Config{
		Interval:  s.Timings.HealthInterval,
		Timeout:   s.Timings.HealthTimeout,
		LocalAddr: s.Outgoing.Address,
		Seed:      config.Seed,
	})
}

func newVMList(s *settings.Settings, config MachineConfig) *vmlist.Service {
	return vmlist.New(vmlist.Config{
		URL:       s.VMList.URL,
		Interval:  s.Timings.VMListInterval,
		Timeout:   s.Timings.VMListTimeout,
		LocalAddr: s.Outgoing.Address,
		Seed:      config.Seed,
	})
}
