package sheet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Cell identifies one cell. Kind and Target are empty for a cell of the service
// itself (columns address and kinds); otherwise one of them is set.
type Cell struct {
	Service string `json:"service"`
	Kind    string `json:"kind,omitempty"`
	Target  string `json:"target,omitempty"`
	Column  string `json:"column"`
}

// String returns the cell as it is shown to operators.
func (c Cell) String() string {
	switch {
	case c.Target != "":
		return fmt.Sprintf("service %s, target %s, column %s", c.Service, c.Target, c.Column)
	case c.Kind != "":
		return fmt.Sprintf("service %s, kind %s, column %s", c.Service, c.Kind, c.Column)
	default:
		return fmt.Sprintf("service %s, column %s", c.Service, c.Column)
	}
}

// CellChange is one changed cell. An empty value means that the row does not exist.
type CellChange struct {
	Cell
	Old string `json:"old"`
	New string `json:"new"`
}

// Conflict is a cell that both sides of a merge changed to different values.
type Conflict struct {
	Cell
	Base   string `json:"base"`
	Theirs string `json:"theirs"`
	Mine   string `json:"mine"`
}

// String returns the conflict as one line.
func (c Conflict) String() string {
	return fmt.Sprintf("%s: was %q, is now %q, you want %q", c.Cell, c.Base, c.Theirs, c.Mine)
}

// rowID identifies a row in the flattened form that Diff and Merge use: a service, a
// kind or a target.
type rowID struct {
	service string
	kind    string
	target  string
}

func compareRows(a, b rowID) int {
	return cmp.Or(strings.Compare(a.service, b.service), strings.Compare(a.kind, b.kind), strings.Compare(a.target, b.target))
}

// The columns of the three types of rows.
var (
	serviceCells = []string{ColumnAddress, ColumnKinds}
	kindCells    = []string{ColumnUrgency, ColumnShare}
	targetCells  = []string{ColumnDomain, ColumnAddress, ColumnHealth, ColumnWeight, ColumnLimit, ColumnState}
)

func (r rowID) columns() []string {
	switch {
	case r.target != "":
		return targetCells
	case r.kind != "":
		return kindCells
	default:
		return serviceCells
	}
}

func (r rowID) cell(column int) Cell {
	return Cell{Service: r.service, Kind: r.kind, Target: r.target, Column: r.columns()[column]}
}

// cells holds the cells of a row. All cells of a missing row are empty.
type cells [6]string

// kindSeparator separates the names of kinds, which do not contain it.
const kindSeparator = ","

// flatten returns the rows of a sheet by id. A service gets a row of its own, with its
// address and the list of its kinds.
func flatten(s Sheet) map[rowID]cells {
	rows := make(map[rowID]cells, len(s.Kinds)+len(s.Targets))
	for _, r := range s.Kinds {
		service := rows[rowID{service: r.Service}]
		service[0] = r.Address
		if service[1] != "" {
			service[1] += kindSeparator
		}
		service[1] += r.Kind
		rows[rowID{service: r.Service}] = service
		rows[rowID{service: r.Service, kind: r.Kind}] = cells{r.Urgency, r.Share}
	}
	for _, r := range s.Targets {
		rows[rowID{service: r.Service, target: r.Target}] = cells{r.Domain, r.Address, r.Health, r.Weight, r.Limit, r.State}
	}
	return rows
}

// unflatten is the inverse of flatten. It sorts the rows by service and target and keeps
// the order of the kinds of a service. The sheet has no revision and no line numbers.
func unflatten(rows map[rowID]cells) Sheet {
	var s Sheet
	for _, id := range sortedIDs(rows) {
		row := rows[id]
		switch {
		case id.target != "":
			s.Targets = append(s.Targets, TargetRow{
				Service: id.service, Target: id.target,
				Domain: row[0], Address: row[1], Health: row[2], Weight: row[3], Limit: row[4], State: row[5],
			})
		case id.kind == "" && row[1] != "":
			for _, kind := range strings.Split(row[1], kindSeparator) {
				k := rows[rowID{service: id.service, kind: kind}]
				s.Kinds = append(s.Kinds, KindRow{Service: id.service, Address: row[0], Kind: kind, Urgency: k[0], Share: k[1]})
			}
		}
	}
	return s
}

func sortedIDs(rows map[rowID]cells) []rowID {
	ids := make([]rowID, 0, len(rows))
	for id := range rows {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareRows)
	return ids
}

// changedRows returns the sorted ids of the rows that differ.
func changedRows(before, after map[rowID]cells) []rowID {
	var ids []rowID
	for id, row := range before {
		if after[id] != row {
			ids = append(ids, id)
		}
	}
	for id := range after {
		if _, ok := before[id]; !ok {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareRows)
	return ids
}

// Diff returns the changed cells, sorted by service, kind and target. Both
// sheets must be valid.
func Diff(old, updated Sheet) []CellChange {
	before, after := flatten(old), flatten(updated)
	var changes []CellChange
	for _, id := range changedRows(before, after) {
		a, b := before[id], after[id]
		for i := range id.columns() {
			if a[i] != b[i] {
				changes = append(changes, CellChange{Cell: id.cell(i), Old: a[i], New: b[i]})
			}
		}
	}
	return changes
}

// Merge is a three-way merge: it applies the changes from base to mine to theirs.
// Changes of different cells are combined; a cell that both sides changed to different
// values is a conflict and keeps the value of theirs. Removing a row changes all its
// cells; if that conflicts with the other side's change, the whole row is that of theirs.
// The result has no revision and no line numbers. It may be invalid as a whole (for
// example two targets with one address), so callers must validate it. All three sheets
// must be valid.
func Merge(base, theirs, mine Sheet) (Sheet, []Conflict) {
	b, t, m := flatten(base), flatten(theirs), flatten(mine)
	merged := maps.Clone(t)
	var conflicts []Conflict
	for _, id := range changedRows(b, m) {
		row, found := mergeRow(id, b[id], t[id], m[id])
		conflicts = append(conflicts, found...)
		merged[id] = row
		if row == (cells{}) {
			delete(merged, id)
		}
	}
	return unflatten(merged), conflicts
}

// mergeRow merges one row cell by cell.
func mergeRow(id rowID, base, theirs, mine cells) (cells, []Conflict) {
	merged := theirs
	var conflicts []Conflict
	for i := range id.columns() {
		switch {
		case mine[i] == base[i] || mine[i] == theirs[i]:
		case theirs[i] == base[i]:
			merged[i] = mine[i]
		default:
			conflicts = append(conflicts, Conflict{Cell: id.cell(i), Base: base[i], Theirs: theirs[i], Mine: mine[i]})
		}
	}
	if len(conflicts) > 0 && (theirs == cells{} || mine == cells{}) {
		// One side removed the row. A row with only some of its cells would be invalid.
		return theirs, conflicts
	}
	return merged, conflicts
}

// Set returns a copy of the sheet with one cell changed, in the order of unflatten and
// without revision and line numbers. It returns ErrInvalid if the row or the column does
// not exist. It does not validate the new value.
func (s Sheet) Set(cell Cell, value string) (Sheet, error) {
	rows := flatten(s)
	id := rowID{service: cell.Service, kind: cell.Kind, target: cell.Target}
	row, ok := rows[id]
	if !ok {
		return Sheet{}, fmt.Errorf("%s: there is no such row: %w", cell, ErrInvalid)
	}
	column := slices.Index(id.columns(), cell.Column)
	if column < 0 {
		return Sheet{}, fmt.Errorf("%s: use one of %s: %w", cell, strings.Join(id.columns(), ", "), ErrInvalid)
	}
	row[column] = normalize(cell.Column, value)
	rows[id] = row
	return unflatten(rows), nil
}
