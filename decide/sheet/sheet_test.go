package sheet

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Fixes the seed of package rapid; -rapid.seed on the command line sets another.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}

const example = `service,address,kind,urgency,share
docs,192.0.2.2:7000,file,bulk,1
live,192.0.2.1:7000,check-in,urgent,8
live,192.0.2.1:7000,watch,normal,4

service,target,domain,address,health,weight,limit,state
docs,t1,a,10.0.0.3:7300,10.0.0.3:7301,1,3,active
live,t1,a,10.0.0.1:7300,10.0.0.1:7301,1,3,active
live,t2,b,10.0.0.2:7300,10.0.0.2:7301,2,3,draining
`

func parse(t interface{ Fatal(...any) }, text string) Sheet {
	s, faults := ParseCSV([]byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return s
}

// withoutLineNumbers clears the line numbers, which only sheets from a file have.
func withoutLineNumbers(s Sheet) Sheet {
	s.Kinds, s.Targets = slices.Clone(s.Kinds), slices.Clone(s.Targets)
	for i := range s.Kinds {
		s.Kinds[i].Line = 0
	}
	for i := range s.Targets {
		s.Targets[i].Line = 0
	}
	return s
}

// Guards against a table that changes when it is exported and imported again, also
// with the CSV variants that spreadsheets write.
func TestExportAndImport(t *testing.T) {
	is := is.New(t)
	s := parse(t, example)
	is.Equal(string(FormatCSV(s)), example)
	services, faults := s.Services()
	is.Equal(len(faults), 0)
	is.Equal(FromServices(services), withoutLineNumbers(s))
	s.Revision = 17
	is.Equal(withoutLineNumbers(parse(t, string(FormatCSV(s)))), withoutLineNumbers(s))
	s.Revision = 0
	padded := strings.ReplaceAll(example, "\n\n", "\n,,,,,,,\n")
	for _, text := range []string{
		"\xef\xbb\xbf" + strings.ReplaceAll(padded, "\n", "\r\n"),
		strings.ReplaceAll(padded, ",", ";"),
		strings.ReplaceAll(strings.ReplaceAll(example, "active", " Active"), ",3,", ",03,"),
	} {
		is.Equal(withoutLineNumbers(parse(t, text)), withoutLineNumbers(s))
	}
}

// Guards against faults that are not found, or are reported without line and column.
func TestFaultsNameTheirPlace(t *testing.T) {
	cases := []struct {
		name, old, new string
		want           []string // line, column and a part of the problem, for each fault
	}{
		{"bad revision", "service,address", "revision,soon\nservice,address", []string{"line 1, column revision: the row"}},
		{"unknown column", "limit,state", "limit,state,colour", []string{"line 6, column colour: unknown column"}},
		{"missing column", "weight,limit,state", "weight,limit", []string{"line 6, column state: column is missing"}},
		{"missing section", "service,target,domain,address,health,weight,limit,state", "", nil},
		{"quote", "docs,t1", `docs,"t1`, []string{`line 9: `}},
		{"cells without column", "draining", "draining,x", []string{"line 9: 9 cells"}},
		{"bad number", "7301,2,3", "7301,two,3", []string{`line 9, column weight: "two" is not a whole number`}},
		{"range", "7301,2,3", "7301,0,1000001", []string{"line 9, column weight: 0 is out of range", "line 9, column limit: 1000001 is out of range"}},
		{"duplicate target", "live,t2", "live,t1", []string{`line 9, column target: service live has target "t1" twice (first in line 8)`}},
		{"duplicate kind", "watch", "check-in", []string{`line 4, column kind: service live has kind "check-in" twice (first in line 3)`}},
		{"no address", "10.0.0.2:7300", "10.0.0.2", []string{`line 9, column address: "10.0.0.2" is not an address`}},
		{"no health address", "10.0.0.2:7301", "", []string{`line 9, column health: "" is not an address`}},
		{"address of another service", "10.0.0.3:7300", "10.0.0.2:7300", []string{"line 9, column address: 10.0.0.2:7300 is the address of target t1 of service docs too"}},
		{"unknown state", "draining", "asleep", []string{`line 9, column state: "asleep"`}},
		{"unknown urgency", "urgent", "soon", []string{`line 3, column urgency: "soon"`}},
		{"service without kinds", "docs,t1", "maps,t1", []string{`line 7, column service: service "maps" has no kinds`}},
		{"two service addresses", "192.0.2.1:7000,watch", "192.0.2.3:7000,watch", []string{`line 4, column address: "192.0.2.3:7000" differs`}},
		{"bad name", "live,t2,b", "live,t 2,", []string{`line 9, column target: "t 2" is not a name`, `line 9, column domain: "" is not a name`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, faults := ParseCSV([]byte(strings.Replace(example, c.old, c.new, 1)))
			if len(faults) == 0 {
				faults = s.Validate()
			}
			if c.want == nil {
				is.True(len(faults) > 0)
				return
			}
			is.Equal(len(faults), len(c.want))
			for i, want := range c.want {
				is.True(strings.HasPrefix(faults[i].String(), want))
				is.True(faults[i].Remedy != "")
			}
		})
	}
}

// Guards against files that crash the parser, and against accepted files that change
// when they are formatted and parsed again.
func TestDamagedFiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(example)
		for range rapid.IntRange(1, 4).Draw(t, "damages") {
			at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
			end := min(len(text), at+rapid.IntRange(0, 9).Draw(t, "cut"))
			text = slices.Concat(text[:at], rapid.SliceOfN(rapid.Byte(), 0, 3).Draw(t, "bytes"), text[end:])
			if len(text) == 0 {
				return
			}
		}
		s, faults := ParseCSV(text)
		if len(faults) > 0 || len(s.Validate()) > 0 {
			return
		}
		is := is.New(t)
		is.Equal(withoutLineNumbers(parse(t, string(FormatCSV(s)))), withoutLineNumbers(s))
	})
}

// Guards against undetected id collisions. No two names with the same id are known, so
// the test calls the check directly.
func TestIDCollisionIsAFault(t *testing.T) {
	is := is.New(t)
	c := &checker{ids: make(map[columnID]string)}
	c.id(1, ColumnDomain, "a", 7)
	c.id(2, ColumnDomain, "a", 7)
	c.id(3, ColumnService, "b", 7)
	is.Equal(len(c.faults), 0)
	c.id(4, ColumnDomain, "b", 7)
	is.Equal(len(c.faults), 1)
}

// Guards against a Diff that omits changed cells or contains unchanged ones.
func TestDiff(t *testing.T) {
	is := is.New(t)
	old := parse(t, example)
	is.Equal(len(Diff(old, old)), 0)
	text := strings.Replace(example, "7301,2,3", "7301,5,3", 1)
	text = strings.Replace(text, "docs,t1,a,10.0.0.3:7300,10.0.0.3:7301,1,3,active\n", "", 1)
	text = strings.Replace(text, "live,192.0.2.1:7000,watch,normal,4\n", "live,192.0.2.1:7000,watch,normal,4\nlive,192.0.2.1:7000,map,bulk,1\n", 1)
	var got []string
	for _, c := range Diff(old, parse(t, text)) {
		got = append(got, fmt.Sprintf("%s: %s > %s", c.Cell, c.Old, c.New))
	}
	is.Equal(got, []string{
		"service docs, target t1, column domain: a > ",
		"service docs, target t1, column address: 10.0.0.3:7300 > ",
		"service docs, target t1, column health: 10.0.0.3:7301 > ",
		"service docs, target t1, column weight: 1 > ",
		"service docs, target t1, column limit: 3 > ",
		"service docs, target t1, column state: active > ",
		"service live, column kinds: check-in,watch > check-in,watch,map",
		"service live, target t2, column weight: 2 > 5",
		"service live, kind map, column urgency:  > bulk",
		"service live, kind map, column share:  > 1",
	})
}

// Guards against an edit that is lost or overwrites the edit of another operator.
func TestMerge(t *testing.T) {
	weight := func(w string) string { return strings.Replace(example, "7301,2,3", "7301,"+w+",3", 1) }
	state := strings.Replace(example, "draining", "leaving", 1)
	removed := strings.Replace(example, "live,t2,b,10.0.0.2:7300,10.0.0.2:7301,2,3,draining\n", "", 1)
	cases := []struct {
		name, theirs, mine, merged string
		conflicts                  []string
	}{
		{"different cells", weight("5"), state, strings.Replace(state, "7301,2,3", "7301,5,3", 1), nil},
		{"same value", weight("5"), weight("5"), weight("5"), nil},
		{"same cell", weight("5"), weight("7"), weight("5"), []string{`service live, target t2, column weight: was "2", is now "5", you want "7"`}},
		{"they removed", removed, weight("7"), removed, []string{`service live, target t2, column weight: was "2", is now "", you want "7"`}},
		{"I removed", weight("5"), removed, weight("5"), []string{`service live, target t2, column weight: was "2", is now "5", you want ""`}},
		{"both removed", removed, removed, removed, nil},
		{"I removed alone", example, removed, removed, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			merged, conflicts := Merge(parse(t, example), parse(t, c.theirs), parse(t, c.mine))
			is.Equal(string(FormatCSV(merged)), c.merged)
			var got []string
			for _, conflict := range conflicts {
				got = append(got, conflict.String())
			}
			is.Equal(got, c.conflicts)
		})
	}
}

// edit draws changes to the rows whose index modulo 2 is class, so that edits of
// different classes are disjoint.
func edit(t *rapid.T, s Sheet, class int, label string) Sheet {
	s = Sheet{Kinds: s.Kinds, Targets: slices.Clone(s.Targets)}
	var targets []TargetRow
	for i, row := range s.Targets {
		if i%2 == class {
			switch rapid.IntRange(0, 3).Draw(t, label) {
			case 0:
				continue
			case 1:
				row.Weight = fmt.Sprint(rapid.IntRange(1, 9).Draw(t, label+" weight"))
			case 2:
				row.State = "leaving"
			}
		}
		targets = append(targets, row)
	}
	if rapid.Bool().Draw(t, label+" adds") {
		row := s.Targets[0]
		row.Target = "added-" + label
		targets = append(targets, row)
	}
	s.Targets = targets
	return s
}

// Guards against a merge whose result depends on the order of the edits.
func TestMergeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		base := withoutLineNumbers(parse(t, example))
		for i := range rapid.IntRange(0, 6).Draw(t, "targets") {
			row := base.Targets[0]
			row.Target = fmt.Sprintf("u%d", i)
			base.Targets = append(base.Targets, row)
		}
		a, b := edit(t, base, 0, "a"), edit(t, base, 1, "b")
		same, conflicts := Merge(base, a, a)
		is.Equal(len(conflicts), 0)
		is.Equal(len(Diff(same, a)), 0)
		ab, conflicts := Merge(base, a, b)
		is.Equal(len(conflicts), 0)
		ba, conflicts := Merge(base, b, a)
		is.Equal(len(conflicts), 0)
		is.Equal(ab, ba)
		is.Equal(len(Diff(base, ab)), len(Diff(base, a))+len(Diff(base, b)))
		none, _ := Merge(base, a, base)
		is.Equal(len(Diff(none, a)), 0)
	})
}
