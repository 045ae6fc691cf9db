// Package sheet represents the operators' table as a spreadsheet: it reads and writes
// CSV, validates every cell, computes differences and merges edits cell by cell.
//
// A sheet is one file with two sections, each with its own header row: the kinds of
// work of each service, then the targets. A file is applied as one change, so services
// and targets that belong together cannot be applied separately, and an operator sees
// both in one window of the spreadsheet.
package sheet

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

// Names of the columns.
const (
	ColumnService = "service"
	ColumnAddress = "address"
	ColumnKind    = "kind"
	ColumnUrgency = "urgency"
	ColumnShare   = "share"
	ColumnTarget  = "target"
	ColumnDomain  = "domain"
	ColumnHealth  = "health"
	ColumnWeight  = "weight"
	ColumnLimit   = "limit"
	ColumnState   = "state"
	// ColumnRevision is the first cell of the row with Sheet.Revision.
	ColumnRevision = "revision"
	// ColumnKinds is the list of a service's kinds in differences and conflicts. Its
	// order is significant, since it determines message.KindID of the kinds.
	ColumnKinds = "kinds"
)

// ErrInvalid means that a sheet has faults or lacks a named cell.
var ErrInvalid = errors.New("table is invalid")

// KindRow is one row of the first section: a kind of work of a service.
type KindRow struct {
	Line    int    `json:"-"` // in the file, from 1; 0 if the row does not come from a file
	Service string `json:"service"`
	Address string `json:"address"` // of the service, the same in all its rows
	Kind    string `json:"kind"`
	Urgency string `json:"urgency"`
	Share   string `json:"share"`
}

// TargetRow is one row of the second section.
type TargetRow struct {
	Line    int    `json:"-"` // in the file, from 1; 0 if the row does not come from a file
	Service string `json:"service"`
	Target  string `json:"target"`
	Domain  string `json:"domain"`
	Address string `json:"address"`
	Health  string `json:"health"`
	Weight  string `json:"weight"`
	Limit   string `json:"limit"`
	State   string `json:"state"`
}

// Sheet is a table whose cells are text. They need not be valid. The order of a
// service's kinds is significant; other rows may have any order.
type Sheet struct {
	// Revision is the store revision at which the sheet was exported, 0 if unknown. A
	// merge needs it to distinguish an edited cell from an outdated one.
	Revision int64       `json:"revision"`
	Kinds    []KindRow   `json:"kinds"`
	Targets  []TargetRow `json:"targets"`
}

// column is one column of a section.
type column[R any] struct {
	name string
	cell func(*R) *string
}

var kindColumns = []column[KindRow]{
	{ColumnService, func(r *KindRow) *string { return &r.Service }},
	{ColumnAddress, func(r *KindRow) *string { return &r.Address }},
	{ColumnKind, func(r *KindRow) *string { return &r.Kind }},
	{ColumnUrgency, func(r *KindRow) *string { return &r.Urgency }},
	{ColumnShare, func(r *KindRow) *string { return &r.Share }},
}

var targetColumns = []column[TargetRow]{
	{ColumnService, func(r *TargetRow) *string { return &r.Service }},
	{ColumnTarget, func(r *TargetRow) *string { return &r.Target }},
	{ColumnDomain, func(r *TargetRow) *string { return &r.Domain }},
	{ColumnAddress, func(r *TargetRow) *string { return &r.Address }},
	{ColumnHealth, func(r *TargetRow) *string { return &r.Health }},
	{ColumnWeight, func(r *TargetRow) *string { return &r.Weight }},
	{ColumnLimit, func(r *TargetRow) *string { return &r.Limit }},
	{ColumnState, func(r *TargetRow) *string { return &r.State }},
}

// normalize returns a cell in the form in which Diff and Merge compare it: numbers
// without leading zeros, addresses in canonical form, urgencies and states in lower
// case. All other cells, and numbers and addresses that cannot be parsed, are only trimmed.
func normalize(column, cell string) string {
	cell = strings.TrimSpace(cell)
	switch column {
	case ColumnShare, ColumnWeight, ColumnLimit:
		if n, err := strconv.ParseUint(cell, 10, 32); err == nil {
			return strconv.FormatUint(n, 10)
		}
	case ColumnAddress, ColumnHealth:
		if addr, err := netip.ParseAddrPort(cell); err == nil {
			return addr.String()
		}
	case ColumnUrgency, ColumnState:
		return strings.ToLower(cell)
	}
	return cell
}

// FromServices returns the sheet of services, in the order of their names, without a
// revision. Kinds and targets keep their order.
func FromServices(services []*table.Service) Sheet {
	sorted := slices.Clone(services)
	slices.SortFunc(sorted, func(a, b *table.Service) int { return strings.Compare(a.Name, b.Name) })
	var s Sheet
	for _, service := range sorted {
		for _, k := range service.Kinds {
			s.Kinds = append(s.Kinds, KindRow{
				Service: service.Name,
				Address: service.Address,
				Kind:    k.Name,
				Urgency: k.Urgency.String(),
				Share:   strconv.FormatUint(uint64(k.Share), 10),
			})
		}
		for i := range service.Targets {
			s.Targets = append(s.Targets, targetRow(service.Name, &service.Targets[i]))
		}
	}
	return s
}

func targetRow(service string, t *table.Target) TargetRow {
	row := TargetRow{
		Service: service,
		Target:  t.Name,
		Domain:  t.Domain,
		Address: t.Addr.String(),
		Weight:  strconv.FormatUint(uint64(t.Weight), 10),
		Limit:   strconv.FormatUint(uint64(t.Limit), 10),
		State:   t.State.String(),
	}
	if t.Health.IsValid() {
		row.Health = t.Health.String()
	}
	return row
}

// Services returns the services of a sheet. Services and their targets are sorted by
// name. If Validate finds faults, it returns only these.
func (s Sheet) Services() ([]*table.Service, []Fault) {
	if faults := s.Validate(); len(faults) > 0 {
		return nil, faults
	}
	byName := make(map[string]*table.Service)
	var services []*table.Service
	for _, row := range s.Kinds {
		service, ok := byName[row.Service]
		if !ok {
			service = &table.Service{ID: message.ServiceIDOf(row.Service), Name: row.Service, Address: row.Address}
			byName[row.Service] = service
			services = append(services, service)
		}
		service.Kinds = append(service.Kinds, row.kind())
	}
	for _, row := range s.Targets {
		service := byName[row.Service]
		service.Targets = append(service.Targets, row.target())
	}
	for _, service := range services {
		slices.SortFunc(service.Targets, func(a, b table.Target) int { return strings.Compare(a.Name, b.Name) })
	}
	slices.SortFunc(services, func(a, b *table.Service) int { return strings.Compare(a.Name, b.Name) })
	return services, nil
}

// kind converts a valid row.
func (r *KindRow) kind() table.Kind {
	urgency, _ := table.ParseUrgency(r.Urgency)
	return table.Kind{Name: r.Kind, Urgency: urgency, Share: parseNumber(r.Share)}
}

// target converts a valid row.
func (r *TargetRow) target() table.Target {
	addr, _ := netip.ParseAddrPort(r.Address)
	health, _ := netip.ParseAddrPort(r.Health)
	state, _ := table.ParseState(r.State)
	return table.Target{
		ID:       message.TargetIDOf(r.Service, r.Target),
		Name:     r.Target,
		Domain:   r.Domain,
		DomainID: message.DomainIDOf(r.Domain),
		Addr:     addr,
		Health:   health,
		Weight:   parseNumber(r.Weight),
		Limit:    parseNumber(r.Limit),
		State:    state,
	}
}

func parseNumber(cell string) uint32 {
	n, _ := strconv.ParseUint(cell, 10, 32)
	return uint32(n)
}

// Fault is an error in a sheet and its remedy, for operators.
type Fault struct {
	Line    int    // 0 if the fault has no line in a file
	Row     string // identifies the row for a fault without a line; may be empty
	Column  string // empty if the fault concerns the whole row or file
	Problem string
	Remedy  string // how to correct it
}

// String returns the fault as one line.
func (f Fault) String() string {
	var location []string
	if f.Line > 0 {
		location = append(location, fmt.Sprintf("line %d", f.Line))
	} else if f.Row != "" {
		location = append(location, f.Row)
	}
	if f.Column != "" {
		location = append(location, "column "+f.Column)
	}
	text := f.Problem + ": " + f.Remedy
	if len(location) == 0 {
		return text
	}
	return strings.Join(location, ", ") + ": " + text
}

// InvalidError is an ErrInvalid with all faults of a sheet.
type InvalidError struct {
	Faults []Fault
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := []string{fmt.Sprintf("%v (number of faults: %d)", ErrInvalid, len(e.Faults))}
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (e *InvalidError) Is(target error) bool { return target == ErrInvalid }

func sortFaults(faults []Fault) []Fault {
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return faults
}
