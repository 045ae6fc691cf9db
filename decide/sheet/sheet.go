// Package sheet holds the operators' table as a spreadsheet: it reads and writes
// CSV, checks every cell, shows differences and merges edits by cell.
//
// A sheet is one file with two sections, each with its own header row: the kinds
// of work of each service, then the targets. One file is one change: services
// and targets that belong together can't be applied apart, and an operator sees
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
	// ColumnRevision starts the row that holds Sheet.Revision.
	ColumnRevision = "revision"
	// ColumnKinds names the list of a service's kinds in differences and
	// conflicts. Its order counts, since it gives the kinds their numbers.
	ColumnKinds = "kinds"
)

// ErrInvalid means that a sheet has faults.
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

// Sheet is a table whose cells are text, checked or not. The order of a
// service's kinds counts; other rows may have any order.
type Sheet struct {
	// Revision is the store's revision that the sheet was exported at, 0 if it is
	// not known. Merging needs it to tell an edit from a cell that is only old.
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

// normalize gives a cell the form in which Diff and Merge compare it: numbers
// without leading zeros, addresses in canonical form, words in lower case. A
// cell that can't be read stays as it is.
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

// FromServices returns the sheet of services, sorted by name.
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

// Services returns the services of a sheet, sorted by name like their targets.
// If Validate finds faults they are returned and no services.
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

// kind converts a row that Validate accepts.
func (r *KindRow) kind() table.Kind {
	urgency, _ := table.ParseUrgency(r.Urgency)
	return table.Kind{Name: r.Kind, Urgency: urgency, Share: number(r.Share)}
}

// target converts a row that Validate accepts.
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
		Weight:   number(r.Weight),
		Limit:    number(r.Limit),
		State:    state,
	}
}

func number(cell string) uint32 {
	n, _ := strconv.ParseUint(cell, 10, 32)
	return uint32(n)
}

// Fault is one thing to correct in a sheet.
type Fault struct {
	Line    int    // 0 if the row does not come from a file
	Row     string // names the row, for rows without a line
	Column  string // empty if the whole row or file is meant
	Problem string
	Remedy  string // what to do
}

// String returns the fault as one line.
func (f Fault) String() string {
	var place []string
	if f.Line > 0 {
		place = append(place, fmt.Sprintf("line %d", f.Line))
	} else if f.Row != "" {
		place = append(place, f.Row)
	}
	if f.Column != "" {
		place = append(place, "column "+f.Column)
	}
	text := f.Problem + ": " + f.Remedy
	if len(place) == 0 {
		return text
	}
	return strings.Join(place, ", ") + ": " + text
}

// InvalidError is ErrInvalid with all faults.
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
