package vm

import (
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// metricsOf returns the values of a VM's metrics by name and tags, and the name, type and
// tags of each as docs/metrics.md lists them.
func metricsOf(v *VM) (values map[string]float64, forms []string) {
	values = make(map[string]float64)
	add := func(name, kind string, tags map[string]string, value float64) {
		names := slices.Sorted(maps.Keys(tags))
		key := name
		for _, tag := range names {
			key += " " + tags[tag]
		}
		values[key] += value
		forms = append(forms, name+" "+kind+" "+strings.Join(names, " "))
	}
	v.Counters(func(name string, tags map[string]string, value int64) bool {
		add(name+"_total", "counter", tags, float64(value))
		return true
	})
	v.Gauges(func(name string, tags map[string]string, value float64) bool {
		add(name, "gauge", tags, value)
		return true
	})
	slices.Sort(forms)
	return values, slices.Compact(forms)
}

// Guards against a page that omits a metric of package vm, lists one that does not exist,
// or names other tags.
func TestPageListsEveryMetric(t *testing.T) {
	h := newHarness(t)
	h.call(h.request(1, message.Binding{})) // a refusal
	_, served := metricsOf(h.VM)
	page, err := os.ReadFile("../../docs/metrics.md")
	h.is.NoErr(err)
	_, section, _ := strings.Cut(string(page), "\n## Decisions\n")
	section, _, _ = strings.Cut(section, "\n## ")
	var documented []string
	for _, m := range regexp.MustCompile("(?m)^\\| `gypsumspan_(\\w+)` \\| (\\w+) \\| ([^|]+) \\|").FindAllStringSubmatch(section, -1) {
		var tags []string
		if m[3] != "-" {
			tags = strings.Split(m[3], ", ")
		}
		slices.Sort(tags)
		documented = append(documented, m[1]+" "+m[2]+" "+strings.Join(tags, " "))
	}
	slices.Sort(documented)
	h.is.Equal(documented, served)
}

// Guards against counting under another service or kind, and against sums of times that
// don't match their counts.
func TestWorkIsCountedByKind(t *testing.T) {
	h := newHarness(t)
	binding := h.open("a")
	first, second := h.request(1, binding), h.request(2, binding)
	second.Kind = 1
	h.call(first)
	h.call(second) // waits, since the first request uses the only slot
	values, _ := metricsOf(h.VM)
	h.is.Equal(values["waiting k1 a"], 1.0)
	h.is.Equal(values["waiting k0 a"], 0.0)
	h.is.Equal(values["in_flight a/t"], values["limit a/t"])
	h.at += 20 * time.Millisecond
	h.sendAnswer(1, targetAddrs[0])
	h.receive(message.TargetAddress(0, targetAddrs[0]), &message.Shed{Flow: flow, ID: 2, Attempt: 1})
	h.call(&message.Open{Service: 99, Flow: flow})
	values, _ = metricsOf(h.VM)
	for name, want := range map[string]float64{
		"completed_total k0 a":                         1,
		"completed_total k1 a":                         0,
		"answer_microseconds_total k0 a":               20000,
		"queue_wait_microseconds_total k1 a":           20000,
		"dispatched_total k1 a":                        1,
		"shed_total k1 a":                              1,
		"refused_total target_lost k1 not_run a":       1,
		"refused_total unknown_table other busy other": 1,
	} {
		if values[name] != want {
			t.Errorf("%s is %v, want %v", name, values[name], want)
		}
	}
}

// Guards against callers that increase the memory of a VM by unknown services, and against
// an allocation for each counted request.
func TestCountingIsBounded(t *testing.T) {
	h := newHarness(t)
	h.call(h.request(1, message.Binding{}))
	before := len(h.kindCounters)
	for id := range message.ServiceID(100) {
		h.kindCountersOf(id, 7).refused[message.Busy][message.CauseKindClosed]++
	}
	h.is.Equal(len(h.kindCounters), before)
	service := message.ServiceIDOf("a")
	h.is.Equal(testing.AllocsPerRun(100, func() {
		w := h.kindCountersOf(service, 0)
		w.refused[message.Busy][message.CauseKindClosed]++
		w.queueWait += time.Millisecond
	}), 0.0)
}
