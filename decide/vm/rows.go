package vm

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/ownership"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// removedRetention is how long packets to a removed row are still routed to the owner that
// moves the target's flows away.
const removedRetention = 5 * time.Minute

// removedTarget is a row that operators removed from the table.
type removedTarget struct {
	row     table.Target
	service message.ServiceID
	until   time.Duration
}

// tableSettleTime is how long after its first table a VM may lack rows that were removed
// shortly before. Flows of such targets are still being moved.
const tableSettleTime = 10 * time.Second

func (v *VM) tableIsSettling() bool {
	return v.now-v.firstTableAt < tableSettleTime
}

// currentRows returns the present rows of the services that a delta may change.
func (v *VM) currentRows(m *message.TableDelta) map[message.ServiceID][]table.Target {
	old := make(map[message.ServiceID][]table.Target)
	for i := range m.Entries {
		name, _, err := table.ParseKey(m.Entries[i].Key)
		if err != nil {
			continue
		}
		id := message.ServiceIDOf(name)
		if s := v.table.Service(id); s != nil {
			old[id] = s.Targets
		}
	}
	return old
}

// applyServiceRows applies the new rows of a service to owned and removed targets.
func (v *VM) applyServiceRows(id message.ServiceID, old []table.Target) {
	for i := range old {
		row := old[i]
		if t, _ := v.table.Target(row.ID); t != nil {
			continue
		}
		row.State = table.Leaving
		v.removedTargets[row.ID] = removedTarget{row: row, service: id, until: v.now + removedRetention}
	}
	s := v.table.Service(id)
	if s == nil {
		v.targetsByDomain.replaceRows(old, nil)
		v.markRemovedAsLeaving(id)
		return
	}
	v.targetsByDomain.replaceRows(old, s.Targets)
	v.changedServices = append(v.changedServices, id)
	for i := range s.Targets {
		delete(v.removedTargets, s.Targets[i].ID)
		if t := v.targets[s.Targets[i].ID]; t != nil {
			v.setRow(t, s.Targets[i], s.Kinds)
		}
	}
	v.markRemovedAsLeaving(id)
}

// markRemovedAsLeaving sets the state of owned targets of the service to Leaving if their
// row was removed.
func (v *VM) markRemovedAsLeaving(id message.ServiceID) {
	for _, t := range v.sortedTargets {
		if t.service != id {
			continue
		}
		if row, _ := v.table.Target(t.id); row == nil {
			t.row.State = table.Leaving
		}
	}
}

// row returns the row of a target of the service, even if it was removed within
// removedRetention. It returns false for a target of another service.
func (v *VM) row(service message.ServiceID, target message.TargetID) (table.Target, bool) {
	if t, s := v.table.Target(target); t != nil {
		return *t, s.ID == service
	}
	r, ok := v.removedTargets[target]
	return r.row, ok && r.service == service
}

// tickOwnership steps a target's ownership state machine and performs the action.
func (v *VM) tickOwnership(t *target) {
	switch t.machine.Step(v.now, v.view(t)) {
	case ownership.Activate:
		v.activate(t)
	case ownership.Send:
		v.startHandover(t)
	case ownership.Resend:
		v.sendHandover(t)
	case ownership.Revoke:
		v.revoke(t)
	case ownership.Drop:
		v.dropUnownedTarget(t)
	}
}
