package admin

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/uber-go/tally/v4"
)

// sample is one line of the Prometheus text format.
type sample struct {
	name   string
	labels string
	kind   string // "counter" or "gauge"
	value  string
}

// render writes the counters and gauges of a snapshot in the Prometheus text
// format 0.0.4, sorted by name and labels.
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

// labels returns the tags as {name="value",...}, sorted by name.
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

// metricName replaces characters that the format does not allow in names.
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

func counterName(name string) string {
	if strings.HasSuffix(name, "_total") {
		return name
	}
	return name + "_total"
}

func cloneTags(tags map[string]string) map[string]string {
	return maps.Clone(tags)
}
