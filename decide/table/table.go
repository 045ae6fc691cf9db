// Package table holds the operators' table: services, their kinds of work and
// their targets with weights and limits.
package table

import (
	"net/netip"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// State says what work a target takes.
type State uint8

// The states of a target.
const (
	// Active targets take new flows.
	Active State = iota + 1
	// Draining targets take no new flows; established flows stay.
	Draining
	// Leaving targets take no new work; flows move away at a request boundary.
	Leaving
)

// String returns the state as it is written in the table.
func (s State) String() string {
	switch s {
	case Active:
		return "active"
	case Draining:
		return "draining"
	case Leaving:
		return "leaving"
	default:
		return "unknown"
	}
}

// Urgency orders the kinds of work of a service.
type Urgency uint8

// The urgencies, most urgent first.
const (
	Urgent Urgency = iota + 1
	Normal
	Bulk
)

// String returns the urgency as it is written in the table.
func (u Urgency) String() string {
	switch u {
	case Urgent:
		return "urgent"
	case Normal:
		return "normal"
	case Bulk:
		return "bulk"
	default:
		return "unknown"
	}
}

// Kind is one kind of work of a service.
type Kind struct {
	Name    string
	Urgency Urgency
	Share   uint32 // relative share of a target's slots under contention
}

// Target is one row of the table.
type Target struct {
	ID       message.TargetID
	Name     string
	Domain   string // failure domain
	DomainID message.DomainID
	Addr     netip.AddrPort // UDP, requests
	Health   netip.AddrPort // TCP, health and load endpoints over HTTP
	Weight   uint32         // relative share of the service's flows
	Limit    uint32         // largest number of requests in progress
	State    State
}

// Service is a service with its targets, sorted by name.
type Service struct {
	ID      message.ServiceID
	Name    string
	Address string // the address that callers use, for operators
	Kinds   []Kind // indexed by message.KindID
	Targets []Target
}

// Table is the table in force on one VM. It is not safe for concurrent use.
type Table struct {
	services map[message.ServiceID]*Service
	targets  map[message.TargetID]location
}

// location is where a target stands in the table.
type location struct {
	service *Service
	index   int
}

// New returns an empty table.
func New() *Table {
	return &Table{
		services: make(map[message.ServiceID]*Service),
		targets:  make(map[message.TargetID]location),
	}
}

// SetService replaces a service with all its targets.
func (t *Table) SetService(s *Service) {
	t.RemoveService(s.ID)
	t.services[s.ID] = s
	for i := range s.Targets {
		t.targets[s.Targets[i].ID] = location{service: s, index: i}
	}
}

// RemoveService removes a service with all its targets.
func (t *Table) RemoveService(id message.ServiceID) {
	old, ok := t.services[id]
	if !ok {
		return
	}
	for i := range old.Targets {
		delete(t.targets, old.Targets[i].ID)
	}
	delete(t.services, id)
}

// Service returns the service with the given id, or nil.
func (t *Table) Service(id message.ServiceID) *Service {
	return t.services[id]
}

// Target returns a target and its service, or nil and nil.
func (t *Table) Target(id message.TargetID) (*Target, *Service) {
	loc, ok := t.targets[id]
	if !ok {
		return nil, nil
	}
	return &loc.service.Targets[loc.index], loc.service
}

// Services calls yield for every service, in no particular order.
func (t *Table) Services(yield func(*Service) bool) {
	for _, s := range t.services {
		if !yield(s) {
			return
		}
	}
}
