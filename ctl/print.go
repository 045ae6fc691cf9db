package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/gypsumspan/gypsumspan/decide/sheet"
)

// printTable prints a header and rows in aligned columns.
func (a *app) printTable(header []string, rows [][]string) error {
	return writeTable(a.env.Stdout, header, rows)
}

func writeTable(out io.Writer, header []string, rows [][]string) error {
	const padding = 2
	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(header, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// printJSON prints a value as indented JSON.
func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.env.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// changeHeader is the header of a table of changed cells.
var changeHeader = []string{"service", "row", "column", "old", "new"}

// changeCells returns the table cells that describe one changed cell, in the order of
// changeHeader.
func changeCells(c sheet.CellChange) []string {
	row := "-"
	switch {
	case c.Target != "":
		row = c.Target
	case c.Kind != "":
		row = "kind " + c.Kind
	}
	return []string{c.Service, row, c.Column, orDash(c.Old), orDash(c.New)}
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// flatten returns decoded JSON as rows of a path and a value. Members of objects are
// sorted by key; elements of arrays keep their order.
func flatten(path string, value any) [][]string {
	switch v := value.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for key := range v {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		var rows [][]string
		for _, key := range keys {
			rows = append(rows, flatten(strings.TrimPrefix(path+"."+key, "."), v[key])...)
		}
		return rows
	case []any:
		var rows [][]string
		for i, element := range v {
			rows = append(rows, flatten(fmt.Sprintf("%s[%d]", path, i), element)...)
		}
		return rows
	default:
		return [][]string{{path, fmt.Sprint(v)}}
	}
}
