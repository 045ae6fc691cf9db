package baseline

import (
	"testing"
	"time"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/decide/table"
)

func targets(n int) []table.Target {
	var all []table.Target
	for i := range n {
		all = append(all, table.Target{ID: message.TargetID(i + 1), Weight: 1})
	}
	return all
}

// Guards against baselines that differ from the published methods: the removal of one of n
// targets moves about 1/n of the flows with rendezvous hashing, and most with the modulo.
func TestMovedFlows(t *testing.T) {
	flows := make([]uint64, 10000)
	for i := range flows {
		flows[i] = uint64(i) * 0x9e3779b97f4a7c15
	}
	before := targets(10)
	if n := CountMoved(Rendezvous, flows, before, before[:9]); n < 900 || n > 1100 {
		t.Errorf("rendezvous hashing moved %d of 10000 flows", n)
	}
	if n := CountMoved(Modulo, flows, before, before[:9]); n < 8800 || n > 9200 {
		t.Errorf("the modulo moved %d of 10000 flows", n)
	}
	if n := CountMoved(Modulo, flows, before, before, nil); n != 0 {
		t.Errorf("%d flows moved without a change", n)
	}
}

// Guards against a simulated queue that exceeds its slots, changes the order of requests or
// ignores their timeouts.
func TestRoundRobinIsFirstInFirstOut(t *testing.T) {
	r := Request{ServiceTime: 10 * time.Millisecond, Timeout: 25 * time.Millisecond}
	got := RoundRobin([]Request{r, r, r, r}, 1, 1, 2)
	want := []time.Duration{10 * time.Millisecond, 20 * time.Millisecond}
	for i, took := range want {
		if !got[i].Completed || got[i].Latency != took {
			t.Errorf("request %d: %+v", i, got[i])
		}
	}
	if got[2].Completed || got[3].Completed {
		t.Errorf("a late or refused request completed: %+v", got[2:])
	}
}

// Guards against a simulation in which VMs without an owner share one limit.
func TestPeakWithoutOwnerExceedsTheLimit(t *testing.T) {
	r := Request{ServiceTime: time.Second, Timeout: time.Minute}
	requests := make([]Request, 200)
	for i := range requests {
		requests[i] = r
	}
	if peak := PeakWithoutOwner(requests, 5, 3, 1); peak != 15 {
		t.Errorf("5 VMs with a limit of 3 sent %d requests at once", peak)
	}
	if peak := PeakWithoutOwner(requests, 1, 3, 1); peak != 3 {
		t.Errorf("one VM with a limit of 3 sent %d requests at once", peak)
	}
}
