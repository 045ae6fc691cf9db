package flood

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against late copies that take the slots of requests in time after an outage, and
// against copies that are dropped without need: in time, on an idle service, or without an
// objective.
func TestDeferCopies(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name string
		copy Copy
		want bool
	}{
		{"late, requests wait", Copy{Age: 200 * ms, Objective: 200 * ms, ActiveRequests: 4, FairShare: 2.3}, true},
		{"late by its processing", Copy{Age: 200 * ms, Expected: 55 * ms, Objective: 250 * ms, ActiveRequests: 4, FairShare: 2.3}, true},
		{"late, no request waits", Copy{Age: 600 * ms, Objective: 200 * ms, ActiveRequests: 3, FairShare: 2.3}, false},
		{"in time", Copy{Age: 600 * ms, Expected: 60 * ms, Objective: 800 * ms, ActiveRequests: 30, FairShare: 2.3}, false},
		{"no objective", Copy{Age: 600 * ms, ActiveRequests: 30, FairShare: 2.3}, false},
		{"large fleet, some by chance", Copy{Age: 600 * ms, Objective: 200 * ms, ActiveRequests: 3, FairShare: 0.4}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.copy.Defer(), c.want)
		})
	}
}
