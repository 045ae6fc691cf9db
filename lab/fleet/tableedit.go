package fleet

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// AddTarget starts the i-th target of a service and adds its row to the table.
func (f *Fleet) AddTarget(spec ServiceSpec, i int) {
	s := f.Service(spec.Name)
	row := f.newRow(spec, i)
	s.Targets = append(s.Targets, row)
	f.PutService(s)
	f.StartTarget(spec.Name, row.Name, targetConfig(spec))
}

// RemoveRow removes a target's row from the table. The target itself keeps running.
func (f *Fleet) RemoveRow(service, name string) {
	s := f.Service(service)
	s.Targets = slices.DeleteFunc(s.Targets, func(row table.Target) bool { return row.Name == name })
	f.PutService(s)
}

// SetStoreDelay sets the delay between a change of the table and its report by the
// store's watches.
func (f *Fleet) SetStoreDelay(d time.Duration) {
	f.storeDelay = d
}

// visible reports whether the store's watches have reported a revision by now.
func (f *Fleet) visible(revision int64) bool {
	return f.Now() >= f.savedAt[revision]+f.storeDelay
}

// FlowsAt returns the number of flows of a target in the flow tables of its owners.
func (f *Fleet) FlowsAt(service, name string) int {
	id := message.TargetIDOf(service, name)
	flows := 0
	for _, vm := range f.vmNames {
		if m := f.vms[vm].machine; m.Owns(id) {
			flows += m.Flows(id)
		}
	}
	return flows
}

// HasLatestTable reports whether a running VM has the latest table revision.
func (f *Fleet) HasLatestTable(vm string) bool {
	return f.vms[vm].machine.TableVersion() == f.Revision()
}
