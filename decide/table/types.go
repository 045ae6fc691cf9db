// Package table holds the operators' table: services, their kinds of work and
// their targets with weights and limits.
package table

import (
	"fmt"
	"net/netip"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// State is the administrative state of a target in the table.
type State uint8

// The states of a target.
const (
	// Active targets get new flows.
	Active State = iota + 1
	// Draining targets get no new flows; established flows stay.
	Draining
	// Leaving targets get no new work; flows move to other targets at a request boundary.
	Leaving
)

// ParseState returns the state with the name s, or ErrUnknownValue.
func ParseState(s string) (State, error) {
	for state := Active; state <= Leaving; state++ {
		if s == state.String() {
			return state, nil
		}
	}
	return 0, fmt.Errorf("state %q is not active, draining or leaving: %w", s, ErrUnknownValue)
}

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

// Urgency is the priority of a kind of work of a service.
type Urgency uint8

// The urgencies, in descending order.
const (
	Urgent Urgency = iota + 1
	Normal
	Bulk
)

// ParseUrgency returns the urgency with the name s, or ErrUnknownValue.
func ParseUrgency(s string) (Urgency, error) {
	for urgency := Urgent; urgency <= Bulk; urgency++ {
		if s == urgency.String() {
			return urgency, nil
		}
	}
	return 0, fmt.Errorf("urgency %q is not urgent, normal or bulk: %w", s, ErrUnknownValue)
}

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

// Target is one row of the table. The order of the fields avoids padding, since a VM
// may store many thousands of targets.
type Target struct {
	ID       message.TargetID
	Name     string
	Domain   string         // failure domain
	Addr     netip.AddrPort // UDP address for requests
	Health   netip.AddrPort // TCP address of the HTTP health and load endpoints
	DomainID message.DomainID
	Weight   uint32 // relative share of the service's flows
	Limit    uint32 // maximum number of requests in progress
	State    State
}

// Service is a service with its targets, sorted by name.
type Service struct {
	ID      message.ServiceID
	Name    string
	Address string // address that callers use, shown to operators
	Kinds   []Kind // indexed by message.KindID
	Targets []Target
}
