// Package exposition renders metrics in the Prometheus text format 0.0.4. A handler
// builds a new tally scope for each scrape, so that metrics of removed objects, such as
// labels of former targets, disappear.
package exposition

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/uber-go/tally/v4"

	"github.com/gypsumspan/gypsumspan/kernel"
)

// prefix is the prefix of all metric names.
const prefix = "gypsumspan"

// ContentType is the HTTP content type of the text format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

// snapshotter is implemented by tally's root scopes.
type snapshotter interface {
	Snapshot() tally.Snapshot
}

// NewScope returns an empty scope that starts no reporting goroutine.
func NewScope() tally.Scope {
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Separator:              "_",
		OmitCardinalityMetrics: true,
	}, 0)
	return scope
}

// Render returns the counters and gauges of a scope that NewScope has returned,
// sorted by name and labels.
func Render(scope tally.Scope) []byte {
	var buf bytes.Buffer
	render(&buf, scope.(snapshotter).Snapshot())
	return buf.Bytes()
}

// AddCounters adds counters, keyed by metric name without the prefix.
func AddCounters(scope tally.Scope, values map[string]uint64) {
	for name, value := range values {
		scope.Counter(name).Inc(int64(value))
	}
}

// AddRingMetrics adds the metrics of a kernel's rings, labelled by ring name.
func AddRingMetrics(scope tally.Scope, rings []kernel.RingStats) {
	for _, ring := range rings {
		tagged := scope.Tagged(map[string]string{"ring": ring.Name})
		tagged.Gauge("ring_depth").Update(float64(ring.Depth))
		tagged.Gauge("ring_capacity").Update(float64(ring.Capacity))
		tagged.Counter("ring_puts_total").Inc(int64(ring.Puts))
		tagged.Counter("ring_drops_total").Inc(int64(ring.Drops))
	}
}

// sample is one line of the Prometheus text format.
type sample struct {
	name   string
	labels string
	kind   string // "counter" or "gauge"
	value  string
}

// render writes the counters and gauges of a snapshot in the text format, sorted by name
// and labels, with a TYPE line before each new name.
func render(out *bytes.Buffer, snapshot tally.Snapshot) {
	var samples []sample
	for _, c := range snapshot.Counters() {
		samples = append(samples, sample{
			name:   metricName(c.Name()),
			labels: labels(c.Tags()),
			kind:   "counter",
			value:  strconv.FormatInt(c.Value(), 10),
		})
	}
	for _, g := range snapshot.Gauges() {
		samples = append(samples, sample{
			name:   metricName(g.Name()),
			labels: labels(g.Tags()),
			kind:   "gauge",
			value:  strconv.FormatFloat(g.Value(), 'g', -1, 64),
		})
	}
	slices.SortFunc(samples, func(a, b sample) int {
		if c := strings.Compare(a.name, b.name); c != 0 {
			return c
		}
		return strings.Compare(a.labels, b.labels)
	})
	last := ""
	for _, s := range samples {
		if s.name != last {
			fmt.Fprintf(out, "# TYPE %s %s\n", s.name, s.kind)
			last = s.name
		}
		fmt.Fprintf(out, "%s%s %s\n", s.name, s.labels, s.value)
	}
}

// labels formats tags as {name="value",...}, sorted by name; no tags are an empty text.
func labels(tags map[string]string) string {
	if len(tags) == 0 {
		return ""
	}
	var b strings.Builder
	b.WriteByte('{')
	for i, name := range slices.Sorted(maps.Keys(tags)) {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `%s="%s"`, metricName(name), labelEscaper.Replace(tags[name]))
	}
	b.WriteByte('}')
	return b.String()
}

var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// metricName replaces the characters that the format does not allow in names by "_".
func metricName(name string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_':
			return r
		default:
			return '_'
		}
	}, name)
}
