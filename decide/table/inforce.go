package table

import (
	"slices"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// maxExpanded bounds the targets (and services, each counts as one more) that a
// table keeps in expanded form, about 130 bytes each. Below it, as in a table of
// 10,000 targets, every service stays expanded once it was used. Above it a
// service that was not used recently is expanded again, which allocates.
const maxExpanded = 24_576

// Table is the table in force on one VM. It is not safe for concurrent use.
// Services that come from a Replica are held in compact form and expanded on
// use. A returned *Service or *Target is never changed later, but it is the one
// in force only until the table changes.
type Table struct {
	services map[message.ServiceID]*slot
	numbered []*slot  // by slot.number; 0 is not used
	free     []uint32 // numbers of removed services
	targets  index

	// recent holds the expanded slots in the order of the CLOCK algorithm
	// (Corbato 1968).
	recent []*slot
	weight int // of the slots in recent
}

// slot is the place of one service.
type slot struct {
	number   uint32
	used     bool     // since the clock last passed
	source   *packed  // nil for a service that was set by SetService
	expanded *Service // nil when only the compact form is held
}

// New returns an empty table.
func New() *Table {
	return &Table{
		services: make(map[message.ServiceID]*slot),
		numbered: make([]*slot, 1),
	}
}

// SetService replaces a service with all its targets. It stays expanded, and the
// caller must not change it any more.
func (t *Table) SetService(s *Service) {
	t.RemoveService(s.ID)
	t.insert(s, &slot{expanded: s})
}

// setPacked replaces a service that comes from a Replica.
func (t *Table) setPacked(id message.ServiceID, p *packed) {
	t.RemoveService(id)
	t.insert(p.expand(), &slot{source: p})
}

func (t *Table) insert(s *Service, sl *slot) {
	sl.number = t.takeNumber()
	t.numbered[sl.number] = sl
	t.services[s.ID] = sl
	for i := range s.Targets {
		t.targets.add(entryOf(s.Targets[i].ID, sl.number, i))
	}
}

// takeNumber returns a number below maxServices; the Replica refuses services
// beyond that.
func (t *Table) takeNumber() uint32 {
	if n := len(t.free); n > 0 {
		number := t.free[n-1]
		t.free = t.free[:n-1]
		return number
	}
	t.numbered = append(t.numbered, nil)
	return uint32(len(t.numbered) - 1)
}

// RemoveService removes a service with all its targets.
func (t *Table) RemoveService(id message.ServiceID) {
	sl, ok := t.services[id]
	if !ok {
		return
	}
	s := sl.view()
	for i := range s.Targets {
		t.targets.remove(entryOf(s.Targets[i].ID, sl.number, i))
	}
	t.forget(sl)
	t.numbered[sl.number] = nil
	t.free = append(t.free, sl.number)
	delete(t.services, id)
}

// view returns the expanded service without keeping it.
func (sl *slot) view() *Service {
	if sl.expanded != nil {
		return sl.expanded
	}
	return sl.source.expand()
}

// open returns the expanded service and keeps it.
func (t *Table) open(sl *slot) *Service {
	sl.used = true
	if sl.expanded == nil {
		sl.expanded = sl.source.expand()
		t.recent = append(t.recent, sl)
		t.weight += len(sl.expanded.Targets) + 1
		t.evict(sl)
	}
	return sl.expanded
}

// evict drops expanded forms until the bound holds; it never drops last.
func (t *Table) evict(last *slot) {
	for t.weight > maxExpanded && len(t.recent) > 1 {
		sl := t.recent[0]
		t.recent = t.recent[1:]
		if sl.used || sl == last {
			sl.used = sl == last
			t.recent = append(t.recent, sl)
			continue
		}
		t.weight -= len(sl.expanded.Targets) + 1
		sl.expanded = nil
	}
}

// forget takes a slot that leaves the table out of recent.
func (t *Table) forget(sl *slot) {
	i := slices.Index(t.recent, sl)
	if i < 0 {
		return
	}
	t.recent = slices.Delete(t.recent, i, i+1)
	t.weight -= len(sl.expanded.Targets) + 1
}

// Service returns the service with the given id, or nil.
func (t *Table) Service(id message.ServiceID) *Service {
	sl, ok := t.services[id]
	if !ok {
		return nil
	}
	return t.open(sl)
}

// Target returns a target and its service, or nil and nil.
func (t *Table) Target(id message.TargetID) (*Target, *Service) {
	x := &t.targets
	if x.count == 0 {
		return nil, nil
	}
	for i := x.home(uint64(id)); x.slots[i] != 0; i = (i + 1) & x.mask() {
		if !samePrint(x.slots[i], id) {
			continue
		}
		number, position := placeOf(x.slots[i])
		s := t.open(t.numbered[number])
		if s.Targets[position].ID == id {
			return &s.Targets[position], s
		}
	}
	return nil, nil
}

// Services calls yield for every service, in no particular order. The table
// must not change meanwhile.
func (t *Table) Services(yield func(*Service) bool) {
	for _, sl := range t.services {
		if !yield(sl.view()) {
			return
		}
	}
}

// Len returns the number of services and targets.
func (t *Table) Len() (services, targets int) {
	return len(t.services), t.targets.count
}
