// Package logtrace finds the lines of a fleet's logs that explain what happened
// to a flow, a caller or a target.
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

// Line is one line of a log.
type Line struct {
	VM     string         `json:"vm"`
	Time   time.Time      `json:"time"`
	Event  string         `json:"event"` // number
	Name   string         `json:"name"`
	Fields map[string]any `json:"fields"` // of the event
}

// Text returns a field as text, empty without it.
func (l Line) Text(field string) string {
	value, ok := l.Fields[field]
	if !ok {
		return ""
	}
	return fmt.Sprint(value)
}

// common are the fields that every line has.
var common = []string{"time", "level", "msg", "event", "name"}

// Read reads a log: JSON objects, a line each. Text before the object is taken as
// a prefix of the log collector, whose last word names the VM; without one the VM
// is source. Lines without an event are skipped.
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
	for _, name := range common {
		delete(line.Fields, name)
	}
	return line, err == nil && line.Event != ""
}

// Query selects lines. Empty fields select everything.
type Query struct {
	Caller  string // "ip" or "ip:port"
	Address string // "ip:port"
	Target  string // id
	Around  time.Time
	Within  time.Duration // of Around, before and after
	// Related also selects, of the VMs in the selected lines, the lines on the store
	// and those on the targets that the selected flows used, in the same time.
	Related bool
}

// beliefPrefix is the prefix of the events on the catalog and the store.
const beliefPrefix = "GS61"

// flowEvent is the event of decisions on flows.
const flowEvent = "GS6201"

// Select returns the selected lines by time.
func Select(lines []Line, q Query) []Line {
	var selected []Line
	targets, vms := make(map[string]bool), make(map[string]bool)
	for _, line := range lines {
		if q.inTime(line) && q.names(line) {
			selected = append(selected, line)
			targets[line.Text("target")] = true
			vms[line.VM] = true
		}
	}
	if q.Related && len(selected) > 0 {
		selected = append(selected, beliefs(lines, q, targets, vms)...)
	}
	slices.SortStableFunc(selected, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.VM, b.VM))
	})
	return selected
}

func (q Query) inTime(line Line) bool {
	return q.Around.IsZero() || line.Time.Sub(q.Around).Abs() <= q.Within
}

// names reports whether a line is about what the query asks for.
func (q Query) names(line Line) bool {
	if q.Target != "" && line.Text("target") != q.Target {
		return false
	}
	if q.Caller == "" && q.Address == "" {
		return q.Target != "" || !q.Around.IsZero()
	}
	return line.Event == flowEvent && matches(line.Text("caller"), q.Caller) && matches(line.Text("address"), q.Address)
}

// matches reports whether an endpoint is the wanted one, or has its address.
func matches(endpoint, want string) bool {
	if want == "" || endpoint == want {
		return true
	}
	addr, err := netip.ParseAddrPort(endpoint)
	return err == nil && addr.Addr().String() == want
}

// beliefs returns the lines of the given VMs on the store, and on the given targets.
func beliefs(lines []Line, q Query, targets, vms map[string]bool) []Line {
	var found []Line
	for _, line := range lines {
		if !vms[line.VM] || !strings.HasPrefix(line.Event, beliefPrefix) || !q.inTime(line) || q.names(line) {
			continue
		}
		if target := line.Text("target"); target != "" && !targets[target] {
			continue
		}
		found = append(found, line)
	}
	return found
}
