// Package baseline holds simple ways of balancing that experiments compare the
// fleet with. They are pure simulations of the decision, without a network, VMs
// that fail, or retries: what they lose is lost by the decision alone.
package baseline

import (
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Placement chooses the target of a packet from its flow and the live targets
// alone. There must be at least one target.
type Placement func(flow uint64, live []table.Target) message.TargetID

// Modulo takes the hash of the flow modulo the number of live targets. It ignores
// weights.
func Modulo(flow uint64, live []table.Target) message.TargetID {
	return live[rendezvous.Mix(flow, 0)%uint64(len(live))].ID
}

// Rendezvous takes the first target of the weighted rendezvous ranking (Thaler and
// Ravishankar 1998), without bindings and without a search along the ranking.
func Rendezvous(flow uint64, live []table.Target) message.TargetID {
	var best [1]rendezvous.Ranked
	ranking := rendezvous.Top(best[:], flow, len(live), func(i int) (uint64, uint32) {
		return uint64(live[i].ID), live[i].Weight
	})
	return live[ranking[0].Index].ID
}

// CountMoved returns how many of the flows get packets at another target than before
// at one of the views of the live targets, which follow each other or exist at
// once. Such a flow is broken, since its new target does not know it. Empty views
// are left out.
func CountMoved(choose Placement, flows []uint64, before []table.Target, views ...[]table.Target) int {
	moved := 0
	for _, flow := range flows {
		home := choose(flow, before)
		for _, view := range views {
			if len(view) > 0 && choose(flow, view) != home {
				moved++
				break
			}
		}
	}
	return moved
}
