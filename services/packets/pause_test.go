package packets

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gypsumspan/gypsumspan/decide/forward"
)

// Guards against a SYN that passes for a new one after a pause of the process in the middle of a step
// (soak seed 1331): its caller has opened the flow through another VM, and its target would hold it
// half-open.
func TestSYNIsOutdatedAfterAPauseInTheMiddleOfAStep(t *testing.T) {
	for _, c := range []struct {
		pause              time.Duration
		forwarded, dropped uint64
	}{
		{10 * time.Millisecond, 3, 0},
		{1600 * time.Millisecond, 1, 2}, // the third one was in the ring as well
	} {
		t.Run(c.pause.String(), func(t *testing.T) {
			is := is.New(t)
			clock := &settableClock{now: time.Second}
			s, _ := newTestService(t, clock, &pausingCodec{clock: clock, pause: c.pause})
			for range 3 {
				is.True(s.Deliver(make([]byte, 32), clock.now))
			}
			s.step(clock.now)
			is.Equal(s.Stats().Forwarded, c.forwarded)
			is.Equal(s.Stats().ByReason[forward.Outdated], c.dropped)
		})
	}
}
