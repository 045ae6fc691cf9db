package health

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// fixRapid makes a run repeatable unless the command line gives a seed.
func fixRapid(t *testing.T) {
	defaults := map[string]string{"rapid.seed": "1", "rapid.steps": "120", "rapid.checks": "1000"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
}

func drawReport(t *rapid.T) *message.TargetReport {
	return &message.TargetReport{
		Reached:  rapid.IntRange(0, 2).Draw(t, "reached") > 0,
		Healthy:  rapid.Bool().Draw(t, "healthy"),
		Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 0,
		Cold:     rapid.IntRange(0, 2).Draw(t, "cold") == 0,
	}
}

// target is a tracker under random input with what the invariants need.
type target struct {
	t          *Tracker
	now        time.Duration
	failed     bool // any failure so far
	inARow     int  // failures since the last answer
	lastTraff  time.Duration
	alwaysBusy bool // outcomes never stopped for IdleTimeout
	losses     uint64
	wasOut     bool
	answers    int // since the target was taken out
}

func (m *target) actions(outcomes []Outcome) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"outcome": func(t *rapid.T) { m.outcome(rapid.SampledFrom(outcomes).Draw(t, "kind")) },
		"report":  func(t *rapid.T) { m.t.RecordReport(m.now, drawReport(t)) },
		"time": func(t *rapid.T) {
			m.now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
			if m.now-m.lastTraff >= m.t.config.IdleTimeout {
				m.alwaysBusy = false
			}
		},
		"retain": func(t *rapid.T) { m.t.SetRetained(rapid.Bool().Draw(t, "keep")) },
		"":       m.check,
	}
}

func (m *target) outcome(kind Outcome) {
	m.t.RecordOutcome(m.now, kind)
	m.lastTraff = m.now
	if kind == Success || kind == Shed {
		m.inARow = 0
		m.answers++
		return
	}
	m.failed = true
	m.inARow++
}

func (m *target) check(t *rapid.T) {
	state := m.t.State(m.now)
	out := state == Ejected || state == Lost
	if c := m.t.Concurrency(m.now, 7); c < 0 || c > 7 || !out && c == 0 || out && c > 1 {
		t.Fatalf("concurrency %d of 7 in state %v", c, state)
	}
	if s := m.t.Share(m.now); s < 0 || s > 1 || !out && s == 0 {
		t.Fatalf("share %v in state %v", s, state)
	}
	if out && m.t.Concurrency(m.now+m.t.config.MaxProbeInterval, 7) != 1 {
		t.Fatal("no probe within the longest interval")
	}
	if out && !m.failed && m.alwaysBusy {
		t.Fatalf("%v although no request failed", state)
	}
	if state == Lost && !m.failed {
		t.Fatal("lost without a failure")
	}
	if m.t.LostCount() < m.losses || state == Lost && m.t.LostCount() == 0 {
		t.Fatal("losses are not counted")
	}
	if m.wasOut && !out && m.answers == 0 && m.alwaysBusy {
		t.Fatal("reports alone brought back a target that has traffic")
	}
	if out && !m.wasOut {
		m.answers = 0
	}
	m.losses = m.t.LostCount()
	m.wasOut = out
}

// Guards against states and capacities that contradict the outcomes, for all
// mixes of outcomes and for targets that never fail.
func TestTrackerInvariants(t *testing.T) {
	fixRapid(t)
	mixes := map[string][]Outcome{
		"all":     {Success, Shed, Timeout, Unreachable},
		"failing": {Timeout, Unreachable},
		"working": {Success, Shed},
	}
	for name, mix := range mixes {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := &target{t: New(Config{}, 0), alwaysBusy: true}
				m.outcome(mix[0])
				t.Repeat(m.actions(mix))
			})
		})
	}
}
