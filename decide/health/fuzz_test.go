package health

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// setRapidDefaults fixes the seed and the size of a run of package rapid, unless the
// command line sets them.
func setRapidDefaults(t *testing.T) {
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

// trackerModel is a tracker under random input with the state that the invariants need.
type trackerModel struct {
	t                   *Tracker
	now                 time.Duration
	failed              bool // any failure so far
	consecutiveFailures int  // failures since the last answer
	lastOutcomeAt       time.Duration
	alwaysBusy          bool // no pause of IdleTimeout between outcomes
	lostCount           uint64
	wasOutOfService     bool
	answers             int // since the target was ejected
}

func (m *trackerModel) actions(outcomes []Outcome) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"outcome": func(t *rapid.T) { m.outcome(rapid.SampledFrom(outcomes).Draw(t, "kind")) },
		"report":  func(t *rapid.T) { m.t.RecordReport(m.now, drawReport(t)) },
		"time": func(t *rapid.T) {
			m.now += time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
			if m.now-m.lastOutcomeAt >= m.t.config.IdleTimeout {
				m.alwaysBusy = false
			}
		},
		"retain": func(t *rapid.T) { m.t.SetRetained(rapid.Bool().Draw(t, "keep")) },
		"":       m.check,
	}
}

func (m *trackerModel) outcome(kind Outcome) {
	m.t.RecordOutcome(m.now, kind)
	m.lastOutcomeAt = m.now
	if kind == Success || kind == Shed {
		m.consecutiveFailures = 0
		m.answers++
		return
	}
	m.failed = true
	m.consecutiveFailures++
}

func (m *trackerModel) check(t *rapid.T) {
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
	if m.t.LostCount() < m.lostCount || state == Lost && m.t.LostCount() == 0 {
		t.Fatal("losses are not counted")
	}
	if m.wasOutOfService && !out && m.answers == 0 && m.alwaysBusy {
		t.Fatal("reports alone brought back a target that has traffic")
	}
	if out && !m.wasOutOfService {
		m.answers = 0
	}
	m.lostCount = m.t.LostCount()
	m.wasOutOfService = out
}

// Guards against states and capacities that contradict the outcomes, for all
// mixes of outcomes and for targets that never fail.
func TestTrackerInvariants(t *testing.T) {
	setRapidDefaults(t)
	mixes := map[string][]Outcome{
		"all":     {Success, Shed, Timeout, Unreachable},
		"failing": {Timeout, Unreachable},
		"working": {Success, Shed},
	}
	for name, mix := range mixes {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := &trackerModel{t: New(Config{}, 0), alwaysBusy: true}
				m.outcome(mix[0])
				t.Repeat(m.actions(mix))
			})
		})
	}
}
