// Package logtrace selects the lines of a fleet's logs that concern a flow, a caller
// or a target.
package logtrace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// ErrLog means that a log can't be read.
var ErrLog = errors.New("log can't be read")

// maxLine is the longest log line, in bytes.
const maxLine = 1 << 20

// Line is one log line with an event.
type Line struct {
	VM     string         `json:"vm"`
	Time   time.Time      `json:"time"`
	Event  string         `json:"event"` // number
	Name   string         `json:"name"`
	Fields map[string]any `json:"fields"` // of the event, by name
}

// Text returns a field as text. It is empty if the line lacks the field.
func (l Line) Text(field string) string {
	value, ok := l.Fields[field]
	if !ok {
		return ""
	}
	return fmt.Sprint(value)
}

// commonFields are the fields of every line, which are not stored in Line.Fields.
var commonFields = []string{"time", "level", "msg", "event", "name"}

// Read reads a log with one JSON object per line. Text before the object is a prefix
// of the log collector; its last word is the name of the VM. Without a prefix the VM
// is source. Lines without an event or a valid time are skipped. It returns ErrLog.
func Read(r io.Reader, source string) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parse(scanner.Text(), source); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", source, ErrLog, err)
	}
	return lines, nil
}

// parse parses one line. It returns false for a line that Read skips.
func parse(text, source string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	line := Line{VM: source}
	if words := strings.Fields(text[:start]); len(words) > 0 {
		line.VM = words[len(words)-1]
	}
	if json.Unmarshal([]byte(text[start:]), &line.Fields) != nil {
		return Line{}, false
	}
	var err error
	line.Time, err = time.Parse(time.RFC3339Nano, line.Text("time"))
	line.Event, line.Name = line.Text("event"), line.Text("name")
	for _, name := range commonFields {
		delete(line.Fields, name)
	}
	return line, err == nil && line.Event != ""
}

// Query selects lines. An empty field does not restrict the selection; a query whose
// fields are all empty selects nothing.
type Query struct {
	Caller  string // "ip" or "ip:port"
	Address string // "ip:port"
	Target  string // id
	Around  time.Time
	Within  time.Duration // largest distance from Around, before and after
	// Related also selects events that explain decisions of the VMs that wrote the selected lines, in
	// the same time range: those without a target, and those of the targets in the
	// selected lines.
	Related bool
}

// catalogEventPrefix is the prefix of the numbers of events on the catalog and the store.
const catalogEventPrefix = "GS61"

// conditionEvents are the numbers of other events that explain decisions on flows without naming
// a target: limits in force, evacuated domains, capacity that does not count, late routes.
var conditionEvents = []string{"GS6204", "GS6207", "GS6213"}

// flowDecidedEvent is the number of events.FlowDecided.
const flowDecidedEvent = "GS6201"

// explainsDecisions reports whether the line is of an event on the catalog, the store, or one of
// conditionEvents.
func (l Line) explainsDecisions() bool {
	return strings.HasPrefix(l.Event, catalogEventPrefix) || slices.Contains(conditionEvents, l.Event)
}

// Select returns the lines that q selects, sorted by time, then VM.
func Select(lines []Line, q Query) []Line {
	var selected []Line
	targets, vms := make(map[string]bool), make(map[string]bool)
	for _, line := range lines {
		if q.isInTimeRange(line) && q.matches(line) {
			selected = append(selected, line)
			targets[line.Text("target")] = true
			vms[line.VM] = true
		}
	}
	if q.Related && len(selected) > 0 {
		selected = append(selected, relatedLines(lines, q, targets, vms)...)
	}
	slices.SortStableFunc(selected, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM))
	})
	return selected
}

// isInTimeRange reports whether a line is at most q.Within from q.Around, if that is set.
func (q Query) isInTimeRange(line Line) bool {
	return q.Around.IsZero() || line.Time.Sub(q.Around).Abs() <= q.Within
}

// matches reports whether a line matches the query, apart from its time.
func (q Query) matches(line Line) bool {
	if q.Target != "" && line.Text("target") != q.Target {
		return false
	}
	if q.Caller == "" && q.Address == "" {
		return q.Target != "" || !q.Around.IsZero()
	}
	return line.Event == flowDecidedEvent && matchesEndpoint(line.Text("caller"), q.Caller) && matchesEndpoint(line.Text("address"), q.Address)
}

// matchesEndpoint reports whether endpoint, an "ip:port", equals want or has the address
// want. An empty want matches every endpoint.
func matchesEndpoint(endpoint, want string) bool {
	if want == "" || endpoint == want {
		return true
	}
	addr, err := netip.ParseAddrPort(endpoint)
	return err == nil && addr.Addr().String() == want
}

// relatedLines returns the catalog events of the given VMs in q's time range that have no
// target or one of the given targets, except lines that match q.
func relatedLines(lines []Line, q Query, targets, vms map[string]bool) []Line {
	var related []Line
	for _, line := range lines {
		if !vms[line.VM] || !line.explainsDecisions() || !q.isInTimeRange(line) || q.matches(line) {
			continue
		}
		if target := line.Text("target"); target != "" && !targets[target] {
			continue
		}
		related = append(related, line)
	}
	return related
}
