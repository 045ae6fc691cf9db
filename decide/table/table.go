package table

import (
	"slices"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// maxExpandedSize bounds the number of targets and services that a table keeps in
// expanded form, about 130 bytes each. Services that were set by SetService do not count,
// and a single service may exceed it while it is the last one used. In a smaller table,
// for example of 10,000 targets, every service stays expanded after its first use. In a
// larger one a service that was not used recently is evicted, and its next use allocates.
const maxExpandedSize = 24_576

// Table is the table in force on one VM. It is not safe for concurrent use.
// Services from a Replica are stored in compact form and expanded on use. A returned
// *Service or *Target is immutable, but may be outdated once the table changes.
type Table struct {
	services    map[message.ServiceID]*serviceRecord
	byNumber    []*serviceRecord // indexed by serviceRecord.number; 0 is not used
	freeNumbers []uint32         // numbers of removed services
	targets     index

	// clock holds the expanded services from a Replica in the order of the CLOCK page
	// replacement algorithm (F. Corbato, 1968).
	clock        []*serviceRecord
	expandedSize int // targets and services of the records in clock
}

// serviceRecord is the record of one service.
type serviceRecord struct {
	number     uint32
	referenced bool     // since the last pass of the clock
	source     *packed  // nil for a service that was set by SetService
	expanded   *Service // nil while only the compact form is stored
}

// New returns an empty table.
func New() *Table {
	return &Table{
		services: make(map[message.ServiceID]*serviceRecord),
		byNumber: make([]*serviceRecord, 1),
	}
}

// SetService adds a service or replaces it with all its targets. The service stays
// expanded, and the caller must not modify it afterwards.
func (t *Table) SetService(s *Service) {
	t.RemoveService(s.ID)
	t.insert(s, &serviceRecord{expanded: s})
}

// setPacked adds or replaces a service from a Replica.
func (t *Table) setPacked(id message.ServiceID, p *packed) {
	t.RemoveService(id)
	t.insert(p.expand(), &serviceRecord{source: p})
}

func (t *Table) insert(s *Service, rec *serviceRecord) {
	rec.number = t.allocateNumber()
	t.byNumber[rec.number] = rec
	t.services[s.ID] = rec
	for i := range s.Targets {
		t.targets.add(entryOf(s.Targets[i].ID, rec.number, i))
	}
}

// allocateNumber returns a free service number. It is at most maxServices, since the
// Replica rejects further services.
func (t *Table) allocateNumber() uint32 {
	if n := len(t.freeNumbers); n > 0 {
		number := t.freeNumbers[n-1]
		t.freeNumbers = t.freeNumbers[:n-1]
		return number
	}
	t.byNumber = append(t.byNumber, nil)
	return uint32(len(t.byNumber) - 1)
}

// RemoveService removes a service with all its targets.
func (t *Table) RemoveService(id message.ServiceID) {
	rec, ok := t.services[id]
	if !ok {
		return
	}
	s := rec.peek()
	for i := range s.Targets {
		t.targets.remove(entryOf(s.Targets[i].ID, rec.number, i))
	}
	t.removeFromClock(rec)
	t.byNumber[rec.number] = nil
	t.freeNumbers = append(t.freeNumbers, rec.number)
	delete(t.services, id)
}

// peek returns the expanded service without storing the expanded form.
func (rec *serviceRecord) peek() *Service {
	if rec.expanded != nil {
		return rec.expanded
	}
	return rec.source.expand()
}

// load returns the expanded service and stores the expanded form.
func (t *Table) load(rec *serviceRecord) *Service {
	rec.referenced = true
	if rec.expanded == nil {
		rec.expanded = rec.source.expand()
		t.clock = append(t.clock, rec)
		t.expandedSize += len(rec.expanded.Targets) + 1
		t.evict(rec)
	}
	return rec.expanded
}

// evict discards expanded forms down to maxExpandedSize, except that of keep. A service
// that was used since the last pass of the clock is skipped once.
func (t *Table) evict(keep *serviceRecord) {
	for t.expandedSize > maxExpandedSize && len(t.clock) > 1 {
		rec := t.clock[0]
		t.clock = t.clock[1:]
		if rec.referenced || rec == keep {
			rec.referenced = rec == keep
			t.clock = append(t.clock, rec)
			continue
		}
		t.expandedSize -= len(rec.expanded.Targets) + 1
		rec.expanded = nil
	}
}

// removeFromClock removes a record from the clock, if it is there.
func (t *Table) removeFromClock(rec *serviceRecord) {
	i := slices.Index(t.clock, rec)
	if i < 0 {
		return
	}
	t.clock = slices.Delete(t.clock, i, i+1)
	t.expandedSize -= len(rec.expanded.Targets) + 1
}

// Service returns the service with the given id, or nil.
func (t *Table) Service(id message.ServiceID) *Service {
	rec, ok := t.services[id]
	if !ok {
		return nil
	}
	return t.load(rec)
}

// Target returns a target and its service, or nil and nil.
func (t *Table) Target(id message.TargetID) (*Target, *Service) {
	x := &t.targets
	if x.count == 0 {
		return nil, nil
	}
	for i := x.homeSlot(uint64(id)); x.slots[i] != 0; i = (i + 1) & x.mask() {
		if !sameFingerprint(x.slots[i], id) {
			continue
		}
		number, position := locationOf(x.slots[i])
		s := t.load(t.byNumber[number])
		if s.Targets[position].ID == id {
			return &s.Targets[position], s
		}
	}
	return nil, nil
}

// Services calls yield for every service, in no particular order, until it returns false.
// It does not keep the expanded forms. The table must not change during the iteration.
func (t *Table) Services(yield func(*Service) bool) {
	for _, rec := range t.services {
		if !yield(rec.peek()) {
			return
		}
	}
}

// Len returns the number of services and targets.
func (t *Table) Len() (services, targets int) {
	return len(t.services), t.targets.count
}
