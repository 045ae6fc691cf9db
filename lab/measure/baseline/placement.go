// Package baseline has simple methods of load balancing with which experiments compare the
// fleet. They simulate the decisions only, without a network, failing VMs or retries, so that
// their losses are due to the decisions alone.
package baseline

import (
	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/rendezvous"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Placement chooses the target of a packet from nothing but its flow and the live targets, of
// which there must be at least one.
type Placement func(flow uint64, live []table.Target) message.TargetID

// Modulo chooses the target whose index is the hash of the flow modulo the number of live
// targets. It ignores weights.
func Modulo(flow uint64, live []table.Target) message.TargetID {
	return live[rendezvous.Mix(flow, 0)%uint64(len(live))].ID
}

// Rendezvous chooses the first target of the weighted rendezvous ranking (Thaler and
// Ravishankar 1998), without bindings and without a search along the ranking.
func Rendezvous(flow uint64, live []table.Target) message.TargetID {
	var best [1]rendezvous.Ranked
	ranking := rendezvous.Top(best[:], flow, len(live), func(i int) (uint64, uint32) {
		return uint64(live[i].ID), live[i].Weight
	})
	return live[ranking[0].Index].ID
}

// CountMoved returns the number of flows whose target differs from that among before in at
// least one of the views of the live targets. The views follow each other or exist at the same
// time. Such a flow is broken, since its new target has no state of it. Empty views are
// skipped.
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
