package forward

import (
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/catalog"
	"github.com/gypsumspan/gypsumspan/decide/halfopen"
)

// hintedHarness returns a forwarder with a hint that the flow of caller 1 has opened at the first target,
// and a second target whose cookie the caller returns.
func hintedHarness(t *testing.T) (r *harness, target, foreign *catalog.Target) {
	r = newHarness(t)
	target, foreign = r.f.View().Target("i-4"), r.f.View().Target("i-1")
	r.f.HandleOpened(0, halfopen.Opened{Flow: key(1), TargetCookie: uint32(target.Cookie), SYNSeq: 100})
	return r, target, foreign
}

// Guards against a VM without a record of a contested flow that believes the cookie of the target which
// holds the flow half-open (review/13).
func TestHintGoesBeforeTheCookie(t *testing.T) {
	r, target, foreign := hintedHarness(t)
	v := r.f.Receive(12*time.Second, ackPacket(1, foreign.Cookie, 101, 500, 10))
	r.Equal(v.Target, target)
	r.Equal(v.Cookie, target.Cookie)
	r.Equal(v.Adopted, AdoptedByHint)
	v = r.f.Receive(13*time.Second, ackPacket(1, foreign.Cookie, 111, 600, 10))
	r.Equal(v.Target, target)
	r.Equal(v.Adopted, NotAdopted)
}

// Guards against hints that outlive their flow or their target, or reach another flow of the same
// four-tuple.
func TestWhenTheCookieGoesBeforeTheHint(t *testing.T) {
	cases := []struct {
		name string
		now  time.Duration
		seq  uint32
		play func(*harness)
	}{
		{"expired", halfopen.RepeatTime + 15*time.Second, 101, func(*harness) {}},
		{"another flow", time.Second, 99, func(*harness) {}},
		{"target is gone", time.Second, 101, func(r *harness) {
			r.apply(0, catalog.Change{RemovedTarget: "i-4"})
			r.f.Tick(time.Second)
		}},
		{"tuple used again", time.Second, 101, func(r *harness) {
			r.f.Receive(0, syn(1, 0))
			r.f.Tick(5 * time.Second) // its record expires
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, _, foreign := hintedHarness(t)
			c.play(r)
			v := r.f.Receive(c.now, ackPacket(1, foreign.Cookie, c.seq, 500, 10))
			r.Equal(v.Target, foreign)
		})
	}
}

// Guards against another half-open flow: a late copy of the SYN of a flow that is open elsewhere.
func TestLateCopyOfAHintedFlowIsDropped(t *testing.T) {
	r, _, _ := hintedHarness(t)
	v := r.f.Receive(500*ms, syn(1, 1))
	r.Equal(v.Action, Drop)
	r.Equal(v.Reason, Continued)
}

// Guards against a VM that has adopted a flow by the wrong cookie, just before it is told of the target.
func TestHintCorrectsAFlowThatWasAdoptedByItsCookie(t *testing.T) {
	r := newHarness(t)
	target, foreign := r.f.View().Target("i-4"), r.f.View().Target("i-1")
	r.Equal(r.f.Receive(0, ackPacket(1, foreign.Cookie, 101, 500, 10)).Target, foreign)
	r.f.HandleOpened(10*ms, halfopen.Opened{Flow: key(1), TargetCookie: uint32(target.Cookie), SYNSeq: 100})
	r.Equal(r.f.Receive(200*ms, ackPacket(1, foreign.Cookie, 101, 500, 10)).Target, target)
}
