package vm

import (
	"maps"
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// reconcileInterval is the time between two full searches for targets to own
// without a known change. It covers the wait for an empty failure domain.
const reconcileInterval = 10 * time.Second

// searchInterval is the least time between two searches after membership
// changes. A search of the own and an empty failure domain looks at 40,000
// targets, 19 ms in a fleet of 15,000 VMs, and deaths come in batches.
const searchInterval = 100 * time.Millisecond

// places lists the targets of the table by failure domain, 8 bytes each, so that
// a search decodes no service and looks at no target of another live domain.
type places map[message.DomainID][]message.TargetID

// replace takes over the new rows of a service.
func (p places) replace(old, rows []table.Target) {
	before := domainsOf(old)
	for i := range rows {
		id, domain := rows[i].ID, rows[i].DomainID
		if was, known := before[id]; known {
			delete(before, id)
			if was == domain {
				continue
			}
			p.remove(id, was)
		}
		p[domain] = append(p[domain], id)
	}
	for i := range old {
		if _, gone := before[old[i].ID]; gone {
			p.remove(old[i].ID, old[i].DomainID)
		}
	}
}

func domainsOf(rows []table.Target) map[message.TargetID]message.DomainID {
	domains := make(map[message.TargetID]message.DomainID, len(rows))
	for i := range rows {
		domains[rows[i].ID] = rows[i].DomainID
	}
	return domains
}

func (p places) remove(id message.TargetID, domain message.DomainID) {
	list := p[domain]
	at := slices.Index(list, id)
	if at < 0 {
		return
	}
	list[at] = list[len(list)-1]
	p[domain] = list[:len(list)-1]
}

// findTargets creates the state of targets that this VM owns by order: those of
// changed services, and after a membership change those of its own failure
// domain and of empty ones.
func (v *VM) findTargets() {
	for _, id := range v.changed {
		v.findInService(id)
	}
	v.changed = v.changed[:0]
	if v.now < v.reconcile {
		return
	}
	v.searched = v.now
	v.reconcile = v.now + reconcileInterval
	for _, domain := range slices.Sorted(maps.Keys(v.places)) {
		v.findInDomain(domain)
	}
}

func (v *VM) findInService(id message.ServiceID) {
	s := v.table.Service(id)
	if s == nil {
		return
	}
	for i := range s.Targets {
		row := &s.Targets[i]
		if v.searches(row.DomainID) && v.mayOwn(row.ID, row.DomainID) {
			v.addTarget(s, *row)
		}
	}
}

func (v *VM) findInDomain(domain message.DomainID) {
	if !v.searches(domain) {
		return
	}
	for _, id := range v.places[domain] {
		if !v.mayOwn(id, domain) {
			continue
		}
		if row, s := v.table.Target(id); row != nil {
			v.addTarget(s, *row)
		}
	}
}

// searches reports whether this VM can own targets of a failure domain.
func (v *VM) searches(domain message.DomainID) bool {
	return domain == v.config.Self.Domain || !v.owners.DomainIsLive(domain)
}

// mayOwn reports whether this VM owns a target by order and has no state of it.
func (v *VM) mayOwn(id message.TargetID, domain message.DomainID) bool {
	if v.targets[id] != nil || v.owners.Domain(id, domain) != v.config.Self.Domain {
		return false
	}
	owner, ok := v.ownerOf(id, domain)
	return ok && owner == v.config.Self.ID
}
