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

// ParseCSV reads a sheet (RFC 4180, comma or semicolon). Columns may have any
// order, empty rows are skipped, and cells are normalized. Faults of the form of
// the file are returned all at once; Validate finds those of the content.
func ParseCSV(data []byte) (Sheet, []Fault) {
	const byteOrderMark = "\xef\xbb\xbf" // some spreadsheets write it
	data = bytes.TrimPrefix(data, []byte(byteOrderMark))
	r := csv.NewReader(bytes.NewReader(data))
	r.Comma = separatorOf(data)
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
		p.record(line, record)
	}
	p.finish()
	return p.sheet, sortFaults(p.faults)
}

// separatorOf returns the separator of the first line: spreadsheets with a
// decimal comma separate cells by semicolons.
func separatorOf(data []byte) rune {
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
	badSection // its header has faults; its rows are skipped
)

// parser collects the rows of both sections.
type parser struct {
	sheet    Sheet
	faults   []Fault
	section  section
	names    []string // columns of the section, in the order of the file
	seen     [badSection]bool
	complain bool // a row before the first header was reported
}

func (p *parser) fault(line int, column, problem, remedy string) {
	p.faults = append(p.faults, Fault{Line: line, Column: column, Problem: problem, Remedy: remedy})
}

func (p *parser) record(line int, record []string) {
	for i := range record {
		record[i] = strings.TrimSpace(record[i])
	}
	for len(record) > 0 && record[len(record)-1] == "" {
		record = record[:len(record)-1]
	}
	switch {
	case len(record) == 0:
	case p.section == noSection && strings.EqualFold(record[0], ColumnRevision):
		p.revision(line, record)
	case isHeader(record):
		p.header(line, record)
	case p.section == noSection:
		p.beforeHeader(line)
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

// isHeader reports whether a row names columns.
func isHeader(record []string) bool {
	names := make([]string, len(record))
	for i := range record {
		names[i] = strings.ToLower(record[i])
	}
	return slices.Contains(names, ColumnService) && (slices.Contains(names, ColumnKind) || slices.Contains(names, ColumnTarget))
}

func (p *parser) revision(line int, record []string) {
	if len(record) == 2 {
		if n, err := strconv.ParseInt(record[1], 10, 64); err == nil && n > 0 {
			p.sheet.Revision = n
			return
		}
	}
	p.fault(line, ColumnRevision, "the row does not hold one number", "leave it as it was exported")
}

func (p *parser) beforeHeader(line int) {
	if !p.complain {
		p.fault(line, "", "row before the first header", "start the file with the header "+strings.Join(namesOf(kindColumns), ","))
	}
	p.complain = true
}

func (p *parser) header(line int, record []string) {
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
		p.fault(line, "", "second header of the same section", "put all rows of a section under one header")
	}
	p.seen[p.section] = true
	if len(p.faults) > before {
		p.section = badSection
	}
}

func (p *parser) checkHeader(line int, known []string) {
	count := make(map[string]int)
	for _, name := range p.names {
		count[name]++
		switch {
		case !slices.Contains(known, name):
			p.fault(line, name, "unknown column", "remove it or use one of "+strings.Join(known, ", "))
		case count[name] == 2:
			p.fault(line, name, "column occurs twice", "remove one of them")
		}
	}
	for _, name := range known {
		if count[name] == 0 {
			p.fault(line, name, "column is missing", "add it to the header and to all rows below")
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

// fillRow copies the cells of a record into row.
func fillRow[R any](p *parser, line int, record []string, columns []column[R], row *R) {
	if len(record) > len(p.names) {
		p.fault(line, "", fmt.Sprintf("%d cells in a section of %d columns", len(record), len(p.names)), "remove the cells without a column")
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

// finish reports missing sections.
func (p *parser) finish() {
	if len(p.faults) > 0 {
		return
	}
	for _, s := range []struct {
		section section
		names   []string
	}{{kindSection, namesOf(kindColumns)}, {targetSection, namesOf(targetColumns)}} {
		if !p.seen[s.section] {
			header := strings.Join(s.names, ",")
			p.fault(0, "", "section is missing", "add the header "+header+" (a section may have no rows)")
		}
	}
}

// FormatCSV writes a sheet that ParseCSV reads: the revision if it is known,
// then both sections, with an empty line between them.
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
