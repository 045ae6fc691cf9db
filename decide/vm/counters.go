package vm

import (
	"net/netip"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/ownership"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Counters counts events since the VM's start.
type Counters struct {
	Forwarded         uint64 // datagrams forwarded to other VMs
	FlowsOpened       uint64
	FlowsAdopted      uint64 // adopted by the binding of a packet, without an owner's state
	FlowsMoved        uint64 // received from leaving targets at other VMs, with repeats
	FlowsClosed       uint64
	FlowsUnknown      uint64 // answered "flow unknown": broken flows
	FlowsLost         uint64 // lost with a crashed target
	TargetsLost       uint64 // crashes of targets that had flows
	Ejections         uint64
	Dispatched        uint64
	Completed         uint64
	Shed              uint64 // not started by the target
	Lapsed            uint64 // not answered in time, without cancelled requests
	Replays           uint64 // recorded answers sent again
	StrayAnswers      uint64 // answers without a matching request
	Takeovers         uint64 // activations with a new epoch
	HandoversSent     uint64
	HandoversReceived uint64
	Revocations       uint64 // epochs replaced after an unconfirmed or incomplete handover
	MovesAbandoned    uint64 // groups of flows whose move was not confirmed
	Pauses            uint64
	TableRejected     uint64 // malformed table entries
}

// Stats returns a copy of the counters.
func (v *VM) Stats() Counters {
	return v.counters
}

// shareDrift returns how far a target's flows exceed its weighted share, as a fraction of
// the share. It is negative below the share. Flows of other targets come from the load
// reports of their owners.
func (v *VM) shareDrift(t *target) float64 {
	flows, weight := v.reportedLoad(t)
	if flows == 0 || weight == 0 || t.row.Weight == 0 {
		return 0
	}
	share := float64(flows) * float64(t.row.Weight) / float64(weight)
	return float64(t.flowCount())/share - 1
}

// HealthTargets calls yield for every target whose health this VM must check.
func (v *VM) HealthTargets(yield func(target message.TargetID, health netip.AddrPort) bool) {
	for _, t := range v.sortedTargets {
		if t.machine.Phase() == ownership.Idle || !t.row.Health.IsValid() {
			continue
		}
		if !yield(t.id, t.row.Health) {
			return
		}
	}
}

// IsRelay reports whether this VM watches the store for its failure domain.
func (v *VM) IsRelay() bool {
	return !v.leaving && v.members.IsRelay()
}

// HasPeers reports whether another VM is in the live set.
func (v *VM) HasPeers() bool {
	return len(v.members.Live()) > 1
}

// TableVersion returns the highest revision of the table at this VM.
func (v *VM) TableVersion() uint64 {
	return v.replica.Version()
}

// TableKeys returns the keys of the table's entries that are not deleted, in no
// particular order.
func (v *VM) TableKeys() []string {
	return v.replica.LiveKeys()
}

// TableChangedAt returns the time at which the table last changed at this VM.
func (v *VM) TableChangedAt() time.Duration {
	return v.tableChangedAt
}

// Table returns the services in force. The caller must not modify them.
func (v *VM) Table() *table.Table {
	return v.table
}

// Owns reports whether the VM is the active owner of a target.
func (v *VM) Owns(id message.TargetID) bool {
	t := v.targets[id]
	return t != nil && t.machine.Phase() == ownership.Active
}

// Flows returns the number of flows of an owned target.
func (v *VM) Flows(id message.TargetID) int {
	if t := v.targets[id]; t != nil {
		return t.flows.Len()
	}
	return 0
}
