package events

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pageRow returns the cells of an event's row in docs/events.md that the test compares.
func pageRow(e *Event) []string {
	limited := "no"
	if e.Limited {
		limited = "yes"
	}
	return []string{e.Number, e.Name, e.Level.String(), limited, strings.Join(e.Fields, ", ")}
}

// Guards against a page that lacks an event, or lists one that does not exist.
func TestPageListsEveryEvent(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/events.md")
	is.NoErr(err)
	var documented [][]string
	for line := range strings.Lines(string(page)) {
		if !strings.HasPrefix(line, "| GS") {
			continue
		}
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), " | ")
		is.Equal(len(cells), 7)
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
			is.True(cells[i] != "")
		}
		documented = append(documented, cells[:5])
	}
	var declared [][]string
	for _, e := range All() {
		declared = append(declared, pageRow(e))
	}
	is.Equal(documented, declared)
}

// Guards against numbers or names that are not unique or have an invalid format.
func TestNumbersAndNamesAreUnique(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for _, e := range All() {
		is.True(!seen[e.Number] && !seen[e.Name])
		is.True(regexp.MustCompile(`^GS\d{4}$`).MatchString(e.Number))
		is.True(regexp.MustCompile(`^[a-z_]+$`).MatchString(e.Name))
		seen[e.Number], seen[e.Name] = true, true
	}
}

// Guards against a caller that floods the log, and against a lost count of suppressed
// lines.
func TestLimitedEventReportsSuppressedLines(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r, l := NewRecorder(func() time.Time { return now })
	for range 100 {
		l.Log(DatagramRejected, F("from", "a"), F("error", "b"))
	}
	is.Equal(r.Count(DatagramRejected), defaultBurst)
	now = now.Add(time.Second)
	l.Log(DatagramRejected, F("from", "a"), F("error", "b"))
	lines := r.Lines()
	is.Equal(lines[len(lines)-1].Suppressed, uint64(100-defaultBurst))
}

// Guards against an event whose lines count towards the limit of another event.
func TestLimitsAreSeparate(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r, l := NewRecorder(func() time.Time { return now })
	for range 100 {
		l.Log(DatagramRejected, F("from", "a"), F("error", "b"))
		l.Log(DaemonStopped, F("vm", "v"))
	}
	l.Log(VMListFailed, F("url", "u"), F("error", "e"))
	is.Equal(r.Count(DaemonStopped), 100)
	is.Equal(r.Count(VMListFailed), 1)
}

// Guards against lines without number, level or fields, in either format.
func TestWrittenLine(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	New(&out, JSON, Info).Log(DaemonFailed, F("vm", "v1"), F("error", errors.New("port in use")))
	line := make(map[string]any)
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	is.Equal(line["event"], "GS1004")
	is.Equal(line["level"], "error")
	is.Equal(line["error"], "port in use")
	out.Reset()
	New(&out, Text, Info).Log(DaemonStopped, F("vm", "v1"))
	is.True(strings.Contains(out.String(), "event=GS1003"))
	is.True(strings.Contains(out.String(), "vm=v1"))
	out.Reset()
	New(&out, Text, Warn).Log(DaemonStopped, F("vm", "v1"))
	is.Equal(out.Len(), 0)
}

// Guards against lines whose fields differ from the catalogue.
func TestCheckComparesFields(t *testing.T) {
	is := is.New(t)
	is.NoErr(DaemonStopped.Check([]Field{F("vm", 1)}))
	is.True(errors.Is(DaemonStopped.Check([]Field{F("wm", 1)}), ErrFields))
	is.True(errors.Is(DaemonStopped.Check(nil), ErrFields))
}

// Guards against events in the catalogue that no code writes.
func TestEveryEventIsWritten(t *testing.T) {
	is := is.New(t)
	catalogue, err := os.ReadFile("catalogue.go")
	is.NoErr(err)
	var code strings.Builder
	err = filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		code.Write(data)
		return err
	})
	is.NoErr(err)
	names := regexp.MustCompile(`(?m)^\t(\w+) += declare\(`).FindAllStringSubmatch(string(catalogue), -1)
	is.Equal(len(names), len(All()))
	for _, name := range names {
		if !regexp.MustCompile(`\bevents\.` + name[1] + `\b`).MatchString(code.String()) {
			t.Errorf("no code writes event %s", name[1])
		}
	}
}
