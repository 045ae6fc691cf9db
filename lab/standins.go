package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/gypsumspan/gypsumspan/kernel"
	"github.com/gypsumspan/gypsumspan/standin/target"
	"github.com/gypsumspan/gypsumspan/standin/vmlist"
)

// stopGrace bounds the shutdown of a stand-in or a load run.
const stopGrace = 5 * time.Second

// runServices runs services in one kernel until ctx ends.
func runServices(ctx context.Context, services ...kernel.Service) error {
	k := kernel.New(kernel.NewClock())
	for _, s := range services {
		if err := k.Register(s); err != nil {
			return err
		}
	}
	return k.Run(ctx, stopGrace)
}

// TargetOptions configure stand-in targets that all behave alike.
type TargetOptions struct {
	ColdFor     time.Duration
	Backlog     int // see target.Config
	RequireOpen bool
	Seed        uint64
}

// ServeTarget runs one target with default service times until ctx ends.
func ServeTarget(ctx context.Context, addresses target.Addresses, options TargetOptions) error {
	machine := target.New(options.config(target.Config{}), options.Seed)
	server := target.NewServer("t", addresses, machine)
	return runServices(ctx, server, server.HTTP())
}

func (o TargetOptions) config(c target.Config) target.Config {
	c.ColdFor = o.ColdFor
	c.Backlog = o.Backlog
	c.RequireOpen = o.RequireOpen
	return c
}

// ServeTargets runs all targets of a workload, or those of one failure domain,
// in this process until ctx ends. It returns ErrInvalidOption if there is none.
func ServeTargets(ctx context.Context, w *Workload, targets []Target, domain string, options TargetOptions) error {
	var services []kernel.Service
	for i, t := range targets {
		if domain != "" && t.Domain != domain {
			continue
		}
		s := &w.Services[t.Service]
		config := options.config(target.Config{ID: t.ID, Slots: t.Slots, Profiles: s.requestProfiles()})
		server := target.NewServer(s.Name+"/"+t.Name, t.Addresses, target.New(config, options.Seed+uint64(i)))
		services = append(services, server, server.HTTP())
	}
	if len(services) == 0 {
		return fmt.Errorf("no target in failure domain %q: %w", domain, ErrInvalidOption)
	}
	return runServices(ctx, services...)
}

// ServeVMList runs the VM list stand-in until ctx ends. The initial list is read
// from a JSON file; "" means an empty list.
func ServeVMList(ctx context.Context, addr netip.AddrPort, path string, lag time.Duration) error {
	var doc vmlist.Document
	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return fmt.Errorf("VM list: %w: %w", ErrInvalidOption, err)
		}
		if err := json.Unmarshal(data, &doc); err != nil {
			return fmt.Errorf("VM list %s: %w: %w", path, ErrInvalidOption, err)
		}
	}
	list := vmlist.New(doc.VMs)
	list.SetLag(lag)
	server := vmlist.NewServer(list)
	return runServices(ctx, server, server.HTTP(addr))
}
