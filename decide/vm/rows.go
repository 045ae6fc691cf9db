package vm

import (
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/ownership"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// removedRetention is how long a removed row still leads packets to the owner
// that moves the target's flows away.
const removedRetention = 5 * time.Minute

// removedTarget is a row that the operators removed from the table.
type removedTarget struct {
	row     table.Target
	service message.ServiceID
	until   time.Duration
}

// youngTable is how long after its first table a VM may lack rows that were
// removed a short time before. Flows of such a target are still on the move.
const youngTable = 10 * time.Second

func (v *VM) tableIsYoung() bool {
	return v.now-v.tableFirst < youngTable
}

// rowsOf returns the services in force that a delta may change.
func (v *VM) rowsOf(m *message.TableDelta) map[message.ServiceID][]table.Target {
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

// followService applies the new rows of a service to owned and removed targets.
func (v *VM) followService(id message.ServiceID, old []table.Target) {
	for i := range old {
		row := old[i]
		if t, _ := v.table.Target(row.ID); t != nil {
			continue
		}
		row.State = table.Leaving
		v.removed[row.ID] = removedTarget{row: row, service: id, until: v.now + removedRetention}
	}
	s := v.table.Service(id)
	if s == nil {
		v.places.replace(old, nil)
		v.followRemoved(id)
		return
	}
	v.places.replace(old, s.Targets)
	v.changed = append(v.changed, id)
	for i := range s.Targets {
		delete(v.removed, s.Targets[i].ID)
		if t := v.targets[s.Targets[i].ID]; t != nil {
			v.setRow(t, s.Targets[i], s.Kinds)
		}
	}
	v.followRemoved(id)
}

// followRemoved makes owned targets of the service leave when their row is gone.
func (v *VM) followRemoved(id message.ServiceID) {
	for _, t := range v.order {
		if t.service != id {
			continue
		}
		if row, _ := v.table.Target(t.id); row == nil {
			t.row.State = table.Leaving
		}
	}
}

// row returns the row of a target of the service, also of a target that was
// removed a short time ago. It returns false for a target of another service.
func (v *VM) row(service message.ServiceID, target message.TargetID) (table.Target, bool) {
	if t, s := v.table.Target(target); t != nil {
		return *t, s.ID == service
	}
	r, ok := v.removed[target]
	return r.row, ok && r.service == service
}

// tickOwnership steps a target's ownership and does what it asks for.
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
		v.dropWaiting(t)
	}
}
