package measure

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/lab/fleet"
)

// kindKey identifies a kind of a service.
type kindKey struct {
	service message.ServiceID
	kind    message.KindID
}

// tally counts the ended calls of one kind, or of all kinds together.
type tally struct {
	completed int
	failed    map[string]int // by text of the error
	latencies []time.Duration
}

// tallies counts the ended calls of a group of callers by kind. Only calls that started at or
// after from and before until are counted.
type tallies struct {
	from, until time.Duration
	kinds       map[kindKey]*tally
}

// newTallies returns tallies that count all calls.
func newTallies() *tallies {
	return &tallies{until: 1 << 62, kinds: make(map[kindKey]*tally)}
}

// restrict clears all counts. From then on only calls that start within length after from are
// counted.
func (g *tallies) restrict(from, length time.Duration) {
	g.from, g.until = from, from+length
	g.kinds = make(map[kindKey]*tally)
}

// record counts an ended call.
func (g *tallies) record(r fleet.Result) {
	if r.Started < g.from || r.Started >= g.until {
		return
	}
	t := g.kind(r.Service, r.Kind)
	if r.Err != nil {
		t.failed[r.Err.Error()]++
		return
	}
	t.completed++
	t.latencies = append(t.latencies, r.Latency)
}

// kind returns the tally of a kind.
func (g *tallies) kind(service message.ServiceID, kind message.KindID) *tally {
	key := kindKey{service: service, kind: kind}
	t := g.kinds[key]
	if t == nil {
		t = &tally{failed: make(map[string]int)}
		g.kinds[key] = t
	}
	return t
}

// sum returns the tally of all kinds together.
func (g *tallies) sum() *tally {
	all := &tally{failed: make(map[string]int)}
	for _, t := range g.kinds {
		all.completed += t.completed
		all.latencies = append(all.latencies, t.latencies...)
		for text, n := range t.failed {
			all.failed[text] += n
		}
	}
	return all
}

// p99 returns the 99th percentile of the latency of completed calls, or 0 without any.
func (t *tally) p99() time.Duration {
	if len(t.latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.latencies))
	return sorted[(len(sorted)*99+99)/100-1]
}
