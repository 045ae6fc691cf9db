package sheet

import (
	"fmt"
	"net/netip"
	"strconv"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Validate returns all faults in the content of a sheet, in the order of its lines.
func (s Sheet) Validate() []Fault {
	c := &checker{
		services:  make(map[string]*serviceCheck),
		ids:       make(map[columnID]string),
		addresses: make(map[string]TargetRow),
	}
	for i := range s.Kinds {
		r := &s.Kinds[i]
		c.rowName = func() string { return "service " + r.Service + ", kind " + r.Kind }
		c.kindRow(r)
	}
	for i := range s.Targets {
		r := &s.Targets[i]
		c.rowName = func() string { return "service " + r.Service + ", target " + r.Target }
		c.targetRow(r)
	}
	c.rowName = nil
	c.checkSizes()
	return sortFaults(c.faults)
}

// checker holds the faults and the earlier rows that a row is compared with.
type checker struct {
	faults    []Fault
	rowName   func() string // identifies the row that is checked
	services  map[string]*serviceCheck
	ids       map[columnID]string  // the first name of each id
	addresses map[string]TargetRow // the first row of each target address
}

// columnID is the id of a name in a column.
type columnID struct {
	column string
	id     uint64
}

type serviceCheck struct {
	line        int // line of the first kind
	address     string
	kindLines   map[string]int // line by name of the kind
	targetLines map[string]int // line by name of the target
	rows        []table.Target // names only, for table.ShardCount
}

func (c *checker) addFault(line int, column, problem, remedy string) {
	f := Fault{Line: line, Column: column, Problem: problem, Remedy: remedy}
	if c.rowName != nil {
		f.Row = c.rowName()
	}
	c.faults = append(c.faults, f)
}

func (c *checker) kindRow(r *KindRow) {
	c.name(r.Line, ColumnService, r.Service)
	c.name(r.Line, ColumnKind, r.Kind)
	c.address(r.Line, ColumnAddress, r.Address)
	if _, err := table.ParseUrgency(r.Urgency); err != nil {
		c.addFault(r.Line, ColumnUrgency, fmt.Sprintf("%q is not an urgency", r.Urgency), "write urgent, normal or bulk")
	}
	c.number(r.Line, ColumnShare, r.Share, table.MaxShare)
	s, ok := c.services[r.Service]
	if !ok {
		s = &serviceCheck{line: r.Line, address: r.Address, kindLines: make(map[string]int), targetLines: make(map[string]int)}
		c.services[r.Service] = s
		c.id(r.Line, ColumnService, r.Service, uint64(message.ServiceIDOf(r.Service)))
	}
	if s.address != r.Address {
		c.addFault(r.Line, ColumnAddress, fmt.Sprintf("%q differs from %q in another row of service %s", r.Address, s.address, r.Service), "write the same address in all rows of the service")
	}
	if line, ok := s.kindLines[r.Kind]; ok {
		c.addFault(r.Line, ColumnKind, fmt.Sprintf("service %s has kind %q twice%s", r.Service, r.Kind, earlierLine(line)), "remove or rename one of them")
		return
	}
	s.kindLines[r.Kind] = r.Line
}

// earlierLine returns a remark with the line of an earlier row, if it has one.
func earlierLine(line int) string {
	if line == 0 {
		return ""
	}
	return fmt.Sprintf(" (first in line %d)", line)
}

func (c *checker) targetRow(r *TargetRow) {
	c.name(r.Line, ColumnService, r.Service)
	c.name(r.Line, ColumnTarget, r.Target)
	c.name(r.Line, ColumnDomain, r.Domain)
	c.id(r.Line, ColumnDomain, r.Domain, uint64(message.DomainIDOf(r.Domain)))
	c.targetAddress(r)
	c.address(r.Line, ColumnHealth, r.Health)
	c.number(r.Line, ColumnWeight, r.Weight, table.MaxWeight)
	c.number(r.Line, ColumnLimit, r.Limit, table.MaxLimit)
	if _, err := table.ParseState(r.State); err != nil {
		c.addFault(r.Line, ColumnState, fmt.Sprintf("%q is not a state", r.State), "write active, draining or leaving")
	}
	s, ok := c.services[r.Service]
	if !ok {
		c.addFault(r.Line, ColumnService, fmt.Sprintf("service %q has no kinds of work", r.Service), "add at least one row for the service to the first section, or correct its name")
		return
	}
	if line, ok := s.targetLines[r.Target]; ok {
		c.addFault(r.Line, ColumnTarget, fmt.Sprintf("service %s has target %q twice%s", r.Service, r.Target, earlierLine(line)), "remove or rename one of them")
		return
	}
	s.targetLines[r.Target] = r.Line
	s.rows = append(s.rows, table.Target{Name: r.Target})
	c.id(r.Line, ColumnTarget, r.Service+"/"+r.Target, uint64(message.TargetIDOf(r.Service, r.Target)))
}

func (c *checker) name(line int, column, cell string) {
	if table.CheckName(cell) != nil {
		c.addFault(line, column, fmt.Sprintf("%q is not a name", cell), "use 1 to 64 of the characters A-Z a-z 0-9 . _ -")
	}
}

func (c *checker) number(line int, column, cell string, upper uint32) {
	remedy := fmt.Sprintf("write a whole number from 1 to %d", upper)
	n, err := strconv.ParseUint(cell, 10, 64)
	switch {
	case err != nil:
		c.addFault(line, column, fmt.Sprintf("%q is not a whole number", cell), remedy)
	case n < 1 || n > uint64(upper):
		c.addFault(line, column, cell+" is out of range", remedy)
	}
}

// address adds a fault unless the cell is an address with a port. It reports whether
// the cell is valid.
func (c *checker) address(line int, column, cell string) bool {
	addr, err := netip.ParseAddrPort(cell)
	if err != nil || addr.Port() == 0 || addr.Addr().Zone() != "" {
		c.addFault(line, column, fmt.Sprintf("%q is not an address with a port", cell), "write it as 192.0.2.1:7000 or [2001:db8::1]:7000")
		return false
	}
	return true
}

// targetAddress adds a fault for an address that is invalid or that two targets use: a
// packet must never reach a target of another service, and a limit applies to one row
// only. A second row of the same target is a fault of targetRow.
func (c *checker) targetAddress(r *TargetRow) {
	if !c.address(r.Line, ColumnAddress, r.Address) {
		return
	}
	other, ok := c.addresses[r.Address]
	if !ok {
		c.addresses[r.Address] = *r
		return
	}
	if other.Service == r.Service && other.Target == r.Target {
		return
	}
	c.addFault(r.Line, ColumnAddress, fmt.Sprintf("%s is the address of target %s of service %s too%s", r.Address, other.Target, other.Service, earlierLine(other.Line)), "give each target its own address")
}

// id adds a fault for a name whose id equals that of another name in the column.
func (c *checker) id(line int, column, name string, id uint64) {
	key := columnID{column: column, id: id}
	other, ok := c.ids[key]
	if !ok {
		c.ids[key] = name
		return
	}
	if other != name {
		c.addFault(line, column, fmt.Sprintf("%q has the same id as %q", name, other), "choose another name")
	}
}

// checkSizes adds a fault for each service with more kinds than table.MaxKinds or more
// targets than its shards can hold.
func (c *checker) checkSizes() {
	for name, s := range c.services {
		if len(s.kindLines) > table.MaxKinds {
			c.addFault(s.line, ColumnKind, fmt.Sprintf("service %s has %d kinds", name, len(s.kindLines)), fmt.Sprintf("use at most %d", table.MaxKinds))
		}
		if _, err := table.ShardCount(s.rows, 0); err != nil {
			c.addFault(s.line, ColumnService, fmt.Sprintf("service %s has %d targets", name, len(s.rows)), "split the service")
		}
	}
}
