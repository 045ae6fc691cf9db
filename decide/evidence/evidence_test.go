package evidence

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const ms = time.Millisecond

// step is one event in the evidence about a target.
type step struct {
	at    time.Duration
	event string // alive, unanswered, repeated, stuck
}

// play returns a tracker after the given steps.
func play(steps []step) *Tracker {
	var t Tracker
	for _, s := range steps {
		switch s.event {
		case "alive":
			t.RecordAlive(s.at)
		case "unanswered":
			t.RecordUnanswered(s.at, s.at-200*ms)
		case "repeated":
			t.RecordRetransmission(s.at)
		case "stuck":
			t.RecordStuckFlow(s.at)
		}
	}
	return &t
}

// Guards against a live target that is avoided or declared dead because of a lost
// datagram or a slow request, and against a dead one that is not detected.
func TestEvidence(t *testing.T) {
	cases := []struct {
		name         string
		steps        []step
		at           time.Duration
		silent, dead bool
	}{
		{"no evidence", nil, 1000 * ms, false, false},
		{"first packet unanswered", []step{{1000 * ms, "unanswered"}}, 1100 * ms, true, false},
		{"responded to other flows meanwhile", []step{{900 * ms, "alive"}, {1000 * ms, "unanswered"}}, 1100 * ms, false, false},
		{"responded later", []step{{1000 * ms, "unanswered"}, {1050 * ms, "alive"}}, 1100 * ms, false, false},
		{"avoidance ends", []step{{1000 * ms, "unanswered"}}, 1600 * ms, false, false},
		{"one retransmission", []step{{0, "alive"}, {1000 * ms, "repeated"}}, 1100 * ms, false, false},
		{"two retransmissions", []step{{0, "alive"}, {1000 * ms, "repeated"}, {1010 * ms, "repeated"}}, 1100 * ms, true, false},
		{"retransmissions to a live target", []step{{900 * ms, "alive"}, {1000 * ms, "repeated"}, {1010 * ms, "repeated"}}, 1100 * ms, false, false},
		{"one stuck flow", []step{{0, "alive"}, {1000 * ms, "stuck"}}, 1200 * ms, true, false},
		{"two stuck flows", []step{{0, "alive"}, {1000 * ms, "stuck"}, {1010 * ms, "stuck"}}, 1200 * ms, true, true},
		{"two stuck flows of a live target", []step{{600 * ms, "alive"}, {1000 * ms, "stuck"}, {1010 * ms, "stuck"}}, 1050 * ms, true, false},
		{"never seen alive", []step{{1000 * ms, "stuck"}, {1010 * ms, "stuck"}}, 1200 * ms, true, false},
		{"never seen alive, for long", []step{{1000 * ms, "stuck"}, {1010 * ms, "stuck"}}, 1500 * ms, false, true},
		{"alive again", []step{{0, "alive"}, {1000 * ms, "stuck"}, {1010 * ms, "stuck"}, {1020 * ms, "alive"}}, 1200 * ms, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := play(c.steps)
			is.Equal(tracker.Silent(c.at), c.silent)
			is.Equal(tracker.Dead(c.at), c.dead)
		})
	}
}

// Guards against several flows that probe a silent target at once.
func TestOneFlowProbesASilentTarget(t *testing.T) {
	is := is.New(t)
	tracker := play([]step{{1000 * ms, "unanswered"}})
	is.True(tracker.Silent(1400 * ms))
	is.True(!tracker.Silent(1500 * ms))
	tracker.RecordPlacement(1500 * ms)
	is.True(tracker.Silent(1600 * ms))
	tracker.RecordUnanswered(1700*ms, 1500*ms)
	is.True(tracker.Silent(2600 * ms)) // the avoidance is twice as long as the first
	is.True(!tracker.Silent(2800 * ms))
}

// Guards against a dead target that is declared more than once.
func TestDeadTargetIsDeclaredOnce(t *testing.T) {
	is := is.New(t)
	tracker := play([]step{{0, "alive"}, {1000 * ms, "stuck"}, {1010 * ms, "stuck"}})
	is.True(tracker.DeclareDead(1100 * ms))
	is.True(!tracker.DeclareDead(1200 * ms))
	tracker.RecordAlive(1300 * ms)
	is.True(!tracker.DeclareDead(1300 * ms))
	tracker.RecordStuckFlow(1900 * ms)
	tracker.RecordStuckFlow(1910 * ms)
	is.True(tracker.DeclareDead(1910 * ms))
}
