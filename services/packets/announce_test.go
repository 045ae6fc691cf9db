package packets

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a VM that stops as planned and is gone before it has told others of a flow that has not
// opened (soak seed 1306): it lives for a second after its last datagram, and may have told them of
// another flow just before.
func TestLeavingVMTellsOthersOfAnUnopenedFlowInTime(t *testing.T) {
	const life = time.Second
	is := is.New(t)
	clock := &settableClock{now: time.Second}
	s, reports := newTestService(t, clock, &pausingCodec{clock: clock})
	run := func(d time.Duration) {
		for end := clock.now + d; clock.now < end; clock.now += 50 * time.Millisecond {
			s.step(clock.now)
		}
	}
	s.StartLeaving()
	is.True(s.Deliver(make([]byte, 32), clock.now))
	run(400 * time.Millisecond)
	is.True(s.Deliver(make([]byte, 32), clock.now))
	run(life)
	var told []uint16
	for _, a := range reports.announcements {
		for _, u := range a.Unopened {
			told = append(told, u.Flow.Caller.Port)
		}
	}
	is.Equal(told, []uint16{1, 2})
}
