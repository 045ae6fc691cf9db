package logtrace

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Numbers of the events that Changes reads.
const (
	configurationAppliedEvent = "GS6102"
	targetChangedEvent        = "GS6103"
	targetEntryRemovedEvent   = "GS6104"
	changesReceivedEvent      = "GS6127"
	domainEvacuationEvent     = "GS6207"
)

// Change is one change of the store with the VMs at which it came into force.
type Change struct {
	Revision string    `json:"revision"`
	What     string    `json:"what"`
	Arrivals []Arrival `json:"arrivals"` // by time; at least one
}

// Arrival is the moment at which a change came into force at one VM. Way and Before are empty if
// the log lacks the line on how the change came.
type Arrival struct {
	VM  string    `json:"vm"`
	At  time.Time `json:"at"`
	Way string    `json:"way"`
	// Before holds what the VM had done before to get the change: the fields of its GS6127 line
	// that are not zero.
	Before map[string]any `json:"before"`
}

// Changes returns the changes that lines tell of, by the time at which the first VM had them.
func Changes(lines []Line) []Change {
	sorted := slices.SortedStableFunc(slices.Values(lines), func(a, b Line) int { return a.Time.Compare(b.Time) })
	received := make(map[string]Line) // last GS6127 line, by VM
	index := make(map[string]*Change)
	var changes []*Change
	for _, line := range sorted {
		if line.Event == changesReceivedEvent {
			received[line.VM] = line
			continue
		}
		what := describeChange(line)
		if what == "" {
			continue
		}
		key := line.Text("revision") + " " + what
		if index[key] == nil {
			index[key] = &Change{Revision: line.Text("revision"), What: what}
			changes = append(changes, index[key])
		}
		index[key].add(line, received[line.VM])
	}
	list := make([]Change, 0, len(changes))
	for _, c := range changes {
		if len(c.Arrivals) > 0 {
			list = append(list, *c)
		}
	}
	return list
}

// describeChange describes the change that a line tells of; empty if it tells of none.
func describeChange(line Line) string {
	switch line.Event {
	case configurationAppliedEvent:
		return "version " + line.Text("version")
	case targetChangedEvent:
		return "target " + line.Text("target") + " " + line.Text("state")
	case targetEntryRemovedEvent:
		return "target " + line.Text("target") + " removed"
	case domainEvacuationEvent:
		return strings.TrimSpace("domain " + line.Text("domain") + " evacuated=" + line.Text("evacuated"))
	default:
		return ""
	}
}

// add records the first line of a VM on the change. received is the VM's last GS6127 line, if any. A
// process that has just started is not late, so that its first update does not count.
func (c *Change) add(line, received Line) {
	if received.Fields["behind_ms"] == float64(0) {
		return
	}
	if slices.ContainsFunc(c.Arrivals, func(a Arrival) bool { return a.VM == line.VM }) {
		return
	}
	before := make(map[string]any)
	for name, value := range received.Fields {
		if value != float64(0) && value != "" && name != "way" && name != "revision" && name != "keys" {
			before[name] = value
		}
	}
	if queued := line.Fields["queued_ms"]; queued != nil && queued != float64(0) {
		before["in_force_after_ms"] = queued
	}
	c.Arrivals = append(c.Arrivals, Arrival{VM: line.VM, At: line.Time, Way: received.Text("way"), Before: maps.Clone(before)})
}

// Lag returns the time from the first to the last VM.
func (c Change) Lag() time.Duration {
	return c.Arrivals[len(c.Arrivals)-1].At.Sub(c.Arrivals[0].At)
}

// Slowest returns the changes with the longest lags, longest first, at most n.
func Slowest(changes []Change, n int) []Change {
	sorted := slices.SortedStableFunc(slices.Values(changes), func(a, b Change) int { return cmp.Compare(b.Lag(), a.Lag()) })
	return sorted[:min(n, len(sorted))]
}
