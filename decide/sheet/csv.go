package sheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// ParseCSV reads a sheet in CSV format (RFC 4180, separated by commas or semicolons): an
// optional row with the revision, then both sections in any order. Columns may have any
// order, empty rows are skipped, and cells are normalized. It returns all faults in the
// format of the file up to the first error of the CSV syntax; Validate finds those in the
// content.
func ParseCSV(data []byte) (Sheet, []Fault) {
	const byteOrderMark = "\xef\xbb\xbf" // some spreadsheets write it
	data = bytes.TrimPrefix(data, []byte(byteOrderMark))
	r := csv.NewReader(bytes.NewReader(data))
	r.Comma = detectSeparator(data)
	r.FieldsPerRecord = -1
	p := &parser{}
	for {
		record, err := r.Read()
		if err == io.EOF {
			break
		}
		if err != nil {
			p.faults = append(p.faults, syntaxFault(err))
			break
		}
		line, _ := r.FieldPos(0)
		p.parseRecord(line, record)
	}
	p.checkSections()
	return p.sheet, sortFaults(p.faults)
}

// detectSeparator returns the separator that is more frequent in the first line:
// spreadsheets in a locale with a decimal comma separate cells by semicolons.
func detectSeparator(data []byte) rune {
	first, _, _ := bytes.Cut(data, []byte("\n"))
	if bytes.Count(first, []byte(";")) > bytes.Count(first, []byte(",")) {
		return ';'
	}
	return ','
}

func syntaxFault(err error) Fault {
	fault := Fault{Problem: err.Error(), Remedy: "save the file as CSV again"}
	var syntax *csv.ParseError
	if errors.As(err, &syntax) {
		fault.Line = syntax.Line
		fault.Problem = syntax.Err.Error()
	}
	return fault
}

type section int

const (
	noSection section = iota
	kindSection
	targetSection
	invalidSection // the header has faults; the rows are skipped
)

// parser collects the rows of both sections and the faults.
type parser struct {
	sheet                Sheet
	faults               []Fault
	section              section
	names                []string // columns of the section, in the order of the file
	seen                 [invalidSection]bool
	beforeHeaderReported bool // a row before the first header was reported already
}

func (p *parser) addFault(line int, column, problem, remedy string) {
	p.faults = append(p.faults, Fault{Line: line, Column: column, Problem: problem, Remedy: remedy})
}

// parseRecord parses a CSV record that starts at the given line.
func (p *parser) parseRecord(line int, record []string) {
	for i := range record {
		record[i] = strings.TrimSpace(record[i])
	}
	for len(record) > 0 && record[len(record)-1] == "" {
		record = record[:len(record)-1]
	}
	switch {
	case len(record) == 0:
	case p.section == noSection && strings.EqualFold(record[0], ColumnRevision):
		p.parseRevision(line, record)
	case isHeader(record):
		p.parseHeader(line, record)
	case p.section == noSection:
		p.reportBeforeHeader(line)
	case p.section == kindSection:
		row := KindRow{Line: line}
		fillRow(p, line, record, kindColumns, &row)
		p.sheet.Kinds = append(p.sheet.Kinds, row)
	case p.section == targetSection:
		row := TargetRow{Line: line}
		fillRow(p, line, record, targetColumns, &row)
		p.sheet.Targets = append(p.sheet.Targets, row)
	}
}

// isHeader reports whether a row names columns: it has a cell "service" and a cell "kind"
// or "target", in any letter case.
func isHeader(record []string) bool {
	names := make([]string, len(record))
	for i := range record {
		names[i] = strings.ToLower(record[i])
	}
	return slices.Contains(names, ColumnService) && (slices.Contains(names, ColumnKind) || slices.Contains(names, ColumnTarget))
}

func (p *parser) parseRevision(line int, record []string) {
	if len(record) == 2 {
		if n, err := strconv.ParseInt(record[1], 10, 64); err == nil && n > 0 {
			p.sheet.Revision = n
			return
		}
	}
	p.addFault(line, ColumnRevision, "the row does not hold one number", "leave it as it was exported")
}

func (p *parser) reportBeforeHeader(line int) {
	if !p.beforeHeaderReported {
		p.addFault(line, "", "row before the first header", "start the file with the header "+strings.Join(namesOf(kindColumns), ","))
	}
	p.beforeHeaderReported = true
}

func (p *parser) parseHeader(line int, record []string) {
	p.names = nil
	for _, cell := range record {
		p.names = append(p.names, strings.ToLower(cell))
	}
	p.section = targetSection
	known := namesOf(targetColumns)
	if slices.Contains(p.names, ColumnKind) {
		p.section = kindSection
		known = namesOf(kindColumns)
	}
	before := len(p.faults)
	p.checkHeader(line, known)
	if p.seen[p.section] {
		p.addFault(line, "", "second header of the same section", "put all rows of a section under one header")
	}
	p.seen[p.section] = true
	if len(p.faults) > before {
		p.section = invalidSection
	}
}

func (p *parser) checkHeader(line int, known []string) {
	count := make(map[string]int)
	for _, name := range p.names {
		count[name]++
		switch {
		case !slices.Contains(known, name):
			p.addFault(line, name, "unknown column", "remove it or use one of "+strings.Join(known, ", "))
		case count[name] == 2:
			p.addFault(line, name, "column occurs twice", "remove one of them")
		}
	}
	for _, name := range known {
		if count[name] == 0 {
			p.addFault(line, name, "column is missing", "add it to the header and to all rows below")
		}
	}
}

func namesOf[R any](columns []column[R]) []string {
	var names []string
	for _, c := range columns {
		names = append(names, c.name)
	}
	return names
}

// fillRow copies the normalized cells of a record into row. Cells that are missing at the
// end of the record stay empty.
func fillRow[R any](p *parser, line int, record []string, columns []column[R], row *R) {
	if len(record) > len(p.names) {
		p.addFault(line, "", fmt.Sprintf("%d cells in a section of %d columns", len(record), len(p.names)), "remove the cells without a column")
		record = record[:len(p.names)]
	}
	for i, cell := range record {
		for _, c := range columns {
			if c.name == p.names[i] {
				*c.cell(row) = normalize(c.name, cell)
			}
		}
	}
}

// checkSections reports missing sections, unless there are other faults.
func (p *parser) checkSections() {
	if len(p.faults) > 0 {
		return
	}
	for _, s := range []struct {
		section section
		names   []string
	}{{kindSection, namesOf(kindColumns)}, {targetSection, namesOf(targetColumns)}} {
		if !p.seen[s.section] {
			header := strings.Join(s.names, ",")
			p.addFault(0, "", "section is missing", "add the header "+header+" (a section may have no rows)")
		}
	}
}

// FormatCSV returns a sheet in the format of ParseCSV, with commas: the revision if it is
// known, then both sections, separated by an empty line.
func FormatCSV(s Sheet) []byte {
	var out bytes.Buffer
	if s.Revision > 0 {
		fmt.Fprintf(&out, "%s,%d\n\n", ColumnRevision, s.Revision)
	}
	formatSection(&out, kindColumns, s.Kinds)
	out.WriteString("\n")
	formatSection(&out, targetColumns, s.Targets)
	return out.Bytes()
}

func formatSection[R any](out *bytes.Buffer, columns []column[R], rows []R) {
	w := csv.NewWriter(out)
	// Writes to a bytes.Buffer don't fail.
	_ = w.Write(namesOf(columns))
	record := make([]string, len(columns))
	for i := range rows {
		for j, c := range columns {
			record[j] = *c.cell(&rows[i])
		}
		_ = w.Write(record)
	}
	w.Flush()
}
