package health

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/message"
)

// Reports that targets send in the cases below.
var (
	healthy   = &message.TargetReport{Reached: true, Healthy: true}
	unhealthy = &message.TargetReport{Reached: true}
	cold      = &message.TargetReport{Reached: true, Healthy: true, Cold: true}
	draining  = &message.TargetReport{Reached: true, Draining: true}
	missed    = &message.TargetReport{}
)

// step is a number of equal inputs, one per period every, and the state expected after
// them.
type step struct {
	count     int
	every     time.Duration
	input     any // an Outcome, a *message.TargetReport, a list of both, or nil
	want      State
	lostCount uint64
}

func apply(t *Tracker, now time.Duration, input any) {
	switch in := input.(type) {
	case Outcome:
		t.RecordOutcome(now, in)
	case *message.TargetReport:
		t.RecordReport(now, in)
	case []any:
		for _, one := range in {
			apply(t, now, one)
		}
	}
}

func runSteps(t *testing.T, tracker *Tracker, now time.Duration, steps []step) time.Duration {
	t.Helper()
	for i, s := range steps {
		for range s.count {
			now += s.every
			apply(tracker, now, s.input)
		}
		if got := tracker.State(now); got != s.want || tracker.LostCount() != s.lostCount {
			t.Fatalf("step %d: state %v and %d losses, want %v and %d", i, got, tracker.LostCount(), s.want, s.lostCount)
		}
	}
	return now
}

// Guards against reports that outweigh outcomes, ejections without enough failures,
// and crashes that are missed or falsely detected.
func TestFaultCases(t *testing.T) {
	const tick = 100 * time.Millisecond
	const second = time.Second
	both := func(in ...any) []any { return in }
	cases := []struct {
		name  string
		steps []step
	}{
		{"lagging healthy report does not restore a failing target", []step{
			{1, tick, Success, Healthy, 0},
			{6, tick, Timeout, Ejected, 0},
			{4, 500 * time.Millisecond, healthy, Ejected, 0},
			{30, second, both(healthy, Timeout), Ejected, 0},
		}},
		{"false unhealthy report does not eject a working target", []step{
			{1, tick, Success, Healthy, 0},
			{60, second, both(unhealthy, Success), Healthy, 0},
			{60, second, both(missed, Success), Healthy, 0},
		}},
		{"unhealthy reports and failures together eject early", []step{
			{1, tick, Success, Healthy, 0},
			{3, tick, unhealthy, Healthy, 0},
			{2, tick, Timeout, Ejected, 0},
		}},
		{"without traffic consecutive reports eject and restore", []step{
			{1, second, healthy, Healthy, 0},
			{2, second, unhealthy, Healthy, 0},
			{1, second, healthy, Healthy, 0},
			{3, second, unhealthy, Ejected, 0},
			{3, second, healthy, Ejected, 0},
			{5, second, healthy, Cold, 0},
			{10, second, healthy, Healthy, 0},
		}},
		{"reports alone eject only after traffic has stopped", []step{
			{1, tick, Success, Healthy, 0},
			{4, second, unhealthy, Healthy, 0},
			{1, second, unhealthy, Ejected, 0},
		}},
		{"one slow request", []step{
			{20, tick, Success, Healthy, 0},
			{1, 3 * second, Timeout, Healthy, 0},
			{20, tick, Success, Healthy, 0},
		}},
		{"one stall of many slots", []step{
			{20, tick, Success, Healthy, 0},
			{64, time.Millisecond, Timeout, Healthy, 0},
			{20, tick, Success, Healthy, 0},
			{1, tick, Timeout, Healthy, 0},
		}},
		{"every second request fails", []step{
			{9, tick, both(Success, Timeout), Healthy, 0},
			{1, tick, both(Success, Timeout), Ejected, 0},
		}},
		{"unreachable target is ejected after fewer failures", []step{
			{1, tick, Success, Healthy, 0},
			{1, tick, Unreachable, Healthy, 0},
			{1, 500 * time.Millisecond, Unreachable, Ejected, 0},
		}},
		{"cold start", []step{
			{1, tick, cold, Cold, 0},
			{9, second, Success, Cold, 0},
			{1, second, Success, Healthy, 0},
		}},
		{"crash", []step{
			{1, tick, both(healthy, Success), Healthy, 0},
			{10, tick, Timeout, Ejected, 0},
			{2, second, missed, Ejected, 0},
			{2, second, missed, Lost, 1},
			{60, second, both(missed, Timeout), Lost, 1},
			{1, second, cold, Lost, 1},
			{2, second, Success, Cold, 1},
			{10, second, Success, Healthy, 1},
		}},
		{"crash and fast restart", []step{
			{1, tick, both(healthy, Success), Healthy, 0},
			{3, tick, Timeout, Healthy, 0},
			{1, second, both(cold, Success), Healthy, 0},
			{1, second, cold, Lost, 1},
			{2, tick, Success, Cold, 1},
		}},
		{"planned restart", []step{
			{1, tick, both(healthy, Success), Healthy, 0},
			{1, tick, draining, Healthy, 0},
			{3, tick, Timeout, Healthy, 0},
			{4, second, cold, Healthy, 0},
		}},
		{"false reports of a cold start", []step{
			{5, second, both(healthy, Success), Healthy, 0},
			{30, second, both(cold, Success), Healthy, 0},
			{3, tick, Timeout, Healthy, 0},
			{3, second, both(cold, Success), Healthy, 0},
		}},
		{"restart without traffic", []step{
			{9, second, healthy, Healthy, 0},
			{2, second, cold, Cold, 0},
		}},
		{"draining target that reports itself unhealthy stays in service", []step{
			{1, second, healthy, Healthy, 0},
			{60, second, draining, Healthy, 0},
		}},
		{"network fault without missed reports is not a crash", []step{
			{1, tick, Success, Healthy, 0},
			{100, tick, both(Timeout, healthy), Ejected, 0},
		}},
		{"shed storm", []step{
			{500, 10 * time.Millisecond, Shed, Healthy, 0},
			{30, second, both(Shed, unhealthy), Healthy, 0},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runSteps(t, New(Config{}, 0), 0, c.steps)
		})
	}
}

// Guards against probes that are sent too often, and against intervals that are never
// increased or never reset.
func TestProbeIntervals(t *testing.T) {
	is := is.New(t)
	tr := New(Config{}, 0)
	now := runSteps(t, tr, 0, []step{{6, 100 * time.Millisecond, Timeout, Ejected, 0}})
	out := tr.lastOutcome
	for _, wait := range []time.Duration{2, 4, 8, 16, 32, 60, 60} {
		is.Equal(tr.Concurrency(now, 8), 0)
		is.Equal(tr.Share(now), 0.0)
		now = out + wait*time.Second
		is.Equal(tr.Concurrency(now-time.Second/2, 8), 0)
		is.Equal(tr.Concurrency(now, 8), 1)
		is.Equal(tr.Share(now), minShare)
		tr.RecordOutcome(now, Timeout)
		out = now
	}
	now = runSteps(t, tr, now+time.Minute, []step{{2, time.Second, Success, Cold, 0}, {11, time.Second, Success, Healthy, 0}})
	tr.RecordOutcome(now, Timeout)
	now = runSteps(t, tr, now, []step{{6, 100 * time.Millisecond, Timeout, Ejected, 0}})
	is.Equal(tr.probeInterval, time.Minute) // it was in service for a short time only
	now = runSteps(t, tr, now+time.Minute, []step{{90, time.Second, Success, Healthy, 0}, {6, 100 * time.Millisecond, Timeout, Ejected, 0}})
	is.Equal(tr.probeInterval, 2*time.Second)
	is.Equal(tr.Concurrency(now, 8), 0)
	tr.SetRetained(true)
	is.Equal(tr.Concurrency(now, 8), 1)
	is.Equal(tr.State(now), Ejected)
	tr.SetRetained(false)
	tr.RecordOutcome(now, Success)
	is.Equal(tr.Concurrency(now, 8), 1) // a late answer allows probes at once
	is.Equal(tr.State(now), Ejected)
}

// Guards against a cold target that gets full load at once, and against one that never
// gets it.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	tr := New(Config{}, 0)
	is.Equal(tr.Concurrency(0, 11), 11) // not reported cold
	is.Equal(tr.Share(0), 1.0)
	tr.RecordReport(time.Second, cold)
	for second, want := range []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 11} {
		is.Equal(tr.Concurrency(time.Duration(second+1)*time.Second, 11), want)
	}
	is.Equal(tr.Share(time.Second), minShare)
	is.Equal(tr.Share(11*time.Second), 1.0)
	is.Equal(tr.Concurrency(time.Second, 1), 1)
	is.Equal(tr.Concurrency(time.Second, 0), 0)
}

// Guards against a target that sheds and still gets its full concurrency, and against
// one whose concurrency does not recover after it stops shedding.
func TestSheddingLowersConcurrency(t *testing.T) {
	is := is.New(t)
	tr := New(Config{}, 0)
	tr.RecordOutcome(0, Success)
	for range 50 {
		tr.RecordOutcome(time.Second, Shed)
	}
	is.Equal(tr.Concurrency(time.Second, 16), 12) // one burst is one decrease
	for i := range 100 {
		tr.RecordOutcome(time.Second+time.Duration(i)*200*time.Millisecond, Shed)
	}
	now := 21 * time.Second
	is.Equal(tr.Concurrency(now, 16), 1)
	is.Equal(tr.Concurrency(now+5*time.Second, 16), 9)
	is.Equal(tr.Concurrency(now+10*time.Second, 16), 16)
}

// Guards against new work for a draining target, and against a single lagging
// report that ends the drain.
func TestDraining(t *testing.T) {
	is := is.New(t)
	tr := New(Config{}, 0)
	tr.RecordReport(0, draining)
	is.True(tr.Draining(0))
	tr.RecordReport(1, healthy)
	tr.RecordReport(2, missed)
	tr.RecordReport(3, healthy)
	tr.RecordReport(4, healthy)
	is.True(tr.Draining(4))
	tr.RecordReport(5, healthy)
	is.True(!tr.Draining(5))
}

// Guards against ejections that stop a service.
func TestMayEject(t *testing.T) {
	is := is.New(t)
	for targets, most := range []int{0, 0, 1, 1, 1, 1, 2, 2, 2, 3} {
		ejected := 0
		for MayEject(targets, ejected) {
			ejected++
		}
		is.Equal(ejected, most)
	}
	is.True(!MayEject(14, 4))
	is.True(MayEject(14, 3))
}
