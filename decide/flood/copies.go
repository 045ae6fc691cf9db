package flood

import "time"

const (
	// waitingPerSlot is the number of requests in progress per slot at which requests wait
	// at most targets.
	waitingPerSlot = 1.5
	// minWaiting is the smallest number of requests in progress of a VM that shows this. A
	// VM with few flows has fewer at one time by chance.
	minWaiting = 4.0
)

// Copy is a retransmitted SYN of a flow that the VM does not know: earlier transmissions were
// lost, as while all VMs were without power.
type Copy struct {
	Age       time.Duration // since the caller's first transmission
	Expected  time.Duration // mean response time of the route, 0 if unknown
	Objective time.Duration // latency objective of the route, 0 if it has none
	// ActiveRequests are those of this VM at the service, and FairShare is its part of the
	// service's slots if the VMs have equal loads.
	ActiveRequests int
	FairShare      float64
}

// Defer reports whether the copy is dropped, so that the caller's next transmission or attempt
// takes its place later. It can't be answered within the latency objective any more, and
// while requests wait at the targets it would delay requests that can. After an outage, callers
// repeat in a few hundred milliseconds what they could not send in seconds.
func (c Copy) Defer() bool {
	late := c.Objective > 0 && c.Age+c.Expected >= c.Objective
	return late && float64(c.ActiveRequests) >= max(waitingPerSlot*c.FairShare, minWaiting)
}
