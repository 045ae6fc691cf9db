package daemon

import (
	"github.com/gypsumspan/gypsumspan/decide/membership"
	"github.com/gypsumspan/gypsumspan/decide/vm"
	"github.com/gypsumspan/gypsumspan/services/core"
	"github.com/gypsumspan/gypsumspan/services/tableview"
)

// The service "tableview" queries the state machine through this interface. A machine
// without it would never be treated as a relay.
var _ tableview.Machine = (*vm.VM)(nil)

// NewVM is the MachineFactory of the load balancer's state machine.
func NewVM(c MachineConfig) (core.Machine, error) {
	config := vm.Config{
		Self:        c.Self,
		Seed:        c.Seed,
		ExpectPeers: len(c.Seeds) > 0 || c.Settings.VMList.URL != "",
		Membership:  membership.Config{},
	}
	for _, seed := range c.Seeds {
		config.Membership.Seeds = append(config.Membership.Seeds, seed.Control)
	}
	return vm.New(config, 0), nil
}
