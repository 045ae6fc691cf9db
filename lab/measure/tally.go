package measure

import (
	"slices"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/lab/fleet"
)

// kindKey names a kind of a service.
type kindKey struct {
	service message.ServiceID
	kind    message.KindID
}

// tally counts the ended calls of one kind.
type tally struct {
	completed int
	failed    map[string]int // by typed error
	took      []time.Duration
}

// tallies counts the ended calls of a group of callers that started at or after
// a time and before another.
type tallies struct {
	from, until time.Duration
	kinds       map[kindKey]*tally
}

// newTallies returns counts of all calls.
func newTallies() *tallies {
	return &tallies{until: 1 << 62, kinds: make(map[kindKey]*tally)}
}

// reset forgets all counts. From now on only calls that start within length of
// from count.
func (g *tallies) reset(from, length time.Duration) {
	g.from, g.until = from, from+length
	g.kinds = make(map[kindKey]*tally)
}

// count notes an ended call.
func (g *tallies) count(r fleet.Result) {
	if r.Started < g.from || r.Started >= g.until {
		return
	}
	t := g.kind(r.Service, r.Kind)
	if r.Err != nil {
		t.failed[r.Err.Error()]++
		return
	}
	t.completed++
	t.took = append(t.took, r.Latency)
}

// kind returns the counts of a kind.
func (g *tallies) kind(service message.ServiceID, kind message.KindID) *tally {
	key := kindKey{service: service, kind: kind}
	t := g.kinds[key]
	if t == nil {
		t = &tally{failed: make(map[string]int)}
		g.kinds[key] = t
	}
	return t
}

// sum returns the counts of all kinds together.
func (g *tallies) sum() *tally {
	all := &tally{failed: make(map[string]int)}
	for _, t := range g.kinds {
		all.completed += t.completed
		all.took = append(all.took, t.took...)
		for text, n := range t.failed {
			all.failed[text] += n
		}
	}
	return all
}

// p99 returns the time within which 99% of the completed calls ended.
func (t *tally) p99() time.Duration {
	if len(t.took) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(t.took))
	return sorted[(len(sorted)*99+99)/100-1]
}
