package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that stood still and takes what it reads afterwards for new: it would tell
// others, too, that an old revision is the newest.
func TestAnswersReadAfterAStallAreOld(t *testing.T) {
	const stall = 4 * time.Second
	cases := []struct {
		name      string
		monotonic time.Duration // by which the monotonic clock advances in the stall
	}{
		{"stopped process", stall},
		{"suspended machine", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m, others := newLowRankedMachine(8)
			start := time.Date(2026, 12, 7, 0, 0, 0, 0, time.UTC)
			var stalls Stalls
			is.Equal(stalls.Step(time.Second, start), time.Duration(0))
			m.HandleStoreUpdate(time.Second, 0, Update{Revision: 100})
			stalls.SetDue(time.Second)
			now := time.Second + c.monotonic
			m.RecordSuspension(stalls.Step(now, start.Add(stall)))
			age, _ := m.Age(now)
			is.Equal(age, stall)
			waited := stalls.Waited(now, now)
			is.Equal(waited, stall)
			m.HandleStoreUpdate(now, waited, Update{Revision: 100})
			hear := Heartbeat{Name: others[0].Name, Domain: others[0].Domain, Reply: true, Revision: 100, Confirmed: Confirmation{Revision: 100}}
			m.HandleHeartbeat(now, waited, others[0].HeartbeatAddr, hear)
			age, _ = m.Age(now)
			is.True(age >= stall)
			later := now + backlogTime
			stalls.SetDue(later)
			stalls.Step(later, start.Add(stall+backlogTime))
			m.HandleHeartbeat(later, stalls.Waited(later, later), others[0].HeartbeatAddr, hear)
			age, _ = m.Age(later)
			is.Equal(age, time.Duration(0))
		})
	}
}

// Guards against a VM that takes the usual delays of a loaded machine for a stall, or time in a ring for
// none.
func TestWaitedWithoutAStall(t *testing.T) {
	is := is.New(t)
	var stalls Stalls
	start := time.Now()
	stalls.Step(time.Second, start)
	stalls.SetDue(2 * time.Second)
	is.Equal(stalls.Step(2*time.Second+minStall-1, start.Add(time.Second+minStall-1)), time.Duration(0))
	is.Equal(stalls.Waited(3*time.Second, 2900*time.Millisecond), 100*time.Millisecond)
}
