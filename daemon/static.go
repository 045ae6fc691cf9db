package daemon

import (
	"net/netip"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
	"github.com/gypsumspan/gypsumspan/decide/vm"
	"github.com/gypsumspan/gypsumspan/services/core"
)

// StaticEcho returns a factory of machines that serve one service, "echo", on
// one target, without a store.
func StaticEcho(target netip.AddrPort) MachineFactory {
	return func(c MachineConfig) (core.Machine, error) {
		t := table.New()
		t.SetService(&table.Service{
			ID:   message.ServiceIDOf("echo"),
			Name: "echo",
			Targets: []table.Target{{
				ID:     message.TargetIDOf("echo", "t1"),
				Name:   "t1",
				Addr:   target,
				Weight: 1,
				Limit:  3,
				State:  table.Active,
			}},
		})
		return vm.New(vm.Config{Self: c.Self, Epoch: 1}, t), nil
	}
}
